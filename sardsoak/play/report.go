package play

import (
	"fmt"
	"strings"
	"sync/atomic"
	"time"

	"github.com/sardineline/sardineline/sardsoak/crowd"
)

// counters counts the events of a run.
type counters struct {
	jobs, accepted, refused, unknown atomic.Int64
	completed, failed, cancelled     atomic.Int64
	calls, faults, configChanges     atomic.Int64
	// peakMemoryBytes and peakDescriptors are the most that an instance held.
	peakMemoryBytes, peakDescriptors atomic.Int64
}

// noteUsage takes what an instance holds into account.
func (c *counters) noteUsage(u crowd.Usage) {
	c.peakMemoryBytes.Store(max(c.peakMemoryBytes.Load(), u.MemoryBytes()))
	c.peakDescriptors.Store(max(c.peakDescriptors.Load(), int64(u.Descriptors)))
}

// countFinalState counts the final state of a job.
func (c *counters) countFinalState(state string) {
	switch state {
	case stateCompleted:
		c.completed.Add(1)
	case stateFailed:
		c.failed.Add(1)
	case stateCancelled:
		c.cancelled.Add(1)
	}
}

// Report is the result of a run, with its counts and the violations found.
type Report struct {
	Seed    uint64
	Elapsed time.Duration
	// Jobs is the number of submitted jobs, and Accepted, Refused and Unknown the numbers by outcome of the submission.
	Jobs, Accepted, Refused, Unknown int64
	// Completed, Failed and Cancelled are the numbers of accepted jobs by final state.
	Completed, Failed, Cancelled int64
	// Calls, Faults, ConfigChanges and PartStarts are the numbers of calls to instances, injected faults, changes of the
	// configuration and starts of parts.
	Calls, Faults, ConfigChanges int64
	PartStarts                   int
	// PeakMemoryBytes and PeakDescriptors are the most that an instance held.
	PeakMemoryBytes, PeakDescriptors int64
	// Violations describes each violation of an invariant.
	Violations []string
}

// report returns the report of a run that started at the given time.
func (h *harness) report(started time.Time) Report {
	c := &h.counters
	return Report{
		Seed: h.config.Seed, Elapsed: time.Since(started).Truncate(time.Millisecond),
		Jobs: c.jobs.Load(), Accepted: c.accepted.Load(), Refused: c.refused.Load(), Unknown: c.unknown.Load(),
		Completed: c.completed.Load(), Failed: c.failed.Load(), Cancelled: c.cancelled.Load(),
		Calls: c.calls.Load(), Faults: c.faults.Load(), ConfigChanges: c.configChanges.Load(), PartStarts: h.fleet.StartCount(),
		PeakMemoryBytes: c.peakMemoryBytes.Load(), PeakDescriptors: c.peakDescriptors.Load(), Violations: h.allViolations(),
	}
}

// String formats the report as one line, followed by a line for each violation.
func (r Report) String() string {
	var b strings.Builder
	_, _ = fmt.Fprintf(&b, "seed %d: %v, %d faults, %d configuration changes, %d calls, %d jobs (%d accepted, %d refused, %d unknown), "+
		"%d completed, %d failed, %d cancelled, %d starts, at most %d MiB and %d descriptors, %d violations",
		r.Seed, r.Elapsed, r.Faults, r.ConfigChanges, r.Calls, r.Jobs, r.Accepted, r.Refused, r.Unknown,
		r.Completed, r.Failed, r.Cancelled, r.PartStarts, r.PeakMemoryBytes>>20, r.PeakDescriptors, len(r.Violations))
	for _, violation := range r.Violations {
		_, _ = fmt.Fprintf(&b, "\n\t%s", violation)
	}
	return b.String()
}
