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
	free, err := strconv.Atoi(h.Get(server.HeaderFreeSlots))
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
		b.full(now, r.serviceMean(), s.refusedFor)
	}
	r.dispatch(now)
}
