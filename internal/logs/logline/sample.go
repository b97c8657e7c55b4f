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

	mu      sync.Mutex
	begun   time.Time
	taken   int
	leftOut int
}

// Allow reports whether a line may be written now, and how many lines were
// suppressed since the last one that was allowed.
func (s *Sampler) Allow(now time.Time) (ok bool, leftOut int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if since := now.Sub(s.begun); since >= time.Second || since < 0 {
		s.begun, s.taken = now, 0
	}
	if s.taken >= s.PerSecond {
		s.leftOut++
		return false, 0
	}
	s.taken++
	leftOut, s.leftOut = s.leftOut, 0
	return true, leftOut
}
