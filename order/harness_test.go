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

// A fakeFleet is a set of engines and the target.Client that reaches them.
type fakeFleet struct {
	target.Client
	mu      sync.Mutex
	view    *config.View
	engines map[string]*fakeEngine
	names   []string
	// loading is the number of running loads, maxLoading its maximum so far.
	loading, maxLoading int
	// fault returns the fault to inject for an order.
	fault func(address string, o target.Order) fault
}

// fakeEngine is one engine of a fakeFleet, with the orders that it carried out
// and the times at which those for models and adapters ended.
type fakeEngine struct {
	target       config.Target
	report       target.Report
	fencingToken int64
	executed     []target.Order
	loadedAt     []time.Time
}

// A fault is a failure of an order call: the response is lost, the order never
// arrives, the order arrives after delay, or the call fails and the order arrives
// after lateArrival nevertheless.
type fault struct {
	loseResponse, loseOrder bool
	delay, lateArrival      time.Duration
}

// newFakeFleet returns pools of engines that have version v1 of model m loaded.
func newFakeFleet(pools, engines int, fencing bool) *fakeFleet {
	fleet := &fakeFleet{engines: map[string]*fakeEngine{}}
	for p := range pools {
		for i := range engines {
			name := fmt.Sprintf("engine-%d-%d", p, i)
			t := config.Target{Name: name, Kind: config.TargetEngine, Pool: poolName(p), Address: name, Fencing: fencing}
			fleet.engines[name] = &fakeEngine{target: t, report: target.Report{Models: []target.Loaded{{Model: "m", Version: "v1"}}}}
			fleet.names = append(fleet.names, name)
		}
	}
	fleet.configure(pools, "v1")
	return fleet
}

func poolName(p int) string { return fmt.Sprintf("pool-%d", p) }

// configure configures all pools to serve a version of model m.
func (fleet *fakeFleet) configure(pools int, version string) {
	cfg := &config.Config{Models: []config.Model{{Name: "m"}}}
	for p := range pools {
		cfg.Routes = append(cfg.Routes, config.Route{Name: poolName(p), Kind: config.RouteModel, Pool: poolName(p), Model: "m", Version: version})
	}
	for _, name := range fleet.names {
		cfg.Targets = append(cfg.Targets, fleet.engines[name].target)
	}
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	fleet.view = config.NewView(cfg)
}

func (fleet *fakeFleet) config() *config.View {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	return fleet.view
}

// states returns the current states of the engines in a pool.
func (fleet *fakeFleet) states(pool string) []target.State {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	var list []target.State
	for _, name := range fleet.names {
		if e := fleet.engines[name]; e.target.Pool == pool {
			list = append(list, target.State{Target: &e.target, Health: target.HealthLive, Reported: true, Report: e.report, ReportedAt: time.Now()})
		}
	}
	return list
}

// Order implements target.Client.
func (fleet *fakeFleet) Order(ctx context.Context, address string, o target.Order) target.OrderResult {
	var f fault
	if fleet.fault != nil {
		f = fleet.fault(address, o)
	}
	if f.loseOrder {
		<-ctx.Done()
		return target.OrderLost{Err: ctx.Err()}
	}
	if f.lateArrival > 0 {
		time.AfterFunc(f.lateArrival, func() { fleet.carryOut(fleet.engines[address], o) })
		return target.OrderLost{Err: errLost}
	}
	if f.delay > 0 {
		time.Sleep(f.delay)
	}
	r := fleet.carryOut(fleet.engines[address], o)
	if f.loseResponse {
		return target.OrderLost{Err: errLost}
	}
	return r
}

func (fleet *fakeFleet) carryOut(e *fakeEngine, o target.Order) target.OrderResult {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	if e.target.Fencing && o.FencingToken < e.fencingToken {
		return target.OrderRefused{Reason: "old fencing number", Fenced: true}
	}
	e.fencingToken = o.FencingToken
	if o.Kind == target.OrderLoad {
		fleet.loading++
		fleet.maxLoading = max(fleet.maxLoading, fleet.loading)
		fleet.mu.Unlock()
		time.Sleep(loadTime)
		fleet.mu.Lock()
		fleet.loading--
	}
	if o.Kind == target.OrderRole {
		e.report.Role = o.Role
		e.executed = append(e.executed, o)
		return target.OrderDone{}
	}
	l := target.Loaded{Model: o.Model, Version: o.Version}
	if o.Adapter != "" {
		l.Adapters = []string{o.Adapter}
	}
	e.report.Models = []target.Loaded{l}
	e.executed = append(e.executed, o)
	e.loadedAt = append(e.loadedAt, time.Now())
	return target.OrderDone{}
}

// versions counts the engines by the version that they have loaded.
func (fleet *fakeFleet) versions() map[string]int {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	counts := map[string]int{}
	for _, e := range fleet.engines {
		counts[e.report.Models[0].Version]++
	}
	return counts
}

// orders returns the number of orders that the engines carried out.
func (fleet *fakeFleet) orders() int {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	n := 0
	for _, e := range fleet.engines {
		n += len(e.executed)
	}
	return n
}

// firstOrder returns the first order that an engine carried out, and when.
func (fleet *fakeFleet) firstOrder(name string) (target.Order, time.Time) {
	fleet.mu.Lock()
	defer fleet.mu.Unlock()
	e := fleet.engines[name]
	return e.executed[0], e.loadedAt[0]
}

// start runs the Task of a VM and returns a function that stops it.
func (fleet *fakeFleet) start(t *testing.T, vm string, s store.Store, change func(*Options)) func() {
	t.Helper()
	o := Options{
		Self: lease.Holder{ID: vm, Incarnation: 1}, Store: s, Client: fleet,
		Config: fleet.config, States: fleet.states, Clock: store.SystemClock{}, Seed: 1,
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
