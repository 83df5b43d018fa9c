package route

import (
	"math/rand/v2"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// Settings of a breaker.
const (
	breakerFailures = 5
	breakerMinPause = 500 * time.Millisecond
	breakerMaxPause = 15 * time.Second
	// breakerLastResort is how long a due probe waits for an idempotent request.
	breakerLastResort = 5 * time.Second
)

// breaker holds off a server whose requests fail one after another, and lets single requests probe it.
type breaker struct {
	failures int
	pause    time.Duration
	until    time.Time
	probing  bool
}

// open tells whether the server is held off.
func (b *breaker) open() bool {
	return b.failures >= breakerFailures
}

// allows tells whether a request of a class may be sent now. Probes are idempotent requests, and others only
// when there has been no such request for a while.
func (b *breaker) allows(now time.Time, class ident.RequestClass) bool {
	if !b.open() {
		return true
	}
	if b.probing {
		return false
	}
	due := b.until
	if class == ident.NotRepeated {
		due = due.Add(breakerLastResort)
	}
	return !now.Before(due)
}

func (b *breaker) begin(now time.Time) {
	b.probing = b.open() && !now.Before(b.until)
}

func (b *breaker) succeed() {
	*b = breaker{}
}

// abandon ends a probe that showed nothing.
func (b *breaker) abandon() {
	b.probing = false
}

func (b *breaker) fail(now time.Time) {
	b.failures++
	b.probing = false
	if !b.open() {
		return
	}
	b.pause = min(max(2*b.pause, breakerMinPause), breakerMaxPause)
	b.until = now.Add(jitter(b.pause))
}

// jitter draws a duration between half of d and one and a half of d.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}
