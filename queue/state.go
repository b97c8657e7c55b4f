package queue

import (
	"cmp"
	"slices"
	"time"
)

const (
	// quantumTokens is what a customer's turn adds to its deficit.
	quantumTokens = 4000
	// defaultCapacity is the number of running requests of a pool whose
	// capacity nobody has set.
	defaultCapacity = 64
	// defaultLimit bounds the waiting requests of a route that sets no bound.
	defaultLimit = 256
	// minTokens is the least cost of a request, so that requests without
	// tokens take turns as well.
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

// A pool is a set of targets with one bound on running requests. The ring
// holds the customers that wait, in the order of their turns.
type pool struct {
	tenants map[string]*tenant
	ring    []*tenant
	running int
	window  window
	// tokens is the sum over all waiting requests.
	tokens float64
}

// tenant returns the customer's queue in the pool, which is put at the end of
// the ring if nothing of it waited.
func (p *pool) tenant(name string) *tenant {
	t := p.tenants[name]
	if t == nil {
		t = &tenant{name: name}
		p.tenants[name] = t
		p.ring = append(p.ring, t)
	}
	return t
}

// leaveRing drops a customer of which nothing waits.
func (p *pool) leaveRing(t *tenant) {
	delete(p.tenants, t.name)
	p.ring = slices.DeleteFunc(p.ring, func(other *tenant) bool { return other == t })
}

// A tenant is what waits of one customer, highest priority first, then in the
// order of arrival.
type tenant struct {
	name    string
	waiting []*waiter
	tokens  float64
	deficit float64
	// visited tells that the current turn has already added its quantum.
	visited bool
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

// remove takes a waiter out and tells whether it was there.
func (t *tenant) remove(id uint64) *waiter {
	i := slices.IndexFunc(t.waiting, func(w *waiter) bool { return w.id == id })
	if i < 0 {
		return nil
	}
	w := t.waiting[i]
	t.waiting = slices.Delete(t.waiting, i, i+1)
	t.tokens -= w.tokens
	return w
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

// A run is one running request.
type run struct {
	pool    string
	tokens  float64
	started time.Time
}
