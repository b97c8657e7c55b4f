package entry

import (
	"sync"
	"time"
)

const (
	// hotAnswers is the number of answers within one TTL after which a family
	// is given one more VM.
	hotAnswers = 16
	// maxFamilies bounds the families that are counted at once.
	maxFamilies = 4096
)

// A heat counts the answers given for each family within one TTL, the time
// that a caller keeps an answer: the count is the number of callers.
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

// turn counts one answer and returns which home comes first in it. The callers
// of a hot family take turns among more homes, up to the width.
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

// rotate begins a new window when one has passed. The caller holds mu.
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
