// Package store is the boundary to the operators' own platform: its
// versioned object API, its list of VMs and its clock. No other package knows
// a path or a field name of the platform's protocols.
package store

import (
	"context"
	"errors"
)

// MaxValueBytes is the largest value that the object API stores.
const MaxValueBytes = 1 << 20

// MustNotExist is the expected version of a Put that creates an object.
const MustNotExist int64 = 0

// ErrNotFound reports that no object has the requested key.
var ErrNotFound = errors.New("object not found")

// ErrUnavailable reports that the object API could not be asked: it is down,
// too slow, or the caller's budget of calls is spent. Reads wrap it.
var ErrUnavailable = errors.New("object API unavailable")

// An Object is one value of the object API. Versions grow with every write to
// any object of the store, and are never reused.
type Object struct {
	Key     string
	Version int64
	Value   []byte
}

// An Event is one change that a watch saw. Deleted events carry the key and
// the version of the deletion only.
type Event struct {
	Object  Object
	Deleted bool
}

// A Store is the platform's object API. Every method costs one call, and a
// waiting Watch counts as one.
type Store interface {
	// Get returns one object, ErrNotFound, or an error wrapping ErrUnavailable.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose key starts with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes value if the object's version is still expect; MustNotExist
	// expects that there is no object.
	Put(ctx context.Context, key string, value []byte, expect int64) WriteResult
	// Delete removes the object if its version is still expect.
	Delete(ctx context.Context, key string, expect int64) WriteResult
	// Watch sends changes later than version after of keys that start with
	// prefix. The channel closes when ctx ends or the watch breaks.
	Watch(ctx context.Context, prefix string, after int64) (<-chan Event, error)
}

// A WriteResult is the outcome of a conditional update: Done, Conflict,
// NotSent or Unknown.
type WriteResult interface{ writeResult() }

// Done reports a write that took effect.
type Done struct{ Version int64 }

// Conflict reports a write that had no effect because the object's version is
// Current, which is MustNotExist for an absent object.
type Conflict struct{ Current int64 }

// NotSent reports a write that provably had no effect: it was not sent, or the
// object API refused to take it.
type NotSent struct{ Err error }

// Unknown reports a write that may have taken effect: its answer was lost. The
// writer resolves it by reading back an id that it put into the value.
type Unknown struct{ Err error }

func (Done) writeResult()     {}
func (Conflict) writeResult() {}
func (NotSent) writeResult()  {}
func (Unknown) writeResult()  {}
