// Package jaytls makes the TLS configurations of a process from its files and
// takes up replaced files without a restart.
package jaytls

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// checkEvery is the least time between two looks at the files.
const checkEvery = time.Second

// FileError reports a certificate, key or authority that cannot be used.
type FileError struct {
	File  string
	Cause error
}

// Error implements error.
func (e *FileError) Error() string { return fmt.Sprintf("tls file %s: %v", e.File, e.Cause) }

// Unwrap returns the cause.
func (e *FileError) Unwrap() error { return e.Cause }

// NoCertificatesError reports an authority file without a certificate.
type NoCertificatesError struct{}

// Error implements error.
func (*NoCertificatesError) Error() string { return "no certificate in the file" }

// Files names the files of one process.
type Files struct {
	Certificate string
	PrivateKey  string
	// Authority holds the certificates that peers are verified against.
	Authority string
}

// keeper holds the certificate that is in use.
type keeper struct {
	files Files

	mutex   sync.Mutex
	current *tls.Certificate
	changed time.Time
	checked time.Time
}

// Server returns a configuration that serves the certificate of the files, or
// nil when none is set. A replaced certificate is served from the next
// connection on; one that cannot be read leaves the old one in use.
func Server(f Files) (*tls.Config, error) {
	if f.Certificate == "" {
		return nil, nil
	}
	k := &keeper{files: f}
	if err := k.load(); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: k.get}, nil
}

// Peers returns a configuration that both serves the certificate and verifies
// the peers that this process dials, or nil when no certificate is set.
func Peers(f Files) (*tls.Config, error) {
	c, err := Server(f)
	if c == nil || err != nil {
		return nil, err
	}
	c.RootCAs, err = Authority(f.Authority)
	return c, err
}

// Authority reads certificates to verify peers against; an empty name means
// those of the system.
func Authority(file string) (*x509.CertPool, error) {
	if file == "" {
		return nil, nil
	}
	b, err := os.ReadFile(file)
	if err != nil {
		return nil, &FileError{File: file, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(b) {
		return nil, &FileError{File: file, Cause: &NoCertificatesError{}}
	}
	return pool, nil
}

func (k *keeper) load() error {
	info, err := os.Stat(k.files.Certificate)
	if err != nil {
		return &FileError{File: k.files.Certificate, Cause: err}
	}
	c, err := tls.LoadX509KeyPair(k.files.Certificate, k.files.PrivateKey)
	if err != nil {
		return &FileError{File: k.files.Certificate, Cause: err}
	}
	k.current = &c
	k.changed = info.ModTime()
	return nil
}

func (k *keeper) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if time.Since(k.checked) >= checkEvery {
		k.checked = time.Now()
		if info, err := os.Stat(k.files.Certificate); err == nil && !info.ModTime().Equal(k.changed) {
			_ = k.load()
		}
	}
	return k.current, nil
}
