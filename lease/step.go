package lease

import (
	"time"

	"github.com/baobabdyke/baobabdyke/invariant"
)

// An Event is what a process wants of a record: Take, Extend or Give.
type Event interface{ event() }

// Take asks for the lease. Gone tells that the holder in the record has lapsed
// or has provably ended. Data replaces the record's data if it is not nil.
type Take struct {
	Self       Holder
	TTL        time.Duration
	Nonce      string
	HolderGone bool
	Data       []byte
}

// Extend asks to go on holding the lease under a term.
type Extend struct {
	Self  Holder
	Term  int64
	Nonce string
	Data  []byte
}

// Give hands the lease back.
type GiveBack struct {
	Self  Holder
	Term  int64
	Nonce string
	Data  []byte
}

func (Take) event()     {}
func (Extend) event()   {}
func (GiveBack) event() {}

// An Effect is what a step asks for: Write, Refuse or Keep.
type Effect interface{ effect() }

// Write asks for a conditional update of the record that the step was given.
type Write struct{ Lease Lease }

// Refuse reports that another process holds the lease.
type Refuse struct{}

// Keep reports that nothing is to be written, since nobody holds the lease.
type NoChange struct{}

func (Write) effect()    {}
func (Refuse) effect()   {}
func (NoChange) effect() {}

// Step returns what an event asks for, given the record as it was read.
func Step(r Record, e Event) Effect {
	switch e := e.(type) {
	case Take:
		return take(r.Lease, e)
	case Extend:
		return extend(r.Lease, e)
	case GiveBack:
		return give(r.Lease, e)
	}
	panic("lease: unknown event")
}

func take(l Lease, e Take) Effect {
	if l.HeldBy(e.Self) {
		return write(l, l, e.Nonce, e.Data)
	}
	if l.Holder != "" && !e.HolderGone && !restarted(l, e.Self) {
		return Refuse{}
	}
	next := l
	next.Holder = e.Self.ID
	next.Incarnation = e.Self.Incarnation
	next.TTL = e.TTL
	next.Term++
	return write(l, next, e.Nonce, e.Data)
}

func extend(l Lease, e Extend) Effect {
	if !l.HeldBy(e.Self) || l.Term != e.Term {
		return Refuse{}
	}
	return write(l, l, e.Nonce, e.Data)
}

func give(l Lease, e GiveBack) Effect {
	if l.Holder == "" {
		return NoChange{}
	}
	if !l.HeldBy(e.Self) || l.Term != e.Term {
		return Refuse{}
	}
	next := l
	next.Holder = ""
	next.Incarnation = 0
	return write(l, next, e.Nonce, e.Data)
}

// restarted tells whether the holder is an earlier incarnation of this process,
// which has ended since this one runs.
func restarted(l Lease, self Holder) bool {
	return l.Holder == self.ID && l.Incarnation < self.Incarnation
}

// write returns the write of next over l, and asserts what must hold of it.
func write(l, next Lease, nonce string, data []byte) Effect {
	next.Nonce = nonce
	if data != nil {
		next.Data = data
	}
	moved := next.Holder != "" && (next.Holder != l.Holder || next.Incarnation != l.Incarnation)
	if moved {
		invariant.Check(next.Term == l.Term+1, "lease-term-grows", "duty %s: term %d after %d", l.Name, next.Term, l.Term)
	} else {
		invariant.Check(next.Term == l.Term, "lease-term-kept", "duty %s: term %d after %d", l.Name, next.Term, l.Term)
	}
	invariant.Check(nonce != "" && nonce != l.Nonce, "lease-nonce-new", "duty %s: nonce %q", l.Name, nonce)
	return Write{Lease: next}
}
