package quota

import (
	"sync"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/store"
)

// A Ledger is a State that may be used from any goroutine.
type Limiter struct {
	clock store.Clock

	mu    sync.Mutex
	state *State
}

// NewLedger returns a Ledger of a VM that starts now.
func NewLimiter(clock store.Clock) *Limiter {
	return &Limiter{clock: clock, state: NewState(clock.Now())}
}

// Admit decides on a request of a customer.
func (l *Limiter) Admit(c *site.Customer, cost float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Admit(c, cost, l.clock.Now())
}

// Prepare starts the buckets of customers that are not known yet.
func (l *Limiter) AddCustomers(customers []site.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.AddCustomers(customers, l.clock.Now())
}

// Refund gives back the cost of a request that did not run.
func (l *Limiter) Refund(c *site.Customer, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Refund(c, cost)
}

// Hear takes in what another VM has admitted since it started.
func (l *Limiter) UpdatePeer(vm string, born int64, spent map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.UpdatePeer(vm, born, spent, l.clock.Now())
}

// Expect makes a VM that is known but silent count as a sharer.
func (l *Limiter) AddPeer(vm string, born int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.AddPeer(vm, born, l.clock.Now())
}

// Spent returns what this VM has admitted, and drops lapsed shares.
func (l *Limiter) Spent() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Forget(l.clock.Now())
	return l.state.Spent()
}
