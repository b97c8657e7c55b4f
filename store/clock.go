package store

import (
	"context"
	"time"
)

// A Clock returns the current time. Durations are measured with the monotonic
// clock reading of the returned values.
type Clock interface {
	Now() time.Time
}

// A SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep waits for d or until ctx ends. It reports false if ctx has ended. For
// d <= 0 it creates no timer, since the race detector of Go 1.26 fails on timers
// in virtual time that have already expired.
func Sleep(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return true
	case <-ctx.Done():
		return false
	}
}
