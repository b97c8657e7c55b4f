package peer

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"math/big"
	"net"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// certificate returns a certificate for 127.0.0.1 and a pool that contains it.
func certificate(t *testing.T) (tls.Certificate, *x509.CertPool) {
	t.Helper()
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	must.NoError(t, err)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		NotBefore:   time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	must.NoError(t, err)
	leaf, err := x509.ParseCertificate(der)
	must.NoError(t, err)
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	return tls.Certificate{Certificate: [][]byte{der}, PrivateKey: key}, pool
}

func TestTLS(t *testing.T) {
	cert, pool := certificate(t)
	s := NewServer(ServerOptions{
		Self: "vm-2", Secret: []byte("s"),
		TLS: &tls.Config{Certificates: []tls.Certificate{cert}, MinVersion: tls.VersionTLS13},
	})
	Handle(s, callEcho, handleEcho)
	l := listen(t)
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- s.Serve(ctx, l) }()
	defer func() {
		cancel()
		must.NoError(t, <-done)
	}()
	to := Destination{VM: "vm-2", Address: l.Addr().String()}
	client := func(cfg *tls.Config) *Client {
		c := NewClient(ClientOptions{Self: "vm-1", Secret: []byte("s"), TLS: cfg})
		t.Cleanup(c.Close)
		return c
	}
	t.Run("trusted", func(t *testing.T) {
		mustEcho(t, client(&tls.Config{RootCAs: pool}), to, "x")
	})
	t.Run("not trusted", func(t *testing.T) {
		c := client(&tls.Config{RootCAs: x509.NewCertPool()})
		must.Error(t, c.Call(t.Context(), to, callEcho, echo{Text: "x"}, &echo{}))
	})
}

func ExampleHandle() {
	m := NewMemory()
	a, b := m.Node("vm-1", "10.0.0.1:7000"), m.Node("vm-2", "10.0.0.2:7000")
	Handle(b, "/test/Double", func(_ context.Context, _ string, n int) (int, error) { return 2 * n, nil })
	var got int
	to := Destination{VM: "vm-2", Address: "10.0.0.2:7000"}
	if err := a.Call(context.Background(), to, "/test/Double", 21, &got); err == nil {
		fmt.Println(got)
	}
	// Output: 42
}
