package pool

import (
	"slices"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// maxWriteTime is how long the write of changed records takes at most.
const maxWriteTime = 300

// records is what the store holds of the jobs, and what is being written.
type records struct {
	// specs holds the accepted jobs in their order, and progress their latest records, encoded.
	specs    []*work.Job
	progress map[ident.Job][]byte
	// unwritten holds the changes of the latest round, and writes those that are being written, oldest first.
	unwritten []Change
	writes    []recordWrite
}

// recordWrite is a write of changed records, with the starts that wait for it.
type recordWrite struct {
	due     time.Time
	changes []Change
	starts  []Start
}

// accept stores an accepted job.
func (r *records) accept(spec *work.Job) {
	r.specs = append(r.specs, spec)
}

// store stores changed records.
func (f *faultyWorld) store(changes []Change) {
	f.t.Helper()
	if f.progress == nil {
		f.progress = map[ident.Job][]byte{}
	}
	for _, c := range changes {
		value, err := work.Encode(c.Progress)
		assert.NilError(f.t, err)
		f.progress[c.Job] = value
	}
}

// recordLater takes the changes of a round, which deliver writes.
func (f *faultyWorld) recordLater(changes []Change) {
	f.checkBlame(changes)
	f.unwritten = append(f.unwritten, changes...)
}

// deliver lets the decisions of the latest round take their course: stops are sent at once, starts when they are recorded.
func (f *faultyWorld) deliver() {
	starts, stops := f.starts, f.stops
	f.starts, f.stops = nil, nil
	for _, s := range starts {
		f.ordered[s.Attempt] = true
	}
	due := f.now.Add(f.between(0, maxWriteTime))
	if last := len(f.writes) - 1; last >= 0 && f.writes[last].due.After(due) {
		due = f.writes[last].due
	}
	f.writes = append(f.writes, recordWrite{due: due, changes: f.unwritten, starts: starts})
	f.unwritten = nil
	for _, s := range stops {
		f.sendStop(s)
	}
	for len(f.writes) > 0 && !f.writes[0].due.After(f.now) {
		w := f.writes[0]
		f.writes = f.writes[1:]
		f.store(w.changes)
		f.engine.ChangesWritten(w.changes)
		for _, s := range w.starts {
			f.send(s)
		}
	}
}

// send sends a start, unless it is not meant to be sent any more or the worker has changed since.
func (f *faultyWorld) send(s Start) {
	n := f.engine.nodesByID[s.Worker.Worker]
	switch {
	case !f.engine.ShouldRun(s.Attempt, s.Worker.Worker):
		delete(f.ordered, s.Attempt)
		return
	case !n.Accepting || !f.engine.HasCapacity(s.Attempt, func(a work.Attempt) bool { return f.sent[a].StartedMs == 0 && f.ordered[a] }):
		f.note(s.Attempt, "not sent to "+string(s.Worker.Worker))
		f.tell(s.Attempt, Refused)
		return
	}
	f.sent[s.Attempt], f.ordered[s.Attempt] = s.Worker, true
	generation, sentAt := f.generation, f.now
	f.later(f.between(0, 100), func() {
		if generation == f.generation {
			f.arrive(s, sentAt)
		}
	})
}

// arrive lets a start reach its worker.
func (f *faultyWorld) arrive(s Start, sentAt time.Time) {
	id := s.Worker.Worker
	switch {
	case !f.engine.MayRun(s.Attempt, id):
		delete(f.ordered, s.Attempt)
	case f.away[id] || f.oneIn(40):
		f.loseStart(s)
	case f.engine.nodesByID[id].WorkerProcess != s.Worker:
		f.note(s.Attempt, "refused by another process")
		f.tell(s.Attempt, Refused)
	default:
		f.run(s, sentAt)
	}
}

// loseStart lets a start get no answer. It has been executed, and the run lasts until its lease expires, or it has not.
func (f *faultyWorld) loseStart(s Start) {
	f.note(s.Attempt, "no answer from "+string(s.Worker.Worker))
	delete(f.ordered, s.Attempt)
	f.silent[s.Attempt] = true
	if !f.away[s.Worker.Worker] && f.oneIn(2) {
		f.begin(s)
	}
	f.later(silence, func() { f.finish(s.Attempt, Lost) })
}

// run lets a worker execute a start, or refuse it.
func (f *faultyWorld) run(s Start, sentAt time.Time) {
	id := s.Worker.Worker
	if f.refusing[id] || f.failing[id] && f.oneIn(2) {
		f.refuse(s)
		f.engine.SuspendWorker(id, f.now, 2*time.Second)
		f.later(f.between(0, 100), func() { f.tell(s.Attempt, Refused) })
		return
	}
	f.begin(s)
	f.checkCapacity(s, sentAt)
	r := f.runs[s.Attempt]
	if r == nil {
		return
	}
	index, deadly := f.deadlyPart[s.Attempt.Part.Job]
	switch {
	case deadly && index == s.Attempt.Part.Index:
		f.later(f.between(10, 400), func() { f.crashBy(s) })
	case f.failing[id]:
		f.later(f.between(0, 400), func() { f.finish(s.Attempt, Failed) })
	default:
		f.later(Probation, func() { f.survive(s.Attempt) })
		if !r.step.Lasting {
			r.length = f.between(200, 12000)
			f.later(r.length, func() { f.finish(s.Attempt, Done) })
		}
	}
}

// checkCapacity checks that a worker that has not changed since a start was sent there has the capacity for all that it runs.
func (f *faultyWorld) checkCapacity(s Start, sentAt time.Time) {
	f.t.Helper()
	id := s.Worker.Worker
	if at := f.resizedAt[id]; at.IsZero() || at.Before(sentAt) {
		used := f.usedOn()[id]
		assert.Assert(f.t, used.Fits(f.engine.nodesByID[id].Capacity), "%s runs %v after the start of %v", id, used, s.Attempt)
	}
}

// survive tells the engine that an attempt has survived its probation, if it still runs and its worker can be heard.
func (f *faultyWorld) survive(a work.Attempt) {
	if r := f.runs[a]; r != nil && !f.away[r.process.Worker] && !f.silent[a] {
		f.engine.AttemptSurvived(a)
	}
}

// sendStop sends a stop. A start that was not sent yet is not sent any more. The stop is executed and answered, executed and
// not answered, or neither.
func (f *faultyWorld) sendStop(s Stop) {
	a := s.Attempt
	if f.ordered[a] && f.sent[a].StartedMs == 0 {
		f.tell(a, Stopped)
		return
	}
	execute := func() { f.listEnd(a, Stopped) }
	switch after := f.between(50, 400); {
	case !f.oneIn(10):
		f.later(after, func() { f.finish(a, Stopped) })
	case f.oneIn(2):
		f.later(after, execute)
		f.later(silence, func() { f.tell(a, Stopped) })
	default:
		f.later(silence, func() { f.finish(a, Stopped) })
	}
}

// listEnd ends a run, whose worker lists the end.
func (f *faultyWorld) listEnd(a work.Attempt, how End) {
	r := f.runs[a]
	if r == nil {
		return
	}
	f.note(a, how.String())
	if how == Failed {
		f.countFailure(a)
	}
	f.ends[a] = endedRun{r.process, how}
	delete(f.runs, a)
}

// finish ends the run of an attempt, if it still runs, and tells the engine once its worker can be heard. Nothing is heard of
// a run that has ended with its worker.
func (f *faultyWorld) finish(a work.Attempt, how End) {
	process := f.sent[a]
	if f.away[process.Worker] && how == Stopped {
		f.later(worldStep, func() { f.finish(a, how) })
		return
	}
	if f.runs[a] == nil && (how == Done || how == Failed) {
		return
	}
	f.listEnd(a, how)
	if ended, known := f.ends[a]; known {
		f.tellWhenBack(a, ended)
		return
	}
	f.tell(a, how)
}

// tellWhenBack tells the engine of an end that its worker lists, once the worker can be heard, unless its process is gone.
func (f *faultyWorld) tellWhenBack(a work.Attempt, ended endedRun) {
	n := f.engine.nodesByID[ended.process.Worker]
	switch {
	case n == nil || n.WorkerProcess != ended.process || f.gone[ended.process]:
	case f.away[ended.process.Worker]:
		f.later(worldStep, func() { f.tellWhenBack(a, ended) })
	default:
		f.tell(a, ended.how)
	}
}

// tell tells the engine how an attempt has ended.
func (f *faultyWorld) tell(a work.Attempt, how End) {
	if f.ordered[a] || f.silent[a] {
		f.note(a, how.String())
	}
	delete(f.ordered, a)
	delete(f.silent, a)
	f.engine.AttemptEnded(a, how, "", f.now)
}

// drop forgets the starts that wait for their record, and returns the writes in flight.
func (r *records) drop() []recordWrite {
	writes := slices.Clone(r.writes)
	if len(r.unwritten) > 0 {
		writes = append(writes, recordWrite{changes: r.unwritten})
	}
	r.writes, r.unwritten = nil, nil
	return writes
}
