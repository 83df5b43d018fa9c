package pool

import (
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// maxCrashes is the number of crashes under a part after which it may be started only startsAfterCrashes times more.
	maxCrashes, startsAfterCrashes = 3, 2
	// failuresAllowed is the number of failed attempts at which a job of a world fails.
	failuresAllowed = 3
)

// groupKey names the group of an attempt: for a gang, index is that of its first part.
type groupKey struct {
	job              ident.Job
	occurrence, step int
	index            int
}

// keyOfGroup returns the key of the group that a part of a step belongs to.
func keyOfGroup(p work.Part, step *work.Step) groupKey {
	key := groupKey{job: p.Job, occurrence: p.Occurrence, step: p.Step, index: p.Index}
	if step.Gang {
		key.index = 0
	}
	return key
}

// countStart checks that a part under which workers crash again and again is not started too often.
func (w *world) countStart(a work.Attempt) {
	w.t.Helper()
	if w.crashes[a.Part] < maxCrashes {
		return
	}
	w.startsSince[a.Part]++
	assert.Assert(w.t, w.startsSince[a.Part] <= startsAfterCrashes, "%v started again after %d crashes under it: %q", a, w.crashes[a.Part], w.history[a.Part.Job])
}

// countFailure counts the failure of an attempt that runs, once for its group.
func (w *world) countFailure(a work.Attempt) {
	key := keyOfGroup(a.Part, w.runs[a].step)
	if w.failures[key] == nil {
		w.failures[key] = map[ident.Attempt]bool{}
	}
	w.failures[key][a.Number] = true
}

// checkBlame checks that jobs that have failed had a cause: attempts that failed, or a part that crashes its workers. A job is
// not to be blamed for the crashes that others cause.
func (w *world) checkBlame(changes []Change) {
	w.t.Helper()
	for _, c := range changes {
		if c.Progress.State == ident.Failed {
			assert.Assert(w.t, w.culprits[c.Job] || w.hasFailed(c.Job), "%v failed without cause: %q", c.Job, w.history[c.Job])
		}
	}
}

// hasFailed reports whether a group of a job has failed as often as it may.
func (w *world) hasFailed(id ident.Job) bool {
	for key, attempts := range w.failures {
		if key.job == id && len(attempts) >= failuresAllowed {
			return true
		}
	}
	return false
}

// writeAtOnce writes changed records at once.
func (w *world) writeAtOnce(changes []Change) {
	w.t.Helper()
	w.checkBlame(changes)
	w.engine.ChangesWritten(changes)
}
