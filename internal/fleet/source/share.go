package source

import (
	"context"
	"time"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// CallPull asks another VM for a kind: Pull, Pulled.
const CallPull = "/source/Pull"

// A Mark tells how far a VM has followed one kind.
type Position struct {
	At   int64  `cbor:"1,keyasint"`
	Hash uint64 `cbor:"2,keyasint"`
}

// Marks are the marks of all kinds.
type Positions [kinds]Position

// A Pull asks for the changes of one kind after a version.
type Pull struct {
	Kind  int   `cbor:"1,keyasint"`
	After int64 `cbor:"2,keyasint"`
}

// A Pulled is the answer to a Pull. If Whole is set, Objects are all that there
// are, else those that have changed, and Removed are those that are gone.
type Pulled struct {
	At      int64          `cbor:"1,keyasint"`
	Objects []store.Object `cbor:"2,keyasint"`
	Whole   bool           `cbor:"3,keyasint"`
	Removed []string       `cbor:"4,keyasint"`
	// ReturnedMS is how many milliseconds ago the store came back from an outage,
	// after which entries may be missing for a while.
	ReturnedMS int64 `cbor:"5,keyasint"`
}

// Marks returns how far this VM has followed each kind.
func (s *Source) Positions() Positions {
	s.mu.Lock()
	defer s.mu.Unlock()
	var m Positions
	for i, t := range s.tables {
		m[i] = Position{At: t.at, Hash: t.hash}
	}
	return m
}

// Behind returns the kinds of which a VM with the marks theirs knows a later
// and different state.
func (s *Source) StaleKinds(theirs Positions) []int {
	mine := s.Positions()
	var behind []int
	for kind := range kinds {
		if theirs[kind].At > mine[kind].At && theirs[kind].Hash != mine[kind].Hash {
			behind = append(behind, kind)
		}
	}
	return behind
}

// Register names the call by which other VMs read this one's objects.
func (s *Source) Register(r peer.Registrar) {
	peer.Handle(r, CallPull, func(_ context.Context, _ string, p Pull) (Pulled, error) {
		return s.pulled(p), nil
	})
}

func (s *Source) pulled(p Pull) Pulled {
	if p.Kind < 0 || p.Kind >= kinds {
		return Pulled{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables[p.Kind]
	out := Pulled{At: t.at, Whole: p.After < t.floor || p.After == 0, ReturnedMS: time.Since(t.returned).Milliseconds()}
	for _, e := range t.objects {
		if e.missing.IsZero() && (out.Whole || e.object.Version > p.After) {
			out.Objects = append(out.Objects, e.object)
		}
	}
	if out.Whole {
		return out
	}
	for key, at := range t.removed {
		if at > p.After {
			out.Removed = append(out.Removed, key)
		}
	}
	return out
}

// PullFrom takes over the objects of a kind from another VM if they are later.
func (s *Source) PullFrom(ctx context.Context, c peer.Caller, to peer.Destination, kind int) error {
	s.mu.Lock()
	t := s.tables[kind]
	after := t.at
	s.mu.Unlock()
	var got Pulled
	if err := c.Call(ctx, to, CallPull, Pull{Kind: kind, After: after}, &got); err != nil {
		return err
	}
	s.mu.Lock()
	if got.At <= t.at || !got.Whole && t.at != after {
		s.mu.Unlock()
		return nil
	}
	s.takePulled(kind, t, got)
	t.rehash()
	s.log("msg", "state taken from a VM", "from", to.VM, "kind", s.opts.Decoder.Kinds[kind], "at", got.At,
		"whole", got.Whole, "objects", len(got.Objects), "removed", len(got.Removed))
	s.publish()
	s.mu.Unlock()
	s.changed()
	return nil
}

// takePulled applies what another VM told. The caller holds mu.
func (s *Source) takePulled(kind int, t *table, got Pulled) {
	now := time.Now()
	if returned := now.Add(-time.Duration(got.ReturnedMS) * time.Millisecond); returned.After(t.returned) {
		t.returned = returned
	}
	if got.Whole {
		s.replace(kind, t, got.Objects, now)
		clear(t.removed)
		t.floor = got.At
	} else {
		for _, o := range got.Objects {
			s.put(kind, t, o)
			delete(t.removed, o.Key)
		}
		grace := kind == Targets && now.Sub(t.returned) < returnGrace
		for _, key := range got.Removed {
			t.drop(key, now, grace)
			t.remove(key, got.At)
		}
	}
	t.at, t.listed = got.At, true
}
