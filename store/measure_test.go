package store

import (
	"context"
	"fmt"
	"slices"
	"sync"
	"testing"
	"time"

	"github.com/baobabdyke/baobabdyke/internal/virtual"
)

// BenchmarkMeasure makes VMs call a store that is down for a minute, each four
// times a second. It reports the calls that reach the store and the time from
// its recovery to the first successful call of each VM.
func BenchmarkMeasure(b *testing.B) {
	for _, limited := range []bool{false, true} {
		for _, vms := range []int{8, 340} {
			b.Run(fmt.Sprintf("budget=%v/vms=%d", limited, vms), func(b *testing.B) {
				var during, peak int
				var recoveries []time.Duration
				virtual.Run(b, func() { during, peak, recoveries = measureOutage(vms, limited) })
				b.ReportMetric(float64(during)/60, "calls/s-down")
				b.ReportMetric(float64(peak), "most-calls/s-back")
				b.ReportMetric(recoveries[len(recoveries)/2].Seconds(), "p50-back-s")
				b.ReportMetric(recoveries[len(recoveries)-1].Seconds(), "max-back-s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// measureOutage returns the number of calls during an outage of one minute, the
// highest number of calls in one second after it, and the sorted times from the
// recovery to the first successful call of each VM.
func measureOutage(vms int, limited bool) (during, peak int, recoveries []time.Duration) {
	m := NewMemory()
	m.SetFault(Down())
	end := time.Now().Add(time.Minute)
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range vms {
		s := Store(m.For(fmt.Sprint(i)))
		if limited {
			s = NewBudget(s, BudgetOptions{PerSecond: 10, Burst: 20, Clock: SystemClock{}}).WithPriority(PriorityNormal)
		}
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 250 * time.Millisecond / time.Duration(vms))
			for {
				_, err := s.List(context.Background(), "")
				if err == nil {
					mu.Lock()
					recoveries = append(recoveries, time.Since(end))
					mu.Unlock()
					return
				}
				time.Sleep(250 * time.Millisecond)
			}
		})
	}
	time.Sleep(time.Until(end))
	during = m.Total().Reads
	m.SetFault(nil)
	for range 8 {
		before := m.Total().Reads
		time.Sleep(time.Second)
		peak = max(peak, m.Total().Reads-before)
	}
	callers.Wait()
	slices.Sort(recoveries)
	return during, peak, recoveries
}
