package demo

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// TestFirstConfigReportsLastAnswer guards against an error without the answer that kept
// the first configuration from being applied.
func TestFirstConfigReportsLastAnswer(t *testing.T) {
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	answered := false
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		if answered {
			cancel()
			<-r.Context().Done()
			return
		}
		answered = true
		http.Error(w, "the budget of calls is spent", http.StatusServiceUnavailable)
	}))
	defer s.Close()
	targets, err := startStandIns(ctx)
	must.NoError(t, err)
	vm := newNode("vm-1", "hakata")
	vm.operators = strings.TrimPrefix(s.URL, "http://")
	f := &fleet{standIns: targets, client: s.Client(), vms: []*node{vm}}
	must.ErrorContains(t, f.applyFirstConfig(ctx), "503: the budget of calls is spent")
}

// TestNodeSettingsHaveDefaults guards against a demo VM that may not call the object store.
func TestNodeSettingsHaveDefaults(t *testing.T) {
	s := newNode("vm-1", "hakata").settings("127.0.0.1:9000")
	must.Eq(t, float64(settings.DefaultCallsPerSecond), s.Platform.CallsPerSecond)
}
