package admission

import (
	"fmt"
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
	return simulation{classes: streams(), load: func(time.Duration) float64 { return load }, heavy: 1, seconds: 30, warmUp: 5 * time.Second, seed: 1}
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
