package fake

import (
	"encoding/json"
	"net/http"
	"sync"
)

// A pieceList is the body of requests and answers about cached pieces.
type pieceList struct {
	Cache  string   `json:"cache,omitempty"`
	Salt   string   `json:"salt,omitempty"`
	Pieces []uint64 `json:"pieces"`
	Salts  []string `json:"salts,omitempty"`
}

// A Cache is a stand-in of a KV cache: an http.Handler that keeps pieces for
// engines to import.
type Cache struct {
	*Recorder
	mux  *http.ServeMux
	mu   sync.Mutex
	set  *pieceSet
	down bool
}

// NewCache returns a Cache that keeps at most limit pieces.
func NewCache(limit int) *Cache {
	c := &Cache{Recorder: NewRecorder(), mux: http.NewServeMux(), set: newPieceSet(limit)}
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
	c.see(r, nil)
	c.mux.ServeHTTP(w, r)
}

// SetDown makes the cache end every connection without an answer.
func (c *Cache) SetDown(down bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.down = down
}

// Pieces returns the keys of all pieces held, sorted.
func (c *Cache) Pieces() []uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.set.keys()
}

// get answers with those of the wanted keys that are held, up to the first that
// is missing.
func (c *Cache) get(w http.ResponseWriter, r *http.Request) {
	keys, err := parsePieces(r.URL.Query().Get("keys"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	c.mu.Lock()
	list := pieceList{Pieces: []uint64{}}
	for _, item := range c.set.held(keys) {
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
	c.set.add(body.Pieces, body.Salt)
	c.mu.Unlock()
	w.WriteHeader(http.StatusOK)
}
