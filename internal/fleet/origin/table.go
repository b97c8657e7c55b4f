package origin

import (
	"maps"
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

// A listing is the time during which a version was listed.
type listing struct{ first, last time.Time }

// versions tells which software versions of each service's targets are listed, or were lately.
type versions struct {
	// started is since when targets are known.
	started time.Time
	listed  map[string]map[string]listing
	// streamed are the services with routes whose streams may be taken up under config.
	streamed map[string]bool
	config   *site.Config
	// view is the one that was last observed, at observed.
	view     *source.View
	observed time.Time
	// several are the services with several versions, now or lately, in order.
	several []string
}

// observeInterval is the shortest time between two observations of the same view.
const observeInterval = 50 * time.Millisecond

// observe records the versions that are listed now.
func (v *versions) observe(view *source.View, now time.Time) {
	if view.Config == nil || len(view.Targets) == 0 && v.started.IsZero() || view == v.view && now.Sub(v.observed) < observeInterval {
		return
	}
	v.view, v.observed = view, now
	if v.started.IsZero() {
		v.started = now
	}
	if v.listed == nil {
		v.listed = map[string]map[string]listing{}
	}
	v.configure(view.Config)
	for _, t := range view.Targets {
		if !v.streamed[t.Service] {
			continue
		}
		if v.listed[t.Service] == nil {
			v.listed[t.Service] = map[string]listing{}
		}
		l, known := v.listed[t.Service][t.Version]
		if !known {
			l.first = now
		}
		l.last = now
		v.listed[t.Service][t.Version] = l
	}
	for _, of := range v.listed {
		for version, l := range of {
			if now.Sub(l.last) >= remember {
				delete(of, version)
			}
		}
	}
	v.count()
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
func (v *versions) mixed() []string { return v.several }

// count finds the services with several versions.
func (v *versions) count() {
	v.several = nil
	for service, of := range v.listed {
		if len(of) > 1 {
			v.several = append(v.several, service)
		}
	}
	slices.Sort(v.several)
}

// isMixed reports whether a service has several versions, now or lately.
func (v *versions) isMixed(service string) bool { return len(v.listed[service]) > 1 }

// of returns the versions that a service has, or had lately, in order.
func (v *versions) of(service string) []string { return slices.Sorted(maps.Keys(v.listed[service])) }

// learn counts versions as listed lately, which a record says a service has or had. A VM that has
// known the targets for long enough knows better.
func (v *versions) learn(service string, names []string, now time.Time) {
	if !v.started.IsZero() && now.Sub(v.started) >= remember {
		return
	}
	if v.listed == nil {
		v.listed = map[string]map[string]listing{}
	}
	if v.listed[service] == nil {
		v.listed[service] = map[string]listing{}
	}
	for _, name := range names {
		l := v.listed[service][name]
		l.last = now
		v.listed[service][name] = l
	}
	v.count()
}

// young returns the versions of a service that have been listed for less than a time, beside
// others, since targets are known.
func (v *versions) young(service string, age time.Duration, now time.Time) []string {
	var out []string
	for version, l := range v.listed[service] {
		if l.first.After(v.started) && now.Sub(l.first) < age {
			out = append(out, version)
		}
	}
	return out
}

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
	return ok && !v.started.IsZero() && now.Sub(v.started) >= remember
}
