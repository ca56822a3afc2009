// Package clock provides the time that guards promises.
//
// Ages are taken from the boot-time clock, which goes on while a virtual
// machine is suspended. No value is comparable between machines.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point on the boot-time clock of this machine, in nanoseconds.
type Instant int64

// Sub returns the time from other to i.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Clock returns the current instant.
type Clock func() Instant

// Boot reads the boot-time clock of the operating system.
func Boot() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists on every kernel that Go supports.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Synthetic returns a clock that follows package time. Under
// testing/synctest it advances with the bubble's fake time.
func Synthetic() Clock {
	start := time.Now()
	return func() Instant { return Instant(time.Since(start) + time.Hour) }
}
