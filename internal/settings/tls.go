package settings

import (
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/rotisserie/eris"
)

// Config returns the TLS configuration of the files, or nil if there is no
// certificate. With an authority, both sides must present a certificate that it
// signed.
func (t TLS) Config() (*tls.Config, error) {
	if t.CertificateFile == "" {
		return nil, nil
	}
	certificate, err := tls.LoadX509KeyPair(t.CertificateFile, t.KeyFile)
	if err != nil {
		return nil, eris.Wrap(err, "load certificate")
	}
	cfg := &tls.Config{Certificates: []tls.Certificate{certificate}, MinVersion: tls.VersionTLS13}
	if t.AuthorityFile == "" {
		return cfg, nil
	}
	pem, err := os.ReadFile(t.AuthorityFile)
	if err != nil {
		return nil, eris.Wrap(err, "read authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, eris.Errorf("authority %s holds no certificate", t.AuthorityFile)
	}
	cfg.RootCAs = pool
	cfg.ClientCAs = pool
	cfg.ClientAuth = tls.RequireAndVerifyClientCert
	return cfg, nil
}
