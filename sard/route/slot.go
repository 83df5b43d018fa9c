package route

import (
	"net/http"
	"strconv"
	"time"

	"github.com/sardineline/sardineline/sard/server"
)

// slotOutcome is what the use of a slot revealed about the slot's server.
type slotOutcome int

const (
	// slotUnused is the outcome of a use that reveals nothing.
	slotUnused slotOutcome = iota
	// slotAnswered is the outcome of a complete response.
	slotAnswered
	// slotFailed is the outcome of a failed attempt.
	slotFailed
	// slotRefused is the outcome of a refusal to run the request.
	slotRefused
)

// freeSlotsUnknown means that the server did not report its free slots.
const freeSlotsUnknown = -1

// description identifies the slot's server in errors.
func (s *slot) description() string {
	return "server " + string(s.backend.server.Name)
}

// parseFreeSlots stores the number of free slots from a response header.
func (s *slot) parseFreeSlots(h http.Header) {
	free, err := strconv.Atoi(h.Get(server.HeaderFreeSlots))
	if err != nil || free < 0 {
		return
	}
	s.reportedFree = free
}

// release ends the use of a slot, updates the state of its server and dispatches the next waiters.
func (r *Router) release(s *slot, outcome slotOutcome) {
	r.mu.Lock()
	defer r.mu.Unlock()
	now := time.Now()
	b := s.backend
	b.returnSlot(s)
	r.slotsInUse--
	switch outcome {
	case slotUnused:
		b.breaker.cancelProbe()
		b.freeSlots++
	case slotAnswered:
		b.breaker.recordSuccess()
		r.retryBudget.deposit()
		r.overallServiceTime.observe(now.Sub(s.startedAt))
		b.recordFreeSlots(now, s.reportedFree)
	case slotFailed:
		b.breaker.recordFailure(now)
		b.freeSlots++
	case slotRefused:
		b.breaker.cancelProbe()
		b.recordRefusal(now, r.meanServiceTime(), s.retryAfter)
	}
	r.dispatch(now)
}
