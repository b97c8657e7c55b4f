// Package retry bounds the sends beyond the first of each request, so that
// retries do not multiply a failure.
//
// The load it answers: targets that fail or reject many requests at once.
package retry

import (
	"sync"
	"time"
)

const (
	// earnPart is the part of the fleet's ratio that this VM uses, since VMs see
	// different parts of the traffic.
	earnPart = 0.75
	// slackPart is the part of the fleet's slack that is divided among the VMs.
	slackPart = 0.6
)

// Limits are the bounds that the fleet is held to, for each service: at most
// Ratio extra sends for each request and Slack more within Window.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// A Budget is this VM's part of the fleet's budget of extra sends.
type Budget struct {
	limits Limits

	mu       sync.Mutex
	accounts map[string]*account
}

// An account is the budget of one service: what requests have earned, and an
// allowance that comes back over a window.
type account struct {
	earned    float64
	allowance float64
	last      time.Time
}

// NewBudget returns a Budget. Its allowance starts empty, since an earlier start
// of this VM may have spent it.
func NewBudget(l Limits) *Budget {
	return &Budget{limits: l, accounts: map[string]*account{}}
}

// SetLimits replaces the bounds.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
}

// Earn notes the first send of a request to a service.
func (b *Budget) Earn(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	a.earned += b.limits.Ratio * earnPart
}

// Spend asks for one more send to a service. VMs is the number of VMs that share
// the budget.
func (b *Budget) Spend(service string, vms int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	room := b.limits.Slack * slackPart / float64(max(vms, 1))
	dt := now.Sub(a.last)
	a.last = now
	fade := min(max(dt.Seconds()/b.limits.Window.Seconds(), 0), 1)
	a.allowance = min(room, a.allowance+room*fade)
	a.earned -= a.earned * fade
	switch {
	case a.earned >= 1:
		a.earned--
	case a.allowance >= 1:
		a.allowance--
	default:
		return false
	}
	return true
}

func (b *Budget) account(service string, now time.Time) *account {
	a, ok := b.accounts[service]
	if !ok {
		a = &account{last: now}
		b.accounts[service] = a
	}
	return a
}
