package fake

import (
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"
)

// TestRestore checks what a SiteStore that is restored from a copy shows.
func TestRestore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := NewSiteStore()
		get := func(path string) *httptest.ResponseRecorder {
			w := httptest.NewRecorder()
			s.ServeHTTP(w, httptest.NewRequestWithContext(t.Context(), http.MethodGet, "/objects/"+path, nil))
			return w
		}
		s.Put("config", "main", 1)
		s.Put("servers", "gone", 1)
		c := s.Copy()
		s.Put("config", "main", 2)
		s.Put("servers", "new", 1)
		s.Remove("servers", "gone")
		s.Put("lease", "orders", 1)
		must.Eq(t, http.StatusOK, get("config?watch=7").Code)
		must.Eq(t, "1", get("config/main").Header().Get(headerEra))

		s.Restore(c, time.Second)
		must.Eq(t, http.StatusGone, get("config?watch=7").Code)
		must.Eq(t, "2", get("config?watch=7").Header().Get(headerEra))
		must.Eq(t, http.StatusNotFound, get("lease/orders").Code)
		must.Eq(t, http.StatusNotFound, get("servers/new").Code)
		must.True(t, strings.Contains(get("config/main").Body.String(), `"spec":1`))

		time.Sleep(time.Second)
		synctest.Wait()
		must.True(t, strings.Contains(get("config/main").Body.String(), `{"name":"main","revision":4},"spec":2`))
		must.Eq(t, http.StatusOK, get("servers/new").Code)
		must.Eq(t, http.StatusNotFound, get("servers/gone").Code)
		must.Eq(t, http.StatusNotFound, get("lease/orders").Code)
	})
}
