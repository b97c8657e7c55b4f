package queue

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

const (
	// defaultCapacity is the capacity of a pool before the first SetCapacity.
	defaultCapacity = 64
	// defaultLimit bounds the waiting requests of a route without a limit.
	defaultLimit = 256
	// usageHalfLife is the half-life of a customer's recorded token usage.
	usageHalfLife = time.Second
	// minTokens is the least cost of a request, so that requests without tokens
	// are scheduled fairly as well. An idle customer whose usage has decayed
	// below it is dropped.
	minTokens = 1
)

// A State is the state of a queue: its pools with their running and waiting
// requests. Only Step changes it. It is not safe for concurrent use.
type State struct {
	pools   map[string]*pool
	routes  map[string]int // waiting requests by route
	running map[uint64]*run
}

// NewState returns a State without pools or requests.
func NewState() *State {
	return &State{pools: map[string]*pool{}, routes: map[string]int{}, running: map[uint64]*run{}}
}

// pool returns the pool with the given name and creates it if necessary.
func (s *State) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{customers: map[string]*customerQueue{}, window: newWindow(defaultCapacity)}
		s.pools[name] = p
	}
	return p
}

// A pool is a set of targets with one bound on running requests. Of the
// customers with waiting requests, the one with the lowest recent usage is
// served next.
type pool struct {
	customers map[string]*customerQueue
	active    customerHeap
	running   int
	window    window
}

// add adds a request to its customer's queue.
func (p *pool) add(w *waiter) {
	c := p.customers[w.ticket.Customer]
	if c == nil {
		c = &customerQueue{name: w.ticket.Customer, used: noUsage, heapIndex: -1}
		p.customers[c.name] = c
	}
	c.insert(w)
	if c.heapIndex < 0 {
		heap.Push(&p.active, c)
	}
}

// remove removes a waiting request from its customer's queue.
func (p *pool) remove(c *customerQueue, w *waiter) {
	c.remove(w)
	if len(c.waiting) == 0 {
		heap.Remove(&p.active, c.heapIndex)
	}
}

// charge adds tokens to a customer's usage.
func (p *pool) charge(c *customerQueue, tokens float64, now time.Time) {
	c.used = c.used.plus(tokens, now)
	if c.heapIndex >= 0 {
		heap.Fix(&p.active, c.heapIndex)
	}
}

// dropIdle drops the customers without waiting requests whose usage has
// decayed.
func (p *pool) dropIdle(now time.Time) {
	for name, c := range p.customers {
		if c.heapIndex < 0 && c.used.tokens(now) < minTokens {
			delete(p.customers, name)
		}
	}
}

// A usage is a number of tokens that decays exponentially. It is stored as the
// binary logarithm of the number that would have decayed to the same amount
// since the epoch, so that usages are comparable without being updated.
type usage float64

// noUsage is the usage of a customer that has used no tokens.
var noUsage = usage(math.Inf(-1))

// halfLives returns the time since the epoch in units of usageHalfLife.
func halfLives(now time.Time) float64 {
	return float64(now.UnixNano()) / float64(usageHalfLife)
}

// tokens returns the number of tokens left after decay until now.
func (u usage) tokens(now time.Time) float64 {
	return math.Exp2(float64(u) - halfLives(now))
}

// plus returns the usage increased by tokens used now.
func (u usage) plus(tokens float64, now time.Time) usage {
	return usage(math.Log2(u.tokens(now)+tokens) + halfLives(now))
}

// A customerHeap is a heap of the customers with waiting requests, ordered by
// usage. It implements heap.Interface.
type customerHeap []*customerQueue

func (h customerHeap) Len() int { return len(h) }

// Less puts the lowest usage first, then the oldest next request.
func (h customerHeap) Less(i, j int) bool {
	if h[i].used != h[j].used {
		return h[i].used < h[j].used
	}
	return h[i].waiting[0].id < h[j].waiting[0].id
}

func (h customerHeap) Swap(i, j int) {
	h[i], h[j] = h[j], h[i]
	h[i].heapIndex, h[j].heapIndex = i, j
}

func (h *customerHeap) Push(x any) {
	added := x.(*customerQueue)
	added.heapIndex = len(*h)
	*h = append(*h, added)
}

func (h *customerHeap) Pop() any {
	last := (*h)[len(*h)-1]
	*h = (*h)[:len(*h)-1]
	last.heapIndex = -1
	return last
}

// A customerQueue holds the waiting requests of one customer, ordered by
// descending priority, then by arrival.
type customerQueue struct {
	name      string
	waiting   []*waiter
	tokens    float64
	used      usage
	heapIndex int // position in pool.active; -1 while nothing waits
}

// insert inserts a waiter after all waiters of the same or a higher priority.
func (c *customerQueue) insert(w *waiter) {
	i, _ := slices.BinarySearchFunc(c.waiting, w, func(a, b *waiter) int {
		if order := cmp.Compare(b.ticket.Priority, a.ticket.Priority); order != 0 {
			return order
		}
		return cmp.Compare(a.id, b.id)
	})
	c.waiting = slices.Insert(c.waiting, i, w)
	c.tokens += w.tokens
}

func (c *customerQueue) remove(w *waiter) {
	c.waiting = slices.DeleteFunc(c.waiting, func(other *waiter) bool { return other == w })
	c.tokens -= w.tokens
}

// tokensAhead returns the tokens of the waiters that would run before a new
// ticket with the given priority.
func (c *customerQueue) tokensAhead(priority int) float64 {
	sum := 0.0
	for _, w := range c.waiting {
		if w.ticket.Priority >= priority {
			sum += w.tokens
		}
	}
	return sum
}

// A waiter is one waiting request.
type waiter struct {
	id     uint64
	ticket Ticket
	tokens float64
}

// expired reports whether the deadline has passed.
func (w *waiter) expired(now time.Time) bool {
	return !w.ticket.Deadline.IsZero() && !now.Before(w.ticket.Deadline)
}

// A run is one running request.
type run struct {
	pool    string
	tokens  float64
	started time.Time
}
