package demo

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/store"
)

// observationTime is the period over which the cost of a failure is measured.
const observationTime = 15 * time.Second

// A cost counts store calls and bytes between VMs.
type cost struct {
	reads  int64
	writes int64
	bytes  int64
}

func (f *fleet) cost() cost {
	total := f.memory.Total()
	return cost{reads: int64(total.Reads), writes: int64(total.Writes), bytes: f.peerBytes()}
}

// since returns the difference from an earlier cost.
func (c cost) since(earlier cost) cost {
	return cost{reads: c.reads - earlier.reads, writes: c.writes - earlier.writes, bytes: c.bytes - earlier.bytes}
}

// restart kills VMs at the same time, starts them again after a pause, and returns
// the time until all are ready.
func (f *fleet) restart(ctx context.Context, b *testing.B, nodes []*node) time.Duration {
	b.Helper()
	var wg sync.WaitGroup
	for _, n := range nodes {
		wg.Go(n.kill)
	}
	wg.Wait()
	store.Sleep(ctx, time.Second)
	start := time.Now()
	for _, n := range nodes {
		must.NoError(b, f.start(ctx, n))
	}
	must.NoError(b, f.awaitReady(ctx))
	return time.Since(start)
}

// BenchmarkSlopeRestart measures what a restart of one VM, of a tenth of the VMs and
// of all VMs at the same time costs in addition to a period without failures.
func BenchmarkSlopeRestart(b *testing.B) {
	for _, n := range []int{9, 27, 85} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			f := benchFleet(b, n)
			store.Sleep(b.Context(), settleTime)
			baseline := f.cost()
			store.Sleep(b.Context(), observationTime)
			baseline = f.cost().since(baseline)
			b.Run("one", func(b *testing.B) { f.benchRestart(b, baseline, 1) })
			b.Run("tenth", func(b *testing.B) { f.benchRestart(b, baseline, max(n/10, 2)) })
			b.Run("all", func(b *testing.B) { f.benchRestart(b, baseline, n) })
		})
	}
}

// benchRestart reports what a restart of the first VMs costs in addition to the
// baseline.
func (f *fleet) benchRestart(b *testing.B, baseline cost, count int) {
	for b.Loop() {
		before := f.cost()
		start := time.Now()
		took := f.restart(b.Context(), b, f.vms[:count])
		store.Sleep(b.Context(), observationTime-time.Since(start))
		spent := f.cost().since(before)
		b.ReportMetric(float64(took.Milliseconds()), "ms-until-ready")
		b.ReportMetric(float64(spent.reads-baseline.reads), "extra-reads")
		b.ReportMetric(float64(spent.writes-baseline.writes), "extra-writes")
		b.ReportMetric(float64(spent.bytes-baseline.bytes)/float64(len(f.vms))/1024, "extra-peer-KB/VM")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkSlopeInForce measures the time until a patch is in force on every VM, and
// its cost.
func BenchmarkSlopeInForce(b *testing.B) {
	for _, n := range []int{9, 27, 85} {
		f := benchFleet(b, n)
		store.Sleep(b.Context(), settleTime)
		version := int64(1)
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			var took time.Duration
			before := f.cost()
			for b.Loop() {
				patch := fmt.Sprintf("id: p%d\nbase: %d\nrates: [{customer: karatsu, rate: {requests: %d, requestburst: 100, tokens: 1000000, tokenburst: 2000000}}]\n",
					version, version, 10+version%10)
				start := time.Now()
				status, body, err := f.operator(b.Context(), f.vms[0], http.MethodPost, "/patch", patch)
				must.NoError(b, err)
				must.Eq(b, http.StatusOK, status, must.Sprint(body))
				version++
				must.NoError(b, f.awaitVersion(b.Context(), version))
				took += time.Since(start)
			}
			spent := f.cost().since(before)
			b.ReportMetric(float64(took.Milliseconds())/float64(b.N), "ms-until-in-force")
			b.ReportMetric(float64(spent.bytes)/float64(b.N)/float64(n), "peer-B/VM/patch")
			b.ReportMetric(float64(spent.reads)/float64(b.N), "reads/patch")
			b.ReportMetric(float64(spent.writes)/float64(b.N), "writes/patch")
			b.ReportMetric(0, "ns/op")
		})
	}
}
