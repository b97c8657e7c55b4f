package rollout

import (
	"context"
	"errors"
	"fmt"
	"slices"
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
		t.heldTerm = r.Lease.Term
		t.setLease(true, r.Lease.Term)
	}
}

// mayOrder acquires or renews the lease if this VM is responsible for the rollout,
// and reports whether it may send orders.
func (t *Task) mayOrder(ctx context.Context) bool {
	now := t.opts.Clock.Now()
	members := t.opts.Members()
	if t.awaitsReturn(now) || !t.responsible(members) {
		return false
	}
	if t.tracker.Remaining(now) < renewBefore && now.Sub(t.lastClaim) >= claimInterval {
		t.lastClaim = now
		t.claim(ctx, now)
	}
	now = t.opts.Clock.Now()
	t.returnLease(ctx, members, now)
	return t.tracker.Remaining(now) > minRemaining && t.noOrdersBefore.Sub(now) < drainTimeout
}

// responsible reports whether this VM should send the orders: it holds the lease,
// or no live VM holds it and it was returned to this VM, or this VM's id is the
// lowest of the ready VMs that have not yielded the term.
func (t *Task) responsible(members []*roster.Member) bool {
	now := time.Now()
	lowest := t.opts.Self.ID
	held, term := t.leaseTerm()
	returnedTo := returnedTo(members, now)
	for _, m := range members {
		if !m.Alive(now) {
			continue
		}
		// A VM that is shutting down keeps sending orders, and continues after its
		// restart: a new holder would have to wait for the HandoverDelay.
		if m.Entry.Duty.Held && (!held || m.Entry.Duty.Term > term) {
			return false
		}
		if m.Entry.VM == returnedTo && !held {
			return false
		}
		if m.Entry.State != roster.Ready {
			continue
		}
		if m.Entry.Duty.Yielded == 0 || m.Entry.Duty.Yielded < term {
			lowest = min(lowest, m.Entry.VM)
		}
	}
	return held || returnedTo == t.opts.Self.ID || lowest >= t.opts.Self.ID
}

// returnedTo returns the VM to which a live VM has returned the lease, or "".
func returnedTo(members []*roster.Member, now time.Time) string {
	for i := range members {
		if d := &members[i].Entry.Duty; d.ReturnedTo != "" && members[i].Alive(now) {
			return d.ReturnedTo
		}
	}
	return ""
}

func (t *Task) leaseTerm() (bool, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.held, t.term
}

// claim acquires or renews the lease.
func (t *Task) claim(ctx context.Context, now time.Time) {
	previous := t.tracker.Record
	var r lease.Result
	if t.tracker.Remaining(now) > 0 {
		var data []byte
		if !now.Before(t.noOrdersBefore) {
			data = []byte{}
		}
		r = lease.Renew(ctx, t.opts.Store, "", t.tracker.Record, data)
	}
	if r == nil || isRestored(r) {
		r = lease.Acquire(ctx, t.opts.Store, lease.Request{
			Name: leaseName, Self: t.opts.Self, TTL: leaseTTL, Data: []byte(waiting),
			HolderGone: func(rec lease.Record) bool {
				previous = rec
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
	r := lease.Replace(ctx, t.opts.Store, lease.Request{Name: leaseName, Self: t.opts.Self, TTL: leaseTTL, Data: []byte(waiting)}, version, term+corruptTermStep)
	if held, ok := r.(lease.Held); ok {
		t.acquired(held.Record, lease.Record{Version: version}, now)
		return
	}
	_ = t.opts.Log.Log("msg", "corrupt rollout lease record not replaced", "version", version, "outcome", fmt.Sprintf("%T", r))
}

// yield announces to other VMs that this one sends no more orders under its term, or
// that it does not take over from the holder of a term. It does so if the store does not
// respond to this VM, once its own lease has expired.
func (t *Task) yield() {
	held, term := t.leaseTerm()
	switch {
	case t.tracker.Remaining(t.opts.Clock.Now()) > 0:
	case held:
		t.giveUp(term, "")
	default:
		t.passOn(max(term, 1))
	}
}

// passOn leaves it to other VMs to take over from the holder of a term.
func (t *Task) passOn(term int64) {
	t.mu.Lock()
	changed := t.yielded < term
	t.yielded = max(t.yielded, term)
	t.mu.Unlock()
	if changed {
		_ = t.opts.Log.Log("msg", "rollout lease left to other VMs", "term", term)
		t.opts.OnStatusChange()
	}
}

// giveUp gives up a term, and returns the lease to a VM unless its id is empty.
func (t *Task) giveUp(term int64, returnedTo string) {
	t.tracker.MarkLost()
	t.mu.Lock()
	t.held, t.yielded, t.returnedTo = false, term, returnedTo
	t.mu.Unlock()
	_ = t.opts.Log.Log("msg", "rollout lease yielded", "term", term, "to", returnedTo)
	t.opts.OnStatusChange()
}

// returnLease releases the lease for the VM that held it before, if that VM is up again
// and this one is yet to wait for most of the HandoverDelay. Since this VM has sent no
// order, the other continues without a delay.
func (t *Task) returnLease(ctx context.Context, members []*roster.Member, now time.Time) {
	if t.replaced.Holder == "" || t.tracker.Remaining(now) <= 0 || t.noOrdersBefore.Sub(now) < drainTimeout {
		return
	}
	i := slices.IndexFunc(members, func(m *roster.Member) bool {
		holder := lease.Holder{ID: m.Entry.VM, Incarnation: uint64(m.Entry.Born)}
		return t.replaced.HeldBy(holder) && m.Alive(time.Now()) && m.Entry.State == roster.Ready && m.Entry.Duty.Yielded < t.replaced.Term
	})
	if i < 0 {
		return
	}
	t.replaced = lease.Lease{}
	switch r := lease.Release(ctx, t.opts.Store, "", t.tracker.Record, nil).(type) {
	case lease.Free, lease.Unknown:
		t.returnedAt = now
		t.giveUp(t.heldTerm, members[i].Entry.VM)
	case lease.Taken:
		t.lost(r.Record)
	}
}

// awaitsReturn reports whether this VM has returned the lease and leaves it to the
// other VM to acquire it.
func (t *Task) awaitsReturn(now time.Time) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.returnedTo != "" && now.Sub(t.returnedAt) > returnTimeout {
		t.returnedTo = ""
	}
	return t.returnedTo != ""
}

// isReturned reports whether a lease was released without an order, directly after this
// VM's own. A lease is released for no other reason.
func (t *Task) isReturned(l lease.Lease) bool {
	return l.Holder == "" && l.Term > 1 && l.Term == t.heldTerm+1
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

// unchangedSince returns a time after the last restore of the object store since which a
// record that was replaced just now is known not to have changed.
func (t *Task) unchangedSince(replaced lease.Record, now time.Time) time.Time {
	if t.opts.LastRestore == nil {
		return now
	}
	seen, age := t.opts.LastRestore()
	if store.Era(seen) != store.Era(replaced.Version) || replaced.Version > seen {
		return now
	}
	return now.Add(-age)
}

// isWaiting reports whether an earlier incarnation of this VM holds a lease and may
// still have had to wait for the orders of the holder before.
func (t *Task) isWaiting(l lease.Lease) bool {
	return l.Holder == t.opts.Self.ID && l.Incarnation != t.opts.Self.Incarnation && string(l.Data) == waiting
}

// acquired records that this VM holds the lease by a write that began at started.
func (t *Task) acquired(r lease.Record, previous lease.Record, started time.Time) {
	held, term := t.leaseTerm()
	if !held || term != r.Lease.Term {
		now := t.opts.Clock.Now()
		restored := store.Era(r.Lease.Term) > store.Era(previous.Lease.Term)
		// A released record of a restored store proves nothing about later terms.
		returned := !restored && t.isReturned(previous.Lease)
		t.replaced = lease.Lease{}
		if previous.Lease.Holder != t.opts.Self.ID && r.Lease.Term == previous.Lease.Term+1 && !returned {
			t.replaced = previous.Lease
		}
		switch {
		case restored && held && t.isUninterrupted(now), returned:
		case restored, t.isWaiting(previous.Lease):
			// The restored object store does not show a holder that acquired the lease
			// after the copy was made, and may have renewed it until the restore.
			t.noOrdersBefore = t.unchangedSince(previous, now).Add(leaseTTL + t.opts.HandoverDelay())
		case r.Lease.Term > 1 && (previous.Lease.Holder != t.opts.Self.ID || r.Lease.Term == t.yielded):
			// The previous holder may have sent an order just before its lease expired,
			// and another VM may have acquired the lease after this VM yielded the term.
			t.noOrdersBefore = now.Add(t.opts.HandoverDelay())
		}
		_ = t.opts.Log.Log("msg", "rollout lease acquired", "term", r.Lease.Term, "before", previous.Lease.Holder,
			"restored", restored, "wait", max(t.noOrdersBefore.Sub(now), 0))
	}
	t.heldTerm = r.Lease.Term
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
	if held {
		t.yielded = 0
	}
	t.mu.Unlock()
	if changed {
		t.opts.OnStatusChange()
	}
}
