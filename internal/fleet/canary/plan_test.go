package canary

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"
)

// TestPlan guards against a move that begins too early, without evidence or capacity, or
// that ends over requests in flight or too late.
func TestPlan(t *testing.T) {
	base := situation{
		duration: 40 * time.Second, oldSlots: 10, newSlots: 10, verdict: good, updateDelay: time.Second,
		stageAge: 20 * time.Second, age: 35 * time.Second,
	}
	for name, c := range map[string]struct {
		change func(s *situation)
		want   Stage
	}{
		"a good version moves":                    {func(*situation) {}, Quarter},
		"not while there is time to watch":        {func(s *situation) { s.age = 20 * time.Second }, Watching},
		"not without evidence":                    {func(s *situation) { s.verdict = undecided }, Watching},
		"not without capacity":                    {func(s *situation) { s.newSlots = 4 }, Watching},
		"not without targets":                     {func(s *situation) { s.newSlots = 0 }, Watching},
		"a bad version at once":                   {func(s *situation) { s.verdict, s.age = bad, time.Second }, RolledBack},
		"a bad version that all traffic uses":     {func(s *situation) { s.verdict, s.stage, s.clear = bad, Full, true }, RolledBack},
		"the deadline":                            {func(s *situation) { s.age = s.duration }, RolledBack},
		"the deadline of a move":                  {func(s *situation) { s.stage, s.age = Full, s.duration }, RolledBack},
		"a write that would come after it":        {func(s *situation) { s.stage, s.clear, s.age = Full, true, s.duration-100*time.Millisecond }, RolledBack},
		"the next step":                           {func(s *situation) { s.stage = Quarter }, Half},
		"not before its time":                     {func(s *situation) { s.stage, s.stageAge = Quarter, time.Second }, Quarter},
		"not while targets are lost":              {func(s *situation) { s.stage, s.newSlots = Half, 3 }, Half},
		"all targets are lost":                    {func(s *situation) { s.stage, s.newSlots, s.newGone = Half, 0, 3*time.Second }, RolledBack},
		"in flight":                               {func(s *situation) { s.stage = Full }, Full},
		"nothing in flight":                       {func(s *situation) { s.stage, s.clear = Full, true }, Completed},
		"no other version":                        {func(s *situation) { s.oldSlots, s.age, s.verdict = 0, 5*time.Second, undecided }, Full},
		"no other version before all are listed":  {func(s *situation) { s.oldSlots, s.age, s.stageAge, s.verdict = 0, time.Second, time.Second, undecided }, Watching},
		"completed stays":                         {func(s *situation) { s.stage, s.verdict = Completed, bad }, Completed},
		"rolled back stays, also if it gets good": {func(s *situation) { s.stage = RolledBack }, RolledBack},
	} {
		t.Run(name, func(t *testing.T) {
			s := base
			c.change(&s)
			must.Eq(t, c.want, plan(s).stage)
		})
	}
}
