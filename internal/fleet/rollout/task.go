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
	duty = "orders"
	// leaseDuration is the time to live of the lease. It is short since a rollout
	// takes seconds.
	leaseLength = 2 * time.Second
	// renewBefore is the remaining validity of the lease below which it is renewed.
	renewLeft = 900 * time.Millisecond
	// minValidity is the remaining validity of the lease that is required to send
	// an order: the time within which the engine must have received the order.
	orderLeft = 500 * time.Millisecond
	// planInterval is the time between two planning rounds.
	tick = 50 * time.Millisecond
	// claimInterval is the shortest time between two attempts to acquire or renew
	// the lease.
	askPause = 400 * time.Millisecond
	// garbledDurations is the number of lease durations for which a garbled record
	// must stay unchanged before it is replaced.
	garbledLengths = 2
	// garbledTermStep is added to the highest known term when a garbled record is
	// replaced. Fewer terms than this can have been given without this VM being
	// informed, since each term takes a VM seconds.
	garbledTerms = 1 << 20
)

// Engines is the client of the engines' control calls.
type Engines interface {
	Report(ctx context.Context, target, address string) (platform.EngineReport, error)
	Load(ctx context.Context, address string, o platform.LoadOrder) (platform.OrderOutcome, error)
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
	Members       func() []roster.Member
	// Version and Running return the version of a model on an engine and the
	// number of requests running on the engine, as far as this VM knows.
	Version func(t *site.Target, model string) int64
	Running func(t *site.Target) int
	// Unreachable reports whether an engine accepts no connections; such an engine
	// is sent no order.
	Unreachable func(t *site.Target) bool
	// Suspect reports whether an engine may not answer.
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
	// yielded is the last term that this VM has given up: it sends no more orders
	// under it.
	yielded int64

	// The following fields are used only by the goroutine that calls Run.
	watch  lease.Tracker
	asked  time.Time
	quiet  time.Time
	orders *book
	// garbled is the version of a lease record that cannot be decoded, and when
	// that version was first read.
	garbled struct {
		version int64
		since   time.Time
	}
}

// NewTask returns a Task that does not hold the lease.
func NewTask(o Options) *Task {
	return &Task{opts: o, watch: lease.Tracker{Self: o.Self, TTL: leaseLength}, orders: newBook()}
}

// LeaseStatus returns the status of the lease as it is sent to other VMs.
func (t *Task) LeaseStatus() roster.LeaseStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	return roster.LeaseStatus{Held: t.held, Term: t.term, Yielded: t.yielded, Busy: slices.Clone(t.busy)}
}

// Run sends load orders whenever this VM is entitled to, until ctx ends.
func (t *Task) Run(ctx context.Context) error {
	t.recall(ctx)
	for store.Sleep(ctx, tick) {
		lagging, pool := t.lagging()
		if len(lagging) == 0 || !t.entitled(ctx) {
			t.rest()
			continue
		}
		t.carryOut(ctx, t.orders.plan(lagging, pool, time.Now()))
		t.publish(t.orders.busy())
	}
	return nil
}

// clearOrders drops all orders of a VM that is not to send any.
func (t *Task) rest() {
	clear(t.orders.orders)
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
		if s == nil || s.Engine == nil || target.Leaving {
			continue
		}
		p.engines++
		p.running += t.opts.Running(target)
		if t.opts.Unreachable(target) {
			p.dark++
			continue
		}
		for _, model := range s.Engine.Models {
			has, wants := t.opts.Version(target, model), v.Weights.Latest(model)
			if has < wants {
				since, _ := v.Weights.SupersededAt(model, has)
				lagging = append(lagging, engine{
					target: target, model: model, has: has, wants: wants, since: since,
					running: t.opts.Running(target), suspect: t.opts.Suspect(target),
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
func (t *Task) carryOut(ctx context.Context, steps []step) {
	t.publish(t.orders.busy())
	notes := make([]func(), len(steps))
	var wg sync.WaitGroup
	for i, s := range steps {
		switch s := s.(type) {
		case announce:
			wg.Go(func() { notes[i] = t.check(ctx, s.engine) })
		case instruct:
			wg.Go(func() { notes[i] = t.instruct(ctx, s.engine) })
		case ask:
			wg.Go(func() { notes[i] = t.ask(ctx, s.engine) })
		}
	}
	wg.Wait()
	for _, note := range notes {
		if note != nil {
			note()
		}
	}
}

// check calls an engine that is being drained, so that an engine that does not
// answer is not drained in vain. It returns a function that records the result.
func (t *Task) check(ctx context.Context, e engine) func() {
	report, err := t.report(ctx, e)
	switch {
	case err != nil:
		return func() { t.orders.failed(e.target.ID, time.Now()) }
	case report.Busy:
		return func() { t.orders.accepted(e.target.ID, time.Now()) }
	}
	return nil
}

// sendOrder reads the number of orders that the engine has accepted and sends the
// order on condition that the number has not changed since. It returns a function
// that records the result.
func (t *Task) instruct(ctx context.Context, e engine) func() {
	id := e.target.ID
	report, err := t.report(ctx, e)
	switch {
	case err != nil:
		return func() { t.orders.failed(id, time.Now()) }
	case report.Weights[e.model] >= e.wants:
		return nil
	case report.Busy:
		return func() { t.orders.accepted(id, time.Now()) }
	}
	now := t.opts.Clock.Now()
	if t.watch.Remaining(now) <= orderLeft || now.Before(t.quiet) {
		return nil
	}
	term := t.watch.Record.Lease.Term
	outcome, err := t.opts.Engines.Load(ctx, e.target.Address, platform.LoadOrder{
		Target: id, Model: e.model, Version: e.wants, Holder: t.opts.Self.ID, Term: term, ExpectedOrders: report.Orders,
	})
	_ = t.opts.Log.Log("msg", "load order sent", "target", id, "model", e.model, "version", e.wants, "has", e.has,
		"term", term, "after", report.Orders, "outcome", outcome, "err", err)
	return func() { t.instructed(e, outcome) }
}

// recordOutcome records the outcome of an order.
func (t *Task) instructed(e engine, outcome platform.OrderOutcome) {
	id := e.target.ID
	switch outcome {
	case platform.OrderAccepted:
		t.orders.accepted(id, time.Now())
	case platform.OrderUnknown:
		t.orders.doubted(id, time.Now())
	case platform.OrderAlreadyLoaded:
		t.opts.OnVersion(e.target, e.model, e.wants)
	case platform.OrderRefused:
		t.orders.failed(id, time.Now())
	case platform.OrderFenced:
		t.orders.failed(id, time.Now())
		t.watch.MarkLost()
	}
}

// pollReport reads the progress of an engine. It returns a function that records
// the result.
func (t *Task) ask(ctx context.Context, e engine) func() {
	id := e.target.ID
	report, err := t.report(ctx, e)
	switch {
	case err != nil:
		return func() { t.orders.failed(id, time.Now()) }
	case report.Weights[e.model] >= e.wants:
		return func() { t.orders.done(id, time.Now()) }
	case report.Busy || time.Since(t.orders.orders[id].since) < reportLag:
		// A report that shows the engine idle may be older than the order.
		return func() { t.orders.pending(id, time.Now()) }
	}
	return func() { t.orders.finished(id) }
}

func (t *Task) report(ctx context.Context, e engine) (platform.EngineReport, error) {
	r, err := t.opts.Engines.Report(ctx, e.target.ID, e.target.Address)
	if err != nil {
		_ = t.opts.Log.Log("msg", "engine report failed", "target", e.target.ID, "err", err)
		return r, err
	}
	for model, version := range r.Weights {
		t.opts.OnVersion(e.target, model, version)
	}
	return r, nil
}
