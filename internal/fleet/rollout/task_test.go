package rollout

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
	"github.com/baobabdyke/baobabdyke/platform"
	"github.com/baobabdyke/baobabdyke/store"
)

// A fleet is a fake client of engines that load weights at once and of which some
// accept no connections.
type fleet struct {
	unreachable map[string]bool
	// leaving are the engines that state in their reports that they leave.
	leaving map[string]bool
	// first receives the target of the first order.
	first chan string

	mu      sync.Mutex
	weights map[string]int64
}

// version returns the weights version of an engine.
func (f *fleet) version(target string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.weights[target]
}

func (f *fleet) Report(_ context.Context, target, _ string) (platform.EngineReport, error) {
	if f.unreachable[target] {
		time.Sleep(400 * time.Millisecond)
		return platform.EngineReport{}, errors.New("i/o timeout")
	}
	return platform.EngineReport{Weights: map[string]int64{"m": f.version(target)}, Notice: site.Notice{Leaving: f.leaving[target]}}, nil
}

func (f *fleet) Load(_ context.Context, _ string, o platform.LoadOrder) (platform.OrderOutcome, site.Notice, error) {
	f.mu.Lock()
	f.weights[o.Target] = o.Version
	f.mu.Unlock()
	select {
	case f.first <- o.Target:
	default:
	}
	return platform.OrderAccepted, site.Notice{}, nil
}

// TestUnreachableEngine runs a rollout while the engine that seems least busy is
// unreachable and no VM has detected it. Draining it in vain would take the place
// of another engine for drainTimeout.
func TestUnreachableEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{first: make(chan string, 1), unreachable: map[string]bool{"i-0": true}, weights: map[string]int64{"i-0": 1, "i-1": 1, "i-2": 2, "i-3": 2, "i-4": 2}}
		v := &source.View{
			Config:  &site.Config{Services: map[string]*site.Service{"llm": {Engine: &site.Engine{Models: []string{"m"}}}}},
			Targets: map[string]*site.Target{},
			Weights: source.NewWeights("m", map[int64]time.Time{2: time.Now()}),
		}
		for id := range f.weights {
			v.Targets[id] = &site.Target{ID: id, Service: "llm"}
		}
		task := newTask("a", store.NewMemory())
		task.opts.Engines = f
		task.opts.View = func() *source.View { return v }
		task.opts.Members = func() []*roster.Member { return nil }
		task.opts.Version = func(target *site.Target, _ string) int64 { return f.version(target.ID) }
		task.opts.Running = func(target *site.Target) int {
			if target.ID == "i-0" {
				return 4
			}
			return 9
		}
		task.opts.Unreachable = func(*site.Target) bool { return false }
		task.opts.Suspect = task.opts.Unreachable
		task.opts.OnVersion = func(*site.Target, string, int64) {}

		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		start := time.Now()
		go func() { _ = task.Run(ctx) }()
		must.Eq(t, "i-1", <-f.first)
		must.Less(t, drainTimeout+time.Second, time.Since(start))
	})
}

// TestEngineThatLeavesIsOrdered guards against orders to an engine that states in its
// report that it leaves, and against a rollout that waits for it.
func TestEngineThatLeavesIsOrdered(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{leaving: map[string]bool{"i-0": true}, weights: map[string]int64{"i-0": 1, "i-1": 1}}
		v := &source.View{
			Config:  &site.Config{Services: map[string]*site.Service{"llm": {Engine: &site.Engine{Models: []string{"m"}}}}},
			Targets: map[string]*site.Target{"i-0": {ID: "i-0", Service: "llm"}, "i-1": {ID: "i-1", Service: "llm"}},
			Weights: source.NewWeights("m", map[int64]time.Time{2: time.Now()}),
		}
		task := newTask("a", store.NewMemory())
		task.opts.Engines = f
		task.opts.View = func() *source.View { return v }
		task.opts.Version = func(target *site.Target, _ string) int64 { return f.version(target.ID) }
		task.opts.Running = func(*site.Target) int { return 0 }
		task.opts.Unreachable = func(*site.Target) bool { return false }
		task.opts.Suspect = task.opts.Unreachable
		task.opts.OnVersion = func(*site.Target, string, int64) {}
		var left sync.Map
		task.opts.OnNotice = func(engine site.Incarnation, n site.Notice) {
			if n.Leaving {
				left.Store(engine, true)
			}
		}
		task.opts.Leaving = func(engine site.Incarnation) bool {
			_, ok := left.Load(engine)
			return ok
		}

		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		go func() { _ = task.Run(ctx) }()
		time.Sleep(2 * orderTimeout)
		must.Eq(t, 1, f.version("i-0"))
		must.Eq(t, 2, f.version("i-1"))
		must.Len(t, 0, task.LeaseStatus().Busy)
	})
}
