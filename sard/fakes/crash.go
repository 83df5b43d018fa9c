package fakes

import (
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// crashDelay is how long a part that crashes its worker runs before the crash.
	crashDelay = 10 * time.Millisecond
	// CrashDowntime is how long a worker does not respond after a part has crashed it.
	CrashDowntime = 3 * time.Second
	// maxCrashes is the number of crashes under a part after which it may be started only startsAfterCrashes times more,
	// and minCrashes the number from which its job may be given up.
	maxCrashes, minCrashes = 3, 2
	startsAfterCrashes     = 2
)

// crashRecord is what happened to a part that crashes the workers that start it.
type crashRecord struct {
	// crashes is the number of workers that the part has crashed, and startsSince the number of its starts after
	// maxCrashes of them.
	crashes, startsSince int
}

// crashSoon crashes the worker by a run that just started, if it is one of a part that crashes its worker.
func (w *Worker) crashSoon(r *run) {
	if part := r.attempt.Part; part.Step == 0 && r.job().CrashingParts[part.Index] {
		time.AfterFunc(crashDelay, func() { w.crashBy(r) })
	}
}

// crashBy crashes the worker by a run that still runs. It is back after CrashDowntime.
func (w *Worker) crashBy(r *run) {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if r.ended || w.runs[r.attempt.Part] != r {
		return
	}
	r.job().crashRecord(r.attempt.Part).crashes++
	former := w.Entry.WorkerProcess
	w.CrashFor(CrashDowntime)
	if w.RenamedByCrashes {
		w.fleet.former[former.Worker] = w
		delete(w.fleet.workers, former.Worker)
		w.Entry.WorkerProcess.Worker += "'"
		w.fleet.workers[w.Entry.WorkerProcess.Worker] = w
	}
	if w.fleet.OnRestart != nil {
		time.AfterFunc(CrashDowntime, func() { w.fleet.OnRestart(w, former.Worker) })
	}
}

// connect returns an error while no process of the worker runs.
func (w *Worker) connect(id ident.Worker) error {
	if time.Now().Before(w.downUntil) {
		return fault.New(fault.Unavailable, "call", string(id), "connection refused")
	}
	return nil
}

// crashRecord returns the record of one of the job's parts.
func (j *Job) crashRecord(part work.Part) *crashRecord {
	if j.crashes[part] == nil {
		j.crashes[part] = &crashRecord{}
	}
	return j.crashes[part]
}

// checkCrashes records a violation if a part that has crashed workers again and again starts too often.
func (f *Fleet) checkCrashes(w *Worker, j *Job, a work.Attempt) {
	record := j.crashRecord(a.Part)
	if record.crashes < maxCrashes {
		return
	}
	record.startsSince++
	if record.startsSince > startsAfterCrashes {
		f.addViolation("%v: attempt %d started on %s, the start %d after %d crashes under it", a.Part, a.Number,
			w.Entry.WorkerProcess.Worker, record.startsSince, record.crashes)
	}
}

// MayBeGivenUp reports whether a part of a job has failed as often as its queue settings allow, or has crashed so many
// workers that its job may be shown as failed.
func (f *Fleet) MayBeGivenUp(id ident.Job) bool {
	if f.FailuresExhausted(id) {
		return true
	}
	return f.CrashCount(id) >= minCrashes
}

// CrashCount returns the highest number of workers that a part of a job has crashed.
func (f *Fleet) CrashCount(id ident.Job) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	highest := 0
	for _, record := range f.jobs[id].crashes {
		highest = max(highest, record.crashes)
	}
	return highest
}
