package model

import (
	"github.com/baobabdyke/baobabdyke/internal/workload"
	"github.com/baobabdyke/baobabdyke/target"
)

// cachePieces caches the pieces of a prompt. The first pieces become the most
// recently used, so they are evicted last.
func (e *Engine) cachePieces(pieces []uint64) {
	var stored, evicted []uint64
	for _, p := range pieces {
		if _, ok := e.cached[p]; !ok {
			stored = append(stored, p)
		}
	}
	for i := len(pieces) - 1; i >= 0; i-- {
		if el, ok := e.cached[pieces[i]]; ok {
			e.lru.MoveToFront(el)
			continue
		}
		e.cached[pieces[i]] = e.lru.PushFront(pieces[i])
	}
	for e.lru.Len() > e.maxPieces {
		last := e.lru.Back()
		p := e.lru.Remove(last).(uint64)
		delete(e.cached, p)
		evicted = append(evicted, p)
	}
	e.evictions += len(evicted)
	e.sendEvent(target.EventStored, stored)
	e.sendEvent(target.EventEvicted, evicted)
}

func (e *Engine) sendEvent(kind string, pieces []uint64) {
	if len(pieces) == 0 {
		return
	}
	e.sequence++
	e.OnEvent(e, target.CacheEvent{
		Sequence: e.sequence, Incarnation: e.Incarnation(), Weights: "w1", Kind: kind, Pieces: pieces,
	})
}

// Snapshot returns all cached pieces, the most recently used first.
func (e *Engine) Snapshot() target.CacheSnapshot {
	s := target.CacheSnapshot{Sequence: e.sequence, Incarnation: e.Incarnation(), Weights: "w1"}
	for el := e.lru.Front(); el != nil; el = el.Next() {
		s.Pieces = append(s.Pieces, el.Value.(uint64))
	}
	return s
}

// Report returns the state of the engine and resets its count of evictions.
func (e *Engine) Report() target.Report {
	r := target.Report{
		Incarnation: e.Incarnation(), Weights: "w1", Queued: len(e.queue), Running: e.running,
		PrefillRate: enginePrefillRate, CachePieces: e.maxPieces, EvictionRate: float64(e.evictions) / reportInterval.Seconds(),
	}
	e.evictions = 0
	for _, queued := range e.queue {
		r.PendingTokens += max(0, queued.Tokens-e.CachedPrefix(queued.Pieces)*workload.PieceTokens)
	}
	if e.active != nil {
		r.PendingTokens += (e.active.Tokens - e.active.cachedTokens) / 2
	}
	return r
}
