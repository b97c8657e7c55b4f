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
}

const (
	// freshTotalsTime is how old the totals may be for requests to be admitted by them.
	freshTotalsTime = 5 * tally.Period
	// knownFraction is the fraction of the VMs whose amounts are in the totals from which on
	// the rest does not count. It may be starting or lost.
	knownFraction = 0.9
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
	passed := sent.Sub(s.totals.at)
	for name, b := range s.buckets {
		s.refill(name, b, now)
		n, own := total.Spent[name], float64(reported.Spent[name])
		switch {
		case known && b.counted:
			b.fleetLevel -= float64(n-b.total) - b.assumed
			b.grow(float64(n-b.total), passed)
		case s.totals.from == "" || !b.counted:
			// Only what is admitted from now on counts, as the bucket starts empty.
			b.fleetLevel = max(min(b.fleetLevel, b.level), 0)
		default:
			// What was admitted since the last totals is not known: as much as before, which
			// the level has followed, and what this VM has admitted at least.
			b.fleetLevel = max(b.fleetLevel-max(own-b.reported-b.assumed, 0), -b.burst)
		}
		b.total, b.reported, b.counted, b.assumed = n, own, true, 0
		s.updateScarce(name, b, now)
	}
	s.totals = totals{from: relay, born: total.Born, at: sent, vms: total.VMs}
}

// refillByTotals adds the rate for a time to the level by totals, less what is assumed to
// be admitted meanwhile.
func (s *State) refillByTotals(name string, b *bucket, dt float64) {
	b.assumed += b.growth * dt
	b.fleetLevel += (b.rate*s.knownShare() - b.growth) * dt
	b.fleetLevel = min(b.fleetLevel, b.burst*s.knownShare()+s.spent[name]-b.reported)
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
// rate accrues from then on.
func (s *State) updateScarce(name string, b *bucket, now time.Time) {
	scarce := s.levelByTotals(name, b) < scarceFraction*b.burst
	if scarce && !b.scarce {
		b.lastByShare = now
	}
	b.scarce = scarce
}

// admitByTotals decides by the totals: freely while the bucket is not nearly empty, and by
// this VM's share then, since all VMs would use what is left at once.
func (s *State) admitByTotals(name string, b *bucket, cost, need float64, now time.Time) Decision {
	s.updateScarce(name, b, now)
	level := s.levelByTotals(name, b)
	switch {
	case level < need:
		after := time.Duration((need - level) / b.rate * float64(time.Second))
		return s.refuse(name, cost, min(max(after, minRetryAfter), maxRetryAfter), level)
	case b.scarce && !s.takeShare(b, cost, now):
		return s.refuse(name, cost, s.shareWait(b, cost), level)
	}
	return s.admit(name, b, cost, level)
}
