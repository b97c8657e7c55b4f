package queue

import (
	"math"
	"time"
)

const (
	// maxSlowdown is the largest ratio of a first-byte latency to the lowest
	// recent one at which the window does not shrink.
	maxSlowdown = 3.0
	// shrinkFactor is applied to the window when a request is too slow or fails.
	shrinkFactor = 0.9
	// minLatencyPeriod is the length of the periods over which the lowest
	// latency is recorded, so that an old minimum does not count for ever.
	minLatencyPeriod = 30 * time.Second
	// averageWeight is the weight of a new sample in moving averages.
	averageWeight = 0.1
	// minShrinkInterval is the least time between two reductions of the window.
	minShrinkInterval = 100 * time.Millisecond
	// minWindow is the least number of running requests.
	minWindow = 1
)

// A window is the adaptive bound on running requests of a pool. It follows
// additive increase, multiplicative decrease: it grows while first-byte
// latencies are low, and shrinks at most once per latency when they are high or
// requests fail.
type window struct {
	capacity       int
	limit          float64
	minLatency     time.Duration
	prevMinLatency time.Duration // the lowest latency of the previous period
	periodStart    time.Time     // the start of the current period
	lastShrink     time.Time
	// secondsPerToken and secondsPerRequest are moving averages over ended
	// requests.
	secondsPerToken   float64
	secondsPerRequest float64
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

// observe adapts the window and the averages to one ended request.
func (w *window) observe(e End, tokens float64, took time.Duration, now time.Time) {
	if e.Failed {
		w.shrink(took, now)
		return
	}
	w.secondsPerRequest = movingAverage(w.secondsPerRequest, took.Seconds())
	w.secondsPerToken = movingAverage(w.secondsPerToken, took.Seconds()/tokens)
	if e.FirstByte <= 0 {
		return
	}
	w.recordLatency(e.FirstByte, now)
	if e.FirstByte.Seconds() > maxSlowdown*w.baseline().Seconds() {
		w.shrink(e.FirstByte, now)
		return
	}
	w.limit = math.Min(float64(w.capacity), w.limit+1/math.Max(w.limit, 1))
}

// recordLatency updates the lowest latency of the current period, and starts a
// new period if the current one is over.
func (w *window) recordLatency(latency time.Duration, now time.Time) {
	if now.Sub(w.periodStart) > minLatencyPeriod {
		w.prevMinLatency, w.minLatency, w.periodStart = w.minLatency, 0, now
	}
	if w.minLatency == 0 || latency < w.minLatency {
		w.minLatency = latency
	}
}

// baseline returns the lowest latency of the current and the previous period.
func (w *window) baseline() time.Duration {
	if w.prevMinLatency > 0 && w.prevMinLatency < w.minLatency {
		return w.prevMinLatency
	}
	return w.minLatency
}

// shrink reduces the window, at most once within the given latency, so that
// requests that were slow at the same time reduce it only once.
func (w *window) shrink(latency time.Duration, now time.Time) {
	if now.Sub(w.lastShrink) < max(latency, minShrinkInterval) {
		return
	}
	w.lastShrink = now
	w.limit = math.Max(minWindow, w.limit*shrinkFactor)
}

func movingAverage(old, sample float64) float64 {
	if old == 0 {
		return sample
	}
	return old + averageWeight*(sample-old)
}
