package route

import (
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// Settings of the choice of servers.
const (
	// fullPauses bounds, in service times, how long a server that refused is passed over, and how long the number
	// of free slots that it told is trusted.
	fullPauses = 4
	// serviceGuess is the service time that is taken before any was measured.
	serviceGuess = 20 * time.Millisecond
)

// pick returns a server for a waiting request, or nil. The slots that this instance owns by the rendezvous
// order come first: as long as each instance needs no more, no request is refused. Beyond them, a request goes to
// a server that is likely to have a free slot of another instance; the server itself settles the races. A
// request that is not to be repeated ends with a refusal, so it takes such a chance only for want of owned slots.
func (r *Router) pick(now time.Time, t *ticket) *backend {
	life := r.freeLife()
	own := func(b *backend) int {
		if t.class == ident.NotRepeated {
			return min(b.own-b.inFlight, b.guess(now, life))
		}
		return b.own - b.inFlight
	}
	if b := r.betterOfTwo(now, t, own); b != nil {
		return b
	}
	if t.class == ident.NotRepeated && r.anyWorking(now, func(b *backend) bool { return b.own > 0 }) {
		return nil
	}
	return r.betterOfTwo(now, t, func(b *backend) int { return b.guess(now, life) })
}

// anyWorking tells whether a server that takes work has a property.
func (r *Router) anyWorking(now time.Time, has func(b *backend) bool) bool {
	return slices.ContainsFunc(r.order, func(b *backend) bool {
		return !b.leaving(now) && !b.breaker.open() && has(b)
	})
}

// betterOfTwo draws two usable servers with free slots and returns the one with more. Servers that failed the
// request before are left out while another one takes work.
func (r *Router) betterOfTwo(now time.Time, t *ticket, free func(*backend) int) *backend {
	n := len(r.order)
	if n == 0 {
		return nil
	}
	avoids := len(t.failed) > 0 && r.anyWorking(now, func(b *backend) bool { return !slices.Contains(t.failed, b) })
	var best *backend
	found := 0
	start := rand.IntN(n)
	for i := 0; i < n && found < 2; i++ {
		b := r.order[(start+i)%n]
		if free(b) <= 0 || !b.usable(now, t.class) || avoids && slices.Contains(t.failed, b) {
			continue
		}
		found++
		if best == nil || free(b) > free(best) {
			best = b
		}
	}
	return best
}

func (r *Router) serviceMean() time.Duration {
	if r.overall.mean == 0 {
		return serviceGuess
	}
	return r.overall.mean
}

func (r *Router) freeLife() time.Duration {
	return fullPauses * r.serviceMean()
}

// guess estimates the free slots: the number that the server told, or for want of a recent one all that this
// instance does not use.
func (b *backend) guess(now time.Time, life time.Duration) int {
	if now.Sub(b.freeAt) > life {
		return b.server.Slots - b.inFlight
	}
	return b.free
}

// freed takes the number of free slots that an answer told. The slot of the answer itself is free again.
func (b *backend) freed(now time.Time, told int) {
	b.fullTil = time.Time{}
	b.refusals = 0
	if told == unknownFree {
		b.freeAt = time.Time{}
		return
	}
	b.free = max(told, 1)
	b.freeAt = now
}

// full passes a server that refused over, for longer each time.
func (b *backend) full(now time.Time, mean, after time.Duration) {
	b.free = 0
	b.freeAt = now
	pause := jitter(min(mean<<b.refusals, fullPauses*mean))
	b.refusals = min(b.refusals+1, fullPauses)
	b.fullTil = now.Add(max(pause, after))
}
