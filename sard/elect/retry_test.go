package elect

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestTakeoverAfterFailedAcquisition guards against candidates that let a whole term pass again when the store did not accept
// their acquisition, though it has shown that the lease isn't renewed.
func TestTakeoverAfterFailedAcquisition(t *testing.T) {
	tests := []struct {
		name     string
		failures int64
		// limit bounds the time from the end of the term until the candidate holds the lease.
		limit time.Duration
	}{
		{"one failure", 1, 400 * time.Millisecond},
		{"two failures", 2, 800 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithFixture(t, func(f *fixture) {
				first := f.start("a", "1")
				time.Sleep(time.Second)
				second := f.start("b", "1")
				time.Sleep(time.Second)
				second.store.refusedWrites.Store(test.failures)
				first.store.unavailable.Store(true)
				first.stop()
				time.Sleep(DefaultTerm + test.limit)
				assert.Assert(f.t, second.mayAct())
			})
		})
	}
}
