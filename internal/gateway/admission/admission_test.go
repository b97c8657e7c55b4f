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
		{name: "a", priority: 0, perSecond: 80, tokens: 3000, steps: 6, goal: 500 * time.Millisecond, deadline: 4 * time.Second, valueOnTime: 4.5, valueLate: 0.53},
		{name: "b", priority: 2, perSecond: 112, tokens: 800, steps: 32, goal: 1500 * time.Millisecond, deadline: 10 * time.Second, valueOnTime: 1.4, valueLate: 0.61},
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
// requests sent, nearly none are on time from 1.3 times the capacity on.
func TestCollapseWithoutAdmission(t *testing.T) {
	calm, overloaded := steady(0.8), steady(1.3)
	calm.off, overloaded.off = true, true
	must.Less(t, 0.3*calm.run().value, overloaded.run().value)
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
