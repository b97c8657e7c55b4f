package model

import (
	"slices"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/workload"
	"github.com/baobabdyke/baobabdyke/prefix"
	"github.com/baobabdyke/baobabdyke/route"
	"github.com/baobabdyke/baobabdyke/target"
)

// The ways to choose an engine.
const (
	RoundRobin  = "round robin"
	LeastLoaded = "least loaded"
	PrefixHash  = "prefix hash"
	// TTFTAlone plans by the time to the first token, whatever is computed twice.
	TTFTAlone = "ttft alone"
	// Unannounced plans as Chosen does, but tells no other VM of a prefill.
	Unannounced = "unannounced"
	Chosen      = "chosen"
)

// Ways returns all ways to choose an engine.
func Policies() []string {
	return []string{RoundRobin, LeastLoaded, PrefixHash, TTFTAlone, Unannounced, Chosen}
}

// send places one request, again when an engine is lost.
func (t *Trial) send(a workload.Arrival, begun time.Time, excluded []string, followed bool) {
	n := t.nodes[a.VM]
	i, id, placed := t.choose(n, a, begun, excluded, followed)
	if !placed {
		return
	}
	e := t.engines[i]
	if e.down {
		n.planner.Done(t.schedule.Now(), id, true)
		n.states[i].Health = target.HealthFailing
		t.send(a, begun, append(excluded, e.Target.Name), followed)
		return
	}
	n.sent[i]++
	w := &Work{Pieces: a.Pieces, Tokens: a.Prompt.Tokens, Output: a.OutputTokens}
	w.Done = func() { n.planner.Done(t.schedule.Now(), id, false) }
	w.First = func(held int) {
		if held < 0 {
			n.planner.Done(t.schedule.Now(), id, true)
			n.states[i].Health = target.HealthFailing
			t.send(a, begun, append(excluded, e.Target.Name), followed)
			return
		}
		n.planner.FirstByte(id)
		n.index.Expect(e.Target.Name, e.Incarnation(), "w1", a.Prompt.Keys, t.schedule.Now())
		t.record(a, e, held, t.schedule.Now().Sub(begun))
		t.wake()
	}
	e.Enter(w)
}

// choose returns the engine for a request by the way of the trial.
func (t *Trial) choose(n *node, a workload.Arrival, begun time.Time, excluded []string, followed bool) (i int, id uint64, placed bool) {
	switch t.way {
	case RoundRobin:
		for {
			n.turn++
			if i = (n.turn + a.VM) % len(t.engines); n.usable(i, excluded) {
				return i, 0, true
			}
		}
	case LeastLoaded:
		return n.least(t, excluded), 0, true
	case PrefixHash:
		return n.hashed(t, a, excluded), 0, true
	}
	held := n.index.Lookup(nil, a.Prompt.Keys, t.schedule.Now())
	held = slices.DeleteFunc(held, func(h prefix.Match) bool {
		i := slices.IndexFunc(n.states, func(s target.State) bool { return s.Target.Name == h.Engine })
		return n.states[i].Report.Incarnation != h.Incarnation
	})
	r := route.Request{Route: t.route, Prompt: a.Prompt, Excluded: excluded, AwaitedPrefill: followed}
	plan := n.planner.Plan(t.schedule.Now(), r, n.states, held)
	if plan.State == nil {
		t.follow(a, begun, excluded, plan)
		return 0, 0, false
	}
	if t.way == Chosen {
		t.announce(n, plan, a)
	}
	return slices.IndexFunc(n.states, func(s target.State) bool { return s.Target == plan.State.Target }), plan.ID, true
}

// announce tells the other VMs of a long prefill.
func (t *Trial) announce(n *node, plan route.Plan, a workload.Arrival) {
	told, ok := route.AnnouncementOf(plan, a.Prompt)
	if !ok {
		return
	}
	t.schedule.After(peerLag, func() {
		for _, other := range t.nodes {
			if other != n {
				other.index.Announce(told, t.schedule.Now())
			}
		}
	})
}
