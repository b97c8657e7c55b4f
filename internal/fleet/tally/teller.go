package tally

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-kit/log"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/logs/logline"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// CallTotals is the call that reports amounts to a relay, from a VM or from another relay.
// It returns the total of the fleet to a VM, and the sum of those that report to the
// receiver to a relay. Request and response are of type Report.
const CallTotals = "/tally/Totals"

const (
	// callTimeout bounds one report.
	callTimeout = 500 * time.Millisecond
	// maxFailures is the number of calls in a row to which a relay did not respond after
	// which it is not used for relayRetry. A single call may be lost.
	maxFailures = 2
	relayRetry  = 5 * time.Second
)

// TellerOptions are the parameters of a Teller.
type TellerOptions struct {
	VM     string
	Born   int64
	Peers  peer.Caller
	Clock  store.Clock
	Log    log.Logger
	Relays func() roster.Relays
	// Needed reports whether the fleet is so large that totals are needed.
	Needed func() bool
	// Levels returns the levels of the customers' buckets with the given total of the fleet,
	// which is that of this VM as a relay. It may be nil.
	Levels func(total Report) map[string]int64
	// Report returns what this VM has admitted, and OnTotal is called with the total of the
	// fleet that a relay returned for a report that was sent at the given time.
	Report  func() Report
	OnTotal func(relay string, total, reported Report, sent time.Time)
}

// A Teller exchanges the amounts that VMs of a large fleet admit.
type Teller struct {
	opts TellerOptions

	mu     sync.Mutex
	tally  *Tally
	sender Sender
	// failures holds the relays that did not respond to the last call.
	failures map[string]failure
}

// A failure is a relay that did not respond to the last calls, and when it did not.
type failure struct {
	calls int
	at    time.Time
}

// NewTeller returns a Teller of a VM that starts now.
func NewTeller(o TellerOptions) *Teller {
	return &Teller{opts: o, tally: NewTally(o.Born), failures: map[string]failure{}}
}

// Register registers the handler of CallTotals.
func (t *Teller) Register(r peer.Registrar) {
	peer.Handle(r, CallTotals, func(_ context.Context, from string, in Report) (Report, error) {
		total := t.record(from, in)
		if in.VMs == 0 && in.Seq > 0 && !in.IsKnownTo(t.opts.Born) && t.opts.Levels != nil {
			total.Levels = t.opts.Levels(total)
		}
		return total, nil
	})
}

// record records a report of a VM or of another relay, and returns the total of the fleet or
// the sum of those that report to this one.
func (t *Teller) record(from string, in Report) Report {
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.opts.Clock.Now()
	t.tally.Record(from, in, now)
	if in.VMs > 0 {
		return t.tally.Group(now)
	}
	return t.tally.Fleet(now)
}

// Run reports what this VM admits until ctx ends, while the fleet needs it.
func (t *Teller) Run(ctx context.Context) error {
	for store.Sleep(ctx, Period*3/4+rand.N(Period/2)) {
		if !t.opts.Needed() {
			continue
		}
		if r := t.opts.Relays(); r.Self {
			t.tellRelays(ctx, r.Others)
		} else if to, ok := t.choose(r.Local); ok {
			t.report(ctx, to)
		}
	}
	return nil
}

// own returns what this VM has admitted, for a relay.
func (t *Teller) own(relay string, now time.Time) Report {
	r := t.opts.Report()
	r.Born = t.opts.Born
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.sender.Complete(r, relay, now)
}

// acknowledge records that a relay has counted a report of this VM.
func (t *Teller) acknowledge(r Report, relay string, born int64, sent time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.sender.Acknowledge(r, relay, born, sent)
}

// choose returns the first relay that is usable.
func (t *Teller) choose(relays []peer.Destination) (peer.Destination, bool) {
	for _, d := range relays {
		if t.usable(d) {
			return d, true
		}
	}
	return peer.Destination{}, false
}

// usable reports whether a relay has not failed lately.
func (t *Teller) usable(relay peer.Destination) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	f := t.failures[relay.VM]
	return f.calls < maxFailures || time.Since(f.at) >= relayRetry
}

// report reports to a relay and applies the totals that it returns.
func (t *Teller) report(ctx context.Context, to peer.Destination) {
	sent := t.opts.Clock.Now()
	own := t.own(to.VM, sent)
	if total, ok := t.call(ctx, to, own); ok {
		t.acknowledge(own, to.VM, total.Born, sent)
		t.opts.OnTotal(to.VM, total, own, sent)
	}
}

// tellRelays exchanges sums with the other relays and applies the totals known here.
func (t *Teller) tellRelays(ctx context.Context, others []peer.Destination) {
	now := t.opts.Clock.Now()
	own := t.own(t.opts.VM, now)
	t.acknowledge(own, t.opts.VM, t.opts.Born, now)
	t.mu.Lock()
	t.tally.Record(t.opts.VM, own, now)
	group := t.tally.Group(now)
	t.mu.Unlock()
	var wg sync.WaitGroup
	for _, d := range others {
		if t.usable(d) {
			wg.Go(func() { t.exchange(ctx, d, group) })
		}
	}
	wg.Wait()
	t.mu.Lock()
	total := t.tally.Fleet(t.opts.Clock.Now())
	t.mu.Unlock()
	t.opts.OnTotal(t.opts.VM, total, own, now)
}

// exchange tells another relay the sum of those that report to this one.
func (t *Teller) exchange(ctx context.Context, to peer.Destination, group Report) {
	sent := t.opts.Clock.Now()
	sum, ok := t.call(ctx, to, group)
	if !ok || sum.VMs == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tally.Record(to.VM, sum, sent)
}

// call reports to a relay and takes note of whether it responds.
func (t *Teller) call(ctx context.Context, to peer.Destination, r Report) (resp Report, ok bool) {
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	err := t.opts.Peers.Call(ctx, to, CallTotals, r, &resp)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err != nil {
		calls := t.failures[to.VM].calls + 1
		t.failures[to.VM] = failure{calls, time.Now()}
		if calls == maxFailures {
			_ = t.opts.Log.Log("msg", "relay gives no totals", "relay", to.VM, "err", logline.ErrorText(err))
		}
		return Report{}, false
	}
	if t.failures[to.VM].calls >= maxFailures {
		_ = t.opts.Log.Log("msg", "relay gives totals again", "relay", to.VM)
	}
	delete(t.failures, to.VM)
	return resp, true
}
