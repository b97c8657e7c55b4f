package quota

import (
	"maps"
	"math"
	"time"
)

// In a large fleet without totals, updates are seconds old, and a VM gets so few requests of
// a customer that its share of the limit is less than one of them. There each VM assumes that the
// others go on admitting what they have admitted lately. While the fleet is asked for more
// than a customer's rate, each VM admits its share alone, by chance where a request is
// larger than that: whatever the VMs know of each other, they admit the rate together.

const (
	// flowWeight is the weight of the last period in a mean rate.
	flowWeight = 0.3
	// overFraction is the fraction of the rate above which a customer is over its limit.
	// Flows are sums of few requests: a customer just below its rate would be over it half
	// of the time. Up to here the level of the bucket keeps the limit.
	overFraction = 1.1
	// firstTries is the part of refused requests that are asked for the first time: callers
	// repeat a refused request about once.
	firstTries = 0.5
	// lostPeriods is the number of update periods after which a silent VM is assumed to
	// admit its share.
	lostPeriods = 2.5
)

// A flow is what a VM admits and refuses of one customer, as it last reported.
type flow struct {
	// spent and refused are amounts since the start of the VM, and spentRate and
	// refusedRate amounts per second.
	spent, refused         float64
	spentRate, refusedRate float64
	// at is the time of the report. assumed is what the VM was assumed to have admitted
	// since then up to since, from when on it is assumed to admit rate.
	at, since     time.Time
	assumed, rate float64
}

// large reports whether updates are so rare that the other VMs would count with their equal
// share for more than half of the time.
func (s *State) large() bool { return s.allowancePeriod() > 2*silentTimeout }

// resize forgets the flows when the fleet grows large or small: meanwhile nothing was taken
// from the buckets for them, so that nothing may be returned.
func (s *State) resize() {
	if s.wasLarge == s.large() {
		return
	}
	s.wasLarge = s.large()
	for _, p := range s.peers {
		p.flows, p.lost = nil, false
	}
	for _, b := range s.buckets {
		b.assumedRate, b.refusedRate, b.own = 0, 0, flow{}
	}
}

// isOverLimit reports whether the fleet is asked for more than a customer's rate.
func (s *State) isOverLimit(b *bucket) bool {
	asked := b.assumedRate + b.own.spentRate + firstTries*(b.refusedRate+b.own.refusedRate)
	return asked > overFraction*b.rate
}

// admitShare admits this VM's share of the rate.
func (s *State) admitShare(name string, b *bucket, cost, need float64, now time.Time) Decision {
	if took := s.takeShare(b, cost, 1, now); !took || b.level < need {
		return s.refuse(name, cost, min(max(s.shareWait(b, cost), s.retryAfter(b, need)), maxRetryAfter), b.level)
	}
	return s.admit(name, b, cost, b.level)
}

// takeShare reports whether a request is within this VM's share of the rate, times a factor, that
// no such decision has used. A request that costs more is within it with such a chance that the share is
// kept on average.
func (s *State) takeShare(b *bucket, cost, factor float64, now time.Time) bool {
	accrued := b.accrued + factor*b.rate/float64(s.vmCount())*now.Sub(b.lastByShare).Seconds()
	accrued = min(accrued, max(cost, b.burst/float64(s.vmCount())))
	b.lastByShare, b.accrued = now, max(accrued-cost, 0)
	return accrued >= cost || s.random() < accrued/cost
}

// shareWait returns the time in which this VM's share of the rate is worth the cost.
func (s *State) shareWait(b *bucket, cost float64) time.Duration {
	return min(time.Duration(cost/b.rate*float64(s.vmCount())*float64(time.Second)), maxRetryAfter)
}

// weightOf returns the weight of what happened in the last dt seconds in a mean rate.
func weightOf(dt float64, period time.Duration) float64 {
	return 1 - math.Pow(1-flowWeight, dt/period.Seconds())
}

// advance updates the rates of a flow with the amounts up to a time, where updates are a
// period apart on average. The less time has passed the less it weighs, since updates that
// were held up arrive together.
func (f *flow) advance(spent, refused float64, period time.Duration, now time.Time) {
	if !f.at.IsZero() {
		dt := now.Sub(f.at).Seconds()
		if dt <= 0 {
			// What has changed counts with the next update.
			return
		}
		weight := weightOf(dt, period)
		f.spentRate += weight * (max(spent-f.spent, 0)/dt - f.spentRate)
		f.refusedRate += weight * (max(refused-f.refused, 0)/dt - f.refusedRate)
	}
	f.spent, f.refused, f.at = spent, refused, now
}

// assume changes what the VM is assumed to admit from now on.
func (f *flow) assume(rate float64, now time.Time) {
	if !f.since.IsZero() {
		f.assumed += f.rate * now.Sub(f.since).Seconds()
	}
	f.rate, f.since = rate, now
}

// updateFlows records the amounts that another VM has admitted and refused.
func (s *State) updateFlows(p *peer, spent, refused map[string]float64, now time.Time) {
	if p.flows == nil {
		p.flows = map[string]*flow{}
	}
	p.lastUpdate, p.lost = now, false
	for name, n := range spent {
		b, ok := s.buckets[name]
		if !ok {
			p.reported[name] = n
			continue
		}
		s.refill(name, b, now)
		f := p.flow(name)
		before := *f
		f.assume(0, now)
		b.level = min(b.burst, b.level+f.assumed+p.assumed[name]-(n-p.reported[name]))
		f.assumed, f.since = 0, now
		if n < f.spent {
			// The VM has restarted or refunded more than it admitted.
			f.at = time.Time{}
		}
		f.advance(n, refused[name], s.allowancePeriod(), now)
		f.rate = f.spentRate
		b.assumedRate += f.rate - before.rate
		b.refusedRate += f.refusedRate - before.refusedRate
		p.reported[name] = n
	}
	clear(p.assumed)
}

// flow returns the flow of a customer.
func (p *peer) flow(name string) *flow {
	f, ok := p.flows[name]
	if !ok {
		f = &flow{}
		p.flows[name] = f
	}
	return f
}

// assumeLost lets VMs that are silent for long count as admitting their share, since they
// can't be told what the others admit.
func (s *State) assumeLost(now time.Time) {
	if !s.large() {
		return
	}
	for _, p := range s.peers {
		if p.lost || now.Sub(p.lastUpdate) < time.Duration(lostPeriods*float64(s.allowancePeriod())) {
			continue
		}
		if p.lost = true; p.flows == nil {
			p.flows = map[string]*flow{}
		}
		for name, b := range s.buckets {
			f := p.flow(name)
			s.refill(name, b, now)
			rate := max(f.rate, b.rate/float64(s.vmCount()))
			b.assumedRate += rate - f.rate
			f.assume(rate, now)
		}
	}
}

// forgetFlows removes a VM from the sums of all customers.
func (s *State) forgetFlows(p *peer, now time.Time) {
	for name, f := range p.flows {
		if b, ok := s.buckets[name]; ok {
			s.refill(name, b, now)
			b.assumedRate -= f.rate
			b.refusedRate -= f.refusedRate
		}
	}
}

// Refused returns the amounts that this VM has refused since it started, by customer, and
// takes note of them.
func (s *State) Refused(now time.Time) map[string]float64 {
	for name, b := range s.buckets {
		b.own.advance(s.spent[name], s.refused[name], s.allowancePeriod(), now)
	}
	return maps.Clone(s.refused)
}
