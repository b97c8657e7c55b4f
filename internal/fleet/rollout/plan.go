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
	minConcurrentLoads     = 2
	concurrentLoadsDivisor = 5
	// drainTimeout is the longest time for which an engine receives no new work
	// before it is sent its order, even if requests are still running on it.
	drainTimeout = 1200 * time.Millisecond
	// busyRequestsPerEngine is the average number of running requests per engine
	// above which a pool counts as busy.
	busyRequestsPerEngine = 3
	// urgentAge is the age of superseded weights above which a busy pool drains as
	// many engines as an idle one; rollouts must end within about 10 s.
	urgentAge = 6 * time.Second
	// initialLoadTime is the estimated duration of a load before one was observed.
	initialLoadTime = 700 * time.Millisecond
	// loadTimeWeight is the weight of the latest load in the moving average of load
	// durations.
	loadTimeWeight = 0.3
	// pollInterval is the time between two requests for the report of an engine
	// that is loading.
	pollInterval = 120 * time.Millisecond
	// maxReportAge is how old the state in an engine's report may be when the
	// report arrives.
	maxReportAge = time.Second
	// orderTimeout is how long an order may take before it is sent again.
	orderTimeout = 6 * time.Second
	// resendDelay is the time within which an engine's report shows an order that
	// the engine has accepted. After an unknown outcome the order is sent again
	// only after this delay.
	resendDelay = 250 * time.Millisecond
	// failureBackoff is the delay before an engine is contacted again after a
	// failed call.
	failureBackoff = 700 * time.Millisecond
)

// An engine is a target with its current and its wanted version of a model's
// weights.
type engine struct {
	target  *site.Target
	model   string
	current int64
	wanted  int64
	running int
	// suspect reports whether the engine recently failed to respond to some VM.
	suspect bool
	// paused reports whether the engine has asked this VM for a pause.
	paused bool
	// since is when the engine's weights were first superseded.
	since time.Time
}

// A pool counts all engines that can be sent orders and the requests running on
// them.
type pool struct {
	engines int
	running int
	// unreachable counts the engines that accept no connections.
	unreachable int
}

// limits returns how many engines may load at the same time and how many may be
// drained for it. A busy pool drains fewer.
func (p pool) limits() (load, drain int) {
	load = max(minConcurrentLoads, p.engines/concurrentLoadsDivisor)
	drain = load
	if p.running > busyRequestsPerEngine*p.engines {
		drain = max(1, load/2)
	}
	return load, drain
}

// A phase is the state of the order to one engine.
type phase uint8

const (
	// draining engines receive no new work and are yet to be sent the order.
	draining phase = iota
	// ordered engines have accepted the order, or may have.
	ordered
	// backingOff engines failed a call and are not contacted until the back-off
	// ends.
	backingOff
)

// An orderState is the state of the order to one engine. No call is made for it
// before next.
type orderState struct {
	incarnation site.Incarnation
	version     int64
	phase       phase
	since       time.Time
	next        time.Time
	// delayed reports whether the engine was paused when its next call was due.
	delayed bool
}

// A step is the next action for one engine: startDrain, sendOrder or pollReport.
type step interface{ step() }

// startDrain announces to other VMs that an engine is about to be sent an order,
// and checks that the engine responds.
type startDrain struct{ engine engine }

// sendOrder sends the load order.
type sendOrder struct{ engine engine }

// pollReport reads the progress of an engine.
type pollReport struct{ engine engine }

func (startDrain) step() {}
func (sendOrder) step()  {}
func (pollReport) step() {}

// A planner holds the state of all orders and decides on the next steps. It is
// not safe for concurrent use.
type planner struct {
	orders map[string]*orderState
	// loadTime is the moving average of the duration of a load.
	loadTime time.Duration
}

func newPlanner() *planner {
	return &planner{orders: map[string]*orderState{}, loadTime: initialLoadTime}
}

// plan returns the steps to take now for the engines with superseded weights.
// Engines are drained before they are sent an order, so that loads follow each
// other without a pause. Engines with the oldest superseded weights come first,
// and those that may be unresponsive last.
func (pl *planner) plan(lagging []engine, p pool, now time.Time) []step {
	pl.prune(lagging)
	unreliable := func(e engine) bool {
		o := pl.orders[e.target.ID]
		return e.suspect || o != nil && o.phase == backingOff
	}
	slices.SortFunc(lagging, func(x, y engine) int {
		return cmp.Or(compareBool(unreliable(x), unreliable(y)), x.since.Compare(y.since), cmp.Compare(x.running, y.running), cmp.Compare(x.target.ID, y.target.ID))
	})
	load, drain := p.limits()
	urgent := oldestAge(lagging, now) > urgentAge
	if urgent {
		drain = load
	}
	if p.unreachable+len(pl.orders) >= max(1, p.engines/2) {
		// At least half of the engines keep serving. Superseded weights may not be
		// used for much longer, so an urgent rollout drains one engine anyway.
		drain = 0
		if urgent {
			drain = 1
		}
	}
	active, paused := splitPaused(lagging)
	for id, o := range pl.orders {
		if paused[id] && (o.phase == draining || now.After(o.next)) {
			// Nothing is known of the engine until its pause is over, so it does
			// not keep others from loading.
			o.delayed = true
			continue
		}
		switch o.phase {
		case ordered:
			load--
		case draining:
			drain--
		case backingOff:
		}
	}
	var steps []step
	for _, e := range active {
		if o := pl.orders[e.target.ID]; o != nil && o.phase == ordered && now.After(o.next) {
			steps = append(steps, pl.pollOrResend(e, o, now))
		}
	}
	for _, e := range pl.drained(active, now) {
		if load > 0 {
			load--
			drain++
			steps = append(steps, sendOrder{e})
		}
	}
	for _, e := range active {
		o := pl.orders[e.target.ID]
		if drain <= 0 || o != nil && (o.phase != backingOff || now.Before(o.next)) {
			continue
		}
		drain--
		pl.orders[e.target.ID] = &orderState{
			incarnation: e.target.Incarnation(), version: e.wanted, phase: draining, since: now,
		}
		steps = append(steps, startDrain{e})
	}
	return steps
}

// splitPaused returns the engines that are not paused and the ids of those that are.
func splitPaused(engines []engine) (active []engine, paused map[string]bool) {
	paused = map[string]bool{}
	for _, e := range engines {
		if e.paused {
			paused[e.target.ID] = true
			continue
		}
		active = append(active, e)
	}
	return active, paused
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
func oldestAge(lagging []engine, now time.Time) time.Duration {
	age := time.Duration(0)
	for _, e := range lagging {
		age = max(age, now.Sub(e.since))
	}
	return age
}

// pollOrResend returns the step for an engine that has been sent an order: poll
// its report, or send the order again after orderTimeout.
func (pl *planner) pollOrResend(e engine, o *orderState, now time.Time) step {
	if now.Sub(o.since) > orderTimeout {
		o.phase = draining
		return sendOrder{e}
	}
	return pollReport{e}
}

// drained returns the draining engines that may be sent their order: the idle
// ones first, then those whose drainTimeout has passed.
func (pl *planner) drained(lagging []engine, now time.Time) []engine {
	var idle, overdue []engine
	for _, e := range lagging {
		o := pl.orders[e.target.ID]
		switch {
		case o == nil || o.phase != draining || !o.since.Before(now) || now.Before(o.next):
		case e.running == 0:
			idle = append(idle, e)
		case now.Sub(o.since) > drainTimeout:
			overdue = append(overdue, e)
		}
	}
	return append(idle, overdue...)
}

// prune removes the orders to engines whose weights are up to date, and those to
// earlier incarnations of an engine.
func (pl *planner) prune(lagging []engine) {
	byID := map[string]engine{}
	for _, e := range lagging {
		byID[e.target.ID] = e
	}
	for id, o := range pl.orders {
		e, ok := byID[id]
		switch {
		case !ok || e.target.Incarnation() != o.incarnation:
			delete(pl.orders, id)
		case o.version != e.wanted && o.phase == draining:
			o.version = e.wanted
		}
	}
}

// accepted records that an engine is executing an order, or may be.
func (pl *planner) accepted(id string, now time.Time) {
	if o := pl.orders[id]; o != nil {
		o.phase, o.since, o.next, o.delayed = ordered, now, now.Add(pl.loadTime-pollInterval), false
	}
}

// outcomeUnknown records that an order may have been lost. It is sent again after
// resendDelay unless the engine reports it by then.
func (pl *planner) outcomeUnknown(id string, now time.Time) {
	if o := pl.orders[id]; o != nil {
		o.phase, o.next = draining, now.Add(resendDelay)
	}
}

// completed updates the average load time from an engine that has completed its
// order. The duration of a load that ended in a pause is not known.
func (pl *planner) completed(id string, now time.Time) {
	if o := pl.orders[id]; o != nil && o.phase == ordered && !o.delayed {
		took := now.Sub(o.since)
		pl.loadTime += time.Duration(loadTimeWeight * float64(took-pl.loadTime))
	}
}

// pending records that an engine has not completed its order yet.
func (pl *planner) pending(id string, now time.Time) {
	if o := pl.orders[id]; o != nil {
		o.next = now.Add(pollInterval)
	}
}

// failed records that a call to an engine failed, or that it refused the order.
func (pl *planner) failed(id string, now time.Time) {
	if o := pl.orders[id]; o != nil {
		o.phase, o.next = backingOff, now.Add(failureBackoff)
	}
}

// removeIncomplete removes the order to an engine that is idle again without the
// wanted version, so that the engine is sent a new order.
func (pl *planner) removeIncomplete(id string) { delete(pl.orders, id) }

// busy returns the ids of the engines that are draining for an order or executing
// one.
func (pl *planner) busy() []string {
	var ids []string
	for id, o := range pl.orders {
		if o.phase != backingOff {
			ids = append(ids, id)
		}
	}
	slices.Sort(ids)
	return ids
}
