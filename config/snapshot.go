package config

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/store"
)

// Keys of the object API.
const (
	headKey     = "config/head"
	chunkPrefix = "config/chunk/"
)

// recentPatches is the number of patches whose ids the head keeps.
const recentPatches = 32

// A Head is the one object that a change of the configuration commits: a
// version, the digest of its index, and the ids of the last patches.
type Head struct {
	Version int64           `json:"version" cbor:"1,keyasint"`
	Root    string          `json:"root" cbor:"2,keyasint"`
	Recent  []AcceptedPatch `json:"recent,omitempty" cbor:"3,keyasint,omitempty"`
	// Sweeps counts the collections of unused chunks, so that a commit that
	// began before one fails.
	Sweeps int64 `json:"sweeps,omitempty" cbor:"4,keyasint,omitempty"`
	// Swept is the version of the last collection.
	Swept int64 `json:"swept,omitempty" cbor:"5,keyasint,omitempty"`
}

// A Past is one accepted patch: its id, the digest of its content and the
// version that it made.
type AcceptedPatch struct {
	ID      string `json:"id" cbor:"1,keyasint"`
	Digest  string `json:"digest" cbor:"2,keyasint"`
	Version int64  `json:"version" cbor:"3,keyasint"`
}

// find returns the accepted patch with the id.
func (h Head) find(id string) (AcceptedPatch, bool) {
	i := slices.IndexFunc(h.Recent, func(p AcceptedPatch) bool { return p.ID == id })
	if i < 0 {
		return AcceptedPatch{}, false
	}
	return h.Recent[i], true
}

// after returns the head that accepting the patch makes.
func (h Head) after(p Patch, root string) Head {
	past := AcceptedPatch{ID: p.ID, Digest: p.digest(), Version: h.Version + 1}
	recent := append(slices.Clone(h.Recent), past)
	h.Recent = recent[max(len(recent)-recentPatches, 0):]
	h.Version++
	h.Root = root
	return h
}

// A stored is a head as it was read, with the object's version. An absent head
// is version 0 of the configuration.
type stored struct {
	Head
	object int64
}

func decodeHead(o store.Object) (stored, error) {
	s := stored{object: o.Version}
	if err := json.Unmarshal(o.Value, &s.Head); err != nil {
		return stored{}, eris.Wrap(err, "decode head of the configuration")
	}
	return s, nil
}

// A snapshot is a whole version with its chunks' digests. It is immutable.
type snapshot struct {
	version int64
	root    string
	index   index
	parts   map[bucket]*chunk
	view    *View
}

// emptySnapshot is version 0.
func emptySnapshot() *snapshot {
	return &snapshot{parts: map[bucket]*chunk{}, view: NewView(&Config{})}
}

// newSnapshot divides a configuration, and reuses the digests of the parts
// that are the same in base.
func newSnapshot(cfg *Config, base *snapshot) (*snapshot, error) {
	s := &snapshot{version: cfg.Version, parts: split(cfg), view: NewView(cfg)}
	known := map[bucket]ChunkRef{}
	for _, ref := range base.index {
		known[ref.bucket] = ref
	}
	for _, b := range slices.SortedFunc(maps.Keys(s.parts), compareBuckets) {
		if old := base.parts[b]; old != nil && reflect.DeepEqual(old, s.parts[b]) {
			s.index = append(s.index, known[b])
			continue
		}
		_, digest, err := encodeChunk(s.parts[b])
		if err != nil {
			return nil, err
		}
		s.index = append(s.index, ChunkRef{bucket: b, Digest: digest})
	}
	var err error
	_, s.root, err = encodeChunk(s.index)
	return s, err
}

// next applies a patch without validation of the outcome, which its writer has
// validated, and checks the root that the writer committed.
func (s *snapshot) next(p VersionedPatch) (*snapshot, error) {
	if p.Version != s.version+1 || p.Patch.Base != s.version {
		return nil, eris.Errorf("patch for version %d does not follow %d", p.Version, s.version)
	}
	cfg, _ := p.Patch.edit(s.view.Config)
	n, err := newSnapshot(cfg, s)
	if err != nil {
		return nil, err
	}
	if n.root != p.Root {
		return nil, eris.Errorf("patch for version %d gives root %s, not %s", p.Version, n.root, p.Root)
	}
	return n, nil
}

// encoded returns the stored form of a chunk or of the index by its digest.
func (s *snapshot) encoded(digest string) ([]byte, bool) {
	if digest == s.root {
		data, _, err := encodeChunk(s.index)
		return data, err == nil
	}
	for _, ref := range s.index {
		if ref.Digest == digest {
			data, got, err := encodeChunk(s.parts[ref.bucket])
			return data, err == nil && got == digest
		}
	}
	return nil, false
}

// added returns the refs that are not in base.
func (s *snapshot) added(base *snapshot) []ChunkRef {
	old := map[string]bool{}
	for _, ref := range base.index {
		old[ref.Digest] = true
	}
	var list []ChunkRef
	for _, ref := range s.index {
		if !old[ref.Digest] {
			list = append(list, ref)
		}
	}
	return list
}

// rebuild makes the snapshot of an index from the parts of s and fetched ones.
func (s *snapshot) rebuild(h Head, ix index, fetched map[string][]byte) (*snapshot, error) {
	own := map[string]*chunk{}
	for _, ref := range s.index {
		own[ref.Digest] = s.parts[ref.bucket]
	}
	n := &snapshot{version: h.Version, root: h.Root, index: ix, parts: map[bucket]*chunk{}}
	for _, ref := range ix {
		part := own[ref.Digest]
		if part == nil {
			part = &chunk{}
			if err := decodeChunk(fetched[ref.Digest], ref.Digest, part); err != nil {
				return nil, err
			}
		}
		n.parts[ref.bucket] = part
	}
	n.view = NewView(assemble(h.Version, n.parts))
	return n, nil
}

// missing returns the digests of an index that s has no parts for.
func (s *snapshot) missing(ix index) []string {
	own := map[string]bool{}
	for _, ref := range s.index {
		own[ref.Digest] = true
	}
	var list []string
	for _, ref := range ix {
		if !own[ref.Digest] {
			list = append(list, ref.Digest)
		}
	}
	return list
}
