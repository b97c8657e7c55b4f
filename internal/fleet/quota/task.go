package quota

import (
	"sync"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/store"
)

// A Ledger is a State that may be used from any goroutine.
type Ledger struct {
	clock store.Clock

	mu    sync.Mutex
	state *State
}

// NewLedger returns a Ledger of a VM that starts now.
func NewLedger(clock store.Clock) *Ledger {
	return &Ledger{clock: clock, state: NewState(clock.Now())}
}

// Admit decides on a request of a customer.
func (l *Ledger) Admit(c *site.Customer, cost float64) Verdict {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Admit(c, cost, l.clock.Now())
}

// Prepare starts the buckets of customers that are not known yet.
func (l *Ledger) Prepare(customers []site.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Prepare(customers, l.clock.Now())
}

// Refund gives back the cost of a request that did not run.
func (l *Ledger) Refund(c *site.Customer, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Refund(c, cost)
}

// Hear takes in what another VM has admitted since it started.
func (l *Ledger) Hear(vm string, born int64, spent map[string]float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Hear(vm, born, spent, l.clock.Now())
}

// Expect makes a VM that is known but silent count as a sharer.
func (l *Ledger) Expect(vm string, born int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Expect(vm, born, l.clock.Now())
}

// Spent returns what this VM has admitted, and drops lapsed shares.
func (l *Ledger) Spent() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Forget(l.clock.Now())
	return l.state.Spent()
}
