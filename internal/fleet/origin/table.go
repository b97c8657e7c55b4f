package origin

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// remember is how long a stream is remembered after it was last passed on. Callers give
	// up a request within some 15 s.
	remember = 20 * time.Second
	// recordAgain is after what time a stream that goes on is added again.
	recordAgain = remember / 3
	// maxStreams is the number of streams that a VM remembers, the latest ones.
	maxStreams = 16384
)

// A Key identifies a stream: the request that brought its first event, with the customer and
// the service.
type Key uint64

// KeyOf returns the key of a stream. Two customers may use the same id.
func KeyOf(service, customer, request string) Key {
	h := xxhash.New()
	for _, part := range []string{service, customer, request} {
		_, _ = h.WriteString(part)
		_, _ = h.Write([]byte{0})
	}
	return Key(h.Sum64())
}

// A Stream is a stream and the software version of the target that began it.
type Stream struct {
	Key     Key    `cbor:"1,keyasint"`
	Version string `cbor:"2,keyasint"`
	// AgeMS is the time since the stream was last passed on, in milliseconds.
	AgeMS int64 `cbor:"3,keyasint,omitempty"`
}

// A table holds streams in the order in which they were added.
type table struct {
	streams map[Key]known
	// order holds the keys with the time at which each was added. A key that was added
	// again is there twice.
	order []addition
	// added counts the additions, the last of which has this number.
	added int64
}

type known struct {
	version string
	at      time.Time
	// number is that of the addition.
	number int64
	source streamSource
}

// A streamSource is how a VM knows of a stream.
type streamSource int

const (
	// own streams are passed on by this VM, and told ones by another one. filed streams were
	// read from a record, where they are already.
	own streamSource = iota
	told
	filed
)

type addition struct {
	key    Key
	number int64
}

func newTable() *table { return &table{streams: map[Key]known{}} }

// add records a stream that was passed on at a time, unless it is known from about that time.
func (t *table) add(s Stream, at time.Time, source streamSource) {
	if old, ok := t.streams[s.Key]; ok && (old.at.After(at) || old.version == s.Version && at.Sub(old.at) < recordAgain) {
		return
	}
	t.added++
	t.streams[s.Key] = known{version: s.Version, at: at, number: t.added, source: source}
	t.order = append(t.order, addition{s.Key, t.added})
	t.prune(at)
}

// prune removes streams that are too old or too many.
func (t *table) prune(now time.Time) {
	n := 0
	for _, a := range t.order {
		k, ok := t.streams[a.key]
		current := ok && k.number == a.number
		if current && now.Sub(k.at) < remember && len(t.streams) <= maxStreams {
			break
		}
		if current {
			delete(t.streams, a.key)
		}
		n++
	}
	t.order = slices.Delete(t.order, 0, n)
}

// find returns the version that began a stream.
func (t *table) find(k Key, now time.Time) (version string, ok bool) {
	s, ok := t.streams[k]
	if !ok || now.Sub(s.at) >= remember {
		return "", false
	}
	return s.version, true
}

// since returns the streams that were added after an addition and are in no record, only own ones
// if ownOnly is set, and the number of the last addition.
func (t *table) since(number int64, ownOnly bool, now time.Time) ([]Stream, int64) {
	var out []Stream
	from, _ := slices.BinarySearchFunc(t.order, number+1, func(a addition, n int64) int { return int(a.number - n) })
	for _, a := range t.order[from:] {
		k, ok := t.streams[a.key]
		if ok && k.number == a.number && (k.source == own || k.source == told && !ownOnly) && now.Sub(k.at) < remember {
			out = append(out, Stream{Key: a.key, Version: k.version, AgeMS: now.Sub(k.at).Milliseconds()})
		}
	}
	return out, t.added
}
