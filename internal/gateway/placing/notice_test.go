package placing

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/source"
)

// TestTargetThatSaidItLeavesIsChosen guards against requests to a target that has
// stated that it leaves while its entry says that it is ready.
func TestTargetThatSaidItLeavesIsChosen(t *testing.T) {
	leaving := site.Notice{Leaving: true}
	p, v := newPlacer(), engineView(2)
	r := subjectRequest(1)
	must.False(t, recordLeaving(p, v.Targets["i-0"], site.Notice{}))
	must.False(t, p.Leaving(v.Targets["i-0"].Incarnation()))
	must.True(t, recordLeaving(p, v.Targets["i-0"], leaving))
	must.False(t, recordLeaving(p, v.Targets["i-0"], leaving), must.Sprint("the notice is not new"))

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

// recordLeaving records a notice and returns whether it is new that the target leaves.
func recordLeaving(p *Placer, t *site.Target, n site.Notice) bool {
	leaves, _ := p.RecordNotice(t.Incarnation(), n, epoch)
	return leaves
}

// TestTargetIsChosenInItsPause guards against requests to a target that has asked for
// a pause.
func TestTargetIsChosenInItsPause(t *testing.T) {
	const pause = 2 * time.Second
	r := subjectRequest(1)
	record := func(p *Placer, t *site.Target, pause time.Duration, now time.Time) bool {
		_, pauses := p.RecordNotice(t.Incarnation(), site.Notice{Pause: pause}, now)
		return pauses
	}
	canChoose := func(p *Placer, v *source.View, now time.Time) bool {
		_, ok := p.Choose(v, r, now)
		return ok
	}
	t.Run("only during the pause", func(t *testing.T) {
		p, v := newPlacer(), engineView(1)
		must.True(t, record(p, v.Targets["i-0"], pause, epoch))
		must.False(t, canChoose(p, v, epoch))
		must.False(t, canChoose(p, v, epoch.Add(pause-1)))
		must.True(t, canChoose(p, v, epoch.Add(pause)))
		must.True(t, record(p, v.Targets["i-0"], pause, epoch.Add(pause)), must.Sprint("the pause is a new one"))
	})
	t.Run("a success or a shorter pause does not end it", func(t *testing.T) {
		p, v := newPlacer(), engineView(1)
		c := mustChoose(t, p, v, r, epoch)
		p.Begin(c, nil, epoch)
		record(p, c.Target, pause, epoch)
		must.False(t, record(p, c.Target, pause/4, epoch))
		p.End(c, Served, true, epoch)
		must.False(t, canChoose(p, v, epoch.Add(pause-1)))
	})
	t.Run("a later pause extends it", func(t *testing.T) {
		p, v := newPlacer(), engineView(1)
		record(p, v.Targets["i-0"], pause, epoch)
		must.False(t, record(p, v.Targets["i-0"], pause, epoch.Add(pause/2)))
		must.False(t, canChoose(p, v, epoch.Add(pause)))
		must.True(t, canChoose(p, v, epoch.Add(pause+pause/2)))
	})
	t.Run("absurd pauses are ignored", func(t *testing.T) {
		p, v := newPlacer(), engineView(1)
		for _, d := range []time.Duration{0, -time.Second, maxPause + 1, 1<<63 - 1} {
			must.False(t, record(p, v.Targets["i-0"], d, epoch))
			must.True(t, canChoose(p, v, epoch))
		}
	})
	t.Run("other targets and a restarted one are used", func(t *testing.T) {
		p, v := newPlacer(), engineView(2)
		record(p, v.Targets["i-0"], pause, epoch)
		must.Eq(t, "i-1", mustChoose(t, p, v, r, epoch).Target.ID)
		restarted := engineView(1)
		restarted.Targets["i-0"].Born = 7
		must.True(t, canChoose(p, restarted, epoch))
	})
	t.Run("a paused engine is no source of cached segments", func(t *testing.T) {
		p, v := newPlacer(), engineView(2)
		home := mustChoose(t, p, v, r, epoch)
		p.Begin(home, r.Prefixes, epoch)
		p.End(home, Served, true, epoch)
		record(p, home.Target, pause, epoch)
		must.Eq(t, "", mustChoose(t, p, v, r, epoch.Add(time.Second)).Source)
	})
	t.Run("the first end of a pause is told if all targets are paused", func(t *testing.T) {
		p, v := newPlacer(), engineView(3)
		left := func() time.Duration { return p.ServiceWait(v, "llm", epoch.Add(time.Second)) }
		record(p, v.Targets["i-0"], pause, epoch)
		record(p, v.Targets["i-1"], 2*pause, epoch)
		must.Zero(t, left())
		v.Targets["i-2"].Leaving = true
		must.Eq(t, pause-time.Second, left())
		recordLeaving(p, v.Targets["i-0"], site.Notice{Leaving: true})
		must.Eq(t, 2*pause-time.Second, left())
		recordLeaving(p, v.Targets["i-1"], site.Notice{Leaving: true})
		must.Zero(t, left())
	})
}
