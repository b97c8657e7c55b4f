package lease

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/virtual"
	"github.com/baobabdyke/baobabdyke/store"
)

const (
	// storeLatency is the duration of one call of the object store.
	storeLatency = 5 * time.Millisecond
	// measureTime is the virtual duration of one measurement of calls.
	measureTime = time.Minute
	// candidatesPerLease is the number of VMs that compete for one lease.
	candidatesPerLease = 3
)

// startAll runs the candidates of n leases, and returns their tasks and the
// functions that stop them.
func startAll(m *store.Memory, n int) ([]*Task, []context.CancelFunc, *sync.WaitGroup) {
	var running sync.WaitGroup
	var tasks []*Task
	var stops []context.CancelFunc
	for lease := range n {
		for c := range candidatesPerLease {
			id := fmt.Sprintf("vm-%d-%d", lease, c)
			task := NewTask(Options{
				Self: Holder{ID: id, Incarnation: 1}, Store: m.For(id), Clock: store.SystemClock{}, Seed: uint64(lease*candidatesPerLease + c),
			})
			task.Add(fmt.Sprint(lease))
			ctx, cancel := context.WithCancel(context.Background())
			running.Go(func() { _ = task.Run(ctx) })
			tasks = append(tasks, task)
			stops = append(stops, cancel)
		}
	}
	return tasks, stops, &running
}

// holderOf returns the index of the candidate that holds a lease, or -1.
func holderOf(tasks []*Task, lease int) int {
	for i := lease * candidatesPerLease; i < (lease+1)*candidatesPerLease; i++ {
		if _, ok := tasks[i].Held(fmt.Sprint(lease)); ok {
			return i
		}
	}
	return -1
}

// measureGaps stops the holder of each lease, or disconnects it from the store if
// planned is false, and returns the times until another process may act.
func measureGaps(m *store.Memory, tasks []*Task, stops []context.CancelFunc, n int, planned bool) []time.Duration {
	disconnected := map[string]bool{}
	holders := make([]int, n)
	for lease := range n {
		holders[lease] = holderOf(tasks, lease)
		if planned {
			stops[holders[lease]]()
			continue
		}
		disconnected[tasks[holders[lease]].opts.Self.ID] = true
	}
	m.SetFault(func(c store.Call) store.Fault {
		return store.Fault{Delay: storeLatency, Refuse: disconnected[c.From]}
	})
	start := time.Now()
	gaps := make([]time.Duration, n)
	for remaining := n; remaining > 0; {
		time.Sleep(50 * time.Millisecond)
		for lease := range n {
			if h := holderOf(tasks, lease); gaps[lease] == 0 && h >= 0 && h != holders[lease] {
				gaps[lease] = time.Since(start)
				remaining--
			}
		}
	}
	slices.Sort(gaps)
	return gaps
}

func BenchmarkMeasure(b *testing.B) {
	for _, n := range []int{4, 60} {
		for _, planned := range []bool{false, true} {
			b.Run(fmt.Sprintf("duties=%d/planned=%v", n, planned), func(b *testing.B) {
				var calls store.Counts
				var gaps []time.Duration
				virtual.Run(b, func() {
					m := store.NewMemory()
					m.SetFault(store.Slow(storeLatency))
					tasks, stops, running := startAll(m, n)
					time.Sleep(measureTime)
					calls = m.Total()
					gaps = measureGaps(m, tasks, stops, n, planned)
					for _, stop := range stops {
						stop()
					}
					running.Wait()
				})
				b.ReportMetric(float64(calls.Writes)/measureTime.Seconds(), "writes/s")
				b.ReportMetric(float64(calls.Reads)/measureTime.Seconds(), "reads/s")
				b.ReportMetric(gaps[len(gaps)/2].Seconds(), "p50-gap-s")
				b.ReportMetric(gaps[len(gaps)-1].Seconds(), "max-gap-s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkSlope reports how the memory and time to track leases depend on their
// number.
func BenchmarkSlope(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("duties=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				for i := range n {
					tracker := Tracker{Self: first, TTL: DefaultTTL}
					r := Record{Lease: Lease{Name: fmt.Sprint(i), Holder: first.ID, Incarnation: 1, Term: 1, TTL: DefaultTTL}, Version: 1}
					data := Encode(r.Lease)
					l, err := Decode(data)
					if err != nil {
						b.Fatal(err)
					}
					r.Lease = l
					tracker.MarkHeld(r, time.Time{})
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/duty")
		})
	}
}
