package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
)

// TestInvariantViolations checks that the router refuses and reports actions that would violate an invariant.
func TestInvariantViolations(t *testing.T) {
	now := time.Now()
	notRepeated := envdoc.Route{Class: ident.NotRepeated}
	tests := []struct {
		invariant string
		allowed   func(r *Router) bool
	}{
		{invariantConnections, func(r *Router) bool { return r.verifyAcquire(&backend{inFlight: 2, connectionShare: 2}, now) }},
		{invariantLeaving, func(r *Router) bool {
			return r.verifyAcquire(&backend{connectionShare: 1, server: fleet.Server{State: ident.Leaving}}, now)
		}},
		{invariantSentOnce, func(r *Router) bool { return r.verifyNotResent(&call{route: notRepeated, mayHaveSent: true}) }},
		{invariantNotRun, func(r *Router) bool {
			return r.verifyNotRun(&call{mayHaveRun: true}, NotRun{}).Outcome() == ident.NotRun
		}},
	}
	for _, tt := range tests {
		t.Run(tt.invariant, func(t *testing.T) {
			reported := ""
			r := New(Config{OnViolation: func(invariant, _ string) { reported = invariant }})
			assert.Assert(t, !tt.allowed(r))
			assert.Equal(t, reported, tt.invariant)
		})
	}
}
