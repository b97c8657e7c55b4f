// Package store defines the interfaces to the operators' own platform: its
// versioned object store, its list of VMs and its clock. It also implements the
// object store and the list over HTTP and in memory. The paths and field names of
// this HTTP API are defined only here; other packages use the constants and types
// of this one.
package store

import (
	"context"
	"errors"
)

// MaxValueBytes is the size of the largest value that the object store accepts.
const MaxValueBytes = 1 << 20

// MustNotExist is the expected version of a Put that creates an object.
const MustNotExist int64 = 0

// ErrNotFound is returned when no object has the requested key.
var ErrNotFound = errors.New("object not found")

// ErrUnavailable is wrapped by the errors of reads that got no usable response:
// the object store is down or too slow, or this VM's budget of calls is spent.
var ErrUnavailable = errors.New("object API unavailable")

// An Object is one value in the object store. Versions increase with every write
// to any object of the store, and are never reused, also if the store is restored
// from an older copy (see Era).
type Object struct {
	Key     string
	Version int64
	Value   []byte
}

// An Event is one change of an object. For a deletion, only the key and the
// version of the deletion are set.
type Event struct {
	Object  Object
	Deleted bool
}

// A Store is the platform's object store. Each method makes one call; a Watch
// counts as one however long it is open.
type Store interface {
	// Get returns one object, ErrNotFound, or an error wrapping ErrUnavailable. With
	// ErrNotFound, the version of the object is that to expect for its creation in
	// the present era.
	Get(ctx context.Context, key string) (Object, error)
	// List returns the objects whose key starts with prefix, sorted by key.
	List(ctx context.Context, prefix string) ([]Object, error)
	// Put writes value if the object's version is still expect, or if there is no
	// object and expect is MustNotExist or the version that Get returned with
	// ErrNotFound. Done may report a version of a later era than that of expect: the
	// store was restored, and what the write replaced is not what the writer knew.
	Put(ctx context.Context, key string, value []byte, expect int64) WriteResult
	// Delete removes the object if its version is still expect.
	Delete(ctx context.Context, key string, expect int64) WriteResult
	// Watch sends the changes after version after of keys that start with
	// prefix. The channel is closed when ctx ends or the watch fails.
	Watch(ctx context.Context, prefix string, after int64) (<-chan Event, error)
}

// A WriteResult is the outcome of a conditional update: Done, Conflict,
// NotSent or Unknown.
type WriteResult interface{ writeResult() }

// A Done is the result of a write that took effect.
type Done struct{ Version int64 }

// A Conflict is the result of a write that had no effect because the object's
// version is Current, whose revision is 0 if there is no object.
type Conflict struct{ Current int64 }

// A NotSent is the result of a write that provably had no effect: it was not
// sent, or the object store rejected it.
type NotSent struct{ Err error }

// An Unknown is the result of a write that may have taken effect, since its
// response was lost. The writer can resolve it by reading back an id that it
// wrote as part of the value.
type Unknown struct{ Err error }

func (Done) writeResult()     {}
func (Conflict) writeResult() {}
func (NotSent) writeResult()  {}
func (Unknown) writeResult()  {}
