package route

import (
	"math/rand/v2"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// Settings of the circuit breaker.
const (
	// breakerFailureThreshold is the number of consecutive failures that opens the breaker.
	breakerFailureThreshold = 5
	// breakerMinBackoff is the mean time until the first probe. It doubles after each failed probe.
	breakerMinBackoff = 500 * time.Millisecond
	// breakerMaxBackoff limits the mean time until the next probe.
	breakerMaxBackoff = 15 * time.Second
	// breakerNotRepeatedDelay is how long a due probe is reserved for idempotent requests.
	breakerNotRepeatedDelay = 5 * time.Second
)

// circuitBreaker stops the requests to a server after consecutive failures, except for single ones that probe whether
// it works again.
type circuitBreaker struct {
	failures int
	// backoff is the mean time between the last failure and retryAt.
	backoff time.Duration
	// retryAt is when the next probe is due.
	retryAt time.Time
	probing bool
}

// isOpen reports whether the server gets no requests other than those that probe it.
func (b *circuitBreaker) isOpen() bool {
	return b.failures >= breakerFailureThreshold
}

// allows reports whether a request of the class may be sent to the server now. A probe is an idempotent request; other
// requests may probe only if there was no idempotent one for breakerNotRepeatedDelay.
func (b *circuitBreaker) allows(now time.Time, class ident.RequestClass) bool {
	if !b.isOpen() {
		return true
	}
	if b.probing {
		return false
	}
	probeAt := b.retryAt
	if class == ident.NotRepeated {
		probeAt = probeAt.Add(breakerNotRepeatedDelay)
	}
	return !now.Before(probeAt)
}

// recordStart marks a request as the probe if one is due.
func (b *circuitBreaker) recordStart(now time.Time) {
	b.probing = b.isOpen() && !now.Before(b.retryAt)
}

// recordSuccess closes the breaker, so that the server gets requests again.
func (b *circuitBreaker) recordSuccess() {
	*b = circuitBreaker{}
}

// cancelProbe ends a probe that did not show whether the server works.
func (b *circuitBreaker) cancelProbe() {
	b.probing = false
}

// recordFailure counts a failure and schedules the next probe if the breaker is open.
func (b *circuitBreaker) recordFailure(now time.Time) {
	b.failures++
	b.probing = false
	if !b.isOpen() {
		return
	}
	b.backoff = min(max(2*b.backoff, breakerMinBackoff), breakerMaxBackoff)
	b.retryAt = now.Add(jitter(b.backoff))
}

// jitter returns a random duration between 0.5 and 1.5 times d.
func jitter(d time.Duration) time.Duration {
	if d <= 0 {
		return 0
	}
	return d/2 + rand.N(d)
}
