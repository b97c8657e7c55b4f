package quota

import (
	"sync"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/shares"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/tally"
	"github.com/baobabdyke/baobabdyke/store"
)

// A Limiter is a State that is safe for concurrent use.
type Limiter struct {
	clock store.Clock

	mu    sync.Mutex
	state *State
	// read is whether the VMs that share the limits were read from the store.
	read bool
}

// NewLimiter returns the Limiter of a VM that starts now, and has no share of the limits
// before it knows who shares them.
func NewLimiter(clock store.Clock) *Limiter {
	l := &Limiter{clock: clock, state: NewState()}
	now := clock.Now()
	l.state.SetMembers(shares.Members{ContactUntil: now.Add(shares.ContactTimeout)}, now)
	return l
}

// SetMembers sets the VMs that share the limits.
func (l *Limiter) SetMembers(m shares.Members) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.read = true
	l.state.SetMembers(m, l.clock.Now())
}

// Sharers returns the other VMs that share the limits. The slice must not be changed.
func (l *Limiter) Sharers() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Sharers()
}

// MayUseShare reports whether this VM may use a share of something that is divided like the
// limits, where anySilent is whether one of the others is silent.
func (l *Limiter) MayUseShare(anySilent bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.MayUseShare(anySilent, l.read, l.clock.Now())
}

// Share is what a VM may use of the limits.
type Share struct {
	// Members is the number of VMs that share the limits as far as the VM knows.
	Members int
	// Has reports whether the VM may use its part while others are silent. Part is 0 for an equal
	// part.
	Has  bool
	Part float64
	// Held are the silent VMs whose parts are not free.
	Held []HeldPart `json:",omitempty"`
}

// HeldPart is the part of a silent VM, which is not free.
type HeldPart struct {
	VM   string
	Part float64
	// Wait is the number of seconds after which the part is free if the VM stays silent.
	Wait float64
	// Blocks reports whether this VM may use nothing meanwhile.
	Blocks bool
}

// Share returns what this VM may use of the limits.
func (l *Limiter) Share() Share {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Share(l.clock.Now())
}

// Admit decides whether a request of a customer is admitted.
func (l *Limiter) Admit(c *site.Customer, cost float64) Decision {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Admit(c, cost, l.clock.Now())
}

// AddCustomers creates the buckets of new customers.
func (l *Limiter) AddCustomers(customers []site.Customer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.AddCustomers(customers, l.clock.Now())
}

// Refund returns the cost of an admitted request that did not run.
func (l *Limiter) Refund(c *site.Customer, cost float64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.Refund(c, cost)
}

// UpdatePeer records the amounts that another VM has admitted since it started.
func (l *Limiter) UpdatePeer(u Update) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.UpdatePeer(u, l.clock.Now())
}

// Spent returns the amounts that this VM has admitted since it started, by
// customer, and removes the silent VMs that have no share.
func (l *Limiter) Spent() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.RemoveExpired(l.clock.Now())
	return l.state.Spent()
}

// Refused returns the amounts that this VM has refused since it started, by customer.
func (l *Limiter) Refused() map[string]float64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Refused(l.clock.Now())
}

// UsesTotals reports whether the fleet is so large that totals come sooner than updates.
func (l *Limiter) UsesTotals() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.UsesTotals()
}

// Report returns what this VM has admitted since it started.
func (l *Limiter) Report() tally.Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Report()
}

// UpdateTotals applies the totals that a relay returned for a report that this VM sent at
// the given time.
func (l *Limiter) UpdateTotals(relay string, total, reported tally.Report, sent time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.state.UpdateTotals(relay, total, reported, sent, l.clock.Now())
}

// Levels returns the levels of the buckets with the given total of the fleet, which is that of
// this VM as a relay, whose id is self.
func (l *Limiter) Levels(self string, total tally.Report) map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.state.Levels(self, total, l.clock.Now())
}
