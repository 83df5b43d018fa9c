// Package clock measures time that goes on while the machine is suspended. The runtime's monotonic clock stands still
// then, so a lease must not be judged by it alone.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a moment, counted from an arbitrary one. Instants of different processes can't be compared.
type Instant time.Duration

// Never is the zero Instant. It is before all instants that Now returns.
const Never Instant = 0

// base keeps the instants of tests above Never, as a test's clock may start before that of the process.
const base = 1 << 61

var (
	origin    = time.Now()
	suspended = suspension()
)

// Now returns the present moment. In a synctest bubble it follows the bubble's clock.
func Now() Instant {
	return Instant(base + time.Since(origin) + suspension() - suspended)
}

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the time from u to i.
func (i Instant) Sub(u Instant) time.Duration {
	return time.Duration(i - u)
}

// Before tells whether i is before u.
func (i Instant) Before(u Instant) bool {
	return i < u
}

// Since returns the time that has passed since i.
func Since(i Instant) time.Duration {
	return Now().Sub(i)
}

// suspension returns how long the machine has been suspended since it was started, or 0 where that is not known.
func suspension() time.Duration {
	var boot, steady unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &steady) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - steady.Nano()).Truncate(suspensionStep)
}

// suspensionStep hides the time between the two readings of suspension.
const suspensionStep = 10 * time.Millisecond
