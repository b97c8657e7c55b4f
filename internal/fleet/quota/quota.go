// Package quota holds customers to their rate and burst across all VMs.
//
// Every VM keeps an estimate of one bucket for the whole fleet. VMs tell each
// other how much they have admitted since they started. A VM that is silent
// counts as admitting its equal share of the rate, and a VM that hears of
// nobody admits no more than that share, so that the sum stays within the limit
// whoever is cut off. While the bucket is nearly empty each VM is held to its
// share, and above that to a part of the bucket within a period, which bounds what
// is admitted between two tellings.
//
// The load it answers: customers that send several times their rate through
// clients that pick VMs at random.
package quota

import (
	"maps"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

const (
	// silentTime is how long after its last telling a VM's admissions are
	// estimated by its share.
	silentTime = 700 * time.Millisecond
	// lapseTime is how long after its last telling a VM has no share any more.
	// Its own clock ends the share earlier, by lapseMargin.
	lapseTime   = 10 * time.Second
	lapseMargin = time.Second
	// scarce is the part of the burst below which VMs are held to their shares.
	scarce = 0.35
	// drawPart is the part of the bucket, divided by the VMs, that a VM may spend
	// within drawPeriod, about the time between two tellings. A single VM can so
	// spend a whole rate from a full bucket of one second.
	drawPart   = 2.0
	drawPeriod = 250 * time.Millisecond
	// drift is the part of the rate that is not given out, for clocks that run at
	// different speeds.
	drift = 0.01
	// maxRetry bounds the time after which a refused caller is told to return.
	maxRetry = 5 * time.Second
)

// A Verdict is the outcome of Admit.
type Decision struct {
	Admitted bool
	// After is when a refused request may come again.
	RetryAfter time.Duration
	// Level is the estimate of the fleet's bucket that decided.
	Level float64
}

// A bucket is one customer's limit as this VM estimates it.
type bucket struct {
	rate, burst float64
	level       float64
	// share is what this VM may admit while the bucket is scarce.
	share float64
	last  time.Time
	// draw is what this VM may spend of the bucket until the next draw.
	draw  float64
	drawn time.Time
}

// A peer is another VM's admissions as last told.
type peer struct {
	born  int64
	heard time.Time
	// told is nil until the VM was heard of.
	told    map[string]float64
	assumed map[string]float64
}

// A State is one VM's part in the limits of all customers. It is not safe for
// concurrent use; now must come from a clock that counts suspended time.
type State struct {
	buckets map[string]*bucket
	peers   map[string]*peer
	spent   map[string]float64
	// heard is when any other VM was last heard of.
	heard time.Time
}

// NewState returns a State of a VM that starts now.
func NewState(now time.Time) *State {
	return &State{buckets: map[string]*bucket{}, peers: map[string]*peer{}, spent: map[string]float64{}, heard: now}
}

// Spent returns what this VM has admitted since it started, by customer.
func (s *State) Spent() map[string]float64 {
	out := make(map[string]float64, len(s.spent))
	for name, n := range s.spent {
		out[name] = n
	}
	return out
}

// Admit decides on a request of a customer that costs so many units.
func (s *State) Admit(c *site.Customer, cost float64, now time.Time) Decision {
	if c.Rate <= 0 {
		s.spent[c.Name] += cost
		return Decision{Admitted: true}
	}
	b := s.bucket(c, now)
	// A request above the burst is admitted from a full bucket and leaves a debt.
	need := min(cost, 0.95*b.burst)
	s.refresh(b, now)
	if b.level < need || b.share < 0 && (b.level < scarce*b.burst || b.draw <= 0) {
		return Decision{RetryAfter: s.retryAfter(b, need), Level: b.level}
	}
	b.level -= cost
	b.share -= cost
	b.draw -= cost
	s.spent[c.Name] += cost
	return Decision{Admitted: true, Level: b.level}
}

// refresh gives this VM a new draw from the bucket once the time of the last one
// is over.
func (s *State) refresh(b *bucket, now time.Time) {
	if age := now.Sub(b.drawn); age >= 0 && age < s.drawPeriod() {
		return
	}
	b.drawn = now
	b.draw = drawPart * max(b.level, 0) / float64(s.sharers())
}

// drawPeriod is the time for which one draw lasts; tellings take longer in a large
// fleet.
func (s *State) drawPeriod() time.Duration {
	return time.Duration(float64(drawPeriod) * max(1, float64(s.sharers())/roster.SmallFleetSize))
}

// Refund gives back what an admitted request did not use, since it did not run.
func (s *State) Refund(c *site.Customer, cost float64) {
	s.spent[c.Name] -= cost
	if b, ok := s.buckets[c.Name]; ok {
		b.level = min(b.burst, b.level+cost)
		b.share += cost
		b.draw += cost
	}
}

// Prepare starts the buckets of customers that are not known yet, so that they
// have filled by the time of their first request.
func (s *State) AddCustomers(customers []site.Customer, now time.Time) {
	for i := range customers {
		if customers[i].Rate > 0 {
			s.bucket(&customers[i], now)
		}
	}
}

func (s *State) retryAfter(b *bucket, need float64) time.Duration {
	missing := need - b.level
	if b.share < 0 {
		missing = max(missing, -b.share*float64(s.sharers()))
	}
	after := time.Duration(missing / b.rate * float64(time.Second))
	return min(max(after, 50*time.Millisecond), maxRetry)
}

// bucket returns a customer's bucket as of now.
func (s *State) bucket(c *site.Customer, now time.Time) *bucket {
	rate := c.Rate * (1 - drift)
	b, ok := s.buckets[c.Name]
	if !ok {
		// Empty: a VM that has just started does not know what was admitted.
		b = &bucket{rate: rate, burst: c.Burst, last: now}
		s.buckets[c.Name] = b
	}
	if b.rate != rate || b.burst != c.Burst {
		b.rate, b.burst = rate, c.Burst
		b.level = min(b.level, b.burst)
	}
	s.refill(c.Name, b, now)
	return b
}

// refill adds the rate since the last look, less the shares of silent VMs.
func (s *State) refill(name string, b *bucket, now time.Time) {
	dt := now.Sub(b.last).Seconds()
	if dt <= 0 {
		return
	}
	b.last = now
	part := b.rate * dt / float64(s.sharers())
	gain := b.rate * dt
	for _, p := range s.peers {
		if p.silent(now) {
			p.assumed[name] += part
			gain -= part
		}
	}
	if len(s.peers) > 0 && now.Sub(s.heard) > lapseTime-lapseMargin {
		gain = 0
	}
	b.level = min(b.burst, b.level+gain)
	b.share = min(b.burst/float64(s.sharers()), b.share+part)
}

// sharers is the number of VMs among which a limit is divided.
func (s *State) sharers() int { return len(s.peers) + 1 }

func (p *peer) silent(now time.Time) bool { return now.Sub(p.heard) > silentTime }

// Hear takes in what another VM has admitted since it started.
func (s *State) UpdatePeer(vm string, born int64, spent map[string]float64, now time.Time) {
	s.heard = now
	p, ok := s.peers[vm]
	if !ok {
		p = &peer{assumed: map[string]float64{}}
		s.peers[vm] = p
	}
	if p.told == nil {
		// What it admitted before it was heard of is in nobody's estimate, and the
		// buckets of this VM started empty.
		p.born, p.told = born, maps.Clone(spent)
		if p.told == nil {
			p.told = map[string]float64{}
		}
	}
	if p.born != born {
		p.born, p.told = born, map[string]float64{}
	}
	p.heard = now
	for name, n := range spent {
		if b, ok := s.buckets[name]; ok {
			s.refill(name, b, now)
			b.level = min(b.burst, b.level+p.assumed[name]-(n-p.told[name]))
		}
		delete(p.assumed, name)
		p.told[name] = n
	}
}

// Expect makes a VM that is known but silent count as a sharer.
func (s *State) AddPeer(vm string, born int64, now time.Time) {
	if _, ok := s.peers[vm]; !ok {
		s.peers[vm] = &peer{
			born: born, heard: now.Add(-silentTime), assumed: map[string]float64{},
		}
	}
}

// Forget drops the VMs whose share has lapsed.
func (s *State) Forget(now time.Time) {
	for vm, p := range s.peers {
		if now.Sub(p.heard) > lapseTime {
			delete(s.peers, vm)
		}
	}
}
