package route

import (
	"fmt"
	"net/http"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// The invariants that are checked at run time. Their values are reported to Config.OnViolation.
const (
	// invariantSentOnce: a request that must not be repeated is sent at most once.
	invariantSentOnce = "RequestSentOnce"
	// invariantNotRun: a request that is reported as NotRun did not run.
	invariantNotRun = "NotRunDidNotRun"
	// invariantConnections: an instance does not exceed its share of the connections to a server.
	invariantConnections = "ConnectionsWithinShare"
	// invariantLeaving: a leaving server gets no new requests.
	invariantLeaving = "NoWorkForLeavingServers"
)

// reportViolation logs and reports an action that was refused because it would violate an invariant.
func (r *Router) reportViolation(invariant, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	r.log.Error("step refused, it would violate an invariant", "promise", invariant, "detail", detail)
	r.cfg.OnViolation(invariant, detail)
}

// verifyAcquire checks that acquiring a slot keeps to the connection share and does not use a leaving server.
func (r *Router) verifyAcquire(b *backend, now time.Time) bool {
	switch {
	case b.inFlight >= b.connectionShare:
		r.reportViolation(invariantConnections, "server %s: %d connections in use, limit %d", b.server.Name, b.inFlight, b.connectionShare)
	case b.isLeaving(now):
		r.reportViolation(invariantLeaving, "server %s", b.server.Name)
	default:
		return true
	}
	return false
}

// verifyNotResent checks that a request that must not be repeated has not been sent before.
func (r *Router) verifyNotResent(c *call) bool {
	if c.route.Class == ident.NotRepeated && c.mayHaveSent {
		r.reportViolation(invariantSentOnce, "request %s", c.ID)
		return false
	}
	return true
}

// verifyNotRun checks that a request reported as NotRun cannot have run. Otherwise it returns Unknown.
func (r *Router) verifyNotRun(c *call, result Result) Result {
	if _, ok := result.(NotRun); !ok || !c.mayHaveRun {
		return result
	}
	r.reportViolation(invariantNotRun, "request %s", c.ID)
	f := fault.New(fault.OutcomeUnknown, "settle request", "", "request may have run")
	return Unknown{Status: http.StatusBadGateway, Fault: f}
}
