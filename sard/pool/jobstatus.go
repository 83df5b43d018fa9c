package pool

import "github.com/sardineline/sardineline/sard/ident"

// JobStatus is the state of an open job.
type JobStatus struct {
	State ident.JobState
	// Attempts is the number of the job's parts that may be running.
	Attempts int
}

// JobStatus returns the state of a job, and whether it is open.
func (e *Engine) JobStatus(id ident.Job) (status JobStatus, open bool) {
	j := e.jobs[id]
	if j == nil {
		return JobStatus{}, false
	}
	return JobStatus{State: j.state, Attempts: j.attachedParts()}, true
}
