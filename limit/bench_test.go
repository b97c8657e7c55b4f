package limit_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/limit"
)

var (
	benchVMs       = []int{8, 85, 340}
	benchCustomers = []int{5, 1000, 12000}
)

func manyCustomers(n int) *config.Config {
	cfg := &config.Config{Version: 1}
	for i := range n {
		cfg.Customers = append(cfg.Customers, config.Customer{Name: fmt.Sprint("customer", i), Rate: hakataRate})
	}
	return cfg
}

// heapGrowth returns the growth of the heap caused by f, in bytes.
func heapGrowth(f func()) float64 {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	f()
	runtime.GC()
	runtime.ReadMemStats(&after)
	return float64(after.HeapAlloc) - float64(before.HeapAlloc)
}

// BenchmarkSlope reports the cost of limits for various numbers of
// customers and VMs.
func BenchmarkSlope(b *testing.B) {
	for _, n := range benchCustomers {
		b.Run(fmt.Sprintf("reserve/customers=%d", n), func(b *testing.B) { benchReserve(b, n) })
	}
	for _, n := range benchCustomers {
		b.Run(fmt.Sprintf("tick/accounts=%d", n), func(b *testing.B) { benchTick(b, n) })
	}
	for _, n := range benchVMs {
		b.Run(fmt.Sprintf("members/VMs=%d", n), func(b *testing.B) { benchMembers(b, n) })
	}
	for _, n := range benchVMs {
		b.Run(fmt.Sprintf("fleet/VMs=%d", n), func(b *testing.B) { benchFleet(b, n) })
	}
	for _, n := range benchVMs {
		b.Run(fmt.Sprintf("herd/VMs=%d", n), func(b *testing.B) { benchHerd(b, n) })
	}
}

// benchHerd measures a fleet whose VMs all start at once: the time until all
// slots are active, and the numbers of writes and reads in the busiest second.
func benchHerd(b *testing.B, vms int) {
	var writes, reads, seconds int
	for b.Loop() {
		f := newFleet(vms, limit.Layout{Shards: vms, Slots: 4}, manyCustomers(1), seed.Value())
		writes, reads, seconds = 0, 0, 0
		for active := 0; active < 4*vms; seconds++ {
			f.storeCalls, f.storeWrites = 0, 0
			f.Advance(time.Second)
			writes, reads = max(writes, f.storeWrites), max(reads, f.storeCalls-f.storeWrites)
			active = 0
			for _, n := range f.nodes {
				_, count := countSlots(f, n)
				active += count
			}
		}
	}
	b.ReportMetric(float64(seconds), "s")
	b.ReportMetric(float64(writes), "writes/s")
	// An acquisition reads the record before it writes.
	b.ReportMetric(float64(reads+writes), "reads/s")
}

// benchReserve measures one request that the VM's own bucket covers, and the
// memory of one active customer.
func benchReserve(b *testing.B, customers int) {
	cfg := manyCustomers(customers)
	f := newFleet(1, limit.Layout{Shards: limit.DefaultShards, Slots: limit.DefaultSlots}, cfg, seed.Value())
	f.Advance(20 * time.Second)
	n, now := f.nodes[0], f.Now()
	reserve := func(id uint64) {
		name := cfg.Customers[id%uint64(customers)].Name
		n.s.Step(limit.Reserve{ID: id, Customer: name, Cost: limit.Cost{Requests: 1, Tokens: 10}}, now)
	}
	bytes := heapGrowth(func() {
		for i := range customers {
			reserve(uint64(i))
		}
	})
	id := uint64(customers)
	b.ReportAllocs()
	for b.Loop() {
		id++
		now = now.Add(10 * time.Millisecond)
		reserve(id)
	}
	b.ReportMetric(bytes/float64(customers), "B/customer")
	runtime.KeepAlive(f)
}

// benchTick measures one tick with many active accounts.
func benchTick(b *testing.B, accounts int) {
	cfg := manyCustomers(accounts)
	f := newFleet(1, limit.Layout{Shards: limit.DefaultShards, Slots: limit.DefaultSlots}, cfg, seed.Value())
	f.Advance(20 * time.Second)
	for i, c := range cfg.Customers {
		f.nodes[0].s.Step(limit.Reserve{ID: uint64(i), Customer: c.Name, Cost: limit.Cost{Tokens: 10}}, f.Now())
	}
	for b.Loop() {
		f.nodes[0].s.Step(limit.Tick{}, f.Now())
	}
}

// benchMembers measures a change of the membership on one VM, with one shard
// for each VM and four slots for each shard.
func benchMembers(b *testing.B, vms int) {
	f := newFleet(vms, limit.Layout{Shards: vms, Slots: 4}, manyCustomers(1), seed.Value())
	live := f.live()
	s := f.nodes[0].s
	i := 0
	for b.Loop() {
		i++
		s.Step(limit.Membership{Live: live[i%2:]}, f.Now())
	}
}

// benchFleet measures an idle fleet for a minute, after all slots are held.
func benchFleet(b *testing.B, vms int) {
	var f *fleet
	bytes := heapGrowth(func() {
		f = newFleet(vms, limit.Layout{Shards: vms, Slots: 4}, manyCustomers(1), seed.Value())
		f.Advance(40 * time.Second)
	})
	f.storeCalls, f.storeWrites, f.messages = 0, 0, 0
	for b.Loop() {
		f.Advance(time.Minute)
	}
	seconds := float64(b.N) * 60 * float64(vms)
	b.ReportMetric(bytes/float64(vms), "B/VM")
	b.ReportMetric(float64(f.storeCalls)/seconds, "calls/s/VM")
	b.ReportMetric(float64(f.storeWrites)/seconds, "writes/s/VM")
	b.ReportMetric(float64(f.messages)/seconds, "messages/s/VM")
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/seconds, "ns/s/VM")
}
