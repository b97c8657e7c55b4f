package order

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/lease"
	"github.com/baobabdyke/baobabdyke/store"
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
			list = append(list, target.State{Target: &e.target, Health: target.HealthLive, Reported: true, Report: e.report, ReportedAt: time.Now()})
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
	if e.target.Fencing && o.FencingToken < e.fence {
		return target.OrderRefused{Reason: "old fencing number", Fenced: true}
	}
	e.fence = o.FencingToken
	if o.Kind == target.OrderLoad {
		b.loading++
		b.most = max(b.most, b.loading)
		b.mu.Unlock()
		time.Sleep(loadTime)
		b.mu.Lock()
		b.loading--
	}
	if o.Kind == target.OrderRole {
		e.report.Role = o.Role
		e.done = append(e.done, o)
		return target.OrderDone{}
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
func (b *bench) start(t *testing.T, vm string, s store.Store, change func(*Options)) func() {
	t.Helper()
	o := Options{
		Self: lease.Holder{ID: vm, Incarnation: 1}, Store: s, Client: b,
		Config: b.config, States: b.states, Clock: store.SystemClock{}, Seed: 1,
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
