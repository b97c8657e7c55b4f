// Package lease gives duties that one VM at a time should hold, by conditional
// updates with terms that only grow. A term serves as the fencing number.
//
// A lease with a Length lapses when it is not renewed. A lease without one is a
// slot: it changes hands only when its holder gives it back or has provably
// ended.
package lease

import (
	"time"

	"github.com/baobabdyke/baobabdyke/store"
)

// Prefix is the start of the object keys of duties.
const Prefix = "lease/"

// Key returns the object key of a duty.
func Key(duty string) string { return Prefix + duty }

// A Holder is one process that may hold leases.
type Holder struct {
	ID          string
	Incarnation uint64
}

// A Lease is one duty as the object API holds it. Holder is empty when it is
// free. Term grows with every change of holder. Nonce identifies one write, so
// that a write whose answer was lost can be recognised.
type Lease struct {
	Name        string        `json:"duty"`
	Holder      string        `json:"holder"`
	Incarnation uint64        `json:"incarnation"`
	Term        int64         `json:"term"`
	TTL         time.Duration `json:"length"`
	Nonce       string        `json:"nonce"`
	// Data belongs to the user of the lease; a change of holder keeps it.
	Data []byte `json:"data,omitempty"`
}

// HeldBy tells whether the lease is held by that very process.
func (l Lease) HeldBy(h Holder) bool {
	return l.Holder != "" && l.Holder == h.ID && l.Incarnation == h.Incarnation
}

// A Record is a lease with the version of its object. The version of a lease
// that was never written is store.MustNotExist.
type Record struct {
	Lease   Lease
	Version int64
}

// A Result is the outcome of an Acquire, Renew or Release: Held, Taken, Free,
// NotSent or Unsure.
type Result interface{ result() }

// Held reports that the caller holds the lease, by a write that was sent after
// the call began.
type Held struct{ Record Record }

// Taken reports that another process holds the lease.
type Taken struct{ Record Record }

// Free reports that nobody holds the lease.
type Free struct{ Record Record }

// NotSent reports that the object API could not be asked, and that nothing was
// written.
type NotSent struct{ Err error }

// Unsure reports a write that may have taken effect or may still do so. The
// caller must not act as the holder; a later Acquire of the same process finds
// out.
type Unknown struct{ Err error }

func (Held) result()    {}
func (Taken) result()   {}
func (Free) result()    {}
func (NotSent) result() {}
func (Unknown) result() {}

// NewRecord returns the record of a duty that was never held.
func NewRecord(duty string) Record {
	return Record{Lease: Lease{Name: duty}, Version: store.MustNotExist}
}
