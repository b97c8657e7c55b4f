package placing

import (
	"math"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
)

// In a large fleet, load reports between VMs are older than the queues that they
// describe. VMs that balance load by these reports all send to the same engines
// and later avoid them at the same time. Large fleets therefore place each prefix
// by its rank alone, and a VM deviates from that only on its own observations.

const (
	// largeFleetSize is the number of other VMs from which their load reports
	// are not used.
	largeFleetSize = roster.SmallFleetSize
	// minUpdatedShare is the share of engines that must have the newest weights
	// before superseded weights add to the cost of the others.
	minUpdatedShare = 0.5
	// maxExcessFailureRate is how far the failure rate of an engine may exceed
	// the average before the engine is avoided.
	maxExcessFailureRate = 0.25
	// minFailureReports is the number of other VMs that must report failures of
	// a target before the reports count, because each VM sends only a few
	// requests there.
	minFailureReports = 3
	// goalFraction is the part of the latency goal within which first tokens
	// should arrive. The deferred share changes by deferIncrease after a slower
	// one and by deferDecrease after a faster one.
	goalFraction  = 0.8
	deferIncrease = 0.02
	deferDecrease = 0.01
	// maxDeferredShare leaves some requests undeferred, whose latency shows
	// whether the share can be lowered.
	maxDeferredShare = 0.9
	// sendRateHalfLife is the time after which an attempt counts half in a
	// prefix's send rate.
	sendRateHalfLife = 2 * time.Second
	// hotThreshold is the number of recent attempts from which a prefix may be
	// replicated; below it the number depends on chance.
	hotThreshold = 3.0
	// maxPrefixLoad is the share of an engine's time that one prefix may take.
	maxPrefixLoad = 0.4
)

// largeFleet reports whether the fleet is so large that load reports of other VMs
// are too old to use.
func (p *Placer) largeFleet() bool { return len(p.peers) >= largeFleetSize }

// hashFraction maps a prefix to a number in [0, 1) that is the same on every VM.
// Different salts give independent numbers.
func hashFraction(prefix, salt uint64) float64 {
	return float64(versionedKey(prefix, int64(salt))>>11) / (1 << 53)
}

// eligible returns the candidates that this VM has no reason to avoid. The home
// engine of a prefix is the highest-ranked of them regardless of its weights
// version: requests stay there on superseded weights, move away while the engine
// loads new ones and return afterwards. Engines that are updated early therefore
// don't receive the load of all others, and VMs that learn of new weights at
// different times choose the same engine.
func (p *Placer) eligible(all []candidate, now time.Time) []candidate {
	average := averageFailureRate(all)
	healthy := make([]candidate, 0, len(all))
	for _, c := range all {
		avoided := p.busy[c.target.ID] || now.Before(c.state.avoidUntil) || c.unreachableVMs > 0 || c.failureRate > average+maxExcessFailureRate
		if !avoided {
			healthy = append(healthy, c)
		}
	}
	if len(healthy) == 0 {
		return all
	}
	if newestShare(healthy) < minUpdatedShare {
		for i := range healthy {
			healthy[i].tolerated = true
		}
	}
	return healthy
}

// selectHome returns the eligible candidates, the home engine of the request's
// prefix, and the replica of it that takes this request. Both engines are nil if
// the request has no shared segments.
func (p *Placer) selectHome(all []candidate, r *Request, now time.Time) (candidates []candidate, home, replica *candidate) {
	if !p.largeFleet() || len(r.Prefixes) == 0 {
		home = homeOf(all)
		return all, home, home
	}
	candidates = p.eligible(all, now)
	home = nthReplica(candidates, 1, 0)
	replica = home
	if r.Hedge {
		return candidates, home, replica
	}
	if replicas := p.replicasFor(r, now); replicas > 1 {
		p.turn++
		r.hot = true
		replica = nthReplica(candidates, replicas, p.turn)
	}
	return candidates, home, replica
}

// newestShare returns the share of the candidates that have the newest weights
// among them.
func newestShare(candidates []candidate) float64 {
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
// queues that are unknown to this VM keep too many requests from meeting their
// goal.
func (p *Placer) shouldDefer() bool {
	if p.deferredShare == 0 || !p.largeFleet() {
		return false
	}
	p.turn++
	return hashFraction(uint64(p.turn), 3) < p.deferredShare
}

// adjustDeferred updates the deferred share with the time to first token of a
// request that was not deferred, or with the time that such a request waited
// without receiving one.
func (p *Placer) adjustDeferred(c Choice, took time.Duration) {
	if c.Late || c.goal <= 0 {
		return
	}
	if float64(took) > goalFraction*float64(c.goal) {
		p.deferredShare = min(maxDeferredShare, p.deferredShare+deferIncrease)
	} else {
		p.deferredShare = max(0, p.deferredShare-deferDecrease)
	}
}

// A sendRate is a decaying count of the recent attempts with a prefix.
type sendRate struct {
	sends float64
	at    time.Time
}

// replicasFor records an attempt with a prefix and returns the number of engines
// that its load needs, estimated from this VM's share of the traffic.
func (p *Placer) replicasFor(r *Request, now time.Time) int {
	prefix := r.fullPrefix().Hash
	rate, ok := p.sendRates[prefix]
	if !ok && len(p.sendRates) >= maxPrefixes {
		return 1
	}
	rate.sends = 1 + rate.sends*math.Exp2(-now.Sub(rate.at).Seconds()/sendRateHalfLife.Seconds())
	rate.at = now
	p.sendRates[prefix] = rate
	if rate.sends < hotThreshold {
		return 1
	}
	perSecond := rate.sends * math.Ln2 / sendRateHalfLife.Seconds() * float64(len(p.peers)+1)
	prefillSeconds := float64(r.Tokens-r.fullPrefix().Tokens) / prefillTokensPerMS / 1000
	return max(1, int(math.Ceil(perSecond*prefillSeconds/maxPrefixLoad)))
}

// pruneSendRates removes prefixes that have not been sent recently.
func (p *Placer) pruneSendRates(now time.Time) {
	for prefix, rate := range p.sendRates {
		if now.Sub(rate.at) > 4*sendRateHalfLife {
			delete(p.sendRates, prefix)
		}
	}
}

// nthReplica returns one of the highest-ranked engines of a prefix. Turn selects
// among the replicas.
func nthReplica(candidates []candidate, replicas, turn int) *candidate {
	replicas = min(replicas, len(candidates))
	index := turn % max(replicas, 1)
	var chosen *candidate
	for range index + 1 {
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
