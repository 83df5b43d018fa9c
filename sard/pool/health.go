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
	// stallLimit is how long an attempt may show no progress.
	stallLimit = 3500 * time.Millisecond
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

// Distrust leaves a worker alone for a while.
func (e *Engine) Distrust(id ident.Worker, now time.Time, pause time.Duration) {
	if n := e.byID[id]; n != nil && n.health.until.Before(now.Add(pause)) {
		n.health.until = now.Add(pause)
	}
}

// watch follows the progress of an attempt.
type watch struct {
	percent  int
	advanced time.Time
	// seen tells that progress was ever reported.
	seen bool
}

// see notes a report of progress.
func (w *watch) see(percent int, now time.Time) {
	if !w.seen || percent != w.percent {
		*w = watch{percent: percent, advanced: now, seen: true}
	}
}

// stalled tells whether an attempt has shown no progress for too long.
func (w *watch) stalled(now time.Time) bool {
	return w.seen && now.Sub(w.advanced) > stallLimit
}
