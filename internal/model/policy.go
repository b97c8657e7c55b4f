package model

import (
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/workload"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/route"
	"github.com/baobabdyke/baobabdyke/target"
)

// Policies for choosing an engine.
const (
	RoundRobin  = "round robin"
	LeastLoaded = "least loaded"
	PrefixHash  = "prefix hash"
	// TTFTOnly minimises the time to the first token of each request and ignores
	// the cost of recomputing cached prefixes.
	TTFTOnly = "ttft alone"
	// Unannounced works like PrefixAware, but does not announce prefills to other
	// VMs.
	Unannounced = "unannounced"
	PrefixAware = "chosen"
)

// Policies returns all policies for choosing an engine.
func Policies() []string {
	return []string{RoundRobin, LeastLoaded, PrefixHash, TTFTOnly, Unannounced, PrefixAware}
}

// send sends a request to an engine. It retries on another one if the engine is
// down or crashes.
func (t *Trial) send(a workload.Arrival, start time.Time, excluded []string, awaited bool) {
	n := t.nodes[a.VM]
	i, id, placed := t.chooseEngine(n, a, start, excluded, awaited)
	if !placed {
		return
	}
	e := t.engines[i]
	if e.down {
		n.planner.Done(t.schedule.Now(), id, true)
		n.states[i].Health = target.HealthFailing
		t.send(a, start, append(excluded, e.Target.Name), awaited)
		return
	}
	n.sentSinceReport[i]++
	r := &EngineRequest{Pieces: a.Pieces, Tokens: a.Prompt.Tokens, OutputTokens: a.OutputTokens}
	r.OnDone = func() { n.planner.Done(t.schedule.Now(), id, false) }
	r.OnFirstToken = func(cached int) {
		if cached < 0 {
			n.planner.Done(t.schedule.Now(), id, true)
			n.states[i].Health = target.HealthFailing
			t.send(a, start, append(excluded, e.Target.Name), awaited)
			return
		}
		n.planner.FirstByte(id)
		n.index.Expect(e.Target.Name, e.Incarnation(), "w1", a.Prompt.Keys, t.schedule.Now())
		t.record(a, e, cached, t.schedule.Now().Sub(start))
		t.resumeWaiting()
	}
	e.Enqueue(r)
}

// chooseEngine returns the engine that the trial's policy chooses for a request.
// Placed is false if the request waits for a prefill instead.
func (t *Trial) chooseEngine(n *node, a workload.Arrival, start time.Time, excluded []string, awaited bool) (i int, id uint64, placed bool) {
	switch t.policy {
	case RoundRobin:
		for {
			n.nextEngine++
			if i = (n.nextEngine + a.VM) % len(t.engines); n.usable(i, excluded) {
				return i, 0, true
			}
		}
	case LeastLoaded:
		return n.leastLoaded(t, excluded), 0, true
	case PrefixHash:
		return n.byPrefixHash(t, a, excluded), 0, true
	}
	matches := n.index.Lookup(nil, a.Prompt.Keys, t.schedule.Now())
	matches = slices.DeleteFunc(matches, func(m prefix.Match) bool {
		i := slices.IndexFunc(n.states, func(s target.State) bool { return s.Target.Name == m.Engine })
		return n.states[i].Report.Incarnation != m.Incarnation
	})
	r := route.Request{Route: t.route, Prompt: a.Prompt, Excluded: excluded, AwaitedPrefill: awaited}
	plan := n.planner.Plan(t.schedule.Now(), r, n.states, matches)
	if plan.State == nil {
		t.awaitPrefill(a, start, excluded, plan)
		return 0, 0, false
	}
	if t.policy == PrefixAware {
		t.announce(n, plan, a)
	}
	return slices.IndexFunc(n.states, func(s target.State) bool { return s.Target == plan.State.Target }), plan.ID, true
}

// announce announces a long prefill to the other VMs.
func (t *Trial) announce(n *node, plan route.Plan, a workload.Arrival) {
	announcement, ok := route.AnnouncementOf(plan, a.Prompt)
	if !ok {
		return
	}
	t.schedule.After(peerLag, func() {
		for _, other := range t.nodes {
			if other != n {
				other.index.Announce(announcement, t.schedule.Now())
			}
		}
	})
}
