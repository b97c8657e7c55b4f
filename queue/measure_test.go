package queue_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/queue"
)

const (
	measureTime  = 10 * time.Minute
	poolCapacity = 40
	// poolTokens is the tokens per second of a pool that is full.
	poolTokens = 40_000.0
	tenants    = 5
)

// A line decides which request runs next.
type line interface {
	Step(e queue.Event, now time.Time) []queue.Effect
}

// fifo is the baseline: one line for all, bounded by the same limit.
type fifo struct {
	waiting  []uint64
	running  int
	capacity int
}

func (f *fifo) Step(e queue.Event, _ time.Time) []queue.Effect {
	switch e := e.(type) {
	case queue.Arrive:
		if len(f.waiting) >= e.Ticket.Limit {
			return []queue.Effect{queue.Reject{ID: e.ID, Reason: queue.ReasonFull}}
		}
		f.waiting = append(f.waiting, e.ID)
	case queue.End:
		f.running--
	}
	var effects []queue.Effect
	for f.running < f.capacity && len(f.waiting) > 0 {
		effects = append(effects, queue.Start{ID: f.waiting[0]})
		f.waiting = f.waiting[1:]
		f.running++
	}
	return effects
}

// A pool is the engine side of the simulation: requests run for a time that
// follows their tokens. Beyond poolCapacity running requests, all slow down.
type pool struct {
	line    line
	now     time.Time
	ends    endings
	arrived map[uint64]queue.Arrive
	at      map[uint64]time.Time
	running int
	waits   map[string][]time.Duration
	refused map[string]int
}

type ending struct {
	at    time.Time
	event queue.End
}

type endings []ending

func (e endings) Len() int           { return len(e) }
func (e endings) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e endings) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *endings) Push(x any)        { *e = append(*e, x.(ending)) }
func (e *endings) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newPool(l line) *pool {
	return &pool{
		line: l, now: start, arrived: map[uint64]queue.Arrive{}, at: map[uint64]time.Time{},
		waits: map[string][]time.Duration{}, refused: map[string]int{},
	}
}

func (p *pool) step(e queue.Event) {
	for _, effect := range p.line.Step(e, p.now) {
		switch effect := effect.(type) {
		case queue.Start:
			p.run(effect.ID)
		case queue.Reject:
			p.refused[p.arrived[effect.ID].Ticket.Customer]++
		}
	}
}

// run starts a request on an engine.
func (p *pool) run(id uint64) {
	p.running++
	ticket := p.arrived[id].Ticket
	slow := max(1, float64(p.running)/poolCapacity)
	seconds := ticket.Tokens * poolCapacity / poolTokens * slow * slow
	first := time.Duration(seconds / 4 * float64(time.Second))
	p.waits[ticket.Customer] = append(p.waits[ticket.Customer], p.now.Add(first).Sub(p.at[id]))
	heap.Push(&p.ends, ending{
		at:    p.now.Add(time.Duration(seconds * float64(time.Second))),
		event: queue.End{ID: id, FirstByte: first},
	})
}

// advance ends the requests that end before a time.
func (p *pool) advance(to time.Time) {
	for len(p.ends) > 0 && !p.ends[0].at.After(to) {
		e := heap.Pop(&p.ends).(ending)
		p.now = e.at
		p.running--
		p.step(e.event)
	}
	p.now = to
}

// drive sends every customer's requests at 16% of the pool's pace, times
// factor for the first; with waves, that one sends in 5 s out of 20.
func (p *pool) drive(factor float64, waves bool) {
	r := rand.New(rand.NewPCG(seed.Value(), 3))
	const mean = 1000.0
	id := uint64(0)
	next := make([]time.Duration, tenants)
	for {
		i := slices.Index(next, slices.Min(next))
		if next[i] > measureTime {
			return
		}
		p.advance(start.Add(next[i]))
		id++
		t := queue.Ticket{
			Route: "seats", Pool: "kuroko", Customer: fmt.Sprint("c", i), Limit: 256,
			Tokens: mean/2 + r.Float64()*mean,
		}
		p.arrived[id], p.at[id] = queue.Arrive{ID: id, Ticket: t}, p.now
		p.step(p.arrived[id])
		pace := 0.16 * poolTokens / mean
		if i == 0 {
			pace *= factor
		}
		if i == 0 && waves && next[i]%(20*time.Second) > 5*time.Second {
			next[i] += 15 * time.Second
			continue
		}
		next[i] += time.Duration(r.ExpFloat64() / pace * float64(time.Second))
	}
}

// worst returns the worst p99 time to the first byte of the customers but the
// first, in ms, and the part of their requests that was refused, in %.
func (p *pool) worst() (p99, refused float64) {
	ran, lost := 0, 0
	for i := 1; i < tenants; i++ {
		name := fmt.Sprint("c", i)
		waits := slices.Sorted(slices.Values(p.waits[name]))
		p99 = max(p99, waits[len(waits)*99/100].Seconds()*1000)
		ran += len(waits)
		lost += p.refused[name]
	}
	return p99, 100 * float64(lost) / float64(ran+lost)
}

// BenchmarkMeasure reports the worst other customer's p99 time to the first
// byte, with all customers inside their rates and with one at five times its
// rate; and the same on a pool whose stated capacity is twice the real one.
func BenchmarkMeasure(b *testing.B) {
	fair := func(capacity int) line {
		s := queue.NewState()
		s.Step(queue.SetCapacity{Pool: "kuroko", Capacity: capacity}, start)
		return s
	}
	ways := []struct {
		name string
		make func(capacity int) line
	}{{"fifo", func(capacity int) line { return &fifo{capacity: capacity} }}, {"fair", fair}}
	for _, w := range ways {
		b.Run(w.name, func(b *testing.B) {
			for b.Loop() {
				for name, factor := range map[string]float64{"calm": 1, "5x": 5, "waves5x": 5, "waves10x": 10} {
					p := newPool(w.make(poolCapacity))
					p.drive(factor, strings.HasPrefix(name, "waves"))
					p99, refused := p.worst()
					b.ReportMetric(p99, name+"_p99_ms")
					b.ReportMetric(refused, name+"_refused_%")
				}
				p := newPool(w.make(2 * poolCapacity))
				p.drive(5, false)
				p99, refused := p.worst()
				b.ReportMetric(p99, "wide5x_p99_ms")
				b.ReportMetric(refused, "wide5x_refused_%")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// waitingState returns a state in which requests of many customers wait.
func waitingState(customers, waiting int) *queue.State {
	s := queue.NewState()
	s.Step(queue.SetCapacity{Pool: "kuroko", Capacity: 1}, start)
	for i := range waiting + 1 {
		t := ticket(fmt.Sprint("c", i%customers), 1000)
		t.Limit = waiting + 1
		arrive(s, uint64(i+1), t)
	}
	return s
}

// BenchmarkSlope reports the cost of one request's passage and the memory of
// one waiting request, as functions of customers and waiting requests.
func BenchmarkSlope(b *testing.B) {
	for _, customers := range []int{5, 1000, 12000} {
		for _, waiting := range []int{100, 1000, 12000} {
			if waiting < customers/100 {
				continue
			}
			b.Run(fmt.Sprintf("customers=%d/waiting=%d", customers, waiting), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := waitingState(customers, waiting)
				runtime.GC()
				runtime.ReadMemStats(&after)
				id, running := uint64(waiting+1), uint64(1)
				b.ReportAllocs()
				for b.Loop() {
					id++
					t := ticket(fmt.Sprint("c", id%uint64(customers)), 1000)
					t.Limit = waiting + 2
					arrive(s, id, t)
					running = s.Step(queue.End{ID: running}, start)[0].(queue.Start).ID
				}
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(waiting), "B/waiting")
				runtime.KeepAlive(s)
			})
		}
	}
}
