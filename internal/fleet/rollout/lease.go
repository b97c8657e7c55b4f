package rollout

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/store"
)

// recoverLease checks whether an earlier incarnation of this VM held the lease. If
// so, this VM continues under it at once.
func (t *Task) recoverLease(ctx context.Context) {
	r, err := lease.Read(ctx, t.opts.Store, lease.Key(leaseName), leaseName)
	if err != nil {
		_ = t.opts.Log.Log("msg", "read of rollout lease failed", "err", err)
		return
	}
	t.tracker.Observe(r, t.opts.Clock.Now())
	if r.Lease.Holder == t.opts.Self.ID {
		t.setLease(true, r.Lease.Term)
	}
}

// mayOrder acquires or renews the lease if this VM is responsible for the rollout,
// and reports whether it may send orders.
func (t *Task) mayOrder(ctx context.Context) bool {
	if !t.responsible() {
		return false
	}
	now := t.opts.Clock.Now()
	if t.tracker.Remaining(now) < renewBefore && now.Sub(t.lastClaim) >= claimInterval {
		t.lastClaim = now
		t.claim(ctx, now)
	}
	now = t.opts.Clock.Now()
	return t.tracker.Remaining(now) > minRemaining && t.noOrdersBefore.Sub(now) < drainTimeout
}

// responsible reports whether this VM should send the orders: it holds the lease,
// or no live VM holds it and this VM's id is the lowest of the ready VMs that
// have not yielded the term.
func (t *Task) responsible() bool {
	now := time.Now()
	lowest := t.opts.Self.ID
	held, term := t.leaseTerm()
	for _, m := range t.opts.Members() {
		if !m.Alive(now) {
			continue
		}
		// A VM that is shutting down keeps sending orders, and continues after its
		// restart: a new holder would have to wait for the HandoverDelay.
		if m.Entry.Duty.Held && (!held || m.Entry.Duty.Term > term) {
			return false
		}
		if m.Entry.State != roster.Ready {
			continue
		}
		if m.Entry.Duty.Yielded == 0 || m.Entry.Duty.Yielded < term {
			lowest = min(lowest, m.Entry.VM)
		}
	}
	return held || lowest >= t.opts.Self.ID
}

func (t *Task) leaseTerm() (bool, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held, t.term
}

// claim acquires or renews the lease.
func (t *Task) claim(ctx context.Context, now time.Time) {
	previous := t.tracker.Record.Lease
	var r lease.Result
	if t.tracker.Remaining(now) > 0 {
		r = lease.Renew(ctx, t.opts.Store, "", t.tracker.Record, nil)
	}
	if r == nil || isRestored(r) {
		r = lease.Acquire(ctx, t.opts.Store, lease.Request{
			Name: leaseName, Self: t.opts.Self, TTL: leaseTTL,
			HolderGone: func(rec lease.Record) bool {
				previous = rec.Lease
				return t.succeeds(rec) || t.hasYielded(rec) || t.expired(rec)
			},
		})
	}
	switch r := r.(type) {
	case lease.Held:
		t.acquired(r.Record, previous, now)
	case lease.Taken:
		t.lost(r.Record)
	case lease.Free:
		t.lost(r.Record)
	case lease.NotSent:
		_ = t.opts.Log.Log("msg", "request for rollout lease not sent", "err", r.Err)
		t.yield()
		var corrupt *lease.CorruptError
		if errors.As(r.Err, &corrupt) {
			t.replaceCorrupt(ctx, corrupt.Version)
		}
	case lease.Unknown:
		// A lease that is held stays valid until it expires.
		_ = t.opts.Log.Log("msg", "rollout lease state unknown", "err", r.Err)
		t.yield()
	}
}

// expired reports whether the lease in a record has expired. VMs write no other length
// than leaseTTL, so that another one says nothing about the holder.
func (t *Task) expired(r lease.Record) bool {
	if r.Lease.TTL != leaseTTL {
		r.Lease.TTL = corruptTTLs * leaseTTL
	}
	return t.tracker.Expired(r, t.opts.Clock.Now())
}

// isRestored reports whether a renewal failed because the object store was restored
// from an older copy.
func isRestored(r lease.Result) bool {
	switch r := r.(type) {
	case lease.Taken:
		return r.Record.IsRestored()
	case lease.Free:
		return r.Record.IsRestored()
	}
	return false
}

// succeeds reports whether the lease of a restored record ended before this VM
// acquired the lease that no other VM has held since.
func (t *Task) succeeds(r lease.Record) bool {
	held, term := t.leaseTerm()
	return held && t.isUninterrupted(t.opts.Clock.Now()) && r.IsRestored() && r.Lease.Term <= term
}

// isUninterrupted reports whether no other VM can have acquired the lease before a
// restore of the object store since this VM wrote it last: the others wait for longer
// than the TTL. It uses the monotonic or the wall clock, as lease.Tracker does.
func (t *Task) isUninterrupted(now time.Time) bool {
	since := max(now.Sub(t.lastHeld), now.Round(0).Sub(t.lastHeld.Round(0)))
	return since < leaseTTL
}

// replaceCorrupt acquires the lease by overwriting a corrupt record, once the
// record has been unchanged for so long that the lease of any previous holder has
// expired and its last order has arrived.
func (t *Task) replaceCorrupt(ctx context.Context, version int64) {
	now := t.opts.Clock.Now()
	if t.corrupt.version != version {
		t.corrupt.version, t.corrupt.since = version, now
	}
	if now.Sub(t.corrupt.since) < corruptTTLs*leaseTTL+t.opts.HandoverDelay() {
		return
	}
	_, term := t.leaseTerm()
	for _, m := range t.opts.Members() {
		term = max(term, m.Entry.Duty.Term)
	}
	r := lease.Replace(ctx, t.opts.Store, lease.Request{Name: leaseName, Self: t.opts.Self, TTL: leaseTTL}, version, term+corruptTermStep)
	if held, ok := r.(lease.Held); ok {
		t.acquired(held.Record, lease.Lease{}, now)
		return
	}
	_ = t.opts.Log.Log("msg", "corrupt rollout lease record not replaced", "version", version, "outcome", fmt.Sprintf("%T", r))
}

// yield announces to other VMs that this one sends no more orders under its term.
// It does so once the lease has expired and the store does not respond to this VM.
func (t *Task) yield() {
	held, term := t.leaseTerm()
	if !held || t.tracker.Remaining(t.opts.Clock.Now()) > 0 {
		return
	}
	t.tracker.MarkLost()
	t.mu.Lock()
	t.held, t.yielded = false, term
	t.mu.Unlock()
	_ = t.opts.Log.Log("msg", "rollout lease yielded", "term", term)
	t.opts.OnStatusChange()
}

// hasYielded reports whether the holder of a record has announced that it sends
// no more orders under its term.
func (t *Task) hasYielded(r lease.Record) bool {
	for _, m := range t.opts.Members() {
		if m.Entry.VM == r.Lease.Holder && uint64(m.Entry.Born) == r.Lease.Incarnation {
			return m.Entry.Duty.Yielded >= r.Lease.Term
		}
	}
	return false
}

// acquired records that this VM holds the lease by a write that began at started.
func (t *Task) acquired(r lease.Record, previous lease.Lease, started time.Time) {
	held, term := t.leaseTerm()
	if !held || term != r.Lease.Term {
		now := t.opts.Clock.Now()
		restored := store.Era(r.Lease.Term) > store.Era(previous.Term)
		switch {
		case restored && held && t.isUninterrupted(now):
		case restored:
			// The restored object store does not show a holder that acquired the lease
			// after the copy was made, and may have renewed it until the restore.
			t.noOrdersBefore = now.Add(leaseTTL + t.opts.HandoverDelay())
		case r.Lease.Term > 1 && (previous.Holder != t.opts.Self.ID || r.Lease.Term == t.yielded):
			// The previous holder may have sent an order just before its lease expired,
			// and another VM may have acquired the lease after this VM yielded the term.
			t.noOrdersBefore = now.Add(t.opts.HandoverDelay())
		}
		_ = t.opts.Log.Log("msg", "rollout lease acquired", "term", r.Lease.Term, "before", previous.Holder,
			"restored", restored, "wait", max(t.noOrdersBefore.Sub(now), 0))
	}
	t.tracker.MarkHeld(r, started)
	t.lastHeld = started
	t.setLease(true, r.Lease.Term)
}

func (t *Task) lost(r lease.Record) {
	if held, _ := t.leaseTerm(); held {
		_ = t.opts.Log.Log("msg", "rollout lease lost", "term", r.Lease.Term, "holder", r.Lease.Holder)
	}
	t.tracker.MarkLost()
	t.tracker.Observe(r, t.opts.Clock.Now())
	t.setLease(false, r.Lease.Term)
}

func (t *Task) setLease(held bool, term int64) {
	t.mu.Lock()
	changed := t.held != held || t.term != term
	t.held, t.term = held, term
	t.mu.Unlock()
	if changed {
		t.opts.OnStatusChange()
	}
}
