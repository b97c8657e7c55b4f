package placing

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

// text returns the state that decisions depend on.
func (p *Placer) text() string {
	states := map[string]targetState{}
	for id, s := range p.states {
		states[id] = *s
	}
	return fmt.Sprintf("%+v %+v %+v %d %v %d %+v", states, p.sendRates, p.peers, p.turn, p.deferredShare, len(p.holders.sent), p.notices)
}

// tieTries is how often a request is explained until the explanation is that of the decision.
// Ties are resolved at random.
const tieTries = 40

// TestExplainIsTheDecision guards against an explanation that differs from the decision, or
// that changes a later one: requests are explained before they are placed.
func TestExplainIsTheDecision(t *testing.T) {
	for _, c := range []struct{ peers, engines int }{{0, 6}, {3, 9}, {40, 60}} {
		t.Run(fmt.Sprint(c), func(t *testing.T) {
			p, v := newPlacer(), engineView(c.engines)
			random := rand.New(rand.NewPCG(7, uint64(c.peers)))
			now := epoch
			for i := range c.peers {
				p.ApplyUpdate(roster.Entry{VM: fmt.Sprint("vm-", i), Loads: []roster.TargetLoad{{Target: "i-1", Running: 3, Prefill: 500}}}, v, now)
			}
			p.RecordNotice(site.Incarnation{ID: "i-2"}, site.Notice{Leaving: true}, now)
			ties := 0
			for range 300 {
				now = now.Add(time.Duration(random.IntN(100)) * time.Millisecond)
				// A few prefixes are hot and a third of the requests have none.
				r := subjectRequest(random.IntN(4))
				if random.IntN(3) == 0 {
					r.Prefixes, r.Tokens = nil, 700
				}
				r.Goal, r.TimeLeft = time.Duration(random.IntN(300))*time.Millisecond, time.Second
				state, before := p.text(), p.copyState()
				e := p.Explain(v, r, now)
				must.Eq(t, state, p.text())
				choice := mustChoose(t, p, v, r, now)
				must.True(t, e.Found)
				must.Len(t, c.engines, e.Candidates)
				for i, candidate := range e.Candidates {
					must.Eq(t, i == 0, candidate.Chosen)
					must.Eq(t, i > 0, candidate.Reason != "", must.Sprint(candidate))
				}
				// Any of several engines with the same cost may be chosen. Their slowdowns differ,
				// so that the request may be late at one and not at another one.
				for range tieTries {
					if e.Candidates[0].Target == choice.Target.ID && e.Late == choice.Late {
						break
					}
					e = before.Explain(v, r, now)
				}
				if e.Candidates[0].Target == choice.Target.ID {
					must.Eq(t, choice.Late, e.Late)
					must.InDelta(t, float64(choice.Expected)/1e6, e.Candidates[0].CostMS, 1e-3)
				} else {
					i := slices.IndexFunc(e.Candidates, func(c Candidacy) bool { return c.Target == choice.Target.ID })
					must.True(t, e.Late || choice.Late || math.Abs(e.Candidates[0].CostMS-e.Candidates[i].CostMS) < 1e-3)
					ties++
				}
				p.Begin(choice, r.Prefixes, now)
				if random.IntN(3) > 0 {
					p.FirstToken(choice, time.Duration(random.IntN(200))*time.Millisecond, now)
					p.End(choice, Outcome(random.IntN(5)), true, now)
				}
			}
			must.Less(t, 150, ties)
		})
	}
}

func TestExplainWithoutTarget(t *testing.T) {
	p, v := newPlacer(), engineView(2)
	p.RecordNotice(site.Incarnation{ID: "i-0"}, site.Notice{Leaving: true}, epoch)
	p.RecordNotice(site.Incarnation{ID: "i-1"}, site.Notice{Pause: time.Second}, epoch)
	e := p.Explain(v, subjectRequest(1), epoch)
	must.False(t, e.Found)
	must.Len(t, 2, e.Candidates)
	must.Eq(t, "is leaving", e.Candidates[0].Reason)
	must.Eq(t, "has asked for a pause or is at its limit", e.Candidates[1].Reason)
}
