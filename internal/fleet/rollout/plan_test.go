package rollout

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"
	"pgregory.net/rapid"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

var epoch = time.Unix(1000, 0)

func lag(id string, running int, since time.Time) engine {
	return engine{target: &site.Target{ID: id}, model: "m", has: 1, wants: 2, running: running, since: since}
}

// stepIDs returns the ids of the engines that are to be drained and sent an order.
func count(steps []step) (announced, instructed []string) {
	for _, s := range steps {
		switch s := s.(type) {
		case announce:
			announced = append(announced, s.engine.target.ID)
		case instruct:
			instructed = append(instructed, s.engine.target.ID)
		case ask:
		}
	}
	return announced, instructed
}

func TestPlan(t *testing.T) {
	t.Run("engines are drained before they are sent an order", func(t *testing.T) {
		b := newBook()
		lagging := []engine{lag("a", 3, epoch)}
		announced, instructed := count(b.plan(lagging, pool{engines: 9}, epoch))
		must.Eq(t, []string{"a"}, announced)
		must.Len(t, 0, instructed)
		_, instructed = count(b.plan(lagging, pool{engines: 9}, epoch.Add(emptyTime/2)))
		must.Len(t, 0, instructed)
		lagging[0].running = 0
		_, instructed = count(b.plan(lagging, pool{engines: 9}, epoch.Add(emptyTime/2)))
		must.Eq(t, []string{"a"}, instructed)
	})
	t.Run("a busy engine is sent its order after the drain timeout", func(t *testing.T) {
		b := newBook()
		lagging := []engine{lag("a", 3, epoch)}
		b.plan(lagging, pool{engines: 9}, epoch)
		_, instructed := count(b.plan(lagging, pool{engines: 9}, epoch.Add(emptyTime+time.Millisecond)))
		must.Eq(t, []string{"a"}, instructed)
	})
	t.Run("engines with the oldest superseded weights come first", func(t *testing.T) {
		b := newBook()
		lagging := []engine{lag("a", 0, epoch.Add(time.Second)), lag("b", 5, epoch), lag("c", 0, epoch.Add(time.Second)), lag("d", 9, epoch)}
		announced, _ := count(b.plan(lagging, pool{engines: 9}, epoch))
		must.Eq(t, []string{"b", "d"}, announced)
	})
	t.Run("suspect engines come last", func(t *testing.T) {
		b := newBook()
		lagging := []engine{lag("a", 0, epoch), lag("b", 5, epoch), lag("c", 6, epoch)}
		lagging[0].suspect = true
		announced, _ := count(b.plan(lagging, pool{engines: 9}, epoch))
		must.Eq(t, []string{"b", "c"}, announced)
	})
	t.Run("engines with a failed call come last", func(t *testing.T) {
		b := newBook()
		lagging := []engine{lag("a", 0, epoch), lag("b", 5, epoch), lag("c", 6, epoch)}
		b.plan(lagging[:1], pool{engines: 9}, epoch)
		b.failed("a", epoch)
		announced, _ := count(b.plan(lagging, pool{engines: 9}, epoch.Add(failPause)))
		must.Eq(t, []string{"b", "c"}, announced)
	})
	t.Run("a busy pool drains fewer engines", func(t *testing.T) {
		b := newBook()
		lagging := []engine{lag("a", 9, epoch), lag("b", 9, epoch), lag("c", 9, epoch)}
		announced, _ := count(b.plan(lagging, pool{engines: 9, running: 90}, epoch))
		must.Len(t, 1, announced)
	})
	t.Run("an urgent rollout drains as many in a busy pool", func(t *testing.T) {
		b := newBook()
		lagging := []engine{lag("a", 9, epoch), lag("b", 9, epoch), lag("c", 9, epoch)}
		announced, _ := count(b.plan(lagging, pool{engines: 9, running: 90}, epoch.Add(urgentAge+1)))
		must.Len(t, 2, announced)
	})
	t.Run("half of the engines keep serving", func(t *testing.T) {
		b := newBook()
		announced, _ := count(b.plan([]engine{lag("a", 0, epoch)}, pool{engines: 9, dark: 4}, epoch))
		must.Len(t, 0, announced)
		announced, _ = count(b.plan([]engine{lag("a", 0, epoch)}, pool{engines: 9, dark: 4}, epoch.Add(urgentAge+1)))
		must.Len(t, 1, announced, must.Sprint("superseded weights may not be used much longer"))
	})
	t.Run("a lost order is sent again", func(t *testing.T) {
		b := newBook()
		lagging := []engine{lag("a", 0, epoch)}
		b.plan(lagging, pool{engines: 9}, epoch)
		b.plan(lagging, pool{engines: 9}, epoch.Add(time.Millisecond))
		b.doubted("a", epoch)
		_, instructed := count(b.plan(lagging, pool{engines: 9}, epoch.Add(doubtPause/2)))
		must.Len(t, 0, instructed)
		_, instructed = count(b.plan(lagging, pool{engines: 9}, epoch.Add(doubtPause)))
		must.Eq(t, []string{"a"}, instructed)
	})
	t.Run("an order to an earlier incarnation is dropped", func(t *testing.T) {
		b := newBook()
		b.plan([]engine{lag("a", 0, epoch)}, pool{engines: 9}, epoch)
		b.accepted("a", epoch)
		restarted := lag("a", 0, epoch)
		restarted.target.Born = 9
		announced, _ := count(b.plan([]engine{restarted}, pool{engines: 9}, epoch.Add(time.Second)))
		must.Eq(t, []string{"a"}, announced)
	})
}

// TestRolloutEnds simulates engines that load weights while orders to them are
// lost. It checks that the number of busy engines stays within the concurrency
// limits and that all engines have the new weights in the end.
func TestRolloutEnds(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 30).Draw(t, "engines")
		b := newBook()
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
					lagging = append(lagging, lag(fmt.Sprintf("i-%02d", i), rapid.IntRange(0, 2).Draw(t, "running"), epoch))
				}
			}
			if len(lagging) == 0 {
				return
			}
			steps := b.plan(lagging, pool{engines: n}, now)
			load, empty := pool{engines: n}.room()
			must.LessEq(t, load+empty, len(b.busy()))
			for _, s := range steps {
				if s, ok := s.(instruct); ok {
					var i int
					_, _ = fmt.Sscanf(s.engine.target.ID, "i-%d", &i)
					if rapid.IntRange(0, 3).Draw(t, "lost") == 0 {
						b.doubted(s.engine.target.ID, now)
						continue
					}
					until[i] = now.Add(800 * time.Millisecond)
					b.accepted(s.engine.target.ID, now)
				}
				if s, ok := s.(ask); ok {
					b.pending(s.engine.target.ID, now)
				}
			}
		}
		t.Fatal("the rollout did not complete")
	})
}
