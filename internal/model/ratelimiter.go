package model

import (
	"fmt"
	"time"
)

// A RateLimiter enforces the customers' rates across a fleet of VMs.
type RateLimiter interface {
	// CrashVMs crashes two VMs.
	CrashVMs()
	// Unlist removes the crashed VMs from the platform's list.
	Unlist()
	// Restart restarts a VM after a graceful shutdown.
	Restart(vm int)
	// Submit submits a request. It calls done with the function that refunds
	// unused tokens, or with nil if the request is refused.
	Submit(r RateRequest, done func(refund func(tokens float64)))
	// Advance moves the clock forward.
	Advance(d time.Duration)
}

// A bucket is a token bucket.
type bucket struct {
	level, rate, capacity float64
	at                    time.Duration
}

func (p *bucket) take(at time.Duration, tokens float64) bool {
	p.level = min(p.capacity, p.level+p.rate*(at-p.at).Seconds())
	p.at = at
	if p.level < tokens {
		return false
	}
	p.level -= tokens
	return true
}

// refund puts tokens back, up to the capacity.
func (p *bucket) refund(tokens float64) { p.level = min(p.capacity, p.level+tokens) }

// A StaticLimiter gives each of n VMs 1/n of every rate and burst.
type StaticLimiter struct {
	vms, crashed int
	buckets      map[string]*bucket
}

// NewStaticLimiter returns a StaticLimiter over n VMs.
func NewStaticLimiter(n int) *StaticLimiter {
	return &StaticLimiter{vms: n, buckets: map[string]*bucket{}}
}

// CrashVMs implements RateLimiter.
func (s *StaticLimiter) CrashVMs() { s.crashed = 2 }

// Advance implements RateLimiter.
func (s *StaticLimiter) Advance(time.Duration) {}

// Unlist implements RateLimiter.
func (s *StaticLimiter) Unlist() {}

// Restart empties the VM's buckets, since the tokens spent before the restart are
// not known.
func (s *StaticLimiter) Restart(vm int) {
	for _, name := range RateCustomers {
		if p := s.buckets[fmt.Sprint(name, vm)]; p != nil {
			p.level = 0
		}
	}
}

// Submit implements RateLimiter.
func (s *StaticLimiter) Submit(r RateRequest, done func(func(float64))) {
	key := fmt.Sprint(r.Customer, r.VM%(s.vms-s.crashed))
	if s.buckets[key] == nil {
		capacity := BurstTokens / float64(s.vms)
		s.buckets[key] = &bucket{level: capacity, capacity: capacity, rate: RateTokens / float64(s.vms)}
	}
	if !s.buckets[key].take(r.At, r.Tokens) {
		done(nil)
		return
	}
	done(s.buckets[key].refund)
}

// A LeasedLimiter keeps each customer's account on one VM, which grants tokens to
// the others for a limited time. After a crash of that VM, its lease has to expire
// before another VM takes over with an empty account.
type LeasedLimiter struct {
	accounts map[string]*bucket
	grants   map[string]*grant
	crashed  bool
}

type grant struct {
	left  float64
	until time.Duration
}

const (
	grantTokens = BurstTokens / 32
	grantTTL    = time.Second
	leaseTTL    = 10 * time.Second
)

// NewLeasedLimiter returns a LeasedLimiter whose accounts are full.
func NewLeasedLimiter() *LeasedLimiter {
	return &LeasedLimiter{accounts: map[string]*bucket{}, grants: map[string]*grant{}}
}

// CrashVMs implements RateLimiter.
func (l *LeasedLimiter) CrashVMs() { l.crashed = true }

// Advance implements RateLimiter.
func (l *LeasedLimiter) Advance(time.Duration) {}

// Unlist implements RateLimiter.
func (l *LeasedLimiter) Unlist() {}

// Restart drops the VM's grants.
func (l *LeasedLimiter) Restart(vm int) {
	for _, name := range RateCustomers {
		delete(l.grants, fmt.Sprint(name, vm))
	}
}

// Submit implements RateLimiter.
func (l *LeasedLimiter) Submit(r RateRequest, done func(func(float64))) {
	a := l.accounts[r.Customer]
	if a == nil {
		a = &bucket{level: BurstTokens, capacity: BurstTokens, rate: RateTokens}
		l.accounts[r.Customer] = a
	}
	key := fmt.Sprint(r.Customer, r.VM)
	g := l.grants[key]
	if g == nil || r.At > g.until {
		g = &grant{}
		l.grants[key] = g
	}
	unavailable := l.crashed && r.At < leaseTTL
	if l.crashed && a.at < leaseTTL && !unavailable {
		a.level, a.at = 0, leaseTTL
	}
	if need := r.Tokens - g.left; need > 0 && !unavailable {
		want := max(need, grantTokens)
		if a.take(r.At, want) || a.take(r.At, need) {
			g.left += want
			g.until = r.At + grantTTL
		}
	}
	if g.left < r.Tokens {
		done(nil)
		return
	}
	g.left -= r.Tokens
	done(a.refund)
}
