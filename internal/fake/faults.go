package fake

import (
	"context"
	"time"
)

// faults are the failures that an engine was told to show.
type faults struct {
	down       bool
	leaving    bool
	cutAfter   int64
	muteAfter  int64
	lostEvents int
}

// takeLostEvent tells whether the next event is to be lost.
func (f *faults) takeLostEvent() bool {
	if f.lostEvents == 0 {
		return false
	}
	f.lostEvents--
	return true
}

// Crash ends all runs and connections. The engine is back at once with a new
// incarnation and an empty cache, under the same address.
func (e *Engine) Crash() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.kill()
	e.start()
}

// Silence makes all open streams and feeds silent for good. New ones work.
func (e *Engine) StallConnections() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.mute()
	e.feeds, e.mute = context.WithCancel(context.Background())
}

// CutAfter makes the next stream that sends the event with the given offset
// break off behind it.
func (e *Engine) TruncateAfter(offset int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.cutAfter = offset
}

// SilenceAfter makes the next stream that sends the event with the given
// offset fall silent behind it, pings included.
func (e *Engine) StallAfter(offset int64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.muteAfter = offset
}

// SetDown makes the engine end every new connection without an answer.
func (e *Engine) SetDown(down bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.down = down
}

// SetLeaving makes the engine report that it leaves and refuse new requests.
func (e *Engine) SetLeaving(leaving bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.leaving = leaving
}

// LoseEvents makes the engine lose its next n cache events.
func (e *Engine) DropEvents(n int) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults.lostEvents = n
}

// SetEventDelay changes the time between a change of the cache and its event.
func (e *Engine) SetEventDelay(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opts.EventDelay = d
}

// SetLoadLag changes the largest age of a report.
func (e *Engine) SetMaxReportAge(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opts.MaxReportAge = d
}

// SetTokenInterval changes the time between two tokens.
func (e *Engine) SetTokenInterval(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opts.TokenInterval = d
}

// SetPrefillRate changes the number of prompt tokens computed a second.
func (e *Engine) SetPrefillRate(rate float64) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.opts.PrefillRate = rate
}
