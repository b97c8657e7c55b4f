package fake

import (
	"context"
	"errors"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/store"
)

// newObjectStoreClient serves h and returns a client of it.
func newObjectStoreClient(t *testing.T, h http.Handler) *store.HTTPStore {
	t.Helper()
	server := httptest.NewServer(h)
	t.Cleanup(server.Close)
	s, err := store.NewHTTPStore(store.HTTPOptions{Base: server.URL})
	must.NoError(t, err)
	return s
}

func TestObjectStore(t *testing.T) {
	m := store.NewMemory()
	s := newObjectStoreClient(t, NewObjectStore(m))
	ctx := t.Context()
	_, err := s.Get(ctx, "a/b c?%")
	must.ErrorIs(t, err, store.ErrNotFound)
	must.Eq(t, store.WriteResult(store.Done{Version: 1}), s.Put(ctx, "a/b c?%", []byte("x"), 0))
	must.Eq(t, store.WriteResult(store.Conflict{Current: 1}), s.Put(ctx, "a/b c?%", []byte("y"), 0))
	must.Eq(t, store.WriteResult(store.Done{Version: 2}), s.Put(ctx, "a/b c?%", nil, 1))
	o, err := s.Get(ctx, "a/b c?%")
	must.NoError(t, err)
	must.Eq(t, 2, o.Version)
	list, err := s.List(ctx, "a/")
	must.NoError(t, err)
	must.Len(t, 1, list)
	must.Eq(t, "a/b c?%", list[0].Key)
	must.Eq(t, store.WriteResult(store.Done{Version: 3}), s.Delete(ctx, "a/b c?%", 2))
	large := make([]byte, store.MaxValueBytes+1)
	_, isNotSent := s.Put(ctx, "large", large, 0).(store.NotSent)
	must.True(t, isNotSent)
}

// TestObjectStoreLostResponse checks that a write that was executed, but whose
// response was lost, is reported as unknown.
func TestObjectStoreLostResponse(t *testing.T) {
	m := store.NewMemory()
	m.SetFault(func(store.Call) store.Fault { return store.Fault{LoseResponse: true} })
	s := newObjectStoreClient(t, NewObjectStore(m))
	_, isUnknown := s.Put(t.Context(), "k", []byte("x"), 0).(store.Unknown)
	must.True(t, isUnknown)
	m.SetFault(nil)
	o, err := s.Get(t.Context(), "k")
	must.NoError(t, err)
	must.Eq(t, "x", string(o.Value))
}

func TestObjectStoreUnavailable(t *testing.T) {
	m := store.NewMemory()
	m.SetFault(store.Down())
	s := newObjectStoreClient(t, NewObjectStore(m))
	_, isNotSent := s.Put(t.Context(), "k", []byte("x"), 0).(store.NotSent)
	must.True(t, isNotSent)
	_, err := s.Get(t.Context(), "k")
	must.ErrorIs(t, err, store.ErrUnavailable)
}

func TestObjectStoreUnreachable(t *testing.T) {
	server := httptest.NewServer(http.NotFoundHandler())
	server.Close()
	s, err := store.NewHTTPStore(store.HTTPOptions{Base: server.URL})
	must.NoError(t, err)
	_, isNotSent := s.Put(t.Context(), "k", []byte("x"), 0).(store.NotSent)
	must.True(t, isNotSent)
}

// TestWriteResponses checks which responses leave the outcome of a write unknown.
func TestWriteResponses(t *testing.T) {
	responses := map[string]struct {
		handler http.HandlerFunc
		unknown bool
	}{
		"no version":        {func(http.ResponseWriter, *http.Request) {}, true},
		"server error":      {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusInternalServerError) }, true},
		"bad gateway":       {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusBadGateway) }, true},
		"redirect":          {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusFound) }, true},
		"too many requests": {func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusTooManyRequests) }, false},
		"truncated": {func(w http.ResponseWriter, _ *http.Request) {
			w.Header().Set(store.HeaderVersion, "1")
			w.Header().Set("Content-Length", "10")
			_, _ = w.Write([]byte("x"))
			panic(http.ErrAbortHandler)
		}, true},
	}
	for name, c := range responses {
		t.Run(name, func(t *testing.T) {
			s := newObjectStoreClient(t, c.handler)
			result := s.Put(t.Context(), "k", []byte("x"), 0)
			_, unknown := result.(store.Unknown)
			must.Eq(t, c.unknown, unknown, must.Sprintf("result %#v", result))
		})
	}
}

func TestWatch(t *testing.T) {
	m := store.NewMemory()
	s := newObjectStoreClient(t, NewObjectStore(m))
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	events, err := s.Watch(ctx, "a/", 0)
	must.NoError(t, err)
	m.Put(ctx, "b/1", []byte("no"), 0)
	m.Put(ctx, "a/1", []byte("yes"), 0)
	e := <-events
	must.Eq(t, "yes", string(e.Object.Value))
	m.Delete(ctx, "a/1", e.Object.Version)
	must.True(t, (<-events).Deleted)
	cancel()
	_, open := <-events
	must.False(t, open)
}

// TestSilentWatchTimesOut checks that the client ends a watch on which not even
// pings arrive.
func TestSilentWatchTimesOut(t *testing.T) {
	o := NewObjectStore(store.NewMemory())
	o.MuteWatches(true)
	server := httptest.NewServer(o)
	defer server.Close()
	s, err := store.NewHTTPStore(store.HTTPOptions{Base: server.URL, WatchTimeout: time.Millisecond})
	must.NoError(t, err)
	_, err = s.Watch(t.Context(), "", 0)
	must.True(t, errors.Is(err, store.ErrUnavailable))
}

func TestDirectory(t *testing.T) {
	m := store.NewMemory()
	vms := []store.VMRecord{{ID: "vm-1", Address: "192.0.2.1", DataCentre: "hakata", State: store.VMLive}}
	m.SetVMs(vms)
	server := httptest.NewServer(NewObjectStore(m))
	defer server.Close()
	d, err := store.NewHTTPDirectory(store.HTTPOptions{Base: server.URL})
	must.NoError(t, err)
	got, err := d.VMs(t.Context())
	must.NoError(t, err)
	must.Eq(t, vms, got)
}
