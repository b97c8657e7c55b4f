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
	// storeTime is the time of one call of the object API in measurements.
	storeTime = 5 * time.Millisecond
	// measured is the virtual time of one measurement of calls.
	measured = time.Minute
	// candidatesOfDuty is the number of VMs that want one duty.
	candidatesOfDuty = 3
)

// startAll runs the candidates of a number of duties and returns what ends the
// candidate with an index.
func startAll(m *store.Memory, duties int) ([]*Task, []context.CancelFunc, *sync.WaitGroup) {
	var running sync.WaitGroup
	var tasks []*Task
	var stops []context.CancelFunc
	for d := range duties {
		for c := range candidatesOfDuty {
			id := fmt.Sprintf("vm-%d-%d", d, c)
			task := NewTask(Options{
				Self: Holder{ID: id, Incarnation: 1}, Store: m.For(id), Clock: store.SystemClock{}, Seed: uint64(d*candidatesOfDuty + c),
			})
			task.Add(fmt.Sprint(d))
			ctx, cancel := context.WithCancel(context.Background())
			running.Go(func() { _ = task.Run(ctx) })
			tasks = append(tasks, task)
			stops = append(stops, cancel)
		}
	}
	return tasks, stops, &running
}

// holderOf returns the index of the candidate that may act on a duty, or -1.
func holderOf(tasks []*Task, duty int) int {
	for i := duty * candidatesOfDuty; i < (duty+1)*candidatesOfDuty; i++ {
		if _, ok := tasks[i].Held(fmt.Sprint(duty)); ok {
			return i
		}
	}
	return -1
}

// gaps cuts the holder of each duty off or stops it, and returns the times
// until another may act.
func gaps(m *store.Memory, tasks []*Task, stops []context.CancelFunc, duties int, planned bool) []time.Duration {
	lost := map[string]bool{}
	holders := make([]int, duties)
	for d := range duties {
		holders[d] = holderOf(tasks, d)
		if planned {
			stops[holders[d]]()
			continue
		}
		lost[tasks[holders[d]].opts.Self.ID] = true
	}
	m.SetFault(func(c store.Call) store.Fault {
		return store.Fault{Delay: storeTime, Refuse: lost[c.From]}
	})
	begun := time.Now()
	found := make([]time.Duration, duties)
	for open := duties; open > 0; {
		time.Sleep(50 * time.Millisecond)
		for d := range duties {
			if h := holderOf(tasks, d); found[d] == 0 && h >= 0 && h != holders[d] {
				found[d] = time.Since(begun)
				open--
			}
		}
	}
	slices.Sort(found)
	return found
}

func BenchmarkMeasure(b *testing.B) {
	for _, duties := range []int{4, 60} {
		for _, planned := range []bool{false, true} {
			b.Run(fmt.Sprintf("duties=%d/planned=%v", duties, planned), func(b *testing.B) {
				var calls store.Counts
				var found []time.Duration
				virtual.Run(b, func() {
					m := store.NewMemory()
					m.SetFault(store.Slow(storeTime))
					tasks, stops, running := startAll(m, duties)
					time.Sleep(measured)
					calls = m.Total()
					found = gaps(m, tasks, stops, duties, planned)
					for _, stop := range stops {
						stop()
					}
					running.Wait()
				})
				b.ReportMetric(float64(calls.Writes)/measured.Seconds(), "writes/s")
				b.ReportMetric(float64(calls.Reads)/measured.Seconds(), "reads/s")
				b.ReportMetric(found[len(found)/2].Seconds(), "p50-gap-s")
				b.ReportMetric(found[len(found)-1].Seconds(), "max-gap-s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// BenchmarkSlope gives the memory of a task by the number of duties.
func BenchmarkSlope(b *testing.B) {
	for _, n := range []int{10, 100, 1000} {
		b.Run(fmt.Sprintf("duties=%d", n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				for i := range n {
					w := Tracker{Self: first, TTL: DefaultTTL}
					r := Record{Lease: Lease{Name: fmt.Sprint(i), Holder: first.ID, Incarnation: 1, Term: 1, TTL: DefaultTTL}, Version: 1}
					data := Encode(r.Lease)
					l, err := Decode(data)
					if err != nil {
						b.Fatal(err)
					}
					r.Lease = l
					w.MarkHeld(r, time.Time{})
				}
			}
			b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(n), "ns/duty")
		})
	}
}
