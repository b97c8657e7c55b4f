package origin

import (
	"context"
	"fmt"
	"maps"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// A countingStore counts calls and can be away.
type countingStore struct {
	store.Store
	puts, lists atomic.Int64
	away        atomic.Bool
}

func (s *countingStore) Put(ctx context.Context, key string, value []byte, expect int64) store.WriteResult {
	s.puts.Add(1)
	if s.away.Load() {
		return store.NotSent{Err: store.ErrUnavailable}
	}
	return s.Store.Put(ctx, key, value, expect)
}

func (s *countingStore) List(ctx context.Context, prefix string) ([]store.Object, error) {
	s.lists.Add(1)
	if s.away.Load() {
		return nil, store.ErrUnavailable
	}
	return s.Store.List(ctx, prefix)
}

// A fleet is some VMs that know the same targets. The first two are recorders.
type fleet struct {
	t       *testing.T
	store   *countingStore
	network *peer.Memory
	view    atomic.Pointer[source.View]
	fresh   atomic.Bool
	// views holds the views since the start, if VMs hear of changes late, by as much as
	// their lag, and times when each was listed.
	views []*source.View
	times []time.Time
	lags  map[string]time.Duration
	vms   []*vm
	// down holds the VMs that are not running.
	mu   sync.Mutex
	down map[string]bool
}

type vm struct {
	*Task
	name string
	stop context.CancelFunc
}

// play runs a script against a fleet of VMs in virtual time.
func play(t *testing.T, size int, script func(f *fleet)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{t: t, store: &countingStore{Store: store.NewMemory()}, network: peer.NewMemory(), vms: make([]*vm, size), down: map[string]bool{}, lags: map[string]time.Duration{}}
		f.fresh.Store(true)
		f.list("v1")
		for i := range size {
			f.start(i)
		}
		defer func() {
			for _, v := range f.vms {
				v.stop()
			}
			time.Sleep(askTimeout)
		}()
		script(f)
	})
}

// start starts a VM, in place of an earlier process of it.
func (f *fleet) start(i int) {
	name := fmt.Sprint("vm-", i)
	ctx, cancel := context.WithCancel(f.t.Context())
	node := f.network.Node(name, name)
	v := &vm{name: name, stop: cancel}
	v.Task = NewTask(Options{
		VM: name, Store: f.store, Peers: node, View: func() *source.View { return f.viewOf(name) },
		Fresh: func() bool { return f.isFresh(name) }, Bound: func() time.Duration { return testBound }, Scale: func() float64 { return 1 }, Recorders: func() ([]peer.Destination, bool) { return f.recorders(name) },
	})
	v.Register(node)
	f.vms[i] = v
	f.setDown(name, false)
	go func() { _ = v.Run(ctx) }()
}

// kill ends the process of a VM.
func (f *fleet) kill(i int) {
	f.vms[i].stop()
	f.setDown(f.vms[i].name, true)
	f.network.Remove(f.vms[i].name)
}

// killAll ends the processes of all VMs.
func (f *fleet) killAll() {
	for i := range f.vms {
		f.kill(i)
	}
}

func (f *fleet) setDown(name string, down bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.down[name] = down
}

func (f *fleet) recorders(self string) (others []peer.Destination, records bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	n := 0
	for _, name := range slices.Sorted(maps.Keys(f.down)) {
		if f.down[name] || n >= 2 {
			continue
		}
		n++
		if name == self {
			records = true
			continue
		}
		others = append(others, peer.Destination{VM: name, Address: name})
	}
	return others, records
}

// list replaces the listed targets by one of each version.
func (f *fleet) list(versions ...string) {
	view := &source.View{
		Config:  &site.Config{Version: 1, Routes: []site.Route{{Resumable: true, Shares: []site.Share{{Service: "llm"}}}}},
		Targets: map[string]*site.Target{"app": {ID: "app", Service: "app", Version: "1"}, "app-2": {ID: "app-2", Service: "app", Version: "2"}},
	}
	for _, version := range versions {
		view.Targets[version] = &site.Target{ID: version, Service: "llm", Version: version}
	}
	f.view.Store(view)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.views, f.times = append(f.views, view), append(f.times, time.Now())
}

// testBound is the age up to which a VM's list of targets is fresh.
const testBound = 2 * time.Second

// viewOf returns the view of a VM.
func (f *fleet) viewOf(name string) *source.View {
	f.mu.Lock()
	defer f.mu.Unlock()
	at := time.Now().Add(-f.lags[name])
	view := &source.View{}
	for i, listed := range f.times {
		if !listed.After(at) {
			view = f.views[i]
		}
	}
	return view
}

// isFresh reports whether the view of a VM is fresh.
func (f *fleet) isFresh(name string) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.fresh.Load() && f.lags[name] < testBound
}

// assertOrigin checks what a VM knows of a stream.
func (f *fleet) assertOrigin(i int, request string, want Origin) {
	f.t.Helper()
	got := f.vms[i].Find(f.t.Context(), "llm", "c", request)
	if _, ok := got.(Unknown); ok {
		got = Unknown{}
	}
	must.Eq(f.t, want, got, must.Sprintf("VM %d, %s", i, request))
}

func (f *fleet) begin(i int, request, version string) {
	f.vms[i].Record("llm", "c", request, version)
}

func TestOneVersion(t *testing.T) {
	t.Run("a stream of any name goes on, without calls", func(t *testing.T) {
		play(t, 4, func(f *fleet) {
			time.Sleep(2 * remember)
			calls := f.store.puts.Load()
			must.LessEq(t, 2, calls, must.Sprint("the version is recorded"))
			for i := range 1000 {
				f.begin(3, fmt.Sprint(i), "v1")
				f.assertOrigin(i%4, "other", Began{"v1"})
			}
			f.assertOrigin(2, "", Began{"v1"})
			must.Eq(t, calls, f.store.puts.Load()+f.store.lists.Load())
		})
	})
	t.Run("a VM that has just started learns it from others or the store", func(t *testing.T) {
		play(t, 4, func(f *fleet) {
			f.assertOrigin(3, "other", Unknown{})
			time.Sleep(time.Second)
			f.assertOrigin(3, "other", Began{"v1"})
			must.Eq(t, 2, f.store.lists.Load())
			time.Sleep(2 * remember)
			f.kill(3)
			f.start(3)
			f.assertOrigin(3, "other", Began{"v1"})
			must.Eq(t, 2, f.store.lists.Load())
		})
	})
	t.Run("not if another one took its place while no VM was running", func(t *testing.T) {
		play(t, 4, func(f *fleet) {
			time.Sleep(2 * remember)
			f.killAll()
			f.list("v2")
			for i := range 4 {
				f.start(i)
			}
			for range 10 {
				f.assertOrigin(3, "other", Unknown{})
				time.Sleep(time.Second)
			}
			time.Sleep(3 * remember)
			f.assertOrigin(3, "other", Began{"v2"})
		})
	})
	t.Run("and refuses it without either", func(t *testing.T) {
		play(t, 4, func(f *fleet) {
			f.store.away.Store(true)
			f.assertOrigin(3, "other", Unknown{})
		})
	})
	t.Run("at that version, whatever is listed next", func(t *testing.T) {
		play(t, 4, func(f *fleet) {
			time.Sleep(2 * remember)
			got := f.vms[3].Find(f.t.Context(), "llm", "c", "other")
			f.list("v1", "v2")
			must.Eq(t, Origin(Began{"v1"}), got)
		})
	})
	t.Run("not without a recent list of targets", func(t *testing.T) {
		play(t, 4, func(f *fleet) {
			time.Sleep(2 * remember)
			f.fresh.Store(false)
			f.assertOrigin(3, "other", Unknown{})
		})
	})
	t.Run("again some time after another one has gone", func(t *testing.T) {
		play(t, 4, func(f *fleet) {
			time.Sleep(2 * remember)
			f.list("v1", "v2")
			time.Sleep(time.Second)
			f.list("v2")
			time.Sleep(remember - time.Second)
			f.assertOrigin(3, "other", Unknown{})
			time.Sleep(2 * time.Second)
			f.assertOrigin(3, "other", Began{"v2"})
		})
	})
}

func TestSeveralVersions(t *testing.T) {
	mixed := func(t *testing.T, script func(f *fleet)) {
		t.Helper()
		play(t, 4, func(f *fleet) {
			time.Sleep(2 * remember)
			f.begin(3, "early", "v1")
			f.list("v1", "v2")
			time.Sleep(time.Second)
			f.begin(3, "a", "v2")
			f.begin(2, "b", "v1")
			script(f)
		})
	}
	t.Run("a stream is known to all", func(t *testing.T) {
		mixed(t, func(f *fleet) {
			time.Sleep(2 * checkInterval)
			for i := range 4 {
				f.assertOrigin(i, "early", Began{"v1"})
				f.assertOrigin(i, "a", Began{"v2"})
				f.assertOrigin(i, "b", Began{"v1"})
				f.assertOrigin(i, "c", Unknown{})
				f.assertOrigin(i, "", Unknown{})
			}
		})
	})
	t.Run("streams of other customers and services are others", func(t *testing.T) {
		mixed(t, func(f *fleet) {
			_, known := f.vms[3].Find(f.t.Context(), "llm", "d", "a").(Began)
			must.False(t, known)
			_, known = f.vms[3].Find(f.t.Context(), "other", "c", "a").(Began)
			must.False(t, known)
		})
	})
	t.Run("new recorders are told", func(t *testing.T) {
		mixed(t, func(f *fleet) {
			time.Sleep(2 * checkInterval)
			f.store.away.Store(true)
			f.kill(0)
			f.kill(1)
			time.Sleep(2 * checkInterval)
			f.assertOrigin(2, "a", Began{"v2"})
			f.assertOrigin(3, "b", Began{"v1"})
		})
	})
	t.Run("the store knows what lost VMs began", func(t *testing.T) {
		mixed(t, func(f *fleet) {
			time.Sleep(2*writeInterval + 2*checkInterval)
			f.killAll()
			time.Sleep(2 * time.Second)
			for i := range 4 {
				f.start(i)
			}
			for i := range 4 {
				f.assertOrigin(i, "a", Began{"v2"})
				f.assertOrigin(i, "b", Began{"v1"})
				f.assertOrigin(i, "c", Unknown{})
			}
		})
	})
	t.Run("also once recorders have written again", func(t *testing.T) {
		mixed(t, func(f *fleet) {
			time.Sleep(2*writeInterval + 2*checkInterval)
			f.killAll()
			for i := range 4 {
				f.start(i)
			}
			for i := range 20 {
				f.begin(2, fmt.Sprint(i), "v1")
				time.Sleep(2 * writeInterval)
			}
			f.assertOrigin(3, "a", Began{"v2"})
			f.killAll()
			f.start(3)
			f.assertOrigin(3, "a", Began{"v2"})
		})
	})
	t.Run("also that there were several", func(t *testing.T) {
		mixed(t, func(f *fleet) {
			time.Sleep(2*writeInterval + 2*checkInterval)
			f.killAll()
			f.list("v2")
			f.start(3)
			f.assertOrigin(3, "b", Began{"v1"})
			f.assertOrigin(3, "c", Unknown{})
			time.Sleep(2*remember + time.Second)
			f.assertOrigin(3, "c", Began{"v2"})
		})
	})
	t.Run("VMs that start write nothing before they begin streams", func(t *testing.T) {
		mixed(t, func(f *fleet) {
			time.Sleep(2*writeInterval + 2*checkInterval)
			f.killAll()
			puts := f.store.puts.Load()
			for i := range 4 {
				f.start(i)
			}
			time.Sleep(remember / 2)
			must.LessEq(t, puts+2, f.store.puts.Load(), must.Sprint("but that there are two versions"))
		})
	})
	t.Run("until a VM is forgotten", func(t *testing.T) {
		mixed(t, func(f *fleet) {
			time.Sleep(pageTime)
			f.killAll()
			f.start(3)
			other := pageKey("vm-0-1", 1)
			f.store.Store.Put(f.t.Context(), other, []byte("{}"), store.MustNotExist)
			f.vms[3].Forget(f.t.Context(), "vm-0")
			f.vms[3].Forget(f.t.Context(), "vm-1")
			left, err := f.store.List(f.t.Context(), Kind+"/")
			must.NoError(t, err)
			keys := []string{}
			for _, o := range left {
				keys = append(keys, o.Key)
			}
			must.Eq(t, []string{versionsKey("llm"), other}, keys)
		})
	})
	t.Run("the store gets some calls a second, whatever the number of streams", func(t *testing.T) {
		mixed(t, func(f *fleet) {
			const seconds = 20
			for i := range 100 * seconds {
				f.begin(i%4, fmt.Sprint(i), "v1")
				time.Sleep(time.Second / 100)
			}
			must.LessEq(t, 2*seconds*int(time.Second/writeInterval)+10, int(f.store.puts.Load()))
			must.Zero(t, f.store.lists.Load())
		})
	})
}

func TestTableIsBounded(t *testing.T) {
	now := time.Now()
	streams := newTable()
	for i := range 3 * maxStreams {
		streams.add(Stream{Key: Key(i), Version: "v1"}, now, own)
		streams.add(Stream{Key: 0, Version: "v1"}, now, own)
	}
	must.LessEq(t, maxStreams, len(streams.streams))
	must.LessEq(t, 4*maxStreams, len(streams.order))
	_, ok := streams.find(Key(3*maxStreams-1), now)
	must.True(t, ok)
	streams.add(Stream{Key: 1, Version: "v1"}, now.Add(remember), own)
	must.MapLen(t, 1, streams.streams)
	must.SliceLen(t, 1, streams.order)
}

// TestRecordThatIsDamaged guards against a record of an earlier or later build that stops a
// VM from reading the others.
func TestRecordThatIsDamaged(t *testing.T) {
	play(t, 2, func(f *fleet) {
		for i, value := range []string{`{}`, `[]`, `"x"`, `{"at":"x"}`, `{"streams":{"v":"AAAA"}}`, `{"streams":{"v":"!"}}`, `{"service":"llm","versions":["v0"]}`} {
			f.store.Store.Put(f.t.Context(), fmt.Sprintf("%s/x%d", Kind, i), []byte(value), store.MustNotExist)
		}
		time.Sleep(time.Second)
		f.assertOrigin(1, "a", Began{"v1"})
	})
}

// TestVersionIsKeptOnceTold guards against a request that is sent to a target of another version
// after others were told where its stream begins, so that they take it up elsewhere.
func TestVersionIsKeptOnceTold(t *testing.T) {
	begin := func(f *fleet, i int, version string) string { return f.vms[i].Record("llm", "c", "a", version) }
	play(t, 4, func(f *fleet) {
		must.Eq(t, "v1", begin(f, 3, "v1"))
		time.Sleep(time.Second)
		must.Eq(t, "v2", begin(f, 3, "v2"), must.Sprint("nobody was told while there was one version"))
		f.list("v1", "v2")
		must.Eq(t, "v1", begin(f, 3, "v1"), must.Sprint("nobody was told yet"))
		time.Sleep(2 * checkInterval)
		must.Eq(t, "v1", begin(f, 3, "v2"), must.Sprint("the recorders were told"))
		f.assertOrigin(1, "a", Began{"v1"})
		must.Eq(t, "v1", begin(f, 1, "v2"), must.Sprint("another VM passes it on"))
		must.Eq(t, "v2", f.vms[3].Record("llm", "d", "a", "v2"), must.Sprint("another customer"))
	})
}

// A randomStream is a stream and the version that began it.
type randomStream struct {
	request, version string
	end              time.Time
}

// playRandom begins streams and takes them up at random VMs, which hear of changes late or not
// at all, while versions come and go and VMs are lost, one or all at once. It returns how many
// were taken up, went on, and did so at another version.
func playRandom(t *testing.T, seed uint64) (takenUp, wentOn, mixed int) {
	t.Helper()
	r := rand.New(rand.NewPCG(seed, 57))
	play(t, 5, func(f *fleet) {
		versions, next := []string{"v1"}, 2
		var streams []randomStream
		setLag := func(i int, most time.Duration) {
			f.mu.Lock()
			defer f.mu.Unlock()
			f.lags[fmt.Sprint("vm-", i)] = time.Duration(r.Int64N(int64(most)))
		}
		time.Sleep(time.Duration(r.IntN(40)) * time.Second)
		for step := range 1500 {
			time.Sleep(20 * time.Millisecond)
			i := r.IntN(len(f.vms))
			if f.isDown(i) {
				if r.IntN(20) == 0 {
					f.start(i)
				}
				continue
			}
			switch n := r.IntN(1000); {
			case n < 12 && f.store.away.Load():
				// Targets are listed in the store.
			case n < 4 && len(versions) < 3:
				versions = append(versions, fmt.Sprint("v", next))
				next++
				f.list(versions...)
			case n < 12 && len(versions) > 1:
				// An old version may leave at once.
				versions = versions[1:]
				f.list(versions...)
			case n < 20:
				setLag(i, testBound)
			case n < 24:
				setLag(i, 3*testBound)
			case n < 28:
				f.kill(i)
			case n < 30:
				f.killAll()
			case n < 32:
				f.store.away.Store(!f.store.away.Load())
			case n < 500:
				if s, ok := f.beginRandom(r, i, fmt.Sprint("s", step)); ok {
					streams = append(streams, s)
				}
			case len(streams) > 0:
				s := streams[r.IntN(len(streams))]
				if time.Now().After(s.end) {
					continue
				}
				takenUp++
				if o, ok := f.vms[i].Find(f.t.Context(), "llm", "c", s.request).(Began); ok {
					wentOn++
					if o.Version != s.version {
						mixed++
						t.Logf("seed %d, step %d: %s began at %s and goes on at %s", seed, step, s.request, s.version, o.Version)
					}
				}
			}
		}
	})
	return takenUp, wentOn, mixed
}

func (f *fleet) isDown(i int) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.down[f.vms[i].name]
}

// beginRandom begins a stream at a VM, at a version that the VM may use, if any.
func (f *fleet) beginRandom(r *rand.Rand, i int, request string) (s randomStream, ok bool) {
	v := f.vms[i]
	young := v.Young("llm")
	var usable, avoided []string
	for _, target := range f.viewOf(v.name).Targets {
		switch {
		case target.Service != "llm":
		case slices.Contains(young, target.Version):
			avoided = append(avoided, target.Version)
		default:
			usable = append(usable, target.Version)
		}
	}
	if len(usable) == 0 {
		usable = avoided
	}
	if len(usable) == 0 {
		return s, false
	}
	slices.Sort(usable)
	version := usable[r.IntN(len(usable))]
	if v.Record("llm", "c", request, version) != version {
		return s, false
	}
	return randomStream{request: request, version: version, end: time.Now().Add(15 * time.Second)}, true
}

// TestRandomLossesMixNoVersions guards against a stream that goes on at another version after
// any order of changes and losses.
func TestRandomLossesMixNoVersions(t *testing.T) {
	plays := 30
	if n, err := strconv.Atoi(os.Getenv("PLAYS")); err == nil {
		plays = n
	}
	takenUp, wentOn, mixed := 0, 0, 0
	for i := range plays {
		a, b, c := playRandom(t, seed.Value()+uint64(i))
		takenUp, wentOn, mixed = takenUp+a, wentOn+b, mixed+c
	}
	t.Logf("%d plays: %d of %d streams went on", plays, wentOn, takenUp)
	must.Zero(t, mixed)
	must.Positive(t, wentOn)
}
