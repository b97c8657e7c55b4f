package lease

import (
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
)

// An Event is a request of a process for a change of a record: Take, Extend or
// GiveBack.
type Event interface{ event() }

// Take requests the lease. HolderGone reports whether the lease in the record has
// expired or its holder has certainly ended. Data replaces the data of the record
// if it is not nil.
type Take struct {
	Self       Holder
	TTL        time.Duration
	Nonce      string
	HolderGone bool
	Data       []byte
}

// Extend requests to keep the lease under the given term.
type Extend struct {
	Self  Holder
	Term  int64
	Nonce string
	Data  []byte
}

// GiveBack requests the release of the lease.
type GiveBack struct {
	Self  Holder
	Term  int64
	Nonce string
	Data  []byte
}

func (Take) event()     {}
func (Extend) event()   {}
func (GiveBack) event() {}

// An Effect is the result of Step: Write, Refuse or NoChange.
type Effect interface{ effect() }

// Write requests a conditional update of the record that was passed to Step.
type Write struct{ Lease Lease }

// Refuse reports that another process holds the lease.
type Refuse struct{}

// NoChange reports that nothing needs to be written, since no process holds the
// lease.
type NoChange struct{}

func (Write) effect()    {}
func (Refuse) effect()   {}
func (NoChange) effect() {}

// Step returns the effect of an event on the record as it was read.
func Step(r Record, e Event) Effect {
	switch e := e.(type) {
	case Take:
		return take(r, e)
	case Extend:
		return extend(r, e)
	case GiveBack:
		return giveBack(r, e)
	}
	panic("lease: unknown event")
}

func take(r Record, e Take) Effect {
	l := r.Lease
	if l.HeldBy(e.Self) && !r.IsRestored() {
		return write(r, l, e.Nonce, e.Data)
	}
	if l.Holder != "" && !e.HolderGone && !l.HeldBy(e.Self) && !restarted(l, e.Self) {
		return Refuse{}
	}
	next := l
	next.Holder = e.Self.ID
	next.Incarnation = e.Self.Incarnation
	next.TTL = e.TTL
	next.Term = r.nextTerm()
	return write(r, next, e.Nonce, e.Data)
}

func extend(r Record, e Extend) Effect {
	if !r.Lease.HeldBy(e.Self) || r.Lease.Term != e.Term || r.IsRestored() {
		return Refuse{}
	}
	return write(r, r.Lease, e.Nonce, e.Data)
}

func giveBack(r Record, e GiveBack) Effect {
	l := r.Lease
	if l.Holder == "" {
		return NoChange{}
	}
	if !l.HeldBy(e.Self) || l.Term != e.Term || r.IsRestored() {
		return Refuse{}
	}
	next := l
	next.Holder = ""
	next.Incarnation = 0
	return write(r, next, e.Nonce, e.Data)
}

// restarted reports whether the holder is an earlier incarnation of this process,
// which must have ended as this one is running.
func restarted(l Lease, self Holder) bool {
	return l.Holder == self.ID && l.Incarnation < self.Incarnation
}

// write returns the Write that replaces the record's lease by next, and asserts its
// invariants.
func write(r Record, next Lease, nonce string, data []byte) Effect {
	l := r.Lease
	next.Nonce = nonce
	if data != nil {
		next.Data = data
	}
	moved := next.Holder != "" && (next.Holder != l.Holder || next.Incarnation != l.Incarnation)
	if moved || r.IsRestored() {
		invariant.Check(next.Term == r.nextTerm(), "lease-term-grows", "lease %s: term %d after %d in version %d", l.Name, next.Term, l.Term, r.Version)
	} else {
		invariant.Check(next.Term == l.Term, "lease-term-kept", "lease %s: term %d after %d", l.Name, next.Term, l.Term)
	}
	invariant.Check(nonce != "" && nonce != l.Nonce, "lease-nonce-new", "lease %s: nonce %q is empty or reused", l.Name, nonce)
	return Write{Lease: next}
}
