package route_test

import (
	"container/heap"
	"container/list"
	"fmt"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/target"
)

const (
	modelPiece     = 2048
	modelRate      = 20_000.0
	modelSlots     = 32
	modelOverhead  = 15 * time.Millisecond
	modelToken     = 20 * time.Millisecond
	modelReport    = 250 * time.Millisecond
	modelLag       = 200 * time.Millisecond
	modelEventLag  = 300 * time.Millisecond
	modelSnapshots = 600 * time.Millisecond
	modelDown      = 5 * time.Second
	modelPeer      = 2 * time.Millisecond
)

// A schedule runs functions in virtual time, in the order of their times and
// then of their making.
type schedule struct {
	now    time.Time
	serial int
	items  scheduleHeap
}

type scheduleItem struct {
	at     time.Time
	serial int
	run    func()
}

type scheduleHeap []scheduleItem

func (h scheduleHeap) Len() int { return len(h) }
func (h scheduleHeap) Less(i, j int) bool {
	if h[i].at.Equal(h[j].at) {
		return h[i].serial < h[j].serial
	}
	return h[i].at.Before(h[j].at)
}
func (h scheduleHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }
func (h *scheduleHeap) Push(x any)   { *h = append(*h, x.(scheduleItem)) }
func (h *scheduleHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	return last
}

func (s *schedule) after(d time.Duration, run func()) {
	s.serial++
	heap.Push(&s.items, scheduleItem{s.now.Add(d), s.serial, run})
}

func (s *schedule) run(until time.Time) {
	for len(s.items) > 0 && s.items[0].at.Before(until) {
		item := heap.Pop(&s.items).(scheduleItem)
		s.now = item.at
		item.run()
	}
}

// A task is one request before an engine model. First is called with the tokens
// that the engine held, or -1 when the engine was lost.
type task struct {
	pieces []uint64
	tokens int
	output int
	held   int
	first  func(held int)
	done   func()
}

// A modelEngine computes prompts one after the other, decodes up to modelSlots
// answers at once, and caches pieces up to a limit, least recently used first.
type modelEngine struct {
	s       *schedule
	target  *config.Target
	births  int
	down    bool
	queue   []*task
	active  *task
	running int
	limit   int
	order   *list.List
	cached  map[uint64]*list.Element
	serial  uint64
	evicted int
	emit    func(e *modelEngine, ev target.CacheEvent)
}

func newModelEngine(s *schedule, n, limit int) *modelEngine {
	e := &modelEngine{s: s, limit: limit, target: &config.Target{
		Name: fmt.Sprintf("engine-%02d", n), Kind: config.TargetEngine, Slots: modelSlots,
	}}
	e.restart()
	return e
}

// restart begins a new incarnation with an empty cache.
func (e *modelEngine) restart() {
	e.births++
	e.down = false
	e.queue, e.active, e.running, e.serial, e.evicted = nil, nil, 0, 0, 0
	e.order, e.cached = list.New(), map[uint64]*list.Element{}
}

func (e *modelEngine) incarnation() string { return fmt.Sprintf("%s-%d", e.target.Name, e.births) }

// lose ends all work of the engine, which is back empty after modelDown.
func (e *modelEngine) lose() {
	lost := e.queue
	if e.active != nil {
		lost = append(lost, e.active)
	}
	e.restart()
	e.down = true
	for _, t := range lost {
		t.first(-1)
	}
	e.s.after(modelDown, func() { e.down = false })
}

// leading returns how many of the pieces are cached from the start.
func (e *modelEngine) leading(pieces []uint64) int {
	for i, p := range pieces {
		if _, ok := e.cached[p]; !ok {
			return i
		}
	}
	return len(pieces)
}

func (e *modelEngine) enter(t *task) {
	e.queue = append(e.queue, t)
	e.next()
}

// next starts on the next prompt if the engine is free.
func (e *modelEngine) next() {
	if e.active != nil || len(e.queue) == 0 || e.running >= modelSlots {
		return
	}
	t := e.queue[0]
	e.queue = e.queue[1:]
	e.active = t
	e.running++
	t.held = min(e.leading(t.pieces)*modelPiece, t.tokens)
	cost := modelOverhead + time.Duration(float64(t.tokens-t.held)/modelRate*float64(time.Second))
	births := e.births
	e.s.after(cost, func() {
		if e.births != births {
			return
		}
		e.active = nil
		e.store(t.pieces)
		t.first(t.held)
		e.s.after(time.Duration(t.output)*modelToken, func() {
			if e.births == births {
				e.running--
				e.next()
			}
			t.done()
		})
		e.next()
	})
}

// store caches pieces so that the first of them are evicted last.
func (e *modelEngine) store(pieces []uint64) {
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

func (e *modelEngine) event(kind string, pieces []uint64) {
	if len(pieces) == 0 {
		return
	}
	e.serial++
	e.emit(e, target.CacheEvent{
		Sequence: e.serial, Incarnation: e.incarnation(), Weights: "w1", Kind: kind, Pieces: pieces,
	})
}

func (e *modelEngine) snapshot() target.CacheSnapshot {
	s := target.CacheSnapshot{Sequence: e.serial, Incarnation: e.incarnation(), Weights: "w1"}
	for el := e.order.Front(); el != nil; el = el.Next() {
		s.Pieces = append(s.Pieces, el.Value.(uint64))
	}
	return s
}

func (e *modelEngine) report() target.Report {
	r := target.Report{
		Incarnation: e.incarnation(), Weights: "w1", Queued: len(e.queue), Running: e.running,
		PrefillRate: modelRate, CachePieces: e.limit, Evictions: float64(e.evicted) / modelReport.Seconds(),
	}
	e.evicted = 0
	for _, t := range e.queue {
		r.Pending += max(0, t.tokens-e.leading(t.pieces)*modelPiece)
	}
	if e.active != nil {
		r.Pending += (e.active.tokens - e.active.held) / 2
	}
	return r
}
