// Package clock provides the monotonic clock for ages and timeouts that
// guarantees depend on.
//
// It uses the boot-time clock, which also advances while a virtual machine is
// suspended. Instants of different machines are not comparable.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point on the boot-time clock of this machine, in nanoseconds.
type Instant int64

// Sub returns the duration i-other.
func (i Instant) Sub(other Instant) time.Duration { return time.Duration(i - other) }

// Add returns the instant i+d.
func (i Instant) Add(d time.Duration) Instant { return i + Instant(d) }

// Time converts the instant to the type that packages with a wall clock use. Only
// differences of the results have a meaning.
func (i Instant) Time() time.Time { return time.Unix(0, int64(i)) }

// Clock returns the current instant.
type Clock func() Instant

// Boot reads the boot-time clock of the operating system.
func Boot() Instant {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that Go supports has this clock.
		panic("clock: CLOCK_BOOTTIME: " + err.Error())
	}
	return Instant(ts.Nano())
}

// Synthetic returns a clock for tests that is based on package time and starts at
// one hour. Under testing/synctest it advances with the bubble's fake time.
func Synthetic() Clock {
	start := time.Now()
	return func() Instant { return Instant(time.Since(start) + time.Hour) }
}
