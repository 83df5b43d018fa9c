package route

import (
	"testing"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// TestCircuitBreaker checks when a failing server gets no requests and which requests may probe it.
func TestCircuitBreaker(t *testing.T) {
	start := time.Unix(0, 0)
	tests := []struct {
		name     string
		failures int
		after    time.Duration
		class    ident.RequestClass
		want     bool
	}{
		{"below the failure threshold", breakerFailureThreshold - 1, 0, ident.Idempotent, true},
		{"open", breakerFailureThreshold, 0, ident.Idempotent, false},
		{"probe is due", breakerFailureThreshold, 2 * breakerMinBackoff, ident.Idempotent, true},
		{"early probe by a NotRepeated request", breakerFailureThreshold, 2 * breakerMinBackoff, ident.NotRepeated, false},
		{"late probe by a NotRepeated request", breakerFailureThreshold, 2*breakerMinBackoff + breakerNotRepeatedDelay, ident.NotRepeated, true},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var b circuitBreaker
			for range tt.failures {
				b.recordFailure(start)
			}
			if got := b.allows(start.Add(tt.after), tt.class); got != tt.want {
				t.Errorf("allows: %v", got)
			}
		})
	}
	var b circuitBreaker
	for range breakerFailureThreshold {
		b.recordFailure(start)
	}
	later := start.Add(2 * breakerMinBackoff)
	b.recordStart(later)
	if b.allows(later, ident.Idempotent) {
		t.Error("a second probe is allowed while one is in progress")
	}
	b.recordSuccess()
	if !b.allows(later, ident.NotRepeated) {
		t.Error("requests are not allowed after a successful probe")
	}
}
