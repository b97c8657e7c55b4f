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

// A fleet is a set of VMs on an in-memory network.
type fleet struct {
	t    testing.TB
	net  *peer.Memory
	list *store.Memory
	// directory is the Directory of VMs that start.
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

// add adds a VM with address number i.
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

// publish sets the platform's list to the VMs of the fleet.
func (f *fleet) publish() {
	var records []store.VMRecord
	for _, n := range f.nodes {
		records = append(records, n.record)
	}
	f.list.SetVMs(records)
}

// start starts a process of a VM.
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

// eachPair calls change for each pair of VMs of two groups.
func (f *fleet) eachPair(a, b []*node, change func(a, b string)) {
	for _, m := range a {
		for _, n := range b {
			if m != n {
				change(m.self.ID, n.self.ID)
			}
		}
	}
}

// eventually fails the test unless holds returns true within a duration.
func (f *fleet) eventually(within time.Duration, what string, holds func() bool) {
	f.t.Helper()
	start := time.Now()
	for !holds() {
		if time.Since(start) > within {
			f.t.Fatalf("%s: not true within %v: %+v", what, within, f.nodes[0].Dump())
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// always fails the test unless holds returns true throughout a duration.
func (f *fleet) always(during time.Duration, what string, holds func() bool) {
	f.t.Helper()
	for range during / (100 * time.Millisecond) {
		if !holds() {
			f.t.Fatalf("%s: not true throughout: %+v", what, f.nodes[0].Dump())
		}
		time.Sleep(100 * time.Millisecond)
	}
}

// allSee reports whether all of the VMs see another VM as live (want is true),
// or none of them does (want is false).
func allSee(nodes []*node, other *node, want bool) bool {
	for _, n := range nodes {
		if n.sees(other) != want {
			return false
		}
	}
	return true
}

// sees reports whether n sees the current process of another VM as live.
func (n *node) sees(other *node) bool {
	for _, m := range n.Live() {
		if m.ID == other.self.ID && m.Incarnation == other.self.Incarnation {
			return true
		}
	}
	return false
}

// allSeeAll reports whether all of the VMs see each other as live.
func allSeeAll(nodes []*node) bool {
	for _, n := range nodes {
		if !allSee(nodes, n, true) {
			return false
		}
	}
	return true
}

// noneSuspected reports whether each of the VMs has all of the others as Alive.
func noneSuspected(nodes, others []*node) bool {
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

// withFleet runs a test in virtual time with a fleet of n VMs that see each
// other.
func withFleet(t *testing.T, n int, test func(*testing.T, *fleet)) {
	synctest.Test(t, func(t *testing.T) {
		f := newFleet(t, n)
		defer f.close()
		f.eventually(5*time.Second, "all see each other", func() bool { return allSeeAll(f.nodes) })
		test(t, f)
	})
}

func TestCrash(t *testing.T) {
	withFleet(t, 9, func(t *testing.T, f *fleet) {
		dead, rest := f.nodes[8], f.nodes[:8]
		f.kill(dead)
		f.eventually(15*time.Second, "set to Down", func() bool { return allSee(rest, dead, false) })
		must.False(t, rest[0].Removed(dead.self.ID), must.Sprint("a suspicion does not prove that the VM has ended"))
		f.nodes = rest
		f.publish()
		f.eventually(listPeriod+time.Second, "removed", func() bool { return rest[0].Removed(dead.self.ID) })
		must.Eq(t, 8, rest[0].Listed())
	})
}

// TestBrokenLink guards against false suspicions when only the link between two
// VMs fails: indirect probes through other VMs still reach both.
func TestBrokenLink(t *testing.T) {
	for name, breakLink := range map[string]func(*peer.Memory, string, string){
		"disconnected":         (*peer.Memory).Disconnect,
		"dropping messages":    (*peer.Memory).DropMessages,
		"disconnected one way": (*peer.Memory).DisconnectOneWay,
	} {
		t.Run(name, func(t *testing.T) {
			withFleet(t, 9, func(_ *testing.T, f *fleet) {
				breakLink(f.net, f.nodes[0].self.ID, f.nodes[4].self.ID)
				f.always(2*time.Minute, "none suspected", func() bool {
					return allSeeAll(f.nodes) && noneSuspected(f.nodes, f.nodes)
				})
			})
		})
	}
}

// TestIsolatedVM breaks all links of one VM. The VM must not suspect the others,
// which it alone cannot reach, and must report that it reaches no other VM.
func TestIsolatedVM(t *testing.T) {
	withFleet(t, 9, func(t *testing.T, f *fleet) {
		isolated, rest := f.nodes[0], f.nodes[1:]
		f.eachPair([]*node{isolated}, rest, f.net.DropMessages)
		f.eventually(4*time.Second, "no other VM reachable", func() bool { n, _ := isolated.Reachable(); return n == 1 })
		f.always(20*time.Second, "isolated VM suspects none", func() bool {
			return noneSuspected([]*node{isolated}, rest)
		})
		f.eventually(15*time.Second, "set to Down", func() bool { return allSee(rest, isolated, false) })
		must.Len(t, 9, isolated.Live())
		f.always(time.Minute, "most VMs reachable", func() bool { n, _ := rest[0].Reachable(); return 2*n >= 9 })
		f.eachPair([]*node{isolated}, rest, f.net.Heal)
		f.eventually(10*time.Second, "all see each other again", func() bool { return allSeeAll(f.nodes) })
		f.eventually(5*time.Second, "most VMs reachable again", func() bool {
			n, listed := isolated.Reachable()
			return listed == 9 && n >= 5
		})
	})
}

// TestPause stops the messages of a VM for a minute. After it resumes, the VM
// must not suspect others because of probes that failed during the pause.
func TestPause(t *testing.T) {
	withFleet(t, 9, func(t *testing.T, f *fleet) {
		paused, rest := f.nodes[0], f.nodes[1:]
		f.net.Pause(paused.self.ID)
		time.Sleep(time.Minute)
		must.True(t, allSee(rest, paused, false))
		f.net.Resume(paused.self.ID)
		f.always(10*time.Second, "resumed VM suspects none", func() bool {
			return noneSuspected([]*node{paused}, rest)
		})
		must.True(t, allSeeAll(f.nodes), must.Sprint("all see each other again within 10 s"))
	})
}

// TestReplaced starts another VM at the address of one that has ended, while the
// platform's list still contains only the old one.
func TestReplaced(t *testing.T) {
	withFleet(t, 9, func(t *testing.T, f *fleet) {
		old := f.nodes[8]
		f.kill(old)
		f.nodes = f.nodes[:8]
		fresh := f.add("vm-new", 8)
		f.start(fresh, 1)
		rest := f.nodes[:8]
		f.eventually(10*time.Second, "new VM joins", func() bool { return allSee(rest, fresh, true) })
		f.eventually(15*time.Second, "old VM set to Down", func() bool { return allSee(rest, old, false) })
		must.False(t, rest[0].Removed(old.self.ID))
		f.publish()
		f.eventually(listPeriod+time.Second, "old VM removed", func() bool { return rest[0].Removed(old.self.ID) })
		must.True(t, allSee(rest, fresh, true))
	})
}

func TestRestart(t *testing.T) {
	withFleet(t, 9, func(_ *testing.T, f *fleet) {
		f.kill(f.nodes[3])
		f.start(f.nodes[3], 2)
		f.eventually(10*time.Second, "all see the new incarnation", func() bool { return allSeeAll(f.nodes) })
	})
}

// TestSimultaneousRestart restarts all VMs at once.
func TestSimultaneousRestart(t *testing.T) {
	withFleet(t, 20, func(_ *testing.T, f *fleet) {
		for _, n := range f.nodes {
			f.kill(n)
		}
		for _, n := range f.nodes {
			f.start(n, 2)
		}
		f.eventually(10*time.Second, "all see each other", func() bool { return allSeeAll(f.nodes) })
	})
}

func TestDrain(t *testing.T) {
	withFleet(t, 9, func(_ *testing.T, f *fleet) {
		f.nodes[2].SetState(StateDraining)
		f.eventually(100*time.Millisecond, "all see the VM draining", func() bool {
			for _, n := range f.nodes {
				if !n.Leaving(f.nodes[2].self.ID) {
					return false
				}
			}
			return true
		})
	})
}

// TestRegionPartition partitions two regions for an hour. Each sets the VMs of
// the other to Down, and all VMs see each other again after the partition.
func TestRegionPartition(t *testing.T) {
	withFleet(t, 12, func(t *testing.T, f *fleet) {
		var a, b []*node
		for i, n := range f.nodes {
			if i%2 == 0 {
				a = append(a, n)
			} else {
				b = append(b, n)
			}
		}
		f.eachPair(a, b, f.net.DropMessages)
		time.Sleep(time.Hour)
		must.True(t, allSeeAll(a))
		must.True(t, allSeeAll(b))
		must.True(t, allSee(a, b[0], false))
		f.eachPair(a, b, f.net.Heal)
		f.eventually(30*time.Second, "all see each other again", func() bool { return allSeeAll(f.nodes) })
	})
}

// An unavailableList is a Directory that fails until a point in time.
type unavailableList struct {
	store.Directory
	until time.Time
}

func (l unavailableList) VMs(ctx context.Context) ([]store.VMRecord, error) {
	if time.Now().Before(l.until) {
		return nil, store.ErrUnavailable
	}
	return l.Directory.VMs(ctx)
}

// TestListUnavailable starts a VM while the platform's list cannot be read. The
// VM has no other members at first and finds the others when the list can be
// read again.
func TestListUnavailable(t *testing.T) {
	withFleet(t, 3, func(t *testing.T, f *fleet) {
		n := f.nodes[0]
		f.kill(n)
		f.directory = unavailableList{Directory: f.list, until: time.Now().Add(time.Minute)}
		f.start(n, 2)
		time.Sleep(100 * time.Millisecond)
		must.Len(t, 1, n.Live())
		must.Eq(t, 0, n.Listed())
		f.eventually(65*time.Second, "all see each other", func() bool { return allSeeAll(f.nodes) })
		f.eventually(65*time.Second, "the list is read", func() bool { return n.Listed() == 3 })
	})
}

// TestLifecycle checks the allowed and refused transitions of a lifecycle.
func TestLifecycle(t *testing.T) {
	var entered []string
	l := NewLifecycle(func(s string) { entered = append(entered, s) })
	must.Error(t, l.Serve(), must.Sprint("a VM must warm up before it serves"))
	must.NoError(t, l.Warm())
	must.NoError(t, l.Serve())
	must.Error(t, l.Warm())
	must.NoError(t, l.Drain())
	must.Error(t, l.Serve(), must.Sprint("a draining VM must not serve again"))
	must.NoError(t, l.Stop())
	must.Error(t, l.Drain())
	must.Eq(t, StateStopped, l.State())
	must.Eq(t, []string{StateWarming, StateServing, StateDraining, StateStopped}, entered)
}
