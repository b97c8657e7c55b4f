package prefix_test

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/target"
	"github.com/baobabdyke/baobabdyke/vm"
)

// fakeEngines is a target.Client for engines whose caches are set by a test.
type fakeEngines struct {
	target.Client
	mu            sync.Mutex
	down          bool
	held          map[string][]uint64
	incarnations  map[string]int
	sequences     map[string]uint64
	feeds         map[string][]chan target.CacheEvent
	feedsOpened   int
	snapshotsRead int
}

func newFakeEngines(n int) *fakeEngines {
	e := &fakeEngines{
		held: map[string][]uint64{}, incarnations: map[string]int{}, sequences: map[string]uint64{},
		feeds: map[string][]chan target.CacheEvent{},
	}
	for i := range n {
		e.incarnations[fmt.Sprintf("10.0.0.%d:80", i)] = 1
	}
	return e
}

func (e *fakeEngines) Snapshot(_ context.Context, address string) (target.CacheSnapshot, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return target.CacheSnapshot{}, context.DeadlineExceeded
	}
	e.snapshotsRead++
	return target.CacheSnapshot{
		Sequence: e.sequences[address], Incarnation: fmt.Sprintf("i%d", e.incarnations[address]), Weights: "w", Pieces: append([]uint64(nil), e.held[address]...),
	}, nil
}

func (e *fakeEngines) Events(ctx context.Context, address string, _ uint64) (<-chan target.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	feed := make(chan target.CacheEvent, 100)
	e.feeds[address] = append(e.feeds[address], feed)
	e.feedsOpened++
	return feed, ctx.Err()
}

// store adds pieces to an engine's cache. If lost is set, no event is sent.
func (e *fakeEngines) store(address string, keys []prefix.Key, lost bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held[address] = append(e.held[address], rawKeys(keys)...)
	e.sequences[address]++
	for _, feed := range e.feeds[address] {
		if !lost {
			feed <- target.CacheEvent{
				Sequence: e.sequences[address], Incarnation: fmt.Sprintf("i%d", e.incarnations[address]), Weights: "w",
				Kind: target.EventStored, Pieces: rawKeys(keys),
			}
		}
	}
}

// crash restarts an engine with an empty cache.
func (e *fakeEngines) crash(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.incarnations[address]++
	e.sequences[address] = 0
	e.held[address] = nil
}

// A roster is the list of live VMs as seen by all VMs of a test.
type roster struct {
	vm.Roster
	mu   sync.Mutex
	live []vm.Member
}

func (r *roster) Live() []vm.Member {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.live
}

// change replaces the list by the result of f on a copy of it.
func (r *roster) change(f func([]vm.Member) []vm.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.live = f(append([]vm.Member(nil), r.live...))
}

// A fleet is a set of VMs that share engines.
type fleet struct {
	t       *testing.T
	engines *fakeEngines
	memory  *peer.Memory
	roster  *roster
	view    *config.View
	tasks   []*prefix.Task
	stops   []context.CancelFunc
}

func newFleet(t *testing.T, vms, n int) *fleet {
	f := &fleet{t: t, engines: newFakeEngines(n), memory: peer.NewMemory(), roster: &roster{}}
	cfg := &config.Config{Version: 1}
	for i := range n {
		cfg.Targets = append(cfg.Targets, config.Target{
			Name: fmt.Sprintf("e%d", i), Kind: config.TargetEngine, Address: fmt.Sprintf("10.0.0.%d:80", i),
		})
	}
	f.view = config.NewView(cfg)
	for i := range vms {
		f.roster.live = append(f.roster.live, vm.Member{ID: fmt.Sprintf("vm%02d", i), Incarnation: 1, Peer: fmt.Sprintf("10.1.0.%d:90", i)})
	}
	f.tasks = make([]*prefix.Task, vms)
	f.stops = make([]context.CancelFunc, vms)
	for i := range vms {
		f.start(i)
	}
	f.settle(3 * time.Second)
	return f
}

// start starts one VM, or restarts it with a new incarnation.
func (f *fleet) start(i int) {
	if f.stops[i] != nil {
		f.stops[i]()
		f.roster.change(func(l []vm.Member) []vm.Member {
			l[i].Incarnation++
			return l
		})
	}
	ctx, cancel := context.WithCancel(f.t.Context())
	f.stops[i] = cancel
	self := f.roster.Live()[i]
	node := f.memory.Node(self.ID, self.Peer)
	f.tasks[i] = prefix.NewTask(prefix.Options{
		Client: f.engines, Config: func() *config.View { return f.view },
		Roster: f.roster, Peers: node, Self: self.ID, States: f.states,
	})
	f.tasks[i].Register(node)
	task := f.tasks[i]
	go func() { _ = task.Run(ctx) }()
}

// states returns target states with the current incarnations of the engines.
func (f *fleet) states() []target.State {
	f.engines.mu.Lock()
	defer f.engines.mu.Unlock()
	var list []target.State
	for i := range f.view.Targets {
		t := &f.view.Targets[i]
		list = append(list, target.State{Target: t, Reported: true, Report: target.Report{
			Incarnation: fmt.Sprintf("i%d", f.engines.incarnations[t.Address]),
		}})
	}
	return list
}

func (f *fleet) settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// mustMatch checks that a lookup on each VM matches n pieces of keys on the
// engine.
func (f *fleet) mustMatch(engine string, keys []prefix.Key, n int) {
	f.t.Helper()
	for i := range f.tasks {
		f.mustMatchOn(i, engine, keys, n)
	}
}

func (f *fleet) mustMatchOn(i int, engine string, keys []prefix.Key, n int) {
	f.t.Helper()
	got, confidence := 0, 1.0
	for _, m := range f.tasks[i].Lookup(f.t.Context(), keys, nil) {
		if m.Engine == engine {
			got, confidence = m.Pieces, m.Confidence
		}
	}
	must.Eq(f.t, n, got, must.Sprintf("VM %d", i))
	must.Eq(f.t, 1, confidence, must.Sprintf("VM %d", i))
}

func TestTaskFleet(t *testing.T) {
	keys := prompts[0][:10]
	for name, c := range map[string]struct {
		vms int
		run func(f *fleet)
	}{
		"one reader for each engine": {4, func(f *fleet) {
			f.engines.store("10.0.0.0:80", keys, false)
			f.settle(time.Second)
			f.mustMatch("e0", keys, 10)
			must.Eq(f.t, 3, f.engines.feedsOpened)
		}},
		"event lost": {4, func(f *fleet) {
			f.engines.store("10.0.0.1:80", keys[:4], true)
			f.engines.store("10.0.0.1:80", keys[4:], false)
			f.settle(2 * time.Second)
			f.mustMatch("e1", keys, 10)
		}},
		"engine restarted with an empty cache": {4, func(f *fleet) {
			f.engines.store("10.0.0.1:80", keys, false)
			f.engines.crash("10.0.0.1:80")
			f.engines.store("10.0.0.1:80", keys[:2], false)
			f.settle(2 * time.Second)
			f.mustMatch("e1", keys, 2)
		}},
		"engine restarted without an event in the open feed": {4, func(f *fleet) {
			f.engines.store("10.0.0.1:80", keys, false)
			f.settle(time.Second)
			f.engines.crash("10.0.0.1:80")
			f.engines.store("10.0.0.1:80", keys[:3], true)
			f.settle(3 * time.Second)
			f.mustMatch("e1", keys, 3)
		}},
		"VM restarted while engines do not respond": {4, func(f *fleet) {
			f.engines.store("10.0.0.0:80", keys, false)
			f.settle(time.Second)
			f.engines.down = true
			f.start(2)
			f.settle(time.Second)
			must.True(f.t, f.tasks[2].Warm())
			f.mustMatchOn(2, "e0", keys, 10)
		}},
		"all VMs restarted": {4, func(f *fleet) {
			f.engines.store("10.0.0.0:80", keys, false)
			f.settle(time.Second)
			f.engines.snapshotsRead = 0
			for i := range f.tasks {
				f.start(i)
			}
			f.settle(2 * time.Second)
			f.mustMatch("e0", keys, 10)
			must.LessEq(f.t, 6, f.engines.snapshotsRead)
		}},
		"connection between two VMs cut and restored": {4, func(f *fleet) {
			f.memory.Disconnect("vm00", "vm01")
			for i := range 3 {
				f.engines.store(fmt.Sprintf("10.0.0.%d:80", i), keys, false)
			}
			f.settle(5 * time.Second)
			f.memory.Heal("vm00", "vm01")
			f.settle(6 * time.Second)
			for i := range 3 {
				f.mustMatch(fmt.Sprintf("e%d", i), keys, 10)
			}
		}},
		"prefill announced to the other VMs": {4, func(f *fleet) {
			f.tasks[1].Announce(prefix.Announcement{Engine: "e2", Incarnation: "i1", Weights: "w", Keys: rawKeys(keys), ReadyIn: time.Second})
			for _, c := range []struct {
				after    time.Duration
				inFlight int
			}{{0, 10}, {time.Second, 10}, {2 * time.Second, 0}} {
				f.settle(c.after)
				got := 0
				for _, m := range f.tasks[3].Lookup(f.t.Context(), keys, nil) {
					got = m.InFlight
				}
				must.Eq(f.t, c.inFlight, got)
			}
		}},
		"VM removed, its engines read by others": {4, func(f *fleet) {
			f.stops[1]()
			f.roster.change(func(l []vm.Member) []vm.Member { return append(l[:1], l[2:]...) })
			f.tasks = append(f.tasks[:1], f.tasks[2:]...)
			f.settle(2 * time.Second)
			for i := range 3 {
				f.engines.store(fmt.Sprintf("10.0.0.%d:80", i), keys, false)
			}
			f.settle(2 * time.Second)
			for i := range 3 {
				f.mustMatch(fmt.Sprintf("e%d", i), keys, 10)
			}
		}},
		"partitioned over many VMs": {20, func(f *fleet) {
			f.engines.store("10.0.0.0:80", keys, false)
			f.settle(3 * time.Second)
			f.mustMatch("e0", keys, 10)
			replicas := 0
			for _, task := range f.tasks {
				if task.Dump().(prefix.Dump).Size.Pieces > 0 {
					replicas++
				}
			}
			must.Eq(f.t, 2, replicas)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { c.run(newFleet(t, c.vms, 3)) })
		})
	}
}
