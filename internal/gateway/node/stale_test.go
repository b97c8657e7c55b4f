package node

import (
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// TestRequestIsRejectedByStaleConfiguration guards against a VM that rejects a key or a
// route that it may not have heard of yet.
func TestRequestIsRejectedByStaleConfiguration(t *testing.T) {
	const bound = 2 * time.Second
	bounds := settings.Bounds{Config: bound, Drain: bound, Weights: 10 * time.Second}
	runFleet(t, 8, bounds, func(f *watchFleet) {
		status := func(path, key string) int {
			r := httptest.NewRequestWithContext(t.Context(), http.MethodGet, path, nil)
			r.Host = "h"
			r.Header.Set("Baobabdyke-Request-Id", "r")
			r.Header.Set("Baobabdyke-Credential", key)
			w := httptest.NewRecorder()
			f.vms[0].relay.ServeHTTP(w, r)
			if w.Code == http.StatusServiceUnavailable {
				must.NotEq(t, "", w.Header().Get("Retry-After"))
			}
			return w.Code
		}
		must.Eq(t, http.StatusNotFound, status("/nowhere/", "key"))
		must.Eq(t, http.StatusUnauthorized, status("/lookup/", "other"))
		for _, v := range f.vms {
			v.link.setFault(linkReset)
		}
		time.Sleep(bound)
		must.Eq(t, http.StatusServiceUnavailable, status("/nowhere/", "key"))
		must.Eq(t, http.StatusServiceUnavailable, status("/lookup/", "other"))
		for _, v := range f.vms {
			v.link.setFault(linkOK)
		}
		time.Sleep(2 * bound)
		must.Eq(t, http.StatusNotFound, status("/nowhere/", "key"))
		must.Eq(t, http.StatusUnauthorized, status("/lookup/", "other"))
	})
}
