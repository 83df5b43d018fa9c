package domain

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
)

// parseWorkers returns a worker for each of the names, which are separated by spaces.
func parseWorkers(names string) []fleet.Worker {
	var workers []fleet.Worker
	for _, name := range strings.Fields(names) {
		workers = append(workers, fleet.Worker{Name: ident.Worker(name), Accelerators: 8})
	}
	return workers
}

// formatWorkers returns the names of workers separated by spaces, with a "-" before those that are leaving.
func formatWorkers(workers []fleet.Worker) string {
	var words []string
	for _, w := range workers {
		word := string(w.Name)
		if w.State == ident.Leaving {
			word = "-" + word
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}

// TestWorkerHistoryKeepsMissingWorkersInPlace checks the merged list after an update, and that a worker that is listed
// again is no longer leaving.
func TestWorkerHistoryKeepsMissingWorkersInPlace(t *testing.T) {
	tests := []struct {
		name, before, after string
		wait                time.Duration
		want                string
	}{
		{"none missing", "a b c", "a b c", time.Minute, "a b c"},
		{"one missing", "a b c", "a c", time.Minute, "a -b c"},
		{"first missing", "a b c", "b c", time.Minute, "-a b c"},
		{"two adjacent workers missing", "a b c d", "a d", time.Minute, "a -b -c d"},
		{"missing too long", "a b c", "a c", forgetWorkerAfter + time.Minute, "a c"},
		{"replaced", "a b c", "a x c", time.Minute, "a -b x c"},
		{"all missing", "a b", "", time.Minute, "-a -b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var history workerHistory
			start := time.Unix(0, 0)
			history.merge(start, parseWorkers(tt.before))
			assert.Equal(t, formatWorkers(history.merge(start.Add(tt.wait), parseWorkers(tt.after))), tt.want)
			assert.Equal(t, formatWorkers(history.merge(start.Add(tt.wait+time.Second), parseWorkers(tt.before))[:1]), "a")
		})
	}
}
