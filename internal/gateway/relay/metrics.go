package relay

import (
	"expvar"
	"fmt"
	"strconv"
	"sync"
	"time"
)

// latencyBounds are the upper bounds of the latency histogram in milliseconds.
var latencyBounds = [...]int64{10, 25, 50, 100, 200, 400, 800, 1600, 3200, 6400}

// Metrics count requests by status and record their latencies.
type Metrics struct {
	mu       sync.Mutex
	statuses map[int]int64
	first    [len(latencyBounds) + 1]int64
	total    [len(latencyBounds) + 1]int64
}

// NewMetrics returns Metrics whose counters are zero.
func NewMetrics() *Metrics { return &Metrics{statuses: map[int]int64{}} }

func (m *Metrics) record(status int, first, total time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.statuses[status]++
	if first > 0 {
		m.first[bucket(first)]++
	}
	m.total[bucket(total)]++
}

func bucket(d time.Duration) int {
	for i, bound := range latencyBounds {
		if d.Milliseconds() <= bound {
			return i
		}
	}
	return len(latencyBounds)
}

// Vars returns the counters for expvar.
func (m *Metrics) Vars() expvar.Func {
	return func() any {
		m.mu.Lock()
		defer m.mu.Unlock()
		out := map[string]int64{}
		for status, n := range m.statuses {
			out["requests_"+strconv.Itoa(status)] = n
		}
		for i := range m.first {
			bound := "more"
			if i < len(latencyBounds) {
				bound = fmt.Sprint(latencyBounds[i])
			}
			out["first_ms_"+bound] = m.first[i]
			out["total_ms_"+bound] = m.total[i]
		}
		return out
	}
}
