package queue

import (
	"maps"
	"slices"
	"time"
)

// expectedWait estimates how long a ticket would wait: what its customer has
// ahead of it, and as much of each other customer in its turns, at the pace of
// the pool. Zero when the pace is not known yet or a place is free.
func (p *pool) expectedWait(t Ticket) time.Duration {
	size := p.window.size()
	if size == 0 || p.window.secondsPerToken == 0 || p.running < size {
		return 0
	}
	ahead := t.Tokens
	if own := p.tenants[t.Customer]; own != nil {
		ahead += own.ahead(t.Priority)
	}
	total := ahead - t.Tokens
	for _, other := range p.turns {
		if other.name != t.Customer {
			total += min(other.tokens, ahead)
		}
	}
	seconds := total*p.window.secondsPerToken/float64(size) + p.window.seconds/float64(size)
	return time.Duration(seconds * float64(time.Second))
}

// A Dump is the state of a queue for operators.
type Dump struct {
	Pools []PoolDump `json:"pools"`
}

// A PoolDump is the state of one pool for operators.
type PoolDump struct {
	Pool     string         `json:"pool"`
	Capacity int            `json:"capacity"`
	Window   int            `json:"window"`
	Running  int            `json:"running"`
	Waiting  []CustomerDump `json:"waiting"`
}

// A CustomerDump is what waits of one customer.
type CustomerDump struct {
	Customer string  `json:"customer"`
	Requests int     `json:"requests"`
	Tokens   float64 `json:"tokens"`
}

// Dump returns the state for operators.
func (s *State) Dump() Dump {
	d := Dump{Pools: []PoolDump{}}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		p := s.pools[name]
		pd := PoolDump{
			Pool: name, Capacity: p.window.capacity, Window: p.window.size(),
			Running: p.running, Waiting: []CustomerDump{},
		}
		for _, customer := range slices.Sorted(maps.Keys(p.tenants)) {
			t := p.tenants[customer]
			if len(t.waiting) == 0 {
				continue
			}
			pd.Waiting = append(pd.Waiting, CustomerDump{Customer: customer, Requests: len(t.waiting), Tokens: t.tokens})
		}
		d.Pools = append(d.Pools, pd)
	}
	return d
}
