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
	// engineRate is the prompt tokens per second of an engine.
	engineRate     = 20_000.0
	engineSlots    = 32
	engineOverhead = 15 * time.Millisecond
	engineToken    = 20 * time.Millisecond
	engineDown     = 5 * time.Second
)

// A Work is one request before an engine.
type Work struct {
	// Pieces are the keys of the prompt.
	Pieces []uint64
	// Tokens is the length of the prompt.
	Tokens int
	// Output is the tokens of the answer.
	Output int
	// First is called at the first token with the tokens that the engine held,
	// or with -1 when the engine was lost.
	First func(held int)
	// Done is called at the end of the answer.
	Done func()

	held int
}

// An Engine models continuous batching: it computes prompts one after the
// other, decodes up to engineSlots answers at once, and caches pieces up to a
// limit, least recently used first.
type Engine struct {
	// Target is the engine as the configuration names it.
	Target *config.Target
	// Emit is called with each cache event.
	Emit func(e *Engine, ev target.CacheEvent)

	s       *Schedule
	births  int
	down    bool
	queue   []*Work
	active  *Work
	running int
	limit   int
	order   *list.List
	cached  map[uint64]*list.Element
	serial  uint64
	evicted int
}

// NewEngine returns engine n, which holds up to limit pieces.
func NewEngine(s *Schedule, n, limit int) *Engine {
	e := &Engine{s: s, limit: limit, Target: &config.Target{
		Name: fmt.Sprintf("engine-%02d", n), Kind: config.TargetEngine, Slots: engineSlots,
	}}
	e.restart()
	return e
}

// restart begins a new incarnation with an empty cache.
func (e *Engine) restart() {
	e.births++
	e.down = false
	e.queue, e.active, e.running, e.serial, e.evicted = nil, nil, 0, 0, 0
	e.order, e.cached = list.New(), map[uint64]*list.Element{}
}

// Incarnation returns the name of the present life of the engine.
func (e *Engine) Incarnation() string { return fmt.Sprintf("%s-%d", e.Target.Name, e.births) }

// Lose ends all work of the engine, which is back empty after engineDown.
func (e *Engine) Lose() {
	lost := e.queue
	if e.active != nil {
		lost = append(lost, e.active)
	}
	e.restart()
	e.down = true
	for _, t := range lost {
		t.First(-1)
	}
	e.s.After(engineDown, func() { e.down = false })
}

// Leading returns how many of the pieces are cached from the start.
func (e *Engine) Leading(pieces []uint64) int {
	for i, p := range pieces {
		if _, ok := e.cached[p]; !ok {
			return i
		}
	}
	return len(pieces)
}

// Enter queues a request.
func (e *Engine) Enter(t *Work) {
	e.queue = append(e.queue, t)
	e.next()
}

// next starts on the next prompt if the engine is free.
func (e *Engine) next() {
	if e.active != nil || len(e.queue) == 0 || e.running >= engineSlots {
		return
	}
	t := e.queue[0]
	e.queue = e.queue[1:]
	e.active = t
	e.running++
	t.held = min(e.Leading(t.Pieces)*workload.PieceTokens, t.Tokens)
	cost := engineOverhead + time.Duration(float64(t.Tokens-t.held)/engineRate*float64(time.Second))
	births := e.births
	e.s.After(cost, func() {
		if e.births != births {
			return
		}
		e.active = nil
		e.store(t.Pieces)
		t.First(t.held)
		e.s.After(time.Duration(t.Output)*engineToken, func() {
			if e.births == births {
				e.running--
				e.next()
			}
			t.Done()
		})
		e.next()
	})
}
