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
	// settleTime is the time for a started fleet to reach a steady state.
	settleTime = 12 * time.Second
	// measureTime is the period over which an idle fleet is measured.
	measureTime = 10 * time.Second
)

// processorTime returns the processor time used by this process.
func processorTime(b *testing.B) time.Duration {
	b.Helper()
	var u syscall.Rusage
	must.NoError(b, syscall.Getrusage(syscall.RUSAGE_SELF, &u))
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// heapBytes returns the heap in use after a garbage collection.
func heapBytes() uint64 {
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
		for _, vm := range f.vms {
			vm.kill()
		}
		cancel()
	})
	must.NoError(b, f.awaitReady(ctx))
	return f
}

// peerBytes returns the number of bytes that all VMs have exchanged.
func (f *fleet) peerBytes() int64 {
	var n int64
	for _, vm := range f.vms {
		n += vm.earlierPeerBytes + vm.listeners[peerListener].bytes.Load()
	}
	return n
}

// BenchmarkSlopeVMs measures how the cost of an idle VM depends on the number of VMs.
// The result includes the cost of the stand-ins.
func BenchmarkSlopeVMs(b *testing.B) {
	for _, n := range []int{3, 9, 27, 85} {
		b.Run(fmt.Sprintf("vms=%d", n), func(b *testing.B) {
			for b.Loop() {
				before := heapBytes()
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
				b.ReportMetric(float64(heapBytes()-before)/float64(n)/1024, "heap-KB/VM")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// BenchmarkSlopeRequests measures the processor time of one streamed request, sent
// directly to an engine and through a VM. The difference is the overhead of the VM.
func BenchmarkSlopeRequests(b *testing.B) {
	f := benchFleet(b, demoVMs)
	store.Sleep(b.Context(), settleTime)
	for _, e := range f.engines {
		e.SetTokenInterval(time.Nanosecond)
		e.SetPrefillRate(1e12)
	}
	for _, prompt := range []int{4_000, 40_000, 160_000} {
		for _, tokens := range []int{16, 64, 256} {
			for _, path := range []struct{ name, address string }{{"direct", f.target("kuroko-1")}, {"vm", f.vms[0].callers}} {
				b.Run(fmt.Sprintf("prompt=%d/tokens=%d/way=%s", prompt, tokens, path.name), func(b *testing.B) {
					c := newCaller(nil, hakataKey, "seat-verdict")
					system := filler("house rules", prompt)
					start, refused := processorTime(b), 0
					for i := 0; b.Loop(); i++ {
						r := c.chatAt(b.Context(), path.address, system, fmt.Sprintf("question %d", i), tokens)
						if r.status != http.StatusOK {
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

// BenchmarkSlopeStreams measures the heap of concurrent streams, direct and through a
// VM. The difference is the overhead of the VM.
func BenchmarkSlopeStreams(b *testing.B) {
	const tokens = 1000
	f := benchFleet(b, demoVMs)
	store.Sleep(b.Context(), settleTime)
	for _, e := range f.engines {
		e.SetTokenInterval(time.Second)
		e.SetPrefillRate(1e12)
	}
	for _, n := range []int{4, 12, 24} {
		for _, path := range []struct{ name, address string }{{"direct", f.target("kuroko-1")}, {"vm", f.vms[0].callers}} {
			b.Run(fmt.Sprintf("streams=%d/way=%s", n, path.name), func(b *testing.B) {
				for b.Loop() {
					b.ReportMetric(float64(streamHeapBytes(b, path.address, n, tokens))/float64(n)/1024, "heap-KB/stream")
				}
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// streamHeapBytes returns the heap in use by n concurrent streams.
func streamHeapBytes(b *testing.B, address string, n, tokens int) int64 {
	b.Helper()
	ctx, cancel := context.WithCancel(b.Context())
	defer cancel()
	before := heapBytes()
	var wg sync.WaitGroup
	for i := range n {
		wg.Go(func() {
			c := newCaller(nil, hakataKey, "seat-verdict")
			c.chatAt(ctx, address, filler("house rules", 40_000), fmt.Sprintf("question %d", i), tokens)
		})
	}
	time.Sleep(2 * time.Second)
	after := heapBytes()
	cancel()
	wg.Wait()
	time.Sleep(time.Second)
	return int64(after) - int64(before)
}
