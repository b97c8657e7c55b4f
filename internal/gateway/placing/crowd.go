package placing

import (
	"math"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
)

// The load that this file answers: fleets so large that what VMs tell each other
// of their loads is older than the queues that it describes. VMs that balance by
// it all turn to the same engines and away from them again. There each family has
// its engine by rank alone, and only what a VM meets itself moves it.

const (
	// crowdSize is the number of VMs from which on loads of others are not used.
	crowdSize = roster.SmallFleetSize
	// mostNewer is the part of the engines that must have newer weights before what
	// need not stay at its home leaves the others.
	mostNewer = 0.5
	// avoidFailing is how far above the average the failure rate of an avoided engine
	// is.
	avoidFailing = 0.25
	// crowdFailures is the number of other VMs that must have met failures at a target
	// before they count; each of them sends little there.
	crowdFailures = 3
	// inTime is the part of the aim within which first tokens should come, and
	// pressMore and pressLess are what one more or less changes the pressure by.
	inTime    = 0.8
	pressMore = 0.02
	pressLess = 0.01
	// mostPressure leaves some requests that tell whether it can be lowered.
	mostPressure = 0.9
	// heatHalf is the time after which a send counts half in a family's heat.
	heatHalf = 2 * time.Second
	// hotSends is the heat from which on a family may get copies; below, chance
	// decides.
	hotSends = 3.0
	// copyLoad is the part of an engine's time that one family may take.
	copyLoad = 0.4
)

// crowded tells whether what other VMs tell of their loads is too old to use.
func (p *Placer) crowded() bool { return len(p.others) >= crowdSize }

// place returns where a family stands among all families, from 0 to 1, alike on
// every VM. Different salts give independent places.
func place(family, salt uint64) float64 {
	return float64(versioned(family, int64(salt))>>11) / (1 << 53)
}

// narrow returns the candidates that this VM has no reason to avoid. A family's home
// is the first of them by rank, whatever its weights: it goes on there with the old
// ones, moves while the engine loads, and comes back to it. So engines with newer
// weights are not given the load of all others before these follow, and VMs that
// learn of them at different times agree.
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

// homes returns the candidates that count, the first home of the request's family
// and the home that takes this request; the homes are nil without shared parts.
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

// newest returns the part of the candidates that have the newest weights.
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

// yields tells whether one more request has to wait behind others, since queues
// that this VM knows nothing of keep too many from being in time.
func (p *Placer) yields() bool {
	if p.pressure == 0 || !p.crowded() {
		return false
	}
	p.turn++
	return place(uint64(p.turn), 3) < p.pressure
}

// press takes in how long the first token took of a request that did not wait
// behind others, or how long it was waited for in vain.
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

// A heat is how often this VM has sent prompts of a family lately.
type heat struct {
	sends float64
	at    time.Time
}

// warm notes a send of a family and returns how many engines its load needs, as
// far as this VM's part of the callers tells.
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

// cool forgets families that were not sent lately.
func (p *Placer) cool(now time.Time) {
	for family, h := range p.heats {
		if now.Sub(h.at) > 4*heatHalf {
			delete(p.heats, family)
		}
	}
}

// copyOf returns one of the first engines of a family by rank. Turn chooses among
// the copies.
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
