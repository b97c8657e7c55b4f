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

func TestPatchReachesAll(t *testing.T) {
	virtual(t, 9, func(_ *testing.T, c *cluster) {
		c.mustFresh(true, c.nodes...)
		version := c.submit(c.nodes[3], withdraw(1, 2))
		c.mustReach(c.nodes, version, time.Second)
	})
}

// TestPushAlone takes the watches away: the push is there before any heartbeat.
func TestPushAlone(t *testing.T) {
	virtual(t, 9, func(_ *testing.T, c *cluster) {
		c.store.set(func(f *faulty) { f.silent = true })
		time.Sleep(time.Minute)
		c.mustReach(c.nodes, c.submit(c.nodes[3], withdraw(1, 2)), 0)
	})
}

// TestCutOff withdraws a key while one VM reaches neither the store nor a peer:
// within five seconds that VM is not fresh, and the others have the version.
func TestCutOff(t *testing.T) {
	virtual(t, 9, func(_ *testing.T, c *cluster) {
		lost, rest := c.nodes[0], c.nodes[1:]
		c.cutOff(lost)
		c.store.set(func(f *faulty) { f.hide = lost.id })
		version := c.submit(rest[0], withdraw(1, 2))
		c.mustReach(rest, version, time.Second)
		time.Sleep(5 * time.Second)
		c.mustFresh(false, lost)
		c.mustFresh(true, rest...)
		time.Sleep(time.Minute)
		c.mustFresh(false, lost)
		c.mustFresh(true, rest...)
		c.heal(lost)
		c.store.set(func(f *faulty) { f.hide = "" })
		c.mustReach(c.nodes, version, 10*time.Second)
		time.Sleep(5 * time.Second)
		c.mustFresh(true, c.nodes...)
	})
}

// TestOldMessages brings a VM that is cut off the messages of others, which may
// be old: it is not fresh for having them.
func TestOldMessages(t *testing.T) {
	virtual(t, 9, func(_ *testing.T, c *cluster) {
		lost := c.nodes[0]
		for _, o := range c.nodes[1:] {
			c.net.DisconnectOneWay(lost.id, o.id)
		}
		c.store.set(func(f *faulty) { f.hide = lost.id })
		time.Sleep(5 * time.Second)
		for range 20 {
			_, err := lost.keeper.handlePush(context.Background(), "vm-001", Push{Version: 1})
			must.NoError(t, err)
			time.Sleep(time.Second)
			c.mustFresh(false, lost)
		}
	})
}

// TestCutOffFromPeers leaves VMs with the store only, one after the other: each
// polls the store.
func TestCutOffFromPeers(t *testing.T) {
	virtual(t, 9, func(_ *testing.T, c *cluster) {
		version := int64(1)
		for i, lost := range c.nodes {
			c.cutOff(lost)
			version = c.submit(c.nodes[(i+1)%9], withdraw(version, i%5))
			c.mustReach(c.nodes, version, 5*time.Second)
			time.Sleep(5 * time.Second)
			c.mustFresh(true, c.nodes...)
			c.heal(lost)
			time.Sleep(15 * time.Second)
		}
	})
}

// TestStoreOutage checks that an outage that all see keeps all fresh, that
// patches are refused truthfully, and that a VM restarted in it takes the
// configuration from the others.
func TestStoreOutage(t *testing.T) {
	virtual(t, 9, func(t *testing.T, c *cluster) {
		version := c.submit(c.nodes[1], withdraw(1, 2))
		c.store.set(func(f *faulty) { f.down = true })
		time.Sleep(10 * time.Minute)
		c.mustFresh(true, c.nodes...)
		_, notSent := c.nodes[1].keeper.Submit(context.Background(), withdraw(version, 3)).(PatchNotSent)
		must.True(t, notSent)
		c.kill(c.nodes[0])
		time.Sleep(time.Second)
		c.start(c.nodes[0], 2)
		c.mustReach(c.nodes, version, 5*time.Second)
		time.Sleep(20 * time.Minute)
		c.mustFresh(true, c.nodes...)
		c.store.set(func(f *faulty) { f.down = false })
		c.mustReach(c.nodes, c.submit(c.nodes[0], withdraw(version, 3)), 5*time.Second)
	})
}

// TestSlowStore answers every call after two seconds.
func TestSlowStore(t *testing.T) {
	virtual(t, 9, func(_ *testing.T, c *cluster) {
		c.store.set(func(f *faulty) { f.slow = 2 * time.Second })
		time.Sleep(time.Minute)
		c.mustFresh(true, c.nodes...)
		c.mustReach(c.nodes, c.submit(c.nodes[2], withdraw(1, 2)), 5*time.Second)
	})
}

// TestHerd restarts all VMs at once with the store up: all have the version
// soon, and few of them read it from the store.
func TestHerd(t *testing.T) {
	virtual(t, 9, func(t *testing.T, c *cluster) {
		version := c.submit(c.nodes[1], withdraw(1, 2))
		for _, n := range c.nodes {
			c.kill(n)
		}
		c.store.set(func(f *faulty) { f.reads = 0 })
		for _, n := range c.nodes {
			c.start(n, 2)
		}
		c.mustReach(c.nodes, version, 10*time.Second)
		c.store.set(func(f *faulty) { must.Less(t, 100, f.reads) })
		time.Sleep(5 * time.Second)
		c.mustFresh(true, c.nodes...)
	})
}

// TestHerdInOutage restarts all VMs with the store down: none has a
// configuration until the store is back.
func TestHerdInOutage(t *testing.T) {
	virtual(t, 9, func(t *testing.T, c *cluster) {
		c.store.set(func(f *faulty) { f.down = true })
		for _, n := range c.nodes {
			c.kill(n)
		}
		for _, n := range c.nodes {
			c.start(n, 2)
		}
		time.Sleep(time.Minute)
		for _, n := range c.nodes {
			must.Eq(t, 0, n.keeper.Current().Version)
		}
		c.store.set(func(f *faulty) { f.down = false })
		c.mustReach(c.nodes, 1, 10*time.Second)
	})
}

// TestPausedVM stops the messages of a VM for a minute: it is not fresh when it
// wakes up, before it has heard anything.
func TestPausedVM(t *testing.T) {
	virtual(t, 9, func(_ *testing.T, c *cluster) {
		paused := c.nodes[4]
		c.net.Pause(paused.id)
		c.store.set(func(f *faulty) { f.hide = paused.id })
		version := c.submit(c.nodes[1], withdraw(1, 2))
		time.Sleep(time.Minute)
		c.mustFresh(false, paused)
		c.net.Resume(paused.id)
		c.mustFresh(false, paused)
		c.store.set(func(f *faulty) { f.hide = "" })
		c.mustReach(c.nodes, version, 5*time.Second)
		time.Sleep(5 * time.Second)
		c.mustFresh(true, paused)
	})
}

// TestLostAnswer loses the answer of the write that commits a patch.
func TestLostAnswer(t *testing.T) {
	virtual(t, 3, func(t *testing.T, c *cluster) {
		c.store.set(func(f *faulty) { f.lose = headKey })
		p := withdraw(1, 2)
		must.Eq(t, 2, c.submit(c.nodes[0], p))
		must.Eq(t, 2, c.submit(c.nodes[1], p), must.Sprint("the same patch again"))
		other := withdraw(1, 3)
		other.ID = p.ID
		_, refused := c.nodes[1].keeper.Submit(context.Background(), other).(PatchRefused)
		must.True(t, refused, must.Sprint("another patch under the same id"))
		c.mustReach(c.nodes, 2, time.Second)
	})
}

// TestUnknown loses the answer and then the store: the outcome stays unknown
// until the patch is sent again.
func TestUnknown(t *testing.T) {
	virtual(t, 3, func(t *testing.T, c *cluster) {
		c.store.set(func(f *faulty) { f.lose, f.downAfterLoss = headKey, true })
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		result, unknown := c.nodes[0].keeper.Submit(ctx, withdraw(1, 2)).(PatchUnknown)
		must.True(t, unknown)
		must.True(t, errors.Is(result.Err, context.DeadlineExceeded))
		c.store.set(func(f *faulty) { f.down = false })
		must.Eq(t, 2, c.submit(c.nodes[0], withdraw(1, 2)))
	})
}

// TestRacingOperators submits two patches against one version at once.
func TestRacingOperators(t *testing.T) {
	virtual(t, 9, func(t *testing.T, c *cluster) {
		results := make(chan PatchResult, len(c.nodes))
		for i, n := range c.nodes {
			go func() { results <- n.keeper.Submit(context.Background(), withdraw(1, i%5)) }()
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
		must.Between(t, 1, accepted, 2, must.Sprint("two VMs may send the same patch"))
		c.mustReach(c.nodes, 2, time.Second)
	})
}

// TestSilentWatch takes the watches' events away while a patch is committed by a
// writer that no VM hears: the watchers' polls find the version.
func TestSilentWatch(t *testing.T) {
	virtual(t, 9, func(_ *testing.T, c *cluster) {
		c.store.set(func(f *faulty) { f.silent = true })
		time.Sleep(time.Minute)
		c.mustReach(c.nodes, c.outsider(withdraw(1, 2)), 3*time.Second)
	})
}

// TestWatch lets the watch alone tell of a patch whose writer no VM hears.
func TestWatch(t *testing.T) {
	virtual(t, 9, func(_ *testing.T, c *cluster) {
		c.mustReach(c.nodes, c.outsider(withdraw(1, 2)), 0)
	})
}

// TestSweep collects unused chunks while the fleet goes on.
func TestSweep(t *testing.T) {
	virtual(t, 3, func(t *testing.T, c *cluster) {
		version := int64(1)
		for i := range 5 {
			version = c.submit(c.nodes[i%3], withdraw(version, i))
		}
		n, err := c.nodes[0].keeper.Sweep(context.Background())
		must.NoError(t, err)
		must.Eq(t, 10, n, must.Sprint("a chunk and an index of every patch"))
		c.kill(c.nodes[2])
		c.start(c.nodes[2], 2)
		version = c.submit(c.nodes[0], withdraw(version, 0))
		c.mustReach(c.nodes, version, 5*time.Second)
	})
}

// TestRegionsApart parts the VMs for an hour, with the store on one side. The
// larger side goes on; the smaller one, which may miss a withdrawal, is not
// fresh. When they meet again no version falls.
func TestRegionsApart(t *testing.T) {
	virtual(t, 5, func(t *testing.T, c *cluster) {
		with, without := c.nodes[:3], c.nodes[3:]
		for _, a := range with {
			for _, b := range without {
				c.net.DropMessages(a.id, b.id)
			}
		}
		c.store.set(func(f *faulty) { f.hideFrom = ids(without) })
		version := c.submit(with[0], withdraw(1, 1))
		c.mustReach(with, version, time.Second)
		time.Sleep(20 * time.Second)
		c.mustFresh(true, with...)
		c.mustFresh(false, without...)
		for i := range int64(6) {
			time.Sleep(10 * time.Minute)
			version = c.submit(with[i%3], withdraw(version, int(i)%5))
		}
		for _, n := range without {
			must.Eq(t, 1, n.keeper.Current().Version)
		}
		for _, n := range without {
			c.heal(n)
		}
		c.store.set(func(f *faulty) { f.hideFrom = nil })
		c.mustReach(c.nodes, version, 30*time.Second)
		time.Sleep(10 * time.Second)
		c.mustFresh(true, c.nodes...)
	})
}

// TestRestartCutOff restarts a VM that reaches one other only, which has an old
// version, in an outage of the store: it takes that version and is not fresh.
func TestRestartCutOff(t *testing.T) {
	virtual(t, 9, func(t *testing.T, c *cluster) {
		old, lost := c.nodes[0], c.nodes[1]
		c.cutOff(old)
		c.store.set(func(f *faulty) { f.hideFrom = ids(c.nodes[:2]) })
		version := c.submit(c.nodes[4], withdraw(1, 1))
		c.kill(lost)
		c.store.set(func(f *faulty) { f.down = true })
		c.cutOff(lost)
		c.net.Heal(old.id, lost.id)
		c.start(lost, 2)
		time.Sleep(time.Minute)
		must.Eq(t, 1, lost.keeper.Current().Version)
		c.mustFresh(false, old, lost)
		c.mustFresh(true, c.nodes[2:]...)
		c.heal(old)
		c.heal(lost)
		c.mustReach(c.nodes, version, 30*time.Second)
	})
}

func ids(nodes []*node) map[string]bool {
	set := map[string]bool{}
	for _, n := range nodes {
		set[n.id] = true
	}
	return set
}

// TestFewReads starts a VM without others whose budget of calls ends in the
// middle of the chunks, again and again.
func TestFewReads(t *testing.T) {
	virtual(t, 1, func(t *testing.T, c *cluster) {
		n := c.nodes[0]
		version := c.submit(n, Patch{ID: "more", Base: 1, Set: items(sample(500))})
		c.kill(n)
		c.store.set(func(f *faulty) { f.budget = 20 })
		c.start(n, 2)
		c.mustReach(c.nodes, version, 20*time.Second)
	})
}

func ExampleManager() {
	k := NewManager(Options{Store: store.NewMemory(), Roster: alone{}, Self: "vm"})
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() { ended <- k.Run(ctx) }()

	fmt.Printf("%T\n", k.Import(ctx, sample(2)))
	fmt.Printf("%T\n", k.Submit(ctx, withdraw(1, 0)))
	fmt.Printf("%T\n", k.Submit(ctx, withdraw(1, 1)))
	_, key := k.Current().KeyByDigest(digest(0))
	fmt.Println(k.Current().Version, key.Withdrawn)
	cancel()
	fmt.Println(<-ended)
	// Output:
	// config.PatchAccepted
	// config.PatchAccepted
	// config.PatchConflict
	// 2 finish
	// <nil>
}
