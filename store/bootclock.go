package store

import (
	"time"

	"golang.org/x/sys/unix"
)

// A BootClock is a Clock that goes on while the machine is suspended and never
// jumps. Its values count from the start of the machine: they serve to measure
// durations and carry no time of day.
type BootClock struct{}

// Now returns the time since the machine started, as a time without a monotonic
// part.
func (BootClock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
