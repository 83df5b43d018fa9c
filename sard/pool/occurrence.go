package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/work"
)

const (
	// maxOpenGroups limits the number of groups in a job's occurrences that are not complete, so that the job's record stays
	// small. A single occurrence may exceed it.
	maxOpenGroups = 1000
	// maxKeptOccurrences limits the occurrences from the first one that is not complete on, for the same reason.
	maxKeptOccurrences = 4096
)

// createdOccurrences returns the number of occurrences that have become due, which is that of the next one.
func (j *job) createdOccurrences() int {
	return j.completeBelow + len(j.occurrences)
}

// dropComplete drops the first occurrences that are complete and of which no part may run, but for the last one that was
// created.
func (j *job) dropComplete() {
	for len(j.occurrences) > 1 && j.occurrences[0].complete() && !j.occurrences[0].attached() {
		j.occurrences[0] = nil
		j.occurrences = j.occurrences[1:]
		j.completeBelow++
	}
}

// attached reports whether a part of the occurrence may be running.
func (o *occurrence) attached() bool {
	for s := range o.steps {
		for _, g := range o.steps[s].groups {
			if g.attachedParts() > 0 {
				return true
			}
		}
	}
	return false
}

// createDueOccurrences creates the occurrences of a job that are due. An occurrence that would make the job's record
// too large is delayed until earlier ones are complete.
func (e *Engine) createDueOccurrences(j *job, now time.Time, nowMs int64) {
	j.dropComplete()
	for j.createdOccurrences() < j.Repeat.Occurrences() && j.mayCreateOccurrence() {
		number := j.createdOccurrences()
		due := j.acceptedAt
		if dueMs := j.Repeat.DueMs(number); dueMs > 0 {
			if dueMs > nowMs {
				return
			}
			due = now.Add(-min(time.Duration(nowMs-dueMs)*time.Millisecond, maxRecordedAge))
		}
		j.occurrences = append(j.occurrences, newOccurrence(j, number, due))
	}
}

// mayCreateOccurrence reports whether another occurrence fits within maxKeptOccurrences, and its groups within maxOpenGroups.
func (j *job) mayCreateOccurrence() bool {
	if len(j.occurrences) >= maxKeptOccurrences {
		return false
	}
	open := 0
	for _, o := range j.occurrences {
		if !o.complete() {
			open++
		}
	}
	return open == 0 || (open+1)*j.groupsPerOccurrence() <= maxOpenGroups
}

// groupsPerOccurrence returns the number of groups in one occurrence of the job.
func (j *job) groupsPerOccurrence() int {
	count := 0
	for i := range j.Steps {
		if j.Steps[i].Gang {
			count++
			continue
		}
		count += j.Steps[i].Parts
	}
	return count
}

// restoreOccurrences creates the occurrences that appear in a job's record, including those that are not yet due by
// this instance's clock.
func (j *job) restoreOccurrences(p *work.Progress, now time.Time) {
	known := 0
	if j.completeBelow > 0 {
		// The last occurrence that was created is kept.
		known = j.completeBelow + 1
	}
	for _, number := range p.Complete {
		known = max(known, number+1)
	}
	for _, g := range p.Groups {
		known = max(known, g.Occurrence+1)
	}
	for j.createdOccurrences() < min(known, j.Repeat.Occurrences()) {
		j.occurrences = append(j.occurrences, newOccurrence(j, j.createdOccurrences(), now))
	}
}
