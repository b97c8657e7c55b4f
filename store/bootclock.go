package store

import (
	"time"

	"golang.org/x/sys/unix"
)

// A BootClock is a Clock that also advances while the VM is suspended and is
// never adjusted. Its values count from the boot of the VM, so they measure
// durations and do not give the time of day.
type BootClock struct{}

// Now returns the time since the VM booted, as a time without a monotonic clock
// reading.
func (BootClock) Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return time.Now()
	}
	return time.Unix(ts.Sec, ts.Nsec)
}
