package relay

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/internal/fleet/throttle"
	"github.com/baobabdyke/baobabdyke/internal/gateway/caches"
	"github.com/baobabdyke/baobabdyke/internal/gateway/conn"
	"github.com/baobabdyke/baobabdyke/internal/gateway/placing"
	"github.com/baobabdyke/baobabdyke/platform"
)

// TestBrokenTrialCountsAsSound guards against a target that is still preferred although its
// response, which would have replaced that of a silent target, broke off or was malformed.
func TestBrokenTrialCountsAsSound(t *testing.T) {
	const stream = "Content-Type: text/event-stream\r\n"
	for name, c := range map[string]struct {
		rest string
		want placing.Outcome
	}{
		"a body that breaks off":       {"Content-Length: 9\r\n\r\nbody", placing.Failed},
		"a malformed chunk":            {"Transfer-Encoding: chunked\r\n\r\nbody", placing.Failed},
		"a malformed trailer":          {"Transfer-Encoding: chunked\r\n\r\n0\r\nX Y: z\r\n\r\n", placing.Failed},
		"an event that breaks off":     {stream + "Content-Length: 9\r\n\r\nid: 1", placing.Failed},
		"a whole body":                 {"Content-Length: 4\r\n\r\nbody", placing.Inconclusive},
		"a stream that is whole":       {stream + "Content-Length: 0\r\n\r\n", placing.Inconclusive},
		"an event of a stream goes on": {stream + "Content-Length: 99\r\n\r\nid: 1\n\n", placing.Inconclusive},
	} {
		t.Run(name, func(t *testing.T) {
			target := fake.NewSiteTarget("i-1", 3)
			target.SetResponse(func(fake.SiteRun) string { return "HTTP/1.1 200 OK\r\n" + c.rest })
			var lc net.ListenConfig
			l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
			must.NoError(t, err)
			t.Cleanup(func() { _ = l.Close() })
			go target.Serve(l)
			request := conn.Request{Method: http.MethodPost, Path: "/stream/a/", Host: "h", Header: http.Header{}, Matches: func(int, http.Header) bool { return true }}
			pool := conn.NewPool(nil)
			x := &exchange{
				handler: NewHandler(Options{Pool: pool}), response: newResponse(httptest.NewRecorder(), &job{}), ctx: t.Context(),
				info: platform.ResponseInfo{Sealed: true}, result: pool.Do(t.Context(), l.Addr().String(), request, true),
			}
			must.Eq(t, c.want == placing.Inconclusive, x.begins())
			_, end := x.unanswered()
			must.Eq(t, c.want, end)
		})
	}
}

// TestReplacedTargetAddsNoEvent guards against a stream of which a part is passed on from
// a target that was replaced, although the other target began it anew.
func TestReplacedTargetAddsNoEvent(t *testing.T) {
	var lc net.ListenConfig
	l, err := lc.Listen(t.Context(), "tcp", "127.0.0.1:0")
	must.NoError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go fake.NewSiteTarget("i-1", 3).Serve(l)
	request := conn.Request{Method: http.MethodPost, Path: "/stream/a/", Host: "h", Header: http.Header{}, Matches: func(int, http.Header) bool { return true }}
	r, ok := conn.NewPool(nil).Do(t.Context(), l.Addr().String(), request, true).(conn.Responded)
	must.True(t, ok)

	w := httptest.NewRecorder()
	j := &job{route: &site.Route{Resumable: true}, view: &source.View{}, request: httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/stream/a/", nil)}
	x := &exchange{
		handler:    NewHandler(Options{Pool: conn.NewPool(nil), Placer: placing.New("z", time.Second, caches.NewIndex(), throttle.NewTable("vm")), Metrics: NewMetrics(), Log: log.NewNopLogger()}),
		response:   newResponse(w, j),
		choice:     placing.Choice{Target: &site.Target{ID: "i-1"}},
		requestCtx: t.Context(),
		standby:    &standby{next: &exchange{}},
	}
	o, _ := x.passStream(r)
	must.Eq[outcome](t, lost{reason: "the stream fell silent"}, o)
	must.Eq(t, "", w.Body.String())
}
