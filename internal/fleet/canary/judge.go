package canary

import (
	"maps"
	"math"
	"slices"
	"time"
)

// Error rates of the tests of a version, each for one route and one kind of bad answer.
const (
	// alpha is the rate at which the test stops a version that is as good as the old one.
	alpha = 1e-4
	// beta is the rate at which the test trusts a version whose rate of bad answers is
	// higher than that of the old one by minExcess or more.
	beta = 0.01
)

const (
	// minExcess is the least excess over the rate of the old version at which a version is
	// bad, or minExcessFactor times the rate of the old version if that is more.
	minExcess       = 0.08
	minExcessFactor = 1.5
	// minRate and maxRate bound the rate of bad answers of the old version that is assumed.
	minRate = 0.01
	maxRate = 0.5
	// hardExcess is the excess of bad answers at which a version is stopped in any case. It
	// is well below the 50 after which no request may be sent to it within some seconds,
	// since other VMs learn late and requests are in flight.
	hardExcess = 30
	// burstPeriods is the length of a burst, in periods. Bad answers of the worst burst
	// alone stop no version, as one bad moment of a target or of the network is not the
	// version's fault. A second is up to two periods.
	burstPeriods = 2
	// recentPeriods is the number of periods in which there must be further bad answers
	// outside the worst burst: minOutside, and outsideFactor times as many as expected.
	recentPeriods = 20
	minOutside    = 3
	outsideFactor = 2
	// minAnswers is the number of answers without which a version is not trusted.
	minAnswers = 60
	// minRouteAnswers is the number of answers on a route without which a version is not
	// trusted, or minRouteShare of the old version's answers there if that is less.
	minRouteAnswers = 30
	minRouteShare   = 0.03
)

const (
	// minPeriod is the shortest period, and maxPeriods the number of periods of an order.
	minPeriod  = time.Second
	maxPeriods = 64
)

// periodOf returns the length of the periods of an order.
func periodOf(duration time.Duration) time.Duration { return max(minPeriod, duration/maxPeriods) }

// A verdict is what is known of a version.
type verdict uint8

// Verdicts.
const (
	undecided verdict = iota
	good
	bad
)

// A routeTest is the state of the sequential tests on one route. Each test adds up the log
// likelihood ratio of bad to good. It is Page's test: it begins anew at 0, so that a version
// that turns bad late is found as quickly.
type routeTest struct {
	seen           Counts
	failures, slow float64
}

// A judge tests a version on the sums of the answers that all VMs have reported.
type judge struct {
	routes map[string]*routeTest
	// stopped is why the version is bad, empty while it is not.
	stopped string
}

func newJudge() *judge { return &judge{routes: map[string]*routeTest{}} }

// oldRate returns an upper estimate of the rate of bad answers of the old version: one
// standard error above the mean, since the test takes the rate as known.
func oldRate(bad, answers int64) float64 {
	b, n := float64(bad), float64(answers)
	return min(max((b+1+math.Sqrt(b+1))/(n+50), minRate), maxRate)
}

// badRate returns the rate from which on a version is bad.
func badRate(old float64) float64 { return min(old+max(minExcess, minExcessFactor*old), 0.95) }

// ratio returns the log likelihood ratio of bad to good for some answers.
func ratio(bad, answers int64, old float64) float64 {
	p1 := badRate(old)
	return float64(bad)*math.Log(p1/old) + float64(answers-bad)*math.Log((1-p1)/(1-old))
}

// observe updates the test with the sums of the answers so far.
func (t *routeTest) observe(r *routeTally) {
	c := r.new.minus(t.seen)
	t.seen = r.new
	if c.Answers >= 0 && c.Failures >= 0 && c.Slow >= 0 {
		t.failures = max(0, t.failures+ratio(c.Failures, c.Answers, oldRate(r.old.Failures, r.old.Answers)))
		t.slow = max(0, t.slow+ratio(c.Slow, c.Answers, oldRate(r.old.Slow, r.old.Answers)))
	}
}

// observe updates the tests with the sums of the answers so far. Now is the present period.
func (j *judge) observe(sums *tally, now int) {
	if j.stopped != "" {
		return
	}
	badAnswers, expected := 0.0, 0.0
	for route, r := range sums.routes {
		t := j.routes[route]
		if t == nil {
			t = &routeTest{}
			j.routes[route] = t
		}
		t.observe(r)
		badAnswers += float64(r.new.bad())
		expected += r.expected()
		if max(t.failures, t.slow) >= -math.Log(alpha) && r.isBadOutsideBurst(now) {
			j.stopped = "bad answers on route " + route
		}
	}
	if badAnswers-expected-2*math.Sqrt(expected) >= hardExcess {
		j.stopped = "too many bad answers"
	}
}

// verdict returns what is known of the version. Now is the present period.
func (j *judge) verdict(sums *tally, now int) verdict {
	if j.stopped != "" {
		return bad
	}
	var total, old Counts
	burst := int64(0)
	for route, r := range sums.routes {
		total, old = total.add(r.new), old.add(r.old)
		_, worst := r.bursts(0, maxPeriods)
		burst += worst
		if r.new.Answers < min(minRouteAnswers, int64(minRouteShare*float64(r.old.Answers))) {
			return undecided
		}
		if t := j.routes[route]; t != nil && max(t.failures, t.slow) >= -math.Log(alpha)/2 && r.isBadOutsideBurst(now) {
			return undecided
		}
	}
	trust := ratio(total.bad()-burst, total.Answers, oldRate(old.bad(), old.Answers))
	if total.Answers < minAnswers || trust > math.Log(beta) {
		return undecided
	}
	return good
}

// A routeTally holds the sums of the answers on one route, and the bad answers of the new
// version by period.
type routeTally struct {
	new, old Counts
	periods  [maxPeriods + 1]int64
}

// expected returns an upper estimate of the bad answers that the new version would have
// given if it were as good as the old one.
func (r *routeTally) expected() float64 {
	return float64(r.new.Answers) * oldRate(r.old.bad(), r.old.Answers)
}

// bursts returns the number of bad answers in some periods, and that in the worst burst.
func (r *routeTally) bursts(from, to int) (total, worst int64) {
	for i := from; i <= to; i++ {
		total += r.periods[i]
		burst := int64(0)
		for k := i; k < min(i+burstPeriods, to+1); k++ {
			burst += r.periods[k]
		}
		worst = max(worst, burst)
	}
	return total, worst
}

// isBadOutsideBurst reports whether there were more bad answers lately, outside the worst
// burst, than are expected of a good version in all answers.
func (r *routeTally) isBadOutsideBurst(now int) bool {
	now = min(max(now, 0), maxPeriods)
	from := max(0, now-recentPeriods+1)
	recent, worst := r.bursts(from, now)
	expected := r.expected() * float64(now-from+1) / float64(now+1)
	return float64(recent-worst) >= minOutside+outsideFactor*expected
}

// A tally adds up the counts of VMs.
type tally struct{ routes map[string]*routeTally }

func newTally() *tally { return &tally{routes: map[string]*routeTally{}} }

// route returns the sums of a route, or nil if there are too many routes.
func (t *tally) route(name string) *routeTally {
	r := t.routes[name]
	if r == nil && len(t.routes) < maxRoutes {
		r = &routeTally{}
		t.routes[name] = r
	}
	return r
}

// replace replaces the counts of a VM by later ones.
func (t *tally) replace(before, after []RouteCounts) {
	for _, c := range before {
		if r := t.routes[c.Route]; r != nil {
			r.new, r.old = r.new.minus(c.New), r.old.minus(c.Old)
			r.addPeriods(c.Periods, -1)
		}
	}
	for _, c := range after {
		if r := t.route(c.Route); r != nil {
			r.new, r.old = r.new.add(c.New), r.old.add(c.Old)
			r.addPeriods(c.Periods, 1)
		}
	}
}

func (r *routeTally) addPeriods(periods []Period, sign int64) {
	for _, p := range periods {
		r.periods[min(max(p.Index, 0), maxPeriods)] += sign * p.Bad
	}
}

// total returns the sum over all routes.
func (t *tally) total() (total RouteCounts) {
	for _, r := range t.routes {
		total.New, total.Old = total.New.add(r.new), total.Old.add(r.old)
	}
	return total
}

// list returns the sums in a stable order.
func (t *tally) list() []RouteCounts {
	out := make([]RouteCounts, 0, len(t.routes))
	for _, name := range slices.Sorted(maps.Keys(t.routes)) {
		r := t.routes[name]
		c := RouteCounts{Route: name, New: r.new, Old: r.old}
		for i, n := range r.periods {
			if n != 0 {
				c.Periods = append(c.Periods, Period{i, n})
			}
		}
		out = append(out, c)
	}
	return out
}
