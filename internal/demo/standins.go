package demo

import (
	"context"
	"fmt"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/fake"
)

// Properties of the stand-ins. Pieces and the prefill rate are small, since the
// demo's prompts are short.
const (
	demoPieceBytes    = 2048
	demoPieceTokens   = 512
	demoCachePieces   = 96
	demoPrefillRate   = 100_000
	demoTokenInterval = 3 * time.Millisecond
	demoMaxReportAge  = 200 * time.Millisecond
	demoEventDelay    = 50 * time.Millisecond
)

// standIns are the stand-in targets of the demo.
type standIns struct {
	engines  []*fake.Engine
	services []*fake.Service
	cache    *fake.Cache
	targets  []config.Target
}

// A placement describes where one target is started.
type placement struct {
	pool       string
	name       string
	dataCentre string
}

// startStandIns starts a KV cache, five engines and two services, which run until ctx
// ends.
func startStandIns(ctx context.Context) (*standIns, error) {
	s := &standIns{cache: fake.NewCache(1024)}
	cache, err := fake.Serve(ctx, s.cache)
	if err != nil {
		return nil, err
	}
	s.add(placement{"tayu-cache", "tayu-cache", "hakata"}, config.TargetCache, cache)
	for _, p := range []placement{
		{"kuroko-llm", "kuroko-1", "hakata"},
		{"kuroko-llm", "kuroko-2", "kokura"},
		{"kuroko-llm", "kuroko-3", "kurume"},
		{"verdict-llm", "verdict-1", "hakata"},
		{"verdict-llm", "verdict-2", "kokura"},
	} {
		if err := s.startEngine(ctx, p, cache); err != nil {
			return nil, err
		}
	}
	for _, p := range []placement{{"zaseki-app", "zaseki-1", "hakata"}, {"zaseki-app", "zaseki-2", "kokura"}} {
		if err := s.startService(ctx, p); err != nil {
			return nil, err
		}
	}
	return s, nil
}

func (s *standIns) startEngine(ctx context.Context, p placement, cache string) error {
	e := fake.NewEngine(fake.EngineOptions{
		Name: p.name, Model: modelOf(p.pool), Version: "v1", KVCacheAddress: cache,
		CachePieces: demoCachePieces, PieceTokens: demoPieceTokens, PrefillRate: demoPrefillRate,
		TokenInterval: demoTokenInterval, MaxReportAge: demoMaxReportAge, EventDelay: demoEventDelay,
		Fencing: p.dataCentre == "hakata",
	})
	address, err := fake.Serve(ctx, e)
	if err != nil {
		return err
	}
	s.engines = append(s.engines, e)
	s.add(p, config.TargetEngine, address)
	return nil
}

func (s *standIns) startService(ctx context.Context, p placement) error {
	service := fake.NewService(p.name)
	address, err := fake.Serve(ctx, service)
	if err != nil {
		return err
	}
	s.services = append(s.services, service)
	s.add(p, config.TargetService, address)
	return nil
}

func (s *standIns) add(p placement, kind, address string) {
	s.targets = append(s.targets, config.Target{
		Name: p.name, Kind: kind, Pool: p.pool, Address: address, DataCentre: p.dataCentre,
		Fencing: p.dataCentre == "hakata", Slots: 8,
	})
}

// modelOf returns the model that the engines of a pool serve.
func modelOf(pool string) string {
	if pool == "kuroko-llm" {
		return "kuroko"
	}
	return "verdict"
}

// usage returns the usage counters summed over all engines.
func (s *standIns) usage() fake.Usage {
	var sum fake.Usage
	for _, e := range s.engines {
		u := e.Usage()
		sum.PromptTokens += u.PromptTokens
		sum.ComputedTokens += u.ComputedTokens
		sum.SaltMismatches += u.SaltMismatches
	}
	return sum
}

// engineRuns returns the number of requests that engines ran.
func (s *standIns) engineRuns() int {
	n := 0
	for _, e := range s.engines {
		n += e.TotalRuns()
	}
	return n
}

// serviceRuns returns the number of requests that services ran.
func (s *standIns) serviceRuns() int {
	n := 0
	for _, service := range s.services {
		n += service.TotalRuns()
	}
	return n
}

// recorders returns the recorders of all targets.
func (s *standIns) recorders() []*fake.Recorder {
	recorders := []*fake.Recorder{s.cache.Recorder}
	for _, e := range s.engines {
		recorders = append(recorders, e.Recorder)
	}
	for _, service := range s.services {
		recorders = append(recorders, service.Recorder)
	}
	return recorders
}

// target returns the address of a target.
func (s *standIns) target(name string) string {
	for _, t := range s.targets {
		if t.Name == name {
			return t.Address
		}
	}
	return ""
}

// addresses returns the name and address of each target, one per line.
func (s *standIns) addresses() string {
	text := ""
	for _, t := range s.targets {
		text += fmt.Sprintf("  %-12s %s\n", t.Name, t.Address)
	}
	return text
}
