package config

import (
	"encoding/json"
	"maps"
	"reflect"
	"slices"

	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/store"
)

// Keys in the object store.
const (
	headKey     = "config/head"
	chunkPrefix = "config/chunk/"
)

// maxRecentPatches is the number of recent patches listed in the head.
const maxRecentPatches = 32

// A Head is the object that a commit updates. It contains the version, the
// digest of its index, and the ids of the most recent patches.
type Head struct {
	Version int64           `json:"version" cbor:"1,keyasint"`
	Root    string          `json:"root" cbor:"2,keyasint"`
	Recent  []AcceptedPatch `json:"recent,omitempty" cbor:"3,keyasint,omitempty"`
	// Sweeps counts the sweeps of unused chunks. Every sweep increments it, so
	// that commits that began before the sweep fail.
	Sweeps int64 `json:"sweeps,omitempty" cbor:"4,keyasint,omitempty"`
	// Swept is the version at the last sweep.
	Swept int64 `json:"swept,omitempty" cbor:"5,keyasint,omitempty"`
}

// An AcceptedPatch identifies a committed patch by its id, the digest of its
// content and the version that it made.
type AcceptedPatch struct {
	ID      string `json:"id" cbor:"1,keyasint"`
	Digest  string `json:"digest" cbor:"2,keyasint"`
	Version int64  `json:"version" cbor:"3,keyasint"`
}

// findPatch returns the accepted patch with the id.
func (h Head) findPatch(id string) (AcceptedPatch, bool) {
	i := slices.IndexFunc(h.Recent, func(p AcceptedPatch) bool { return p.ID == id })
	if i < 0 {
		return AcceptedPatch{}, false
	}
	return h.Recent[i], true
}

// withPatch returns the head that committing the patch produces.
func (h Head) withPatch(p Patch, root string) Head {
	accepted := AcceptedPatch{ID: p.ID, Digest: p.digest(), Version: h.Version + 1}
	recent := append(slices.Clone(h.Recent), accepted)
	h.Recent = recent[max(len(recent)-maxRecentPatches, 0):]
	h.Version++
	h.Root = root
	return h
}

// A storedHead is a head as read from the object store, with its object
// version. A missing head is version 0 of the configuration.
type storedHead struct {
	Head
	objectVersion int64
}

func decodeHead(o store.Object) (storedHead, error) {
	s := storedHead{objectVersion: o.Version}
	if err := json.Unmarshal(o.Value, &s.Head); err != nil {
		return storedHead{}, eris.Wrap(err, "decode head of the configuration")
	}
	return s, nil
}

// A snapshot is a complete version with the digests of its chunks. It is
// immutable.
type snapshot struct {
	version int64
	root    string
	index   index
	parts   map[bucket]*chunk
	view    *View
}

// emptySnapshot returns version 0.
func emptySnapshot() *snapshot {
	return &snapshot{parts: map[bucket]*chunk{}, view: NewView(&Config{})}
}

// newSnapshot divides a configuration into chunks. It reuses the digests of
// chunks that are the same in base.
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

// applyPatch applies a committed patch. It does not validate the result, since
// the committing VM has done so, but verifies that the root matches the
// committed one.
func (s *snapshot) applyPatch(p VersionedPatch) (*snapshot, error) {
	if p.Version != s.version+1 || p.Patch.Base != s.version {
		return nil, eris.Errorf("patch for version %d does not follow version %d", p.Version, s.version)
	}
	cfg, _ := p.Patch.applyTo(s.view.Config)
	n, err := newSnapshot(cfg, s)
	if err != nil {
		return nil, err
	}
	if n.root != p.Root {
		return nil, eris.Errorf("patch for version %d gives root %s instead of %s", p.Version, n.root, p.Root)
	}
	return n, nil
}

// encodedChunk returns the stored form of the chunk or index with the digest.
func (s *snapshot) encodedChunk(digest string) ([]byte, bool) {
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

// addedChunks returns the refs that are not in base.
func (s *snapshot) addedChunks(base *snapshot) []ChunkRef {
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

// rebuild builds the snapshot of an index from the chunks of s and fetched
// chunks.
func (s *snapshot) rebuild(h Head, ix index, fetched map[string][]byte) (*snapshot, error) {
	existing := map[string]*chunk{}
	for _, ref := range s.index {
		existing[ref.Digest] = s.parts[ref.bucket]
	}
	n := &snapshot{version: h.Version, root: h.Root, index: ix, parts: map[bucket]*chunk{}}
	for _, ref := range ix {
		part := existing[ref.Digest]
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

// missingChunks returns the digests in an index whose chunks are not part of
// s.
func (s *snapshot) missingChunks(ix index) []string {
	existing := map[string]bool{}
	for _, ref := range s.index {
		existing[ref.Digest] = true
	}
	var list []string
	for _, ref := range ix {
		if !existing[ref.Digest] {
			list = append(list, ref.Digest)
		}
	}
	return list
}
