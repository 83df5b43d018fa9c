package creds

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/sardineline/sardineline/sard/fault"
)

// TLSFiles names the PEM files of a TLS identity. All empty means no TLS.
type TLSFiles struct {
	// CertFile and Key are the certificate chain and private key of a listener.
	CertFile string
	KeyFile  string
	// CAFile holds the certificates that peers are checked against.
	CAFile string
}

// Enabled tells whether TLS is wanted.
func (f TLSFiles) Enabled() bool {
	return f.CertFile != "" || f.KeyFile != "" || f.CAFile != ""
}

// ServerConfig returns the TLS settings of a listener, or nil without TLS. With mutual, callers must show a
// certificate of the authority.
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
	cfg.ClientCAs, err = f.pool()
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, err
}

// ClientConfig returns the TLS settings of outgoing calls, or nil without TLS. The key pair, if any, is shown to servers
// that ask for it.
func (f TLSFiles) ClientConfig() (*tls.Config, error) {
	if !f.Enabled() {
		return nil, nil
	}
	pool, err := f.pool()
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

func (f TLSFiles) pool() (*x509.CertPool, error) {
	if f.CAFile == "" {
		return nil, fault.New(fault.Invalid, "load TLS authority", "", "no authority file is set")
	}
	pem, err := os.ReadFile(f.CAFile)
	if err != nil {
		return nil, fault.Wrap(err, fault.Invalid, "load TLS authority", "")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, fault.New(fault.Invalid, "load TLS authority", "", "%s holds no certificate", f.CAFile)
	}
	return pool, nil
}
