// Package quota enforces the customers' rates and bursts across all VMs.
//
// Every VM estimates the level of one token bucket for the whole fleet. VMs send
// each other how much they have admitted since they started. A silent VM is assumed
// to admit its share of the bucket and its part of the rate, and VMs in touch with each other
// admit no more than the parts of those that may use one, so that the total stays within
// the limit during any network partition. Package shares decides who may, and when a share
// is free again. While the bucket is nearly empty, each VM is limited to its
// share. Otherwise it is limited to a part of the bucket within a period, which
// bounds the amount that is admitted between two updates. In a fleet of more than
// roster.SmallFleetSize VMs the level follows the totals that relays add up.
//
// It is designed for customers that exceed their rate several times over through
// clients that choose VMs at random.
package quota

import (
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/shares"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

const (
	// silentTimeout is how long after its last update a VM is assumed to admit its
	// share.
	silentTimeout = 700 * time.Millisecond
	// expiryTimeout is how long after its last update a VM is forgotten that has no share.
	expiryTimeout = 10 * time.Second
	// scarceFraction is the fraction of the burst below which VMs are limited to
	// their shares.
	scarceFraction = 0.35
	// allowanceFactor times the bucket's level divided by the number of VMs is the
	// amount that a VM may admit within allowancePeriod, which is about the time
	// between two updates. This lets a single VM admit a customer's whole rate if
	// the burst is one second's worth and the bucket is full.
	allowanceFactor = 2.0
	allowancePeriod = 250 * time.Millisecond
	// driftReserve is the fraction of the rate that is not granted, to allow for
	// clocks that run at different speeds.
	driftReserve = 0.01
	// minRetryAfter and maxRetryAfter bound the time after which a refused caller may retry.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 5 * time.Second
)

// A Decision is the result of Admit.
type Decision struct {
	Admitted bool
	// RetryAfter is the time after which a refused request may be sent again.
	RetryAfter time.Duration
	// Level is the estimated level of the fleet's bucket.
	Level float64
}

// A bucket is this VM's estimate of one customer's token bucket.
type bucket struct {
	rate, burst float64
	level       float64
	// capacity is the part of the burst for the VMs that may use their shares.
	capacity float64
	// share is the amount that this VM may admit while the level is below
	// scarceFraction of the burst.
	share      float64
	lastRefill time.Time
	// allowance is the amount that this VM may admit until the next allowance, which
	// follows allowancePeriod after allowanceStart.
	allowance      float64
	allowanceStart time.Time

	// The fields below are used in a large fleet. assumedRate is what the other VMs are
	// assumed to admit a second, and refusedRate what they refuse.
	assumedRate, refusedRate float64
	// own is what this VM admits and refuses, and lastByShare the last decision by its share
	// alone, and accrued the part of the share that was left then.
	own         flow
	lastByShare time.Time
	accrued     float64
	// fleetLevel is the level by the totals of the fleet. The last of them is total, if one
	// was counted, and contains reported of this VM. growth is by how much they have grown a
	// second lately; the level follows it until the next one, by assumed since the last.
	// scarce is whether the bucket was nearly empty.
	fleetLevel      float64
	counted         bool
	total           int64
	reported        float64
	growth, assumed float64
	scarce          bool
	// lastRefused is when this VM last refused a request by the totals.
	lastRefused time.Time
	// withheld is the part of the rate that the bucket was not given for VMs whose amounts are
	// not in the totals, and withheldLevel what was taken from it for their part of the burst.
	withheld, withheldLevel float64
}

// A peer holds the admissions of another VM as last reported.
type peer struct {
	born       int64
	lastUpdate time.Time
	// reported holds the amounts that the VM has reported, by customer; nil until
	// its first update.
	reported map[string]float64
	// assumed holds the amounts that the VM is assumed to have admitted since its
	// last update, by customer, once it is silent.
	assumed map[string]float64
	// members is the number of VMs that share the limits as far as the VM knows, and noShare
	// whether it may not use its share while others are silent. part is its part of the limits, or
	// 0 for an equal one.
	members int
	noShare bool
	part    float64
	// flows holds what the VM admits and refuses, by customer, in a large fleet.
	flows map[string]*flow
	// lost reports whether the VM has been silent for so long in a large fleet that it is
	// assumed to admit its share at least.
	lost bool
}

// A State is one VM's state of the limits of all customers. It is not safe for
// concurrent use. The times passed to its methods must come from a clock that
// includes the time for which the system is suspended.
type State struct {
	buckets map[string]*bucket
	peers   map[string]*peer
	spent   map[string]float64
	// refused holds the amounts that were refused since the start, by customer.
	refused map[string]float64
	// wasLarge reports whether the fleet was large at the last event.
	wasLarge bool
	// totals is where the totals of the fleet come from.
	totals totals
	// random returns a number from 0 to 1.
	random func() float64
	// members are the VMs that share the limits; nil if they are not known yet, and listed
	// the set of them. count is the number of VMs among which this one divides the limits.
	members *shares.Members
	// started is when they were first set, at the VM's start.
	started time.Time
	listed  map[string]bool
	count   int
}

// NewState returns the State of a VM that starts now. Unless SetMembers is called, it takes the
// VMs that it hears from for all that share the limits.
func NewState() *State {
	return &State{buckets: map[string]*bucket{}, peers: map[string]*peer{}, spent: map[string]float64{}, refused: map[string]float64{}, random: rand.Float64, count: 1}
}

// Spent returns the amounts that this VM has admitted since it started, by
// customer.
func (s *State) Spent() map[string]float64 {
	out := make(map[string]float64, len(s.spent))
	for name, n := range s.spent {
		out[name] = n
	}
	return out
}

// Admit decides whether a request of a customer with the given cost is admitted.
func (s *State) Admit(c *site.Customer, cost float64, now time.Time) Decision {
	if c.Rate <= 0 {
		s.spent[c.Name] += cost
		return Decision{Admitted: true}
	}
	s.resize()
	b := s.bucket(c, now)
	// A request that costs more than the burst is admitted if the bucket is full,
	// and makes its level negative.
	need := min(cost, 0.95*b.capacity)
	switch {
	case s.UsesTotals() && s.knowsTotals(now):
		return s.admitByTotals(c.Name, b, cost, need, now)
	case s.large() && s.isOverLimit(b):
		return s.admitShare(c.Name, b, cost, need, now)
	case b.capacity <= 0:
		// Nobody in touch with this VM may use a share.
		return s.refuse(c.Name, cost, maxRetryAfter, b.level)
	}
	s.renewAllowance(b, now)
	if b.level < need || b.share < 0 && (b.level < scarceFraction*b.burst || b.allowance <= 0) {
		return s.refuse(c.Name, cost, s.retryAfter(b, need), b.level)
	}
	return s.admit(c.Name, b, cost, b.level)
}

// admit takes a request's cost from the bucket, whose level is given.
func (s *State) admit(name string, b *bucket, cost, level float64) Decision {
	b.level -= cost
	b.share -= cost
	b.allowance -= cost
	s.spent[name] += cost
	return Decision{Admitted: true, Level: level - cost}
}

// refuse takes note of a refused request.
func (s *State) refuse(name string, cost float64, after time.Duration, level float64) Decision {
	s.refused[name] += cost
	return Decision{RetryAfter: after, Level: level}
}

// renewAllowance sets a new allowance once the period of the last one is over.
func (s *State) renewAllowance(b *bucket, now time.Time) {
	if age := now.Sub(b.allowanceStart); age >= 0 && age < s.allowancePeriod() {
		return
	}
	b.allowanceStart = now
	b.allowance = allowanceFactor * max(b.level, 0) / float64(s.vmCount())
}

// allowancePeriod returns the period of one allowance. It grows with the fleet, as
// updates are less frequent in a large one.
func (s *State) allowancePeriod() time.Duration {
	return time.Duration(float64(allowancePeriod) * max(1, float64(s.vmCount())/roster.SmallFleetSize))
}

// Refund returns the cost of an admitted request that did not run.
func (s *State) Refund(c *site.Customer, cost float64) {
	s.spent[c.Name] -= cost
	if b, ok := s.buckets[c.Name]; ok {
		b.level = min(b.burst, b.level+cost)
		b.share += cost
		b.allowance += cost
	}
}

// AddCustomers creates the buckets of new customers, so that these have filled by
// the time of the customers' first requests.
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
		missing = max(missing, -b.share*float64(s.vmCount()))
	}
	after := time.Duration(missing / b.rate * float64(time.Second))
	return min(max(after, minRetryAfter), maxRetryAfter)
}

// bucket returns a customer's bucket, refilled up to now.
func (s *State) bucket(c *site.Customer, now time.Time) *bucket {
	rate := c.Rate * (1 - driftReserve)
	b, ok := s.buckets[c.Name]
	if !ok {
		// The bucket was empty at this VM's start since the amounts that other VMs admitted
		// before are not known. It has filled since, also if the VM learns of the customer later.
		b = &bucket{rate: rate, burst: c.Burst, capacity: c.Burst, lastRefill: now}
		if full := now.Add(-time.Duration(c.Burst / rate * float64(time.Second))); !s.started.IsZero() {
			b.lastRefill = later(s.started, full)
		}
		s.buckets[c.Name] = b
	}
	if b.rate != rate || b.burst != c.Burst {
		b.rate, b.burst, b.capacity = rate, c.Burst, c.Burst
		b.level = min(b.level, b.burst)
		b.fleetLevel = min(b.fleetLevel, b.burst)
	}
	s.refill(c.Name, b, now)
	return b
}

// later returns the later of two times.
func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// refill adds the rate for the time since the last refill, less the shares of those that
// are silent, or that may not use theirs while others are silent.
func (s *State) refill(name string, b *bucket, now time.Time) {
	dt := now.Sub(b.lastRefill).Seconds()
	if dt <= 0 {
		return
	}
	b.lastRefill = now
	n := float64(s.vmCount())
	share := b.rate * dt / n
	gain := b.rate * dt
	b.capacity = b.burst
	switch {
	case s.large():
		gain -= b.assumedRate * dt
	case s.assumeSilent(name, b, b.rate*dt, now):
		usable := s.usablePart(now)
		gain *= usable
		b.capacity *= usable
	case !s.inContact(now):
		gain = 0
	}
	b.level = min(b.capacity, b.level+gain)
	s.refillByTotals(name, b, dt)
	b.share = min(b.burst/n, b.share+share)
}

// assumeSilent reports whether a VM is silent. Each such VM is assumed to admit its share of
// the bucket, once, and its part of the given gain of the bucket.
func (s *State) assumeSilent(name string, b *bucket, gain float64, now time.Time) bool {
	if !s.anySilent(now) {
		return false
	}
	present := 1
	for _, p := range s.peers {
		if _, assumed := p.assumed[name]; !assumed {
			present++
		}
	}
	for vm, p := range s.peers {
		if !p.silent(now) {
			continue
		}
		if _, assumed := p.assumed[name]; !assumed {
			part := max(b.level, 0) / float64(present)
			b.level -= part
			p.assumed[name] = part
			present--
		}
		p.assumed[name] += gain * s.partOf(vm)
	}
	return true
}

// anySilent reports whether a VM that shares the limits is silent, or known to others only.
func (s *State) anySilent(now time.Time) bool {
	if s.Known() < s.vmCount() {
		return true
	}
	for _, p := range s.peers {
		if p.silent(now) {
			return true
		}
	}
	return false
}

// partOf returns the part of the limits that a silent VM is assumed to use.
func (s *State) partOf(vm string) float64 {
	equal := 1 / float64(s.vmCount())
	if s.members == nil {
		return equal
	}
	if part, ok := s.members.Parts[vm]; ok {
		return min(part, equal)
	}
	return equal
}

// usablePart returns the part of the limits that this VM and those in touch with it may use while
// others are silent.
func (s *State) usablePart(now time.Time) float64 {
	equal := 1 / float64(s.vmCount())
	sum := 0.0
	add := func(part float64) {
		if part == 0 {
			part = equal
		}
		sum += part
	}
	for _, p := range s.peers {
		if !p.silent(now) && !p.noShare {
			add(p.part)
		}
	}
	if s.HasShare(now) {
		add(s.Part())
	}
	return min(sum, 1)
}

// Part returns the part of the limits that this VM may use while others are silent, or 0 for an
// equal one.
func (s *State) Part() float64 {
	if s.members == nil {
		return 0
	}
	return s.members.Part
}

// HasShare reports whether this VM may use its share while others are silent.
func (s *State) HasShare(now time.Time) bool {
	return s.members == nil || now.Before(s.members.ShareUntil)
}

// Share returns what this VM may use of the limits.
func (s *State) Share(now time.Time) Share {
	share := Share{Members: s.Known(), Has: s.HasShare(now), Part: s.Part()}
	if s.members == nil {
		return share
	}
	for _, h := range s.members.Held {
		share.Held = append(share.Held, HeldPart{VM: h.VM, Part: h.Part, Wait: max(h.Until.Sub(now).Seconds(), 0), Blocks: h.Blocks})
	}
	return share
}

// inContact reports whether this VM may divide the limits with the others although the store
// was not read for a while. One that knows no other VM may not, until it has read the store.
func (s *State) inContact(now time.Time) bool {
	switch {
	case s.members == nil:
		return true
	case len(s.peers) == 0 && !s.HasShare(now):
		return false
	}
	return now.Before(s.members.ContactUntil)
}

// vmCount returns the number of VMs that share a limit.
func (s *State) vmCount() int { return s.count }

// Known returns the number of VMs that share a limit as far as this VM itself knows.
func (s *State) Known() int { return len(s.peers) + 1 }

// recount counts the VMs that share a limit: those that this VM knows, or more if one that
// is in touch with it knows more.
func (s *State) recount() {
	s.count = s.Known()
	if s.large() {
		return
	}
	for _, p := range s.peers {
		s.count = max(s.count, p.members)
	}
}

// SetMembers sets the VMs that share the limits.
func (s *State) SetMembers(m shares.Members, now time.Time) {
	if s.members == nil {
		s.started = now
	}
	s.members, s.listed = &m, map[string]bool{}
	for _, vm := range s.Sharers() {
		s.listed[vm] = true
		s.AddPeer(vm, 0, now)
	}
	s.recount()
	s.resize()
}

// Sharers returns the other VMs that share the limits, and those whose next process may. In a
// large fleet totals show who does.
func (s *State) Sharers() []string {
	switch {
	case s.members == nil:
		return nil
	case len(s.members.VMs) >= roster.SmallFleetSize:
		return s.members.VMs
	}
	return slices.Concat(s.members.VMs, s.members.Stopped)
}

// MayUseShare reports whether this VM may use a share of something that is divided like the
// limits, where anySilent is whether one of the others is silent. Where the VMs that share the
// limits were never read from the store, those that hear each other divide it.
func (s *State) MayUseShare(anySilent, read bool, now time.Time) bool {
	for _, p := range s.peers {
		// A VM that knows more of them may know silent ones.
		anySilent = anySilent || p.members > s.Known()
	}
	return s.HasShare(now) && !s.isUnknown() || !anySilent && (!read || s.inContact(now))
}

// isUnknown reports whether one of the others does not know of this VM. It may count itself or
// others as those whose turn it is.
func (s *State) isUnknown() bool { return s.members != nil && s.members.Unknown }

func (p *peer) silent(now time.Time) bool { return now.Sub(p.lastUpdate) > silentTimeout }

// An Update is what another VM has admitted and refused since it started.
type Update struct {
	VM             string
	Born           int64
	Spent, Refused map[string]float64
	// Members is the number of VMs that share the limits as far as it knows, and NoShare reports
	// whether it may not use its share while others are silent. Part is its part of the limits, or
	// 0 for an equal one.
	Members int
	NoShare bool
	Part    float64
}

// UpdatePeer records the amounts that another VM has admitted since it started.
func (s *State) UpdatePeer(u Update, now time.Time) {
	vm, born, spent, refused := u.VM, u.Born, u.Spent, u.Refused
	p, ok := s.peers[vm]
	if !ok {
		p = &peer{assumed: map[string]float64{}}
		s.peers[vm] = p
	}
	if p.reported == nil {
		// The amounts of the first update are a baseline only: this VM's buckets
		// started empty, so earlier admissions must not be subtracted from them.
		p.born, p.reported = born, maps.Clone(spent)
		if p.reported == nil {
			p.reported = map[string]float64{}
		}
	}
	if p.born != born {
		p.born, p.reported = born, map[string]float64{}
	}
	p.members, p.noShare, p.part = u.Members, u.NoShare, u.Part
	s.recount()
	s.resize()
	if s.large() {
		s.updateFlows(p, spent, refused, now)
		return
	}
	p.lastUpdate = now
	for name, n := range spent {
		s.settle(name, p.assumed[name]-(n-p.reported[name]), now)
		delete(p.assumed, name)
	}
	// Of the other customers the VM has admitted nothing.
	for name, n := range p.assumed {
		s.settle(name, n, now)
	}
	clear(p.assumed)
	maps.Copy(p.reported, spent)
}

// settle adds an amount to a customer's bucket.
func (s *State) settle(name string, amount float64, now time.Time) {
	if b, ok := s.buckets[name]; ok {
		s.refill(name, b, now)
		b.level = min(b.burst, b.level+amount)
	}
}

// AddPeer makes a VM that is known but silent share the limits.
func (s *State) AddPeer(vm string, born int64, now time.Time) {
	if _, ok := s.peers[vm]; !ok {
		s.peers[vm] = &peer{
			born: born, lastUpdate: now.Add(-silentTimeout), assumed: map[string]float64{},
		}
		s.recount()
	}
}

// RemoveExpired removes the silent VMs that have no share. A VM that has registered one
// meanwhile may not use it before this VM knows.
func (s *State) RemoveExpired(now time.Time) {
	for vm, p := range s.peers {
		if now.Sub(p.lastUpdate) > expiryTimeout && !s.listed[vm] {
			s.forgetFlows(p, now)
			delete(s.peers, vm)
		}
	}
	s.recount()
	s.resize()
	s.assumeLost(now)
}
