package placing

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

// A candidate is a target that may receive a request, with the figures that its
// cost is computed from.
type candidate struct {
	target  *site.Target
	state   *targetState
	version int64
	// superseded reports whether a newer version of the weights exists; it was
	// first announced at supersededAt.
	superseded   bool
	supersededAt time.Time
	// tolerated reports whether the superseded weights add no cost yet.
	tolerated bool
	rank      uint64
	home      bool
	running   int
	prefill   int
	late      int
	// stalePrefill is the prefill that other VMs of a large fleet last reported
	// for the target. It is too old to compare targets by.
	stalePrefill int
	failureRate  float64
	// unreachableVMs is the number of other VMs that cannot connect to the
	// target.
	unreachableVMs int
	missingTokens  int
	// heldSegments is the number of leading shared segments that the candidate
	// has cached, heldTokens their token count, and source the address to fetch
	// further segments from.
	heldSegments int
	heldTokens   int
	// assumed reports whether the cached segments are assumed rather than
	// reported by the engine's feed.
	assumed bool
	source  string
	cost    float64
	// ttft is the expected time to first token, and rawTTFT the same without the
	// target's slowdown factor.
	ttft, rawTTFT time.Duration
}

// candidates returns the targets of the service that may run the request.
func (p *Placer) candidates(v *source.View, r Request, now time.Time) []candidate {
	out := make([]candidate, 0, 16)
	for _, t := range v.Targets {
		if t.Service != r.Service {
			continue
		}
		if c, excluded := p.candidate(v, t, &r, now); excluded == "" {
			out = append(out, c)
		}
	}
	return out
}

// candidate returns a target of the service as a candidate, or why it may not run the
// request.
func (p *Placer) candidate(v *source.View, t *site.Target, r *Request, now time.Time) (c candidate, excluded string) {
	target := t.Incarnation()
	switch {
	case t.Leaving, p.leaving(target):
		return c, "is leaving"
	case r.Pinned && t.Version != r.Version:
		return c, "has another version than the target that began the stream"
	case !r.Pinned && contains(r.Avoided, t.Version):
		return c, "has a version that other VMs may not know yet"
	case !r.Hedge && contains(r.Tried, t.ID):
		return c, "was tried"
	case p.wait(target, now) > 0:
		return c, "has asked for a pause or is at its limit"
	}
	state := p.state(t, now)
	c = candidate{target: t, state: state, running: state.running, prefill: state.prefill, late: state.late, failureRate: state.decayedFailureRate(now)}
	if r.Model != "" {
		c.version = state.version(t, r.Model)
		c.supersededAt, c.superseded = v.Weights.SupersededAt(r.Model, c.version)
	}
	p.addPeerLoads(&c, now)
	wait := time.Duration(queueWaitFactor * float64(c.prefill+c.stalePrefill) / prefillTokensPerMS * float64(time.Millisecond))
	if c.superseded && now.Sub(c.supersededAt)+wait > p.maxWeightsAge {
		return c, "would run the request with weights that are too old"
	}
	if full := r.fullPrefix(); full.Tokens > 0 {
		c.rank = rank(full.Hash, t)
	}
	return c, ""
}

func contains(ids []string, id string) bool {
	for _, have := range ids {
		if have == id {
			return true
		}
	}
	return false
}

// addPeerLoads adds the load that other VMs reported for the target.
func (p *Placer) addPeerLoads(c *candidate, now time.Time) {
	total, ok := p.loadTotals(now)[c.target.ID]
	if !ok {
		return
	}
	if p.largeFleet() {
		c.stalePrefill = total.prefill
	} else {
		c.running += total.running
		c.prefill += total.prefill
		c.late += total.late
	}
	if now.Sub(c.state.lastResponse) > recentResponse {
		c.unreachableVMs = total.unreachable
	}
	if total.failureReports > 0 && (!p.largeFleet() || total.failureReports >= minFailureReports) {
		c.failureRate = max(c.failureRate, total.failureRates/float64(total.failureReports))
	}
}

// A peerTotal is the total load that all other VMs reported for one target.
type peerTotal struct {
	running, prefill, late, unreachable, failureReports int
	failureRates                                        float64
}

// peerTotalsTTL is how long the totals are reused before they are recomputed.
const peerTotalsTTL = 50 * time.Millisecond

// loadTotals returns the total load that all other VMs reported, by target.
func (p *Placer) loadTotals(now time.Time) map[string]peerTotal {
	if age := now.Sub(p.totalledAt); p.peerTotals != nil && !p.totalsDirty && age >= 0 && age < peerTotalsTTL {
		return p.peerTotals
	}
	p.totalledAt, p.totalsDirty = now, false
	p.peerTotals = make(map[string]peerTotal, len(p.peerTotals))
	for vm, peer := range p.peers {
		if now.Sub(peer.received) > stateRetention {
			delete(p.peers, vm)
		}
		if now.Sub(peer.received) > peerLoadTTL {
			continue
		}
		for id, l := range peer.loads {
			total := p.peerTotals[id]
			total.running += l.Running
			total.prefill += l.Prefill
			total.late += l.Late
			if l.Unreachable {
				total.unreachable++
			}
			if l.Failing > 0 {
				total.failureReports++
				total.failureRates += float64(l.Failing) / 100
			}
			p.peerTotals[id] = total
		}
	}
	return p.peerTotals
}

// rank returns the rendezvous hash of a target for a prefix. All VMs compute the
// same value.
func rank(prefix uint64, t *site.Target) uint64 {
	h := xxhash.Sum64String(t.ID) ^ prefix
	h ^= h >> 33
	h *= 0xff51afd7ed558ccd
	h ^= h >> 33
	h *= 0xc4ceb9fe1a85ec53
	return h ^ h>>33
}

// homeOf returns the home engine of the request's prefix: the highest-ranked
// engine among those with the newest weights.
func homeOf(candidates []candidate) *candidate {
	var home *candidate
	for i := range candidates {
		c := &candidates[i]
		if c.rank != 0 && (home == nil || c.preferredTo(home)) {
			home = c
		}
	}
	return home
}

func (c *candidate) preferredTo(o *candidate) bool {
	if c.version != o.version {
		return c.version > o.version
	}
	return c.rank > o.rank
}

func averageFailureRate(candidates []candidate) float64 {
	total := 0.0
	for i := range candidates {
		total += candidates[i].failureRate
	}
	return total / float64(len(candidates))
}

// score sets the candidate's cost.
func (c *candidate) score(p *Placer, r Request, average float64, now time.Time) {
	if r.Model == "" {
		c.cost = queuedCost * float64(max(0, c.running+1-c.target.Slots)) / float64(max(c.target.Slots, 1))
		c.cost += float64(c.running) / float64(max(c.target.Slots, 1))
	} else {
		c.cost = (float64(c.prefill)+float64(c.missingTokens))/prefillTokensPerMS + stepCostPerRequest*float64(c.running)
		if c.source != "" {
			c.cost += fetchCost
		}
		c.rawTTFT = time.Duration((c.cost + float64(c.stalePrefill)/prefillTokensPerMS) * float64(time.Millisecond))
		c.ttft = time.Duration(c.state.slowdown * float64(c.rawTTFT))
		sharedTokens := r.fullPrefix().Tokens
		switch {
		case c.home:
		case r.hot:
			c.cost += duplicateCost
		case c.heldTokens < sharedTokens:
			c.cost += duplicateCost * min(1, float64(sharedTokens-c.heldTokens)/2000)
		}
		if c.superseded && !c.tolerated && now.Sub(c.supersededAt) > supersededGrace {
			c.cost += supersededCost
		}
	}
	if c.target.DataCentre != p.dataCentre {
		c.cost += crossDataCentreCost
	}
	c.cost += failureCost * max(0, c.failureRate-average)
	if now.Before(c.state.avoidUntil) {
		c.cost += unresponsiveCost
	}
	c.cost += unreachableCost * float64(c.unreachableVMs)
	if p.busy[c.target.ID] {
		c.cost += busyCost
	}
}
