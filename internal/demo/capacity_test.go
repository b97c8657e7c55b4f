package demo

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/customer"
	"github.com/baobabdyke/baobabdyke/entry"
	"github.com/baobabdyke/baobabdyke/limit"
	"github.com/baobabdyke/baobabdyke/peer"
	"github.com/baobabdyke/baobabdyke/store"
	"github.com/baobabdyke/baobabdyke/vm"
)

// staticRoster is a vm.Roster whose members never change.
type staticRoster []vm.Member

func (r staticRoster) Self() vm.Member   { return r[0] }
func (r staticRoster) Live() []vm.Member { return r }
func (r staticRoster) Listed() int       { return len(r) }
func (staticRoster) Removed(string) bool { return false }

// newRoster returns n VMs in four data centres of two regions.
func newRoster(n int) staticRoster {
	r := make(staticRoster, n)
	for i := range r {
		r[i] = vm.Member{
			ID: fmt.Sprintf("vm-%03d", i), Incarnation: 1, Region: fmt.Sprintf("region-%d", i%4/2),
			DataCentre: fmt.Sprintf("dc-%d", i%4), Caller: fmt.Sprintf("10.0.%d.%d:80", i/250, i%250),
			Peer: fmt.Sprintf("10.0.%d.%d:81", i/250, i%250), State: vm.StateServing,
		}
	}
	return r
}

// newCustomers returns a configuration of n customers with two keys each.
func newCustomers(n int) *config.Config {
	cfg := &config.Config{Version: 1, Routes: []config.Route{{Name: "verdict", Kind: config.RouteModel}}}
	for i := range n {
		name := fmt.Sprintf("customer-%05d", i)
		cfg.Customers = append(cfg.Customers, config.Customer{
			Name: name, Keys: []config.Key{newKey("a", name+"-a"), newKey("b", name+"-b")}, Routes: []string{"verdict"},
			Rate: config.Rate{Requests: 1e6, RequestBurst: 1e6, Tokens: 1e9, TokenBurst: 1e9},
		})
	}
	return cfg
}

// BenchmarkSlopeEntry measures how the cost of one entry request depends on the
// number of VMs.
func BenchmarkSlopeEntry(b *testing.B) {
	for _, n := range []int{8, 85, 340} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			p := entry.NewPlacer(entry.Options{Roster: newRoster(n), Clock: store.SystemClock{}})
			r := entry.Request{Customer: "bunraku", Route: "verdict", DataCentre: "dc-1", Rate: config.Rate{Requests: 4, Tokens: 1400}}
			b.ReportAllocs()
			for b.Loop() {
				r.Family++
				p.Resolve(r)
			}
		})
	}
}

// BenchmarkSlopeCustomers measures how the memory of a configuration and the cost of
// checking a key depend on the number of customers.
func BenchmarkSlopeCustomers(b *testing.B) {
	for _, n := range []int{5, 1000, 12_000} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			before := heapBytes()
			v := config.NewView(newCustomers(n))
			grown := heapBytes() - before
			r, err := http.NewRequestWithContext(b.Context(), http.MethodGet, "http://10.0.0.1/", http.NoBody)
			must.NoError(b, err)
			r.Header.Set("Authorization", "Bearer "+v.Customers[n/2].Name+"-a")
			for b.Loop() {
				_, ok := customer.Authorize(v, r, "verdict").(customer.Granted)
				must.True(b, ok)
			}
			b.ReportMetric(float64(grown)/float64(n), "heap-B/customer")
		})
	}
}

// BenchmarkSlopeAccounts measures the memory and cost of the accounts of a VM that
// holds all slots.
func BenchmarkSlopeAccounts(b *testing.B) {
	for _, n := range []int{5, 1000, 12_000} {
		b.Run(fmt.Sprintf("customers=%d", n), func(b *testing.B) {
			v := config.NewView(newCustomers(n))
			members := newRoster(1)
			task := limit.NewTask(limit.Options{
				Self: members.Self(), Store: store.NewMemory(), Peers: peer.NewMemory().Node(members[0].ID, members[0].Peer), Roster: members,
				Config: func() *config.View { return v }, Clock: store.SystemClock{}, Log: log.NewNopLogger(),
			})
			ctx, cancel := context.WithCancel(b.Context())
			defer cancel()
			go func() { _ = task.Run(ctx) }()
			cost := limit.Cost{Requests: 1, Tokens: 1}
			reserve := func(i int) bool {
				a, ok := task.Reserve(ctx, v.Customers[i%n].Name, cost).(limit.Admitted)
				if ok {
					task.Settle(a.Reservation, cost)
				}
				return ok
			}
			before := heapBytes()
			for i := range n {
				for !reserve(i) {
					time.Sleep(10 * time.Millisecond)
				}
			}
			grown := int64(heapBytes()) - int64(before)
			refused := 0
			for i := 0; b.Loop(); i++ {
				if !reserve(i) {
					refused++
				}
			}
			b.ReportMetric(float64(grown)/float64(n), "heap-B/account")
			b.ReportMetric(100*float64(refused)/float64(b.N), "refused-%")
			runtime.KeepAlive(task)
		})
	}
}
