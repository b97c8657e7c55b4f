package node

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
)

// TestCutHeaderCountsAsResponse guards against a response whose header breaks off being
// passed on as a whole one with an empty or short body.
func TestCutHeaderCountsAsResponse(t *testing.T) {
	const seal = "Baobabdyke-Request-Id: r\r\nBaobabdyke-Response-Seal: s\r\n"
	b := newTestbed(t)
	v := b.start("vm-1")
	v.ready()
	for name, head := range map[string]string{
		"a length":            "HTTP/1.1 200 OK\r\n" + seal + "Content-Length: 12\r\nX: y\r\n\r\n",
		"chunks":              "HTTP/1.1 200 OK\r\n" + seal + "Transfer-Encoding: chunked\r\n\r\n",
		"no length":           "HTTP/1.1 200 OK\r\n" + seal + "X: y\r\n\r\n",
		"a length at the end": "HTTP/1.1 200 OK\r\nX: y\r\n" + seal + "Content-Length: 1200\r\n\r\n",
		"bare line feeds":     "HTTP/1.1 200 OK\nBaobabdyke-Request-Id: r\nBaobabdyke-Response-Seal: s\nContent-Length: 3\n\n",
		"an interim response": "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 200 OK\r\n" + seal + "Content-Length: 3\r\n\r\n",
		"early hints":         "HTTP/1.1 103 Early Hints\r\n" + seal + "\r\nHTTP/1.1 200 OK\r\n" + seal + "\r\n",
		"a stray response":    "HTTP/1.1 200 OK\r\nBaobabdyke-Request-Id: q\r\nContent-Length: 0\r\n\r\nHTTP/1.1 200 OK\r\n" + seal + "\r\n",
		"HTTP/1.0":            "HTTP/1.0 200 OK\r\n" + seal + "\r\n",
		"an event stream":     "HTTP/1.1 200 OK\r\n" + seal + "Content-Type: text/event-stream\r\n\r\n",
	} {
		for _, path := range []string{"/commit/", "/stream/b/"} {
			for _, reset := range []bool{false, true} {
				t.Run(fmt.Sprintf("%s, %s, reset %v", path, name, reset), func(t *testing.T) {
					for size := range len(head) {
						for _, target := range append(b.apps[:], b.engines[:]...) {
							target.SetReset(reset)
							target.SetResponse(func(fake.SiteRun) string { return head[:size] })
						}
						got := v.request(path, "r", "Baobabdyke-Prefix-Hash", "aa:50")
						must.NoError(t, got.err)
						must.Eq(t, http.StatusBadGateway, got.status, must.Sprintf("after %q", head[:size]))
					}
				})
			}
		}
	}
}
