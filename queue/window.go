package queue

import (
	"math"
	"time"
)

const (
	// toleratedSlowdown is how many times the best first-byte latency a pool
	// may take before its window shrinks.
	toleratedSlowdown = 3.0
	// shrinkFactor multiplies the window when the pool is too slow or fails.
	shrinkFactor = 0.9
	// bestMemory is the time after which the best latency is measured anew.
	bestMemory = 30 * time.Second
	// averageWeight is the weight of a new sample in moving averages.
	averageWeight = 0.1
	// minShrinkGap is the least time between two shrinks.
	minShrinkGap = 100 * time.Millisecond
	// minWindow is the least number of running requests.
	minWindow = 1
)

// A window is the adaptive bound on running requests of a pool: additive
// increase while the first byte comes in time, multiplicative decrease at most
// once per latency when it does not or when requests fail.
type window struct {
	capacity int
	limit    float64
	best     time.Duration
	previous time.Duration // the best of the period before
	period   time.Time     // start of the current period
	shrunk   time.Time
	// secondsPerToken and seconds are moving averages over ended requests.
	secondsPerToken float64
	seconds         float64
}

func newWindow(capacity int) window {
	return window{capacity: capacity, limit: float64(capacity)}
}

// size returns the number of requests that may run at once.
func (w *window) size() int {
	if w.capacity == 0 {
		return 0
	}
	return max(minWindow, int(w.limit))
}

func (w *window) setCapacity(n int) {
	n = max(n, 0)
	if float64(n) < w.limit || w.limit == float64(w.capacity) {
		w.limit = float64(n)
	}
	w.capacity = n
}

// learn takes one ended request into account.
func (w *window) learn(e End, tokens float64, took time.Duration, now time.Time) {
	if e.Failed {
		w.shrink(took, now)
		return
	}
	w.seconds = average(w.seconds, took.Seconds())
	w.secondsPerToken = average(w.secondsPerToken, took.Seconds()/tokens)
	if e.FirstByte <= 0 {
		return
	}
	w.noteBest(e.FirstByte, now)
	if e.FirstByte.Seconds() > toleratedSlowdown*w.bestKnown().Seconds() {
		w.shrink(e.FirstByte, now)
		return
	}
	w.limit = math.Min(float64(w.capacity), w.limit+1/math.Max(w.limit, 1))
}

// noteBest keeps the least latency of this period and of the one before.
func (w *window) noteBest(latency time.Duration, now time.Time) {
	if now.Sub(w.period) > bestMemory {
		w.previous, w.best, w.period = w.best, 0, now
	}
	if w.best == 0 || latency < w.best {
		w.best = latency
	}
}

func (w *window) bestKnown() time.Duration {
	if w.previous > 0 && w.previous < w.best {
		return w.previous
	}
	return w.best
}

// shrink makes the window smaller, at most once in the given latency, so that
// one slow spell counts once.
func (w *window) shrink(latency time.Duration, now time.Time) {
	if now.Sub(w.shrunk) < max(latency, minShrinkGap) {
		return
	}
	w.shrunk = now
	w.limit = math.Max(minWindow, w.limit*shrinkFactor)
}

func average(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + averageWeight*(sample-old)
}
