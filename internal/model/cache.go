package model

import (
	"github.com/baobabdyke/baobabdyke/internal/workload"
	"github.com/baobabdyke/baobabdyke/target"
)

// store caches pieces so that the first of them are evicted last.
func (e *Engine) store(pieces []uint64) {
	var stored, evicted []uint64
	for _, p := range pieces {
		if _, ok := e.cached[p]; !ok {
			stored = append(stored, p)
		}
	}
	for i := len(pieces) - 1; i >= 0; i-- {
		if el, ok := e.cached[pieces[i]]; ok {
			e.order.MoveToFront(el)
			continue
		}
		e.cached[pieces[i]] = e.order.PushFront(pieces[i])
	}
	for e.order.Len() > e.limit {
		last := e.order.Back()
		p := e.order.Remove(last).(uint64)
		delete(e.cached, p)
		evicted = append(evicted, p)
	}
	e.evicted += len(evicted)
	e.event(target.EventStored, stored)
	e.event(target.EventEvicted, evicted)
}

func (e *Engine) event(kind string, pieces []uint64) {
	if len(pieces) == 0 {
		return
	}
	e.serial++
	e.Emit(e, target.CacheEvent{
		Sequence: e.serial, Incarnation: e.Incarnation(), Weights: "w1", Kind: kind, Pieces: pieces,
	})
}

// Snapshot returns all that the engine holds, the last used first.
func (e *Engine) Snapshot() target.CacheSnapshot {
	s := target.CacheSnapshot{Sequence: e.serial, Incarnation: e.Incarnation(), Weights: "w1"}
	for el := e.order.Front(); el != nil; el = el.Next() {
		s.Pieces = append(s.Pieces, el.Value.(uint64))
	}
	return s
}

// Report returns the state of the engine, and begins a new count of evictions.
func (e *Engine) Report() target.Report {
	r := target.Report{
		Incarnation: e.Incarnation(), Weights: "w1", Queued: len(e.queue), Running: e.running,
		PrefillRate: engineRate, CachePieces: e.limit, EvictionRate: float64(e.evicted) / reportEvery.Seconds(),
	}
	e.evicted = 0
	for _, t := range e.queue {
		r.PendingTokens += max(0, t.Tokens-e.Leading(t.Pieces)*workload.PieceTokens)
	}
	if e.active != nil {
		r.PendingTokens += (e.active.Tokens - e.active.held) / 2
	}
	return r
}
