package logline

import (
	"sync"
	"time"
)

// A Sampler allows a bounded number of lines of one kind per second and counts the
// others.
type Sampler struct {
	// PerSecond is the number of lines that are allowed per second.
	PerSecond int

	mu          sync.Mutex
	windowStart time.Time
	allowed     int
	suppressed  int
}

// Allow reports whether a line may be written now, and how many lines were
// suppressed since the last one that was allowed.
func (s *Sampler) Allow(now time.Time) (ok bool, suppressed int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since := now.Sub(s.windowStart); since >= time.Second || since < 0 {
		s.windowStart, s.allowed = now, 0
	}
	if s.allowed >= s.PerSecond {
		s.suppressed++
		return false, 0
	}
	s.allowed++
	suppressed, s.suppressed = s.suppressed, 0
	return true, suppressed
}
