package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

const (
	// failureLimit is how many different jobs in a row fail on a worker before it is left alone.
	failureLimit = 2
	// firstQuarantine is how long a failing worker is left alone; it doubles up to maxQuarantine.
	firstQuarantine = 4 * time.Second
	maxQuarantine   = 30 * time.Second
)

// health tells how a worker has done lately.
type health struct {
	// failedJobs are the jobs that failed there since the last success.
	failedJobs map[ident.Job]bool
	quarantine time.Duration
	// until is the end of the quarantine.
	until time.Time
}

// well tells whether new parts may be given to the worker.
func (h *health) well(now time.Time) bool {
	return !now.Before(h.until)
}

// judge notes how an attempt ended on a worker.
func (e *Engine) judge(n *node, g *group, how End, now time.Time) {
	switch how {
	case Done:
		n.health = health{}
	case Failed:
		n.health.fail(g.job.ID, now)
	}
}

func (h *health) fail(job ident.Job, now time.Time) {
	if h.failedJobs == nil {
		h.failedJobs = map[ident.Job]bool{}
	}
	h.failedJobs[job] = true
	if len(h.failedJobs) < failureLimit {
		return
	}
	h.quarantine = min(max(2*h.quarantine, firstQuarantine), maxQuarantine)
	h.until = now.Add(h.quarantine)
}

// SuspendWorker leaves a worker alone for a while.
func (e *Engine) SuspendWorker(id ident.Worker, now time.Time, pause time.Duration) {
	if n := e.byID[id]; n != nil && n.health.until.Before(now.Add(pause)) {
		n.health.until = now.Add(pause)
	}
}
