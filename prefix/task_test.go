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

// An engines is a target.Client of engines that hold what the test says.
type engines struct {
	target.Client
	mu      sync.Mutex
	down    bool
	held    map[string][]uint64
	births  map[string]int
	serial  map[string]uint64
	feeds   map[string][]chan target.CacheEvent
	opened  int
	snapped int
}

func newEngines(n int) *engines {
	e := &engines{
		held: map[string][]uint64{}, births: map[string]int{}, serial: map[string]uint64{},
		feeds: map[string][]chan target.CacheEvent{},
	}
	for i := range n {
		e.births[fmt.Sprintf("10.0.0.%d:80", i)] = 1
	}
	return e
}

func (e *engines) Snapshot(_ context.Context, address string) (target.CacheSnapshot, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.down {
		return target.CacheSnapshot{}, context.DeadlineExceeded
	}
	e.snapped++
	return target.CacheSnapshot{
		Sequence: e.serial[address], Incarnation: fmt.Sprintf("i%d", e.births[address]), Weights: "w", Pieces: append([]uint64(nil), e.held[address]...),
	}, nil
}

func (e *engines) Events(ctx context.Context, address string, _ uint64) (<-chan target.CacheEvent, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	feed := make(chan target.CacheEvent, 100)
	e.feeds[address] = append(e.feeds[address], feed)
	e.opened++
	return feed, ctx.Err()
}

// store adds pieces to an engine; its event is lost if told so.
func (e *engines) store(address string, keys []prefix.Key, lost bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.held[address] = append(e.held[address], raw(keys)...)
	e.serial[address]++
	for _, feed := range e.feeds[address] {
		if !lost {
			feed <- target.CacheEvent{
				Sequence: e.serial[address], Incarnation: fmt.Sprintf("i%d", e.births[address]), Weights: "w",
				Kind: target.EventStored, Pieces: raw(keys),
			}
		}
	}
}

// crash restarts an engine empty.
func (e *engines) crash(address string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.births[address]++
	e.serial[address] = 0
	e.held[address] = nil
}

// A roster is what all VMs of a test see.
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

// change replaces the list by one that f makes of a copy.
func (r *roster) change(f func([]vm.Member) []vm.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.live = f(append([]vm.Member(nil), r.live...))
}

// A fleet is several VMs before the same engines.
type fleet struct {
	t       *testing.T
	engines *engines
	memory  *peer.Memory
	roster  *roster
	view    *config.View
	tasks   []*prefix.Task
	stops   []context.CancelFunc
}

func newFleet(t *testing.T, vms, n int) *fleet {
	f := &fleet{t: t, engines: newEngines(n), memory: peer.NewMemory(), roster: &roster{}}
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

// start runs one VM, as a new incarnation if it ran before.
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

// states reports the incarnations of the engines.
func (f *fleet) states() []target.State {
	f.engines.mu.Lock()
	defer f.engines.mu.Unlock()
	var list []target.State
	for i := range f.view.Targets {
		t := &f.view.Targets[i]
		list = append(list, target.State{Target: t, Reported: true, Report: target.Report{
			Incarnation: fmt.Sprintf("i%d", f.engines.births[t.Address]),
		}})
	}
	return list
}

func (f *fleet) settle(d time.Duration) {
	time.Sleep(d)
	synctest.Wait()
}

// mustHold checks that each VM knows that the engine holds n pieces of keys.
func (f *fleet) mustHold(engine string, keys []prefix.Key, n int) {
	f.t.Helper()
	for i := range f.tasks {
		f.mustKnow(i, engine, keys, n)
	}
}

func (f *fleet) mustKnow(i int, engine string, keys []prefix.Key, n int) {
	f.t.Helper()
	got, worth := 0, 1.0
	for _, h := range f.tasks[i].Lookup(f.t.Context(), keys, nil) {
		if h.Engine == engine {
			got, worth = h.Pieces, h.Confidence
		}
	}
	must.Eq(f.t, n, got, must.Sprintf("VM %d", i))
	must.Eq(f.t, 1, worth, must.Sprintf("VM %d", i))
}

func TestTaskFleet(t *testing.T) {
	chain := chains[0][:10]
	for name, c := range map[string]struct {
		vms int
		run func(f *fleet)
	}{
		"one reader for each engine": {4, func(f *fleet) {
			f.engines.store("10.0.0.0:80", chain, false)
			f.settle(time.Second)
			f.mustHold("e0", chain, 10)
			must.Eq(f.t, 3, f.engines.opened)
		}},
		"events lost": {4, func(f *fleet) {
			f.engines.store("10.0.0.1:80", chain[:4], true)
			f.engines.store("10.0.0.1:80", chain[4:], false)
			f.settle(2 * time.Second)
			f.mustHold("e1", chain, 10)
		}},
		"engine returns empty": {4, func(f *fleet) {
			f.engines.store("10.0.0.1:80", chain, false)
			f.engines.crash("10.0.0.1:80")
			f.engines.store("10.0.0.1:80", chain[:2], false)
			f.settle(2 * time.Second)
			f.mustHold("e1", chain, 2)
		}},
		"engine restarted behind an open feed": {4, func(f *fleet) {
			f.engines.store("10.0.0.1:80", chain, false)
			f.settle(time.Second)
			f.engines.crash("10.0.0.1:80")
			f.engines.store("10.0.0.1:80", chain[:3], true)
			f.settle(3 * time.Second)
			f.mustHold("e1", chain, 3)
		}},
		"VM restarted with engines silent": {4, func(f *fleet) {
			f.engines.store("10.0.0.0:80", chain, false)
			f.settle(time.Second)
			f.engines.down = true
			f.start(2)
			f.settle(time.Second)
			must.True(f.t, f.tasks[2].Warm())
			f.mustKnow(2, "e0", chain, 10)
		}},
		"all VMs restarted": {4, func(f *fleet) {
			f.engines.store("10.0.0.0:80", chain, false)
			f.settle(time.Second)
			f.engines.snapped = 0
			for i := range f.tasks {
				f.start(i)
			}
			f.settle(2 * time.Second)
			f.mustHold("e0", chain, 10)
			must.LessEq(f.t, 6, f.engines.snapped)
		}},
		"link cut and healed": {4, func(f *fleet) {
			f.memory.Cut("vm00", "vm01")
			for i := range 3 {
				f.engines.store(fmt.Sprintf("10.0.0.%d:80", i), chain, false)
			}
			f.settle(5 * time.Second)
			f.memory.Heal("vm00", "vm01")
			f.settle(6 * time.Second)
			for i := range 3 {
				f.mustHold(fmt.Sprintf("e%d", i), chain, 10)
			}
		}},
		"prefill announced to the other VMs": {4, func(f *fleet) {
			f.tasks[1].Announce(prefix.Announcement{Engine: "e2", Incarnation: "i1", Weights: "w", Keys: raw(chain), ReadyIn: time.Second})
			for _, c := range []struct {
				after  time.Duration
				flight int
			}{{0, 10}, {time.Second, 10}, {2 * time.Second, 0}} {
				f.settle(c.after)
				got := 0
				for _, h := range f.tasks[3].Lookup(f.t.Context(), chain, nil) {
					got = h.InFlight
				}
				must.Eq(f.t, c.flight, got)
			}
		}},
		"VM lost, its engines read by others": {4, func(f *fleet) {
			f.stops[1]()
			f.roster.change(func(l []vm.Member) []vm.Member { return append(l[:1], l[2:]...) })
			f.tasks = append(f.tasks[:1], f.tasks[2:]...)
			f.settle(2 * time.Second)
			for i := range 3 {
				f.engines.store(fmt.Sprintf("10.0.0.%d:80", i), chain, false)
			}
			f.settle(2 * time.Second)
			for i := range 3 {
				f.mustHold(fmt.Sprintf("e%d", i), chain, 10)
			}
		}},
		"divided over many VMs": {20, func(f *fleet) {
			f.engines.store("10.0.0.0:80", chain, false)
			f.settle(3 * time.Second)
			f.mustHold("e0", chain, 10)
			homes := 0
			for _, task := range f.tasks {
				if task.Dump().(prefix.Dump).Size.Pieces > 0 {
					homes++
				}
			}
			must.Eq(f.t, 2, homes)
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { c.run(newFleet(t, c.vms, 3)) })
		})
	}
}
