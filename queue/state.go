package queue

import (
	"cmp"
	"container/heap"
	"math"
	"slices"
	"time"
)

const (
	// defaultCapacity is the number of running requests of a pool whose
	// capacity nobody has set.
	defaultCapacity = 64
	// defaultLimit bounds the waiting requests of a route that sets no bound.
	defaultLimit = 256
	// usageHalfLife is the time in which half of what a customer has used is
	// forgotten.
	usageHalfLife = time.Second
	// minTokens is the least cost of a request, so that requests without
	// tokens take turns as well, and the usage that is worth remembering.
	minTokens = 1
)

// A State is all that a queue knows: its pools and what runs and waits there.
// It is changed by Step only.
type State struct {
	pools   map[string]*pool
	routes  map[string]int // waiting requests
	running map[uint64]*run
}

// NewState returns a State with nothing waiting.
func NewState() *State {
	return &State{pools: map[string]*pool{}, routes: map[string]int{}, running: map[uint64]*run{}}
}

// pool returns the pool with the given name, which is made if it is new.
func (s *State) pool(name string) *pool {
	p := s.pools[name]
	if p == nil {
		p = &pool{tenants: map[string]*tenant{}, window: newWindow(defaultCapacity)}
		s.pools[name] = p
	}
	return p
}

// A pool is a set of targets with one bound on running requests. The customer
// with waiting requests that has used the least of late has the next turn.
type pool struct {
	tenants map[string]*tenant
	turns   turns
	running int
	window  window
}

// enter puts a request into its customer's queue.
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

// leave takes a waiting request out.
func (p *pool) leave(t *tenant, w *waiter) {
	t.remove(w)
	if len(t.waiting) == 0 {
		heap.Remove(&p.turns, t.place)
	}
}

// charge counts what a customer has used.
func (p *pool) charge(t *tenant, tokens float64, now time.Time) {
	t.used = t.used.plus(tokens, now)
	if t.place >= 0 {
		heap.Fix(&p.turns, t.place)
	}
}

// forget drops the customers that have used nothing of late.
func (p *pool) forget(now time.Time) {
	for name, t := range p.tenants {
		if t.place < 0 && t.used.tokens(now) < minTokens {
			delete(p.tenants, name)
		}
	}
}

// A usage is a number of tokens that decays with time. It is the binary
// logarithm of the tokens that would have the same worth at the epoch, so that
// usages of all customers compare without regard to time.
type usage float64

// nothing is the usage of a customer that has used no tokens.
var nothing = usage(math.Inf(-1))

// halfLives returns the time since the epoch.
func halfLives(now time.Time) float64 {
	return float64(now.UnixNano()) / float64(usageHalfLife)
}

// tokens returns what is left at a time.
func (u usage) tokens(now time.Time) float64 {
	return math.Exp2(float64(u) - halfLives(now))
}

// plus returns the usage with more tokens.
func (u usage) plus(tokens float64, now time.Time) usage {
	return usage(math.Log2(u.tokens(now)+tokens) + halfLives(now))
}

// turns is a heap of the customers with waiting requests.
type turns []*tenant

func (t turns) Len() int { return len(t) }

// Less puts the least usage first, then the oldest request.
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

// A tenant is what waits of one customer, highest priority first, then in the
// order of arrival.
type tenant struct {
	name    string
	waiting []*waiter
	tokens  float64
	used    usage
	place   int // in the heap of turns; -1 while nothing waits
}

// insert puts a waiter behind all of the same or a higher priority.
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

// remove takes a waiter out.
func (t *tenant) remove(w *waiter) {
	t.waiting = slices.DeleteFunc(t.waiting, func(other *waiter) bool { return other == w })
	t.tokens -= w.tokens
}

// ahead returns the tokens of the customer that run before a new ticket.
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

// late tells whether the deadline has passed.
func (w *waiter) late(now time.Time) bool {
	return !w.ticket.Deadline.IsZero() && !now.Before(w.ticket.Deadline)
}

// A run is one running request.
type run struct {
	pool    string
	tokens  float64
	started time.Time
}
