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
type waiter struct {
	vm     int
	choice Choice
	start  time.Time
	sent   time.Time
	left   int
}

// A simEngine reads prompts one after the other, those that are on time first.
type played struct{ queue []*waiter }

// read simulates the reading of a number of tokens and returns the requests whose
// prompts are complete.
func (e *played) read(tokens int) []*waiter {
	var done []*waiter
	for tokens > 0 && len(e.queue) > 0 {
		i := max(0, slices.IndexFunc(e.queue, func(w *waiter) bool { return !w.choice.Late }))
		w := e.queue[i]
		n := min(tokens, w.left)
		tokens, w.left = tokens-n, w.left-n
		if w.left == 0 {
			done = append(done, w)
			e.queue = slices.Delete(e.queue, i, i+1)
		}
	}
	return done
}

// An overload simulates VMs that receive requests at random, at a configurable
// load.
type rush struct {
	engines, vms int
	// load is the work that arrives, as a fraction of what the engines can read.
	load float64
	// goal is the latency goal of the first token that the VMs are given.
	aim time.Duration
	// pause is the time between two state exchanges of a VM.
	pause   time.Duration
	seconds int
}

const (
	rushTokens   = 4000
	rushFamilies = 500
	rushRate     = 50 // tokens per millisecond
	rushAim      = 500 * time.Millisecond
	rushEnd      = 4 * time.Second
)

// simulate returns the fractions of requests that were served on time and that
// were served at all.
func (r rush) play(t *testing.T) (inTime, served float64) {
	t.Helper()
	v := engines(r.engines)
	random := rand.New(rand.NewPCG(3, 4))
	placers := make([]*Placer, r.vms)
	for i := range placers {
		placers[i] = newPlacer()
	}
	pool := map[string]*played{}
	for id := range v.Targets {
		pool[id] = &played{}
	}
	ids := slices.Sorted(func(yield func(string) bool) {
		for id := range pool {
			if !yield(id) {
				return
			}
		}
	})
	asked, early, late, due := 0, 0, 0, 0.0
	for ms := range 1000 * r.seconds {
		now := epoch.Add(time.Duration(ms) * time.Millisecond)
		if ms%int(r.pause.Milliseconds()) == 0 {
			tell(placers, v, now)
		}
		for due += r.load * rushRate * float64(r.engines) / rushTokens; due >= 1; due-- {
			vm := random.IntN(r.vms)
			w := r.send(t, placers[vm], v, uint64(random.IntN(rushFamilies)), now)
			w.vm = vm
			pool[w.choice.Target.ID].queue = append(pool[w.choice.Target.ID].queue, w)
			asked++
		}
		for _, id := range ids {
			for _, w := range pool[id].read(rushRate) {
				placers[w.vm].FirstToken(w.choice, now.Sub(w.sent), now)
				placers[w.vm].End(w.choice, Served, true, now)
				switch took := now.Sub(w.start); {
				case took <= rushAim:
					early++
				case took <= rushEnd:
					late++
				}
			}
			pool[id].queue = slices.DeleteFunc(pool[id].queue, func(w *waiter) bool {
				over := now.Sub(w.start) > rushEnd
				if over {
					placers[w.vm].End(w.choice, Dropped, false, now)
				}
				return over
			})
		}
	}
	return float64(early) / float64(asked), float64(early+late) / float64(asked)
}

func (r rush) send(t *testing.T, p *Placer, v *source.View, family uint64, now time.Time) *waiter {
	chain := []Link{{Family: versioned(family, 9), Part: fmt.Sprint(family), Tokens: 100}}
	request := Request{Service: "llm", Model: "m", Tokens: rushTokens, Chain: chain, Aim: r.aim, Left: rushEnd, Salt: func(int64) string { return "" }}
	c := mustChoose(t, p, v, request, now)
	p.Begin(c, chain, now)
	return &waiter{choice: c, start: now, sent: now, left: rushTokens}
}

// exchangeLoads delivers the loads of every VM to every other.
func tell(placers []*Placer, v *source.View, now time.Time) {
	for i, p := range placers {
		loads, _ := p.Loads(now)
		for j, other := range placers {
			if i != j {
				other.Hear(roster.Entry{VM: fmt.Sprint(i), Loads: loads}, v, now)
			}
		}
	}
}

// TestOverload simulates 30 % more work than the engines can read. Without a goal
// every request waits its turn.
func TestRush(t *testing.T) {
	r := rush{engines: 6, vms: 4, load: 1.3, pause: 100 * time.Millisecond, seconds: 20}
	inTimeBefore, servedBefore := r.play(t)
	r.aim = rushAim
	inTime, served := r.play(t)
	t.Logf("on time %.2f, served %.2f; without a goal %.2f, %.2f", inTime, served, inTimeBefore, servedBefore)
	must.Greater(t, 0.65, inTime, must.Sprint("engines can read 0.77 of the work"))
	must.Less(t, 0.3, inTimeBefore)
	must.GreaterEq(t, servedBefore-0.05, served)
	t.Run("nothing is deferred below capacity", func(t *testing.T) {
		inTime, served := rush{engines: 6, vms: 4, load: 0.6, aim: rushAim, pause: 100 * time.Millisecond, seconds: 8}.play(t)
		must.Greater(t, 0.97, inTime)
		must.Greater(t, 0.97, served)
	})
}

// TestLargeFleet simulates VMs that exchange state only every three seconds.
func TestCrowd(t *testing.T) {
	t.Run("outdated load reports are ignored", func(t *testing.T) {
		// There are enough prefixes for their home engines to share the load.
		// With load reports 3 s old, 0.75 of the requests were on time.
		inTime, _ := rush{engines: 30, vms: 24, load: 0.5, aim: rushAim, pause: 3 * time.Second, seconds: 8}.play(t)
		must.Greater(t, 0.9, inTime)
	})
	t.Run("some requests are deferred so that others are on time", func(t *testing.T) {
		r := rush{engines: 30, vms: 24, load: 1.2, pause: 3 * time.Second, seconds: 12}
		inTimeBefore, servedBefore := r.play(t)
		r.aim = rushAim
		inTime, served := r.play(t)
		t.Logf("on time %.2f, served %.2f; without a goal %.2f, %.2f", inTime, served, inTimeBefore, servedBefore)
		must.Greater(t, 2*inTimeBefore, inTime)
		must.GreaterEq(t, servedBefore-0.05, served)
	})
}

func TestLate(t *testing.T) {
	v := engines(2)
	v.Weights = source.NewWeights("m", map[int64]time.Time{2: epoch})
	p := newPlacer()
	fill := func(target string) {
		p.Hear(roster.Entry{VM: "b-" + target, Loads: []roster.TargetLoad{{Target: target, Prefill: 60000}}}, v, epoch)
	}
	r := Request{Service: "llm", Model: "m", Tokens: 1000, Aim: 300 * time.Millisecond, Left: 4 * time.Second}
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
		fresh.Hear(roster.Entry{VM: "b", Loads: loads}, v, epoch)
		must.False(t, mustChoose(t, fresh, v, r, epoch).Late)
	})
	t.Run("without a goal nothing is late", func(t *testing.T) {
		r := r
		r.Aim = 0
		must.False(t, mustChoose(t, p, v, r, epoch).Late)
	})
	t.Run("not deferred if its weights would become too old", func(t *testing.T) {
		at := epoch.Add(time.Second)
		must.True(t, mustChoose(t, p, v, r, at).Late)
		r := r
		r.Left = 9 * time.Second
		must.False(t, mustChoose(t, p, v, r, at).Late)
	})
}

func TestPace(t *testing.T) {
	p, v := newPlacer(), engines(2)
	r := Request{Service: "llm", Model: "m", Tokens: 5000, Aim: time.Second, Left: 4 * time.Second}
	before := mustChoose(t, p, v, r, epoch)
	for range 20 {
		p.Begin(before, nil, epoch)
		p.FirstToken(before, 2*before.First, epoch)
		p.End(before, Served, true, epoch)
	}
	v.Targets = map[string]*site.Target{before.Target.ID: before.Target}
	after := mustChoose(t, p, v, r, epoch)
	must.InDelta(t, 2, float64(after.First)/float64(before.First), 0.2)
}

func TestSuspect(t *testing.T) {
	p, v := newPlacer(), engines(1)
	target := v.Targets["i-0"]
	c := mustChoose(t, p, v, verdict(1), epoch)
	must.False(t, p.Suspect(target, epoch))
	p.Begin(c, nil, epoch)
	p.Heard(c, epoch)
	must.False(t, p.Suspect(target, epoch.Add(suspectTime/2)))
	must.True(t, p.Suspect(target, epoch.Add(suspectTime)))
	p.End(c, Served, true, epoch.Add(suspectTime))
	must.False(t, p.Suspect(target, epoch.Add(suspectTime)))
	p.Hear(roster.Entry{VM: "b", Loads: []roster.TargetLoad{{Target: "i-0", Unreachable: true}}}, v, epoch.Add(2*suspectTime))
	must.True(t, p.Suspect(target, epoch.Add(2*suspectTime)))
}

// joinLargeFleet delivers updates of as many VMs as make a large fleet.
func crowd(p *Placer, v *source.View, now time.Time) {
	for i := range crowdSize {
		p.Hear(roster.Entry{VM: fmt.Sprint("b-", i)}, v, now)
	}
}

func TestHotFamily(t *testing.T) {
	p, v := newPlacer(), engines(30)
	crowd(p, v, epoch)
	r := verdict(1)
	r.Cache = "10.9.9.9:1"
	now, targets := epoch, map[string]int{}
	for range 40 {
		now = now.Add(100 * time.Millisecond)
		c := mustChoose(t, p, v, r, now)
		targets[c.Target.ID]++
		p.Begin(c, r.Chain, now)
		p.FirstToken(c, 60*time.Millisecond, now)
		p.End(c, Served, true, now)
	}
	// Ten sends a second at each of 17 VMs need 10 of the 30 engines to meet the
	// goal.
	must.MapLen(t, 30, v.Targets)
	must.Greater(t, 9, len(targets))
	t.Run("a rarely sent prefix has one engine", func(t *testing.T) {
		targets := map[string]int{}
		for range 40 {
			now = now.Add(5 * time.Second)
			crowd(p, v, now)
			targets[mustChoose(t, p, v, verdict(2), now).Target.ID]++
		}
		must.MapLen(t, 1, targets)
	})
	t.Run("a prefix stays at its engine with superseded weights", func(t *testing.T) {
		before := mustChoose(t, p, v, verdict(3), now)
		for id := range v.Targets {
			if id != before.Target.ID {
				p.Saw(v.Targets[id], "m", 2, now)
				break
			}
		}
		v.Weights = source.NewWeights("m", map[int64]time.Time{2: now})
		later := now.Add(2 * time.Second)
		must.Eq(t, before.Target.ID, mustChoose(t, p, v, verdict(3), later).Target.ID)
	})
	t.Run("a rejecting engine is avoided only briefly", func(t *testing.T) {
		before := mustChoose(t, p, v, verdict(4), now)
		p.Begin(before, nil, now)
		p.End(before, Rejected, false, now)
		must.NotEq(t, before.Target.ID, mustChoose(t, p, v, verdict(4), now).Target.ID)
		later := now.Add(2 * silentFirst)
		must.Eq(t, before.Target.ID, mustChoose(t, p, v, verdict(4), later).Target.ID)
	})
}

// TestDivide checks that the KV cache store gets as many prefixes as its capacity
// allows, and that VMs of a large fleet learn of them.
func TestDivide(t *testing.T) {
	p, q, v := newPlacer(), newPlacer(), engines(50)
	crowd(p, v, epoch)
	crowd(q, v, epoch)
	kept, request := 0, Request{}
	for subject := range 1000 {
		r := verdict(subject)
		r.Cache, r.EngineTokens = "10.9.9.9:1", 100_000
		r.CacheTokens = int(sharedRoom * 50 * 100_000)
		c := mustChoose(t, p, v, r, epoch)
		if c.Keep {
			kept++
			request = r
			p.Begin(c, r.Chain, epoch)
			must.False(t, mustChoose(t, p, v, r, epoch).Keep, must.Sprint("the prefix is already in the store"))
		}
	}
	must.Between(t, 450, kept, 550)
	must.True(t, mustChoose(t, q, v, request, epoch).Keep)
	q.Hear(roster.Entry{VM: "a", Reads: p.Reads(epoch)}, v, epoch)
	heard := mustChoose(t, q, v, request, epoch)
	must.False(t, heard.Keep)
	must.Eq(t, request.Cache, heard.Source)
	must.True(t, mustChoose(t, q, v, request, epoch.Add(crowdKept)).Keep)
}

// TestStaleWait checks that a large fleet does not send to an engine whose queue
// would outlast the age limit of its weights.
func TestRumouredWait(t *testing.T) {
	p, v := newPlacer(), engines(1)
	v.Weights = source.NewWeights("m", map[int64]time.Time{2: epoch})
	at := epoch.Add(8 * time.Second)
	crowd(p, v, at)
	mustChoose(t, p, v, verdict(1), at)
	p.Hear(roster.Entry{VM: "b-0", Loads: []roster.TargetLoad{{Target: "i-0", Prefill: 50_000}}}, v, at)
	_, ok := p.Choose(v, verdict(1), at)
	must.False(t, ok)
}

// TestLateInLargeFleet checks that a large fleet does not defer requests at an
// engine until its weights are too old, also while few engines have newer ones.
func TestLateInCrowd(t *testing.T) {
	p, v := newPlacer(), engines(30)
	v.Weights = source.NewWeights("m", map[int64]time.Time{2: epoch})
	at := epoch.Add(6 * time.Second)
	crowd(p, v, at)
	p.Saw(v.Targets["i-0"], "m", 2, at)
	r := verdict(1)
	r.Aim, r.Left = time.Millisecond, 4*time.Second
	c := mustChoose(t, p, v, r, at)
	must.True(t, !c.Late || c.Weights == 2)
}
