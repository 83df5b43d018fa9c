package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

const (
	// failedJobsLimit is the number of distinct jobs that must fail on a worker, with no success in between, before it
	// is quarantined.
	failedJobsLimit = 2
	// initialQuarantine is the length of a worker's first quarantine. It doubles with each further one, up to
	// maxQuarantine.
	initialQuarantine = 4 * time.Second
	maxQuarantine     = 30 * time.Second
)

// health tracks the recent failures on a worker and its quarantine, in which it gets no new parts.
type health struct {
	// failedJobs holds the jobs that failed on the worker since its last success.
	failedJobs       map[ident.Job]bool
	quarantineLength time.Duration
	// quarantinedAt is when the latest quarantine for failures began, and quarantinedUntil when the quarantine ends.
	quarantinedAt, quarantinedUntil time.Time
	// refusedAt is when the worker last refused a start.
	refusedAt time.Time
	// unreachedUntil is until when the worker may be out of reach, so that its crash may go unnoticed.
	unreachedUntil time.Time
}

// healthy reports whether new parts may be placed on the worker.
func (h *health) healthy(now time.Time) bool {
	return !now.Before(h.quarantinedUntil)
}

// recordOutcome updates the health of a node after an attempt of a group has ended there.
func (e *Engine) recordOutcome(n *node, g *group, end End, now time.Time) {
	switch end {
	case Done:
		n.health = health{}
	case Failed:
		n.health.recordFailure(g.job.ID, g.startedAt, now)
	case Refused:
		n.health.refusedAt = now
	}
}

// recordFailure records that an attempt of a job, which was placed at startedAt, failed on the worker. It quarantines the worker
// once failedJobsLimit jobs have. Attempts that were placed before the latest quarantine fail by what that one was for.
func (h *health) recordFailure(job ident.Job, startedAt, now time.Time) {
	if h.failedJobs == nil {
		h.failedJobs = map[ident.Job]bool{}
	}
	h.failedJobs[job] = true
	if len(h.failedJobs) < failedJobsLimit || !startedAt.After(h.quarantinedAt) {
		return
	}
	h.quarantineLength = min(max(2*h.quarantineLength, initialQuarantine), maxQuarantine)
	h.quarantinedAt, h.quarantinedUntil = now, now.Add(h.quarantineLength)
}

// SuspendWorker places no new parts on a worker that can be reached for at least the given time, unless they have been held
// back for as long as they may.
func (e *Engine) SuspendWorker(id ident.Worker, now time.Time, pause time.Duration) {
	if n := e.nodesByID[id]; n != nil {
		n.health.quarantinedUntil = latest(n.health.quarantinedUntil, now.Add(pause))
	}
}

// SuspendUnreached suspends a worker that could not be reached. Suspects keep off it for all of the given time.
func (e *Engine) SuspendUnreached(id ident.Worker, now time.Time, pause time.Duration) {
	e.SuspendWorker(id, now, pause)
	if n := e.nodesByID[id]; n != nil {
		n.health.unreachedUntil = latest(n.health.unreachedUntil, now.Add(pause))
	}
}

// latest returns the later of two times.
func latest(a, b time.Time) time.Time {
	if a.Before(b) {
		return b
	}
	return a
}
