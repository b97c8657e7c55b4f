package lease

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/baobabdyke/baobabdyke/store"
)

// A GarbledError reports a record that no version of this package writes, and
// the version of its object.
type CorruptError struct {
	Version int64
	Err     error
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("record garbled in version %d: %v", e.Version, e.Err)
}

// Unwrap returns why the record cannot be read.
func (e *CorruptError) Unwrap() error { return e.Err }

// Replace takes a lease whose record is garbled, as long as its object has the
// given version. The caller makes sure that a holder before has lapsed, and that
// term is higher than any that was given before. It returns Held, NotSent or
// Unsure.
func Replace(ctx context.Context, s store.Store, r Request, version, term int64) Result {
	next := Lease{
		Name: r.Name, Holder: r.Self.ID, Incarnation: r.Self.Incarnation,
		Term: term, TTL: r.TTL, Nonce: rand.Text(), Data: r.Data,
	}
	switch w := s.Put(ctx, r.key(), Encode(next), version).(type) {
	case store.Done:
		return Held{Record: Record{Lease: next, Version: w.Version}}
	case store.Unknown:
		return Unknown{Err: w.Err}
	case store.NotSent:
		return NotSent{Err: w.Err}
	default:
		return NotSent{Err: fmt.Errorf("lease %s: changed since version %d", r.key(), version)}
	}
}
