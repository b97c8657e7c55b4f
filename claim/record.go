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
	// Prefix is the start of the object keys of shards.
	Prefix = "claim/"
	// shardCount is the number of shards. All VMs of a fleet share it for good.
	shardCount = 1 << 14
	// hashBytes is the length of the hashes in a record.
	hashBytes = 16
	// maxEntries bounds the entries that a record is decoded into.
	maxEntries = 1 << 17
)

// States of an entry.
const (
	statePending = 0
	stateRan     = 1
)

// A hash is a truncated SHA-256.
type hash [hashBytes]byte

// sum hashes parts, each with its length.
func sum(parts ...string) hash {
	h := sha256.New()
	var length [8]byte
	for _, p := range parts {
		binary.BigEndian.PutUint64(length[:], uint64(len(p)))
		h.Write(length[:])
		h.Write([]byte(p))
	}
	return hash(h.Sum(nil)[:hashBytes])
}

// A place is where the claim of a name is kept: a key in a shard.
type place struct {
	shard int
	key   hash
}

func placeOf(n Request, shards int) place {
	key := sum(n.Customer, n.Route, n.Key)
	return place{shard: int(binary.BigEndian.Uint32(key[:4]) % uint32(shards)), key: key}
}

// objectKey returns the object key of a shard.
func objectKey(shard int) string { return fmt.Sprintf("%s%05d", Prefix, shard) }

// An entry is one claim as the object API holds it. Its key and its request are
// kept as hashes only.
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

// entryBytes is the most that an entry takes beyond its strings and its body.
const entryBytes = 2*(hashBytes+2) + 40

// size is an upper bound of the encoded bytes of the entry.
func (e entry) size() int {
	return entryBytes + len(e.ID) + e.extra()
}

// extra is the part of size that shrink can drop.
func (e entry) extra() int { return len(e.ContentType) + len(e.Body) }

// withoutAnswer is the entry with no more of its answer than the status.
func (e entry) withoutAnswer() entry {
	e.Body = nil
	e.ContentType = ""
	e.Dropped = true
	return e
}

func (e entry) at() time.Time { return time.UnixMilli(e.At) }

func (e entry) answer() Response {
	return Response{Status: e.Status, ContentType: e.ContentType, Body: e.Body, BodyDropped: e.Dropped}
}

// A record is one shard. Version is that of its object. Size sums the sizes of
// the entries, and extra what of it are answers.
type record struct {
	version int64
	entries map[hash]entry
	size    int
	extra   int
}

func newRecord() record { return record{version: store.MustNotExist, entries: map[hash]entry{}} }

// set adds or replaces an entry.
func (r *record) set(e entry) {
	r.remove(e.Key)
	r.entries[e.Key] = e
	r.size += e.size()
	r.extra += e.extra()
}

// remove drops an entry if it is there.
func (r *record) remove(key hash) {
	if old, ok := r.entries[key]; ok {
		r.size -= old.size()
		r.extra -= old.extra()
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

// encode returns the value of the shard's object.
func (r record) encode() []byte {
	data, err := cbor.Marshal(r.sorted())
	if err != nil {
		// An entry holds no type that fails to encode.
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

// decode reads the value of a shard's object.
func decode(version int64, data []byte) (record, error) {
	var list []entry
	if err := decoding.Unmarshal(data, &list); err != nil {
		return record{}, eris.Wrap(err, "decode claims")
	}
	r := newRecord()
	r.version = version
	for _, e := range list {
		if e.State != statePending && e.State != stateRan {
			return record{}, eris.Errorf("decode claims: state %d", e.State)
		}
		if _, doubled := r.entries[e.Key]; doubled {
			return record{}, eris.Errorf("decode claims: key %x twice", e.Key)
		}
		r.set(e)
	}
	return r, nil
}
