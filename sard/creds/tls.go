package creds

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/sardineline/sardineline/sard/fault"
)

// TLSFiles holds the paths of the PEM files that configure TLS. TLS is disabled if all are empty.
type TLSFiles struct {
	// CertFile holds the certificate chain of a listener, or of a client that authenticates itself.
	CertFile string
	// KeyFile holds the private key of CertFile.
	KeyFile string
	// CAFile holds the CA certificates that verify the certificates of the other side.
	CAFile string
}

// Enabled reports whether TLS is enabled, which is the case if any file is set.
func (f TLSFiles) Enabled() bool {
	return f.CertFile != "" || f.KeyFile != "" || f.CAFile != ""
}

// ServerConfig returns the TLS configuration of a listener, or nil if TLS is disabled. With mutual, clients must
// present a certificate that CAFile verifies.
func (f TLSFiles) ServerConfig(mutual bool) (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "load TLS key pair", "")
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, Certificates: []tls.Certificate{pair}}
	if !mutual {
		return cfg, nil
	}
	cfg.ClientCAs, err = f.caPool()
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, err
}

// ClientConfig returns the TLS configuration of outgoing calls, or nil if TLS is disabled. The key pair, if set, is
// presented to servers that request a client certificate.
func (f TLSFiles) ClientConfig() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	pool, err := f.caPool()
	if err != nil {
		return nil, err
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS12, RootCAs: pool}
	if f.CertFile == "" {
		return cfg, nil
	}
	pair, err := tls.LoadX509KeyPair(f.CertFile, f.KeyFile)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "load TLS key pair", "")
	}
	cfg.Certificates = []tls.Certificate{pair}
	return cfg, nil
}

// caPool returns a pool of the CA certificates in CAFile.
func (f TLSFiles) caPool() (*x509.CertPool, error) {
	if f.CAFile == "" {
		return nil, fault.New(fault.Invalid, "load TLS authority", "", "no CA file is set")
	}
	data, err := os.ReadFile(f.CAFile)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "load TLS authority", "")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, fault.New(fault.Invalid, "load TLS authority", "", "%s contains no valid certificate", f.CAFile)
	}
	return pool, nil
}
