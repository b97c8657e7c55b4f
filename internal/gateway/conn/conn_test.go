package conn

import (
	"bytes"
	"context"
	"net"
	"net/http"
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
		Header: http.Header{"Baobabdyke-Request-Id": {id}},
		Matches: func(status int, h http.Header) bool {
			got := h.Get("Baobabdyke-Request-Id")
			return got == id || got == "" && status >= 400
		},
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
	return string(body)
}

func TestReuse(t *testing.T) {
	target := fake.NewSiteTarget("i-1", 3)
	address := start(t, target)
	p := NewPool()
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
		address, p := start(t, target), NewPool()
		must.Eq(t, "answer of i-1 to a", exchange(t, p, address, "a"))
	})
	t.Run("a second response closes the connection", func(t *testing.T) {
		target := fake.NewSiteTarget("i-1", 3)
		target.QueueModes(fake.SiteExtraResponse)
		address, p := start(t, target), NewPool()
		exchange(t, p, address, "a")
		// The extra response may still be in transit; its id prevents a mix-up
		// in either case.
		must.Eq(t, "answer of i-1 to b", exchange(t, p, address, "b"))
	})
	t.Run("a response without a length closes the connection", func(t *testing.T) {
		target := fake.NewSiteTarget("i-1", 3)
		target.QueueModes(fake.SiteUnframed)
		address, p := start(t, target), NewPool()
		must.Eq(t, "answer of i-1 to a", exchange(t, p, address, "a"))
		exchange(t, p, address, "b")
		must.Eq(t, 2, target.Connections())
	})
	t.Run("a response before the end of the body makes only the connection unusable", func(t *testing.T) {
		target := fake.NewSiteTarget("i-1", 3)
		target.QueueModes(fake.SiteEarlyResponse)
		address, p := start(t, target), NewPool()
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
			_, ok := NewPool().Do(t.Context(), start(t, target), request("a", nil), false).(Lost)
			must.True(t, ok)
		})
	}
	t.Run("a truncated body is an error", func(t *testing.T) {
		target := fake.NewSiteTarget("i-1", 3)
		target.SetMode(fake.SiteTruncated)
		r, ok := NewPool().Do(t.Context(), start(t, target), request("a", nil), false).(Responded)
		must.True(t, ok)
		_, err := r.Exchange.ReadBody(1 << 10)
		must.Error(t, err)
		r.Exchange.Abort()
	})
}

func TestUnsent(t *testing.T) {
	t.Run("a refused connection", func(t *testing.T) {
		_, ok := NewPool().Do(t.Context(), "127.0.0.1:1", request("a", nil), true).(Unsent)
		must.True(t, ok)
	})
	t.Run("a cancelled context", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		_, ok := NewPool().Do(ctx, "127.0.0.1:1", request("a", nil), true).(Unsent)
		must.True(t, ok)
	})
}

func TestCancel(t *testing.T) {
	target := fake.NewSiteTarget("i-1", 3)
	target.SetMode(fake.SiteHang)
	address := start(t, target)
	ctx, cancel := context.WithCancel(t.Context())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, ok := NewPool().Do(ctx, address, request("a", nil), false).(Lost)
	must.True(t, ok)
}
