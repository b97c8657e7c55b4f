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

// A fleet is engines that load in no time, of which some take no connections.
type fleet struct {
	dark map[string]bool
	// first takes the first order.
	first chan string

	mu      sync.Mutex
	weights map[string]int64
}

// version returns the weights of an engine.
func (f *fleet) version(target string) int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.weights[target]
}

func (f *fleet) Report(_ context.Context, target, _ string) (platform.EngineReport, error) {
	if f.dark[target] {
		time.Sleep(400 * time.Millisecond)
		return platform.EngineReport{}, errors.New("i/o timeout")
	}
	return platform.EngineReport{Weights: map[string]int64{"m": f.version(target)}}, nil
}

func (f *fleet) Load(_ context.Context, _ string, o platform.LoadOrder) (platform.OrderOutcome, error) {
	f.mu.Lock()
	f.weights[o.Target] = o.Version
	f.mu.Unlock()
	select {
	case f.first <- o.Target:
	default:
	}
	return platform.OrderAccepted, nil
}

// TestDarkEngine plays a rollout while the engine that looks idle has gone dark
// unnoticed. An engine that is emptied in vain costs the pool emptyTime.
func TestDarkEngine(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := &fleet{first: make(chan string, 1), dark: map[string]bool{"i-0": true}, weights: map[string]int64{"i-0": 1, "i-1": 1, "i-2": 2, "i-3": 2, "i-4": 2}}
		v := &source.View{
			Config:  &site.Config{Services: map[string]*site.Service{"llm": {Engine: &site.Engine{Models: []string{"m"}}}}},
			Targets: map[string]*site.Target{},
			Weights: source.NewWeights("m", map[int64]time.Time{2: time.Now()}),
		}
		for id := range f.weights {
			v.Targets[id] = &site.Target{ID: id, Service: "llm"}
		}
		d := newDuty("a", store.NewMemory())
		d.opts.Engines = f
		d.opts.View = func() *source.View { return v }
		d.opts.Members = func() []roster.Member { return nil }
		d.opts.Version = func(target *site.Target, _ string) int64 { return f.version(target.ID) }
		d.opts.Running = func(target *site.Target) int {
			if target.ID == "i-0" {
				return 4
			}
			return 9
		}
		d.opts.Unreachable = func(*site.Target) bool { return false }
		d.opts.Suspect = d.opts.Unreachable
		d.opts.OnVersion = func(*site.Target, string, int64) {}

		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		begun := time.Now()
		go func() { _ = d.Run(ctx) }()
		must.Eq(t, "i-1", <-f.first)
		must.Less(t, emptyTime+time.Second, time.Since(begun))
	})
}
