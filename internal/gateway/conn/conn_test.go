package conn

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
)

// start runs a fake target and returns its address.
func start(t *testing.T, target *fake.SiteTarget) string {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go target.Serve(l)
	return l.Addr().String()
}

func request(id string, body []byte) Request {
	return Request{
		Method: "POST", Path: "/plain/x", Host: "h", Body: body,
		Header:  http.Header{"Baobabdyke-Request-Id": {id}},
		Matches: func(_ int, h http.Header) bool { return h.Get("Baobabdyke-Request-Id") == id },
	}
}

// exchange sends a request and returns the whole response.
func exchange(t *testing.T, p *Pool, address, id string) string {
	t.Helper()
	r, ok := p.Do(t.Context(), address, request(id, []byte("body")), false).(Responded)
	must.True(t, ok)
	body, err := r.Exchange.ReadBody(1 << 10)
	must.NoError(t, err)
	r.Exchange.Finish()
	defer body.Release()
	return string(body.Data)
}

func TestReuse(t *testing.T) {
	target := fake.NewSiteTarget("i-1", 3)
	address := start(t, target)
	p := NewPool(nil)
	t.Cleanup(p.Close)
	for range 5 {
		must.Eq(t, "answer of i-1 to a", exchange(t, p, address, "a"))
	}
	must.Eq(t, 1, target.Connections())

	t.Run("a fresh send opens a connection", func(t *testing.T) {
		r, ok := p.Do(t.Context(), address, request("b", nil), true).(Responded)
		must.True(t, ok)
		r.Exchange.Abort()
		must.Eq(t, 2, target.Connections())
	})
	t.Run("idle connections are closed", func(t *testing.T) {
		exchange(t, p, address, "a")
		p.Sweep(time.Now().Add(time.Hour))
		exchange(t, p, address, "a")
		must.Eq(t, 3, target.Connections())
	})
}

func TestBadResponses(t *testing.T) {
	t.Run("a late response to another request is skipped", func(t *testing.T) {
		target := fake.NewSiteTarget("i-1", 3)
		target.QueueModes(fake.SiteStrayResponse)
		address, p := start(t, target), NewPool(nil)
		must.Eq(t, "answer of i-1 to a", exchange(t, p, address, "a"))
	})
	t.Run("a second response closes the connection", func(t *testing.T) {
		target := fake.NewSiteTarget("i-1", 3)
		target.QueueModes(fake.SiteExtraResponse)
		address, p := start(t, target), NewPool(nil)
		exchange(t, p, address, "a")
		// The extra response may still be in transit; its id prevents a mix-up
		// in either case.
		must.Eq(t, "answer of i-1 to b", exchange(t, p, address, "b"))
	})
	t.Run("a response without a length closes the connection", func(t *testing.T) {
		target := fake.NewSiteTarget("i-1", 3)
		target.QueueModes(fake.SiteUnframed)
		address, p := start(t, target), NewPool(nil)
		must.Eq(t, "answer of i-1 to a", exchange(t, p, address, "a"))
		exchange(t, p, address, "b")
		must.Eq(t, 2, target.Connections())
	})
	t.Run("a response before the end of the body makes only the connection unusable", func(t *testing.T) {
		target := fake.NewSiteTarget("i-1", 3)
		target.QueueModes(fake.SiteEarlyResponse)
		address, p := start(t, target), NewPool(nil)
		r, ok := p.Do(t.Context(), address, request("a", bytes.Repeat([]byte("x"), 4<<20)), false).(Responded)
		must.True(t, ok)
		must.Eq(t, http.StatusServiceUnavailable, r.Response.StatusCode)
		r.Exchange.Finish()
		must.Eq(t, "answer of i-1 to b", exchange(t, p, address, "b"))
		must.Len(t, 1, target.Runs())
	})
	for name, mode := range map[string]fake.SiteMode{"a reset": fake.SiteReset, "an invalid response": fake.SiteMalformed} {
		t.Run(name+" results in Lost", func(t *testing.T) {
			target := fake.NewSiteTarget("i-1", 3)
			target.SetMode(mode)
			_, ok := NewPool(nil).Do(t.Context(), start(t, target), request("a", nil), false).(Lost)
			must.True(t, ok)
		})
	}
	t.Run("a truncated body is an error", func(t *testing.T) {
		target := fake.NewSiteTarget("i-1", 3)
		target.SetMode(fake.SiteTruncated)
		r, ok := NewPool(nil).Do(t.Context(), start(t, target), request("a", nil), false).(Responded)
		must.True(t, ok)
		_, err := r.Exchange.ReadBody(1 << 10)
		must.Error(t, err)
		r.Exchange.Abort()
	})
}

// TestResponseToAnotherRequest guards against a response, or bytes of one, that is taken
// for that of the next request on a connection.
func TestResponseToAnotherRequest(t *testing.T) {
	const (
		own     = "HTTP/1.1 200 OK\r\nBaobabdyke-Request-Id: own\r\nContent-Length: 3\r\n\r\nown"
		refused = "HTTP/1.1 503 Service Unavailable\r\nBaobabdyke-Not-Executed: 1\r\n"
	)
	inner := refused + "Baobabdyke-Request-Id: own\r\nContent-Length: 0\r\n\r\n"
	withLength := func(head, body string) string {
		return fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, len(body), body)
	}
	for name, c := range map[string]struct {
		method, responses string
		lost              bool
	}{
		"a refusal with an id":           {"POST", withLength(refused+"Baobabdyke-Request-Id: a\r\n", "full") + own, false},
		"a refusal without an id":        {"POST", withLength(refused, "full") + own, false},
		"two refusals":                   {"POST", withLength(refused, "full") + withLength(refused, "full") + own, false},
		"too many refusals":              {"POST", strings.Repeat(withLength(refused, ""), 3) + own, true},
		"a misdirected one":              {"POST", withLength("HTTP/1.1 421 Misdirected Request\r\n", "") + own, false},
		"an error without an id":         {"POST", withLength("HTTP/1.1 500 Internal Server Error\r\n", inner) + own, false},
		"a chunked refusal":              {"POST", refused + "Transfer-Encoding: chunked\r\n\r\n4\r\nfull\r\n0\r\n\r\n" + own, false},
		"a refusal without a length":     {"POST", refused + "\r\n" + inner, true},
		"a refusal that closes":          {"POST", withLength(refused+"Connection: close\r\n", "") + own, true},
		"a refusal with a long body":     {"POST", withLength(refused, strings.Repeat("x", maxStrayBytes)+inner) + own, true},
		"a refusal before a HEAD":        {"HEAD", withLength(refused, inner) + own, true},
		"a refusal to a HEAD":            {"POST", refused + "Content-Length: 3\r\n\r\n" + own, true},
		"an informational response":      {"POST", "HTTP/1.1 103 Early Hints\r\n\r\n" + own, false},
		"nothing but a refusal":          {"POST", withLength(refused, "full"), true},
		"a refusal and a broken one":     {"POST", withLength(refused, "full") + own[:20], true},
		"a success without an id":        {"POST", withLength("HTTP/1.1 200 OK\r\n", "a") + own, false},
		"a success of another":           {"POST", withLength("HTTP/1.1 200 OK\r\nBaobabdyke-Request-Id: a\r\n", "a") + own, false},
		"bytes that belong to no answer": {"POST", "full" + own, true},
	} {
		for _, size := range []int{0, inlineBody + 1} {
			t.Run(fmt.Sprint(name, " with a body of ", size), func(t *testing.T) {
				address := script(t, c.responses)
				r := request("own", bytes.Repeat([]byte("x"), size))
				r.Method = c.method
				p := NewPool(nil)
				t.Cleanup(p.Close)
				switch got := p.Do(t.Context(), address, r, false).(type) {
				case Lost:
					must.True(t, c.lost)
				case Responded:
					must.False(t, c.lost)
					body, err := got.Exchange.ReadBody(1 << 10)
					must.NoError(t, err)
					must.Eq(t, "own", string(body.Data))
					got.Exchange.Finish()
				default:
					t.Fatalf("the request was not sent: %v", got)
				}
			})
		}
	}
}

// script starts a target that writes the responses when it has read a request, closes the
// connection, and returns its address.
func script(t *testing.T, responses string) string {
	t.Helper()
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		r, err := http.ReadRequest(bufio.NewReader(c))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(c, responses)
	}()
	return l.Addr().String()
}

func TestUnsent(t *testing.T) {
	t.Run("a refused connection", func(t *testing.T) {
		_, ok := NewPool(nil).Do(t.Context(), "127.0.0.1:1", request("a", nil), true).(Unsent)
		must.True(t, ok)
	})
	t.Run("a cancelled context", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, ok := NewPool(nil).Do(ctx, "127.0.0.1:1", request("a", nil), true).(Unsent)
		must.True(t, ok)
	})
}

func TestCancel(t *testing.T) {
	target := fake.NewSiteTarget("i-1", 3)
	target.SetMode(fake.SiteHang)
	address := start(t, target)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, ok := NewPool(nil).Do(ctx, address, request("a", nil), false).(Lost)
	must.True(t, ok)
}
