package caller

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/gateway/disconnect"
)

// sendTo sends a request to a server of h, and returns a function that closes the caller's
// connection.
func sendTo(t *testing.T, h http.Handler) (leave func()) {
	t.Helper()
	server := httptest.NewUnstartedServer(new(disconnect.Watch).Handler(h))
	server.Listener = disconnect.Listener{Listener: server.Listener}
	server.Config.ConnContext = disconnect.WithConn
	server.Start()
	t.Cleanup(server.Close)
	var d net.Dialer
	c, err := d.DialContext(t.Context(), "tcp", server.Listener.Addr().String())
	must.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	_, err = fmt.Fprintf(c, "POST /s/hold/x HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n%s: a\r\nContent-Length: 2\r\n\r\n{}",
		customerKey, HeaderIdempotencyKey)
	must.NoError(t, err)
	return func() { _ = c.Close() }
}

// TestRequestRunsAfterItsCallerLeft guards against requests that are run although their
// callers left while they waited in the queue.
func TestRequestRunsAfterItsCallerLeft(t *testing.T) {
	p := newFakeDependencies()
	h := p.handler()
	left, ended := make(chan struct{}), make(chan struct{})
	h.opts.Queue = acquireFunc(func() { <-left })
	leave := sendTo(t, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		defer close(ended)
		h.ServeHTTP(w, r)
	}))
	leave()
	close(left)
	<-ended
	must.SliceEmpty(t, p.jobs)
	must.SliceEmpty(t, p.finished)
}
