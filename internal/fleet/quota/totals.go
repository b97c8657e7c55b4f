package quota

import (
	"math"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/tally"
)

// totals is the state of the totals that this VM gets from a relay.
type totals struct {
	// from and born identify the incarnation of the relay.
	from string
	born int64
	// at is when they were asked for, so that a VM that was paused does not take old ones
	// for new.
	at time.Time
	// vms is the number of VMs whose amounts are in the totals.
	vms int
	// spent are the amounts in the totals.
	spent map[string]int64
}

const (
	// freshTotalsTime is how old the totals may be for requests to be admitted by them.
	freshTotalsTime = 5 * tally.Period
	// knownFraction is the fraction of the VMs whose amounts are in the totals from which on
	// the rest does not count. It may be starting or lost.
	knownFraction = 0.9
	// plentyFraction is the fraction of the burst from which on a bucket that was nearly
	// empty is not any more.
	plentyFraction = 0.9
	// recoveryTime is how long a customer must not have been refused at a VM until the VM
	// admits its requests freely again. Totals show what it asks for then.
	recoveryTime = 2 * time.Second
	// plausibleTime is the longest time between two totals.
	plausibleTime = 8 * time.Second
	// maxShareFactor is the factor of a VM's share of the rate with a full bucket.
	maxShareFactor = 2.0
)

// UsesTotals reports whether the fleet is so large that totals come sooner than updates.
func (s *State) UsesTotals() bool { return s.vmCount() > roster.SmallFleetSize }

// Report returns what this VM has admitted since it started.
func (s *State) Report() tally.Report {
	spent := make(map[string]int64, len(s.spent))
	for name, n := range s.spent {
		spent[name] = int64(math.Round(n))
	}
	return tally.Report{Spent: spent}
}

// UpdateTotals applies the totals that a relay returned for a report that this VM sent at
// the given time.
func (s *State) UpdateTotals(relay string, total, reported tally.Report, sent, now time.Time) {
	known := s.totals.from == relay && s.totals.born == total.Born
	passed, returned := sent.Sub(s.totals.at), s.returned(total.VMs)
	for name, b := range s.buckets {
		s.refill(name, b, now)
		n, own := total.Spent[name], float64(reported.Spent[name])
		follows := known && b.counted
		switch {
		case follows:
			amount := float64(n - b.total)
			credit := b.returnWithheld(returned, amount)
			b.fleetLevel -= amount - credit - b.assumed
			b.grow(amount-credit, passed)
		case known && b.isPlausible(float64(n-s.totals.spent[name])):
			// This VM has learned of the customer since the last totals.
			b.fleetLevel -= float64(n - s.totals.spent[name])
		case known:
			b.fleetLevel = min(b.fleetLevel, 0)
		case s.totals.from == "" || !b.counted:
			// Only what is admitted from now on counts, as the bucket starts empty.
			b.fleetLevel = max(min(b.fleetLevel, b.level), 0)
		default:
			// What was admitted since the last totals is not known: as much as before, which
			// the level has followed, and what this VM has admitted at least.
			b.fleetLevel = max(b.fleetLevel-max(own-b.reported-b.assumed, 0), -b.burst)
		}
		if level, ok := total.Levels[name]; ok && !follows {
			b.fleetLevel = min(b.fleetLevel, float64(level))
		}
		b.total, b.reported, b.counted, b.assumed = n, own, true, 0
		s.updateScarce(name, b, now)
	}
	s.totals = totals{from: relay, born: total.Born, at: sent, vms: total.VMs, spent: total.Spent}
}

// isPlausible reports whether an amount may have been admitted under the customer's limit within
// plausibleTime. More than that is from before this VM's start, or from a time without the limit.
func (b *bucket) isPlausible(amount float64) bool {
	return amount <= b.burst+b.rate*plausibleTime.Seconds()
}

// Levels returns the levels of the buckets with the given total of the fleet, which is that of
// this VM as a relay. It returns nil if it does not get totals or is no relay.
func (s *State) Levels(self string, total tally.Report, now time.Time) map[string]int64 {
	if !s.knowsTotals(now) || s.totals.from != self || s.totals.born != total.Born {
		return nil
	}
	out := map[string]int64{}
	for name, b := range s.buckets {
		if b.counted {
			s.refill(name, b, now)
			out[name] = int64(math.Round(b.fleetLevel - float64(total.Spent[name]-b.total) + b.assumed))
		}
	}
	return out
}

// refillByTotals adds the rate for a time to the level by totals, less what is assumed to
// be admitted meanwhile.
func (s *State) refillByTotals(name string, b *bucket, dt float64) {
	known := s.knownShare()
	b.assumed += b.growth * dt
	b.fleetLevel += (b.rate*known - b.growth) * dt
	most := b.burst*known + s.spent[name] - b.reported
	if known == 1 {
		b.withheld, b.withheldLevel = 0, 0
	} else {
		b.withheld += b.rate * (1 - known) * dt
		b.withheldLevel = min(b.withheldLevel+max(b.fleetLevel-most, 0), b.burst*(1-known))
	}
	b.fleetLevel = min(b.fleetLevel, most)
}

// returned returns which part of the VMs whose amounts were not in the totals has returned
// with a total of the given number of VMs.
func (s *State) returned(vms int) float64 {
	missing := s.vmCount() - s.totals.vms
	if s.totals.from == "" || vms <= s.totals.vms || missing <= 0 {
		return 0
	}
	return min(float64(vms-s.totals.vms)/float64(missing), 1)
}

// returnWithheld returns how much of an amount that the totals have grown by is covered by what
// was withheld for VMs of which a part has returned. They had their share of the limit while
// their amounts were not in the totals, which contain them now.
func (b *bucket) returnWithheld(returned, amount float64) float64 {
	part := (b.withheld + b.withheldLevel) * returned
	b.withheld -= b.withheld * returned
	b.withheldLevel -= b.withheldLevel * returned
	return max(min(part, amount-b.assumed), 0)
}

// grow takes note of the growth of the totals within a time.
func (b *bucket) grow(amount float64, within time.Duration) {
	if within <= 0 {
		return
	}
	dt := within.Seconds()
	b.growth += weightOf(dt, tally.Period) * (amount/dt - b.growth)
}

// knowsTotals reports whether the totals of the fleet are recent.
func (s *State) knowsTotals(now time.Time) bool {
	return s.totals.from != "" && now.Sub(s.totals.at) <= freshTotalsTime
}

// knownShare returns the share of the rates for the VMs whose amounts are in the totals. The
// others, which may be cut off, have theirs.
func (s *State) knownShare() float64 {
	known := float64(s.totals.vms) / float64(s.vmCount())
	if known >= knownFraction || s.totals.from == "" {
		return 1
	}
	return known
}

// levelByTotals returns the level of the fleet's bucket by the totals and by what this VM
// has admitted since its last report.
func (s *State) levelByTotals(name string, b *bucket) float64 {
	return b.fleetLevel - (s.spent[name] - b.reported)
}

// updateScarce notes whether the bucket is nearly empty by the totals. The share of the
// rate accrues from then on. Totals are so late that all VMs would see the level rise above a
// threshold, and admit all that they are asked for until they learn of it. So a bucket that was
// nearly empty counts as such until it is nearly full and the customer was not refused for a while.
func (s *State) updateScarce(name string, b *bucket, now time.Time) {
	level := s.levelByTotals(name, b)
	switch {
	case !b.scarce && level < scarceFraction*b.burst:
		b.scarce, b.lastByShare, b.accrued, b.lastRefused = true, now, 0, now
	case b.scarce && level >= plentyFraction*b.burst*s.knownShare() && now.Sub(b.lastRefused) >= recoveryTime:
		b.scarce = false
	}
}

// shareFactor returns the factor of this VM's share of the rate while the bucket counts as nearly
// empty: 1 where it is, and up to maxShareFactor where it is full.
func (b *bucket) shareFactor(level float64) float64 {
	above := (level/b.burst - scarceFraction) / (1 - scarceFraction)
	return 1 + (maxShareFactor-1)*min(max(above, 0), 1)
}

// exceedsPart reports whether this VM has admitted, since its last report that is in the totals,
// more than its part of the bucket and two requests of the given cost. Then it does not know
// what the others have admitted of the bucket in the same time.
func (s *State) exceedsPart(name string, b *bucket, cost, level float64) bool {
	return s.spent[name]-b.reported > allowanceFactor*level/float64(s.vmCount())+2*cost
}

// admitByTotals decides by the totals: freely while the bucket is not nearly empty, and by
// this VM's share then, since all VMs would use what is left at once. So it does where the VM
// has admitted much since its last report.
func (s *State) admitByTotals(name string, b *bucket, cost, need float64, now time.Time) Decision {
	s.updateScarce(name, b, now)
	level := s.levelByTotals(name, b)
	switch {
	case level < need:
		// No share accrues meanwhile. It is worth about one request at each VM, and all VMs
		// would use it at once when the level is above 0 again.
		b.lastByShare, b.accrued, b.lastRefused = now, 0, now
		after := time.Duration((need - level) / b.rate * float64(time.Second))
		return s.refuse(name, cost, min(max(after, minRetryAfter), maxRetryAfter), level)
	case (b.scarce || s.exceedsPart(name, b, cost, level)) && !s.takeShare(b, cost, b.shareFactor(level), now):
		b.lastRefused = now
		return s.refuse(name, cost, s.shareWait(b, cost), level)
	}
	return s.admit(name, b, cost, level)
}
