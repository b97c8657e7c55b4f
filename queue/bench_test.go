package queue_test

import (
	"fmt"
	"runtime"
	"strings"
	"testing"

	"github.com/baobabdyke/baobabdyke/internal/model"
	"github.com/baobabdyke/baobabdyke/internal/seed"
	"github.com/baobabdyke/baobabdyke/queue"
)

// BenchmarkMeasure compares first-in-first-out scheduling with the fair queue.
// It reports the highest p99 time to the first byte of the customers that stay
// within their rates, and the percentage of their requests that are refused:
// with all customers within their rates, with one customer at several times
// its rate, and with a pool whose configured capacity is twice the actual one.
func BenchmarkMeasure(b *testing.B) {
	schedulers := []struct {
		name string
		make func(capacity int) model.Queue
	}{
		{"fifo", func(capacity int) model.Queue { return model.NewFIFO(capacity) }},
		{"fair", func(capacity int) model.Queue { return model.NewFair(capacity, start) }},
	}
	for _, w := range schedulers {
		b.Run(w.name, func(b *testing.B) {
			for b.Loop() {
				for name, factor := range map[string]float64{"calm": 1, "5x": 5, "waves5x": 5, "waves10x": 10} {
					p := model.NewPool(w.make(model.PoolCapacity), start)
					p.Drive(seed.Value(), factor, strings.HasPrefix(name, "waves"))
					p99, refused := p.WorstP99()
					b.ReportMetric(p99, name+"_p99_ms")
					b.ReportMetric(refused, name+"_refused_%")
				}
				p := model.NewPool(w.make(2*model.PoolCapacity), start)
				p.Drive(seed.Value(), 5, false)
				p99, refused := p.WorstP99()
				b.ReportMetric(p99, "wide5x_p99_ms")
				b.ReportMetric(refused, "wide5x_refused_%")
			}
			b.ReportMetric(0, "ns/op")
		})
	}
}

// waitingState returns a state with the given numbers of customers and waiting
// requests.
func waitingState(customers, waiting int) *queue.State {
	s := queue.NewState()
	s.Step(queue.SetCapacity{Pool: "kuroko", Capacity: 1}, start)
	for i := range waiting + 1 {
		t := ticket(fmt.Sprint("c", i%customers), 1000)
		t.Limit = waiting + 1
		arrive(s, uint64(i+1), t)
	}
	return s
}

// BenchmarkSlope reports the cost of one request and the memory of one
// waiting request for various numbers of customers and waiting requests.
func BenchmarkSlope(b *testing.B) {
	for _, customers := range []int{5, 1000, 12000} {
		for _, waiting := range []int{100, 1000, 12000} {
			if waiting < customers/100 {
				continue
			}
			b.Run(fmt.Sprintf("customers=%d/waiting=%d", customers, waiting), func(b *testing.B) {
				var before, after runtime.MemStats
				runtime.GC()
				runtime.ReadMemStats(&before)
				s := waitingState(customers, waiting)
				runtime.GC()
				runtime.ReadMemStats(&after)
				id, running := uint64(waiting+1), uint64(1)
				b.ReportAllocs()
				for b.Loop() {
					id++
					t := ticket(fmt.Sprint("c", id%uint64(customers)), 1000)
					t.Limit = waiting + 2
					arrive(s, id, t)
					running = s.Step(queue.End{ID: running}, start)[0].(queue.Start).ID
				}
				b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(waiting), "B/waiting")
				runtime.KeepAlive(s)
			})
		}
	}
}
