package admission

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// streams returns two classes of streams in the proportions of the deployment with scarce
// capacity: long urgent prompts with a short goal, and short ones with longer answers.
func streams() []simClass {
	return []simClass{
		{name: "a", priority: 0, perSecond: 4.4 * simEngines, tokens: 2890, steps: 6, goal: 500 * time.Millisecond, deadline: 4 * time.Second, valueOnTime: 4.5, valueLate: 0.53},
		{name: "b", priority: 2, perSecond: 6.3 * simEngines, tokens: 628, steps: 32, goal: 1500 * time.Millisecond, deadline: 10 * time.Second, valueOnTime: 1.4, valueLate: 0.61},
	}
}

// steady returns a simulation at a constant load.
func steady(load float64) simulation {
	return simulation{classes: streams(), load: func(time.Duration) float64 { return load }, heavy: 1, seconds: 40, warmUp: 5 * time.Second, seed: 1}
}

func (r *simResult) String() string {
	out := fmt.Sprintf("value %.1f", r.value)
	for name, c := range r.byClass {
		out += fmt.Sprintf(" | %s: on time %.2f late %.2f refused %.2f refusals %.2f", name, c.onTime/c.asked, c.late/c.asked, c.refused/c.asked, c.refusals/c.asked)
	}
	return out
}

// TestCollapseWithoutAdmission shows the fault that admission control prevents: with all
// requests sent, the value falls below 0.9 of what is served below the capacity.
func TestCollapseWithoutAdmission(t *testing.T) {
	calm := steady(0.9)
	calm.off = true
	best := calm.run().value
	for _, load := range []float64{1.3, 2, 5} {
		overloaded := steady(load)
		overloaded.off = true
		value := overloaded.run().value
		t.Logf("load %.1f value %.1f, %.1f at 0.9", load, value, best)
		must.Less(t, 0.9*best, value)
	}
}

// TestGoodput guards against a collapse under overload: the value served a second is never
// below 0.9 of the highest at a lower load.
func TestGoodput(t *testing.T) {
	highest := 0.0
	for _, load := range []float64{0.5, 1, 1.3, 2, 5} {
		value := 0.0
		for seed := range uint64(3) {
			s := steady(load)
			// The load arrives at once, and is counted when the queues have drained.
			s.seed, s.seconds, s.warmUp = seed+1, 55, 15*time.Second
			r := s.run()
			value += r.value / 3
			must.GreaterEq(t, r.byClass["b"].servedShare(), r.byClass["a"].servedShare())
		}
		highest = max(highest, value)
		t.Logf("load %.1f value %.1f", load, value)
		must.GreaterEq(t, 0.9*highest, value, must.Sprintf("load %.1f", load))
	}
}

func (t *tally) servedShare() float64 { return (t.onTime + t.late) / t.asked }

// TestNothingRefusedBelowCapacity guards against refusals for a few late requests.
func TestNothingRefusedBelowCapacity(t *testing.T) {
	for _, load := range []float64{0.25, 0.5} {
		s := steady(load)
		r := s.run()
		for _, c := range r.byClass {
			must.Eq(t, 0, c.refusals)
		}
	}
}

// TestFairness guards against a customer that takes from others what they ask for: the
// tokens served of each customer of a class are within 10% of max-min fairness.
func TestFairness(t *testing.T) {
	for _, load := range []float64{1.3, 2, 5} {
		t.Run(fmt.Sprintf("load %.1f", load), func(t *testing.T) {
			s := steady(load)
			s.heavy, s.seconds, s.warmUp = 7.5, 120, 15*time.Second
			r := s.run()
			for class, customers := range r.byCustomer {
				for customer, fair := range maxMin(customers) {
					must.Between(t, 0.9*fair, customers[customer].servedTokens, 1.1*fair, must.Sprintf("class %s customer %d", class, customer))
				}
			}
		})
	}
}

// maxMin returns the max-min fair division of the tokens that were served.
func maxMin(customers map[int]*tally) map[int]float64 {
	left, out := 0.0, map[int]float64{}
	ids := slices.SortedFunc(maps.Keys(customers), func(a, b int) int {
		return cmp.Compare(customers[a].askedTokens, customers[b].askedTokens)
	})
	for _, c := range customers {
		left += c.servedTokens
	}
	for i, id := range ids {
		out[id] = min(customers[id].askedTokens, left/float64(len(ids)-i))
		left -= out[id]
	}
	return out
}

// TestRefusalsEndAfterOverload guards against requests that are refused while targets are
// free again: once the queues of the targets have had time to drain, none is.
func TestRefusalsEndAfterOverload(t *testing.T) {
	for _, peak := range []float64{1.5, 2.2, 5} {
		s := steady(0)
		s.load = func(at time.Duration) float64 {
			if at > 4*time.Second && at < 10*time.Second {
				return peak
			}
			return 0.6
		}
		// At 5 times the capacity the queues take 5 s to drain, and streams that ran then
		// another 2 s to end.
		s.warmUp = 18 * time.Second
		r := s.run()
		for name, c := range r.byClass {
			must.Eq(t, 0, c.refusals, must.Sprintf("peak %.1f class %s", peak, name))
		}
	}
}

// TestWaitsAloneShowNoOverload guards against refusals in calm for first tokens that are late
// for other reasons, as at an engine that loads weights.
func TestWaitsAloneShowNoOverload(t *testing.T) {
	s := NewState(func() float64 { return 0.5 })
	calm := Load{Own: 8, Fleet: 8, VMs: 1, Slots: 40}
	for i := range 200 {
		now := simEpoch.Add(time.Duration(i) * 100 * time.Millisecond)
		ticket, d := s.Admit(Request{Service: "llm", Class: "a", Tokens: 1000, Goal: 500 * time.Millisecond, TimeLeft: 4 * time.Second, Queues: true, Load: calm}, now)
		must.True(t, d.Admitted)
		if i%3 > 0 {
			s.FirstToken(ticket, now.Add(time.Millisecond))
		}
	}
}

// TestPatientClass guards against a class with a patient goal that delays an urgent one, or
// that is starved beside it.
func TestPatientClass(t *testing.T) {
	for _, load := range []float64{1.3, 2, 5} {
		s := steady(load)
		s.classes[1].goal, s.classes[1].deadline = 10*time.Second, 30*time.Second
		s.seconds, s.warmUp = 80, 15*time.Second
		r := s.run()
		urgent, patient := r.byClass["a"], r.byClass["b"]
		t.Log(load, r.String())
		must.GreaterEq(t, 0.9, urgent.onTime/(urgent.onTime+urgent.late))
		must.GreaterEq(t, patient.servedShare(), urgent.servedShare())
		must.GreaterEq(t, 0.7/load, patient.servedShare())
	}
}

// TestReturnAfterRetryAfter guards against callers that gain by coming back at once: those that come
// back after Retry-After are admitted more often.
func TestReturnAfterRetryAfter(t *testing.T) {
	for _, load := range []float64{1.3, 2, 5} {
		s := steady(load)
		r := s.run()
		compliant, early := r.compliant.admitted/r.compliant.asked, r.early.admitted/r.early.asked
		t.Logf("load %.1f: %.2f of those that kept to Retry-After were admitted, %.2f of others", load, compliant, early)
		must.GreaterEq(t, 1.5*early, compliant)
	}
}
