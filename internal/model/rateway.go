package model

import (
	"fmt"
	"time"
)

// A RateWay is a way to hold a fleet to the rates of customers.
type RateLimiter interface {
	// Lose makes two VMs end.
	CrashVMs()
	// Unlist takes the lost VMs off the platform's list.
	Unlist()
	// Roll restarts a VM by a planned stop.
	Restart(vm int)
	// offer Offers a request; done is told how to refund it, or nil if it is
	// refused.
	Submit(o RateRequest, done func(refund func(tokens float64)))
	// Run lets time pass.
	Advance(d time.Duration)
}

// A pot is a plain token bucket.
type pot struct {
	level, rate, top float64
	at               time.Duration
}

func (p *pot) take(at time.Duration, tokens float64) bool {
	p.level = min(p.top, p.level+p.rate*(at-p.at).Seconds())
	p.at = at
	if p.level < tokens {
		return false
	}
	p.level -= tokens
	return true
}

// refund puts tokens back; what exceeds the top is lost.
func (p *pot) refund(tokens float64) { p.level = min(p.top, p.level+tokens) }

// A Static gives every VM the n-th part of rate and burst.
type StaticLimiter struct {
	n, lost int
	pots    map[string]*pot
}

// NewStatic returns a Static over n VMs.
func NewStaticLimiter(n int) *StaticLimiter { return &StaticLimiter{n: n, pots: map[string]*pot{}} }

// Lose implements RateWay.
func (s *StaticLimiter) CrashVMs() { s.lost = 2 }

// Run implements RateWay.
func (s *StaticLimiter) Advance(time.Duration) {}

// Unlist implements RateWay.
func (s *StaticLimiter) Unlist() {}

// Roll starts the VM's buckets empty, since nobody knows what was spent.
func (s *StaticLimiter) Restart(vm int) {
	for _, name := range RateCustomers {
		if p := s.pots[fmt.Sprint(name, vm)]; p != nil {
			p.level = 0
		}
	}
}

// Offer implements RateWay.
func (s *StaticLimiter) Submit(o RateRequest, done func(func(float64))) {
	key := fmt.Sprint(o.Customer, o.VM%(s.n-s.lost))
	if s.pots[key] == nil {
		top := BurstTokens / float64(s.n)
		s.pots[key] = &pot{level: top, top: top, rate: RateTokens / float64(s.n)}
	}
	if !s.pots[key].take(o.At, o.Tokens) {
		done(nil)
		return
	}
	done(s.pots[key].refund)
}

// A Leased keeps a customer's account on one VM, which grants amounts that lapse.
// When the holder is lost, its lease has to lapse before the next one starts
// with an empty account.
type LeasedLimiter struct {
	accounts map[string]*pot
	grants   map[string]*grant
	lost     bool
}

type grant struct {
	left  float64
	until time.Duration
}

const (
	grantTokens = BurstTokens / 32
	grantTime   = time.Second
	leaseTime   = 10 * time.Second
)

// NewLeased returns a Leased whose accounts are full.
func NewLeasedLimiter() *LeasedLimiter {
	return &LeasedLimiter{accounts: map[string]*pot{}, grants: map[string]*grant{}}
}

// Lose implements RateWay.
func (l *LeasedLimiter) CrashVMs() { l.lost = true }

// Run implements RateWay.
func (l *LeasedLimiter) Advance(time.Duration) {}

// Unlist implements RateWay.
func (l *LeasedLimiter) Unlist() {}

// Roll makes the VM forget its grants.
func (l *LeasedLimiter) Restart(vm int) {
	for _, name := range RateCustomers {
		delete(l.grants, fmt.Sprint(name, vm))
	}
}

// Offer implements RateWay.
func (l *LeasedLimiter) Submit(o RateRequest, done func(func(float64))) {
	a := l.accounts[o.Customer]
	if a == nil {
		a = &pot{level: BurstTokens, top: BurstTokens, rate: RateTokens}
		l.accounts[o.Customer] = a
	}
	key := fmt.Sprint(o.Customer, o.VM)
	g := l.grants[key]
	if g == nil || o.At > g.until {
		g = &grant{}
		l.grants[key] = g
	}
	away := l.lost && o.At < leaseTime
	if l.lost && a.at < leaseTime && !away {
		a.level, a.at = 0, leaseTime
	}
	if need := o.Tokens - g.left; need > 0 && !away {
		ask := max(need, grantTokens)
		if a.take(o.At, ask) || a.take(o.At, need) {
			g.left += ask
			g.until = o.At + grantTime
		}
	}
	if g.left < o.Tokens {
		done(nil)
		return
	}
	g.left -= o.Tokens
	done(a.refund)
}
