package lease

import (
	"context"
	"crypto/rand"
	"errors"
	"time"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/store"
)

// maxTries bounds the writes of one call: the first one and those that follow a
// conflict or an unknown outcome.
const maxTries = 4

// A Request asks for one lease.
type Request struct {
	// Key is the object key; empty stands for Key(Duty).
	Key  string
	Name string
	Self Holder
	// Length is the time to live; zero asks for a slot, which never lapses.
	TTL time.Duration
	// Gone tells whether the holder of a record has lapsed or provably ended.
	// Nil stands for never.
	HolderGone func(Record) bool
	// Data replaces the data of the record if it is not nil.
	Data []byte
}

func (r Request) key() string { return keyOr(r.Key, r.Name) }

func keyOr(key, duty string) string {
	if key != "" {
		return key
	}
	return Key(duty)
}

// Acquire takes the lease if it is free, held by an earlier incarnation of the
// same process, or held by a process that is gone. It returns Held, Taken,
// NotSent or Unsure.
func Acquire(ctx context.Context, s store.Store, r Request) Result {
	r0, err := Read(ctx, s, r.key(), r.Name)
	if err != nil {
		return NotSent{Err: err}
	}
	event := func(current Record, nonce string) Event {
		gone := r.HolderGone != nil && r.HolderGone(current)
		return Take{Self: r.Self, TTL: r.TTL, Nonce: nonce, HolderGone: gone, Data: r.Data}
	}
	return update(ctx, s, r.key(), r0, event)
}

// Renew writes a held lease anew, with data if it is not nil. An empty key
// stands for Key(duty). It returns Held,
// Taken, Free, NotSent or Unsure; after Taken and Free the term is over.
func Renew(ctx context.Context, s store.Store, key string, held Record, data []byte) Result {
	self := Holder{ID: held.Lease.Holder, Incarnation: held.Lease.Incarnation}
	event := func(_ Record, nonce string) Event {
		return Extend{Self: self, Term: held.Lease.Term, Nonce: nonce, Data: data}
	}
	return update(ctx, s, keyOr(key, held.Lease.Name), held, event)
}

// Release hands a held lease back, with data if it is not nil. It returns Free,
// Taken, NotSent or Unsure.
func Release(ctx context.Context, s store.Store, key string, held Record, data []byte) Result {
	self := Holder{ID: held.Lease.Holder, Incarnation: held.Lease.Incarnation}
	event := func(_ Record, nonce string) Event {
		return GiveBack{Self: self, Term: held.Lease.Term, Nonce: nonce, Data: data}
	}
	return update(ctx, s, keyOr(key, held.Lease.Name), held, event)
}

// update writes what the step asks for. After a conflict it reads the record
// and steps again; after an unknown outcome it reads back and looks for the
// nonce. A write that did not show is repeated with the same nonce under the
// same version, so that at most one of the repetitions takes effect.
func update(ctx context.Context, s store.Store, key string, current Record, event func(Record, string) Event) Result {
	u := doubt{nonce: rand.Text()}
	for range maxTries {
		if current.Lease.Nonce == u.nonce {
			return holding(current)
		}
		write, ok := Step(current, event(current, u.nonce)).(Write)
		if !ok {
			return u.refused(current)
		}
		switch w := s.Put(ctx, key, Encode(write.Lease), current.Version).(type) {
		case store.Done:
			return holding(Record{Lease: write.Lease, Version: w.Version})
		case store.NotSent:
			return u.unread(w.Err)
		case store.Unknown:
			u.err = w.Err
			u.version = current.Version
		case store.Conflict:
		}
		next, err := Read(ctx, s, key, current.Lease.Name)
		if err != nil {
			return u.unread(err)
		}
		// A read that is older than what the write was based on says nothing.
		if next.Version >= current.Version {
			current = next
		}
	}
	return u.unread(eris.Errorf("lease %s: contended after %d writes", key, maxTries))
}

// A doubt is what one update does not know of its own writes: a write that
// expected version may still take effect if err is set.
type doubt struct {
	nonce   string
	version int64
	err     error
}

// open tells whether a write may still take effect. A newer version of the
// record settles it.
func (u doubt) open(current Record) bool {
	return u.err != nil && current.Version == u.version
}

// unread is the outcome of an update that could not go on.
func (u doubt) unread(err error) Result {
	if u.err != nil {
		return Unknown{Err: u.err}
	}
	return NotSent{Err: err}
}

// refused is the outcome of an update whose step asked for no write.
func (u doubt) refused(current Record) Result {
	switch {
	case u.open(current):
		return Unknown{Err: u.err}
	case current.Lease.Holder == "":
		return Free{Record: current}
	default:
		return Taken{Record: current}
	}
}

// holding is the outcome of an update whose write took effect.
func holding(r Record) Result {
	if r.Lease.Holder == "" {
		return Free{Record: r}
	}
	return Held{Record: r}
}

// Read returns the record of a lease, a new one if it was never written.
func Read(ctx context.Context, s store.Store, key, duty string) (Record, error) {
	o, err := s.Get(ctx, key)
	if errors.Is(err, store.ErrNotFound) {
		return NewRecord(duty), nil
	}
	if err != nil {
		return Record{}, eris.Wrapf(err, "read lease %s", key)
	}
	l, err := Decode(o.Value)
	if err != nil {
		return Record{}, &CorruptError{Version: o.Version, Err: err}
	}
	return Record{Lease: l, Version: o.Version}, nil
}
