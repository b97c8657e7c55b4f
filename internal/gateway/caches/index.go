// Package caches tracks which engines hold which prompt segments, from the event
// feeds of engines and KV cache stores.
//
// Shared prompts return about as often as engines evict them, so that a guess by
// age alone would be wrong half of the time.
package caches

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

// A Key identifies one segment of a prompt under one salt.
type Key uint64

// KeyOf returns the key of a segment.
func KeyOf(salt, segment string) Key {
	h := xxhash.New()
	_, _ = h.WriteString(salt)
	_, _ = h.WriteString("/")
	_, _ = h.WriteString(segment)
	return Key(h.Sum64())
}

// feedTTL is how long after its last response a feed is trusted.
const feedTTL = 2500 * time.Millisecond

// A Change is one event of a feed.
type Change struct {
	Stored bool
	Key    Key
}

// A Batch is the result of one read of a feed.
type Batch struct {
	// Epoch changes when the engine has restarted.
	Epoch int64
	// Gap reports whether events before these are missing.
	Gap     bool
	Changes []Change
	Notice  site.Notice
}

// A cache is the known content of one engine's cache.
type cache struct {
	epoch     int64
	segments  map[Key]struct{}
	updatedAt time.Time
}

// An Index holds the content of all caches. It is safe for concurrent use.
type Index struct {
	mu     sync.Mutex
	caches map[string]*cache
}

// NewIndex returns an empty Index.
func NewIndex() *Index { return &Index{caches: map[string]*cache{}} }

// Apply applies a batch of an engine's events.
func (x *Index) Apply(id string, b Batch, now time.Time) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, ok := x.caches[id]
	if !ok || c.epoch != b.Epoch || b.Gap {
		c = &cache{epoch: b.Epoch, segments: map[Key]struct{}{}}
		x.caches[id] = c
	}
	c.updatedAt = now
	for _, change := range b.Changes {
		if change.Stored {
			c.segments[change.Key] = struct{}{}
		} else {
			delete(c.segments, change.Key)
		}
	}
}

// Drop removes an engine.
func (x *Index) Drop(id string) {
	x.mu.Lock()
	defer x.mu.Unlock()
	delete(x.caches, id)
}

// Holds reports whether an engine holds a segment, and whether that is known.
func (x *Index) Holds(id string, k Key, now time.Time) (held, known bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	c, ok := x.caches[id]
	if !ok || now.Sub(c.updatedAt) > feedTTL {
		return false, false
	}
	_, held = c.segments[k]
	return held, true
}

// Size returns the number of segments that an engine is known to hold.
func (x *Index) Size(id string) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	if c, ok := x.caches[id]; ok {
		return len(c.segments)
	}
	return 0
}
