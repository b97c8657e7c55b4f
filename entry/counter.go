package entry

import (
	"sync"
	"time"
)

const (
	// responsesPerHome is the number of responses within one TTL after which the
	// callers of a family are spread over one more home VM.
	responsesPerHome = 16
	// maxFamilies bounds the number of families that are counted, and so the
	// memory of a counter.
	maxFamilies = 4096
)

// A counter counts the responses for each family within one TTL. Since a caller
// caches a response for that time, the count is about the number of callers.
type counter struct {
	window time.Duration

	mu       sync.Mutex
	start    time.Time
	counts   map[placementKey]int
	previous map[placementKey]int
}

func newCounter(window time.Duration) *counter {
	return &counter{window: window, counts: map[placementKey]int{}, previous: map[placementKey]int{}}
}

// next counts one response and returns the index of the home VM to list first.
// The more callers a family has, the more of its home VMs are listed first in
// turn, up to the given number of homes.
func (c *counter) next(key placementKey, homes int, now time.Time) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.rotate(now)
	n := c.counts[key]
	if _, counted := c.counts[key]; counted || len(c.counts) < maxFamilies {
		c.counts[key]++
	}
	spread := min(1+max(n, c.previous[key])/responsesPerHome, homes)
	return n % spread
}

// rotate starts a new window if the current one has ended. The caller must hold
// mu.
func (c *counter) rotate(now time.Time) {
	passed := now.Sub(c.start)
	if passed < c.window {
		return
	}
	c.previous = c.counts
	if passed >= 2*c.window {
		c.previous = map[placementKey]int{}
	}
	c.counts = map[placementKey]int{}
	c.start = now
}
