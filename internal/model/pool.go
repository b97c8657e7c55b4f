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
	// PoolCapacity is the number of requests that a pool runs without slowing down.
	PoolCapacity = 40
	// poolTokenRate is the tokens per second of a pool at capacity.
	poolTokenRate = 40_000.0
	poolName      = "kuroko"
	poolDuration  = 10 * time.Minute
	poolCustomers = 5
)

// A Pool models a pool of engines. The running time of a request is proportional
// to its tokens; above PoolCapacity running requests, all requests slow down.
type Pool struct {
	queue          Queue
	start          time.Time
	now            time.Time
	completions    completions
	arrived        map[uint64]queue.Arrive
	arrivedAt      map[uint64]time.Time
	running        int
	firstByteTimes map[string][]time.Duration
	refused        map[string]int
}

// NewPool returns an idle pool whose requests pass through a queue.
func NewPool(q Queue, start time.Time) *Pool {
	return &Pool{
		queue: q, start: start, now: start, arrived: map[uint64]queue.Arrive{}, arrivedAt: map[uint64]time.Time{},
		firstByteTimes: map[string][]time.Duration{}, refused: map[string]int{},
	}
}

func (p *Pool) step(e queue.Event) {
	for _, effect := range p.queue.Step(e, p.now) {
		switch effect := effect.(type) {
		case queue.Start:
			p.run(effect.ID)
		case queue.Reject:
			p.refused[p.arrived[effect.ID].Ticket.Customer]++
		}
	}
}

// run starts a request.
func (p *Pool) run(id uint64) {
	p.running++
	ticket := p.arrived[id].Ticket
	slow := max(1, float64(p.running)/PoolCapacity)
	seconds := ticket.Tokens * PoolCapacity / poolTokenRate * slow * slow
	first := time.Duration(seconds / 4 * float64(time.Second))
	p.firstByteTimes[ticket.Customer] = append(p.firstByteTimes[ticket.Customer], p.now.Add(first).Sub(p.arrivedAt[id]))
	heap.Push(&p.completions, completion{
		at:    p.now.Add(time.Duration(seconds * float64(time.Second))),
		event: queue.End{ID: id, FirstByte: first},
	})
}

// advance moves the clock to a time and ends the requests that finish until then.
func (p *Pool) advance(to time.Time) {
	for len(p.completions) > 0 && !p.completions[0].at.After(to) {
		e := heap.Pop(&p.completions).(completion)
		p.now = e.at
		p.running--
		p.step(e.event)
	}
	p.now = to
}

// Drive submits requests of every customer at 16% of the pool's token rate. The
// first customer's rate is multiplied by factor; with bursts, that customer sends
// only in the first 5 s of every 20 s.
func (p *Pool) Drive(seed uint64, factor float64, bursts bool) {
	rng := rand.New(rand.NewPCG(seed, 3))
	const mean = 1000.0
	id := uint64(0)
	next := make([]time.Duration, poolCustomers)
	for {
		i := slices.Index(next, slices.Min(next))
		if next[i] > poolDuration {
			return
		}
		p.advance(p.start.Add(next[i]))
		id++
		t := queue.Ticket{
			Route: "seats", Pool: poolName, Customer: fmt.Sprint("c", i), Limit: 256,
			Tokens: mean/2 + rng.Float64()*mean,
		}
		p.arrived[id], p.arrivedAt[id] = queue.Arrive{ID: id, Ticket: t}, p.now
		p.step(p.arrived[id])
		rate := 0.16 * poolTokenRate / mean
		if i == 0 {
			rate *= factor
		}
		if i == 0 && bursts && next[i]%(20*time.Second) > 5*time.Second {
			next[i] += 15 * time.Second
			continue
		}
		next[i] += time.Duration(rng.ExpFloat64() / rate * float64(time.Second))
	}
}

// WorstP99 returns the largest p99 time to the first byte among all customers but
// the first, in milliseconds, and the percentage of their requests that was
// refused.
func (p *Pool) WorstP99() (p99, refused float64) {
	started, rejected := 0, 0
	for i := 1; i < poolCustomers; i++ {
		name := fmt.Sprint("c", i)
		times := slices.Sorted(slices.Values(p.firstByteTimes[name]))
		p99 = max(p99, times[len(times)*99/100].Seconds()*1000)
		started += len(times)
		rejected += p.refused[name]
	}
	return p99, 100 * float64(rejected) / float64(started+rejected)
}
