package store

import (
	"context"
	"time"
)

// A Clock tells the time of this process. Durations are measured with the
// monotonic part of the returned values.
type Clock interface {
	Now() time.Time
}

// A SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now returns the current time.
func (SystemClock) Now() time.Time { return time.Now() }

// Sleep waits for d or until ctx ends, and tells whether ctx is still alive. It
// makes no timer that has run out already, which the race detector of Go 1.26
// does not stand in virtual time.
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
