package placing

import (
	"math"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

// state returns the state of a target. A restarted target gets a new one.
func (p *Placer) record(t *site.Target, now time.Time) *record {
	r, ok := p.records[t.ID]
	if !ok || r.born != t.Born {
		r = &record{born: t.Born, weights: map[string]int64{}, pace: 1, noted: now, changed: now}
		p.records[t.ID] = r
	}
	r.seen = now
	return r
}

// version returns the newest version of the weights that a target is known to
// have.
func (r *record) version(t *site.Target, model string) int64 {
	return max(r.weights[model], t.Weights[model])
}

// rate returns the failure rate as of now.
func (r *record) rate(now time.Time) float64 {
	return r.failing * math.Exp2(-now.Sub(r.noted).Seconds()/failHalf.Seconds())
}

func (r *record) note(failed bool, now time.Time) {
	rate := r.rate(now) * (1 - failWeight)
	if failed {
		rate += failWeight
	}
	r.failing, r.noted = rate, now
}

// Begin records that a request with the given prefixes is sent to the chosen
// target.
func (p *Placer) Begin(c Choice, chain []Link, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders.sent(c, chain, now)
	r := p.record(c.Target, now)
	r.running++
	r.wait(c, c.Missing)
}

// addPending adds to the prompt tokens that have not been read.
func (r *record) wait(c Choice, tokens int) {
	if c.Late {
		r.late = max(0, r.late+tokens)
	} else {
		r.prefill = max(0, r.prefill+tokens)
	}
}

// updateSlowdown updates the slowdown factor with an observed time to first
// token.
func (r *record) learn(c Choice, took time.Duration) {
	if c.Late || c.plain < leastLearnt {
		return
	}
	ratio := float64(took) / float64(c.plain)
	r.pace += paceWeight * (min(max(ratio, leastPace), mostPace) - r.pace)
}

// FirstToken records that a request's prompt has been read, and how long that
// took after the send.
func (p *Placer) FirstToken(c Choice, took time.Duration, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.press(c, took)
	if r, ok := p.records[c.Target.ID]; ok && r.born == c.Target.Born {
		r.answered = now
		r.wait(c, -c.Missing)
		r.learn(c, took)
	}
}

// An Outcome is how a send ended, as evidence about its target.
type End uint8

// Outcomes of sends.
const (
	// Served is a response that was passed on.
	Served End = iota
	// Failed is a broken response or one that reports a fault.
	Failed
	// Unreachable is a target that accepted no connection.
	Unreached
	// TimedOut is a target that accepted the request and did not respond in
	// time.
	Silenced
	// Inconclusive is a send that ended for reasons that say nothing about its
	// target.
	Dropped
	// Rejected is a target that is full or is loading weights.
	Rejected
)

// End records the outcome of a send. First reports whether FirstToken was called.
func (p *Placer) End(c Choice, end End, first bool, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.records[c.Target.ID]
	if !ok || r.born != c.Target.Born {
		return
	}
	r.running = max(0, r.running-1)
	if !first {
		r.wait(c, -c.Missing)
		if end == Dropped {
			p.press(c, c.aim)
		}
	}
	switch end {
	case Served:
		r.note(false, now)
		r.answered = now
		r.silent, r.until, r.dark = 0, time.Time{}, false
	case Failed:
		r.note(true, now)
	case Rejected:
		if p.crowded() {
			// The target may accept requests again at once, and the few sends
			// of one VM don't give a usable rejection rate.
			r.until = now.Add(silentFirst)
			return
		}
		r.note(true, now)
	case Unreached:
		// The target is avoided until a probe reaches it.
		r.note(true, now)
		r.dark = true
		r.until = now.Add(darkTime)
	case Silenced:
		r.note(true, now)
		r.silent = min(max(2*r.silent, silentFirst), silentMost)
		r.until = now.Add(r.silent)
	case Dropped:
	}
}

// MarkReachable records that a target accepts connections again.
func (p *Placer) Reached(id string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := p.records[id]; ok {
		r.silent, r.until, r.dark = 0, time.Time{}, false
	}
}

// ObserveWeights records the weights that this VM has observed at a target. It
// reports whether they are newer than those known before.
func (p *Placer) Saw(t *site.Target, model string, version int64, now time.Time) bool {
	return p.see(t, model, version, now, true)
}

// updateWeights records weights that this VM or another one has observed.
func (p *Placer) see(t *site.Target, model string, version int64, now time.Time, firsthand bool) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if version <= 0 || model == "" {
		return false
	}
	r := p.record(t, now)
	if version <= r.version(t, model) && r.weights[model] != 0 {
		return false
	}
	news := version > r.version(t, model)
	r.weights[model] = max(version, r.weights[model])
	if news {
		r.changed, r.firsthand = now, firsthand
	}
	return news
}

// RecordMismatch records that a target does not have the expected weights.
func (p *Placer) Refused(c Choice, model string, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	r := p.record(c.Target, now)
	// The target is ahead of its entry or was restarted.
	if r.weights[model] == c.Weights {
		delete(r.weights, model)
	}
	r.until = now.Add(silentFirst)
}

// ApplyUpdate records what another VM has in flight and which weights it has
// observed.
func (p *Placer) Hear(e roster.Entry, v *source.View, now time.Time) {
	loads := make(map[string]roster.TargetLoad, len(e.Loads))
	for _, l := range e.Loads {
		loads[l.Target] = l
	}
	p.mu.Lock()
	p.others[e.VM] = telling{loads: loads, heard: now}
	p.told = true
	p.holders.hear(e.Reads, now)
	p.mu.Unlock()
	for _, l := range e.Loaded {
		if t, ok := v.Targets[l.Target]; ok && t.Born == l.Born {
			p.see(t, l.Model, l.Version, now, false)
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
	for id, r := range p.records {
		if now.Sub(r.seen) > forgetTime {
			delete(p.records, id)
			continue
		}
		failing := int(100 * r.rate(now))
		if r.running > 0 || failing > 0 || r.dark {
			l := roster.TargetLoad{Target: id, Running: r.running, Prefill: r.prefill, Late: r.late, Failing: failing, Unreachable: r.dark}
			if age := now.Sub(r.answered); age < tellTime {
				l.Answered = 1 + int(age.Milliseconds())
			}
			loads = append(loads, l)
		}
		for model, version := range r.weights {
			if r.firsthand && now.Sub(r.changed) < loadedTime {
				loaded = append(loaded, roster.LoadedWeights{Target: id, Born: r.born, Model: model, Version: version})
			}
		}
	}
	return loads, loaded
}

// RecentSends returns the engines that this VM has recently sent prefixes to, for
// other VMs. In a large fleet it returns only writes to the KV cache store.
func (p *Placer) Reads(now time.Time) []roster.CachedPrefix {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.holders.prune(now)
	p.cool(now)
	return p.holders.tell(p.crowded(), now)
}

// stateRetention is how long the state of a target that is no longer listed, or
// of a VM that sends no updates, is kept.
const forgetTime = 30 * time.Second

// Version returns the newest version of the weights that a target is known to
// have.
func (p *Placer) Version(t *site.Target, model string) int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.records[t.ID]
	if !ok || r.born != t.Born {
		return t.Weights[model]
	}
	return r.version(t, model)
}

// Unreachable reports whether a target refuses connections from this VM.
func (p *Placer) Dark(t *site.Target) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	r, ok := p.records[t.ID]
	return ok && r.born == t.Born && r.dark
}

// RecordActivity records that a target is sending a response.
func (p *Placer) Heard(c Choice, now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := p.records[c.Target.ID]; ok && r.born == c.Target.Born {
		r.answered = now
	}
}

// RespondedWithin reports whether a target has sent anything to any VM within a
// period.
func (p *Placer) Answers(c Choice, within time.Duration, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if r, ok := p.records[c.Target.ID]; ok && now.Sub(r.answered) < within {
		return true
	}
	for _, o := range p.others {
		l, ok := o.loads[c.Target.ID]
		if ok && l.Answered > 0 && now.Sub(o.heard)+time.Duration(l.Answered)*time.Millisecond < within {
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
	rec := p.record(t, now)
	c := candidate{target: t, record: rec, running: rec.running, prefill: rec.prefill, late: rec.late}
	p.addOthers(&c, now)
	return c
}

// Suspect reports whether a target may be unresponsive: some VM could not connect
// to it, this VM recently got no response from it, or it has work of this VM in
// flight and has sent nothing to any VM for suspectTimeout.
func (p *Placer) Suspect(t *site.Target, now time.Time) bool {
	c := p.inFlight(t, now)
	if c.dark > 0 || now.Before(c.record.until) {
		return true
	}
	return c.running > 0 && !p.Answers(Choice{Target: t}, suspectTime, now)
}
