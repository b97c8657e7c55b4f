package model

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/queue"
)

const (
	// PoolCapacity is the requests that a pool runs without slowing down.
	PoolCapacity = 40
	// poolTokens is the tokens per second of a pool that is full.
	poolTokens = 40_000.0
	poolName   = "kuroko"
	poolTime   = 10 * time.Minute
	tenants    = 5
)

// A Pool is the engine side of the simulation: requests run for a time that
// follows their tokens. Beyond PoolCapacity running requests, all slow down.
type Pool struct {
	line    Queue
	start   time.Time
	now     time.Time
	ends    endings
	arrived map[uint64]queue.Arrive
	at      map[uint64]time.Time
	running int
	waits   map[string][]time.Duration
	refused map[string]int
}

// NewPool returns an idle pool behind a line.
func NewPool(l Queue, start time.Time) *Pool {
	return &Pool{
		line: l, start: start, now: start, arrived: map[uint64]queue.Arrive{}, at: map[uint64]time.Time{},
		waits: map[string][]time.Duration{}, refused: map[string]int{},
	}
}

func (p *Pool) step(e queue.Event) {
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
func (p *Pool) run(id uint64) {
	p.running++
	ticket := p.arrived[id].Ticket
	slow := max(1, float64(p.running)/PoolCapacity)
	seconds := ticket.Tokens * PoolCapacity / poolTokens * slow * slow
	first := time.Duration(seconds / 4 * float64(time.Second))
	p.waits[ticket.Customer] = append(p.waits[ticket.Customer], p.now.Add(first).Sub(p.at[id]))
	heap.Push(&p.ends, ending{
		at:    p.now.Add(time.Duration(seconds * float64(time.Second))),
		event: queue.End{ID: id, FirstByte: first},
	})
}

// advance ends the requests that end before a time.
func (p *Pool) advance(to time.Time) {
	for len(p.ends) > 0 && !p.ends[0].at.After(to) {
		e := heap.Pop(&p.ends).(ending)
		p.now = e.at
		p.running--
		p.step(e.event)
	}
	p.now = to
}

// Drive sends every customer's requests at 16% of the pool's pace, times
// factor for the first; with waves, that one sends in 5 s out of 20.
func (p *Pool) Drive(seed uint64, factor float64, waves bool) {
	r := rand.New(rand.NewPCG(seed, 3))
	const mean = 1000.0
	id := uint64(0)
	next := make([]time.Duration, tenants)
	for {
		i := slices.Index(next, slices.Min(next))
		if next[i] > poolTime {
			return
		}
		p.advance(p.start.Add(next[i]))
		id++
		t := queue.Ticket{
			Route: "seats", Pool: poolName, Customer: fmt.Sprint("c", i), Limit: 256,
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

// Worst returns the worst p99 time to the first byte of the customers but the
// first, in ms, and the part of their requests that was refused, in %.
func (p *Pool) WorstP99() (p99, refused float64) {
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
