package node

import (
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fleet/roster"
	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// TestMaxPulls checks that a VM that learns from many VMs at once that it is
// behind pulls from only a few of them.
func TestMaxPulls(t *testing.T) {
	const config, targets = 0, 1
	var s pullState
	started := 0
	for range 20 {
		started += len(s.begin([]int{config}))
	}
	must.Eq(t, maxPulls, started)
	must.Len(t, 1, s.begin([]int{config, targets}), must.Sprint("kinds are counted separately"))
	s.end(config)
	must.Len(t, 1, s.begin([]int{config}))
	must.Len(t, 0, s.begin([]int{config}))
}

// TestWatcherPullsAfterOneUpdate guards against a VM that polls the store without
// success and pulls what another VM has read only when a second update of that VM
// arrives, which takes seconds in a large fleet.
func TestWatcherPullsAfterOneUpdate(t *testing.T) {
	runFleet(t, 1, settings.Bounds{Config: 2 * time.Second}, func(f *watchFleet) {
		ahead := f.vms[0]
		behind, _ := f.newVM(1, settings.Bounds{Config: 2 * time.Second})
		behind.watching.Store(true)
		update := roster.Entry{VM: ahead.settings.VM, Peers: ahead.settings.Peers.Address, Marks: ahead.source.Positions()}
		behind.applyUpdates(update.VM, []roster.Entry{update})
		time.Sleep(pullDelay / 2)
		must.Nil(t, behind.source.View().Config, must.Sprint("its own read comes first"))
		time.Sleep(pullDelay)
		f.assertInForce(t, nil)
	})
}
