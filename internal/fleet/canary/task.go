package canary

import (
	"context"
	"encoding/json"
	"errors"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/store"
)

// Kind is the kind of the records of orders, which are named by service.
const Kind = "canaries"

const (
	// leaseName is the name of the lease in the object store.
	leaseName = "canary"
	// leaseTTL is the time to live of the lease. It is short since an order takes seconds.
	leaseTTL = 2 * time.Second
	// renewBefore is the remaining time of the lease below which it is renewed, and
	// claimInterval the shortest time between two requests for it.
	renewBefore   = time.Second
	claimInterval = 500 * time.Millisecond
	// rankDelay is how much longer each further VM waits before it requests the lease.
	rankDelay = 1200 * time.Millisecond
	// tickInterval is the time between two checks of the orders.
	tickInterval = 200 * time.Millisecond
	// writeInterval is the shortest time between two attempts to write a record or a
	// status that were not successful.
	writeInterval = 300 * time.Millisecond
	// recordInterval is the time between two writes of the record of an order in progress,
	// from which VMs that all start again learn the time since the order.
	recordInterval = 2 * time.Second
	// maxClockGap is the longest time that wall clocks show between a write and a read of a
	// record and that is believed.
	maxClockGap = 30 * time.Second
	// lateMargin is added to the longest time of a request, after which a VM that is not
	// heard from has none in flight. It covers what the VM sent after its last update.
	lateMargin = time.Second
)

// TaskOptions are the parameters of a Task.
type TaskOptions struct {
	Self  lease.Holder
	Gate  *Gate
	Store store.Store
	Clock store.Clock
	Log   log.Logger
	View  func() *source.View
	// OrdersAge returns how long ago the orders in the view were known to be complete.
	OrdersAge func() time.Duration
	// Peers returns the other VMs.
	Peers func() []Peer
	// Serves reports whether this VM serves, and StoreFailing whether the store does not
	// respond to it.
	Serves       func() bool
	StoreFailing func() bool
	// UpdateDelay returns how long an update takes to reach the other VMs.
	UpdateDelay func() time.Duration
	// OnChange is called when the other VMs should know of a change at once.
	OnChange func()
	// Key returns the key of the object that holds the order for a service, and
	// WithStatus its value with another status.
	Key        func(service string) string
	Decode     func(service string, value []byte) *site.Order
	WithStatus func(value []byte, s site.OrderStatus) ([]byte, error)
}

// A Task decides on the stages of orders while this VM holds the lease.
type Task struct {
	opts TaskOptions
	held atomic.Bool

	// The following fields are used only by the goroutine that calls Run.
	tracker   lease.Tracker
	lastClaim time.Time
	// idleSince is since when there is work and no VM is known to hold the lease.
	idleSince time.Time
	records   map[string]*recordState
	// corrupt is the version of a lease record that cannot be decoded, and when it was
	// first read.
	corrupt struct {
		version int64
		since   time.Time
	}
	// invalidSince is since when an order has named a service without configuration.
	invalidSince map[string]time.Time
}

// A Record is the state of an order as kept in the object store. It is changed by
// conditional writes of the holder of the lease only: a new holder writes its term first,
// so that a former one cannot change it any more.
type Record struct {
	Order uint64 `json:"order,string"`
	Round int64  `json:"round"`
	Stage Stage  `json:"stage"`
	Term  int64  `json:"term"`
	// ElapsedMS is the time from the order to the write, and AtMS the wall-clock time of the
	// write.
	ElapsedMS int64  `json:"elapsedMs"`
	AtMS      int64  `json:"atMs"`
	Why       string `json:"why,omitempty"`
	// Started is the version of the order's object after its status was first written; 0
	// before. An object of a later version without a status, in the same era of the store,
	// is a further order.
	Started int64       `json:"started,omitempty"`
	To      string      `json:"to"`
	Totals  RouteCounts `json:"totals"`
}

// orderedAt returns when the order was given, as far as the record shows. The wall clocks of
// VMs may differ, and are not believed beyond maxClockGap.
func (r Record) orderedAt(now time.Time) time.Time {
	elapsed := time.Duration(r.ElapsedMS) * time.Millisecond
	if gap := time.Duration(now.UnixMilli()-r.AtMS) * time.Millisecond; gap > 0 && gap <= maxClockGap {
		elapsed += gap
	}
	return now.Add(-elapsed)
}

// A recordState is a record as last read or written by this VM.
type recordState struct {
	record  Record
	version int64
	known   bool
	// writtenAt is when the record was last written.
	writtenAt time.Time
	retryAt   time.Time
	// statusOf is the version of the order's object whose status is known to be right.
	statusOf int64
}

// NewTask returns a Task that does not hold the lease.
func NewTask(o TaskOptions) *Task {
	return &Task{
		opts: o, tracker: lease.Tracker{Self: o.Self, TTL: leaseTTL}, records: map[string]*recordState{}, invalidSince: map[string]time.Time{},
	}
}

// Update returns what this VM tells the others.
func (t *Task) Update(now time.Time) Update {
	return Update{Holder: t.held.Load(), Reports: t.opts.Gate.Reports(now)}
}

// Run applies the view, and decides on the stages whenever this VM holds the lease, until
// ctx ends.
func (t *Task) Run(ctx context.Context) error {
	for store.Sleep(ctx, tickInterval) {
		t.Sync(time.Now())
		pending := t.pending()
		if len(pending) == 0 {
			// Other VMs do not wait for one that no longer renews the lease.
			t.idleSince = time.Time{}
			t.updateHeld()
			continue
		}
		if !t.mayDecide(ctx) {
			continue
		}
		for _, name := range pending {
			t.work(ctx, name)
		}
	}
	if t.held.Load() {
		ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), releaseTimeout)
		defer cancel()
		lease.Release(ctx, t.opts.Store, "", t.tracker.Record, nil)
	}
	return nil
}

// releaseTimeout bounds the release of the lease at the end.
const releaseTimeout = 300 * time.Millisecond

// Sync applies the view to the gate.
func (t *Task) Sync(now time.Time) {
	t.opts.Gate.Sync(t.opts.View(), t.opts.OrdersAge(), now)
}

// pending returns the services whose order is not at its end, or whose status does not say
// so.
func (t *Task) pending() []string {
	var out []string
	now := time.Now()
	for name, spec := range t.opts.View().Orders {
		if spec.Invalid != "" {
			if !spec.Status.State.IsTerminal() || spec.Status.To != spec.To {
				out = append(out, name)
			}
			continue
		}
		p, ok := t.opts.Gate.progress(name, now)
		if ok && (!p.stage.IsTerminal() || !spec.IsDone() || stageOf(spec.Status.State) != p.stage) {
			out = append(out, name)
		}
	}
	slices.Sort(out)
	return out
}

// mayDecide acquires or renews the lease if it is this VM's turn, and reports whether it
// holds it.
func (t *Task) mayDecide(ctx context.Context) bool {
	now := t.opts.Clock.Now()
	if t.tracker.Remaining(now) < renewBefore && now.Sub(t.lastClaim) >= claimInterval && t.isTurn(now) {
		t.lastClaim = now
		t.claim(ctx, now)
	}
	return t.updateHeld()
}

// updateHeld reports whether this VM holds the lease, and tells the others if that has changed.
func (t *Task) updateHeld() bool {
	held := t.tracker.Remaining(t.opts.Clock.Now()) > 0
	if t.held.Swap(held) != held {
		if !held {
			clear(t.records)
			_ = t.opts.Log.Log("msg", "canary lease lost", "holder", t.tracker.Record.Lease.Holder)
		}
		t.opts.OnChange()
	}
	return held
}

// isTurn reports whether this VM should request the lease: it holds it, or no other VM does
// and those with lower ids have not taken it for some time.
func (t *Task) isTurn(now time.Time) bool {
	if t.tracker.Remaining(now) > 0 {
		return true
	}
	if !t.opts.Serves() || t.opts.StoreFailing() {
		return false
	}
	before := 0
	for _, p := range t.opts.Peers() {
		if !p.Alive {
			continue
		}
		if p.Update.Holder {
			t.idleSince = time.Time{}
			return false
		}
		if p.Ready && !p.StoreFailing && strings.Compare(p.VM, t.opts.Self.ID) < 0 {
			before++
		}
	}
	if t.idleSince.IsZero() {
		t.idleSince = now
	}
	return now.Sub(t.idleSince) >= time.Duration(before)*rankDelay
}

// claim acquires or renews the lease.
func (t *Task) claim(ctx context.Context, now time.Time) {
	var r lease.Result
	if t.tracker.Remaining(now) > 0 {
		r = lease.Renew(ctx, t.opts.Store, "", t.tracker.Record, nil)
	} else {
		r = lease.Acquire(ctx, t.opts.Store, lease.Request{
			Name: leaseName, Self: t.opts.Self, TTL: leaseTTL,
			HolderGone: func(rec lease.Record) bool {
				// Terms of a store that was restored tell nothing, but records are fenced by
				// their own versions.
				return rec.IsRestored() || t.tracker.Expired(rec, t.opts.Clock.Now())
			},
		})
	}
	switch r := r.(type) {
	case lease.Held:
		if r.Record.Lease.Term != t.tracker.Record.Lease.Term || !t.held.Load() {
			clear(t.records)
			_ = t.opts.Log.Log("msg", "canary lease acquired", "term", r.Record.Lease.Term)
		}
		if r.Record.Lease.Term < t.tracker.Record.Lease.Term {
			t.tracker = lease.Tracker{Self: t.opts.Self, TTL: leaseTTL}
		}
		t.tracker.MarkHeld(r.Record, now)
		t.idleSince = time.Time{}
	case lease.Taken:
		t.tracker.MarkLost()
		t.tracker.Observe(r.Record, t.opts.Clock.Now())
	case lease.Free:
		t.tracker.MarkLost()
		t.tracker.Observe(r.Record, t.opts.Clock.Now())
	case lease.NotSent:
		_ = t.opts.Log.Log("msg", "request for canary lease not sent", "err", r.Err)
		var corrupt *lease.CorruptError
		if errors.As(r.Err, &corrupt) {
			t.replaceCorrupt(ctx, corrupt.Version, now)
		}
	case lease.Unknown:
		_ = t.opts.Log.Log("msg", "canary lease state unknown", "err", r.Err)
	}
}

// replaceCorrupt replaces a lease record that cannot be decoded, once it has been unchanged
// for so long that the lease of any holder has expired.
func (t *Task) replaceCorrupt(ctx context.Context, version int64, now time.Time) {
	if t.corrupt.version != version {
		t.corrupt.version, t.corrupt.since = version, now
	}
	if now.Sub(t.corrupt.since) < 2*leaseTTL {
		return
	}
	// Other VMs cannot have acquired as many terms without this VM being informed.
	term := t.tracker.Record.Lease.Term + 1<<20
	r := lease.Replace(ctx, t.opts.Store, lease.Request{Name: leaseName, Self: t.opts.Self, TTL: leaseTTL}, version, term)
	if held, ok := r.(lease.Held); ok {
		clear(t.records)
		t.tracker.MarkHeld(held.Record, now)
		_ = t.opts.Log.Log("msg", "corrupt canary lease record replaced", "version", version, "term", held.Record.Lease.Term)
	}
}

// work carries on with the order for one service.
func (t *Task) work(ctx context.Context, name string) {
	now := time.Now()
	state := t.records[name]
	if state == nil {
		state = &recordState{}
		t.records[name] = state
	}
	if now.Before(state.retryAt) {
		return
	}
	spec := t.opts.View().Orders[name]
	if spec == nil {
		return
	}
	if reason := t.invalid(name, spec, now); reason != "" {
		if !t.writeStatus(ctx, state, spec, site.OrderStatus{State: site.OrderRolledBack, To: spec.To, Reason: reason}) {
			state.retryAt = time.Now().Add(writeInterval)
		}
		return
	}
	if !t.carryOn(ctx, state, spec, now) {
		state.known, state.retryAt = false, time.Now().Add(writeInterval)
	}
}

// invalid returns why an order cannot be carried out, or "".
func (t *Task) invalid(name string, spec *site.Order, now time.Time) string {
	cfg := t.opts.View().Config
	if spec.Invalid == "" && cfg != nil && cfg.Services[name] == nil {
		// The configuration may name the service soon.
		if t.invalidSince[name].IsZero() {
			t.invalidSince[name] = now
		}
		if now.Sub(t.invalidSince[name]) >= settleTime {
			return "the configuration has no service of this name"
		}
	} else {
		delete(t.invalidSince, name)
	}
	return spec.Invalid
}

// carryOn brings the record, the gate and the status of an order up to date, and begins the
// next stage if it is time. It reports whether all calls of the store were successful.
func (t *Task) carryOn(ctx context.Context, state *recordState, spec *site.Order, now time.Time) bool {
	p, ok := t.opts.Gate.progress(spec.Service, now)
	if !ok {
		return true
	}
	ended := state.known && state.record.Stage.IsTerminal()
	if ended && state.record.Order == p.id && spec.Version < state.statusOf {
		// The view does not show the latest status yet.
		return true
	}
	if (ended || !t.isCurrent(state, p.id)) && !t.takeRecord(ctx, state, spec, p) {
		return false
	}
	rec := state.record
	t.opts.Gate.adopt(spec.Service, rec.Order, rec.Round, rec.Stage, rec.orderedAt(now), "the record in the store", now)
	if !t.writeStatus(ctx, state, spec, statusOf(rec)) {
		return false
	}
	if p, ok = t.opts.Gate.progress(spec.Service, now); !ok || p.id != rec.Order {
		return true
	}
	p.clear = p.oldRunning == 0 && t.areClear(spec.Service, p, now)
	p.updateDelay = t.opts.UpdateDelay()
	d := plan(p.situation)
	if d.stage == rec.Stage {
		if rec.Stage.IsTerminal() || now.Sub(state.writtenAt) < recordInterval {
			return true
		}
		rec.Totals = p.total
		return t.writeRecord(ctx, state, spec.Service, rec, p.since)
	}
	if p.verdict == bad {
		d.reason += ": " + p.why
	}
	next := rec
	next.Stage, next.Why, next.Totals = d.stage, d.reason, p.total
	if !t.writeRecord(ctx, state, spec.Service, next, p.since) {
		return false
	}
	t.opts.Gate.adopt(spec.Service, next.Order, next.Round, next.Stage, now, d.reason, time.Now())
	if d.stage.IsTerminal() {
		return t.writeStatus(ctx, state, spec, statusOf(next))
	}
	return true
}

// isCurrent reports whether the record is that of an order and of this VM's term.
func (t *Task) isCurrent(state *recordState, id uint64) bool {
	return state.known && state.record.Order == id && state.record.Term == t.tracker.Record.Lease.Term
}

// takeRecord reads the record of an order and writes this VM's term into it, or a new one if
// the order is another.
func (t *Task) takeRecord(ctx context.Context, state *recordState, spec *site.Order, p progress) bool {
	var stored Record
	o, err := t.opts.Store.Get(ctx, Kind+"/"+spec.Service)
	switch {
	case errors.Is(err, store.ErrNotFound):
	case err != nil:
		return false
	case json.Unmarshal(o.Value, &stored) != nil:
		_ = t.opts.Log.Log("msg", "canary record replaced", "service", spec.Service, "version", o.Version)
		stored = Record{}
	}
	next := stored
	since := p.since
	switch again, ok := t.isGivenAgain(ctx, spec, stored); {
	case !ok:
		return false
	case stored.Order != p.id || again:
		next = Record{Order: p.id, Round: max(stored.Round, p.round) + 1, To: spec.To}
		if !again && stored.Round < p.round {
			// The store lost the record of this order.
			next.Round, next.Stage = p.round, p.stage
		}
		if again {
			since = time.Now()
		}
	case p.round > stored.Round:
		next.Round, next.Stage = p.round, p.stage
	case p.round == stored.Round && !stored.Stage.IsTerminal():
		next.Stage = max(p.stage, stored.Stage)
	}
	if stored.Order == next.Order && stored.Round == next.Round {
		if at := stored.orderedAt(time.Now()); at.Before(since) {
			since = at
		}
	}
	next.Term = t.tracker.Record.Lease.Term
	state.version = o.Version
	return t.writeRecord(ctx, state, spec.Service, next, since)
}

// isGivenAgain reports whether an order was given again after it had ended, with the same
// spec: its object has no status although that was written before.
func (t *Task) isGivenAgain(ctx context.Context, spec *site.Order, stored Record) (again, ok bool) {
	if stored.Order != orderID(spec) || stored.Started == 0 || !stored.Stage.IsTerminal() {
		return false, true
	}
	o, err := t.opts.Store.Get(ctx, t.opts.Key(spec.Service))
	if errors.Is(err, store.ErrNotFound) {
		return false, true
	}
	if err != nil {
		return false, false
	}
	current := t.opts.Decode(spec.Service, o.Value)
	return current.Status.State == site.OrderNew && o.Version > stored.Started && store.Era(o.Version) == store.Era(stored.Started), true
}

// writeRecord writes a record if the stored one is still that which is known.
func (t *Task) writeRecord(ctx context.Context, state *recordState, name string, rec Record, since time.Time) bool {
	if t.tracker.Remaining(t.opts.Clock.Now()) == 0 {
		return false
	}
	now := time.Now()
	rec.ElapsedMS, rec.AtMS = now.Sub(since).Milliseconds(), now.UnixMilli()
	value, err := json.Marshal(rec)
	if err != nil {
		return false
	}
	done, ok := t.opts.Store.Put(ctx, Kind+"/"+name, value, state.version).(store.Done)
	if !ok || state.version != 0 && store.Era(done.Version) != store.Era(state.version) {
		state.known = false
		return false
	}
	if rec.Stage != state.record.Stage || rec.Round != state.record.Round || !state.known {
		_ = t.opts.Log.Log("msg", "canary record written", "service", name, "to", rec.To, "stage", rec.Stage, "round", rec.Round, "term", rec.Term,
			"why", rec.Why, "elapsed", time.Duration(rec.ElapsedMS)*time.Millisecond, "answers", rec.Totals.New.Answers,
			"failures", rec.Totals.New.Failures, "slow", rec.Totals.New.Slow)
	}
	state.record, state.version, state.known, state.writtenAt = rec, done.Version, true, now
	return true
}

// statusOf returns the status of an order in a stage.
func statusOf(r Record) site.OrderStatus {
	s := site.OrderStatus{State: site.OrderRunning, To: r.To}
	switch r.Stage {
	case Completed:
		s.State = site.OrderCompleted
	case RolledBack:
		s.State, s.Reason = site.OrderRolledBack, r.Why
	case Watching, Quarter, Half, Full:
	}
	return s
}

// writeStatus writes the status of an order if it has another one. It reports whether the
// status is right.
func (t *Task) writeStatus(ctx context.Context, state *recordState, spec *site.Order, want site.OrderStatus) bool {
	if spec.Status.State == want.State && spec.Status.To == want.To || spec.Version <= state.statusOf && state.record.Started != 0 && !want.State.IsTerminal() {
		return true
	}
	key := t.opts.Key(spec.Service)
	o, err := t.opts.Store.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		// The order was withdrawn.
		return true
	}
	if err != nil {
		return false
	}
	current := t.opts.Decode(spec.Service, o.Value)
	switch {
	case current.To != spec.To || current.Duration != spec.Duration || current.Invalid != spec.Invalid:
		// The order was changed since the view.
		return false
	case current.Status.State == want.State && current.Status.To == want.To:
		state.statusOf = o.Version
		return true
	case t.tracker.Remaining(t.opts.Clock.Now()) == 0:
		return false
	}
	value, err := t.opts.WithStatus(o.Value, want)
	if err != nil {
		return false
	}
	done, ok := t.opts.Store.Put(ctx, key, value, o.Version).(store.Done)
	if !ok {
		return false
	}
	state.statusOf = done.Version
	_ = t.opts.Log.Log("msg", "order status written", "service", spec.Service, "to", want.To, "state", stageNameOf(want.State), "reason", want.Reason, "version", done.Version)
	if state.known && state.record.Started == 0 {
		rec := state.record
		rec.Started = done.Version
		state.record = rec
		return t.writeRecord(ctx, state, spec.Service, rec, rec.orderedAt(time.Now()))
	}
	return true
}

// stageNameOf returns the name of a state for the log.
func stageNameOf(s site.OrderState) string {
	switch s {
	case site.OrderCompleted:
		return Completed.String()
	case site.OrderRolledBack:
		return RolledBack.String()
	case site.OrderNew, site.OrderRunning:
	}
	return "running"
}

// areClear reports whether no other VM has requests in flight at old targets, nor sends any.
// A VM that is silent counts as sending until requests that it may have sent before it fell
// silent are over: for as long as any VM has given a request of the service so far.
func (t *Task) areClear(name string, p progress, now time.Time) bool {
	if p.stage != Full {
		return false
	}
	peers := t.opts.Peers()
	longest := p.longest
	for _, peer := range peers {
		if r := peer.Update.report(name); r != nil {
			longest = max(longest, time.Duration(r.LongestMS)*time.Millisecond)
		}
	}
	if longest == 0 {
		longest = t.longestTimeout(name)
	}
	longest += lateMargin
	for _, peer := range peers {
		r := peer.Update.report(name)
		isClear := r != nil && r.Order == p.id && r.Round == p.round && r.Stage == Full && r.OldRunning == 0
		// A VM that was clear sends nothing to old targets afterwards.
		if !isClear && (peer.Alive || now.Sub(peer.Heard) < longest) {
			return false
		}
	}
	return true
}

// longestTimeout returns the longest time that the configuration gives a request to a
// service.
func (t *Task) longestTimeout(name string) (longest time.Duration) {
	cfg := t.opts.View().Config
	if cfg == nil {
		return 0
	}
	for i := range cfg.Routes {
		if slices.ContainsFunc(cfg.Routes[i].Shares, func(s site.Share) bool { return s.Service == name }) {
			longest = max(longest, cfg.Routes[i].Timeout)
		}
	}
	return longest
}
