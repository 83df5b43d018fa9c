package pool

import (
	"cmp"
	"slices"

	"github.com/sardineline/sardineline/sard/ident"
)

// An open job has a way on: each of its groups that is not done waits to be placed, or has a part that may run, whose end the scheduler
// learns of at the latest when the lease of its worker expires. A job without one would stay open for good, which is a defect.

// StuckReason tells why a job has no way on.
type StuckReason string

// Reasons for which a job has no way on.
const (
	// StuckGroup means that a group is placed, or is to be placed again after its parts have ended, and none of its parts may run.
	StuckGroup StuckReason = "a group awaits the end of parts that do not run"
	// StuckWaiting means that a group waits to be placed while one of its parts may run.
	StuckWaiting StuckReason = "a group waits although a part of it may run"
	// StuckComplete means that all parts are done and the job is open.
	StuckComplete StuckReason = "all parts are done and the job is open"
)

// StuckJob is a job without a way on.
type StuckJob struct {
	Job    ident.Job
	Reason StuckReason
}

// Stuck returns the jobs without a way on, in the order of their IDs. It is empty unless the engine has a defect.
func (e *Engine) Stuck() []StuckJob {
	var found []StuckJob
	for id, j := range e.jobs {
		if reason := j.stuck(); reason != "" {
			found = append(found, StuckJob{Job: id, Reason: reason})
		}
	}
	slices.SortFunc(found, func(a, b StuckJob) int { return cmp.Compare(a.Job, b.Job) })
	return found
}

// stuck returns why the job has no way on, or an empty reason.
func (j *job) stuck() StuckReason {
	if j.state.Terminal() {
		return ""
	}
	if j.complete() {
		return StuckComplete
	}
	reason := StuckReason("")
	j.forEachGroup(func(g *group) {
		switch attached := g.attachedParts() > 0; {
		case (g.phase == placed || g.phase == ending) && !attached:
			reason = StuckGroup
		case g.phase == waiting && attached:
			reason = StuckWaiting
		}
	})
	return reason
}
