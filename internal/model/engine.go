package model

import (
	"container/list"
	"fmt"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/workload"
	"github.com/baobabdyke/baobabdyke/target"
)

const (
	// enginePrefillRate is the prefill rate in tokens per second.
	enginePrefillRate   = 20_000.0
	engineSlots         = 32
	engineOverhead      = 15 * time.Millisecond
	engineTokenInterval = 20 * time.Millisecond
	engineRestartTime   = 5 * time.Second
)

// An EngineRequest is one request to an engine.
type EngineRequest struct {
	// Pieces are the keys of the prompt's pieces.
	Pieces []uint64
	// Tokens is the length of the prompt.
	Tokens int
	// OutputTokens is the length of the response.
	OutputTokens int
	// OnFirstToken is called at the first token with the number of prompt tokens
	// that the engine had cached, or with -1 if the engine crashed before it.
	OnFirstToken func(cached int)
	// OnDone is called at the end of the response.
	OnDone func()

	cachedTokens int
}

// An Engine models an inference engine with continuous batching: it computes
// prompts one at a time, runs up to engineSlots requests at once, and keeps a
// limited number of pieces in an LRU cache.
type Engine struct {
	// Target is the configuration's entry for the engine.
	Target *config.Target
	// OnEvent is called with each cache event.
	OnEvent func(e *Engine, ev target.CacheEvent)

	schedule  *Schedule
	starts    int
	down      bool
	queue     []*EngineRequest
	active    *EngineRequest
	running   int
	maxPieces int
	lru       *list.List
	cached    map[uint64]*list.Element
	sequence  uint64
	evictions int
}

// NewEngine returns engine n, which caches up to maxPieces pieces.
func NewEngine(s *Schedule, n, maxPieces int) *Engine {
	e := &Engine{schedule: s, maxPieces: maxPieces, Target: &config.Target{
		Name: fmt.Sprintf("engine-%02d", n), Kind: config.TargetEngine, Slots: engineSlots,
	}}
	e.restart()
	return e
}

// restart begins a new incarnation with an empty cache.
func (e *Engine) restart() {
	e.starts++
	e.down = false
	e.queue, e.active, e.running, e.sequence, e.evictions = nil, nil, 0, 0, 0
	e.lru, e.cached = list.New(), map[uint64]*list.Element{}
}

// Incarnation returns the name of the current incarnation.
func (e *Engine) Incarnation() string { return fmt.Sprintf("%s-%d", e.Target.Name, e.starts) }

// Crash fails all requests that have not had a first token. The engine is
// available again, with an empty cache, after engineRestartTime.
func (e *Engine) Crash() {
	lost := e.queue
	if e.active != nil {
		lost = append(lost, e.active)
	}
	e.restart()
	e.down = true
	for _, r := range lost {
		r.OnFirstToken(-1)
	}
	e.schedule.After(engineRestartTime, func() { e.down = false })
}

// CachedPrefix returns how many leading pieces of the prompt are cached.
func (e *Engine) CachedPrefix(pieces []uint64) int {
	for i, p := range pieces {
		if _, ok := e.cached[p]; !ok {
			return i
		}
	}
	return len(pieces)
}

// Enqueue queues a request.
func (e *Engine) Enqueue(r *EngineRequest) {
	e.queue = append(e.queue, r)
	e.startNext()
}

// startNext starts the next prefill if the engine is idle and has a free slot.
func (e *Engine) startNext() {
	if e.active != nil || len(e.queue) == 0 || e.running >= engineSlots {
		return
	}
	r := e.queue[0]
	e.queue = e.queue[1:]
	e.active = r
	e.running++
	r.cachedTokens = min(e.CachedPrefix(r.Pieces)*workload.PieceTokens, r.Tokens)
	cost := engineOverhead + time.Duration(float64(r.Tokens-r.cachedTokens)/enginePrefillRate*float64(time.Second))
	starts := e.starts
	e.schedule.After(cost, func() {
		if e.starts != starts {
			return
		}
		e.active = nil
		e.cachePieces(r.Pieces)
		r.OnFirstToken(r.cachedTokens)
		e.schedule.After(time.Duration(r.OutputTokens)*engineTokenInterval, func() {
			if e.starts == starts {
				e.running--
				e.startNext()
			}
			r.OnDone()
		})
		e.startNext()
	})
}
