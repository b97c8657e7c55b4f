package limit_test

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/limit"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/vm"
)

// A cluster runs several tasks on an in-memory store and network, and provides
// the data for their rosters.
type cluster struct {
	t       *testing.T
	store   *store.Memory
	network *peer.Memory
	view    *config.View
	stops   map[string]func()
	layout  limit.Layout

	mu      sync.Mutex
	members []vm.Member
	removed []string
}

// change calls f with mu locked.
func (c *cluster) change(f func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	f()
}

// A roster is the vm.Roster of one VM.
type roster struct {
	*cluster
	self vm.Member
}

func (m roster) Self() vm.Member { return m.self }
func (m roster) Listed() int     { return len(m.Live()) }

func (m roster) Live() (live []vm.Member) {
	m.change(func() { live = slices.Clone(m.members) })
	return live
}

func (m roster) Removed(id string) (removed bool) {
	m.change(func() { removed = slices.Contains(m.removed, id) })
	return removed
}

// runCluster runs f with a number of running tasks, in virtual time.
func runCluster(t *testing.T, vms int, f func(t *testing.T, c *cluster, tasks []*limit.Task)) {
	synctest.Test(t, func(t *testing.T) {
		c := &cluster{
			t: t, store: store.NewMemory(), network: peer.NewMemory(), stops: map[string]func(){},
			view: config.NewView(oneCustomer(hakataRate)), layout: limit.Layout{Shards: 2, Slots: 4},
		}
		var tasks []*limit.Task
		for i := range vms {
			tasks = append(tasks, c.start(fmt.Sprint("vm", i), 1))
		}
		time.Sleep(20 * time.Second)
		f(t, c, tasks)
		for _, stop := range c.stops {
			stop()
		}
	})
}

// start starts a process of a VM, after stopping the previous one.
func (c *cluster) start(id string, incarnation uint64) *limit.Task {
	c.stop(id)
	self := vm.Member{ID: id, Incarnation: incarnation, Peer: "10.0.0.1:" + id, State: vm.StateServing}
	c.change(func() { c.members = append(c.members, self) })
	node := c.network.Node(id, self.Peer)
	task := limit.NewTask(limit.Options{
		Self: self, Layout: c.layout, Store: c.store.For(id), Peers: node, Roster: roster{cluster: c, self: self},
		Config: func() *config.View { return c.view }, Seed: seed.Value(),
	})
	task.Register(node)
	ctx, cancel := context.WithCancel(c.t.Context())
	done := make(chan error, 1)
	go func() { done <- task.Run(ctx) }()
	c.stops[id] = func() {
		cancel()
		must.NoError(c.t, <-done)
	}
	return task
}

func (c *cluster) stop(id string) {
	if stop := c.stops[id]; stop != nil {
		stop()
		delete(c.stops, id)
	}
	c.change(func() {
		c.members = slices.DeleteFunc(c.members, func(m vm.Member) bool { return m.ID == id })
	})
}

// admit sends requests of the given number of tokens to a task and returns how
// many were admitted.
func admit(t *testing.T, task *limit.Task, tokens float64, requests int) int {
	admitted := 0
	for range requests {
		d := task.Reserve(t.Context(), "hakata", limit.Cost{Requests: 1, Tokens: tokens})
		if _, ok := d.(limit.Admitted); ok {
			admitted++
		}
	}
	return admitted
}

func activeSlots(task *limit.Task) int {
	count := 0
	for _, s := range task.Dump().(limit.Dump).Slots {
		if s.Active {
			count++
		}
	}
	return count
}

func TestTask(t *testing.T) {
	t.Run("VMs share one burst", func(t *testing.T) {
		runCluster(t, 3, func(t *testing.T, _ *cluster, tasks []*limit.Task) {
			must.Eq(t, 2, admit(t, tasks[0], 5000, 2))
			must.Eq(t, 1, admit(t, tasks[1], 5000, 5))
			must.Eq(t, 0, admit(t, tasks[2], 5000, 5))
		})
	})
	t.Run("unused tokens are refunded", func(t *testing.T) {
		runCluster(t, 1, func(t *testing.T, _ *cluster, tasks []*limit.Task) {
			d := tasks[0].Reserve(t.Context(), "hakata", limit.Cost{Requests: 1, Tokens: 16000})
			tasks[0].Settle(mustAdmit(t, d), limit.Cost{Requests: 1, Tokens: 100})
			must.Eq(t, 1, admit(t, tasks[0], 15900, 2))
		})
	})
	t.Run("slots released before a stop are acquired by other VMs", func(t *testing.T) {
		runCluster(t, 2, func(t *testing.T, c *cluster, tasks []*limit.Task) {
			restarted := c.start("vm0", 2)
			must.False(t, restarted.Warm())
			time.Sleep(2 * time.Second)
			must.True(t, restarted.Warm())
			must.Eq(t, 4, activeSlots(restarted))
			tasks[0] = restarted
			must.NoError(t, tasks[0].Release(t.Context()))
			must.Eq(t, 0, activeSlots(tasks[0]))
			c.stop("vm0")
			time.Sleep(time.Minute)
			must.Eq(t, 8, activeSlots(tasks[1]))
		})
	})
	t.Run("every slot is held although responses to writes are lost", func(t *testing.T) {
		runCluster(t, 0, func(t *testing.T, c *cluster, _ []*limit.Task) {
			var writes atomic.Int64
			c.store.SetFault(func(call store.Call) store.Fault {
				lose := call.Kind == store.KindPut && writes.Add(1)%2 == 1
				return store.Fault{LoseResponse: lose}
			})
			first, second := c.start("vm0", 1), c.start("vm1", 1)
			time.Sleep(2 * time.Minute)
			must.Eq(t, 8, activeSlots(first)+activeSlots(second))
			must.Eq(t, 1, admit(t, first, 16000, 3))
		})
	})
	t.Run("VMs restarted during an outage of the store admit nothing until it ends", func(t *testing.T) {
		runCluster(t, 2, func(t *testing.T, c *cluster, _ []*limit.Task) {
			c.store.SetFault(store.Down())
			first, second := c.start("vm0", 2), c.start("vm1", 2)
			time.Sleep(4 * time.Second)
			must.False(t, first.Warm())
			time.Sleep(time.Minute)
			must.True(t, first.Warm())
			must.Eq(t, 0, admit(t, first, 10, 3))
			c.store.SetFault(nil)
			time.Sleep(3 * time.Minute)
			must.Eq(t, 8, activeSlots(first)+activeSlots(second))
			must.Eq(t, 1, admit(t, second, 16000, 3))
		})
	})
	t.Run("an outage of the store for 30 minutes does not affect holders", func(t *testing.T) {
		runCluster(t, 3, func(t *testing.T, c *cluster, tasks []*limit.Task) {
			c.store.SetFault(store.Down())
			time.Sleep(30 * time.Minute)
			must.Eq(t, 1, admit(t, tasks[0], 16000, 3))
		})
	})
	t.Run("slots are acquired although the store is slow", func(t *testing.T) {
		runCluster(t, 0, func(t *testing.T, c *cluster, _ []*limit.Task) {
			c.store.SetFault(store.Slow(1900 * time.Millisecond))
			task := c.start("vm0", 1)
			time.Sleep(5 * time.Minute)
			must.Eq(t, 8, activeSlots(task))
		})
	})
	t.Run("a new VM at the address of a lost one is not mistaken for it", func(t *testing.T) {
		runCluster(t, 2, func(t *testing.T, c *cluster, tasks []*limit.Task) {
			c.stop("vm1")
			c.network.Node("vm9", "10.0.0.1:vm1")
			must.Eq(t, 4, activeSlots(tasks[0]))
			time.Sleep(time.Minute)
			must.Eq(t, 4, activeSlots(tasks[0]))
			c.change(func() { c.removed = append(c.removed, "vm1") })
			time.Sleep(time.Minute)
			must.Eq(t, 8, activeSlots(tasks[0]))
		})
	})
	t.Run("a VM with other layout settings uses the stored layout", func(t *testing.T) {
		runCluster(t, 1, func(t *testing.T, c *cluster, _ []*limit.Task) {
			c.layout = limit.Layout{Shards: 7, Slots: 3}
			task := c.start("vm1", 1)
			time.Sleep(2 * time.Minute)
			must.Eq(t, limit.Layout{Shards: 2, Slots: 4}, task.Dump().(limit.Dump).Layout)
			must.Eq(t, 4, activeSlots(task))
		})
	})
	t.Run("a request on a partitioned VM is refused in time", func(t *testing.T) {
		runCluster(t, 2, func(t *testing.T, c *cluster, tasks []*limit.Task) {
			c.network.DropMessages("vm0", "vm1")
			began := time.Now()
			must.Eq(t, 0, admit(t, tasks[0], 16000, 1))
			must.LessEq(t, 200*time.Millisecond, time.Since(began))
			must.Eq(t, 1, admit(t, tasks[0], 7000, 1))
		})
	})
}

func ExampleTask() {
	store, network := store.NewMemory(), peer.NewMemory()
	self := vm.Member{ID: "vm0", Incarnation: 1, Peer: "10.0.0.1:9000", State: vm.StateServing}
	c := &cluster{members: []vm.Member{self}}
	task := limit.NewTask(limit.Options{
		Self: self, Store: store, Peers: network.Node(self.ID, self.Peer), Roster: roster{cluster: c, self: self},
		Config: func() *config.View { return config.NewView(oneCustomer(hakataRate)) },
	})
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	go func() { _ = task.Run(ctx) }()
	switch d := task.Reserve(ctx, "hakata", limit.Cost{Requests: 1, Tokens: 1e6}).(type) {
	case limit.Admitted:
		defer task.Settle(d.Reservation, limit.Cost{Requests: 1, Tokens: 900})
	case limit.Refused:
		fmt.Println("retry after", d.RetryAfter)
	case limit.TooLarge:
		fmt.Println("larger than the burst of", d.Burst.Tokens, "tokens")
	}
	// Output: larger than the burst of 16000 tokens
}

// FuzzAsk decodes arbitrary data as messages of another VM and applies them.
func FuzzAsk(f *testing.F) {
	for _, need := range []float64{0, 1, 4000, 1e18} {
		data, err := cbor.Marshal(limit.TransferRequest{ID: 1, Customer: "hakata", Need: limit.Cost{Tokens: need}})
		must.NoError(f, err)
		f.Add(data)
	}
	f.Fuzz(func(t *testing.T, data []byte) {
		n := settledFleet(1, hakataRate).nodes[0]
		var request limit.TransferRequest
		if cbor.Unmarshal(data, &request) == nil {
			n.step(limit.TransferRequested{From: "vm99", Request: request})
		}
		var transfer limit.Transfer
		if cbor.Unmarshal(data, &transfer) == nil {
			n.step(limit.TransferResult{ID: transfer.ID, Transfer: transfer})
		}
		var returned limit.TransferReturn
		if cbor.Unmarshal(data, &returned) == nil {
			n.step(limit.TransferReturned{From: "vm99", Return: returned})
		}
		for _, a := range n.s.Dump(n.f.Now()).Accounts {
			must.LessEq(t, 16000, a.Level.Tokens)
		}
	})
}

func TestCostOnTheWire(t *testing.T) {
	for _, c := range []limit.Cost{{}, {Requests: 1, Tokens: 2000}, {Requests: 1. / 7, Tokens: 9999. / 7}, {Tokens: 0.25}} {
		data, err := cbor.Marshal(c)
		must.NoError(t, err)
		var got limit.Cost
		must.NoError(t, cbor.Unmarshal(data, &got))
		must.Eq(t, c, got)
	}
}
