package placing

import (
	"slices"
	"time"
)

const (
	// maxExtraTokens is how many shared tokens the second target of a request may have to
	// read. More would rarely be quicker than to go on waiting: 256 take some 5 ms.
	maxExtraTokens = 256
	// maxSecondSlowdown is how much slower than the middle one a second target may be.
	maxSecondSlowdown = 1.5
)

// secondTargets returns the candidates to which a request may be sent while its first target
// is slow. The targets in r.Tried are among the candidates: without them another engine would
// count as the home engine of the prefix, and as one that holds it.
func (p *Placer) secondTargets(candidates []candidate, r *Request, average float64, now time.Time) []candidate {
	slowdowns := make([]float64, 0, len(candidates))
	for i := range candidates {
		slowdowns = append(slowdowns, candidates[i].state.slowdown)
	}
	slices.Sort(slowdowns)
	usual := slowdowns[(len(slowdowns)-1)/2]
	out := make([]candidate, 0, len(candidates))
	for _, c := range candidates {
		switch {
		case contains(r.Tried, c.target.ID):
		case r.fullPrefix().Tokens-c.heldTokens > maxExtraTokens:
		case c.state.slowdown > maxSecondSlowdown*usual:
		case c.target.Slots > 0 && c.running >= c.target.Slots:
		case p.busy[c.target.ID], now.Before(c.state.avoidUntil), c.unreachableVMs > 0, c.failureRate > average+maxExcessFailureRate:
		default:
			out = append(out, c)
		}
	}
	return out
}

// RecordOvertaken records that a target had not sent its first token after a time, when
// another target had answered in its place. It teaches how slow the target is, as no later
// observation can.
func (p *Placer) RecordOvertaken(c Choice, waited time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[c.Target.ID]
	if ok && s.born == c.Target.Born && float64(waited) > s.slowdown*float64(c.rawTTFT) {
		s.updateSlowdown(c, waited)
	}
}
