package relay

import (
	"expvar"
	"fmt"
	"strconv"
	"sync"
	"time"
)

// bounds are the upper bounds of the latency histogram in milliseconds.
var bounds = [...]int64{10, 25, 50, 100, 200, 400, 800, 1600, 3200, 6400}

// Meters count requests by status and record their latencies.
type Meters struct {
	mu       sync.Mutex
	statuses map[int]int64
	first    [len(bounds) + 1]int64
	total    [len(bounds) + 1]int64
}

// NewMeters returns Meters whose counters are zero.
func NewMeters() *Meters { return &Meters{statuses: map[int]int64{}} }

func (m *Meters) note(status int, first, total time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.statuses[status]++
	if first > 0 {
		m.first[slot(first)]++
	}
	m.total[slot(total)]++
}

func slot(d time.Duration) int {
	for i, bound := range bounds {
		if d.Milliseconds() <= bound {
			return i
		}
	}
	return len(bounds)
}

// Vars returns the counters for expvar.
func (m *Meters) Vars() expvar.Func {
	return func() any {
		m.mu.Lock()
		defer m.mu.Unlock()
		out := map[string]int64{}
		for status, n := range m.statuses {
			out["requests_"+strconv.Itoa(status)] = n
		}
		for i := range m.first {
			bound := "more"
			if i < len(bounds) {
				bound = fmt.Sprint(bounds[i])
			}
			out["first_ms_"+bound] = m.first[i]
			out["total_ms_"+bound] = m.total[i]
		}
		return out
	}
}
