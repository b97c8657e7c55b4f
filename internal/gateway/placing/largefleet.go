package placing

import (
	"math"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
)

// In a large fleet, load reports between VMs are older than the queues that they
// describe. VMs that balance load by them all turn to the same engines at the
// same time and then leave them together. Large fleets therefore place each
// prefix by its rank alone, and a VM deviates from that only on its own
// observations.

const (
	// largeFleetSize is the number of other VMs from which their load reports
	// are not used.
	crowdSize = roster.SmallFleetSize
	// minUpdatedShare is the share of engines that must have the newest weights
	// before superseded weights add to the cost of the others.
	mostNewer = 0.5
	// maxExcessFailureRate is how far the failure rate of an engine may exceed
	// the average before the engine is avoided.
	avoidFailing = 0.25
	// minFailureReports is the number of other VMs that must report failures of
	// a target before the reports count, because each VM sends only a few
	// requests there.
	crowdFailures = 3
	// goalFraction is the part of the latency goal within which first tokens
	// should arrive. The deferred share changes by deferIncrease after a slower
	// one and by deferDecrease after a faster one.
	inTime    = 0.8
	pressMore = 0.02
	pressLess = 0.01
	// maxDeferredShare leaves some requests undeferred, whose latency shows
	// whether the share can be lowered.
	mostPressure = 0.9
	// sendRateHalfLife is the time after which a send counts half in a prefix's
	// send rate.
	heatHalf = 2 * time.Second
	// hotThreshold is the number of recent sends from which a prefix may be
	// replicated; below it the number depends on chance.
	hotSends = 3.0
	// maxPrefixLoad is the share of an engine's time that one prefix may take.
	copyLoad = 0.4
)

// largeFleet reports whether the fleet is so large that load reports of other VMs
// are too old to use.
func (p *Placer) crowded() bool { return len(p.others) >= crowdSize }

// hashFraction maps a prefix to a number in [0, 1) that is the same on every VM.
// Different salts give independent numbers.
func place(family, salt uint64) float64 {
	return float64(versioned(family, int64(salt))>>11) / (1 << 53)
}

// eligible returns the candidates that this VM has no reason to avoid. The home
// engine of a prefix is the highest-ranked of them regardless of its weights
// version: requests stay there on superseded weights, move away while the engine
// loads new ones and return afterwards. Engines that are updated early therefore
// don't receive the load of all others, and VMs that learn of new weights at
// different times choose the same engine.
func (p *Placer) narrow(all []candidate, now time.Time) []candidate {
	average := averageFailing(all)
	sound := make([]candidate, 0, len(all))
	for _, c := range all {
		avoided := p.busy[c.target.ID] || now.Before(c.record.until) || c.dark > 0 || c.failing > average+avoidFailing
		if !avoided {
			sound = append(sound, c)
		}
	}
	if len(sound) == 0 {
		return all
	}
	if newest(sound) < mostNewer {
		for i := range sound {
			sound[i].spared = true
		}
	}
	return sound
}

// selectHome returns the eligible candidates, the home engine of the request's
// prefix, and the replica of it that takes this request. Both engines are nil if
// the request has no shared segments.
func (p *Placer) homes(all []candidate, r *Request, now time.Time) (candidates []candidate, first, home *candidate) {
	if !p.crowded() || len(r.Chain) == 0 {
		first = homeOf(all)
		return all, first, first
	}
	candidates = p.narrow(all, now)
	first = copyOf(candidates, 1, 0)
	home = first
	if copies := p.warm(r, now); copies > 1 {
		p.turn++
		r.hot = true
		home = copyOf(candidates, copies, p.turn)
	}
	return candidates, first, home
}

// newestShare returns the share of the candidates that have the newest weights
// among them.
func newest(candidates []candidate) float64 {
	version, n := int64(math.MinInt64), 0
	for i := range candidates {
		switch v := candidates[i].version; {
		case v > version:
			version, n = v, 1
		case v == version:
			n++
		}
	}
	return float64(n) / float64(len(candidates))
}

// shouldDefer reports whether one more request is placed behind others because
// queues that this VM cannot see keep too many requests from meeting their goal.
func (p *Placer) yields() bool {
	if p.pressure == 0 || !p.crowded() {
		return false
	}
	p.turn++
	return place(uint64(p.turn), 3) < p.pressure
}

// adjustDeferred updates the deferred share with the time to first token of a
// request that was not deferred, or with the time that such a request waited in
// vain.
func (p *Placer) press(c Choice, took time.Duration) {
	if c.Late || c.aim <= 0 {
		return
	}
	if float64(took) > inTime*float64(c.aim) {
		p.pressure = min(mostPressure, p.pressure+pressMore)
	} else {
		p.pressure = max(0, p.pressure-pressLess)
	}
}

// A sendRate is a decaying count of the recent sends of a prefix.
type heat struct {
	sends float64
	at    time.Time
}

// replicasFor records a send of a prefix and returns the number of engines that
// its load needs, estimated from this VM's share of the traffic.
func (p *Placer) warm(r *Request, now time.Time) int {
	family := r.family().Family
	h := p.heats[family]
	h.sends = 1 + h.sends*math.Exp2(-now.Sub(h.at).Seconds()/heatHalf.Seconds())
	h.at = now
	p.heats[family] = h
	if h.sends < hotSends {
		return 1
	}
	perSecond := h.sends * math.Ln2 / heatHalf.Seconds() * float64(len(p.others)+1)
	own := float64(r.Tokens-r.family().Tokens) / prefillRate / 1000
	return max(1, int(math.Ceil(perSecond*own/copyLoad)))
}

// pruneSendRates removes prefixes that have not been sent recently.
func (p *Placer) cool(now time.Time) {
	for family, h := range p.heats {
		if now.Sub(h.at) > 4*heatHalf {
			delete(p.heats, family)
		}
	}
}

// replica returns one of the highest-ranked engines of a prefix. Turn selects
// among the replicas.
func copyOf(candidates []candidate, copies, turn int) *candidate {
	copies = min(copies, len(candidates))
	wanted := turn % max(copies, 1)
	var chosen *candidate
	for range wanted + 1 {
		var best *candidate
		for i := range candidates {
			c := &candidates[i]
			if c.rank != 0 && (chosen == nil || c.rank < chosen.rank) && (best == nil || c.rank > best.rank) {
				best = c
			}
		}
		if best == nil {
			break
		}
		chosen = best
	}
	return chosen
}
