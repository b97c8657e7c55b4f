package rollout

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/platform"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// leaseName is the name of the lease in the object store.
	leaseName = "orders"
	// waiting is the data of the lease until its holder renews it with the right to send
	// orders.
	waiting = "waiting"
	// leaseTTL is the time to live of the lease. It is short since a rollout
	// takes seconds.
	leaseTTL = 2 * time.Second
	// renewBefore is the remaining time of the lease below which it is renewed.
	renewBefore = 900 * time.Millisecond
	// minRemaining is the remaining time of the lease that is required to send
	// an order: the time within which the engine must have received the order.
	minRemaining = 500 * time.Millisecond
	// planInterval is the time between two planning rounds.
	planInterval = 50 * time.Millisecond
	// returnTimeout is the time within which a VM must have acquired a lease that was
	// returned to it.
	returnTimeout = 2 * time.Second
	// claimInterval is the shortest time between two attempts to acquire or renew
	// the lease.
	claimInterval = 400 * time.Millisecond
	// corruptTTLs is the number of lease TTLs for which a corrupt record
	// must stay unchanged before it is replaced.
	corruptTTLs = 2
	// corruptTermStep is added to the highest known term when a corrupt record is
	// replaced. Other VMs cannot have acquired as many terms without this VM being
	// informed, since acquiring one takes seconds.
	corruptTermStep = 1 << 20
)

// Engines is a client of the engines' control calls.
type Engines interface {
	Report(ctx context.Context, target, address string) (platform.EngineReport, error)
	Load(ctx context.Context, address string, o platform.LoadOrder) (platform.OrderOutcome, site.Notice, error)
}

// Options are the parameters of a Task.
type Options struct {
	Self    lease.Holder
	Store   store.Store
	Clock   store.Clock
	Engines Engines
	Log     log.Logger
	// HandoverDelay is the time between the last order of one lease holder and the
	// first order of the next.
	HandoverDelay func() time.Duration
	View          func() *source.View
	// LastRestore returns a version that the object store had after its last restore,
	// and how long ago this VM learned of it. Nil means that this is not known.
	LastRestore func() (version int64, age time.Duration)
	Members     func() []*roster.Member
	// Version and Running return the version of a model on an engine and the
	// number of requests running on the engine, as known to this VM.
	Version func(t *site.Target, model string) int64
	Running func(t *site.Target) int
	// Leaving reports whether an engine has stated that it leaves. It is treated as
	// if it were not listed.
	Leaving func(engine site.Incarnation) bool
	// Paused reports whether an engine has asked this VM for a pause. It is sent
	// nothing until then.
	Paused func(engine site.Incarnation) bool
	// OnNotice is called with what an engine states about further requests.
	OnNotice func(engine site.Incarnation, n site.Notice)
	// Unreachable reports whether an engine accepts no connections; such an engine
	// is sent no order.
	Unreachable func(t *site.Target) bool
	// Suspect reports whether an engine may be unresponsive.
	Suspect func(t *site.Target) bool
	// OnVersion is called with each version that an engine reports.
	OnVersion func(t *site.Target, model string, version int64)
	// OnStatusChange is called when the result of LeaseStatus has changed.
	OnStatusChange func()
}

// A Task sends the load orders while it holds the lease.
type Task struct {
	opts Options

	// mu guards the fields that LeaseStatus returns.
	mu   sync.Mutex
	busy []string
	held bool
	term int64
	// yielded is the last term that this VM has given up, or does not take over from:
	// it sends no more orders under it.
	yielded int64
	// returnedTo is the VM to which this VM returned the lease.
	returnedTo string

	// The following fields are used only by the goroutine that calls Run.
	tracker   lease.Tracker
	lastClaim time.Time
	// lastHeld is when the last successful write of the lease began.
	lastHeld       time.Time
	noOrdersBefore time.Time
	// heldTerm is the last term that this VM held, and replaced the lease of another
	// VM that the term directly followed.
	heldTerm   int64
	replaced   lease.Lease
	returnedAt time.Time
	planner    *planner
	// corrupt is the version of a lease record that cannot be decoded, and when
	// that version was first read.
	corrupt struct {
		version int64
		since   time.Time
	}
}

// NewTask returns a Task that does not hold the lease.
func NewTask(o Options) *Task {
	return &Task{opts: o, tracker: lease.Tracker{Self: o.Self, TTL: leaseTTL}, planner: newPlanner()}
}

// LeaseStatus returns the status of the lease as it is sent to other VMs.
func (t *Task) LeaseStatus() roster.LeaseStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	return roster.LeaseStatus{Held: t.held, Term: t.term, Yielded: t.yielded, ReturnedTo: t.returnedTo, Busy: slices.Clone(t.busy)}
}

// Run sends load orders whenever this VM is entitled to, until ctx ends.
func (t *Task) Run(ctx context.Context) error {
	t.recoverLease(ctx)
	for store.Sleep(ctx, planInterval) {
		lagging, pool := t.lagging()
		if len(lagging) == 0 || !t.mayOrder(ctx) {
			t.clearOrders()
			continue
		}
		t.execute(ctx, t.planner.plan(lagging, pool, time.Now()))
		t.publish(t.planner.busy())
	}
	return nil
}

// clearOrders drops all orders of a VM that is not to send any.
func (t *Task) clearOrders() {
	clear(t.planner.orders)
	t.publish(nil)
}

// lagging returns the engines with superseded weights and the counts of the whole
// pool.
func (t *Task) lagging() (lagging []engine, p pool) {
	v := t.opts.View()
	if v.Config == nil {
		return nil, pool{}
	}
	for _, target := range v.Targets {
		s := v.Config.Services[target.Service]
		if s == nil || s.Engine == nil || target.Leaving || t.opts.Leaving(target.Incarnation()) {
			continue
		}
		p.engines++
		p.running += t.opts.Running(target)
		if t.opts.Unreachable(target) {
			p.unreachable++
			continue
		}
		for _, model := range s.Engine.Models {
			current, wanted := t.opts.Version(target, model), v.Weights.Latest(model)
			if current < wanted {
				since, _ := v.Weights.SupersededAt(model, current)
				lagging = append(lagging, engine{
					target: target, model: model, current: current, wanted: wanted, since: since,
					running: t.opts.Running(target), suspect: t.opts.Suspect(target), paused: t.opts.Paused(target.Incarnation()),
				})
			}
		}
	}
	return lagging, p
}

// publish replaces the busy engines in the lease status.
func (t *Task) publish(busy []string) {
	t.mu.Lock()
	changed := !slices.Equal(t.busy, busy)
	t.busy = busy
	t.mu.Unlock()
	if changed {
		t.opts.OnStatusChange()
	}
}

// execute makes the calls of all steps concurrently and then records their
// results.
func (t *Task) execute(ctx context.Context, steps []step) {
	t.publish(t.planner.busy())
	results := make([]func(), len(steps))
	var wg sync.WaitGroup
	for i, s := range steps {
		switch s := s.(type) {
		case startDrain:
			wg.Go(func() { results[i] = t.check(ctx, s.engine) })
		case sendOrder:
			wg.Go(func() { results[i] = t.sendOrder(ctx, s.engine) })
		case pollReport:
			wg.Go(func() { results[i] = t.pollReport(ctx, s.engine) })
		}
	}
	wg.Wait()
	for _, record := range results {
		if record != nil {
			record()
		}
	}
}

// check calls an engine that is being drained, so that an engine that does not
// respond is not drained in vain. It returns a function that records the result.
func (t *Task) check(ctx context.Context, e engine) func() {
	report, err := t.report(ctx, e)
	switch {
	case err != nil:
		return func() { t.planner.failed(e.target.ID, time.Now()) }
	case report.Busy:
		return func() { t.planner.accepted(e.target.ID, time.Now()) }
	}
	return nil
}

// sendOrder reads the number of orders that the engine has accepted and sends the
// order on condition that the number has not changed since. It returns a function
// that records the result.
func (t *Task) sendOrder(ctx context.Context, e engine) func() {
	id := e.target.ID
	report, err := t.report(ctx, e)
	switch {
	case err != nil:
		return func() { t.planner.failed(id, time.Now()) }
	case report.Weights[e.model] >= e.wanted || report.Notice.Leaving:
		return nil
	case report.Busy:
		return func() { t.planner.accepted(id, time.Now()) }
	}
	now := t.opts.Clock.Now()
	if t.tracker.Remaining(now) <= minRemaining || now.Before(t.noOrdersBefore) {
		return nil
	}
	term := t.tracker.Record.Lease.Term
	outcome, notice, err := t.opts.Engines.Load(ctx, e.target.Address, platform.LoadOrder{
		Target: id, Model: e.model, Version: e.wanted, Holder: t.opts.Self.ID, Term: term, ExpectedOrders: report.Orders,
	})
	t.opts.OnNotice(e.target.Incarnation(), notice)
	_ = t.opts.Log.Log("msg", "load order sent", "target", id, "model", e.model, "version", e.wanted, "has", e.current,
		"term", term, "after", report.Orders, "outcome", outcome, "err", err)
	return func() { t.recordOutcome(e, outcome) }
}

// recordOutcome records the outcome of an order.
func (t *Task) recordOutcome(e engine, outcome platform.OrderOutcome) {
	id := e.target.ID
	switch outcome {
	case platform.OrderAccepted:
		t.planner.accepted(id, time.Now())
	case platform.OrderUnknown:
		t.planner.outcomeUnknown(id, time.Now())
	case platform.OrderAlreadyLoaded:
		t.opts.OnVersion(e.target, e.model, e.wanted)
	case platform.OrderRefused:
		t.planner.failed(id, time.Now())
	case platform.OrderFenced:
		t.planner.failed(id, time.Now())
		t.tracker.MarkLost()
	}
}

// pollReport reads the progress of an engine. It returns a function that records
// the result.
func (t *Task) pollReport(ctx context.Context, e engine) func() {
	id := e.target.ID
	report, err := t.report(ctx, e)
	switch {
	case err != nil:
		return func() { t.planner.failed(id, time.Now()) }
	case report.Weights[e.model] >= e.wanted:
		return func() { t.planner.completed(id, time.Now()) }
	case report.Busy || time.Since(t.planner.orders[id].since) < maxReportAge:
		// A report that shows the engine idle may be older than the order.
		return func() { t.planner.pending(id, time.Now()) }
	}
	return func() { t.planner.removeIncomplete(id) }
}

func (t *Task) report(ctx context.Context, e engine) (platform.EngineReport, error) {
	r, err := t.opts.Engines.Report(ctx, e.target.ID, e.target.Address)
	t.opts.OnNotice(e.target.Incarnation(), r.Notice)
	if err != nil {
		_ = t.opts.Log.Log("msg", "engine report failed", "target", e.target.ID, "err", err)
		return r, err
	}
	for model, version := range r.Weights {
		t.opts.OnVersion(e.target, model, version)
	}
	return r, nil
}
