package fake

import (
	"context"
	"sync"
)

// A semaphore has a limited number of permits. Waiters with a higher priority get
// one first, and those with equal priority in the order of their arrival.
type semaphore struct {
	mu      sync.Mutex
	free    int
	waiting []*waiter
}

type waiter struct {
	priority int
	granted  chan struct{}
}

func newSemaphore(capacity int) *semaphore { return &semaphore{free: capacity} }

// acquire waits for a permit. It returns false if ctx is done first.
func (s *semaphore) acquire(ctx context.Context, priority int) bool {
	w := &waiter{priority: priority, granted: make(chan struct{})}
	s.mu.Lock()
	s.insert(w)
	s.grant()
	s.mu.Unlock()
	select {
	case <-w.granted:
		return true
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.remove(w) {
		s.free++
		s.grant()
	}
	return false
}

func (s *semaphore) release() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.free++
	s.grant()
}

func (s *semaphore) waitingCount() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.waiting)
}

// insert queues w by priority. The caller holds mu.
func (s *semaphore) insert(w *waiter) {
	i := len(s.waiting)
	for i > 0 && s.waiting[i-1].priority < w.priority {
		i--
	}
	s.waiting = append(s.waiting[:i], append([]*waiter{w}, s.waiting[i:]...)...)
}

// remove removes w from the queue and reports whether it was still waiting. The
// caller holds mu.
func (s *semaphore) remove(w *waiter) bool {
	for i, other := range s.waiting {
		if other == w {
			s.waiting = append(s.waiting[:i], s.waiting[i+1:]...)
			return true
		}
	}
	return false
}

// grant hands the free permits to the first waiters. The caller holds mu.
func (s *semaphore) grant() {
	for s.free > 0 && len(s.waiting) > 0 {
		s.free--
		close(s.waiting[0].granted)
		s.waiting = s.waiting[1:]
	}
}
