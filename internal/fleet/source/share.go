package source

import (
	"context"
	"time"

	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// CallPull is the call that reads the objects of a kind from another VM. The
// request is a PullRequest and the response a PullResponse.
const CallPull = "/source/Pull"

// A Position is the store version up to which a VM has read one kind, with a hash
// of the content.
type Position struct {
	At   int64  `cbor:"1,keyasint"`
	Hash uint64 `cbor:"2,keyasint"`
	// Newest is the version of the configuration in force, for the kind Config. It may
	// be higher than that in the store, if the store was restored from an older copy.
	Newest int64 `cbor:"3,keyasint,omitempty"`
}

// Positions holds the positions of all kinds.
type Positions [kinds]Position

// A PullRequest requests the changes of one kind after a version.
type PullRequest struct {
	Kind  int   `cbor:"1,keyasint"`
	After int64 `cbor:"2,keyasint"`
	// Newest is the version of the configuration in force.
	Newest int64 `cbor:"3,keyasint,omitempty"`
	// Unpacks reports that the caller accepts packed objects, and Base is the store version
	// of the configuration that it has in force.
	Unpacks bool  `cbor:"4,keyasint,omitempty"`
	Base    int64 `cbor:"5,keyasint,omitempty"`
}

// A PullResponse is the response to a PullRequest. If Whole is set, Objects lists
// all objects. Otherwise it lists those that have changed, and Removed the keys of
// those that were removed.
type PullResponse struct {
	At      int64          `cbor:"1,keyasint"`
	Objects []store.Object `cbor:"2,keyasint"`
	Whole   bool           `cbor:"3,keyasint"`
	Removed []string       `cbor:"4,keyasint"`
	// RecoveredMS is the number of milliseconds since the end of the store's last
	// outage, after which entries may be missing for a while.
	RecoveredMS int64 `cbor:"5,keyasint"`
	// ConfirmedMS is the age of the objects in milliseconds plus one, or 0 if it is
	// not known.
	ConfirmedMS int64 `cbor:"6,keyasint,omitempty"`
	// Newest is the configuration in force, if Objects does not contain it and it is
	// newer than that of the caller.
	Newest *store.Object `cbor:"7,keyasint,omitempty"`
	// Packed takes the place of Objects and Newest if they are large. It is encoded relative
	// to the configuration with the store version Base; 0 is none.
	Packed []byte `cbor:"8,keyasint,omitempty"`
	Base   int64  `cbor:"9,keyasint,omitempty"`
}

// Positions returns the store version up to which this VM has read each kind.
func (s *Source) Positions() Positions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.positions()
}

// positions returns the positions. The caller holds mu.
func (s *Source) positions() Positions {
	var p Positions
	for i, t := range s.tables {
		p[i] = Position{At: t.at, Hash: t.hash}
	}
	p[Config].Newest = s.newest.version()
	return p
}

// StaleKinds returns the kinds of which a VM with the given positions has a later
// and different state, or a newer configuration.
func (s *Source) StaleKinds(theirs Positions) []int {
	own := s.Positions()
	var stale []int
	for kind := range kinds {
		if !s.isRead(kind) {
			continue
		}
		later := theirs[kind].At > own[kind].At && theirs[kind].Hash != own[kind].Hash
		if later || theirs[kind].Newest > own[kind].Newest {
			stale = append(stale, kind)
		}
	}
	return stale
}

// HasNewerConfig reports whether a VM with the given positions has a newer
// configuration than this one, although the store does not show it to this VM.
func (s *Source) HasNewerConfig(theirs Positions) bool {
	own := s.Positions()
	return theirs[Config].Newest > own[Config].Newest && theirs[Config].At <= own[Config].At
}

// Register registers the handler of CallPull.
func (s *Source) Register(r peer.Registrar) {
	peer.Handle(r, CallPull, func(_ context.Context, _ string, p PullRequest) (PullResponse, error) {
		return s.handlePull(p), nil
	})
	peer.Handle(r, CallConfirm, func(_ context.Context, _ string, _ ConfirmRequest) (ConfirmResponse, error) {
		return s.handleConfirm(), nil
	})
}

func (s *Source) handlePull(p PullRequest) PullResponse {
	if p.Kind < 0 || p.Kind >= kinds || !s.isRead(p.Kind) {
		return PullResponse{}
	}
	s.mu.Lock()
	out, base := s.pullResponse(p), s.base(p.Base)
	s.mu.Unlock()
	if p.Unpacks {
		s.packer.pack(&out, base)
	}
	return out
}

// pullResponse returns a response that is not packed. The caller holds mu.
func (s *Source) pullResponse(p PullRequest) PullResponse {
	t := s.tables[p.Kind]
	out := PullResponse{At: t.at, Whole: p.After < t.floor || p.After == 0, RecoveredMS: time.Since(t.recovered).Milliseconds()}
	out.ConfirmedMS = t.age(time.Now()).Milliseconds() + 1
	for _, e := range t.objects {
		if e.missingSince.IsZero() && (out.Whole || e.object.Version > p.After) {
			out.Objects = append(out.Objects, e.object)
		}
	}
	if p.Kind == Config && s.newest.version() > p.Newest && !s.newest.isIn(out.Objects) {
		newest := s.newest.object
		out.Newest = &newest
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

// PullFrom reads the objects of a kind from another VM and applies them if they
// are later.
func (s *Source) PullFrom(ctx context.Context, c peer.Caller, to peer.Destination, kind int) error {
	s.mu.Lock()
	t := s.tables[kind]
	after, newest := t.at, s.newest
	req := PullRequest{Kind: kind, After: after, Newest: newest.version(), Unpacks: !s.unpackFailed, Base: newest.object.Version}
	s.mu.Unlock()
	var resp PullResponse
	sent := time.Now()
	if err := c.Call(ctx, to, CallPull, req, &resp); err != nil {
		return err
	}
	if err := resp.unpack(newest.object); err != nil {
		s.mu.Lock()
		s.unpackFailed = true
		s.mu.Unlock()
		return err
	}
	s.packer.record(&resp, newest.object)
	s.mu.Lock()
	adopted := s.adoptConfig(resp.Newest, to.VM)
	if resp.At <= t.at || !resp.Whole && t.at != after {
		if adopted {
			s.publish()
		}
		s.mu.Unlock()
		if adopted {
			s.changed()
		}
		return nil
	}
	s.applyPulled(kind, t, resp)
	if resp.ConfirmedMS > 0 {
		s.confirm(t, sent.Add(-time.Duration(resp.ConfirmedMS)*time.Millisecond))
	}
	t.rehash()
	s.log("msg", "state pulled from VM", "from", to.VM, "kind", s.opts.Decoder.Kinds[kind], "at", resp.At,
		"whole", resp.Whole, "objects", len(resp.Objects), "removed", len(resp.Removed),
		"bytes", objectBytes(resp.Objects), "packed", len(resp.Packed), "base", store.Revision(resp.Base), "took", time.Since(sent))
	s.publish()
	s.mu.Unlock()
	s.changed()
	return nil
}

// adoptConfig keeps a configuration that another VM has in force, if it is newer than
// that of this VM, and reports whether it is. The caller holds mu.
func (s *Source) adoptConfig(o *store.Object, from string) bool {
	if o == nil {
		return false
	}
	cfg := s.decodeConfig(*o)
	if cfg == nil || cfg.Version <= s.newest.version() {
		return false
	}
	s.log("msg", "configuration taken from VM", "from", from, "version", cfg.Version, "before", s.newest.version())
	s.recordBase(s.newest.object)
	s.newest = entry{object: *o, config: cfg}
	return true
}

// applyPulled applies the objects read from another VM. The caller holds mu.
func (s *Source) applyPulled(kind int, t *table, resp PullResponse) {
	now := time.Now()
	recovered := now.Add(-time.Duration(resp.RecoveredMS) * time.Millisecond)
	if restored := s.isRestored(kind, t, resp.At); recovered.After(t.recovered) && (restored || t.mayHaveBeenAway(recovered)) {
		t.recovered = recovered
	}
	if resp.Whole {
		s.replace(kind, t, resp.Objects, now)
		clear(t.removed)
		t.floor = resp.At
	} else {
		for _, o := range resp.Objects {
			s.put(kind, t, o)
			delete(t.removed, o.Key)
		}
		grace := kind == Targets && now.Sub(t.recovered) < recoveryGrace
		for _, key := range resp.Removed {
			t.remove(key, now, grace)
			t.recordRemoval(key, resp.At)
		}
	}
	t.at, t.listed = resp.At, true
}
