package placing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
)

// TestTargetThatSaidItLeavesIsChosen guards against requests to a target that has
// stated that it leaves while its entry says that it is ready.
func TestTargetThatSaidItLeavesIsChosen(t *testing.T) {
	leaving := site.Notice{Leaving: true}
	p, v := newPlacer(), engineView(2)
	r := subjectRequest(1)
	must.False(t, p.RecordNotice(v.Targets["i-0"].Incarnation(), site.Notice{}, epoch))
	must.False(t, p.Leaving(v.Targets["i-0"].Incarnation()))
	must.True(t, p.RecordNotice(v.Targets["i-0"].Incarnation(), leaving, epoch))
	must.False(t, p.RecordNotice(v.Targets["i-0"].Incarnation(), leaving, epoch), must.Sprint("the notice is not new"))

	t.Run("another target is chosen", func(t *testing.T) {
		must.Eq(t, "i-1", mustChoose(t, p, v, r, epoch).Target.ID)
	})
	t.Run("no target is left", func(t *testing.T) {
		again := r
		again.Tried = []string{"i-1"}
		_, ok := p.Choose(v, again, epoch)
		must.False(t, ok)
	})
	t.Run("a late response of an earlier incarnation changes nothing", func(t *testing.T) {
		earlier := *v.Targets["i-0"]
		earlier.Born = -1
		p.ObserveWeights(&earlier, "m", 1, epoch)
		must.Eq(t, "i-1", mustChoose(t, p, v, r, epoch).Target.ID)
	})
	now := epoch
	t.Run("the notice is kept while the target is listed", func(t *testing.T) {
		for range 5 {
			now = now.Add(stateRetention)
			p.Loads(now)
			p.PruneNotices(v, now)
		}
		must.Eq(t, "i-1", mustChoose(t, p, v, r, now).Target.ID)
	})
	t.Run("the notice is kept while the entry is missing for a moment", func(t *testing.T) {
		p.PruneNotices(engineView(0), now.Add(stateRetention))
		must.Eq(t, "i-1", mustChoose(t, p, v, r, now).Target.ID)
	})
	t.Run("a restarted target is chosen again", func(t *testing.T) {
		restarted := engineView(1)
		restarted.Targets["i-0"].Born = 7
		must.Eq(t, "i-0", mustChoose(t, p, restarted, r, now).Target.ID)
	})
	t.Run("the notice is dropped after the target is no longer listed", func(t *testing.T) {
		p.PruneNotices(engineView(0), now.Add(stateRetention+time.Millisecond))
		must.MapLen(t, 0, p.notices)
	})
}
