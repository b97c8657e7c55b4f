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
	// duty is the name of the lease.
	duty = "orders"
	// leaseLength is the time to live of the lease; a rollout takes seconds.
	leaseLength = 2 * time.Second
	// renewLeft is the right to act below which the lease is renewed.
	renewLeft = 900 * time.Millisecond
	// orderLeft is the right to act that an order needs: the time in which the
	// engine must have received it.
	orderLeft = 500 * time.Millisecond
	// tick is the time between two looks at the engines.
	tick = 50 * time.Millisecond
	// askPause is the pause between two questions for the lease.
	askPause = 400 * time.Millisecond
	// garbledLengths is the lengths of the lease for which a garbled record must
	// stand unchanged before it is replaced.
	garbledLengths = 2
	// garbledTerms is added to the highest term that is known when a record is
	// replaced; fewer were given unheard of, since each takes a VM seconds.
	garbledTerms = 1 << 20
)

// Engines makes the calls to engines.
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
	// Quiet is the time between the last order of one VM and the first of another.
	HandoverDelay func() time.Duration
	View          func() *source.View
	Members       func() []roster.Member
	// Version and Running tell what this VM knows of an engine.
	Version func(t *site.Target, model string) int64
	Running func(t *site.Target) int
	// Dark tells that an engine takes no connections, so that there is no use in
	// ordering it now.
	Unreachable func(t *site.Target) bool
	// Suspect tells that an engine may not answer.
	Suspect func(t *site.Target) bool
	// Saw takes the versions that engines report.
	OnVersion func(t *site.Target, model string, version int64)
	// Told is called when what Duty returns has changed.
	OnStatusChange func()
}

// A Task gives the orders while it holds the lease.
type Task struct {
	opts Options

	// mu guards what queries read.
	mu   sync.Mutex
	busy []string
	held bool
	term int64
	// yielded is the last term under which this VM will give no more orders.
	yielded int64

	// What follows belongs to Run.
	watch  lease.Tracker
	asked  time.Time
	quiet  time.Time
	orders *book
	// garbled is the version of a record that cannot be read, and when it was
	// first met.
	garbled struct {
		version int64
		since   time.Time
	}
}

// NewTask returns a Task that holds nothing.
func NewTask(o Options) *Task {
	return &Task{opts: o, watch: lease.Tracker{Self: o.Self, TTL: leaseLength}, orders: newBook()}
}

// Duty returns what other VMs are told.
func (t *Task) LeaseStatus() roster.LeaseStatus {
	t.mu.Lock()
	defer t.mu.Unlock()
	return roster.LeaseStatus{Held: t.held, Term: t.term, Yielded: t.yielded, Busy: slices.Clone(t.busy)}
}

// Run gives orders whenever they are this VM's to give, until ctx ends.
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

// rest ends the orders of a VM that has none to give.
func (t *Task) rest() {
	clear(t.orders.orders)
	t.publish(nil)
}

// lagging returns the engines whose weights have been overtaken, and the pool that
// they belong to.
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

// publish replaces the set of engines that are about to carry out an order.
func (t *Task) publish(busy []string) {
	t.mu.Lock()
	changed := !slices.Equal(t.busy, busy)
	t.busy = busy
	t.mu.Unlock()
	if changed {
		t.opts.OnStatusChange()
	}
}

// carryOut makes the calls of all steps at the same time and then takes in what
// came of them.
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

// check finds out whether an engine that is being emptied answers, so that no
// time is lost on one that does not. It returns what is to be noted.
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

// instruct reads the number of orders that the engine has accepted and gives
// the order under the condition that there was no other since. It returns what
// is to be noted.
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
	_ = t.opts.Log.Log("msg", "order", "target", id, "model", e.model, "version", e.wants, "has", e.has,
		"term", term, "after", report.Orders, "outcome", outcome, "err", err)
	return func() { t.instructed(e, outcome) }
}

// instructed notes the outcome of an order.
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

// ask reads how far an engine is. It returns what is to be noted.
func (t *Task) ask(ctx context.Context, e engine) func() {
	id := e.target.ID
	report, err := t.report(ctx, e)
	switch {
	case err != nil:
		return func() { t.orders.failed(id, time.Now()) }
	case report.Weights[e.model] >= e.wants:
		return func() { t.orders.done(id, time.Now()) }
	case report.Busy || time.Since(t.orders.orders[id].since) < reportLag:
		// A report that says idle may be older than the order.
		return func() { t.orders.pending(id, time.Now()) }
	}
	return func() { t.orders.finished(id) }
}

func (t *Task) report(ctx context.Context, e engine) (platform.EngineReport, error) {
	r, err := t.opts.Engines.Report(ctx, e.target.ID, e.target.Address)
	if err != nil {
		_ = t.opts.Log.Log("msg", "engine not asked", "target", e.target.ID, "err", err)
		return r, err
	}
	for model, version := range r.Weights {
		t.opts.OnVersion(e.target, model, version)
	}
	return r, nil
}
