package route

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/target"
)

// A candidate is a target that may be used for a request, with its estimated
// cost. If prefill is set, cachedTokens assumes that this prefill has finished.
type candidate struct {
	state         *target.State
	stats         *targetStats
	cachedTokens  int
	missingTokens int
	requestsAhead int
	wait          time.Duration
	expectedTTFT  time.Duration
	cost          time.Duration
	prefill       *send
}

// recordMatches stores the cache matches of the current plan in the statistics
// of the matching engines.
func (p *Planner) recordMatches(matches []prefix.Match, _ []target.State) {
	for i := range matches {
		stats := p.statsFor(matches[i].Engine)
		stats.planID = p.planID
		stats.cachedPieces = matches[i].Pieces
		stats.inFlightPieces = matches[i].InFlight
		stats.confidence = matches[i].Confidence
	}
}

func (p *Planner) statsFor(name string) *targetStats {
	stats, ok := p.targets[name]
	if !ok {
		stats = &targetStats{slotTime: defaultSlotTime}
		p.targets[name] = stats
	}
	return stats
}

// findCandidates fills p.candidates with the targets that are usable and
// eligible for the request, and estimates the cost of each.
func (p *Planner) findCandidates(now time.Time, r Request, states []target.State, usable func(*target.State, time.Time) bool) {
	p.candidates = p.candidates[:0]
	prefill, depth := p.longestPrefill(r.Prompt)
	for i := range states {
		s := &states[i]
		stats := p.statsFor(s.Target.Name)
		if !usable(s, now) || !isEligible(r, s, stats) {
			continue
		}
		c := candidate{state: s, stats: stats, cachedTokens: stats.expectedCachedTokens(p.planID, r.Prompt)}
		if prefill != nil && prefill.target == s.Target.Name {
			if tokens := depth * r.Prompt.PieceTokens; tokens > c.cachedTokens {
				c.cachedTokens, c.prefill = tokens, prefill
			}
		}
		c.missingTokens = max(0, r.Prompt.Tokens-c.cachedTokens)
		c.wait, c.requestsAhead = estimateWait(now, s, stats)
		c.expectedTTFT = c.wait + prefillTime(s, c.missingTokens)
		if s.Target.DataCentre != p.opts.DataCentre {
			c.expectedTTFT += crossDataCentreDelay
		}
		p.candidates = append(p.candidates, c)
	}
	p.addRecomputeCost()
}

// addRecomputeCost sets the cost of each candidate: the expected time to first
// token plus the weighted time to recompute tokens that other candidates have
// cached. A token counts less the more candidates have it cached, since such a
// token is in demand and another copy is useful.
func (p *Planner) addRecomputeCost() {
	slices.SortStableFunc(p.candidates, func(a, b candidate) int { return b.cachedTokens - a.cachedTokens })
	recomputed := 0.0
	for i := range p.candidates {
		c := &p.candidates[i]
		if i > 0 {
			recomputed += float64(p.candidates[i-1].cachedTokens-c.cachedTokens) / float64(i)
		}
		c.cost = c.expectedTTFT + time.Duration(p.opts.RecomputeWeight*float64(prefillTime(c.state, int(recomputed))))
	}
}

// isEligible reports whether the target can serve the request, regardless of its
// load. A target that is not live gets one request at a time.
func isEligible(r Request, s *target.State, stats *targetStats) bool {
	if s.Target.Kind == config.TargetCache || s.Health != target.HealthLive && len(stats.sends) > 0 {
		return false
	}
	for _, name := range r.Excluded {
		if name == s.Target.Name {
			return false
		}
	}
	if r.Route.Kind != config.RouteModel {
		return true
	}
	return s.Serves(r.Route.Model, r.Route.Version, r.Prompt.Salt.Adapter)
}

// longestPrefill returns the unfinished send whose prefill covers the longest
// part of the prompt, and the number of pieces that it covers.
func (p *Planner) longestPrefill(prompt prefix.Prompt) (*send, int) {
	if len(p.prefills) == 0 {
		return nil, 0
	}
	for depth := len(prompt.Keys); depth > 0; depth-- {
		if s, ok := p.prefills[prompt.Keys[depth-1]]; ok {
			return s, depth
		}
	}
	return nil, 0
}

// filterByDeadline keeps the candidates that are expected to return the first
// token before the deadline. If there are none, it keeps those that are expected
// to start the request before the deadline. It returns the shortest wait, and
// reports whether any candidate is left.
func (p *Planner) filterByDeadline(now, deadline time.Time) (time.Duration, bool) {
	if deadline.IsZero() {
		return 0, true
	}
	remaining := deadline.Sub(now)
	late := func(c candidate) bool { return c.expectedTTFT > remaining }
	if !slices.ContainsFunc(p.candidates, func(c candidate) bool { return !late(c) }) {
		late = func(c candidate) bool { return c.wait > remaining }
	}
	shortest := slices.MinFunc(p.candidates, func(a, b candidate) int { return cmp.Compare(a.wait, b.wait) }).wait
	p.candidates = slices.DeleteFunc(p.candidates, late)
	return shortest, len(p.candidates) > 0
}

// best returns the candidate with the lowest cost. A probing target gets the
// first idempotent request. Among candidates of about equal cost, a hash of the
// prompt decides, so that VMs choose the same target although they do not exchange
// all of their sends.
func (p *Planner) best(r Request) *candidate {
	var best *candidate
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.state.Health == target.HealthProbing && r.Route.Idempotent {
			return c
		}
		if best == nil || c.cost < best.cost {
			best = c
		}
	}
	if best == nil || best.prefill != nil {
		return best
	}
	return p.breakTie(r.Prompt, best)
}

// breakTie returns one of the candidates whose cost is about equal to that of
// best: the one with the highest rendezvous hash for the first uncached piece,
// or the least loaded one if the prompt has no pieces.
func (p *Planner) breakTie(prompt prefix.Prompt, best *candidate) *candidate {
	if len(prompt.Keys) == 0 {
		return p.leastLoaded(best)
	}
	piece := best.cachedTokens / prompt.PieceTokens
	if piece >= len(prompt.Keys) {
		return best
	}
	limit := best.tieLimit()
	var highest uint64
	for i := range p.candidates {
		c := &p.candidates[i]
		if c.cost > limit {
			continue
		}
		if hash := rendezvousHash(c.state.Target.Name, prompt.Keys[piece]); hash >= highest {
			best, highest = c, hash
		}
	}
	return best
}

// tieLimit returns the cost up to which another candidate counts as equal to c.
func (c *candidate) tieLimit() time.Duration {
	return c.cost + tieFloor + time.Duration(tieRatio*float64(prefillTime(c.state, c.missingTokens)))
}

// leastLoaded returns the candidate with the fewest requests per slot among
// those whose cost is about equal to that of best. Equally loaded candidates are
// chosen in turn.
func (p *Planner) leastLoaded(best *candidate) *candidate {
	limit := best.tieLimit()
	least := best.occupancy()
	for i := range p.candidates {
		c := &p.candidates[(i+int(p.lastID%uint64(len(p.candidates))))%len(p.candidates)]
		if o := c.occupancy(); c.cost <= limit && (i == 0 || o < least) {
			best, least = c, o
		}
	}
	return best
}

// occupancy returns the number of requests per slot of the target.
func (c *candidate) occupancy() float64 {
	return float64(c.requestsAhead) / float64(max(1, c.state.Target.Slots))
}

// rendezvousHash returns the rendezvous hash of a target name and a piece.
func rendezvousHash(name string, k prefix.Key) uint64 {
	h := xxhash.Sum64String(name) ^ uint64(k)
	h *= 0x9e3779b97f4a7c15
	h ^= h >> 32
	return h * 0xd6e8feb86659fd93
}
