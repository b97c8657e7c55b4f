package lease

import (
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
)

// Divisors of the TTL of a lease.
const (
	// marginDivisor gives the time before the end of the TTL at which a holder
	// stops acting, as a safety margin.
	marginDivisor = 5
	// driftDivisor gives the time that other processes wait beyond the TTL, to
	// allow for clocks that run at different speeds.
	driftDivisor = 10
	// renewDivisor gives the time between two renewals.
	renewDivisor = 4
)

// A Tracker tracks one lease from the point of view of one process: the record as
// last read or written, and until when the process may act as the holder. All times
// are from its own clock; no process relies on the clock of another.
type Tracker struct {
	Self   Holder
	TTL    time.Duration
	Record Record
	// FirstSeen is when the current version of the record was first seen.
	FirstSeen time.Time
	// ValidUntil is the end of the right to act; zero if the lease is not held.
	ValidUntil time.Time
}

// Observe records a record that was read at the time now. A new version restarts
// the wait for the expiry of the lease.
func (t *Tracker) Observe(r Record, now time.Time) {
	if t.FirstSeen.IsZero() || r.Version != t.Record.Version {
		t.Record = r
		t.FirstSeen = now
	}
}

// Expired reports whether the lease in r has expired: the record has had the same
// version for longer than its holder may act on it.
func (t *Tracker) Expired(r Record, now time.Time) bool {
	t.Observe(r, now)
	if r.Lease.TTL <= 0 {
		return false
	}
	return now.Sub(t.FirstSeen) > r.Lease.TTL+r.Lease.TTL/driftDivisor
}

// MarkHeld records a successful write as the holder that was requested at the time
// sentAt. The right to act starts then, not when the response arrived.
func (t *Tracker) MarkHeld(r Record, sentAt time.Time) {
	invariant.Check(r.Lease.HeldBy(t.Self), "lease-won-by-self", "lease %s is held by %s", r.Lease.Name, r.Lease.Holder)
	invariant.Check(r.Lease.Term >= t.Record.Lease.Term, "lease-term-monotonic",
		"lease %s: term %d after %d", r.Lease.Name, r.Lease.Term, t.Record.Lease.Term)
	t.Record = r
	t.FirstSeen = sentAt
	t.ValidUntil = sentAt.Add(r.Lease.TTL - r.Lease.TTL/marginDivisor)
}

// MarkLost records that the process does not hold the lease.
func (t *Tracker) MarkLost() { t.ValidUntil = time.Time{} }

// Remaining returns how long after now the process may act as the holder. It uses
// the monotonic or the wall clock, whichever has advanced further, since the
// monotonic clock may stop while the VM is paused.
func (t *Tracker) Remaining(now time.Time) time.Duration {
	if t.ValidUntil.IsZero() {
		return 0
	}
	left := min(t.ValidUntil.Sub(now), t.ValidUntil.Round(0).Sub(now.Round(0)))
	return max(left, 0)
}

// Held reports whether the process has written itself as the holder and has not
// seen another holder since. It may act only while Remaining is positive.
func (t *Tracker) Held() bool { return !t.ValidUntil.IsZero() }
