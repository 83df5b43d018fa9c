package route

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
)

// TestBreaches asks for steps that would break a promise and checks that they are refused and reported.
func TestBreaches(t *testing.T) {
	now := time.Now()
	once := envdoc.Route{Class: ident.NotRepeated}
	tests := []struct {
		promise string
		allowed func(r *Router) bool
	}{
		{promiseConnections, func(r *Router) bool { return r.mayTake(&backend{inFlight: 2, share: 2}, now) }},
		{promiseLeaving, func(r *Router) bool {
			return r.mayTake(&backend{share: 1, server: fleet.Server{State: ident.Leaving}}, now)
		}},
		{promiseSentOnce, func(r *Router) bool { return r.maySend(&call{route: once, sent: true}) }},
		{promiseNotRun, func(r *Router) bool {
			return r.honest(&call{mayHaveRun: true}, NotRun{}).Outcome() == ident.NotRun
		}},
	}
	for _, tt := range tests {
		t.Run(tt.promise, func(t *testing.T) {
			reported := ""
			r := New(Config{OnViolation: func(promise, _ string) { reported = promise }})
			assert.Assert(t, !tt.allowed(r))
			assert.Equal(t, reported, tt.promise)
		})
	}
}
