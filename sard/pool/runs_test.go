package pool

import (
	"fmt"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// run is what a worker runs, whatever the engine knows of it.
type run struct {
	attempt work.Attempt
	process work.WorkerProcess
	step    *work.Step
	// began is when the run began, and length how long it takes; 0 if it has no end.
	began  time.Time
	length time.Duration
}

// begin begins the run of a start that has reached its worker.
func (w *world) begin(s Start) {
	delete(w.ordered, s.Attempt)
	w.note(s.Attempt, "starts on "+string(s.Worker.Worker))
	if j := w.engine.jobs[s.Attempt.Part.Job]; j != nil {
		w.runs[s.Attempt] = &run{attempt: s.Attempt, process: s.Worker, step: &j.Steps[s.Attempt.Part.Step], began: w.now}
	}
	w.countStart(s.Attempt)
}

// refuse lets a worker refuse a start.
func (w *world) refuse(s Start) {
	delete(w.runs, s.Attempt)
	w.ordered[s.Attempt] = true
	w.note(s.Attempt, "refused by "+string(s.Worker.Worker))
}

// end ends the run of an attempt, and tells the engine how.
func (w *world) end(a work.Attempt, how End) {
	if w.ordered[a] || w.runs[a] != nil {
		w.note(a, how.String())
	}
	if how == Failed && w.runs[a] != nil {
		w.countFailure(a)
	}
	delete(w.runs, a)
	delete(w.ordered, a)
	w.engine.AttemptEnded(a, how, "", w.now)
}

// endRunsOf ends what runs in a worker process.
func (w *world) endRunsOf(process work.WorkerProcess) {
	for a, r := range w.runs {
		if r.process == process {
			delete(w.runs, a)
			w.note(a, "ends with its worker")
		}
	}
}

// note adds what has happened to an attempt to the history of its job.
func (w *world) note(a work.Attempt, what string) {
	id := a.Part.Job
	w.history[id] = append(w.history[id], fmt.Sprintf("%v %d/%d %s", w.now.Sub(w.began), a.Part.Index, a.Number, what))
}

// running reports whether a worker runs a part of a job.
func (w *world) running(id ident.Job) bool {
	for a := range w.runs {
		if a.Part.Job == id {
			return true
		}
	}
	return false
}

// groupRuns reports whether a worker runs a part of a group.
func (w *world) groupRuns(g *group) bool {
	for i := range g.parts {
		if w.runs[g.parts[i].attemptID()] != nil {
			return true
		}
	}
	return false
}

// usedOn returns what the runs on each worker need together.
func (w *world) usedOn() map[ident.Worker]work.Resources {
	used := map[ident.Worker]work.Resources{}
	for _, r := range w.runs {
		used[r.process.Worker] = used[r.process.Worker].Plus(r.step.Demand())
	}
	return used
}

// takenOn returns what the runs on each worker need together, and the attempts that are on their way there or may run there by
// what is known, as their start or stop has no answer.
func (w *world) takenOn() map[ident.Worker]work.Resources {
	taken := w.usedOn()
	w.engine.ForEachAttempt(func(a work.Attempt, process work.WorkerProcess) {
		if w.runs[a] == nil {
			taken[process.Worker] = taken[process.Worker].Plus(w.demandOf(a))
		}
	})
	return taken
}

// demandOf returns what an attempt needs on its worker.
func (w *world) demandOf(a work.Attempt) work.Resources {
	return w.engine.jobs[a.Part.Job].Steps[a.Part.Step].Demand()
}

// isOrdered reports whether the start of a group is on its way, or was refused and the engine does not know.
func (w *world) isOrdered(g *group) bool {
	return slices.ContainsFunc(g.parts, func(p part) bool { return w.ordered[p.attemptID()] })
}

// orderedOn returns what the parts of a group need whose starts are on their way to a node, or were refused there.
func (w *world) orderedOn(g *group, n *node) work.Resources {
	var sum work.Resources
	for i := range g.parts {
		if p := &g.parts[i]; p.node == n && w.ordered[p.attemptID()] {
			sum = sum.Plus(g.demand())
		}
	}
	return sum
}
