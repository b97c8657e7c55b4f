package queue

import (
	"maps"
	"slices"
	"time"
)

// expectedWait estimates how long a ticket would wait. It counts the tokens
// that the ticket's customer has queued ahead of it and, because of fair
// sharing, at most as many of every other customer, at the recent throughput
// of the pool. It returns zero if the throughput is not known yet or the pool
// has free capacity.
func (p *pool) expectedWait(t Ticket) time.Duration {
	size := p.window.size()
	if size == 0 || p.window.secondsPerToken == 0 || p.running < size {
		return 0
	}
	ahead := t.Tokens
	if c := p.customers[t.Customer]; c != nil {
		ahead += c.tokensAhead(t.Priority)
	}
	total := ahead - t.Tokens
	for _, other := range p.active {
		if other.name != t.Customer {
			total += min(other.tokens, ahead)
		}
	}
	seconds := total*p.window.secondsPerToken/float64(size) + p.window.secondsPerRequest/float64(size)
	return time.Duration(seconds * float64(time.Second))
}

// A Dump is the state of a queue in a form for operators.
type Dump struct {
	Pools []PoolDump `json:"pools"`
}

// A PoolDump is the state of one pool in a Dump. Window is the number of
// requests that may run at once, at most Capacity.
type PoolDump struct {
	Pool     string         `json:"pool"`
	Capacity int            `json:"capacity"`
	Window   int            `json:"window"`
	Running  int            `json:"running"`
	Waiting  []CustomerDump `json:"waiting"`
}

// A CustomerDump is the number of waiting requests of one customer and the sum
// of their tokens.
type CustomerDump struct {
	Customer string  `json:"customer"`
	Requests int     `json:"requests"`
	Tokens   float64 `json:"tokens"`
}

// Dump returns the state in a form for operators.
func (s *State) Dump() Dump {
	d := Dump{Pools: []PoolDump{}}
	for _, name := range slices.Sorted(maps.Keys(s.pools)) {
		p := s.pools[name]
		pd := PoolDump{
			Pool: name, Capacity: p.window.capacity, Window: p.window.size(),
			Running: p.running, Waiting: []CustomerDump{},
		}
		for _, customer := range slices.Sorted(maps.Keys(p.customers)) {
			c := p.customers[customer]
			if len(c.waiting) == 0 {
				continue
			}
			pd.Waiting = append(pd.Waiting, CustomerDump{Customer: customer, Requests: len(c.waiting), Tokens: c.tokens})
		}
		d.Pools = append(d.Pools, pd)
	}
	return d
}
