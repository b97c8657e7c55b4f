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

// A cluster is a number of VMs in virtual time over a store that can fail.
type cluster struct {
	t     testing.TB
	net   *peer.Memory
	store *faulty
	nodes []*node
	other *node // commits without a push
}

// A node is one VM of a cluster.
type node struct {
	id     string
	record store.VMRecord
	port   *peer.MemoryNode
	roster *vm.Task
	keeper *Manager
	stop   context.CancelFunc
	ended  *sync.WaitGroup
}

// newCluster lists n VMs in three data centres and starts them.
func newCluster(t testing.TB, n int) *cluster {
	c := &cluster{t: t, net: peer.NewMemory(), store: &faulty{Memory: store.NewMemory()}}
	for i := range n {
		id := fmt.Sprintf("vm-%03d", i)
		address := fmt.Sprintf("10.0.%d.%d:7000", i/200, i%200+1)
		c.nodes = append(c.nodes, &node{id: id, record: store.VMRecord{
			ID: id, Address: address, DataCentre: fmt.Sprintf("dc-%d", i%3), State: store.VMLive,
		}})
	}
	c.list()
	for _, n := range c.nodes {
		c.start(n, 1)
	}
	return c
}

// list makes the platform list the VMs.
func (c *cluster) list() {
	var records []store.VMRecord
	for _, n := range c.nodes {
		records = append(records, n.record)
	}
	c.store.SetVMs(records)
}

// start begins one process of a VM.
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
	n.keeper = NewManager(Options{
		Store: &client{faulty: c.store, id: n.id}, Peers: n.port, Roster: n.roster, Self: n.id, Seed: seed.Value() + incarnation,
	})
	n.roster.Register(n.port)
	n.keeper.Register(n.port)
	n.stop, n.ended = cancel, &sync.WaitGroup{}
	n.ended.Go(func() { _ = n.roster.Run(ctx) })
	n.ended.Go(func() { _ = n.keeper.Run(ctx) })
}

// kill ends the process of a VM.
func (c *cluster) kill(n *node) {
	n.stop()
	c.net.Remove(n.record.Address)
	n.ended.Wait()
}

// close ends all VMs.
func (c *cluster) close() {
	if c.other != nil {
		c.other.stop()
		c.other.ended.Wait()
	}
	for _, n := range c.nodes {
		c.net.Resume(n.id)
		n.stop()
	}
	for _, n := range c.nodes {
		n.ended.Wait()
	}
}

// cutOff breaks all ways between a VM and the others.
func (c *cluster) cutOff(n *node) {
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
	result := n.keeper.Submit(context.Background(), p)
	accepted, ok := result.(PatchAccepted)
	must.True(c.t, ok, must.Sprintf("got %#v", result))
	return accepted.Version
}

// outsider commits a patch by a writer that reaches the store only, and returns
// the version.
func (c *cluster) outsider(p Patch) int64 {
	c.t.Helper()
	if c.other == nil {
		ctx, cancel := context.WithCancel(context.Background())
		k := NewManager(Options{Store: c.store, Roster: alone{}, Self: "vm"})
		c.other = &node{keeper: k, stop: cancel, ended: &sync.WaitGroup{}}
		c.other.ended.Go(func() { _ = k.Run(ctx) })
	}
	return c.submit(c.other, p)
}

// arrival is what mustReach allows beyond its bound for calls under way.
const arrival = 10 * time.Millisecond

// mustReach checks that VMs have a version in force within a time.
func (c *cluster) mustReach(nodes []*node, version int64, within time.Duration) {
	c.t.Helper()
	start := time.Now()
	for {
		late := ""
		for _, n := range nodes {
			if n.keeper.Current().Version < version {
				late = n.id
			}
		}
		if late == "" {
			return
		}
		if time.Since(start) > within+arrival {
			c.t.Fatalf("%s lacks version %d after %v", late, version, within)
		}
		time.Sleep(arrival)
	}
}

// mustFresh checks which VMs are fresh.
func (c *cluster) mustFresh(want bool, nodes ...*node) {
	c.t.Helper()
	for _, n := range nodes {
		must.Eq(c.t, want, n.keeper.Fresh(), must.Sprintf("%s: %+v", n.id, n.keeper.Dump()))
	}
}

// digest returns the digest number i.
func digest(i int) string {
	return fmt.Sprintf("%064x", i)
}

// sample returns a small valid configuration.
func sample(customers int) *Config {
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

// withdraw returns a patch that withdraws the key of a customer.
func withdraw(base int64, customer int) Patch {
	return Patch{
		ID: fmt.Sprintf("w-%d-%d", base, customer), Base: base,
		Withdraw: []Withdrawal{{Customer: fmt.Sprintf("customer-%05d", customer), Key: "k1"}},
	}
}

// virtual runs a test in virtual time with a cluster of n VMs that has the
// sample configuration as version 1.
func virtual(t *testing.T, n int, f func(*testing.T, *cluster)) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, n)
		defer c.close()
		time.Sleep(8 * time.Second)
		result := c.nodes[0].keeper.Import(context.Background(), sample(5))
		must.Eq(t, PatchResult(PatchAccepted{Version: 1}), result)
		c.mustReach(c.nodes, 1, 5*time.Second)
		f(t, c)
	})
}

// An alone is the roster of a VM that knows no other.
type alone struct{}

func (alone) Self() vm.Member     { return vm.Member{ID: "vm"} }
func (alone) Live() []vm.Member   { return []vm.Member{{ID: "vm"}} }
func (alone) Listed() int         { return 1 }
func (alone) Removed(string) bool { return false }
