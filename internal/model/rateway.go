package model

import (
	"fmt"
	"time"
)

// A RateWay is a way to hold a fleet to the rates of customers.
type RateWay interface {
	// Lose makes two VMs end.
	Lose()
	// Unlist takes the lost VMs off the platform's list.
	Unlist()
	// Roll restarts a VM by a planned stop.
	Roll(vm int)
	// offer Offers a request; done is told how to refund it, or nil if it is
	// refused.
	Offer(o Offer, done func(refund func(tokens float64)))
	// Run lets time pass.
	Run(d time.Duration)
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
type Static struct {
	n, lost int
	pots    map[string]*pot
}

// NewStatic returns a Static over n VMs.
func NewStatic(n int) *Static { return &Static{n: n, pots: map[string]*pot{}} }

// Lose implements RateWay.
func (s *Static) Lose() { s.lost = 2 }

// Run implements RateWay.
func (s *Static) Run(time.Duration) {}

// Unlist implements RateWay.
func (s *Static) Unlist() {}

// Roll starts the VM's buckets empty, since nobody knows what was spent.
func (s *Static) Roll(vm int) {
	for _, name := range RateCustomers {
		if p := s.pots[fmt.Sprint(name, vm)]; p != nil {
			p.level = 0
		}
	}
}

// Offer implements RateWay.
func (s *Static) Offer(o Offer, done func(func(float64))) {
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
type Leased struct {
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
func NewLeased() *Leased {
	return &Leased{accounts: map[string]*pot{}, grants: map[string]*grant{}}
}

// Lose implements RateWay.
func (l *Leased) Lose() { l.lost = true }

// Run implements RateWay.
func (l *Leased) Run(time.Duration) {}

// Unlist implements RateWay.
func (l *Leased) Unlist() {}

// Roll makes the VM forget its grants.
func (l *Leased) Roll(vm int) {
	for _, name := range RateCustomers {
		delete(l.grants, fmt.Sprint(name, vm))
	}
}

// Offer implements RateWay.
func (l *Leased) Offer(o Offer, done func(func(float64))) {
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
