package jaytls

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// writeCertificate writes a self-signed certificate with the serial number to the
// directory.
func writeCertificate(t *testing.T, dir string, serial int64) Files {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)
	template := &x509.Certificate{SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour), IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign | x509.KeyUsageDigitalSignature}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	assert.NilError(t, err)
	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)
	f := Files{Certificate: filepath.Join(dir, "cert.pem"), PrivateKey: filepath.Join(dir, "key.pem"), Authority: filepath.Join(dir, "cert.pem")}
	assert.NilError(t, os.WriteFile(f.PrivateKey, pem.EncodeToMemory(&pem.Block{Type: "EC PRIVATE KEY", Bytes: keyDER}), 0o600))
	assert.NilError(t, os.WriteFile(f.Certificate, pem.EncodeToMemory(&pem.Block{Type: "CERTIFICATE", Bytes: der}), 0o600))
	return f
}

// serial returns the serial number of the certificate that a listener with the server
// configuration presents to a client with the client configuration.
func serial(server, client *tls.Config) (int64, error) {
	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	if err != nil {
		return 0, err
	}
	defer func() { _ = l.Close() }()
	go func() {
		if c, err := l.Accept(); err == nil {
			_ = c.(*tls.Conn).Handshake()
			_ = c.Close()
		}
	}()
	c, err := tls.Dial("tcp", l.Addr().String(), client)
	if err != nil {
		return 0, err
	}
	defer func() { _ = c.Close() }()
	return c.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

func TestReplacedCertificateIsServed(t *testing.T) {
	dir := t.TempDir()
	f := writeCertificate(t, dir, 1)
	server, err := Peers(f)
	assert.NilError(t, err)
	n, err := serial(server, server)
	assert.NilError(t, err)
	assert.Equal(t, n, int64(1))
	otherCA, err := Peers(writeCertificate(t, t.TempDir(), 9))
	assert.NilError(t, err)
	_, err = serial(server, otherCA)
	assert.ErrorContains(t, err, "certificate")
	writeCertificate(t, dir, 2)
	assert.NilError(t, os.Chtimes(f.Certificate, time.Now(), time.Now().Add(time.Minute)))
	trusting, err := Peers(f)
	assert.NilError(t, err)
	for n != 2 {
		n, err = serial(server, trusting)
		if err != nil {
			time.Sleep(50 * time.Millisecond)
		}
	}
}

func TestFileErrorNamesFile(t *testing.T) {
	none, err := Server(Files{})
	assert.NilError(t, err)
	assert.Assert(t, none == nil)
	var wrong *FileError
	_, err = Server(Files{Certificate: "absent.pem"})
	assert.Assert(t, errors.As(err, &wrong))
	empty := filepath.Join(t.TempDir(), "empty")
	assert.NilError(t, os.WriteFile(empty, nil, 0o600))
	_, err = Authority(empty)
	assert.Assert(t, errors.As(err, &wrong))
	assert.Equal(t, wrong.File, empty)
}
