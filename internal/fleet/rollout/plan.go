// Package rollout makes engines load newly announced weights. One VM at a time
// sends the load orders, under a lease whose term is the fencing token.
//
// It is designed for weights that are announced again while an earlier rollout
// is still in progress, on engines that are serving requests.
package rollout

import (
	"cmp"
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

const (
	// minConcurrentLoads and concurrentLoadsDivisor bound the number of engines
	// that load at the same time: at least two, and otherwise a fifth of them,
	// since the weight store slows down beyond that.
	leastAtOnce = 2
	atOncePart  = 5
	// drainTimeout is the longest time for which an engine receives no new work
	// before it is sent its order, even if requests are still running on it.
	emptyTime = 1200 * time.Millisecond
	// busyRequestsPerEngine is the average number of running requests per engine
	// above which a pool counts as busy.
	loadedRuns = 3
	// urgentAge is the age of superseded weights above which a busy pool drains as
	// many engines as an idle one; rollouts must end within about 10 s.
	urgentAge = 6 * time.Second
	// initialLoadTime is the estimated duration of a load before one was observed.
	firstLoad = 700 * time.Millisecond
	// loadTimeWeight is the weight of the latest load in the moving average of load
	// durations.
	loadWeight = 0.3
	// pollInterval is the time between two requests for the report of an engine
	// that is loading.
	reportNext = 120 * time.Millisecond
	// maxReportAge is how old the state in an engine's report may be when the
	// report arrives.
	reportLag = time.Second
	// orderTimeout is how long an order may take before it is sent again.
	orderTimeout = 6 * time.Second
	// resendDelay is the time within which an engine's report shows an order that
	// the engine has accepted. After an unknown outcome the order is sent again
	// only after this delay.
	doubtPause = 250 * time.Millisecond
	// failureBackoff is the delay before an engine is contacted again after a
	// failed call.
	failPause = 700 * time.Millisecond
)

// An engine is a target with its current and its wanted version of a model's
// weights.
type engine struct {
	target  *site.Target
	model   string
	has     int64
	wants   int64
	running int
	// suspect reports whether the engine recently failed to answer some VM.
	suspect bool
	// since is when the engine's weights were first superseded.
	since time.Time
}

// A pool counts all engines that can be sent orders and the requests running on
// them.
type pool struct {
	engines int
	running int
	// unreachable counts the engines that accept no connections.
	dark int
}

// limits returns how many engines may load at the same time and how many may be
// drained for it. A busy pool drains fewer.
func (p pool) room() (load, empty int) {
	load = max(leastAtOnce, p.engines/atOncePart)
	empty = load
	if p.running > loadedRuns*p.engines {
		empty = max(1, load/2)
	}
	return load, empty
}

// A phase is the state of the order to one engine.
type phase uint8

const (
	// draining engines receive no new work and are yet to be sent the order.
	chosen phase = iota
	// ordered engines have accepted the order, or may have.
	ordered
	// backingOff engines failed a call and are not contacted until the back-off
	// ends.
	resting
)

// An orderState is the state of the order to one engine. No call is made for it
// before next.
type progress struct {
	incarnation site.Incarnation
	version     int64
	phase       phase
	since       time.Time
	next        time.Time
}

// A step is the next action for one engine: startDrain, sendOrder or pollReport.
type step interface{ step() }

// startDrain announces to other VMs that an engine is about to be sent an order,
// and checks that the engine answers.
type announce struct{ engine engine }

// sendOrder sends the load order.
type instruct struct{ engine engine }

// pollReport reads the progress of an engine.
type ask struct{ engine engine }

func (announce) step() {}
func (instruct) step() {}
func (ask) step()      {}

// A planner holds the state of all orders and decides on the next steps. It is
// not safe for concurrent use.
type book struct {
	orders map[string]*progress
	// loadTime is the moving average of the duration of a load.
	load time.Duration
}

func newBook() *book { return &book{orders: map[string]*progress{}, load: firstLoad} }

// plan returns the steps to take now for the engines with superseded weights.
// Engines are drained before they are sent an order, so that loads follow each
// other without a pause. Engines with the oldest superseded weights come first,
// and those that may not answer last.
func (b *book) plan(lagging []engine, p pool, now time.Time) []step {
	b.prune(lagging)
	doubtful := func(e engine) bool {
		p := b.orders[e.target.ID]
		return e.suspect || p != nil && p.phase == resting
	}
	slices.SortFunc(lagging, func(x, y engine) int {
		return cmp.Or(compareBool(doubtful(x), doubtful(y)), x.since.Compare(y.since), cmp.Compare(x.running, y.running), cmp.Compare(x.target.ID, y.target.ID))
	})
	load, empty := p.room()
	urgent := oldest(lagging, now) > urgentAge
	if urgent {
		empty = load
	}
	if p.dark+len(b.orders) >= max(1, p.engines/2) {
		// At least half of the engines keep serving. Superseded weights may not be
		// used for much longer, so an urgent rollout drains one engine anyway.
		empty = 0
		if urgent {
			empty = 1
		}
	}
	for _, p := range b.orders {
		switch p.phase {
		case ordered:
			load--
		case chosen:
			empty--
		case resting:
		}
	}
	var steps []step
	for _, e := range lagging {
		if p := b.orders[e.target.ID]; p != nil && p.phase == ordered && now.After(p.next) {
			steps = append(steps, b.follow(e, p, now))
		}
	}
	for _, e := range b.emptied(lagging, now) {
		if load > 0 {
			load--
			empty++
			steps = append(steps, instruct{e})
		}
	}
	for _, e := range lagging {
		p := b.orders[e.target.ID]
		if empty <= 0 || p != nil && (p.phase != resting || now.Before(p.next)) {
			continue
		}
		empty--
		b.orders[e.target.ID] = &progress{
			incarnation: e.target.Incarnation(), version: e.wants, phase: chosen, since: now,
		}
		steps = append(steps, announce{e})
	}
	return steps
}

// compareBool sorts false before true.
func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case b:
		return -1
	}
	return 1
}

// oldestAge returns the longest time for which the weights of an engine have been
// superseded.
func oldest(lagging []engine, now time.Time) time.Duration {
	most := time.Duration(0)
	for _, e := range lagging {
		most = max(most, now.Sub(e.since))
	}
	return most
}

// pollOrResend returns the step for an engine that has been sent an order: poll
// its report, or send the order again after orderTimeout.
func (b *book) follow(e engine, p *progress, now time.Time) step {
	if now.Sub(p.since) > orderTimeout {
		p.phase = chosen
		return instruct{e}
	}
	return ask{e}
}

// drained returns the draining engines that may be sent their order: the idle
// ones first, then those whose drainTimeout has passed.
func (b *book) emptied(lagging []engine, now time.Time) []engine {
	var idle, late []engine
	for _, e := range lagging {
		p := b.orders[e.target.ID]
		switch {
		case p == nil || p.phase != chosen || !p.since.Before(now) || now.Before(p.next):
		case e.running == 0:
			idle = append(idle, e)
		case now.Sub(p.since) > emptyTime:
			late = append(late, e)
		}
	}
	return append(idle, late...)
}

// prune removes the orders to engines whose weights are up to date, and those to
// earlier incarnations of an engine.
func (b *book) prune(lagging []engine) {
	still := map[string]engine{}
	for _, e := range lagging {
		still[e.target.ID] = e
	}
	for id, p := range b.orders {
		e, ok := still[id]
		switch {
		case !ok || e.target.Incarnation() != p.incarnation:
			delete(b.orders, id)
		case p.version != e.wants && p.phase == chosen:
			p.version = e.wants
		}
	}
}

// accepted records that an engine is executing an order, or may be.
func (b *book) accepted(id string, now time.Time) {
	if p := b.orders[id]; p != nil {
		p.phase, p.since, p.next = ordered, now, now.Add(b.load-reportNext)
	}
}

// outcomeUnknown records that an order may have been lost. It is sent again after
// resendDelay unless the engine reports it by then.
func (b *book) doubted(id string, now time.Time) {
	if p := b.orders[id]; p != nil {
		p.phase, p.next = chosen, now.Add(doubtPause)
	}
}

// completed updates the average load time from an engine that has completed its
// order.
func (b *book) done(id string, now time.Time) {
	if p := b.orders[id]; p != nil && p.phase == ordered {
		took := now.Sub(p.since)
		b.load += time.Duration(loadWeight * float64(took-b.load))
	}
}

// pending records that an engine has not completed its order yet.
func (b *book) pending(id string, now time.Time) {
	if p := b.orders[id]; p != nil {
		p.next = now.Add(reportNext)
	}
}

// failed records that a call to an engine failed, or that it refused the order.
func (b *book) failed(id string, now time.Time) {
	if p := b.orders[id]; p != nil {
		p.phase, p.next = resting, now.Add(failPause)
	}
}

// endedWithout removes the order to an engine that is idle again without the
// wanted version, so that the engine is sent a new order.
func (b *book) finished(id string) { delete(b.orders, id) }

// busy returns the ids of the engines that are draining for an order or executing
// one.
func (b *book) busy() []string {
	var ids []string
	for id, p := range b.orders {
		if p.phase != resting {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
