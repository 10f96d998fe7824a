// Package jaytls creates the TLS configurations of a process from its files and
// reloads replaced certificates without a restart.
package jaytls

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// minCheckInterval is the minimum time between two checks of the certificate file.
const minCheckInterval = time.Second

// FileError reports a certificate, key or authority file that cannot be used.
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

// Files holds the paths of the TLS files of one process.
type Files struct {
	Certificate string
	PrivateKey  string
	// Authority contains the CA certificates that peers are verified against.
	Authority string
}

// certificateReloader holds the current certificate and reloads it when its file
// changes.
type certificateReloader struct {
	files Files

	mutex      sync.Mutex
	current    *tls.Certificate
	modifiedAt time.Time
	checkedAt  time.Time
}

// Server returns a configuration that serves the certificate of the files, or nil if
// no certificate is set. A replaced certificate is used for new connections; if it
// cannot be loaded, the old one stays in use.
func Server(f Files) (*tls.Config, error) {
	if f.Certificate == "" {
		return nil, nil
	}
	r := &certificateReloader{files: f}
	if err := r.load(); err != nil {
		return nil, err
	}
	return &tls.Config{MinVersion: tls.VersionTLS12, GetCertificate: r.get}, nil
}

// Peers returns a configuration that both serves the certificate and verifies the
// peers that this process dials, or nil if no certificate is set.
func Peers(f Files) (*tls.Config, error) {
	c, err := Server(f)
	if c == nil || err != nil {
		return nil, err
	}
	c.RootCAs, err = Authority(f.Authority)
	return c, err
}

// Authority reads the CA certificates to verify peers against. An empty path returns
// nil, which means those of the system.
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

func (r *certificateReloader) load() error {
	info, err := os.Stat(r.files.Certificate)
	if err != nil {
		return &FileError{File: r.files.Certificate, Cause: err}
	}
	c, err := tls.LoadX509KeyPair(r.files.Certificate, r.files.PrivateKey)
	if err != nil {
		return &FileError{File: r.files.Certificate, Cause: err}
	}
	r.current = &c
	r.modifiedAt = info.ModTime()
	return nil
}

func (r *certificateReloader) get(*tls.ClientHelloInfo) (*tls.Certificate, error) {
	r.mutex.Lock()
	defer r.mutex.Unlock()
	if time.Since(r.checkedAt) >= minCheckInterval {
		r.checkedAt = time.Now()
		if info, err := os.Stat(r.files.Certificate); err == nil && !info.ModTime().Equal(r.modifiedAt) {
			_ = r.load()
		}
	}
	return r.current, nil
}
