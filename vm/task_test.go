package vm

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
)

// A fleet is a number of VMs in virtual time.
type fleet struct {
	t    testing.TB
	net  *peer.Memory
	list *store.Memory
	// directory is the list as VMs that start read it.
	directory store.Directory

	nodes []*node
}

// A node is one VM of a fleet.
type node struct {
	*Task
	record store.VMRecord
	self   Member
	port   *peer.MemoryNode
	stop   context.CancelFunc
	ended  *sync.WaitGroup
}

// newFleet lists n VMs in four data centres of two regions and starts them.
func newFleet(t testing.TB, n int) *fleet {
	f := &fleet{t: t, net: peer.NewMemory(), list: store.NewMemory()}
	f.directory = f.list
	for i := range n {
		f.add(fmt.Sprintf("vm-%03d", i), i)
	}
	f.publish()
	for _, n := range f.nodes {
		f.start(n, 1)
	}
	return f
}

// add makes a VM at the address number i.
func (f *fleet) add(id string, i int) *node {
	address := fmt.Sprintf("10.0.%d.%d", i/200, i%200+1)
	dc := fmt.Sprintf("dc-%d", i%4)
	n := &node{
		record: store.VMRecord{ID: id, Address: address, DataCentre: dc, State: store.VMLive},
		self: Member{
			ID: id, Region: fmt.Sprintf("r-%d", i%2), DataCentre: dc, State: StateServing,
			Caller: address + ":80", Peer: address + ":7000",
		},
	}
	f.nodes = append(f.nodes, n)
	return n
}

// publish makes the platform list the VMs.
func (f *fleet) publish() {
	var records []store.VMRecord
	for _, n := range f.nodes {
		records = append(records, n.record)
	}
	f.list.SetVMs(records)
}

// start begins one process of a VM.
func (f *fleet) start(n *node, incarnation uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	n.self.Incarnation = incarnation
	n.port = f.net.Node(n.self.ID, n.self.Peer)
	n.Task = NewTask(Options{
		Self: n.self, Directory: f.directory, Peers: n.port, Seed: seed.Value() + incarnation,
	})
	n.Register(n.port)
	n.stop, n.ended = cancel, &sync.WaitGroup{}
	n.ended.Go(func() { _ = n.Run(ctx) })
}

// kill ends the process of a VM.
func (f *fleet) kill(n *node) {
	n.stop()
	f.net.Remove(n.self.Peer)
	n.ended.Wait()
}

// close ends all VMs.
func (f *fleet) close() {
	for _, n := range f.nodes {
		f.net.Resume(n.self.ID)
		n.stop()
	}
	for _, n := range f.nodes {
		n.ended.Wait()
	}
}

// each changes the ways between VMs of two groups.
func (f *fleet) each(a, b []*node, change func(a, b string)) {
	for _, m := range a {
		for _, n := range b {
			if m != n {
				change(m.self.ID, n.self.ID)
			}
		}
	}
}

// eventually checks that something holds within a time.
func (f *fleet) eventually(within time.Duration, what string, holds func() bool) {
	f.t.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > within {
			f.t.Fatalf("%s: not within %v: %+v", what, within, f.nodes[0].Dump())
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// always checks that something holds all through a time.
func (f *fleet) always(during time.Duration, what string, holds func() bool) {
	f.t.Helper()
	for range during / (100 * time.Millisecond) {
		if !holds() {
			f.t.Fatalf("%s: broken: %+v", what, f.nodes[0].Dump())
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// sees tells whether all of the VMs see the VM live, or not.
func sees(nodes []*node, other *node, want bool) bool {
	for _, n := range nodes {
		if n.sees(other) != want {
			return false
		}
	}
	return true
}

// sees tells whether the VM sees the present process of another live.
func (n *node) sees(other *node) bool {
	for _, m := range n.Live() {
		if m.ID == other.self.ID && m.Incarnation == other.self.Incarnation {
			return true
		}
	}
	return false
}

// complete tells whether all of the VMs see all others.
func complete(nodes []*node) bool {
	for _, n := range nodes {
		if !sees(nodes, n, true) {
			return false
		}
	}
	return true
}

// unsuspected tells whether the VMs suspect none of the others.
func unsuspected(nodes, others []*node) bool {
	for _, n := range nodes {
		v := n.view.Load()
		for _, o := range others {
			if v.others[o.self.ID].Health != Alive {
				return false
			}
		}
	}
	return true
}

// virtual runs a test in virtual time with a fleet of n VMs that know each
// other.
func virtual(t *testing.T, n int, test func(*testing.T, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n)
		defer f.close()
		f.eventually(5*time.Second, "all know each other", func() bool { return complete(f.nodes) })
		test(t, f)
	})
}

func TestCrash(t *testing.T) {
	virtual(t, 9, func(t *testing.T, f *fleet) {
		dead, rest := f.nodes[8], f.nodes[:8]
		f.kill(dead)
		f.eventually(15*time.Second, "taken down", func() bool { return sees(rest, dead, false) })
		must.False(t, rest[0].Removed(dead.self.ID), must.Sprint("suspicion proves nothing"))
		f.nodes = rest
		f.publish()
		f.eventually(listPeriod+time.Second, "removed", func() bool { return rest[0].Removed(dead.self.ID) })
		must.Eq(t, 8, rest[0].Listed())
	})
}

// TestOneBadLink breaks the way between two VMs only: each is still reached by
// others, and none leaves the other out.
func TestOneBadLink(t *testing.T) {
	for name, cut := range map[string]func(*peer.Memory, string, string){
		"cut":     (*peer.Memory).Disconnect,
		"silent":  (*peer.Memory).DropMessages,
		"one way": (*peer.Memory).DisconnectOneWay,
	} {
		t.Run(name, func(t *testing.T) {
			virtual(t, 9, func(_ *testing.T, f *fleet) {
				cut(f.net, f.nodes[0].self.ID, f.nodes[4].self.ID)
				f.always(2*time.Minute, "none suspected", func() bool {
					return complete(f.nodes) && unsuspected(f.nodes, f.nodes)
				})
			})
		})
	}
}

// TestCutOff breaks all ways of one VM. It does not accuse the others, whom it
// alone cannot reach, and knows that few are in reach.
func TestCutOff(t *testing.T) {
	virtual(t, 9, func(t *testing.T, f *fleet) {
		lost, rest := f.nodes[0], f.nodes[1:]
		f.each([]*node{lost}, rest, f.net.DropMessages)
		f.eventually(4*time.Second, "out of reach", func() bool { n, _ := lost.Reachable(); return n == 1 })
		f.always(20*time.Second, "accuses nobody", func() bool {
			return unsuspected([]*node{lost}, rest)
		})
		f.eventually(15*time.Second, "taken down", func() bool { return sees(rest, lost, false) })
		must.Len(t, 9, lost.Live())
		f.always(time.Minute, "others in reach", func() bool { n, _ := rest[0].Reachable(); return 2*n >= 9 })
		f.each([]*node{lost}, rest, f.net.Heal)
		f.eventually(10*time.Second, "back", func() bool { return complete(f.nodes) })
		f.eventually(5*time.Second, "most in reach again", func() bool {
			n, listed := lost.Reachable()
			return listed == 9 && n >= 5
		})
	})
}

// TestPause stops a VM's messages for a minute. When it wakes up it accuses
// nobody on the strength of probes that it could not send.
func TestPause(t *testing.T) {
	virtual(t, 9, func(t *testing.T, f *fleet) {
		paused, rest := f.nodes[0], f.nodes[1:]
		f.net.Pause(paused.self.ID)
		time.Sleep(time.Minute)
		must.True(t, sees(rest, paused, false))
		f.net.Resume(paused.self.ID)
		f.always(10*time.Second, "accuses nobody", func() bool {
			return unsuspected([]*node{paused}, rest)
		})
		must.True(t, complete(f.nodes), must.Sprint("back within 10 s"))
	})
}

// TestReplaced puts another VM at the address of one that ended, while the list
// still names the old one only.
func TestReplaced(t *testing.T) {
	virtual(t, 9, func(t *testing.T, f *fleet) {
		old := f.nodes[8]
		f.kill(old)
		f.nodes = f.nodes[:8]
		fresh := f.add("vm-new", 8)
		f.start(fresh, 1)
		rest := f.nodes[:8]
		f.eventually(10*time.Second, "new joins", func() bool { return sees(rest, fresh, true) })
		f.eventually(15*time.Second, "old down", func() bool { return sees(rest, old, false) })
		must.False(t, rest[0].Removed(old.self.ID))
		f.publish()
		f.eventually(listPeriod+time.Second, "old removed", func() bool { return rest[0].Removed(old.self.ID) })
		must.True(t, sees(rest, fresh, true))
	})
}

func TestRestart(t *testing.T) {
	virtual(t, 9, func(_ *testing.T, f *fleet) {
		f.kill(f.nodes[3])
		f.start(f.nodes[3], 2)
		f.eventually(10*time.Second, "new incarnation known", func() bool { return complete(f.nodes) })
	})
}

// TestHerd restarts all VMs at once.
func TestHerd(t *testing.T) {
	virtual(t, 20, func(_ *testing.T, f *fleet) {
		for _, n := range f.nodes {
			f.kill(n)
		}
		for _, n := range f.nodes {
			f.start(n, 2)
		}
		f.eventually(10*time.Second, "all know each other", func() bool { return complete(f.nodes) })
	})
}

func TestDrain(t *testing.T) {
	virtual(t, 9, func(_ *testing.T, f *fleet) {
		f.nodes[2].SetState(StateDraining)
		f.eventually(100*time.Millisecond, "all know", func() bool {
			for _, n := range f.nodes {
				if !n.Leaving(f.nodes[2].self.ID) {
					return false
				}
			}
			return true
		})
	})
}

// TestRegionsApart parts two regions for an hour. Each takes the other down,
// and both come together again.
func TestRegionsApart(t *testing.T) {
	virtual(t, 12, func(t *testing.T, f *fleet) {
		var a, b []*node
		for i, n := range f.nodes {
			if i%2 == 0 {
				a = append(a, n)
			} else {
				b = append(b, n)
			}
		}
		f.each(a, b, f.net.DropMessages)
		time.Sleep(time.Hour)
		must.True(t, complete(a))
		must.True(t, complete(b))
		must.True(t, sees(a, b[0], false))
		f.each(a, b, f.net.Heal)
		f.eventually(30*time.Second, "together", func() bool { return complete(f.nodes) })
	})
}

// A lateList is a list that cannot be read at first.
type lateList struct {
	store.Directory
	from time.Time
}

func (l lateList) VMs(ctx context.Context) ([]store.VMRecord, error) {
	if time.Now().Before(l.from) {
		return nil, store.ErrUnavailable
	}
	return l.Directory.VMs(ctx)
}

// TestListDown starts a VM while the platform's list cannot be read: it knows
// itself only, and finds the others when the list is back.
func TestListDown(t *testing.T) {
	virtual(t, 3, func(t *testing.T, f *fleet) {
		n := f.nodes[0]
		f.kill(n)
		f.directory = lateList{Directory: f.list, from: time.Now().Add(time.Minute)}
		f.start(n, 2)
		time.Sleep(100 * time.Millisecond)
		must.Len(t, 1, n.Live())
		must.Eq(t, 1, n.Listed())
		f.eventually(65*time.Second, "found", func() bool { return complete(f.nodes) })
		must.Eq(t, 3, n.Listed())
	})
}

// TestStates walks through the life of a process.
func TestStates(t *testing.T) {
	var entered []string
	l := NewLifecycle(func(s string) { entered = append(entered, s) })
	must.Error(t, l.Serve(), must.Sprint("a VM serves only when warm"))
	must.NoError(t, l.Warm())
	must.NoError(t, l.Serve())
	must.Error(t, l.Warm())
	must.NoError(t, l.Drain())
	must.Error(t, l.Serve(), must.Sprint("a draining VM never serves again"))
	must.NoError(t, l.Stop())
	must.Error(t, l.Drain())
	must.Eq(t, StateStopped, l.State())
	must.Eq(t, []string{StateWarming, StateServing, StateDraining, StateStopped}, entered)
}
