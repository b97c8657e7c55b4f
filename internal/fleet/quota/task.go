package quota

import (
	"sync"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/store"
)

// A Limiter is a State that is safe for concurrent use.
type Ledger struct {
	clock store.Clock

	mu    sync.Mutex
	state *State
}

// NewLimiter returns the Limiter of a VM that starts now.
func NewLedger(clock store.Clock) *Ledger {
	return &Ledger{clock: clock, state: NewState(clock.Now())}
}

// Admit decides whether a request of a customer is admitted.
func (l *Ledger) Admit(c *site.Customer, cost float64) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Admit(c, cost, l.clock.Now())
}

// AddCustomers creates the buckets of new customers.
func (l *Ledger) Prepare(customers []site.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Prepare(customers, l.clock.Now())
}

// Refund returns the cost of an admitted request that did not run.
func (l *Ledger) Refund(c *site.Customer, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Refund(c, cost)
}

// UpdatePeer records the amounts that another VM has admitted since it started.
func (l *Ledger) Hear(vm string, born int64, spent map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Hear(vm, born, spent, l.clock.Now())
}

// AddPeer makes a VM that is known but silent share the limits.
func (l *Ledger) Expect(vm string, born int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Expect(vm, born, l.clock.Now())
}

// Spent returns the amounts that this VM has admitted since it started, by
// customer, and removes the VMs whose share has expired.
func (l *Ledger) Spent() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Forget(l.clock.Now())
	return l.state.Spent()
}
