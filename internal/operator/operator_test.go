package operator

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
)

// A fixedResult is a Configuration that returns the same result for every patch.
type fixedResult struct{ result config.PatchResult }

func (s fixedResult) Current() *config.View { return config.NewView(&config.Config{Version: 7}) }

func (s fixedResult) Submit(context.Context, config.Patch) config.PatchResult { return s.result }

func send(t *testing.T, h http.Handler, method, path, body, token string) *httptest.ResponseRecorder {
	t.Helper()
	r := httptest.NewRequestWithContext(t.Context(), method, path, strings.NewReader(body))
	r.Header.Set("Authorization", "Bearer "+token)
	w := httptest.NewRecorder()
	h.ServeHTTP(w, r)
	return w
}

func handler(result config.PatchResult, ready error, drain func()) http.Handler {
	return NewHandler(Options{
		Token:  []byte("t"),
		Config: fixedResult{result},
		Dumps:  map[string]Dump{"vms": func() any { return []string{"vm-1"} }},
		Ready:  func() error { return ready },
		Drain:  drain,
		Log:    log.NewNopLogger(),
	})
}

func TestPatchOutcomes(t *testing.T) {
	refused := &config.Problems{List: []config.Problem{{File: "patch", Reason: "is wrong"}}}
	cases := map[string]struct {
		result config.PatchResult
		status int
	}{
		`"accepted"`: {config.PatchAccepted{Version: 8}, 200},
		`"conflict"`: {config.PatchConflict{Current: 7}, 409},
		`"refused"`:  {config.PatchRefused{Problems: refused}, 422},
		`"not-sent"`: {config.PatchNotSent{Err: errors.New("down")}, 503},
		`"unknown"`:  {config.PatchUnknown{Err: errors.New("lost")}, 503},
	}
	for outcome, c := range cases {
		t.Run(outcome, func(t *testing.T) {
			w := send(t, handler(c.result, nil, nil), http.MethodPost, "/patch", "{id: a, base: 7, withdraw: [{customer: a, key: k}]}", "t")
			must.Eq(t, c.status, w.Code)
			must.StrContains(t, w.Body.String(), outcome)
		})
	}
	t.Run("malformed", func(t *testing.T) {
		w := send(t, handler(nil, nil, nil), http.MethodPost, "/patch", "{base: x", "t")
		must.Eq(t, 422, w.Code)
	})
}

func TestPaths(t *testing.T) {
	drained := false
	h := handler(nil, errors.New("still warming"), func() { drained = true })
	for path, status := range map[string]int{"/live": 200, "/ready": 503, "/vms": 401, "/dump": 401, "/config": 401, "/debug/vars": 401} {
		must.Eq(t, status, send(t, h, http.MethodGet, path, "", "wrong").Code, must.Sprint(path))
	}
	for _, path := range []string{"/vms", "/dump", "/config", "/debug/vars"} {
		must.Eq(t, 200, send(t, h, http.MethodGet, path, "", "t").Code, must.Sprint(path))
	}
	must.Eq(t, 401, send(t, h, http.MethodPost, "/drain", "", "").Code)
	must.False(t, drained)
	must.Eq(t, 202, send(t, h, http.MethodPost, "/drain", "", "t").Code)
	must.True(t, drained)
}
