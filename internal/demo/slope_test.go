package demo

import (
	"context"
	"fmt"
	"net/http"
	"runtime"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/go-kit/log"
	"github.com/shoenig/test/must"

	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// settleTime is left for a started fleet to find its shape.
	settleTime = 12 * time.Second
	// measureTime is how long a fleet without traffic is measured.
	measureTime = 10 * time.Second
)

// processorTime returns the processor time that this process has used.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heap returns the bytes in use on the heap.
func heap() uint64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return m.HeapAlloc
}

func benchFleet(b *testing.B, n int) *fleet {
	b.Helper()
	ctx, cancel := context.WithCancel(context.Background())
	f, err := startFleet(ctx, n, log.NewNopLogger())
	must.NoError(b, err)
	b.Cleanup(func() {
		for _, one := range f.vms {
			one.kill()
		}
		cancel()
	})
	must.NoError(b, f.awaitReady(ctx))
	return f
}

// peerBytes returns the bytes that all VMs have sent to each other.
func (f *fleet) peerBytes() int64 {
	var n int64
	for _, one := range f.vms {
		n += one.past + one.ports[peerPort].bytes.Load()
	}
	return n
}

// BenchmarkSlopeVMs measures what a VM without traffic costs, as a function of
// the number of VMs. The stand-ins' own cost is counted to the VMs.
func BenchmarkSlopeVMs(b *testing.B) {
	for _, n := range []int{3, 9, 27, 85} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heap()
				f := benchFleet(b, n)
				time.Sleep(settleTime)
				calls, bytes, start := f.memory.Total(), f.peerBytes(), processorTime(b)
				time.Sleep(measureTime)
				cpu := processorTime(b) - start
				after := f.memory.Total()
				perVM := func(total float64) float64 { return total / float64(n) / measureTime.Seconds() }
				b.ReportMetric(perVM(float64(cpu.Microseconds())), "cpu-µs/VM/s")
				b.ReportMetric(perVM(float64(f.peerBytes()-bytes)), "peer-B/VM/s")
				b.ReportMetric(float64(after.Reads-calls.Reads)/measureTime.Seconds(), "store-reads/s")
				b.ReportMetric(float64(after.Writes-calls.Writes)/measureTime.Seconds(), "store-writes/s")
				b.ReportMetric(float64(heap()-before)/float64(n)/1024, "heap-KB/VM")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkSlopeRequests measures the processor time of one streamed request,
// sent to an engine and through a VM. The difference is the VM's.
func BenchmarkSlopeRequests(b *testing.B) {
	f := benchFleet(b, demoVMs)
	store.Sleep(b.Context(), settleTime)
	for _, e := range f.engines {
		e.SetTokenInterval(time.Nanosecond)
		e.SetPrefillRate(1e12)
	}
	for _, prompt := range []int{4_000, 40_000, 160_000} {
		for _, tokens := range []int{16, 64, 256} {
			for _, way := range []struct{ name, address string }{{"direct", f.target("kuroko-1")}, {"vm", f.vms[0].callers}} {
				b.Run(fmt.Sprintf("prompt=%d/tokens=%d/way=%s", prompt, tokens, way.name), func(b *testing.B) {
					c := newCaller(nil, hakataKey, "seat-verdict")
					system := filler("house rules", prompt)
					start, refused := processorTime(b), 0
					for i := 0; b.Loop(); i++ {
						a := c.chatAt(b.Context(), way.address, system, fmt.Sprintf("question %d", i), tokens)
						if a.status != http.StatusOK {
							refused++
						}
					}
					b.ReportMetric(float64((processorTime(b)-start).Microseconds())/float64(b.N), "cpu-µs/op")
					b.ReportMetric(100*float64(refused)/float64(b.N), "refused-%")
				})
			}
		}
	}
}

// BenchmarkSlopeStreams measures the heap of streams that run at the same time,
// directly and through a VM. The difference is the VM's.
func BenchmarkSlopeStreams(b *testing.B) {
	const tokens = 1000
	f := benchFleet(b, demoVMs)
	store.Sleep(b.Context(), settleTime)
	for _, e := range f.engines {
		e.SetTokenInterval(time.Second)
		e.SetPrefillRate(1e12)
	}
	for _, n := range []int{4, 12, 24} {
		for _, way := range []struct{ name, address string }{{"direct", f.target("kuroko-1")}, {"vm", f.vms[0].callers}} {
			b.Run(fmt.Sprintf("streams=%d/way=%s", n, way.name), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(float64(streamsHeap(b, way.address, n, tokens))/float64(n)/1024, "heap-KB/stream")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// streamsHeap returns what n streams at once add to the heap.
func streamsHeap(b *testing.B, address string, n, tokens int) int64 {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	before := heap()
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			c := newCaller(nil, hakataKey, "seat-verdict")
			c.chatAt(ctx, address, filler("house rules", 40_000), fmt.Sprintf("question %d", i), tokens)
		})
	}
	time.Sleep(2 * time.Second)
	after := heap()
	cancel()
	wg.Wait()
	time.Sleep(time.Second)
	return int64(after) - int64(before)
}
