package node

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"

	"github.com/shoenig/test/must"
)

// upload sends a request with a long body as a caller.
func (v *testVM) upload(path string) result {
	v.t.Helper()
	body := bytes.NewReader(bytes.Repeat([]byte("x"), 8<<20))
	req, err := http.NewRequestWithContext(v.t.Context(), http.MethodPost, "http://"+v.settings.Callers.Address+path, body)
	must.NoError(v.t, err)
	req.Host = "h"
	req.Header = http.Header{
		"Baobabdyke-Request-Id": {"r"}, "Baobabdyke-Credential": {"key"}, "Baobabdyke-Deadline-Ms": {"2500"},
		"Baobabdyke-Model": {"m"}, "Baobabdyke-Token-Usage": {"100,10"}, "Baobabdyke-Prefix-Hash": {"aa:50,bb:50"},
	}
	resp, err := http.DefaultClient.Do(req)
	must.NoError(v.t, err)
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	return result{resp.StatusCode, resp.Header, string(text), err, resp.Close}
}

// TestResetDuringUploadLooksComplete guards against a part of a response without a length that
// is passed on as a whole one, because its target reset the connection while the request was
// written to it.
func TestResetDuringUploadLooksComplete(t *testing.T) {
	for path, c := range map[string]struct {
		service    string
		sends      int64
		head, part string
		// passed reports whether the part is passed on before the connection ends.
		passed bool
	}{
		"/lookup/":   {"app", 2, sealed, "part", false},
		"/commit/":   {"app", 1, sealed, "part", false},
		"/stream/a/": {"llm", 2, sealed + eventType, events(1, 1), true},
		"/stream/b/": {"llm", 1, sealed + eventType, events(1, 1), true},
	} {
		t.Run(path, func(t *testing.T) {
			b := newTestbed(t)
			var sends atomic.Int64
			for i := range 2 {
				b.store.Remove("servers", fmt.Sprint(c.service, "-", i))
				b.rawListener(c.service, fmt.Sprint("raw-", i), func(conn net.Conn) {
					r, err := http.ReadRequest(bufio.NewReader(conn))
					if err != nil || r.Method != http.MethodPost {
						return
					}
					sends.Add(1)
					_, _ = io.WriteString(conn, "HTTP/1.1 200 OK\r\nBaobabdyke-Request-Id: r\r\n"+c.head+"\r\n"+c.part)
					_ = conn.(*net.TCPConn).SetLinger(0)
				})
			}
			v := b.start("vm-1")
			v.ready()
			for range 10 {
				before := sends.Load()
				got := v.upload(path)
				if got.status == http.StatusOK {
					must.True(t, c.passed)
					must.Error(t, got.err)
				} else {
					must.Eq(t, http.StatusBadGateway, got.status)
				}
				must.LessEq(t, c.sends, sends.Load()-before)
			}
		})
	}
}
