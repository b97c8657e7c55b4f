package relay

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/quarantine"
	"github.com/baobabdyke/baobabdyke/internal/fleet/quota"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/internal/fleet/throttle"
	"github.com/baobabdyke/baobabdyke/internal/gateway/caches"
	"github.com/baobabdyke/baobabdyke/internal/gateway/conn"
	"github.com/baobabdyke/baobabdyke/internal/gateway/placing"
	"github.com/baobabdyke/baobabdyke/internal/gateway/retry"
	"github.com/baobabdyke/baobabdyke/platform"
	"github.com/baobabdyke/baobabdyke/store"
)

// BenchmarkSmallRequest measures the path of a small request up to the choice of a target,
// of which there is none.
func BenchmarkSmallRequest(b *testing.B) {
	cfg, err := platform.DecodeConfig([]byte(`{"version":1,
 "routes":[{"name":"commit","host":"h","prefix":"/commit/","kind":"non_idempotent","timeoutMs":3000,"maxAttempts":1,"service":"app"}],
 "services":[{"name":"app"}],
 "tenants":[{"name":"c","apiKeys":["key"]}]}`))
	must.NoError(b, err)
	view := &source.View{Config: cfg}
	h := NewHandler(Options{
		View: func() *source.View { return view }, Quota: quota.NewLimiter(store.BootClock{}),
		Quarantine: quarantine.NewList(log.NewNopLogger()), OnSuspect: func() {},
		Placer: placing.New("z", time.Second, caches.NewIndex(), throttle.NewTable("vm")), Pool: conn.NewPool(nil),
		Budget: retry.NewBudget(retry.Limits{Ratio: 1, Slack: 1e9, Window: time.Second}), Log: log.NewNopLogger(),
		VMs: func() int { return 1 }, Fresh: func() bool { return true }, UpToDate: func() bool { return true },
		Stop: func() Stop { return Stop{} }, Metrics: NewMetrics(),
	})
	body := make([]byte, 3300)
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequestWithContext(b.Context(), http.MethodPost, "/commit/a", bytes.NewReader(body))
		r.Host = "h"
		r.Header.Set("Baobabdyke-Request-Id", "r")
		r.Header.Set("Baobabdyke-Credential", "key")
		w := httptest.NewRecorder()
		h.ServeHTTP(w, r)
		if w.Code != http.StatusServiceUnavailable {
			b.Fatal(w.Code, w.Body.String())
		}
	}
}
