package fake

import (
	"bytes"
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/target"
)

// maxFullSpeedLoads is the number of concurrent loads that do not slow each
// other down.
const maxFullSpeedLoads = 2

// A WeightStore is a stand-in for the storage that engines load weights from.
// Loads take longer when more than maxFullSpeedLoads run concurrently.
type WeightStore struct {
	mu         sync.Mutex
	loadTime   time.Duration
	running    int
	maxRunning int
}

// NewWeightStore returns a WeightStore in which a single load takes loadTime.
func NewWeightStore(loadTime time.Duration) *WeightStore {
	return &WeightStore{loadTime: loadTime}
}

// load waits for the duration of a load. It reports whether the load completed
// before ctx was done.
func (s *WeightStore) load(ctx context.Context) bool {
	s.mu.Lock()
	s.running++
	s.maxRunning = max(s.maxRunning, s.running)
	d := s.loadTime * time.Duration(max(1, s.running-maxFullSpeedLoads+1))
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	return store.Sleep(ctx, d)
}

// MaxConcurrentLoads returns the largest number of loads that ran concurrently.
func (s *WeightStore) MaxConcurrentLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.maxRunning
}

// Orders returns the orders that the engine executed.
func (e *Engine) Orders() []target.Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	return append([]target.Order(nil), e.orders...)
}

func (e *Engine) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o target.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if e.fenced(o) {
		writeJSON(w, http.StatusConflict, struct {
			Reason string `json:"reason"`
			Fenced bool   `json:"fenced"`
		}{Reason: "fencing number is old", Fenced: true})
		return
	}
	e.mu.Lock()
	crashCtx, needsLoad := e.crashCtx, o.Kind == target.OrderLoad && !e.hasLoaded(o.Model, o.Version)
	e.mu.Unlock()
	if needsLoad && !e.opts.Weights.load(crashCtx) {
		abort()
	}
	e.mu.Lock()
	e.apply(o)
	e.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

// fenced reports whether fencing is enabled and the fencing token of an order is
// lower than the highest one received. Otherwise it records the token.
func (e *Engine) fenced(o target.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.Fencing && o.FencingToken < e.fencingToken {
		return true
	}
	e.fencingToken = max(e.fencingToken, o.FencingToken)
	return false
}

// hasLoaded reports whether the version of the model is loaded. The caller holds
// mu.
func (e *Engine) hasLoaded(model, version string) bool {
	for _, l := range e.loaded {
		if l.Model == model && l.Version == version {
			return true
		}
	}
	return false
}

// apply changes the state as ordered. The caller holds mu.
func (e *Engine) apply(o target.Order) {
	e.orders = append(e.orders, o)
	switch o.Kind {
	case target.OrderLoad:
		e.loadModel(o)
	case target.OrderUnload:
		e.unloadModel(o.Model)
	case target.OrderAdapter:
		e.addAdapter(o)
	case target.OrderRole:
		e.role = o.Role
	}
	e.report = target.Report{}
}

func (e *Engine) loadModel(o target.Order) {
	if e.hasLoaded(o.Model, o.Version) {
		return
	}
	e.unloadModel(o.Model)
	e.loaded = append(e.loaded, target.Loaded{Model: o.Model, Version: o.Version})
	e.weights = o.Version
	e.cache.clear()
	e.recordEvent(target.EventCleared, nil)
}

func (e *Engine) unloadModel(model string) {
	var remaining []target.Loaded
	for _, l := range e.loaded {
		if l.Model != model {
			remaining = append(remaining, l)
		}
	}
	e.loaded = remaining
}

func (e *Engine) addAdapter(o target.Order) {
	for i, l := range e.loaded {
		if l.Model != o.Model {
			continue
		}
		for _, existing := range l.Adapters {
			if existing == o.Adapter {
				return
			}
		}
		e.loaded[i].Adapters = append(append([]string(nil), l.Adapters...), o.Adapter)
	}
}

// export copies the leading cached pieces to a KV cache.
func (e *Engine) export(ctx context.Context, cache, salt string, pieces []uint64) {
	e.mu.Lock()
	n := e.cache.countPrefix(pieces, salt)
	e.mu.Unlock()
	body, _ := json.Marshal(pieceList{Salt: salt, Pieces: pieces[:n]})
	r, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+cache+"/pieces", bytes.NewReader(body))
	if err != nil {
		return
	}
	resp, err := e.opts.Client.Do(r)
	if err == nil {
		_ = resp.Body.Close()
	}
}

// serveExport copies pieces to a KV cache.
func (e *Engine) serveExport(w http.ResponseWriter, r *http.Request) {
	var body pieceList
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	e.export(r.Context(), body.Cache, body.Salt, body.Pieces)
	w.WriteHeader(http.StatusOK)
}

// serveImport copies pieces from a KV cache.
func (e *Engine) serveImport(w http.ResponseWriter, r *http.Request) {
	var body pieceList
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	url := "http://" + body.Cache + "/pieces?keys=" + formatPieces(body.Pieces)
	out, err := http.NewRequestWithContext(r.Context(), http.MethodGet, url, http.NoBody)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	resp, err := e.opts.Client.Do(out)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	defer resp.Body.Close()
	var found pieceList
	if err := json.NewDecoder(resp.Body).Decode(&found); err != nil {
		http.Error(w, err.Error(), http.StatusBadGateway)
		return
	}
	e.mu.Lock()
	for i, key := range found.Pieces {
		e.storePieces([]uint64{key}, found.Salts[i])
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, pieceList{Pieces: found.Pieces})
}
