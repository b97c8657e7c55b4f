package origin

import (
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

const (
	// remember is how long a stream is remembered after it was last passed on. Callers give
	// up a request within some 15 s.
	remember = 20 * time.Second
	// recordAgain is after what time a stream that goes on is added again.
	recordAgain = remember / 3
	// maxStreams is the number of streams that a VM remembers, the latest ones.
	maxStreams = 8192
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
	// number is that of the addition. own reports whether this VM passes the stream on.
	number int64
	own    bool
}

type addition struct {
	key    Key
	number int64
}

func newTable() *table { return &table{streams: map[Key]known{}} }

// add records a stream that was passed on at a time.
func (t *table) add(s Stream, at time.Time, own bool) {
	if old, ok := t.streams[s.Key]; ok && old.at.After(at) {
		return
	}
	t.added++
	t.streams[s.Key] = known{version: s.Version, at: at, number: t.added, own: own}
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

// since returns the streams that were added after an addition, only own ones if ownOnly is set,
// and the number of the last addition.
func (t *table) since(number int64, ownOnly bool, now time.Time) ([]Stream, int64) {
	var out []Stream
	from, _ := slices.BinarySearchFunc(t.order, number+1, func(a addition, n int64) int { return int(a.number - n) })
	for _, a := range t.order[from:] {
		k, ok := t.streams[a.key]
		if ok && k.number == a.number && (k.own || !ownOnly) && now.Sub(k.at) < remember {
			out = append(out, Stream{Key: a.key, Version: k.version, AgeMS: now.Sub(k.at).Milliseconds()})
		}
	}
	return out, t.added
}

// versions tells which software versions of each service's targets were listed, and when last.
type versions struct {
	// started is since when targets are known.
	started time.Time
	listed  map[string]map[string]time.Time
	// streamed are the services with routes whose streams may be taken up under config.
	streamed map[string]bool
	config   *site.Config
}

// observe records the versions that are listed now.
func (v *versions) observe(view *source.View, now time.Time) {
	if view.Config == nil {
		return
	}
	if v.listed == nil {
		v.started, v.listed = now, map[string]map[string]time.Time{}
	}
	v.configure(view.Config)
	for _, t := range view.Targets {
		if !v.streamed[t.Service] {
			continue
		}
		if v.listed[t.Service] == nil {
			v.listed[t.Service] = map[string]time.Time{}
		}
		v.listed[t.Service][t.Version] = now
	}
	for _, of := range v.listed {
		for version, last := range of {
			if now.Sub(last) >= remember {
				delete(of, version)
			}
		}
	}
}

// configure finds the services whose streams may be taken up.
func (v *versions) configure(cfg *site.Config) {
	if cfg == v.config {
		return
	}
	v.config, v.streamed = cfg, map[string]bool{}
	for _, r := range cfg.Routes {
		if !r.Resumable {
			continue
		}
		for _, s := range r.Shares {
			v.streamed[s.Service] = true
		}
	}
}

// mixed returns the services with several versions, now or lately, in order.
func (v *versions) mixed() []string {
	var out []string
	for service, of := range v.listed {
		if len(of) > 1 {
			out = append(out, service)
		}
	}
	slices.Sort(out)
	return out
}

// isMixed reports whether a service has several versions, now or lately.
func (v *versions) isMixed(service string) bool { return len(v.listed[service]) > 1 }

// only returns the one version that a service has and had lately, if it is one.
func (v *versions) only(service string) (version string, ok bool) {
	if len(v.listed[service]) != 1 {
		return "", false
	}
	for version = range v.listed[service] {
	}
	return version, true
}

// isSole reports whether all streams of a service that may still go on began at the same version.
func (v *versions) isSole(service string, now time.Time) bool {
	_, ok := v.only(service)
	return ok && now.Sub(v.started) >= remember
}
