package play

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"
)

// tally counts what happens in a run.
type tally struct {
	jobs, accepted, refused, unknown atomic.Int64
	completed, failed, cancelled     atomic.Int64
	calls, troubles, changes         atomic.Int64
}

// end counts a last state.
func (t *tally) end(state string) {
	switch state {
	case stateCompleted:
		t.completed.Add(1)
	case stateFailed:
		t.failed.Add(1)
	case stateCancelled:
		t.cancelled.Add(1)
	}
}

// Report is what came of a run.
type Report struct {
	Seed    uint64
	Elapsed time.Duration
	// Jobs were handed in; Accepted, Refused and Unknown tell with what answer.
	Jobs, Accepted, Refused, Unknown int64
	// Completed, Failed and Cancelled are the last states of accepted jobs.
	Completed, Failed, Cancelled int64
	// Calls of clients, Faults, ConfigChanges of the configuration and Starts of parts were counted.
	Calls, Faults, ConfigChanges int64
	PartStarts                   int
	// Violations are the promises that were broken.
	Violations []string
}

func (w *world) report(started time.Time) Report {
	t := &w.tally
	return Report{
		Seed: w.config.Seed, Elapsed: time.Since(started).Truncate(time.Millisecond),
		Jobs: t.jobs.Load(), Accepted: t.accepted.Load(), Refused: t.refused.Load(), Unknown: t.unknown.Load(),
		Completed: t.completed.Load(), Failed: t.failed.Load(), Cancelled: t.cancelled.Load(),
		Calls: t.calls.Load(), Faults: t.troubles.Load(), ConfigChanges: t.changes.Load(), PartStarts: w.fleet.StartCount(), Violations: w.broken(),
	}
}

// String formats the report as one line, and one more for each broken promise.
func (r Report) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "seed %d: %v, %d troubles, %d changes, %d calls, %d jobs (%d accepted, %d refused, %d unknown), "+
		"%d completed, %d failed, %d cancelled, %d starts, %d promises broken",
		r.Seed, r.Elapsed, r.Faults, r.ConfigChanges, r.Calls, r.Jobs, r.Accepted, r.Refused, r.Unknown,
		r.Completed, r.Failed, r.Cancelled, r.PartStarts, len(r.Violations))
	for _, breach := range r.Violations {
		_, _ = fmt.Fprintf(&b, "\n\t%s", breach)
	}
	return b.String()
}
