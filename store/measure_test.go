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

// BenchmarkMeasure lets VMs call a store that is down for a minute, each four
// times a second, and gives the calls that reach it and the time from its
// return to each VM's first call that works.
func BenchmarkMeasure(b *testing.B) {
	for _, guarded := range []bool{false, true} {
		for _, vms := range []int{8, 340} {
			b.Run(fmt.Sprintf("budget=%v/vms=%d", guarded, vms), func(b *testing.B) {
				var during, peak int
				var back []time.Duration
				virtual.Run(b, func() { during, peak, back = outage(vms, guarded) })
				b.ReportMetric(float64(during)/60, "calls/s-down")
				b.ReportMetric(float64(peak), "most-calls/s-back")
				b.ReportMetric(back[len(back)/2].Seconds(), "p50-back-s")
				b.ReportMetric(back[len(back)-1].Seconds(), "max-back-s")
				b.ReportMetric(0, "ns/op")
			})
		}
	}
}

// outage returns the calls of a minute's outage, the most calls in a second
// after it, and the times until calls worked again.
func outage(vms int, guarded bool) (during, peak int, back []time.Duration) {
	m := NewMemory()
	m.SetFault(Down())
	end := time.Now().Add(time.Minute)
	var mu sync.Mutex
	var callers sync.WaitGroup
	for i := range vms {
		s := Store(m.For(fmt.Sprint(i)))
		if guarded {
			s = NewBudget(s, BudgetOptions{PerSecond: 10, Burst: 20, Clock: SystemClock{}}).WithPriority(PriorityNormal)
		}
		callers.Go(func() {
			time.Sleep(time.Duration(i) * 250 * time.Millisecond / time.Duration(vms))
			for {
				_, err := s.List(context.Background(), "")
				if err == nil {
					mu.Lock()
					back = append(back, time.Since(end))
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
	slices.Sort(back)
	return during, peak, back
}
