package route_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/route"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/target"
)

const (
	benchEngines = 12
	benchPieces  = 30
)

// snapshots is a target.Client for engines whose caches never change.
type snapshots struct {
	target.Client
	held map[string][]uint64
}

func (s *snapshots) Snapshot(_ context.Context, address string) (target.CacheSnapshot, error) {
	return target.CacheSnapshot{Sequence: 1, Incarnation: "i1", Weights: "w1", Pieces: s.held[address]}, nil
}

func (s *snapshots) Events(ctx context.Context, _ string, _ uint64) (<-chan target.CacheEvent, error) {
	return make(chan target.CacheEvent), ctx.Err()
}

// BenchmarkSlopeChoose reports the time and the allocations of one choice
// for a growing number of cached entries, including the tasks and their
// messages.
func BenchmarkSlopeChoose(b *testing.B) {
	for _, entries := range []int{10_000, 100_000, 1_000_000} {
		b.Run(fmt.Sprint(entries), func(b *testing.B) {
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			chooser, prompts := newBenchChooser(ctx, b, entries)
			r := route.Request{Route: &config.Route{Kind: config.RouteModel}}
			b.ReportAllocs()
			b.ResetTimer()
			for i := range b.N {
				r.Prompt = prompts[i%len(prompts)]
				c, ok := chooser.Choose(ctx, r).(route.Chosen)
				if !ok {
					b.Fatal("no choice")
				}
				c.Done(0, nil)
			}
		})
	}
}

// newBenchChooser returns a Chooser for engines that have the given number of
// pieces cached in total, and prompts that are cached.
func newBenchChooser(ctx context.Context, b *testing.B, entries int) (*route.Chooser, []prefix.Prompt) {
	b.Helper()
	rng := rand.New(rand.NewPCG(seed.Value(), 5))
	client := &snapshots{held: map[string][]uint64{}}
	cfg := &config.Config{Version: 1}
	fleet := &stub{}
	for i := range benchEngines {
		cfg.Targets = append(cfg.Targets, config.Target{Name: fmt.Sprintf("e%d", i), Kind: config.TargetEngine, Address: fmt.Sprint(i)})
	}
	for i := range cfg.Targets {
		fleet.states = append(fleet.states, target.State{
			Target: &cfg.Targets[i], Health: target.HealthLive, Reported: true, ReportedAt: time.Now().Add(time.Hour),
			Report: target.Report{Incarnation: "i1", Weights: "w1", PrefillRate: 20_000},
		})
	}
	var prompts []prefix.Prompt
	for n := 0; n < entries; n += 3 * benchPieces {
		p := prefix.Prompt{PieceTokens: 2048, Tokens: benchPieces * 2048}
		for range benchPieces {
			p.Keys = append(p.Keys, prefix.Key(rng.Uint64()))
		}
		prompts = append(prompts, p)
		for range 3 {
			address := fmt.Sprint(rng.IntN(benchEngines))
			for _, k := range p.Keys {
				client.held[address] = append(client.held[address], uint64(k))
			}
		}
	}
	index := prefix.NewTask(prefix.Options{Client: client, Config: func() *config.View { return config.NewView(cfg) }, Clock: store.SystemClock{}, MaxPieces: 4 << 20})
	chooser := route.NewChooser(route.Options{Fleet: fleet, Index: index})
	go func() { _ = index.Run(ctx) }()
	go func() { _ = chooser.Run(ctx) }()
	for !index.Warm() {
		time.Sleep(time.Millisecond)
	}
	must.Positive(b, index.Dump().(prefix.Dump).Size.Cached)
	return chooser, prompts
}
