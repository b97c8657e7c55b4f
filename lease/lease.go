// Package lease implements leases that at most one VM holds at a time. They are
// stored in the object store and changed by conditional updates, with terms that
// only increase. A term serves as the fencing token.
//
// A lease with a TTL expires unless it is renewed. A lease without one is a slot:
// its holder changes only when the holder releases it or has certainly ended.
package lease

import (
	"time"

	"github.com/baobabdyke/baobabdyke/store"
)

// Prefix is the prefix of the object keys of leases.
const Prefix = "lease/"

// Key returns the object key of the lease with the given name.
func Key(name string) string { return Prefix + name }

// A Holder identifies a process that may hold leases.
type Holder struct {
	ID          string
	Incarnation uint64
}

// A Lease is a lease as stored in the object store. Holder is empty if the lease is
// free. Term is incremented with every new holder. Nonce identifies one write, so
// that a write whose response was lost can be recognised. The JSON names are those of
// stored records.
type Lease struct {
	Name        string        `json:"duty"`
	Holder      string        `json:"holder"`
	Incarnation uint64        `json:"incarnation"`
	Term        int64         `json:"term"`
	TTL         time.Duration `json:"length"`
	Nonce       string        `json:"nonce"`
	// Data is defined by the user of the lease. It is kept when the holder changes.
	Data []byte `json:"data,omitempty"`
}

// HeldBy reports whether the lease is held by exactly that process.
func (l Lease) HeldBy(h Holder) bool {
	return l.Holder != "" && l.Holder == h.ID && l.Incarnation == h.Incarnation
}

// A Record is a lease and the version of its object. The version of a lease that
// was never written is store.MustNotExist, or its equivalent in the store's era.
type Record struct {
	Lease   Lease
	Version int64
}

// IsRestored reports whether the lease is of an earlier era of the object store than
// its object. Writes after it may be lost, and terms above it may have been held.
func (r Record) IsRestored() bool { return store.Era(r.Lease.Term) < store.Era(r.Version) }

// nextTerm returns the term of the next holder. After a restore it is the version of
// the record, which is above all terms of earlier eras and of takings in this one
// whose record was overwritten.
func (r Record) nextTerm() int64 {
	if r.IsRestored() {
		return r.Version
	}
	return r.Lease.Term + 1
}

// A Result is the outcome of an Acquire, Renew or Release: Held, Taken, Free,
// NotSent or Unknown.
type Result interface{ result() }

// Held reports that the caller holds the lease by a write that was sent after the
// start of the call.
type Held struct{ Record Record }

// Taken reports that another process holds the lease.
type Taken struct{ Record Record }

// Free reports that no process holds the lease.
type Free struct{ Record Record }

// NotSent reports that nothing was written, for example because the object store
// could not be reached.
type NotSent struct{ Err error }

// Unknown reports a write that may have taken effect or may still do so. The
// caller must not act as the holder; a later Acquire by the same process
// determines who holds the lease.
type Unknown struct{ Err error }

func (Held) result()    {}
func (Taken) result()   {}
func (Free) result()    {}
func (NotSent) result() {}
func (Unknown) result() {}

// NewRecord returns the record of a lease that was never held.
func NewRecord(name string) Record { return newRecord(name, store.MustNotExist) }

// newRecord returns the record of a lease that does not exist, with the version to
// expect for its creation.
func newRecord(name string, version int64) Record {
	return Record{Lease: Lease{Name: name}, Version: version}
}
