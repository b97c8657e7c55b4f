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
type Mark struct {
	At   int64  `cbor:"1,keyasint"`
	Hash uint64 `cbor:"2,keyasint"`
}

// Marks are the marks of all kinds.
type Marks [kinds]Mark

// A Pull asks for the objects of one kind.
type Pull struct {
	Kind int `cbor:"1,keyasint"`
}

// A Pulled is the answer to a Pull.
type Pulled struct {
	At      int64          `cbor:"1,keyasint"`
	Objects []store.Object `cbor:"2,keyasint"`
}

// Marks returns how far this VM has followed each kind.
func (s *Source) Marks() Marks {
	s.mu.Lock()
	defer s.mu.Unlock()
	var m Marks
	for i, t := range s.tables {
		m[i] = Mark{At: t.at, Hash: t.hash}
	}
	return m
}

// Behind returns the kinds of which a VM with the marks theirs knows a later
// and different state.
func (s *Source) Behind(theirs Marks) []int {
	mine := s.Marks()
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
		return s.pulled(p.Kind), nil
	})
}

func (s *Source) pulled(kind int) Pulled {
	if kind < 0 || kind >= kinds {
		return Pulled{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.tables[kind]
	out := Pulled{At: t.at}
	for _, e := range t.objects {
		if e.missing.IsZero() {
			out.Objects = append(out.Objects, e.object)
		}
	}
	return out
}

// PullFrom takes over the objects of a kind from another VM if they are later.
func (s *Source) PullFrom(ctx context.Context, c peer.Caller, to peer.Destination, kind int) error {
	var got Pulled
	if err := c.Call(ctx, to, CallPull, Pull{Kind: kind}, &got); err != nil {
		return err
	}
	s.mu.Lock()
	t := s.tables[kind]
	if got.At <= t.at {
		s.mu.Unlock()
		return nil
	}
	s.replace(kind, t, got.Objects, time.Now())
	t.at, t.listed = got.At, true
	t.rehash()
	s.log("msg", "state taken from a VM", "from", to.VM, "kind", s.opts.Decoder.Kinds[kind], "at", got.At)
	s.publish()
	s.mu.Unlock()
	s.changed()
	return nil
}
