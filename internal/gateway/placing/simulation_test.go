package placing

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

// A simRequest is a request at a simulated engine.
type simRequest struct {
	vm     int
	choice Choice
	start  time.Time
	sent   time.Time
	left   int
}

// A simEngine reads prompts one after the other, those that are on time first.
type simEngine struct{ queue []*simRequest }

// read simulates the reading of a number of tokens and returns the requests whose
// prompts are complete.
func (e *simEngine) read(tokens int) []*simRequest {
	var done []*simRequest
	for tokens > 0 && len(e.queue) > 0 {
		i := max(0, slices.IndexFunc(e.queue, func(req *simRequest) bool { return !req.choice.Late }))
		req := e.queue[i]
		n := min(tokens, req.left)
		tokens, req.left = tokens-n, req.left-n
		if req.left == 0 {
			done = append(done, req)
			e.queue = slices.Delete(e.queue, i, i+1)
		}
	}
	return done
}

// A simulation simulates VMs that receive requests at random, at a configurable
// load.
type simulation struct {
	engines, vms int
	// load is the work that arrives, as a fraction of what the engines can read.
	load float64
	// goal is the latency goal of the first token that the VMs are given.
	goal time.Duration
	// exchangeInterval is the time between two state exchanges of a VM.
	exchangeInterval time.Duration
	seconds          int
}

const (
	simTokens   = 4000
	simPrefixes = 500
	simRate     = 50 // tokens per millisecond
	simGoal     = 500 * time.Millisecond
	simTimeout  = 4 * time.Second
)

// run returns the fractions of requests that were served on time and that were
// served at all.
func (s simulation) run(t *testing.T) (onTime, served float64) {
	t.Helper()
	v := engineView(s.engines)
	random := rand.New(rand.NewPCG(3, 4))
	placers := make([]*Placer, s.vms)
	for i := range placers {
		placers[i] = newPlacer()
	}
	pool := map[string]*simEngine{}
	for id := range v.Targets {
		pool[id] = &simEngine{}
	}
	ids := slices.Sorted(func(yield func(string) bool) {
		for id := range pool {
			if !yield(id) {
				return
			}
		}
	})
	total, onTimeCount, lateCount, due := 0, 0, 0, 0.0
	for ms := range 1000 * s.seconds {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		if ms%int(s.exchangeInterval.Milliseconds()) == 0 {
			exchangeLoads(placers, v, now)
		}
		for due += s.load * simRate * float64(s.engines) / simTokens; due >= 1; due-- {
			vm := random.IntN(s.vms)
			req := s.send(t, placers[vm], v, uint64(random.IntN(simPrefixes)), now)
			req.vm = vm
			pool[req.choice.Target.ID].queue = append(pool[req.choice.Target.ID].queue, req)
			total++
		}
		for _, id := range ids {
			for _, req := range pool[id].read(simRate) {
				placers[req.vm].FirstToken(req.choice, now.Sub(req.sent), now)
				placers[req.vm].End(req.choice, Served, true, now)
				switch took := now.Sub(req.start); {
				case took <= simGoal:
					onTimeCount++
				case took <= simTimeout:
					lateCount++
				}
			}
			pool[id].queue = slices.DeleteFunc(pool[id].queue, func(req *simRequest) bool {
				over := now.Sub(req.start) > simTimeout
				if over {
					placers[req.vm].End(req.choice, Inconclusive, false, now)
				}
				return over
			})
		}
	}
	return float64(onTimeCount) / float64(total), float64(onTimeCount+lateCount) / float64(total)
}

func (s simulation) send(t *testing.T, p *Placer, v *source.View, prefix uint64, now time.Time) *simRequest {
	prefixes := []Prefix{{Hash: versionedKey(prefix, 9), Segment: fmt.Sprint(prefix), Tokens: 100}}
	request := Request{Service: "llm", Model: "m", Tokens: simTokens, Prefixes: prefixes, Goal: s.goal, TimeLeft: simTimeout, Salt: func(int64) string { return "" }}
	c := mustChoose(t, p, v, request, now)
	p.Begin(c, prefixes, now)
	return &simRequest{choice: c, start: now, sent: now, left: simTokens}
}

// exchangeLoads delivers the loads of every VM to every other.
func exchangeLoads(placers []*Placer, v *source.View, now time.Time) {
	for i, p := range placers {
		loads, _ := p.Loads(now)
		for j, other := range placers {
			if i != j {
				other.ApplyUpdate(roster.Entry{VM: fmt.Sprint(i), Loads: loads}, v, now)
			}
		}
	}
}

// TestOverload simulates 30 % more work than the engines can read. Without a goal
// every request waits its turn.
func TestOverload(t *testing.T) {
	r := simulation{engines: 6, vms: 4, load: 1.3, exchangeInterval: 100 * time.Millisecond, seconds: 20}
	onTimeWithoutGoal, servedWithoutGoal := r.run(t)
	r.goal = simGoal
	onTime, served := r.run(t)
	t.Logf("on time %.2f, served %.2f; without a goal %.2f, %.2f", onTime, served, onTimeWithoutGoal, servedWithoutGoal)
	must.Greater(t, 0.65, onTime, must.Sprint("engines can read 0.77 of the work"))
	must.Less(t, 0.3, onTimeWithoutGoal)
	must.GreaterEq(t, servedWithoutGoal-0.05, served)
	t.Run("nothing is deferred below capacity", func(t *testing.T) {
		onTime, served := simulation{engines: 6, vms: 4, load: 0.6, goal: simGoal, exchangeInterval: 100 * time.Millisecond, seconds: 8}.run(t)
		must.Greater(t, 0.97, onTime)
		must.Greater(t, 0.97, served)
	})
}

// TestLargeFleet simulates VMs that exchange state only every three seconds.
func TestLargeFleet(t *testing.T) {
	t.Run("outdated load reports are ignored", func(t *testing.T) {
		// There are enough prefixes for their home engines to share the load.
		// With load reports 3 s old, 0.75 of the requests were on time.
		onTime, _ := simulation{engines: 30, vms: 24, load: 0.5, goal: simGoal, exchangeInterval: 3 * time.Second, seconds: 8}.run(t)
		must.Greater(t, 0.9, onTime)
	})
	t.Run("some requests are deferred so that others are on time", func(t *testing.T) {
		r := simulation{engines: 30, vms: 24, load: 1.2, exchangeInterval: 3 * time.Second, seconds: 12}
		onTimeWithoutGoal, servedWithoutGoal := r.run(t)
		r.goal = simGoal
		onTime, served := r.run(t)
		t.Logf("on time %.2f, served %.2f; without a goal %.2f, %.2f", onTime, served, onTimeWithoutGoal, servedWithoutGoal)
		must.Greater(t, 2*onTimeWithoutGoal, onTime)
		must.GreaterEq(t, servedWithoutGoal-0.05, served)
	})
}

func TestLate(t *testing.T) {
	v := engineView(2)
	v.Weights = source.NewWeights("m", map[int64]time.Time{2: epoch})
	p := newPlacer()
	fill := func(target string) {
		p.ApplyUpdate(roster.Entry{VM: "b-" + target, Loads: []roster.TargetLoad{{Target: target, Prefill: 60000}}}, v, epoch)
	}
	r := Request{Service: "llm", Model: "m", Tokens: 1000, Goal: 300 * time.Millisecond, TimeLeft: 4 * time.Second}
	t.Run("on time", func(t *testing.T) {
		must.False(t, mustChoose(t, p, v, r, epoch).Late)
	})
	t.Run("late if every target is full", func(t *testing.T) {
		fill("i-0")
		must.False(t, mustChoose(t, p, v, r, epoch).Late)
		fill("i-1")
		must.True(t, mustChoose(t, p, v, r, epoch).Late)
	})
	t.Run("queued late requests don't delay requests on time", func(t *testing.T) {
		fresh := newPlacer()
		loads := []roster.TargetLoad{{Target: "i-0", Late: 60000}, {Target: "i-1", Late: 60000}}
		fresh.ApplyUpdate(roster.Entry{VM: "b", Loads: loads}, v, epoch)
		must.False(t, mustChoose(t, fresh, v, r, epoch).Late)
	})
	t.Run("without a goal nothing is late", func(t *testing.T) {
		r := r
		r.Goal = 0
		must.False(t, mustChoose(t, p, v, r, epoch).Late)
	})
	t.Run("not deferred if its weights would become too old", func(t *testing.T) {
		at := epoch.Add(time.Second)
		must.True(t, mustChoose(t, p, v, r, at).Late)
		r := r
		r.TimeLeft = 9 * time.Second
		must.False(t, mustChoose(t, p, v, r, at).Late)
	})
}

func TestSlowdown(t *testing.T) {
	p, v := newPlacer(), engineView(2)
	r := Request{Service: "llm", Model: "m", Tokens: 5000, Goal: time.Second, TimeLeft: 4 * time.Second}
	before := mustChoose(t, p, v, r, epoch)
	for range 20 {
		p.Begin(before, nil, epoch)
		p.FirstToken(before, 2*before.TTFT, epoch)
		p.End(before, Served, true, epoch)
	}
	v.Targets = map[string]*site.Target{before.Target.ID: before.Target}
	after := mustChoose(t, p, v, r, epoch)
	must.InDelta(t, 2, float64(after.TTFT)/float64(before.TTFT), 0.2)
}

func TestSuspect(t *testing.T) {
	p, v := newPlacer(), engineView(1)
	target := v.Targets["i-0"]
	c := mustChoose(t, p, v, subjectRequest(1), epoch)
	must.False(t, p.Suspect(target, epoch))
	p.Begin(c, nil, epoch)
	p.RecordActivity(c, epoch)
	must.False(t, p.Suspect(target, epoch.Add(suspectTimeout/2)))
	must.True(t, p.Suspect(target, epoch.Add(suspectTimeout)))
	p.End(c, Served, true, epoch.Add(suspectTimeout))
	must.False(t, p.Suspect(target, epoch.Add(suspectTimeout)))
	p.ApplyUpdate(roster.Entry{VM: "b", Loads: []roster.TargetLoad{{Target: "i-0", Unreachable: true}}}, v, epoch.Add(2*suspectTimeout))
	must.True(t, p.Suspect(target, epoch.Add(2*suspectTimeout)))
}

// joinLargeFleet delivers updates of as many VMs as make a large fleet.
func joinLargeFleet(p *Placer, v *source.View, now time.Time) {
	for i := range largeFleetSize {
		p.ApplyUpdate(roster.Entry{VM: fmt.Sprint("b-", i)}, v, now)
	}
}

func TestHotPrefix(t *testing.T) {
	p, v := newPlacer(), engineView(30)
	joinLargeFleet(p, v, epoch)
	r := subjectRequest(1)
	r.Cache = "10.9.9.9:1"
	now, targets := epoch, map[string]int{}
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		c := mustChoose(t, p, v, r, now)
		targets[c.Target.ID]++
		p.Begin(c, r.Prefixes, now)
		p.FirstToken(c, 60*time.Millisecond, now)
		p.End(c, Served, true, now)
	}
	// Ten attempts a second at each of 17 VMs need 10 of the 30 engines to meet
	// the goal.
	must.MapLen(t, 30, v.Targets)
	must.Greater(t, 9, len(targets))
	t.Run("a rarely sent prefix has one engine", func(t *testing.T) {
		targets := map[string]int{}
		for range 40 {
			now = now.Add(5 * time.Second)
			joinLargeFleet(p, v, now)
			targets[mustChoose(t, p, v, subjectRequest(2), now).Target.ID]++
		}
		must.MapLen(t, 1, targets)
	})
	t.Run("a prefix stays at its engine with superseded weights", func(t *testing.T) {
		before := mustChoose(t, p, v, subjectRequest(3), now)
		for id := range v.Targets {
			if id != before.Target.ID {
				p.ObserveWeights(v.Targets[id], "m", 2, now)
				break
			}
		}
		v.Weights = source.NewWeights("m", map[int64]time.Time{2: now})
		later := now.Add(2 * time.Second)
		must.Eq(t, before.Target.ID, mustChoose(t, p, v, subjectRequest(3), later).Target.ID)
	})
	t.Run("a rejecting engine is avoided only briefly", func(t *testing.T) {
		before := mustChoose(t, p, v, subjectRequest(4), now)
		p.Begin(before, nil, now)
		p.End(before, Rejected, false, now)
		must.NotEq(t, before.Target.ID, mustChoose(t, p, v, subjectRequest(4), now).Target.ID)
		later := now.Add(2 * minBackoff)
		must.Eq(t, before.Target.ID, mustChoose(t, p, v, subjectRequest(4), later).Target.ID)
	})
}

// TestDivide checks that the KV cache store gets as many prefixes as its capacity
// allows, and that VMs of a large fleet learn of them.
func TestDivide(t *testing.T) {
	p, q, v := newPlacer(), newPlacer(), engineView(50)
	joinLargeFleet(p, v, epoch)
	joinLargeFleet(q, v, epoch)
	stored, request := 0, Request{}
	for subject := range 1000 {
		r := subjectRequest(subject)
		r.Cache, r.EngineTokens = "10.9.9.9:1", 100_000
		r.CacheTokens = int(sharedCapacity * 50 * 100_000)
		c := mustChoose(t, p, v, r, epoch)
		if c.StoreKV {
			stored++
			request = r
			p.Begin(c, r.Prefixes, epoch)
			must.False(t, mustChoose(t, p, v, r, epoch).StoreKV, must.Sprint("the prefix is already in the store"))
		}
	}
	must.Between(t, 450, stored, 550)
	must.True(t, mustChoose(t, q, v, request, epoch).StoreKV)
	q.ApplyUpdate(roster.Entry{VM: "a", Reads: p.RecentlySent(epoch)}, v, epoch)
	updated := mustChoose(t, q, v, request, epoch)
	must.False(t, updated.StoreKV)
	must.Eq(t, request.Cache, updated.Source)
	must.True(t, mustChoose(t, q, v, request, epoch.Add(largeFleetStoredTTL)).StoreKV)
}

// TestStaleWait checks that a large fleet does not send to an engine whose queue
// would outlast the age limit of its weights.
func TestStaleWait(t *testing.T) {
	p, v := newPlacer(), engineView(1)
	v.Weights = source.NewWeights("m", map[int64]time.Time{2: epoch})
	at := epoch.Add(8 * time.Second)
	joinLargeFleet(p, v, at)
	mustChoose(t, p, v, subjectRequest(1), at)
	p.ApplyUpdate(roster.Entry{VM: "b-0", Loads: []roster.TargetLoad{{Target: "i-0", Prefill: 50_000}}}, v, at)
	_, ok := p.Choose(v, subjectRequest(1), at)
	must.False(t, ok)
}

// TestLateInLargeFleet checks that a large fleet does not defer requests at an
// engine until its weights are too old, also while few engines have newer ones.
func TestLateInLargeFleet(t *testing.T) {
	p, v := newPlacer(), engineView(30)
	v.Weights = source.NewWeights("m", map[int64]time.Time{2: epoch})
	at := epoch.Add(6 * time.Second)
	joinLargeFleet(p, v, at)
	p.ObserveWeights(v.Targets["i-0"], "m", 2, at)
	r := subjectRequest(1)
	r.Goal, r.TimeLeft = time.Millisecond, 4*time.Second
	c := mustChoose(t, p, v, r, at)
	must.True(t, !c.Late || c.Weights == 2)
}
