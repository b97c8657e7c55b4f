package config

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
	"github.com/baobabdyke/baobabdyke/vm"
)

// A cluster is a set of VMs in virtual time that share a faulty store.
type cluster struct {
	t        testing.TB
	net      *peer.Memory
	store    *faultyStore
	nodes    []*node
	external *node // commits through the store without pushing
}

// A node is one VM of a cluster.
type node struct {
	id      string
	record  store.VMRecord
	port    *peer.MemoryNode
	roster  *vm.Task
	manager *Manager
	stop    context.CancelFunc
	done    *sync.WaitGroup
}

// newCluster starts n VMs in three data centres.
func newCluster(t testing.TB, n int) *cluster {
	c := &cluster{t: t, net: peer.NewMemory(), store: &faultyStore{Memory: store.NewMemory()}}
	for i := range n {
		id := fmt.Sprintf("vm-%03d", i)
		address := fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1)
		c.nodes = append(c.nodes, &node{id: id, record: store.VMRecord{
			ID: id, Address: address, DataCentre: fmt.Sprintf("dc-%d", i%3), State: store.VMLive,
		}})
	}
	c.updatePlatform()
	for _, n := range c.nodes {
		c.start(n, 1)
	}
	return c
}

// updatePlatform sets the platform's list of VMs to those of the cluster.
func (c *cluster) updatePlatform() {
	var records []store.VMRecord
	for _, n := range c.nodes {
		records = append(records, n.record)
	}
	c.store.SetVMs(records)
}

// start starts a process of a VM.
func (c *cluster) start(n *node, incarnation uint64) {
	ctx, cancel := context.WithCancel(context.Background())
	n.port = c.net.Node(n.id, n.record.Address)
	n.roster = vm.NewTask(vm.Options{
		Self: vm.Member{
			ID: n.id, Incarnation: incarnation, Region: "r", DataCentre: n.record.DataCentre,
			Caller: n.record.Address, Peer: n.record.Address, State: vm.StateServing,
		},
		Directory: c.store, Peers: n.port, Seed: seed.Value(),
	})
	n.manager = NewManager(Options{
		Store: &vmStore{faultyStore: c.store, id: n.id}, Peers: n.port, Roster: n.roster, Self: n.id, Seed: seed.Value() + incarnation,
	})
	n.roster.Register(n.port)
	n.manager.Register(n.port)
	n.stop, n.done = cancel, &sync.WaitGroup{}
	n.done.Go(func() { _ = n.roster.Run(ctx) })
	n.done.Go(func() { _ = n.manager.Run(ctx) })
}

// kill stops the process of a VM.
func (c *cluster) kill(n *node) {
	n.stop()
	c.net.Remove(n.record.Address)
	n.done.Wait()
}

// close stops all VMs.
func (c *cluster) close() {
	if c.external != nil {
		c.external.stop()
		c.external.done.Wait()
	}
	for _, n := range c.nodes {
		c.net.Resume(n.id)
		n.stop()
	}
	for _, n := range c.nodes {
		n.done.Wait()
	}
}

// isolate breaks the network between a VM and all others.
func (c *cluster) isolate(n *node) {
	for _, o := range c.nodes {
		if o != n {
			c.net.DropMessages(n.id, o.id)
		}
	}
}

func (c *cluster) heal(n *node) {
	for _, o := range c.nodes {
		c.net.Heal(n.id, o.id)
	}
}

// submit commits a patch on a VM and returns its version.
func (c *cluster) submit(n *node, p Patch) int64 {
	c.t.Helper()
	result := n.manager.Submit(context.Background(), p)
	accepted, ok := result.(PatchAccepted)
	must.True(c.t, ok, must.Sprintf("got %#v", result))
	return accepted.Version
}

// submitExternally commits a patch from a VM that reaches only the store, and
// returns its version.
func (c *cluster) submitExternally(p Patch) int64 {
	c.t.Helper()
	if c.external == nil {
		ctx, cancel := context.WithCancel(context.Background())
		m := NewManager(Options{Store: c.store, Roster: singleVMRoster{}, Self: "vm"})
		c.external = &node{manager: m, stop: cancel, done: &sync.WaitGroup{}}
		c.external.done.Go(func() { _ = m.Run(ctx) })
	}
	return c.submit(c.external, p)
}

// deliveryTolerance is the time that mustAdopt allows beyond its limit for
// calls in flight.
const deliveryTolerance = 10 * time.Millisecond

// mustAdopt checks that the VMs have a version in force within a time limit.
func (c *cluster) mustAdopt(nodes []*node, version int64, within time.Duration) {
	c.t.Helper()
	start := time.Now()
	for {
		missing := ""
		for _, n := range nodes {
			if n.manager.Current().Version < version {
				missing = n.id
			}
		}
		if missing == "" {
			return
		}
		if time.Since(start) > within+deliveryTolerance {
			c.t.Fatalf("%s does not have version %d after %v", missing, version, within)
		}
		time.Sleep(deliveryTolerance)
	}
}

// mustFresh checks whether VMs are fresh.
func (c *cluster) mustFresh(want bool, nodes ...*node) {
	c.t.Helper()
	for _, n := range nodes {
		must.Eq(c.t, want, n.manager.Fresh(), must.Sprintf("%s: %+v", n.id, n.manager.Dump()))
	}
}

// digest returns a distinct valid digest for every i.
func digest(i int) string {
	return fmt.Sprintf("%064x", i)
}

// sampleConfig returns a small valid configuration.
func sampleConfig(customers int) *Config {
	cfg := &Config{
		Models: []Model{{Name: "m", Versions: []string{"1", "2"}, Adapters: []string{"a"}, Piece: 4096}},
		Targets: []Target{
			{Name: "e-1", Kind: TargetEngine, Pool: "engines", Address: "10.1.0.1:80", DataCentre: "dc-0"},
			{Name: "s-1", Kind: TargetService, Pool: "services", Address: "10.1.0.2:80", DataCentre: "dc-0"},
		},
		Routes: []Route{
			{Name: "chat", Kind: RouteModel, Pool: "engines", Model: "m", Version: "1", Deadline: time.Second},
			{Name: "hold", Kind: RouteService, Pool: "services", Once: true, Deadline: time.Second},
		},
	}
	for i := range customers {
		cfg.Customers = append(cfg.Customers, Customer{
			Name:   fmt.Sprintf("customer-%05d", i),
			Keys:   []Key{{ID: "k1", Digest: digest(i)}},
			Rate:   Rate{Requests: 10, RequestBurst: 20, Tokens: 1000, TokenBurst: 2000},
			Routes: []string{"chat", "hold"},
		})
	}
	return cfg
}

// withdrawalPatch returns a patch that withdraws the key of a customer.
func withdrawalPatch(base int64, customer int) Patch {
	return Patch{
		ID: fmt.Sprintf("w-%d-%d", base, customer), Base: base,
		Withdraw: []Withdrawal{{Customer: fmt.Sprintf("customer-%05d", customer), Key: "k1"}},
	}
}

// runInCluster runs a test in virtual time with a cluster of n VMs that has
// the sample configuration as version 1.
func runInCluster(t *testing.T, n int, f func(*testing.T, *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, n)
		defer c.close()
		time.Sleep(8 * time.Second)
		result := c.nodes[0].manager.Import(context.Background(), sampleConfig(5))
		must.Eq(t, PatchResult(PatchAccepted{Version: 1}), result)
		c.mustAdopt(c.nodes, 1, 5*time.Second)
		f(t, c)
	})
}

// A singleVMRoster is the roster of a VM that has no other members.
type singleVMRoster struct{}

func (singleVMRoster) Self() vm.Member     { return vm.Member{ID: "vm"} }
func (singleVMRoster) Live() []vm.Member   { return []vm.Member{{ID: "vm"}} }
func (singleVMRoster) Listed() int         { return 1 }
func (singleVMRoster) Removed(string) bool { return false }
