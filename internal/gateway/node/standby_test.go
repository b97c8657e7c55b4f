package node

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestBodyAfterDeadlineStopsNoVM guards against a VM that crashes when the body of a request
// arrives after its deadline.
func TestBodyAfterDeadlineStopsNoVM(t *testing.T) {
	b := newTestbed(t)
	v := b.start("vm-1")
	v.ready()
	var d net.Dialer
	c, err := d.DialContext(t.Context(), "tcp", v.settings.Callers.Address)
	must.NoError(t, err)
	defer func() { _ = c.Close() }()
	responses := bufio.NewReader(c)
	for range 200 {
		_, err := io.WriteString(c, "POST /lookup/ HTTP/1.1\r\nHost: h\r\nBaobabdyke-Request-Id: r\r\nBaobabdyke-Credential: key\r\n"+
			"Baobabdyke-Deadline-Ms: 1\r\nContent-Length: 1\r\n\r\n")
		must.NoError(t, err)
		eventually(t, func() bool { return v.inFlight.Load() == 1 })
		time.Sleep(2 * time.Millisecond)
		_, err = io.WriteString(c, "x")
		must.NoError(t, err)
		resp, err := http.ReadResponse(responses, nil)
		must.NoError(t, err)
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		must.Eq(t, http.StatusGatewayTimeout, resp.StatusCode)
		eventually(t, func() bool { return v.inFlight.Load() == 0 })
	}
}
