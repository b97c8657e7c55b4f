package fake

import (
	"context"
	"time"
)

// faults are the failures that an engine is set to simulate.
type faults struct {
	down          bool
	leaving       bool
	truncateAfter int64
	stallAfter    int64
	eventsToDrop  int
}

// takeDroppedEvent reports whether the next event is to be dropped, and if so
// decrements eventsToDrop.
func (f *faults) takeDroppedEvent() bool {
	if f.eventsToDrop == 0 {
		return false
	}
	f.eventsToDrop--
	return true
}

// Crash aborts all runs and responses. The engine restarts at once as a new
// incarnation with an empty cache, under the same address.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.crash()
	e.startIncarnation()
}

// StallConnections makes all open streams and feeds stop sending, without
// closing them. New requests work as usual.
func (e *Engine) StallConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.stall()
	e.stallCtx, e.stall = context.WithCancel(context.Background())
}

// TruncateAfter makes the next stream that sends the event with the given offset
// end abruptly after it.
func (e *Engine) TruncateAfter(offset int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.truncateAfter = offset
}

// StallAfter makes the next stream that sends the event with the given offset
// send nothing after it, not even pings.
func (e *Engine) StallAfter(offset int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.stallAfter = offset
}

// SetDown makes the engine abort every new request without a response.
func (e *Engine) SetDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.down = down
}

// SetLeaving makes the engine report that it is leaving and reject new requests.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.leaving = leaving
}

// DropEvents makes the engine skip its next n cache events in the feed.
func (e *Engine) DropEvents(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.eventsToDrop = n
}

// SetEventDelay sets the time between a change of the cache and the sending of
// its event.
func (e *Engine) SetEventDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opts.EventDelay = d
}

// SetMaxReportAge sets the age up to which the last load report is returned
// instead of a new one.
func (e *Engine) SetMaxReportAge(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opts.MaxReportAge = d
}

// SetTokenInterval sets the time between two tokens.
func (e *Engine) SetTokenInterval(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opts.TokenInterval = d
}

// SetPrefillRate sets the number of prompt tokens computed per second.
func (e *Engine) SetPrefillRate(rate float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opts.PrefillRate = rate
}
