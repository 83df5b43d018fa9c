package route

import (
	"fmt"
	"net/http"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// The promises that are asserted.
const (
	promiseSentOnce    = "RequestSentOnce"
	promiseNotRun      = "NotRunDidNotRun"
	promiseConnections = "ConnectionsWithinShare"
	promiseLeaving     = "NoWorkForLeavingServers"
)

// breach logs and reports a step that is refused because it would break a promise.
func (r *Router) breach(promise, format string, args ...any) {
	detail := fmt.Sprintf(format, args...)
	r.log.Error("promise would be broken, step refused", "promise", promise, "detail", detail)
	r.cfg.OnViolation(promise, detail)
}

// mayTake asserts that the use of a slot keeps to the share of connections and goes to no leaving server.
func (r *Router) mayTake(b *backend, now time.Time) bool {
	switch {
	case b.inFlight >= b.share:
		r.breach(promiseConnections, "server %s: %d connections in use, share %d", b.server.Name, b.inFlight, b.share)
	case b.leaving(now):
		r.breach(promiseLeaving, "server %s", b.server.Name)
	default:
		return true
	}
	return false
}

// maySend asserts that a request that is not to be repeated has not been sent before.
func (r *Router) maySend(c *call) bool {
	if c.route.Class == ident.NotRepeated && c.sent {
		r.breach(promiseSentOnce, "request %s", c.ID)
		return false
	}
	return true
}

// honest asserts that a request that is told not to have run was not sent, or was refused by its servers.
func (r *Router) honest(c *call, result Result) Result {
	if _, ok := result.(NotRun); !ok || !c.mayHaveRun {
		return result
	}
	r.breach(promiseNotRun, "request %s", c.ID)
	f := fault.New(fault.OutcomeUnknown, "settle request", "", "the request may have run")
	return Unknown{Status: http.StatusBadGateway, Fault: f}
}
