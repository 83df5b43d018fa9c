package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// Settings of the server selection.
const (
	// maxBackoffServiceTimes limits, in mean service times, how long a server that refused a request is not used, and
	// how long a reported number of free slots is trusted.
	maxBackoffServiceTimes = 4
	// defaultServiceTime is the mean service time that is assumed before the first measurement.
	defaultServiceTime = 20 * time.Millisecond
)

// selectBackend returns a server for a waiter, or nil.
//
// Slots that rendezvous hashing assigns to this instance come first: no request is refused as long as every instance
// uses only its own. After these, a request goes to a server that is likely to have a free slot of another instance;
// if several instances choose the same slot, the server refuses the later requests. A request that must not be
// repeated cannot be retried after a refusal, so it uses slots of other instances only if no available server has
// owned slots.
func (r *Router) selectBackend(now time.Time, w *waiter) *backend {
	maxAge := r.freeSlotsMaxAge()
	ownedFree := func(b *backend) int {
		if w.class == ident.NotRepeated {
			return min(b.ownedSlots-b.inFlight, b.estimateFreeSlots(now, maxAge))
		}
		return b.ownedSlots - b.inFlight
	}
	if b := r.bestOfTwo(now, w, ownedFree); b != nil {
		return b
	}
	if w.class == ident.NotRepeated && r.anyAvailable(now, func(b *backend) bool { return b.ownedSlots > 0 }) {
		return nil
	}
	return r.bestOfTwo(now, w, func(b *backend) int { return b.estimateFreeSlots(now, maxAge) })
}

// anyAvailable reports whether a server that accepts requests matches.
func (r *Router) anyAvailable(now time.Time, matches func(b *backend) bool) bool {
	return slices.ContainsFunc(r.backendList, func(b *backend) bool {
		return !b.isLeaving(now) && !b.breaker.isOpen() && matches(b)
	})
}

// bestOfTwo picks two usable servers with free slots, from a random start, and returns the one with more. Servers at
// which the request failed are skipped while another server accepts requests.
func (r *Router) bestOfTwo(now time.Time, w *waiter, freeSlots func(*backend) int) *backend {
	n := len(r.backendList)
	if n == 0 {
		return nil
	}
	avoidFailed := len(w.failedBackends) > 0 && r.anyAvailable(now, func(b *backend) bool { return !slices.Contains(w.failedBackends, b) })
	var best *backend
	found := 0
	start := rand.IntN(n)
	for i := 0; i < n && found < 2; i++ {
		b := r.backendList[(start+i)%n]
		if freeSlots(b) <= 0 || !b.usable(now, w.class) || avoidFailed && slices.Contains(w.failedBackends, b) {
			continue
		}
		found++
		if best == nil || freeSlots(b) > freeSlots(best) {
			best = b
		}
	}
	return best
}

// meanServiceTime returns the mean service time over all routes.
func (r *Router) meanServiceTime() time.Duration {
	if r.overallServiceTime.mean == 0 {
		return defaultServiceTime
	}
	return r.overallServiceTime.mean
}

// freeSlotsMaxAge returns how long a reported number of free slots is trusted.
func (r *Router) freeSlotsMaxAge() time.Duration {
	return maxBackoffServiceTimes * r.meanServiceTime()
}

// estimateFreeSlots returns the number of free slots that the server reported, or if that is older than maxAge, all
// slots that this instance does not use.
func (b *backend) estimateFreeSlots(now time.Time, maxAge time.Duration) int {
	if now.Sub(b.freeSlotsAt) > maxAge {
		return b.server.Slots - b.inFlight
	}
	return b.freeSlots
}

// recordFreeSlots ends the backoff and stores the number of free slots from a response. It is at least 1, because the
// slot of the response itself is free again.
func (b *backend) recordFreeSlots(now time.Time, reported int) {
	b.fullUntil = time.Time{}
	b.consecutiveRefusals = 0
	if reported == freeSlotsUnknown {
		b.freeSlotsAt = time.Time{}
		return
	}
	b.freeSlots = max(reported, 1)
	b.freeSlotsAt = now
}

// recordRefusal backs off from a server that refused a request. The delay grows exponentially with consecutive
// refusals.
func (b *backend) recordRefusal(now time.Time, meanService, retryAfter time.Duration) {
	b.freeSlots = 0
	b.freeSlotsAt = now
	backoff := jitter(min(meanService<<b.consecutiveRefusals, maxBackoffServiceTimes*meanService))
	b.consecutiveRefusals = min(b.consecutiveRefusals+1, maxBackoffServiceTimes)
	b.fullUntil = now.Add(max(backoff, retryAfter))
}
