package disconnect

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// TestCallerThatLeavesIsMissed guards against a request that goes on after its caller has
// left, because there are bytes behind it that are not read.
func TestCallerThatLeavesIsMissed(t *testing.T) {
	for name, behind := range map[string]string{"nothing": "", "an empty line": "\r\n"} {
		t.Run(name+" behind", func(t *testing.T) {
			running, ended := make(chan struct{}), make(chan bool, 1)
			server := httptest.NewUnstartedServer(new(Watch).Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
				must.False(t, HasLeft(r.Context()))
				close(running)
				<-r.Context().Done()
				ended <- HasLeft(r.Context())
			})))
			server.Listener = Listener{Listener: server.Listener}
			server.Config.ConnContext = WithConn
			server.Start()
			t.Cleanup(server.Close)
			var d net.Dialer
			c, err := d.DialContext(t.Context(), "tcp", server.Listener.Addr().String())
			must.NoError(t, err)
			_, err = io.WriteString(c, "GET / HTTP/1.1\r\nHost: h\r\n\r\n")
			must.NoError(t, err)
			<-running
			_, err = io.WriteString(c, behind)
			must.NoError(t, err)
			must.NoError(t, c.Close())
			must.True(t, <-ended)
		})
	}
}

// TestUnknownConnection tests requests whose connections are not known.
func TestUnknownConnection(t *testing.T) {
	must.False(t, HasLeft(context.Background()))
	served := false
	h := new(Watch).Handler(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { served = !HasLeft(r.Context()) }))
	h.ServeHTTP(httptest.NewRecorder(), httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/", nil))
	must.True(t, served)
}
