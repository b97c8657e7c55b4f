package config

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/store"
)

func TestPatchReachesAllVMs(t *testing.T) {
	runInCluster(t, 9, func(_ *testing.T, c *cluster) {
		c.mustFresh(true, c.nodes...)
		version := c.submit(c.nodes[3], withdrawalPatch(1, 2))
		c.mustAdopt(c.nodes, version, time.Second)
	})
}

// TestPushWithoutWatches checks that a push distributes a version before any
// heartbeat if watches deliver no events.
func TestPushWithoutWatches(t *testing.T) {
	runInCluster(t, 9, func(_ *testing.T, c *cluster) {
		c.store.configure(func(f *faultyStore) { f.watchesSilent = true })
		time.Sleep(time.Minute)
		c.mustAdopt(c.nodes, c.submit(c.nodes[3], withdrawalPatch(1, 2)), 0)
	})
}

// TestIsolatedVM withdraws a key while one VM reaches neither the store nor
// another VM. Within five seconds that VM must not be fresh, and the others
// must have the version.
func TestIsolatedVM(t *testing.T) {
	runInCluster(t, 9, func(_ *testing.T, c *cluster) {
		isolated, rest := c.nodes[0], c.nodes[1:]
		c.isolate(isolated)
		c.store.configure(func(f *faultyStore) { f.hiddenVM = isolated.id })
		version := c.submit(rest[0], withdrawalPatch(1, 2))
		c.mustAdopt(rest, version, time.Second)
		time.Sleep(5 * time.Second)
		c.mustFresh(false, isolated)
		c.mustFresh(true, rest...)
		time.Sleep(time.Minute)
		c.mustFresh(false, isolated)
		c.mustFresh(true, rest...)
		c.heal(isolated)
		c.store.configure(func(f *faultyStore) { f.hiddenVM = "" })
		c.mustAdopt(c.nodes, version, 10*time.Second)
		time.Sleep(5 * time.Second)
		c.mustFresh(true, c.nodes...)
	})
}

// TestOldMessages checks that pushes do not make an isolated VM fresh, since
// they may have been delayed.
func TestOldMessages(t *testing.T) {
	runInCluster(t, 9, func(_ *testing.T, c *cluster) {
		isolated := c.nodes[0]
		for _, o := range c.nodes[1:] {
			c.net.DisconnectOneWay(isolated.id, o.id)
		}
		c.store.configure(func(f *faultyStore) { f.hiddenVM = isolated.id })
		time.Sleep(5 * time.Second)
		for range 20 {
			_, err := isolated.manager.handlePush(context.Background(), "vm-001", Push{Version: 1})
			must.NoError(t, err)
			time.Sleep(time.Second)
			c.mustFresh(false, isolated)
		}
	})
}

// TestVMWithoutPeers isolates one VM after the other from all others, so that
// it reaches only the store. It must learn of new versions by polling.
func TestVMWithoutPeers(t *testing.T) {
	runInCluster(t, 9, func(_ *testing.T, c *cluster) {
		version := int64(1)
		for i, isolated := range c.nodes {
			c.isolate(isolated)
			version = c.submit(c.nodes[(i+1)%9], withdrawalPatch(version, i%5))
			c.mustAdopt(c.nodes, version, 5*time.Second)
			time.Sleep(5 * time.Second)
			c.mustFresh(true, c.nodes...)
			c.heal(isolated)
			time.Sleep(15 * time.Second)
		}
	})
}

// TestStoreOutage checks that all VMs stay fresh in an outage of the store
// that affects all of them, that patches are reported as not sent, and that a
// VM restarted during the outage gets the configuration from the others.
func TestStoreOutage(t *testing.T) {
	runInCluster(t, 9, func(t *testing.T, c *cluster) {
		version := c.submit(c.nodes[1], withdrawalPatch(1, 2))
		c.store.configure(func(f *faultyStore) { f.down = true })
		time.Sleep(10 * time.Minute)
		c.mustFresh(true, c.nodes...)
		_, notSent := c.nodes[1].manager.Submit(context.Background(), withdrawalPatch(version, 3)).(PatchNotSent)
		must.True(t, notSent)
		c.kill(c.nodes[0])
		time.Sleep(time.Second)
		c.start(c.nodes[0], 2)
		c.mustAdopt(c.nodes, version, 5*time.Second)
		time.Sleep(20 * time.Minute)
		c.mustFresh(true, c.nodes...)
		c.store.configure(func(f *faultyStore) { f.down = false })
		c.mustAdopt(c.nodes, c.submit(c.nodes[0], withdrawalPatch(version, 3)), 5*time.Second)
	})
}

// TestSlowStore checks that VMs stay fresh and adopt patches if every call to
// the store takes two seconds.
func TestSlowStore(t *testing.T) {
	runInCluster(t, 9, func(_ *testing.T, c *cluster) {
		c.store.configure(func(f *faultyStore) { f.latency = 2 * time.Second })
		time.Sleep(time.Minute)
		c.mustFresh(true, c.nodes...)
		c.mustAdopt(c.nodes, c.submit(c.nodes[2], withdrawalPatch(1, 2)), 5*time.Second)
	})
}

// TestFleetRestart restarts all VMs at the same time while the store is
// available. All must have the version soon, with a bounded number of calls to
// the store.
func TestFleetRestart(t *testing.T) {
	runInCluster(t, 9, func(t *testing.T, c *cluster) {
		version := c.submit(c.nodes[1], withdrawalPatch(1, 2))
		for _, n := range c.nodes {
			c.kill(n)
		}
		c.store.configure(func(f *faultyStore) { f.reads = 0 })
		for _, n := range c.nodes {
			c.start(n, 2)
		}
		c.mustAdopt(c.nodes, version, 10*time.Second)
		c.store.configure(func(f *faultyStore) { must.Less(t, 100, f.reads) })
		time.Sleep(5 * time.Second)
		c.mustFresh(true, c.nodes...)
	})
}

// TestFleetRestartInOutage restarts all VMs while the store is unavailable. No
// VM has a configuration until the store is available again.
func TestFleetRestartInOutage(t *testing.T) {
	runInCluster(t, 9, func(t *testing.T, c *cluster) {
		c.store.configure(func(f *faultyStore) { f.down = true })
		for _, n := range c.nodes {
			c.kill(n)
		}
		for _, n := range c.nodes {
			c.start(n, 2)
		}
		time.Sleep(time.Minute)
		for _, n := range c.nodes {
			must.Eq(t, 0, n.manager.Current().Version)
		}
		c.store.configure(func(f *faultyStore) { f.down = false })
		c.mustAdopt(c.nodes, 1, 10*time.Second)
	})
}

// TestPausedVM pauses the messages of a VM for a minute. The VM must not be
// fresh when it resumes, before it has received any message.
func TestPausedVM(t *testing.T) {
	runInCluster(t, 9, func(_ *testing.T, c *cluster) {
		paused := c.nodes[4]
		c.net.Pause(paused.id)
		c.store.configure(func(f *faultyStore) { f.hiddenVM = paused.id })
		version := c.submit(c.nodes[1], withdrawalPatch(1, 2))
		time.Sleep(time.Minute)
		c.mustFresh(false, paused)
		c.net.Resume(paused.id)
		c.mustFresh(false, paused)
		c.store.configure(func(f *faultyStore) { f.hiddenVM = "" })
		c.mustAdopt(c.nodes, version, 5*time.Second)
		time.Sleep(5 * time.Second)
		c.mustFresh(true, paused)
	})
}

// TestLostResponse loses the response of the write that commits a patch.
func TestLostResponse(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		c.store.configure(func(f *faultyStore) { f.losePrefix = headKey })
		p := withdrawalPatch(1, 2)
		must.Eq(t, 2, c.submit(c.nodes[0], p))
		must.Eq(t, 2, c.submit(c.nodes[1], p), must.Sprint("the same patch again"))
		other := withdrawalPatch(1, 3)
		other.ID = p.ID
		_, refused := c.nodes[1].manager.Submit(context.Background(), other).(PatchRefused)
		must.True(t, refused, must.Sprint("another patch under the same id"))
		c.mustAdopt(c.nodes, 2, time.Second)
	})
}

// TestUnknownOutcome loses the response of the commit and then the connection
// to the store. The outcome stays unknown until the patch is submitted again.
func TestUnknownOutcome(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		c.store.configure(func(f *faultyStore) { f.losePrefix, f.downAfterLoss = headKey, true })
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		result, unknown := c.nodes[0].manager.Submit(ctx, withdrawalPatch(1, 2)).(PatchUnknown)
		must.True(t, unknown)
		must.True(t, errors.Is(result.Err, context.DeadlineExceeded))
		c.store.configure(func(f *faultyStore) { f.down = false })
		must.Eq(t, 2, c.submit(c.nodes[0], withdrawalPatch(1, 2)))
	})
}

// TestConcurrentSubmits submits patches against the same version on all VMs
// concurrently. Only one patch may be accepted.
func TestConcurrentSubmits(t *testing.T) {
	runInCluster(t, 9, func(t *testing.T, c *cluster) {
		results := make(chan PatchResult, len(c.nodes))
		for i, n := range c.nodes {
			go func() { results <- n.manager.Submit(context.Background(), withdrawalPatch(1, i%5)) }()
		}
		accepted, conflicts := 0, 0
		for range c.nodes {
			switch r := (<-results).(type) {
			case PatchAccepted:
				accepted++
				must.Eq(t, 2, r.Version)
			case PatchConflict:
				conflicts++
				must.Eq(t, 2, r.Current)
			}
		}
		must.Eq(t, len(c.nodes), accepted+conflicts)
		must.Between(t, 1, accepted, 2, must.Sprint("two VMs may submit the same patch"))
		c.mustAdopt(c.nodes, 2, time.Second)
	})
}

// TestSilentWatch commits a patch from a VM that is not a member, while
// watches deliver no events. The watchers must find the version by polling.
func TestSilentWatch(t *testing.T) {
	runInCluster(t, 9, func(_ *testing.T, c *cluster) {
		c.store.configure(func(f *faultyStore) { f.watchesSilent = true })
		time.Sleep(time.Minute)
		c.mustAdopt(c.nodes, c.submitExternally(withdrawalPatch(1, 2)), 3*time.Second)
	})
}

// TestWatch commits a patch from a VM that is not a member. The watch must
// report it.
func TestWatch(t *testing.T) {
	runInCluster(t, 9, func(_ *testing.T, c *cluster) {
		c.mustAdopt(c.nodes, c.submitExternally(withdrawalPatch(1, 2)), 0)
	})
}

// TestSweep sweeps unused chunks between commits, and checks that a restarted
// VM can still read the configuration.
func TestSweep(t *testing.T) {
	runInCluster(t, 3, func(t *testing.T, c *cluster) {
		version := int64(1)
		for i := range 5 {
			version = c.submit(c.nodes[i%3], withdrawalPatch(version, i))
		}
		n, err := c.nodes[0].manager.Sweep(context.Background())
		must.NoError(t, err)
		must.Eq(t, 10, n, must.Sprint("one chunk and one index for every patch"))
		c.kill(c.nodes[2])
		c.start(c.nodes[2], 2)
		version = c.submit(c.nodes[0], withdrawalPatch(version, 0))
		c.mustAdopt(c.nodes, version, 5*time.Second)
	})
}

// TestNetworkPartition partitions the VMs for an hour, with the store on one
// side. The larger side stays fresh and continues to commit. The smaller side
// may miss a withdrawal and must not be fresh. After the partition ends, all
// VMs must converge without any version decreasing.
func TestNetworkPartition(t *testing.T) {
	runInCluster(t, 5, func(t *testing.T, c *cluster) {
		connected, disconnected := c.nodes[:3], c.nodes[3:]
		for _, a := range connected {
			for _, b := range disconnected {
				c.net.DropMessages(a.id, b.id)
			}
		}
		c.store.configure(func(f *faultyStore) { f.hiddenVMs = idSet(disconnected) })
		version := c.submit(connected[0], withdrawalPatch(1, 1))
		c.mustAdopt(connected, version, time.Second)
		time.Sleep(20 * time.Second)
		c.mustFresh(true, connected...)
		c.mustFresh(false, disconnected...)
		for i := range int64(6) {
			time.Sleep(10 * time.Minute)
			version = c.submit(connected[i%3], withdrawalPatch(version, int(i)%5))
		}
		for _, n := range disconnected {
			must.Eq(t, 1, n.manager.Current().Version)
		}
		for _, n := range disconnected {
			c.heal(n)
		}
		c.store.configure(func(f *faultyStore) { f.hiddenVMs = nil })
		c.mustAdopt(c.nodes, version, 30*time.Second)
		time.Sleep(10 * time.Second)
		c.mustFresh(true, c.nodes...)
	})
}

// TestRestartOfIsolatedVM restarts a VM in an outage of the store, when it can
// reach only one other VM, which has an outdated version. It must adopt that
// version but not be fresh.
func TestRestartOfIsolatedVM(t *testing.T) {
	runInCluster(t, 9, func(t *testing.T, c *cluster) {
		outdated, restarted := c.nodes[0], c.nodes[1]
		c.isolate(outdated)
		c.store.configure(func(f *faultyStore) { f.hiddenVMs = idSet(c.nodes[:2]) })
		version := c.submit(c.nodes[4], withdrawalPatch(1, 1))
		c.kill(restarted)
		c.store.configure(func(f *faultyStore) { f.down = true })
		c.isolate(restarted)
		c.net.Heal(outdated.id, restarted.id)
		c.start(restarted, 2)
		time.Sleep(time.Minute)
		must.Eq(t, 1, restarted.manager.Current().Version)
		c.mustFresh(false, outdated, restarted)
		c.mustFresh(true, c.nodes[2:]...)
		c.heal(outdated)
		c.heal(restarted)
		c.mustAdopt(c.nodes, version, 30*time.Second)
	})
}

func idSet(nodes []*node) map[string]bool {
	set := map[string]bool{}
	for _, n := range nodes {
		set[n.id] = true
	}
	return set
}

// TestFetchWithCallBudget starts a single VM while the store repeatedly
// becomes unavailable in the middle of the fetch. The chunks fetched before
// must be kept, or the fetch never completes.
func TestFetchWithCallBudget(t *testing.T) {
	runInCluster(t, 1, func(t *testing.T, c *cluster) {
		n := c.nodes[0]
		version := c.submit(n, Patch{ID: "more", Base: 1, Set: itemsOf(sampleConfig(500))})
		c.kill(n)
		c.store.configure(func(f *faultyStore) { f.callBudget = 20 })
		c.start(n, 2)
		c.mustAdopt(c.nodes, version, 20*time.Second)
	})
}

func ExampleManager() {
	m := NewManager(Options{Store: store.NewMemory(), Roster: singleVMRoster{}, Self: "vm"})
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- m.Run(ctx) }()

	fmt.Printf("%T\n", m.Import(ctx, sampleConfig(2)))
	fmt.Printf("%T\n", m.Submit(ctx, withdrawalPatch(1, 0)))
	fmt.Printf("%T\n", m.Submit(ctx, withdrawalPatch(1, 1)))
	_, key := m.Current().KeyByDigest(digest(0))
	fmt.Println(m.Current().Version, key.Withdrawn)
	cancel()
	fmt.Println(<-done)
	// Output:
	// config.PatchAccepted
	// config.PatchAccepted
	// config.PatchConflict
	// 2 finish
	// <nil>
}
