package lease

import (
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
)

// Fractions of a lease's length.
const (
	// marginPart is the part of the length that a holder stops early.
	marginPart = 5
	// driftPart is the part of the length that a successor waits longer, for
	// clocks that run at different speeds.
	driftPart = 10
	// renewPart is the part of the length between two renewals.
	renewPart = 4
)

// A Watch is what one process knows of one duty: the record as it last saw it,
// and until when it may act as the holder. Times are of its own clock only; no
// process relies on the clock of another.
type Tracker struct {
	Self   Holder
	TTL    time.Duration
	Record Record
	// Seen is when the record was first seen in its present version.
	FirstSeen time.Time
	// Until ends the right to act; it is zero when the duty is not held.
	ValidUntil time.Time
}

// Observe notes a record that was read at now. A version that was not seen
// before starts the wait for a lapse anew.
func (w *Tracker) Observe(r Record, now time.Time) {
	if w.FirstSeen.IsZero() || r.Version != w.Record.Version {
		w.Record = r
		w.FirstSeen = now
	}
}

// Lapsed tells whether the holder of r has let its lease lapse: the record has
// stood in one version for longer than the holder may act on it.
func (w *Tracker) Expired(r Record, now time.Time) bool {
	w.Observe(r, now)
	if r.Lease.TTL <= 0 {
		return false
	}
	return now.Sub(w.FirstSeen) > r.Lease.TTL+r.Lease.TTL/driftPart
}

// Won notes a write as the holder that was asked for at a time. The right to
// act counts from then, not from when the answer came.
func (w *Tracker) MarkHeld(r Record, asked time.Time) {
	invariant.Check(r.Lease.HeldBy(w.Self), "lease-won-by-self", "duty %s is held by %s", r.Lease.Name, r.Lease.Holder)
	invariant.Check(r.Lease.Term >= w.Record.Lease.Term, "lease-term-monotonic",
		"duty %s: term %d after %d", r.Lease.Name, r.Lease.Term, w.Record.Lease.Term)
	w.Record = r
	w.FirstSeen = asked
	w.ValidUntil = asked.Add(r.Lease.TTL - r.Lease.TTL/marginPart)
}

// Lost notes that the process does not hold the duty.
func (w *Tracker) MarkLost() { w.ValidUntil = time.Time{} }

// Left is for how long after now the process may act as the holder. It counts
// by the monotonic clock and by the wall clock, whichever has run on further,
// since the monotonic clock of a machine may stand still while it is paused.
func (w *Tracker) Remaining(now time.Time) time.Duration {
	if w.ValidUntil.IsZero() {
		return 0
	}
	left := min(w.ValidUntil.Sub(now), w.ValidUntil.Round(0).Sub(now.Round(0)))
	return max(left, 0)
}

// Held tells whether the process wrote itself as the holder and has not learnt
// of its loss. It may act only while Left is positive.
func (w *Tracker) Held() bool { return !w.ValidUntil.IsZero() }
