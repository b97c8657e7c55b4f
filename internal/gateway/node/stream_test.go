package node

import (
	"fmt"
	"net/http"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
)

// events returns the events of a stream from one id to another.
func events(from, to int) string {
	var s strings.Builder
	for i := from; i <= to; i++ {
		fmt.Fprintf(&s, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return s.String()
}

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
	head = "HTTP/1.1 " + status + "\r\nConnection: close\r\nBaobabdyke-Request-Id: " + run.ID + "\r\n" + head
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
	return head + "\r\n" + body
}

const (
	sealed    = "Baobabdyke-Response-Seal: s\r\n"
	eventType = "Content-Type: text/event-stream\r\n"
	notRun    = "Baobabdyke-Not-Executed: 1\r\n"
)

// TestBrokenStreamStaysBroken guards against a broken stream to which the response of the
// next target is added, or that then looks complete.
func TestBrokenStreamStaysBroken(t *testing.T) {
	b := newTestbed(t)
	v := b.start("vm-1")
	v.earnRetries()
	head := "HTTP/1.1 500 Internal Server Error\r\nContent-Length: 0\r\n\r\n"
	for name, c := range map[string]struct {
		status, head, framing, body string
		// passed is the last event that is passed on.
		passed int
	}{
		"an error":                             {"500 Internal Server Error", sealed, "length", "failed", 2},
		"an error without a length":            {"500 Internal Server Error", sealed, "", "failed", 2},
		"an error that looks like a head":      {"500 Internal Server Error", sealed, "length", head, 2},
		"an error that looks like a stream":    {"500 Internal Server Error", sealed + eventType, "chunked", events(3, 6), 2},
		"a timeout":                            {"504 Gateway Timeout", "", "length", "late", 2},
		"a refusal":                            {"503 Service Unavailable", notRun, "length", "full", 2},
		"a refusal that looks like a stream":   {"503 Service Unavailable", notRun + eventType, "chunked", events(3, 6), 2},
		"a misdirected response":               {"421 Misdirected Request", notRun, "length", "", 2},
		"a missing resource":                   {"404 Not Found", sealed, "length", "none", 2},
		"a success that is no stream":          {"200 OK", sealed, "length", "piece 3", 2},
		"an empty success":                     {"204 No Content", sealed, "length", "", 2},
		"a stream without a seal":              {"200 OK", eventType, "chunked", events(3, 6), 2},
		"an encoded stream":                    {"200 OK", sealed + eventType + "Content-Encoding: gzip\r\n", "chunked", events(3, 6), 2},
		"a stream that skips an event":         {"200 OK", sealed + eventType, "chunked", events(4, 6), 2},
		"a stream without events":              {"200 OK", sealed + eventType, "chunked", "", 2},
		"an empty stream":                      {"200 OK", sealed + eventType, "length", "", 2},
		"a stream without a length":            {"200 OK", sealed + eventType, "", "", 2},
		"a stream of events that were sent":    {"200 OK", sealed + eventType, "chunked", events(1, 2), 2},
		"an event without an id":               {"200 OK", sealed + eventType, "chunked", "data: failed\n\n", 2},
		"a comment":                            {"200 OK", sealed + eventType, "chunked", ": failed\n\n", 2},
		"an event without an id in between":    {"200 OK", sealed + eventType, "chunked", events(3, 3) + "data: failed\n\n" + events(4, 6), 3},
		"a stream that ends within an event":   {"200 OK", sealed + eventType, "chunked", events(3, 3) + "id: 4\ndata: pie", 3},
		"a stream that is cut":                 {"200 OK", sealed + eventType, "cut", events(3, 4), 4},
		"a stream that is cut within an event": {"200 OK", sealed + eventType, "cut", events(3, 3) + "id: 4\n", 3},
		"a stream that is cut at once":         {"200 OK", sealed + eventType, "cut", "", 2},
		"a stream that is cut in a long event": {"200 OK", sealed + eventType, "cut", events(3, 3) + "data: " + strings.Repeat("x", 4096-6-len(events(3, 3))) + "\n", 3},
		"no response":                          {"", "", "cut", "", 2},
	} {
		for first, broken := range map[string]string{"between events": events(1, 2), "within an event": events(1, 2) + "id: 3\ndata: pi"} {
			t.Run(name+" "+first, func(t *testing.T) {
				for _, e := range b.engines {
					e.SetResponse(func(run fake.SiteRun) string {
						switch {
						case run.Header.Get("Last-Event-Id") == "":
							return respond(run, "200 OK", sealed+eventType, "cut", broken)
						case c.status == "":
							return ""
						}
						return respond(run, c.status, c.head, c.framing, c.body)
					})
				}
				before := runs(b.engines)
				got := v.request("/stream/a/", "r")
				must.Error(t, got.err)
				must.Eq(t, http.StatusOK, got.status)
				must.Eq(t, events(1, c.passed), got.body)
				must.Eq(t, 2, runs(b.engines)-before)
			})
		}
	}
	t.Run("a stream that goes on is whole", func(t *testing.T) {
		for _, from := range []int{1, 2, 3} {
			for _, framing := range []string{"chunked", "length", ""} {
				for _, e := range b.engines {
					e.SetResponse(func(run fake.SiteRun) string {
						if run.Header.Get("Last-Event-Id") == "" {
							return respond(run, "200 OK", sealed+eventType, "cut", events(1, 2))
						}
						return respond(run, "200 OK", sealed+eventType, framing, events(from, 6))
					})
				}
				got := v.request("/stream/a/", "r")
				must.NoError(t, got.err)
				must.Eq(t, wholeStream(), got.body)
			}
		}
	})
}

// TestStreamWithoutIDsIsNotResumed guards against events that are passed on twice, since
// the next target doesn't know after which one to go on.
func TestStreamWithoutIDsIsNotResumed(t *testing.T) {
	b := newTestbed(t)
	v := b.start("vm-1")
	v.earnRetries()
	part := "data: piece\n\n"
	for path, engine := range map[string]bool{"/stream/a/": true, "/stream/b/": true, "/lookup/": false} {
		for name, body := range map[string]string{"without ids": part, "with ids": events(1, 1)} {
			if path == "/stream/a/" && name == "with ids" {
				continue
			}
			t.Run(path+" "+name, func(t *testing.T) {
				targets := b.apps
				if engine {
					targets = b.engines
				}
				for _, target := range targets {
					target.SetResponse(func(run fake.SiteRun) string { return respond(run, "200 OK", sealed+eventType, "cut", body) })
				}
				before := runs(targets)
				got := v.request(path, "r")
				must.Error(t, got.err)
				must.Eq(t, body, got.body)
				must.Eq(t, 1, runs(targets)-before)
			})
		}
	}
}

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
