package placing

import (
	"math"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

// maxModels bounds the models whose weights are remembered for a target. Callers name models
// at will.
const maxModels = 256

// state returns the state of a target. A restarted target gets a new one.
func (p *Placer) state(t *site.Target, now time.Time) *targetState {
	s, ok := p.states[t.ID]
	if !ok || s.born != t.Born {
		s = &targetState{born: t.Born, weights: map[string]int64{}, slowdown: 1, failureRateAt: now, weightsChanged: now}
		p.states[t.ID] = s
	}
	s.lastUsed = now
	return s
}

// version returns the newest version of the weights that a target is known to
// have.
func (s *targetState) version(t *site.Target, model string) int64 {
	return max(s.weights[model], t.Weights[model])
}

// decayedFailureRate returns the failure rate as of now.
func (s *targetState) decayedFailureRate(now time.Time) float64 {
	return s.failureRate * math.Exp2(-now.Sub(s.failureRateAt).Seconds()/failureHalfLife.Seconds())
}

func (s *targetState) recordOutcome(failed bool, now time.Time) {
	rate := s.decayedFailureRate(now) * (1 - failureWeight)
	if failed {
		rate += failureWeight
	}
	s.failureRate, s.failureRateAt = rate, now
}

// Begin records that a request with the given prefixes is sent to the chosen
// target.
func (p *Placer) Begin(c Choice, prefixes []Prefix, now time.Time) {
	if p.gate != nil {
		p.gate.Begin(c.Target)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders.recordSent(c, prefixes, now)
	p.limits.Spend(c.Target.Incarnation(), now)
	s := p.state(c.Target, now)
	s.running++
	s.addPending(c, c.MissingTokens)
}

// addPending adds to the prompt tokens that have not been read.
func (s *targetState) addPending(c Choice, tokens int) {
	if c.Late {
		s.late = max(0, s.late+tokens)
	} else {
		s.prefill = max(0, s.prefill+tokens)
	}
}

// updateSlowdown updates the slowdown factor with an observed time to first
// token.
func (s *targetState) updateSlowdown(c Choice, took time.Duration) {
	if c.Late || c.rawTTFT < minSlowdownSample {
		return
	}
	ratio := float64(took) / float64(c.rawTTFT)
	s.slowdown += slowdownWeight * (min(max(ratio, minSlowdown), maxSlowdown) - s.slowdown)
}

// FirstToken records that a request's prompt has been read, and how long that
// took after it was sent.
func (p *Placer) FirstToken(c Choice, took time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.adjustDeferred(c, took)
	if s, ok := p.states[c.Target.ID]; ok && s.born == c.Target.Born {
		s.lastResponse = now
		s.addPending(c, -c.MissingTokens)
		s.updateSlowdown(c, took)
	}
}

// An Outcome is the result of an attempt as an observation of its target.
type Outcome uint8

// Outcomes of attempts.
const (
	// Served means that a response was passed on.
	Served Outcome = iota
	// Failed means that the response was broken or reports a server error.
	Failed
	// Unreachable means that the target accepted no connection.
	Unreachable
	// Inconclusive means that the attempt ended for a reason that is unrelated
	// to the target's health.
	Inconclusive
	// Rejected means that the target is full or is loading weights.
	Rejected
)

// End records the outcome of an attempt. First reports whether FirstToken was
// called.
func (p *Placer) End(c Choice, outcome Outcome, first bool, now time.Time) {
	if p.gate != nil {
		p.gate.End(c.Target)
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[c.Target.ID]
	if !ok || s.born != c.Target.Born {
		return
	}
	s.running = max(0, s.running-1)
	if !first {
		s.addPending(c, -c.MissingTokens)
		if outcome == Inconclusive {
			p.adjustDeferred(c, c.goal)
		}
	}
	switch outcome {
	case Served:
		s.recordOutcome(false, now)
		s.lastResponse = now
		s.backoff, s.avoidUntil, s.unreachable = 0, time.Time{}, false
	case Failed:
		s.recordOutcome(true, now)
	case Rejected:
		if p.largeFleet() {
			// The target may accept requests again at once, and the few
			// attempts of one VM don't give a usable rejection rate.
			s.avoidUntil = now.Add(minBackoff)
			return
		}
		s.recordOutcome(true, now)
	case Unreachable:
		// The target is avoided until a probe reaches it.
		s.recordOutcome(true, now)
		s.unreachable = true
		s.avoidUntil = now.Add(unreachableTimeout)
	case Inconclusive:
	}
}

// RecordSilence records that a target has accepted a request and sends nothing. New
// requests avoid it for a while.
func (p *Placer) RecordSilence(c Choice, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[c.Target.ID]
	if !ok || s.born != c.Target.Born {
		return
	}
	s.recordOutcome(true, now)
	s.backoff = min(max(2*s.backoff, minBackoff), maxBackoff)
	s.avoidUntil = now.Add(s.backoff)
}

// MarkReachable records that a target accepts connections again.
func (p *Placer) MarkReachable(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.states[id]; ok {
		s.backoff, s.avoidUntil, s.unreachable = 0, time.Time{}, false
	}
}

// ObserveWeights records the weights that this VM has observed at a target. It
// reports whether they are newer than those known before.
func (p *Placer) ObserveWeights(t *site.Target, model string, version int64, now time.Time) bool {
	return p.updateWeights(t, model, version, now, true)
}

// updateWeights records weights that this VM or another one has observed.
func (p *Placer) updateWeights(t *site.Target, model string, version int64, now time.Time, firsthand bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version <= 0 || model == "" {
		return false
	}
	s := p.state(t, now)
	if version <= s.version(t, model) && s.weights[model] != 0 {
		return false
	}
	if _, ok := s.weights[model]; !ok && len(s.weights) >= maxModels {
		return false
	}
	newer := version > s.version(t, model)
	s.weights[model] = max(version, s.weights[model])
	if newer {
		s.weightsChanged, s.firsthand = now, firsthand
	}
	return newer
}

// RecordMismatch records that a target does not have the expected weights.
func (p *Placer) RecordMismatch(c Choice, model string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	s := p.state(c.Target, now)
	// The target is ahead of its entry or was restarted.
	if s.weights[model] == c.Weights {
		delete(s.weights, model)
	}
	s.avoidUntil = now.Add(minBackoff)
}

// ApplyUpdate records what another VM has in flight and which weights it has
// observed.
func (p *Placer) ApplyUpdate(e roster.Entry, v *source.View, now time.Time) {
	loads := make(map[string]roster.TargetLoad, len(e.Loads))
	for _, l := range e.Loads {
		loads[l.Target] = l
	}
	p.mu.Lock()
	p.peers[e.VM] = peerState{loads: loads, received: now}
	p.totalsDirty = true
	p.holders.merge(e.Reads, now)
	p.mu.Unlock()
	for _, l := range e.Loaded {
		if t, ok := v.Targets[l.Target]; ok && t.Born == l.Born {
			p.updateWeights(t, l.Model, l.Version, now, false)
		}
	}
}

// SetBusy replaces the set of targets that are about to carry out an order.
func (p *Placer) SetBusy(ids map[string]bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.busy = ids
}

// Loads returns the requests that this VM has in flight and the weights that it
// has observed, for other VMs. It removes the state of targets that are no longer
// listed.
func (p *Placer) Loads(now time.Time) ([]roster.TargetLoad, []roster.LoadedWeights) {
	p.mu.Lock()
	defer p.mu.Unlock()
	var loads []roster.TargetLoad
	var loaded []roster.LoadedWeights
	for id, s := range p.states {
		if now.Sub(s.lastUsed) > stateRetention {
			delete(p.states, id)
			continue
		}
		failing := int(100 * s.decayedFailureRate(now))
		if s.running > 0 || failing > 0 || s.unreachable {
			l := roster.TargetLoad{Target: id, Running: s.running, Prefill: s.prefill, Late: s.late, Failing: failing, Unreachable: s.unreachable}
			if age := now.Sub(s.lastResponse); age < peerLoadTTL {
				l.Answered = 1 + int(age.Milliseconds())
			}
			loads = append(loads, l)
		}
		for model, version := range s.weights {
			if s.firsthand && now.Sub(s.weightsChanged) < weightsReportTTL {
				loaded = append(loaded, roster.LoadedWeights{Target: id, Born: s.born, Model: model, Version: version})
			}
		}
	}
	return loads, loaded
}

// RecentlySent returns the engines that this VM has recently sent prefixes to,
// for other VMs. In a large fleet it returns only writes to the KV cache store.
func (p *Placer) RecentlySent(now time.Time) []roster.CachedPrefix {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders.prune(now)
	p.pruneSendRates(now)
	return p.holders.recentlySent(p.largeFleet(), now)
}

// stateRetention is how long the state of a target that is no longer listed, or
// of a VM that sends no updates, is kept.
const stateRetention = 30 * time.Second

// Version returns the newest version of the weights that a target is known to
// have.
func (p *Placer) Version(t *site.Target, model string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[t.ID]
	if !ok || s.born != t.Born {
		return t.Weights[model]
	}
	return s.version(t, model)
}

// Unreachable reports whether a target accepts no connections from this VM.
func (p *Placer) Unreachable(t *site.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	s, ok := p.states[t.ID]
	return ok && s.born == t.Born && s.unreachable
}

// RecordActivity records that a target is sending a response.
func (p *Placer) RecordActivity(c Choice, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.states[c.Target.ID]; ok && s.born == c.Target.Born {
		s.lastResponse = now
	}
}

// RespondedWithin reports whether a target has sent anything to any VM within a
// period.
func (p *Placer) RespondedWithin(c Choice, within time.Duration, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if s, ok := p.states[c.Target.ID]; ok && now.Sub(s.lastResponse) < within {
		return true
	}
	for _, peer := range p.peers {
		l, ok := peer.loads[c.Target.ID]
		if ok && l.Answered > 0 && now.Sub(peer.received)+time.Duration(l.Answered)*time.Millisecond < within {
			return true
		}
	}
	return false
}

// Running returns the number of requests that all VMs have in flight at a target.
func (p *Placer) Running(t *site.Target, now time.Time) int { return p.inFlight(t, now).running }

// inFlight returns what all VMs have in flight at a target.
func (p *Placer) inFlight(t *site.Target, now time.Time) candidate {
	p.mu.Lock()
	defer p.mu.Unlock()
	state := p.state(t, now)
	c := candidate{target: t, state: state, running: state.running, prefill: state.prefill, late: state.late}
	p.addPeerLoads(&c, now)
	return c
}

// Suspect reports whether a target may be unresponsive: some VM could not connect
// to it, this VM recently got no response from it, or it has work of this VM in
// flight and has sent nothing to any VM for suspectTimeout.
func (p *Placer) Suspect(t *site.Target, now time.Time) bool {
	c := p.inFlight(t, now)
	if c.unreachableVMs > 0 || now.Before(c.state.avoidUntil) {
		return true
	}
	return c.running > 0 && !p.RespondedWithin(Choice{Target: t}, suspectTimeout, now)
}
