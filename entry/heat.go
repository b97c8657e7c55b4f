package entry

import (
	"sync"
	"time"
)

const (
	// responsesPerHome is the number of responses within one TTL after which the
	// callers of a family are spread over one more home VM.
	hotAnswers = 16
	// maxFamilies bounds the number of families that are counted, and so the
	// memory of a counter.
	maxFamilies = 4096
)

// A counter counts the responses for each family within one TTL. Since a caller
// caches a response for that time, the count is about the number of callers.
type heat struct {
	window time.Duration

	mu     sync.Mutex
	start  time.Time
	counts map[family]int
	before map[family]int
}

func newHeat(window time.Duration) *heat {
	return &heat{window: window, counts: map[family]int{}, before: map[family]int{}}
}

// next counts one response and returns the index of the home VM to list first.
// The more callers a family has, the more of its first homes home VMs are used in
// turn.
func (h *heat) turn(f family, width int, now time.Time) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.rotate(now)
	n := h.counts[f]
	if _, counted := h.counts[f]; counted || len(h.counts) < maxFamilies {
		h.counts[f]++
	}
	spread := min(1+max(n, h.before[f])/hotAnswers, width)
	return n % spread
}

// rotate starts a new window if the current one has ended. The caller must hold
// mu.
func (h *heat) rotate(now time.Time) {
	passed := now.Sub(h.start)
	if passed < h.window {
		return
	}
	h.before = h.counts
	if passed >= 2*h.window {
		h.before = map[family]int{}
	}
	h.counts = map[family]int{}
	h.start = now
}
