package route

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sardineline/sardineline/sard/server"
)

// slotEnd is what the use of a slot showed of its server.
type slotEnd int

const (
	// idleEnd shows nothing.
	idleEnd slotEnd = iota
	// answeredEnd is a whole answer.
	answeredEnd
	// failedEnd is a failure.
	failedEnd
	// refusedEnd is a refusal before running.
	refusedEnd
)

// unknownFree marks that the server has not told its free slots.
const unknownFree = -1

// peer names the slot's server in errors.
func (s *slot) peer() string {
	return "server " + string(s.backend.server.Name)
}

// learn notes the free slots that an answer tells.
func (s *slot) learn(h http.Header) {
	free, err := strconv.Atoi(h.Get(server.HeaderSlots))
	if err != nil || free < 0 {
		return
	}
	s.told = free
}

// release ends the use of a slot, takes what it showed and hands the slot to the next request.
func (r *Router) release(s *slot, end slotEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	b := s.backend
	b.give(s)
	r.held--
	switch end {
	case idleEnd:
		b.breaker.abandon()
		b.free++
	case answeredEnd:
		b.breaker.succeed()
		r.retries.earn()
		r.overall.add(now.Sub(s.since))
		b.freed(now, s.told)
	case failedEnd:
		b.breaker.fail(now)
		b.free++
	case refusedEnd:
		b.breaker.abandon()
		b.full(now, max(s.refusedFor, r.pause(b)))
	}
	r.dispatch(now)
}

// freed takes the number of free slots that an answer told. The slot of the answer itself is free again.
func (b *backend) freed(now time.Time, told int) {
	b.fullTil = time.Time{}
	if told == unknownFree {
		b.free++
		return
	}
	b.free = max(told, 1)
	b.freeAt = now
}

// full passes the server over for a time.
func (b *backend) full(now time.Time, pause time.Duration) {
	b.free = 0
	b.freeAt = now
	b.fullTil = now.Add(pause)
}

// pause is how long a server without free slots is passed over: about as long as a request runs.
func (r *Router) pause(b *backend) time.Duration {
	if r.overall.mean == 0 || b.server.Slots == 0 {
		return jitter(fullPause)
	}
	return jitter(r.overall.mean)
}
