package rollout

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

var epoch = time.Unix(1000, 0)

func laggingEngine(id string, running int, since time.Time) engine {
	return engine{target: &site.Target{ID: id}, model: "m", current: 1, wanted: 2, running: running, since: since}
}

// stepIDs returns the ids of the engines that are to be drained and sent an order.
func stepIDs(steps []step) (toDrain, toOrder []string) {
	for _, s := range steps {
		switch s := s.(type) {
		case startDrain:
			toDrain = append(toDrain, s.engine.target.ID)
		case sendOrder:
			toOrder = append(toOrder, s.engine.target.ID)
		case pollReport:
		}
	}
	return toDrain, toOrder
}

func TestPlan(t *testing.T) {
	t.Run("engines are drained before they are sent an order", func(t *testing.T) {
		pl := newPlanner()
		lagging := []engine{laggingEngine("a", 3, epoch)}
		toDrain, toOrder := stepIDs(pl.plan(lagging, pool{engines: 9}, epoch))
		must.Eq(t, []string{"a"}, toDrain)
		must.Len(t, 0, toOrder)
		_, toOrder = stepIDs(pl.plan(lagging, pool{engines: 9}, epoch.Add(drainTimeout/2)))
		must.Len(t, 0, toOrder)
		lagging[0].running = 0
		_, toOrder = stepIDs(pl.plan(lagging, pool{engines: 9}, epoch.Add(drainTimeout/2)))
		must.Eq(t, []string{"a"}, toOrder)
	})
	t.Run("a busy engine is sent its order after the drain timeout", func(t *testing.T) {
		pl := newPlanner()
		lagging := []engine{laggingEngine("a", 3, epoch)}
		pl.plan(lagging, pool{engines: 9}, epoch)
		_, toOrder := stepIDs(pl.plan(lagging, pool{engines: 9}, epoch.Add(drainTimeout+time.Millisecond)))
		must.Eq(t, []string{"a"}, toOrder)
	})
	t.Run("engines with the oldest superseded weights come first", func(t *testing.T) {
		pl := newPlanner()
		lagging := []engine{laggingEngine("a", 0, epoch.Add(time.Second)), laggingEngine("b", 5, epoch), laggingEngine("c", 0, epoch.Add(time.Second)), laggingEngine("d", 9, epoch)}
		toDrain, _ := stepIDs(pl.plan(lagging, pool{engines: 9}, epoch))
		must.Eq(t, []string{"b", "d"}, toDrain)
	})
	t.Run("suspect engines come last", func(t *testing.T) {
		pl := newPlanner()
		lagging := []engine{laggingEngine("a", 0, epoch), laggingEngine("b", 5, epoch), laggingEngine("c", 6, epoch)}
		lagging[0].suspect = true
		toDrain, _ := stepIDs(pl.plan(lagging, pool{engines: 9}, epoch))
		must.Eq(t, []string{"b", "c"}, toDrain)
	})
	t.Run("engines with a failed call come last", func(t *testing.T) {
		pl := newPlanner()
		lagging := []engine{laggingEngine("a", 0, epoch), laggingEngine("b", 5, epoch), laggingEngine("c", 6, epoch)}
		pl.plan(lagging[:1], pool{engines: 9}, epoch)
		pl.failed("a", epoch)
		toDrain, _ := stepIDs(pl.plan(lagging, pool{engines: 9}, epoch.Add(failureBackoff)))
		must.Eq(t, []string{"b", "c"}, toDrain)
	})
	t.Run("a busy pool drains fewer engines", func(t *testing.T) {
		pl := newPlanner()
		lagging := []engine{laggingEngine("a", 9, epoch), laggingEngine("b", 9, epoch), laggingEngine("c", 9, epoch)}
		toDrain, _ := stepIDs(pl.plan(lagging, pool{engines: 9, running: 90}, epoch))
		must.Len(t, 1, toDrain)
	})
	t.Run("an urgent rollout drains as many in a busy pool", func(t *testing.T) {
		pl := newPlanner()
		lagging := []engine{laggingEngine("a", 9, epoch), laggingEngine("b", 9, epoch), laggingEngine("c", 9, epoch)}
		toDrain, _ := stepIDs(pl.plan(lagging, pool{engines: 9, running: 90}, epoch.Add(urgentAge+1)))
		must.Len(t, 2, toDrain)
	})
	t.Run("a paused engine is sent nothing and keeps no other from loading", func(t *testing.T) {
		pl := newPlanner()
		lagging := []engine{laggingEngine("a", 0, epoch), laggingEngine("b", 0, epoch), laggingEngine("c", 0, epoch), laggingEngine("d", 0, epoch)}
		lagging[0].paused = true
		toDrain, _ := stepIDs(pl.plan(slices.Clone(lagging), pool{engines: 9}, epoch))
		must.Eq(t, []string{"b", "c"}, toDrain)
		now := epoch.Add(time.Millisecond)
		lagging[1].paused = true
		toDrain, toOrder := stepIDs(pl.plan(slices.Clone(lagging), pool{engines: 9}, now))
		must.Eq(t, []string{"c"}, toOrder)
		must.Eq(t, []string{"d"}, toDrain)
		pl.accepted("c", now)
		lagging[2].paused = true
		now = now.Add(2 * initialLoadTime)
		steps := pl.plan(slices.Clone(lagging), pool{engines: 9}, now)
		must.Len(t, 1, steps)
		_, toOrder = stepIDs(steps)
		must.Eq(t, []string{"d"}, toOrder)
		pl.accepted("d", now)

		lagging[2].paused = false
		steps = pl.plan(slices.Clone(lagging), pool{engines: 9}, now.Add(time.Millisecond))
		must.Len(t, 1, steps)
		poll, ok := steps[0].(pollReport)
		must.True(t, ok)
		must.Eq(t, "c", poll.engine.target.ID)
		pl.completed("c", now.Add(time.Hour))
		must.Eq(t, initialLoadTime, pl.loadTime)
	})
	t.Run("half of the engines keep serving", func(t *testing.T) {
		pl := newPlanner()
		toDrain, _ := stepIDs(pl.plan([]engine{laggingEngine("a", 0, epoch)}, pool{engines: 9, unreachable: 4}, epoch))
		must.Len(t, 0, toDrain)
		toDrain, _ = stepIDs(pl.plan([]engine{laggingEngine("a", 0, epoch)}, pool{engines: 9, unreachable: 4}, epoch.Add(urgentAge+1)))
		must.Len(t, 1, toDrain, must.Sprint("superseded weights may not be used much longer"))
	})
	t.Run("a lost order is sent again", func(t *testing.T) {
		pl := newPlanner()
		lagging := []engine{laggingEngine("a", 0, epoch)}
		pl.plan(lagging, pool{engines: 9}, epoch)
		pl.plan(lagging, pool{engines: 9}, epoch.Add(time.Millisecond))
		pl.outcomeUnknown("a", epoch)
		_, toOrder := stepIDs(pl.plan(lagging, pool{engines: 9}, epoch.Add(resendDelay/2)))
		must.Len(t, 0, toOrder)
		_, toOrder = stepIDs(pl.plan(lagging, pool{engines: 9}, epoch.Add(resendDelay)))
		must.Eq(t, []string{"a"}, toOrder)
	})
	t.Run("an order to an earlier incarnation is dropped", func(t *testing.T) {
		pl := newPlanner()
		pl.plan([]engine{laggingEngine("a", 0, epoch)}, pool{engines: 9}, epoch)
		pl.accepted("a", epoch)
		restarted := laggingEngine("a", 0, epoch)
		restarted.target.Born = 9
		toDrain, _ := stepIDs(pl.plan([]engine{restarted}, pool{engines: 9}, epoch.Add(time.Second)))
		must.Eq(t, []string{"a"}, toDrain)
	})
}

// TestRolloutEnds simulates engines that load weights while orders to them are
// lost. It checks that the number of busy engines stays within the concurrency
// limits and that all engines have the new weights in the end.
func TestRolloutEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "engines")
		pl := newPlanner()
		version := make([]int64, n)
		until := make([]time.Time, n)
		now := epoch
		for range 4000 {
			now = now.Add(50 * time.Millisecond)
			var lagging []engine
			for i := range n {
				if !until[i].IsZero() && !now.Before(until[i]) {
					version[i], until[i] = 2, time.Time{}
				}
				if version[i] < 2 {
					lagging = append(lagging, laggingEngine(fmt.Sprintf("i-%02d", i), rapid.IntRange(0, 2).Draw(t, "running"), epoch))
				}
			}
			if len(lagging) == 0 {
				return
			}
			steps := pl.plan(lagging, pool{engines: n}, now)
			load, drain := pool{engines: n}.limits()
			must.LessEq(t, load+drain, len(pl.busy()))
			for _, s := range steps {
				if s, ok := s.(sendOrder); ok {
					var i int
					_, _ = fmt.Sscanf(s.engine.target.ID, "i-%d", &i)
					if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
						pl.outcomeUnknown(s.engine.target.ID, now)
						continue
					}
					until[i] = now.Add(800 * time.Millisecond)
					pl.accepted(s.engine.target.ID, now)
				}
				if s, ok := s.(pollReport); ok {
					pl.pending(s.engine.target.ID, now)
				}
			}
		}
		t.Fatal("the rollout did not complete")
	})
}
