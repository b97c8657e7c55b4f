package node

import (
	"fmt"
	"net/http"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
)

// earnRetries waits until the VM is ready and sends requests that permit a retry at each
// service.
func (v *testVM) earnRetries() {
	v.t.Helper()
	v.ready()
	for _, path := range []string{"/lookup/", "/stream/a/"} {
		for range 3 {
			must.Eq(v.t, http.StatusOK, v.request(path, "r").status)
		}
	}
}

// respond returns a response of a target to a run. The framing is "chunked", "length" or
// empty for a response that ends with its connection; "cut" is chunked without an end.
func respond(run fake.SiteRun, status, head, framing, body string) string {
	head = "HTTP/1.1 " + status + "\r\nBaobabdyke-Request-Id: " + run.ID + "\r\n" + head
	chunk := ""
	if body != "" {
		chunk = fmt.Sprintf("%x\r\n%s\r\n", len(body), body)
	}
	switch framing {
	case "chunked":
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk + "0\r\n\r\n"
	case "cut":
		return head + "Transfer-Encoding: chunked\r\n\r\n" + chunk
	case "length":
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	return head + "Connection: close\r\n\r\n" + body
}

const (
	sealed    = "Baobabdyke-Response-Seal: s\r\n"
	eventType = "Content-Type: text/event-stream\r\n"
)

// TestStreamCutBeforeFirstEvent guards against a stream that ended with its connection
// before its first event and is passed on as a whole, empty response.
func TestStreamCutBeforeFirstEvent(t *testing.T) {
	b := newTestbed(t)
	v := b.start("vm-1")
	v.earnRetries()
	for path, want := range map[string]int{"/stream/a/": 2, "/stream/b/": 1} {
		for _, framing := range []string{"", "cut", "chunked", "length"} {
			t.Run(path+" "+framing, func(t *testing.T) {
				for _, e := range b.engines {
					e.SetResponse(func(run fake.SiteRun) string { return respond(run, "200 OK", sealed+eventType, framing, "") })
				}
				before := runs(b.engines)
				got := v.request(path, "r", "Baobabdyke-Prefix-Hash", "own:100")
				must.NoError(t, got.err)
				if framing == "chunked" || framing == "length" {
					must.Eq(t, http.StatusOK, got.status)
					must.Eq(t, "", got.body)
					must.Eq(t, 1, runs(b.engines)-before)
					return
				}
				must.Eq(t, http.StatusBadGateway, got.status)
				must.Eq(t, want, runs(b.engines)-before)
			})
		}
	}
}
