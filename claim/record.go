package claim

import (
	"cmp"
	"crypto/sha256"
	"encoding/binary"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/rotisserie/eris"

	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// Prefix is the prefix of the object keys of shards.
	Prefix = "claim/"
	// shardCount is the number of shards. It must be the same on all VMs and never
	// change, as the shard of a claim depends on it.
	shardCount = 1 << 14
	// hashBytes is the length in bytes of the hashes in a record.
	hashBytes = 16
	// maxEntries bounds the number of entries of a record that is decoded.
	maxEntries = 1 << 17
)

// States of an entry.
const (
	statePending = 0
	stateRan     = 1
)

// A hash is a truncated SHA-256.
type hash [hashBytes]byte

// hashOf hashes parts, each with its length, so that different lists of parts do
// not collide.
func hashOf(parts ...string) hash {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write([]byte(p))
	}
	return hash(h.Sum(nil)[:hashBytes])
}

// A location is where the claim of a request is stored: a key in a shard.
type location struct {
	shard int
	key   hash
}

// locate returns the location of the claim of a request.
func locate(req Request, shards int) location {
	key := hashOf(req.Customer, req.Route, req.Key)
	return location{shard: int(binary.BigEndian.Uint32(key[:4]) % uint32(shards)), key: key}
}

// objectKey returns the object key of a shard.
func objectKey(shard int) string { return fmt.Sprintf("%s%05d", Prefix, shard) }

// An entry is one claim as stored in the object store. The idempotency key and the
// request are stored as hashes only.
type entry struct {
	Key         hash   `cbor:"1,keyasint"`
	Digest      hash   `cbor:"2,keyasint"`
	ID          string `cbor:"3,keyasint"`
	At          int64  `cbor:"4,keyasint"` // milliseconds since 1970
	State       int    `cbor:"5,keyasint,omitempty"`
	Status      int    `cbor:"6,keyasint,omitempty"`
	ContentType string `cbor:"7,keyasint,omitempty"`
	Body        []byte `cbor:"8,keyasint,omitempty"`
	Dropped     bool   `cbor:"9,keyasint,omitempty"`
}

// entryOverheadBytes is the maximum encoded size of an entry without its strings
// and its body.
const entryOverheadBytes = 2*(hashBytes+2) + 40

// size returns an upper bound of the encoded size of the entry in bytes.
func (e entry) size() int {
	return entryOverheadBytes + len(e.ID) + e.bodySize()
}

// bodySize returns the part of size that dropBodies can free.
func (e entry) bodySize() int { return len(e.ContentType) + len(e.Body) }

// withoutBody returns the entry with only the status of its response.
func (e entry) withoutBody() entry {
	e.Body = nil
	e.ContentType = ""
	e.Dropped = true
	return e
}

func (e entry) at() time.Time { return time.UnixMilli(e.At) }

func (e entry) response() Response {
	return Response{Status: e.Status, ContentType: e.ContentType, Body: e.Body, BodyDropped: e.Dropped}
}

// A record is one shard. The version is that of its object, size is the sum of the
// sizes of the entries, and bodySize the sum of their body sizes.
type record struct {
	version  int64
	entries  map[hash]entry
	size     int
	bodySize int
}

func newRecord() record { return record{version: store.MustNotExist, entries: map[hash]entry{}} }

// set adds or replaces an entry.
func (r *record) set(e entry) {
	r.remove(e.Key)
	r.entries[e.Key] = e
	r.size += e.size()
	r.bodySize += e.bodySize()
}

// remove removes the entry with the given key, if any.
func (r *record) remove(key hash) {
	if old, ok := r.entries[key]; ok {
		r.size -= old.size()
		r.bodySize -= old.bodySize()
		delete(r.entries, key)
	}
}

func (r record) clone() record {
	r.entries = maps.Clone(r.entries)
	return r
}

// sorted returns the entries from the oldest to the newest.
func (r record) sorted() []entry {
	return slices.SortedFunc(maps.Values(r.entries), func(a, b entry) int {
		return cmp.Or(cmp.Compare(a.At, b.At), slices.Compare(a.Key[:], b.Key[:]))
	})
}

// encode returns the record as the value of the shard's object.
func (r record) encode() []byte {
	data, err := cbor.Marshal(r.sorted())
	if err != nil {
		// All field types of an entry can be encoded.
		panic(err)
	}
	return data
}

var decoding = func() cbor.DecMode {
	mode, err := cbor.DecOptions{
		MaxArrayElements:  maxEntries,
		ExtraReturnErrors: cbor.ExtraDecErrorUnknownField,
	}.DecMode()
	if err != nil {
		panic(err)
	}
	return mode
}()

// decode decodes the value of a shard's object.
func decode(version int64, data []byte) (record, error) {
	var list []entry
	if err := decoding.Unmarshal(data, &list); err != nil {
		return record{}, eris.Wrap(err, "decode claims")
	}
	r := newRecord()
	r.version = version
	for _, e := range list {
		if e.State != statePending && e.State != stateRan {
			return record{}, eris.Errorf("decode claims: unknown state %d", e.State)
		}
		if _, duplicate := r.entries[e.Key]; duplicate {
			return record{}, eris.Errorf("decode claims: duplicate key %x", e.Key)
		}
		r.set(e)
	}
	return r, nil
}
