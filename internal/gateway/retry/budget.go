// Package retry limits retries, so that they do not amplify the load when targets
// fail or reject many requests at once.
package retry

import (
	"sync"
	"time"
)

const (
	// earnFraction is the part of the fleet's ratio that this VM uses, because
	// VMs receive different shares of the traffic.
	earnFraction = 0.75
	// slackFraction is the part of the fleet's slack that is divided among the
	// VMs.
	slackFraction = 0.6
)

// Limits are the fleet-wide bounds for each service: at most Ratio retries per
// request, plus Slack, within Window.
type Limits struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// A Budget is this VM's share of the fleet's retry budget.
type Budget struct {
	limits Limits

	mu       sync.Mutex
	accounts map[string]*account
}

// An account is the budget of one service: the retries earned by requests, and an
// allowance that is refilled over a window.
type account struct {
	earned    float64
	allowance float64
	updatedAt time.Time
	// recent is what was sent lately, for SpendSpare.
	recent window
}

// NewBudget returns a Budget. Its allowance starts empty because the VM may have
// spent it before a restart.
func NewBudget(l Limits) *Budget {
	return &Budget{limits: l, accounts: map[string]*account{}}
}

// SetLimits replaces the limits.
func (b *Budget) SetLimits(l Limits) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.limits = l
}

// Earn records the first attempt of a request to a service.
func (b *Budget) Earn(service string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	a.earned += b.limits.Ratio * earnFraction
	a.recent.at(b.limits.Window, now).requests++
}

// Spend reports whether one more retry to a service is permitted, and charges it.
// VMs is the number of VMs that share the budget.
func (b *Budget) Spend(service string, vms int, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	a := b.account(service, now)
	maxAllowance := b.limits.Slack * slackFraction / float64(max(vms, 1))
	dt := now.Sub(a.updatedAt)
	a.updatedAt = now
	elapsed := min(max(dt.Seconds()/b.limits.Window.Seconds(), 0), 1)
	a.allowance = min(maxAllowance, a.allowance+maxAllowance*elapsed)
	a.earned -= a.earned * elapsed
	switch {
	case a.earned >= 1:
		a.earned--
	case a.allowance >= 1:
		a.allowance--
	default:
		return false
	}
	a.recent.at(b.limits.Window, now).retries++
	return true
}

func (b *Budget) account(service string, now time.Time) *account {
	a, ok := b.accounts[service]
	if !ok {
		a = &account{updatedAt: now}
		b.accounts[service] = a
	}
	return a
}
