package fakes

import (
	"github.com/sardineline/sardineline/sard/ident"
)

// CouldRun reports whether nothing of an incomplete job runs, though the given workers have the accelerators for another
// attempt of its first step twice over, and under half of them are in use.
func (f *Fleet) CouldRun(id ident.Job, workers []ident.Worker) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	j := f.jobs[id]
	step := &j.Spec.Steps[0]
	if j.completed() || f.runsOf(id) > 0 {
		return false
	}
	var used, total, slots ident.Accelerators
	for _, name := range workers {
		w := f.workers[name]
		free := w.Entry.Capacity.Accelerators
		for _, r := range w.runs {
			free -= r.step().Need.Accelerators
		}
		total += w.Entry.Capacity.Accelerators
		used += w.Entry.Capacity.Accelerators - free
		slots += free / step.Need.Accelerators
	}
	needed := 1
	if step.Gang {
		needed = step.Parts
	}
	return int(slots) >= 2*needed && 2*used < total
}

// runsOf returns the number of runs of a job's parts.
func (f *Fleet) runsOf(id ident.Job) int {
	count := 0
	for part, runs := range f.runCounts {
		if part.Job == id {
			count += runs
		}
	}
	return count
}
