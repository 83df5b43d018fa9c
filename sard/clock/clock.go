// Package clock measures elapsed time including the time during which the machine is suspended. Go's monotonic clock
// stops during a suspension, so a lease timed by it could seem valid after it has expired.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Instant is a point in time, measured from an arbitrary origin. Instants of different processes can't be compared.
type Instant time.Duration

// Never is the zero Instant. It precedes every Instant that Now returns.
const Never Instant = 0

// originOffset is a number of nanoseconds that keeps Now above Never in tests, where a synctest clock may start before
// the process did.
const originOffset = 1 << 61

// origin and suspensionAtStart are the time and the total suspension when the process started. Now measures from them.
var (
	origin            = time.Now()
	suspensionAtStart = suspension()
)

// Now returns the current instant. In a synctest bubble it follows the bubble's clock.
func Now() Instant {
	return Instant(originOffset + time.Since(origin) + suspension() - suspensionAtStart)
}

// Add returns the instant d after i.
func (i Instant) Add(d time.Duration) Instant {
	return i + Instant(d)
}

// Sub returns the time from u to i, which is negative if i is before u.
func (i Instant) Sub(u Instant) time.Duration {
	return time.Duration(i - u)
}

// Before reports whether i is before u.
func (i Instant) Before(u Instant) bool {
	return i < u
}

// Since returns the time elapsed since i.
func Since(i Instant) time.Duration {
	return Now().Sub(i)
}

// suspension returns the total time the machine has been suspended since boot, or 0 if the clocks can't be read.
func suspension() time.Duration {
	var boot, monotonic unix.Timespec
	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil || unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}
	return time.Duration(boot.Nano() - monotonic.Nano()).Truncate(suspensionResolution)
}

// suspensionResolution is the unit to which suspension truncates its result. This removes the time that passes between
// its two clock readings.
const suspensionResolution = 10 * time.Millisecond
