package node

import (
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/fake"
	"github.com/baobabdyke/baobabdyke/internal/settings"
)

// restore restores the store from a copy after an outage, and has the operator and
// the targets write again what was lost after delay.
func (f *watchFleet) restore(c *fake.SiteStoreCopy, outage, delay time.Duration) {
	for _, v := range f.vms {
		v.link.setFault(linkReset)
	}
	time.Sleep(outage)
	f.store.Restore(c, delay)
	for _, v := range f.vms {
		v.link.setFault(linkOK)
	}
}

// TestChangeInForceAfterStoreIsRestored guards against a change that no VM reads
// because the store was restored from a copy and has given out the revision of the
// change before. While no change is due, the VMs must not read without a pause.
func TestChangeInForceAfterStoreIsRestored(t *testing.T) {
	const (
		bound = 2 * time.Second
		// maxCalls is four calls a second of each of the watchers for each of three
		// kinds, and as many for the VMs that read until one confirms their state.
		maxCalls = 2 * 4 * watcherCount * 3
	)
	for _, c := range []struct {
		size, lost    int
		outage, delay time.Duration
	}{{8, 1, 0, 0}, {8, 2, 2 * time.Second, time.Second}, {8, 3, 500 * time.Millisecond, 0}, {18, 2, time.Second, time.Second}} {
		t.Run(fmt.Sprintf("%d VMs, %d changes lost, outage %v, rewritten after %v", c.size, c.lost, c.outage, c.delay), func(t *testing.T) {
			runFleet(t, c.size, settings.Bounds{Config: bound, Drain: bound, Weights: 10 * time.Second}, func(f *watchFleet) {
				older := f.store.Copy()
				for range c.lost {
					f.configure()
					time.Sleep(bound)
				}
				f.restore(older, c.outage, c.delay)
				calls := f.store.Calls()
				time.Sleep(4 * time.Second)
				calls = f.store.Calls() - calls
				for range 2 * c.lost {
					f.configure()
					time.Sleep(bound)
					f.assertInForce(t, nil)
				}
				must.LessEq(t, 4*maxCalls, calls, must.Sprint("calls in 4 s"))
			})
		})
	}
}

// TestRestartAfterStoreIsRestored guards against a VM that serves by an older
// configuration because it starts when the store shows that of the copy, while the
// other VMs know a newer one.
func TestRestartAfterStoreIsRestored(t *testing.T) {
	bounds := settings.Bounds{Config: 2 * time.Second, Drain: 2 * time.Second, Weights: 10 * time.Second}
	for _, size := range []int{2, 8, 18} {
		for _, outage := range []time.Duration{0, time.Second} {
			t.Run(fmt.Sprintf("%d VMs, outage %v", size, outage), func(t *testing.T) {
				runFleet(t, size, bounds, func(f *watchFleet) {
					older := f.store.Copy()
					for range 3 {
						f.configure()
						time.Sleep(bounds.Config)
					}
					f.restore(older, outage, time.Hour)
					time.Sleep(time.Second)
					for _, v := range f.vms {
						v.ready.Store(true)
					}
					f.add(size, bounds)
					started := f.vms[size]
					<-started.source.Ready()
					started.awaitPeer(f.ctx)
					must.Less(t, bounds.Config, time.Since(started.start))
					f.assertInForce(t, nil)
					// The older configuration is written again, and nothing else follows.
					time.Sleep(2 * bounds.Config)
					f.assertInForce(t, nil)
				})
			})
		}
	}
}
