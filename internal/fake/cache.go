package fake

import (
	"encoding/json"
	"net/http"
	"sync"
)

// A pieceList is the body of requests and responses about cached pieces.
type pieceList struct {
	Cache  string   `json:"cache,omitempty"`
	Salt   string   `json:"salt,omitempty"`
	Pieces []uint64 `json:"pieces"`
	Salts  []string `json:"salts,omitempty"`
}

// A Cache is a stand-in for a KV cache: an http.Handler that stores pieces, which
// engines can import.
type Cache struct {
	*Recorder
	mux    *http.ServeMux
	mu     sync.Mutex
	pieces *pieceSet
	down   bool
}

// NewCache returns a Cache that stores at most limit pieces.
func NewCache(limit int) *Cache {
	c := &Cache{Recorder: NewRecorder(), mux: http.NewServeMux(), pieces: newPieceSet(limit)}
	c.mux.HandleFunc("GET /pieces", c.get)
	c.mux.HandleFunc("PUT /pieces", c.put)
	return c
}

// ServeHTTP implements http.Handler.
func (c *Cache) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.mu.Lock()
	down := c.down
	c.mu.Unlock()
	if down {
		abort()
	}
	c.recordRequest(r, nil)
	c.mux.ServeHTTP(w, r)
}

// SetDown makes the cache abort every request without a response.
func (c *Cache) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// Pieces returns the sorted keys of all stored pieces.
func (c *Cache) Pieces() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.pieces.keys()
}

// get returns the requested keys that are stored, up to the first one that is
// missing.
func (c *Cache) get(w http.ResponseWriter, r *http.Request) {
	keys, err := parsePieces(r.URL.Query().Get("keys"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	list := pieceList{Pieces: []uint64{}}
	for _, item := range c.pieces.prefixItems(keys) {
		list.Pieces = append(list.Pieces, item.key)
		list.Salts = append(list.Salts, item.salt)
	}
	c.mu.Unlock()
	writeJSON(w, http.StatusOK, list)
}

func (c *Cache) put(w http.ResponseWriter, r *http.Request) {
	var body pieceList
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	c.pieces.add(body.Pieces, body.Salt)
	c.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}
