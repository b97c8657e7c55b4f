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
		p = &pool{tenants: map[string]*tenant{}, window: newWindow(defaultCapacity)}
		s.pools[name] = p
	}
	return p
}

// A pool is a set of targets with one bound on running requests.
type pool struct {
	tenants map[string]*tenant
	turns   turns
	running int
	window  window
}

// add adds a request to its customer's queue.
func (p *pool) enter(w *waiter) {
	t := p.tenants[w.ticket.Customer]
	if t == nil {
		t = &tenant{name: w.ticket.Customer, used: nothing, place: -1}
		p.tenants[t.name] = t
	}
	t.insert(w)
	if t.place < 0 {
		heap.Push(&p.turns, t)
	}
}

// remove removes a waiting request from its customer's queue.
func (p *pool) leave(t *tenant, w *waiter) {
	t.remove(w)
	if len(t.waiting) == 0 {
		heap.Remove(&p.turns, t.place)
	}
}

// charge adds tokens to a customer's usage.
func (p *pool) charge(t *tenant, tokens float64, now time.Time) {
	t.used = t.used.plus(tokens, now)
	if t.place >= 0 {
		heap.Fix(&p.turns, t.place)
	}
}

// dropIdle drops the customers without waiting requests whose usage has
// decayed.
func (p *pool) forget(now time.Time) {
	for name, t := range p.tenants {
		if t.place < 0 && t.used.tokens(now) < minTokens {
			delete(p.tenants, name)
		}
	}
}

// A usage is a number of tokens that decays exponentially. It is stored as the
// binary logarithm of the number that would have decayed to the same amount
// since the epoch, so that usages are comparable without being updated.
type usage float64

// noUsage is the usage of a customer that has used no tokens.
var nothing = usage(math.Inf(-1))

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
type turns []*tenant

func (t turns) Len() int { return len(t) }

// Less orders by usage, then by the age of the next request.
func (t turns) Less(i, j int) bool {
	if t[i].used != t[j].used {
		return t[i].used < t[j].used
	}
	return t[i].waiting[0].id < t[j].waiting[0].id
}

func (t turns) Swap(i, j int) {
	t[i], t[j] = t[j], t[i]
	t[i].place, t[j].place = i, j
}

func (t *turns) Push(x any) {
	added := x.(*tenant)
	added.place = len(*t)
	*t = append(*t, added)
}

func (t *turns) Pop() any {
	last := (*t)[len(*t)-1]
	*t = (*t)[:len(*t)-1]
	last.place = -1
	return last
}

// A customerQueue holds the waiting requests of one customer, ordered by
// descending priority, then by arrival.
type tenant struct {
	name    string
	waiting []*waiter
	tokens  float64
	used    usage
	place   int // position in pool.active; -1 while nothing waits
}

// insert inserts a waiter after all waiters of the same or a higher priority.
func (t *tenant) insert(w *waiter) {
	i, _ := slices.BinarySearchFunc(t.waiting, w, func(a, b *waiter) int {
		if c := cmp.Compare(b.ticket.Priority, a.ticket.Priority); c != 0 {
			return c
		}
		return cmp.Compare(a.id, b.id)
	})
	t.waiting = slices.Insert(t.waiting, i, w)
	t.tokens += w.tokens
}

func (t *tenant) remove(w *waiter) {
	t.waiting = slices.DeleteFunc(t.waiting, func(other *waiter) bool { return other == w })
	t.tokens -= w.tokens
}

// tokensAhead returns the tokens of the waiters that would run before a new
// ticket with the given priority.
func (t *tenant) ahead(priority int) float64 {
	sum := 0.0
	for _, w := range t.waiting {
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
func (w *waiter) late(now time.Time) bool {
	return !w.ticket.Deadline.IsZero() && !now.Before(w.ticket.Deadline)
}

// A run is one running request.
type run struct {
	pool    string
	tokens  float64
	started time.Time
}
