package logline

import (
	"sync"
	"time"
)

// A Sample lets a bounded number of lines of one kind through each second and
// counts the others.
type Sampler struct {
	// PerSecond is the number of lines in each second.
	PerSecond int

	mu      sync.Mutex
	begun   time.Time
	taken   int
	leftOut int
}

// Take tells whether a line may be written now, and how many were left out since
// the one before.
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
