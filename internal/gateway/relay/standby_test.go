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
)

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
