package relay

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

// TestPauseIsNotTold guards against a refusal that names another Retry-After than the
// rest of the shortest pause while all targets are paused.
func TestPauseIsNotTold(t *testing.T) {
	const left = 3 * time.Second
	for name, c := range map[string]struct {
		pause time.Duration
		runs  int
		want  failure
	}{
		"a pause":                    {2 * time.Second, 0, refusal{http.StatusServiceUnavailable, "all targets are paused or at their limits", 2 * time.Second}},
		"no pause":                   {0, 0, refusal{http.StatusServiceUnavailable, "no target can run the request now: no target", busyRetry}},
		"a pause after the deadline": {left, 0, refusal{http.StatusServiceUnavailable, "no target can run the request now: no target", busyRetry}},
		"the request has run":        {2 * time.Second, 1, indeterminate{http.StatusBadGateway, "the target's answer was lost"}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				j := &job{
					request: httptest.NewRequestWithContext(t.Context(), http.MethodPost, "/", nil),
					route:   &site.Route{Kind: site.AtMostOnce}, deadline: time.Now().Add(left), runs: c.runs,
				}
				must.True(t, c.want == j.failure(t.Context(), notRun{reason: "no target"}, c.pause))
			})
		})
	}
}
