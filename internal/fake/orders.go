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

// freeLoads is the number of loads at once that do not slow each other down.
const freeLoads = 2

// A WeightStore is where engines load weights from. Loads slow down when more
// than two run at once.
type WeightStore struct {
	mu       sync.Mutex
	loadTime time.Duration
	running  int
	most     int
}

// NewWeightStore returns a WeightStore with the time of one load.
func NewWeightStore(loadTime time.Duration) *WeightStore {
	return &WeightStore{loadTime: loadTime}
}

// load waits as long as a load takes.
func (s *WeightStore) load(ctx context.Context) bool {
	s.mu.Lock()
	s.running++
	s.most = max(s.most, s.running)
	d := s.loadTime * time.Duration(max(1, s.running-freeLoads+1))
	s.mu.Unlock()
	defer func() {
		s.mu.Lock()
		s.running--
		s.mu.Unlock()
	}()
	return store.Sleep(ctx, d)
}

// MostAtOnce returns the largest number of loads that ran at once.
func (s *WeightStore) MaxConcurrentLoads() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.most
}

// Orders returns the orders that the engine carried out.
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
	life, loads := e.life, o.Kind == target.OrderLoad && !e.holds(o.Model, o.Version)
	e.mu.Unlock()
	if loads && !e.opts.Weights.load(life) {
		abort()
	}
	e.mu.Lock()
	e.carryOut(o)
	e.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}

// fenced tells whether an order is older than one that was seen.
func (e *Engine) fenced(o target.Order) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.opts.Fencing && o.FencingToken < e.fence {
		return true
	}
	e.fence = max(e.fence, o.FencingToken)
	return false
}

// holds tells whether the engine holds the version. The caller holds mu.
func (e *Engine) holds(model, version string) bool {
	for _, l := range e.loaded {
		if l.Model == model && l.Version == version {
			return true
		}
	}
	return false
}

// carryOut changes the state as ordered. The caller holds mu.
func (e *Engine) carryOut(o target.Order) {
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
	if e.holds(o.Model, o.Version) {
		return
	}
	e.unloadModel(o.Model)
	e.loaded = append(e.loaded, target.Loaded{Model: o.Model, Version: o.Version})
	e.weights = o.Version
	e.cache.clear()
	e.record(target.EventCleared, nil)
}

func (e *Engine) unloadModel(model string) {
	var rest []target.Loaded
	for _, l := range e.loaded {
		if l.Model != model {
			rest = append(rest, l)
		}
	}
	e.loaded = rest
}

func (e *Engine) addAdapter(o target.Order) {
	for i, l := range e.loaded {
		if l.Model != o.Model {
			continue
		}
		for _, have := range l.Adapters {
			if have == o.Adapter {
				return
			}
		}
		e.loaded[i].Adapters = append(append([]string(nil), l.Adapters...), o.Adapter)
	}
}

// export copies those of the pieces that are cached here to a KV cache.
func (e *Engine) export(ctx context.Context, cache, salt string, pieces []uint64) {
	e.mu.Lock()
	n := e.cache.leading(pieces, salt)
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
		e.store([]uint64{key}, found.Salts[i])
	}
	e.mu.Unlock()
	writeJSON(w, http.StatusOK, pieceList{Pieces: found.Pieces})
}
