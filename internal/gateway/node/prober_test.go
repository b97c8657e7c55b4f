package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/site"
	"github.com/baobabdyke/baobabdyke/internal/fleet/throttle"
	"github.com/baobabdyke/baobabdyke/internal/gateway/caches"
	"github.com/baobabdyke/baobabdyke/internal/gateway/placing"
)

// TestPausedOrLeavingTargetIsProbed guards against connections to a target that has
// asked for a pause or has stated that it leaves.
func TestPausedOrLeavingTargetIsProbed(t *testing.T) {
	now := time.Unix(1000, 0)
	placer := placing.New("z", 10*time.Second, caches.NewIndex(), throttle.NewTable("vm"))
	p := newProber(&Node{placer: placer})
	target := &site.Target{ID: "i", Born: 5}
	listed := map[string]*site.Target{"i": target}
	p.suspect(target)
	must.Eq(t, []*site.Target{target}, p.due(listed, now))

	placer.RecordNotice(target.Incarnation(), site.Notice{Pause: time.Second}, now)
	must.SliceEmpty(t, p.due(listed, now))
	must.Eq(t, []*site.Target{target}, p.due(listed, now.Add(time.Second)))

	placer.RecordNotice(target.Incarnation(), site.Notice{Leaving: true}, now)
	must.SliceEmpty(t, p.due(listed, now.Add(time.Second)))
	must.MapEmpty(t, p.targets)
}
