package canary

import (
	"maps"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

const (
	// slowFactor and slowMargin give the time from which on an answer is slow: slowFactor
	// times what answers of the old version take on its route, and slowMargin.
	slowFactor = 2.5
	slowMargin = 20 * time.Millisecond
	// baseTime is added to the expected time for cold prompt tokens, relative to which
	// times are compared.
	baseTime = 20 * time.Millisecond
	// latencyStep is how much one answer changes the usual latency of a route.
	latencyStep = 0.05
	// minLatencies is the number of answers from which on the usual latency is known.
	minLatencies = 5
)

// A Result is how an attempt at a target ended.
type Result uint8

// Results of attempts.
const (
	// Answered means that the whole answer arrived.
	Answered Result = iota
	// Failed means that the target failed: it answered with a server error, or its answer
	// was broken or missing.
	Failed
	// Ended means that the attempt was ended by the VM or the caller.
	Ended
)

// An Answer is what one attempt showed of a target.
type Answer struct {
	Target *site.Target
	Route  string
	Result Result
	// Took is the time from the request to the end of the answer, and Cold that which is
	// expected for the prompt tokens that the target does not hold. Times are compared
	// relative to it: new targets have nothing in their caches yet.
	Took, Cold time.Duration
}

// relative returns a time relative to the expected one.
func (a Answer) relative(d time.Duration) float64 { return float64(d) / float64(baseTime+a.Cold) }

// A latency is an estimate of the median of the relative times of answers, which single
// slow answers move little.
type latency struct {
	median  float64
	samples int
}

func (l *latency) add(a Answer) {
	took := a.relative(a.Took)
	l.samples++
	switch {
	case l.samples <= minLatencies:
		l.median += (took - l.median) / float64(l.samples)
	case took > l.median:
		l.median *= 1 + latencyStep
	default:
		l.median *= 1 - latencyStep
	}
}

// isSlow reports whether an answer took several times the usual time.
func (l *latency) isSlow(a Answer) bool {
	if l == nil || l.samples < minLatencies {
		return false
	}
	return a.relative(a.Took) > slowFactor*l.median+a.relative(slowMargin)
}

// Record records what an attempt showed.
func (g *Gate) Record(a Answer, now time.Time) {
	if g.record(a, now) && g.opts.OnChange != nil {
		g.opts.OnChange()
	}
}

// record is Record, and reports whether the new version gave a bad answer.
func (g *Gate) record(a Answer, now time.Time) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[a.Target.Service]
	if s == nil {
		return false
	}
	usual := s.latencies[a.Route]
	c := Counts{Answers: 1}
	switch {
	case a.Result == Failed:
		c.Failures = 1
	case usual.isSlow(a):
		c.Slow = 1
	case a.Result == Ended:
		return false
	}
	o := s.order
	isNew := o != nil && a.Target.Version == o.spec.To && o.stage != Completed
	if _, used := s.used[a.Target.Version]; used && a.Result == Answered && !isNew {
		if usual == nil && len(s.latencies) < maxRoutes {
			usual = &latency{}
			s.latencies[a.Route] = usual
		}
		if usual != nil {
			usual.add(a)
		}
	}
	if o == nil || o.stage.IsTerminal() {
		return false
	}
	for _, t := range []*tally{o.own, o.sums} {
		r := t.route(a.Route)
		switch {
		case r == nil:
		case isNew:
			r.new = r.new.add(c)
			r.periods[o.period(now)] += c.bad()
		default:
			r.old = r.old.add(c)
		}
	}
	isBad := isNew && c.bad() > 0
	if isBad {
		g.counters.Bad++
	}
	if isNew {
		g.judge(s, now)
	}
	return isBad
}

// period returns the present period of the order.
func (o *order) period(now time.Time) int {
	return min(max(int(now.Sub(o.since)/periodOf(o.spec.Duration)), 0), maxPeriods)
}

// judge tests the new version on what is known of all VMs. It reports whether the version
// was found to be bad just now.
func (g *Gate) judge(s *service, now time.Time) bool {
	o := s.order
	if o.stage.IsTerminal() || o.judge.stopped != "" {
		return false
	}
	o.judge.observe(o.sums, o.period(now))
	if o.judge.stopped == "" {
		return false
	}
	total := o.sums.total()
	g.counters.Stopped++
	g.log("msg", "version stopped", "service", s.name, "to", o.spec.To, "why", o.judge.stopped, "stage", o.stage,
		"answers", total.New.Answers, "failures", total.New.Failures, "slow", total.New.Slow,
		"oldanswers", total.Old.Answers, "oldfailures", total.Old.Failures, "oldslow", total.Old.Slow, "age", now.Sub(o.since))
	return true
}

// Reports returns what this VM tells the others.
func (g *Gate) Reports(now time.Time) []Report {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []Report
	for _, name := range slices.Sorted(maps.Keys(g.services)) {
		s := g.services[name]
		r := Report{Service: name, Refused: slices.Sorted(maps.Keys(s.refused))}
		if o := s.order; o != nil {
			r.Order, r.Round, r.Stage = o.id, o.round, o.stage
			r.AgeMS = now.Sub(o.since).Milliseconds()
			r.Stopped = o.judge.stopped != ""
			if !o.stage.IsTerminal() {
				r.Routes = o.own.list()
				r.OldRunning, r.LongestMS = s.oldRunning(), s.longest.Milliseconds()
			}
		}
		if r.Order != 0 || len(r.Refused) > 0 {
			out = append(out, r)
		}
	}
	return out
}

// Merge applies the reports of another VM, which was started at born.
func (g *Gate) Merge(vm string, born int64, reports []Report, now time.Time) {
	if g.merge(vm, born, reports, now) && g.opts.OnChange != nil {
		g.opts.OnChange()
	}
}

// merge is Merge, and reports whether the stage of an order has changed, or a version was
// stopped.
func (g *Gate) merge(vm string, born int64, reports []Report, now time.Time) (changed bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	for _, r := range reports {
		s := g.services[r.Service]
		if s == nil {
			continue
		}
		s.mergeRefused(r.Refused, now)
		o := s.order
		if o == nil || o.id != r.Order || r.Round != 0 && r.Round < o.round {
			continue
		}
		if g.adoptRound(s, r.Round, now) {
			changed = true
		}
		o = s.order
		if r.Round != 0 && r.Round != o.round {
			continue
		}
		if since := now.Add(-time.Duration(r.AgeMS) * time.Millisecond); since.Before(o.since) {
			o.since = since
		}
		if g.setStage(s, r.Stage, "reported by VM "+vm, now) {
			changed = true
		}
		if o.stage.IsTerminal() {
			continue
		}
		o.mergeCounts(vm, born, r)
		if r.Stopped && o.judge.stopped == "" {
			o.judge.stopped = "reported by VM " + vm
			g.log("msg", "version stopped", "service", s.name, "to", o.spec.To, "why", o.judge.stopped, "stage", o.stage)
			changed = true
		}
		if g.judge(s, now) {
			changed = true
		}
	}
	return changed
}

// mergeCounts replaces the counts of another VM. Those before its latest start stay.
func (o *order) mergeCounts(vm string, born int64, r Report) {
	before := o.peers[vm]
	if before.born != born {
		before.routes = nil
	}
	o.sums.replace(before.routes, r.Routes)
	o.peers[vm] = peerCounts{born: born, routes: r.Routes}
}

// mergeRefused adds versions that another VM refuses, unless this one uses them.
func (s *service) mergeRefused(versions []string, now time.Time) {
	for _, version := range versions {
		// Versions that are not listed are left to be forgotten.
		if _, seen := s.seen[version]; seen {
			delete(s.seen, version)
			s.refused[version] = now
		}
	}
}

// adoptRound begins a round of a service's order, if it is later. What is known of an earlier
// round of the same order does not apply to it. It reports whether it has begun anew.
func (g *Gate) adoptRound(s *service, round int64, now time.Time) bool {
	o := s.order
	switch {
	case round <= o.round:
		return false
	case o.round == 0:
		o.round = round
		return false
	}
	g.log("msg", "order to move traffic given again", "service", s.name, "to", o.spec.To, "round", round, "before", o.stage)
	if o.stage == Completed {
		delete(s.used, o.spec.To)
	}
	s.order = g.newOrder(o.spec, round, now, now)
	return true
}

// A progress is what a VM knows of an order, for the decision on its next stage.
type progress struct {
	situation
	id    uint64
	round int64
	since time.Time
	// oldRunning is the number of requests that this VM has in flight at old targets.
	oldRunning int
	// longest is the longest time that a request of this VM had until its deadline.
	longest time.Duration
	total   RouteCounts
	why     string
}

// progress returns what is known of the order for a service, and false if there is none.
func (g *Gate) progress(name string, now time.Time) (progress, bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	s := g.services[name]
	if s == nil || s.order == nil || !s.order.missingSince.IsZero() {
		return progress{}, false
	}
	o := s.order
	p := progress{
		id: o.id, round: o.round, since: o.since, oldRunning: s.oldRunning(), longest: s.longest, total: o.sums.total(), why: o.judge.stopped,
		situation: situation{
			stage: o.stage, age: now.Sub(o.since), stageAge: now.Sub(o.stageAt), duration: o.spec.Duration, verdict: o.judge.verdict(o.sums, o.period(now)),
			oldSlots: o.oldSlots, newSlots: o.newSlots, newGone: now.Sub(o.newSeen),
		},
	}
	return p, true
}

// adopt applies what the object store holds of an order.
func (g *Gate) adopt(name string, id uint64, round int64, stage Stage, since time.Time, why string, now time.Time) {
	g.mu.Lock()
	changed := false
	if s := g.services[name]; s != nil && s.order != nil && s.order.id == id {
		changed = g.adoptRound(s, round, now)
		if since.Before(s.order.since) && s.order.round == round {
			s.order.since = since
		}
		if s.order.round == round {
			changed = g.setStage(s, stage, why, now) || changed
		}
	}
	g.mu.Unlock()
	if changed && g.opts.OnChange != nil {
		g.opts.OnChange()
	}
}
