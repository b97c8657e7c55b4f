package rollout

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/lease"
)

// recall finds out whether an earlier start of this VM held the duty, which it
// may then go on with at once.
func (t *Task) recall(ctx context.Context) {
	r, err := lease.Read(ctx, t.opts.Store, lease.Key(duty), duty)
	if err != nil {
		_ = t.opts.Log.Log("msg", "lease not read", "err", err)
		return
	}
	t.watch.Observe(r, t.opts.Clock.Now())
	if r.Lease.Holder == t.opts.Self.ID {
		t.setDuty(true, r.Lease.Term)
	}
}

// entitled makes sure of the lease if orders are this VM's to give.
func (t *Task) entitled(ctx context.Context) bool {
	if !t.mine() {
		return false
	}
	now := t.opts.Clock.Now()
	if t.watch.Remaining(now) < renewLeft && now.Sub(t.asked) >= askPause {
		t.asked = now
		t.claim(ctx, now)
	}
	now = t.opts.Clock.Now()
	return t.watch.Remaining(now) > orderLeft && t.quiet.Sub(now) < emptyTime
}

// mine tells whether this VM should give the orders: it has the duty, or nobody
// alive has and this VM comes first.
func (t *Task) mine() bool {
	now := time.Now()
	first := t.opts.Self.ID
	held, term := t.holding()
	for _, m := range t.opts.Members() {
		if !m.Alive(now) {
			continue
		}
		// A VM that is about to stop goes on giving orders, and again after its
		// restart, since nobody else has to wait for its last order then.
		if m.Entry.Duty.Held && (!held || m.Entry.Duty.Term > term) {
			return false
		}
		if m.Entry.State != roster.Ready {
			continue
		}
		if m.Entry.Duty.Yielded == 0 || m.Entry.Duty.Yielded < term {
			first = min(first, m.Entry.VM)
		}
	}
	return held || first >= t.opts.Self.ID
}

func (t *Task) holding() (bool, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held, t.term
}

// claim takes or renews the lease.
func (t *Task) claim(ctx context.Context, now time.Time) {
	before := t.watch.Record.Lease
	var r lease.Result
	if t.watch.Remaining(now) > 0 {
		r = lease.Renew(ctx, t.opts.Store, "", t.watch.Record, nil)
	} else {
		r = lease.Acquire(ctx, t.opts.Store, lease.Request{
			Name: duty, Self: t.opts.Self, TTL: leaseLength,
			HolderGone: func(rec lease.Record) bool { return t.watch.Expired(rec, t.opts.Clock.Now()) || t.gaveUp(rec) },
		})
	}
	switch r := r.(type) {
	case lease.Held:
		t.won(r.Record, before, now)
	case lease.Taken:
		t.lost(r.Record)
	case lease.Free:
		t.lost(r.Record)
	case lease.NotSent:
		_ = t.opts.Log.Log("msg", "lease not asked for", "err", r.Err)
		t.yield()
		var garbled *lease.CorruptError
		if errors.As(r.Err, &garbled) {
			t.replace(ctx, garbled.Version)
		}
	case lease.Unknown:
		// The right to act that is held ends by itself.
		_ = t.opts.Log.Log("msg", "lease unsure", "err", r.Err)
		t.yield()
	}
}

// replace takes the lease over a garbled record that has stood for so long that
// whoever held it has lapsed and its last order has arrived.
func (t *Task) replace(ctx context.Context, version int64) {
	now := t.opts.Clock.Now()
	if t.garbled.version != version {
		t.garbled.version, t.garbled.since = version, now
	}
	if now.Sub(t.garbled.since) < garbledLengths*leaseLength+t.opts.HandoverDelay() {
		return
	}
	_, term := t.holding()
	for _, m := range t.opts.Members() {
		term = max(term, m.Entry.Duty.Term)
	}
	r := lease.Replace(ctx, t.opts.Store, lease.Request{Name: duty, Self: t.opts.Self, TTL: leaseLength}, version, term+garbledTerms)
	if held, ok := r.(lease.Held); ok {
		t.won(held.Record, lease.Lease{}, now)
		return
	}
	_ = t.opts.Log.Log("msg", "garbled lease not replaced", "version", version, "outcome", fmt.Sprintf("%T", r))
}

// yield tells other VMs that this one gives no more orders under its term, once
// its right to act is over and the store does not answer it.
func (t *Task) yield() {
	held, term := t.holding()
	if !held || t.watch.Remaining(t.opts.Clock.Now()) > 0 {
		return
	}
	t.watch.MarkLost()
	t.mu.Lock()
	t.held, t.yielded = false, term
	t.mu.Unlock()
	_ = t.opts.Log.Log("msg", "duty of orders yielded", "term", term)
	t.opts.OnStatusChange()
}

// gaveUp tells whether the holder of a record has told that it gives no more
// orders under it.
func (t *Task) gaveUp(r lease.Record) bool {
	for _, m := range t.opts.Members() {
		if m.Entry.VM == r.Lease.Holder && uint64(m.Entry.Born) == r.Lease.Incarnation {
			return m.Entry.Duty.Yielded >= r.Lease.Term
		}
	}
	return false
}

// won notes that this VM holds the lease by a write that was begun at asked.
func (t *Task) won(r lease.Record, before lease.Lease, asked time.Time) {
	held, term := t.holding()
	if !held || term != r.Lease.Term {
		if r.Lease.Term > 1 && (before.Holder != t.opts.Self.ID || r.Lease.Term == t.yielded) {
			// An order of the holder before may have been sent as its right ended, and
			// another VM may take over a term that was given up.
			t.quiet = t.opts.Clock.Now().Add(t.opts.HandoverDelay())
		}
		_ = t.opts.Log.Log("msg", "duty of orders taken", "term", r.Lease.Term, "before", before.Holder)
	}
	t.watch.MarkHeld(r, asked)
	t.setDuty(true, r.Lease.Term)
}

func (t *Task) lost(r lease.Record) {
	if held, _ := t.holding(); held {
		_ = t.opts.Log.Log("msg", "duty of orders lost", "term", r.Lease.Term, "holder", r.Lease.Holder)
	}
	t.watch.MarkLost()
	t.watch.Observe(r, t.opts.Clock.Now())
	t.setDuty(false, r.Lease.Term)
}

func (t *Task) setDuty(held bool, term int64) {
	t.mu.Lock()
	changed := t.held != held || t.term != term
	t.held, t.term = held, term
	t.mu.Unlock()
	if changed {
		t.opts.OnStatusChange()
	}
}
