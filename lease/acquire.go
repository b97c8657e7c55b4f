package lease

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/store"
)

// maxAttempts bounds the writes of one call: the first one and the retries after a
// conflict or an unknown outcome.
const maxAttempts = 4

// A Request is a request for one lease.
type Request struct {
	// Key is the object key; empty means Key(Name).
	Key  string
	Name string
	Self Holder
	// TTL is the time to live; zero requests a slot, which never expires.
	TTL time.Duration
	// HolderGone reports whether the lease in a record has expired or its holder
	// has certainly ended. Nil means that this is never the case.
	HolderGone func(Record) bool
	// Data replaces the data of the record if it is not nil.
	Data []byte
}

func (r Request) key() string { return keyOr(r.Key, r.Name) }

func keyOr(key, name string) string {
	if key != "" {
		return key
	}
	return Key(name)
}

// Acquire takes the lease if it is free, held by an earlier incarnation of the
// same process, or if HolderGone reports true for its record. It returns Held,
// Taken, NotSent or Unknown.
//
// If the object store was restored from an older copy, a holder that the copy does
// not show may act until its lease expires. The caller must wait for that, unless it
// was the holder itself without interruption.
func Acquire(ctx context.Context, s store.Store, r Request) Result {
	current, err := Read(ctx, s, r.key(), r.Name)
	if err != nil {
		return NotSent{Err: err}
	}
	event := func(rec Record, nonce string) Event {
		gone := r.HolderGone != nil && r.HolderGone(rec)
		return Take{Self: r.Self, TTL: r.TTL, Nonce: nonce, HolderGone: gone, Data: r.Data}
	}
	return update(ctx, s, r.key(), current, event)
}

// Renew renews a held lease and replaces its data if data is not nil. An empty key
// means Key of the lease's name. It returns Held, Taken, Free, NotSent or Unknown;
// after Taken and Free the term has ended.
func Renew(ctx context.Context, s store.Store, key string, held Record, data []byte) Result {
	self := Holder{ID: held.Lease.Holder, Incarnation: held.Lease.Incarnation}
	event := func(_ Record, nonce string) Event {
		return Extend{Self: self, Term: held.Lease.Term, Nonce: nonce, Data: data}
	}
	return update(ctx, s, keyOr(key, held.Lease.Name), held, event)
}

// Release releases a held lease and replaces its data if data is not nil. It
// returns Free, Taken, NotSent or Unknown.
func Release(ctx context.Context, s store.Store, key string, held Record, data []byte) Result {
	self := Holder{ID: held.Lease.Holder, Incarnation: held.Lease.Incarnation}
	event := func(_ Record, nonce string) Event {
		return GiveBack{Self: self, Term: held.Lease.Term, Nonce: nonce, Data: data}
	}
	return update(ctx, s, keyOr(key, held.Lease.Name), held, event)
}

// update performs the write that Step returns. After a conflict it reads the record
// and calls Step again; after an unknown outcome it reads the record and looks for
// the nonce of the write. If the nonce is not found, the write is repeated with the
// same nonce and the same expected version, so that it takes effect at most once.
//
// A write that took effect in a later era than that of the record it was based on
// has an outdated term, and Step is called again.
func update(ctx context.Context, s store.Store, key string, current Record, event func(Record, string) Event) Result {
	u := writeState{nonce: rand.Text()}
	for range maxAttempts {
		if current.Lease.Nonce == u.nonce {
			if !current.IsRestored() {
				return written(current)
			}
			u = writeState{nonce: rand.Text()}
		}
		write, ok := Step(current, event(current, u.nonce)).(Write)
		if !ok {
			return u.refused(current)
		}
		switch w := s.Put(ctx, key, Encode(write.Lease), current.Version).(type) {
		case store.Done:
			done := Record{Lease: write.Lease, Version: w.Version}
			if !done.IsRestored() {
				return written(done)
			}
			current, u = done, writeState{nonce: rand.Text()}
			continue
		case store.NotSent:
			return u.failed(w.Err)
		case store.Unknown:
			u.err = w.Err
			u.version = current.Version
		case store.Conflict:
		}
		next, err := Read(ctx, s, key, current.Lease.Name)
		if err != nil {
			return u.failed(err)
		}
		// A read that is older than the base of the write is stale and is ignored.
		if next.Version >= current.Version {
			current = next
		}
	}
	return u.failed(eris.Errorf("lease %s: contended, no write succeeded in %d attempts", key, maxAttempts))
}

// A writeState is the state of the writes of one update. If err is set, a write
// with the given expected version may still take effect.
type writeState struct {
	nonce   string
	version int64
	err     error
}

// isPending reports whether a write may still take effect. It no longer can once
// the record has a newer version.
func (u writeState) isPending(current Record) bool {
	return u.err != nil && current.Version == u.version
}

// failed returns the result of an update that could not be completed.
func (u writeState) failed(err error) Result {
	if u.err != nil {
		return Unknown{Err: u.err}
	}
	return NotSent{Err: err}
}

// refused returns the result of an update for which Step returned no write.
func (u writeState) refused(current Record) Result {
	switch {
	case u.isPending(current):
		return Unknown{Err: u.err}
	case current.Lease.Holder == "":
		return Free{Record: current}
	default:
		return Taken{Record: current}
	}
}

// written returns the result of an update whose write took effect.
func written(r Record) Result {
	if r.Lease.Holder == "" {
		return Free{Record: r}
	}
	return Held{Record: r}
}

// Read returns the record of a lease, or a new record if it was never written.
func Read(ctx context.Context, s store.Store, key, name string) (Record, error) {
	o, err := s.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return newRecord(name, o.Version), nil
	}
	if err != nil {
		return Record{}, eris.Wrapf(err, "read lease %s", key)
	}
	l, err := Decode(o.Value)
	if err != nil {
		return Record{}, &CorruptError{Version: o.Version, Err: err}
	}
	if store.Era(l.Term+1) > store.Era(o.Version) {
		// The terms that follow could not be told from those of later eras.
		return Record{}, &CorruptError{Version: o.Version, Err: eris.Errorf("term %d is of a later era", l.Term)}
	}
	return Record{Lease: l, Version: o.Version}, nil
}
