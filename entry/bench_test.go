package entry

import (
	"fmt"
	"math/rand/v2"
	"runtime"
	"slices"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/config"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/vm"
)

// A strategy is a way to choose the VM of a request.
type strategy struct {
	name   string
	choose func(r *roster, c int, family uint64) string
}

var strategies = []strategy{
	{"chosen", func(r *roster, c int, f uint64) string {
		return newPlacer(r).Homes(fmt.Sprint("c-", c), f)[0].ID
	}},
	{"modulo", func(r *roster, c int, f uint64) string {
		h := placementKey{customer: fmt.Sprint("c-", c), family: f}.hash()
		return r.members[h%uint64(len(r.members))].ID
	}},
	{"random", func(r *roster, _ int, _ uint64) string {
		return r.members[rand.IntN(len(r.members))].ID //nolint:gosec // a baseline
	}},
}

// BenchmarkMeasurePlacement reports, for 3000 customers with three families each,
// the load of the busiest VM relative to the mean, the mean number of VMs per
// customer, and the percentage of requests that move to another VM when one VM in
// the data centre leaves. A fraction of 1/n of them moves with any strategy.
func BenchmarkMeasurePlacement(b *testing.B) {
	for _, s := range strategies {
		for _, n := range []int{9, 85, 340} {
			b.Run(fmt.Sprintf("way=%s/vms=%d", s.name, n), func(b *testing.B) {
				for range b.N {
					s.measure(b, n)
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

func (s strategy) measure(b *testing.B, n int) {
	const customers, families = 3000, 3
	r := newRoster(n)
	place := func() (list []string) {
		for c := range customers {
			for f := range uint64(families) {
				list = append(list, s.choose(r, c, f))
			}
		}
		return list
	}
	before := place()
	load := map[string]int{}
	perCustomer := map[string]bool{}
	for i, id := range before {
		load[id]++
		perCustomer[fmt.Sprint(i/families, id)] = true
	}
	busiest := 0
	for _, v := range load {
		busiest = max(busiest, v)
	}
	r.members = slices.Delete(r.members, 4, 5)
	moved := 0
	for i, id := range place() {
		if id != before[i] {
			moved++
		}
	}
	b.ReportMetric(float64(busiest)*float64(len(load))/float64(len(before)), "busiest/mean")
	b.ReportMetric(float64(len(perCustomer))/customers, "vms/customer")
	b.ReportMetric(100*float64(moved)/float64(len(before)), "moved-%")
}

// BenchmarkSlopeResolve reports the time of one call of Resolve by the number of
// VMs and customers, and the memory of the placer's counters.
func BenchmarkSlopeResolve(b *testing.B) {
	for _, n := range []int{8, 85, 340} {
		for _, customers := range []int{5, 1000, 12000} {
			b.Run(fmt.Sprintf("vms=%d/customers=%d", n, customers), func(b *testing.B) {
				p := newPlacer(newRoster(n))
				rng := rand.New(rand.NewPCG(seed.Value(), 1))
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				resolve := func() {
					req := Request{
						Customer: fmt.Sprint("c-", rng.IntN(customers)), Family: rng.Uint64N(4),
						Rate: config.Rate{Requests: 30}, DataCentre: "dc-1",
					}
					must.SliceNotEmpty(b, p.Resolve(req).VMs)
				}
				for range customers {
					resolve()
				}
				runtime.GC()
				runtime.ReadMemStats(&after)
				for b.Loop() {
					resolve()
				}
				b.ReportMetric(float64(after.HeapAlloc)-float64(before.HeapAlloc), "state-B")
				runtime.KeepAlive(p)
			})
		}
	}
}

var _ vm.Roster = (*roster)(nil)
