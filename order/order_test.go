package order

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/platform"
	"github.com/baobabdyke/baobabdyke/target"
)

const loadTime = time.Second

var errLost = errors.New("lost")

// bench is a set of engines, and the target.Client that reaches them.
type bench struct {
	target.Client
	mu      sync.Mutex
	view    *config.View
	engines map[string]*engine
	order   []string
	// loading counts the loads that run, most the largest number of it.
	loading, most int
	// fault decides what becomes of an order.
	fault func(address string, o target.Order) fault
}

// engine is one engine of a bench: what it holds and the orders it carried out.
type engine struct {
	target config.Target
	report target.Report
	fence  int64
	done   []target.Order
	at     []time.Time
}

// fault is what goes wrong with an order: its answer is lost, it is lost
// itself, it arrives late, or it is lost and arrives later.
type fault struct {
	loseAnswer, loseOrder bool
	late, behind          time.Duration
}

// newBench returns pools of engines that hold version v1 of model m.
func newBench(pools, engines int, fencing bool) *bench {
	b := &bench{engines: map[string]*engine{}}
	for p := range pools {
		for i := range engines {
			name := fmt.Sprintf("engine-%d-%d", p, i)
			t := config.Target{Name: name, Kind: config.TargetEngine, Pool: poolName(p), Address: name, Fencing: fencing}
			b.engines[name] = &engine{target: t, report: target.Report{Models: []target.Loaded{{Model: "m", Version: "v1"}}}}
			b.order = append(b.order, name)
		}
	}
	b.want(pools, "v1")
	return b
}

func poolName(p int) string { return fmt.Sprintf("pool-%d", p) }

// want configures a version for all pools.
func (b *bench) want(pools int, version string) {
	cfg := &config.Config{Models: []config.Model{{Name: "m"}}}
	for p := range pools {
		cfg.Routes = append(cfg.Routes, config.Route{Name: poolName(p), Kind: config.RouteModel, Pool: poolName(p), Model: "m", Version: version})
	}
	for _, name := range b.order {
		cfg.Targets = append(cfg.Targets, b.engines[name].target)
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.view = config.NewView(cfg)
}

func (b *bench) config() *config.View {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.view
}

// states reports the engines as they are.
func (b *bench) states(pool string) []target.State {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []target.State
	for _, name := range b.order {
		if e := b.engines[name]; e.target.Pool == pool {
			list = append(list, target.State{Target: &e.target, Life: target.LifeLive, Reported: true, Report: e.report, At: time.Now()})
		}
	}
	return list
}

// Order implements target.Client.
func (b *bench) Order(ctx context.Context, address string, o target.Order) target.OrderResult {
	var f fault
	if b.fault != nil {
		f = b.fault(address, o)
	}
	if f.loseOrder {
		<-ctx.Done()
		return target.OrderLost{Err: ctx.Err()}
	}
	if f.behind > 0 {
		time.AfterFunc(f.behind, func() { b.carryOut(b.engines[address], o) })
		return target.OrderLost{Err: errLost}
	}
	if f.late > 0 {
		time.Sleep(f.late)
	}
	r := b.carryOut(b.engines[address], o)
	if f.loseAnswer {
		return target.OrderLost{Err: errLost}
	}
	return r
}

func (b *bench) carryOut(e *engine, o target.Order) target.OrderResult {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.target.Fencing && o.Fence < e.fence {
		return target.OrderRefused{Reason: "old fencing number", Fenced: true}
	}
	e.fence = o.Fence
	if o.Kind == target.OrderLoad {
		b.loading++
		b.most = max(b.most, b.loading)
		b.mu.Unlock()
		time.Sleep(loadTime)
		b.mu.Lock()
		b.loading--
	}
	l := target.Loaded{Model: o.Model, Version: o.Version}
	if o.Adapter != "" {
		l.Adapters = []string{o.Adapter}
	}
	e.report.Models = []target.Loaded{l}
	e.done = append(e.done, o)
	e.at = append(e.at, time.Now())
	return target.OrderDone{}
}

// versions counts the engines by the version that they hold.
func (b *bench) versions() map[string]int {
	b.mu.Lock()
	defer b.mu.Unlock()
	counts := map[string]int{}
	for _, e := range b.engines {
		counts[e.report.Models[0].Version]++
	}
	return counts
}

// orders counts the orders that the engines carried out.
func (b *bench) orders() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.engines {
		n += len(e.done)
	}
	return n
}

// first returns the first order that an engine carried out, and when.
func (b *bench) first(name string) (target.Order, time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e := b.engines[name]
	return e.done[0], e.at[0]
}

// start runs a Task of a VM and returns how to stop it.
func (b *bench) start(t *testing.T, vm string, s platform.Store, change func(*Options)) func() {
	t.Helper()
	o := Options{
		Self: lease.Holder{ID: vm, Incarnation: 1}, Store: s, Client: b,
		Config: b.config, States: b.states, Clock: platform.SystemClock{}, Seed: 1,
	}
	if change != nil {
		change(&o)
	}
	task := NewTask(o)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = task.Run(ctx)
	}()
	stop := func() {
		cancel()
		<-done
	}
	t.Cleanup(stop)
	return stop
}

func TestRollOutKeepsCapacity(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		b := newBench(1, 10, true)
		b.start(t, "vm-1", platform.NewMemory(), nil)
		time.Sleep(20 * time.Second)
		must.Eq(t, 0, b.orders())
		b.want(1, "v2")
		begun := time.Now()
		for b.versions()["v2"] < 10 {
			time.Sleep(100 * time.Millisecond)
			must.LessEq(t, 2, fresh(b))
			must.Less(t, 3*time.Minute, time.Since(begun))
		}
		must.LessEq(t, loadSlots, b.most)
		time.Sleep(time.Minute)
		must.Eq(t, 10, b.orders())
	})
}

// fresh counts the engines whose load ended within the settle time.
func fresh(b *bench) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := 0
	for _, e := range b.engines {
		if k := len(e.at); k > 0 && time.Since(e.at[k-1]) < settleTime {
			n++
		}
	}
	return n
}

func TestLostAnswers(t *testing.T) {
	cases := map[string]fault{
		"answer": {loseAnswer: true},
		"order":  {loseOrder: true},
		"late":   {behind: 4 * time.Second},
	}
	wants := map[string]func(*bench){
		"load":    func(b *bench) { b.want(1, "v2") },
		"adapter": func(b *bench) { b.view.Routes[0].Adapters = []string{"a"} },
	}
	for name, f := range cases {
		for kind, want := range wants {
			t.Run(name+" "+kind, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					b := newBench(1, 1, false)
					sent := 0
					b.fault = func(string, target.Order) fault {
						sent++
						if sent == 1 {
							return f
						}
						return fault{}
					}
					want(b)
					b.start(t, "vm-1", platform.NewMemory(), nil)
					time.Sleep(time.Minute)
					must.Eq(t, 1, b.orders())
				})
			})
		}
	}
}

func TestMoreLoadsThanSlots(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := platform.NewMemory()
		b := newBench(4, 4, true)
		for i, vm := range []string{"vm-1", "vm-2"} {
			b.start(t, vm, m, func(o *Options) {
				o.Candidate = func(pool string) bool { return pool == poolName(i) || pool == poolName(i+2) }
			})
		}
		time.Sleep(20 * time.Second)
		b.want(4, "v2")
		time.Sleep(5 * time.Minute)
		must.Eq(t, map[string]int{"v2": 16}, b.versions())
		must.Eq(t, loadSlots, b.most)
	})
}

// pause makes a VM's calls of the store stand until a time, as when the VM is
// paused.
func pause(m *platform.Memory, vm string, until time.Time) {
	m.SetFault(func(c platform.Call) platform.Fault {
		if c.From == vm {
			return platform.Fault{Delay: time.Until(until)}
		}
		return platform.Fault{}
	})
}

// TestPausedBeforeTheCheck pauses a holder between its plan and its order.
func TestPausedBeforeTheCheck(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := platform.NewMemory()
		b := newBench(1, 1, false)
		var wake atomic.Pointer[time.Time]
		wake.Store(new(time.Time))
		b.start(t, "vm-1", m.For("vm-1"), func(o *Options) {
			o.States = func(pool string) []target.State {
				states := b.states(pool)
				time.Sleep(time.Until(*wake.Load()))
				return states
			}
		})
		time.Sleep(10 * time.Second)
		b.start(t, "vm-2", m.For("vm-2"), nil)
		end := time.Now().Add(time.Minute)
		wake.Store(&end)
		b.want(1, "v2")
		pause(m, "vm-1", end)
		time.Sleep(2 * time.Minute)
		must.Eq(t, 1, b.orders())
		o, _ := b.first("engine-0-0")
		must.Eq(t, 2, o.Fence)
	})
}

// TestPausedBehindTheCheck lets the order of a paused holder reach an engine
// that does not check, after its successor's: the state is put right.
func TestPausedBehindTheCheck(t *testing.T) {
	for _, fencing := range []bool{false, true} {
		t.Run(fmt.Sprintf("fencing %v", fencing), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := platform.NewMemory()
				b := newBench(1, 1, fencing)
				wake := time.Now().Add(2 * time.Minute)
				b.fault = func(_ string, o target.Order) fault {
					if o.Fence == 1 {
						pause(m, "vm-1", wake)
						return fault{late: time.Until(wake)}
					}
					return fault{}
				}
				b.want(1, "v2")
				b.start(t, "vm-1", m.For("vm-1"), nil)
				time.Sleep(15 * time.Second)
				b.want(1, "v3")
				b.start(t, "vm-2", m.For("vm-2"), nil)
				time.Sleep(time.Until(wake) - time.Second)
				must.Eq(t, map[string]int{"v3": 1}, b.versions())
				time.Sleep(time.Minute)
				must.Eq(t, map[string]int{"v3": 1}, b.versions())
				must.Eq(t, fencing, b.orders() == 1)
			})
		})
	}
}

func TestSuccessorWaitsOutOrders(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := platform.NewMemory()
		b := newBench(1, 2, false)
		b.engines["engine-0-1"].target.Fencing = true
		b.want(1, "v2")
		stop := b.start(t, "vm-1", m.For("vm-1"), nil)
		stop()
		begun := time.Now()
		b.start(t, "vm-2", m.For("vm-2"), nil)
		time.Sleep(time.Minute)
		_, blind := b.first("engine-0-0")
		_, checks := b.first("engine-0-1")
		must.Less(t, waitOut, checks.Sub(begun))
		must.Greater(t, waitOut, blind.Sub(begun))
	})
}

func TestPlan(t *testing.T) {
	now := time.Unix(1000, 0)
	b := newBench(1, 4, true)
	situation := func(change func(*Situation)) Situation {
		s := Situation{View: b.view, Pool: poolName(0), Engines: EnginesOf(b.states(poolName(0))), Now: now, Since: now.Add(-time.Minute)}
		for i := range s.Engines {
			s.Engines[i].At = now
		}
		change(&s)
		return s
	}
	b.want(1, "v2")
	cases := []struct {
		name   string
		change func(*Situation)
		want   int
	}{
		{"one of four at a time", func(*Situation) {}, 1},
		{"none while one is dead", func(s *Situation) { s.Engines[3].Live = false }, 0},
		{"an empty one first", func(s *Situation) { s.Engines[3].Report.Models = nil }, 1},
		{"none while one settles", func(s *Situation) {
			s.Sent = map[string]Sent{"engine-0-0": {Order: target.Order{Kind: target.OrderLoad}, Settled: now.Add(1)}}
		}, 0},
		{"none to a leaving one", func(s *Situation) { s.Engines = s.Engines[:1]; s.Engines[0].Report.Leaving = true }, 0},
		{"none on an old report", func(s *Situation) {
			s.Engines = s.Engines[:1]
			s.Sent = map[string]Sent{"engine-0-0": {Ends: now}}
		}, 0},
		{"none while one is open", func(s *Situation) {
			s.Engines = s.Engines[:1]
			s.Sent = map[string]Sent{"engine-0-0": {Open: true, Ends: now.Add(-1)}}
		}, 0},
		{"none by a new holder", func(s *Situation) { s.Since = now }, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			got := Plan(situation(c.change))
			must.Len(t, c.want, got)
		})
	}
}

func TestVersionsShareAPool(t *testing.T) {
	b := newBench(1, 4, true)
	b.view.Routes = append(b.view.Routes, config.Route{Kind: config.RouteModel, Pool: poolName(0), Model: "m", Version: "v2", Adapters: []string{"a"}})
	got := assign(Wants(b.view, poolName(0)), EnginesOf(b.states(poolName(0))))
	counts := map[string]int{}
	for _, wants := range got {
		must.Len(t, 1, wants)
		counts[wants[0].Version]++
	}
	must.Eq(t, map[string]int{"v1": 2, "v2": 2}, counts)
}
