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

// watchTime is how long the cost of a failure is counted.
const watchTime = 15 * time.Second

// A toll is what a time cost the platform and the VMs.
type toll struct {
	reads  int64
	writes int64
	bytes  int64
}

func (f *fleet) toll() toll {
	total := f.memory.Total()
	return toll{reads: int64(total.Reads), writes: int64(total.Writes), bytes: f.peerBytes()}
}

// minus returns what was spent since an earlier toll.
func (t toll) minus(earlier toll) toll {
	return toll{reads: t.reads - earlier.reads, writes: t.writes - earlier.writes, bytes: t.bytes - earlier.bytes}
}

// restart kills VMs together, starts them together after a pause, and returns
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

// BenchmarkSlopeRestart measures what a restart of one VM, of a tenth of the VMs
// and of all VMs together costs beyond a time without failures.
func BenchmarkSlopeRestart(b *testing.B) {
	for _, n := range []int{9, 27, 85} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			f := benchFleet(b, n)
			store.Sleep(b.Context(), settleTime)
			calm := f.toll()
			store.Sleep(b.Context(), watchTime)
			calm = f.toll().minus(calm)
			b.Run("one", func(b *testing.B) { f.benchRestart(b, calm, 1) })
			b.Run("tenth", func(b *testing.B) { f.benchRestart(b, calm, max(n/10, 2)) })
			b.Run("all", func(b *testing.B) { f.benchRestart(b, calm, n) })
		})
	}
}

// benchRestart reports what a restart of the first VMs costs beyond calm.
func (f *fleet) benchRestart(b *testing.B, calm toll, count int) {
	for b.Loop() {
		before := f.toll()
		start := time.Now()
		took := f.restart(b.Context(), b, f.vms[:count])
		store.Sleep(b.Context(), watchTime-time.Since(start))
		t := f.toll().minus(before)
		b.ReportMetric(float64(took.Milliseconds()), "ms-until-ready")
		b.ReportMetric(float64(t.reads-calm.reads), "extra-reads")
		b.ReportMetric(float64(t.writes-calm.writes), "extra-writes")
		b.ReportMetric(float64(t.bytes-calm.bytes)/float64(len(f.vms))/1024, "extra-peer-KB/VM")
	}
	b.ReportMetric(0, "ns/op")
}

// BenchmarkSlopeInForce measures the time from a patch until every VM has it in
// force, and its cost.
func BenchmarkSlopeInForce(b *testing.B) {
	for _, n := range []int{9, 27, 85} {
		f := benchFleet(b, n)
		store.Sleep(b.Context(), settleTime)
		version := int64(1)
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			var took time.Duration
			before := f.toll()
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
			t := f.toll().minus(before)
			b.ReportMetric(float64(took.Milliseconds())/float64(b.N), "ms-until-in-force")
			b.ReportMetric(float64(t.bytes)/float64(b.N)/float64(n), "peer-B/VM/patch")
			b.ReportMetric(float64(t.reads)/float64(b.N), "reads/patch")
			b.ReportMetric(float64(t.writes)/float64(b.N), "writes/patch")
			b.ReportMetric(0, "ns/op")
		})
	}
}
