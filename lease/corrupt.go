package lease

import (
	"context"
	"crypto/rand"
	"fmt"

	"github.com/baobabdyke/baobabdyke/store"
)

// A CorruptError reports a record that cannot be decoded, with the version of its
// object.
type CorruptError struct {
	Version int64
	Err     error
}

// Error implements error.
func (e *CorruptError) Error() string {
	return fmt.Sprintf("lease record corrupt in version %d: %v", e.Version, e.Err)
}

// Unwrap returns the error of decoding the record.
func (e *CorruptError) Unwrap() error { return e.Err }

// Replace takes a lease whose record is corrupt, provided that its object still has
// the given version. The caller must ensure that the lease of any previous holder
// has expired and that term is higher than all previous terms of the version's era.
// It returns Held, NotSent or Unknown.
func Replace(ctx context.Context, s store.Store, r Request, version, term int64) Result {
	if store.Era(term) < store.Era(version) {
		term = version
	}
	next := Lease{
		Name: r.Name, Holder: r.Self.ID, Incarnation: r.Self.Incarnation,
		Term: term, TTL: r.TTL, Nonce: rand.Text(), Data: r.Data,
	}
	switch w := s.Put(ctx, r.key(), Encode(next), version).(type) {
	case store.Done:
		held := Record{Lease: next, Version: w.Version}
		if held.IsRestored() {
			return Unknown{Err: fmt.Errorf("lease %s: object store restored since version %d", r.key(), version)}
		}
		return Held{Record: held}
	case store.Unknown:
		return Unknown{Err: w.Err}
	case store.NotSent:
		return NotSent{Err: w.Err}
	default:
		return NotSent{Err: fmt.Errorf("lease %s: changed since version %d", r.key(), version)}
	}
}
