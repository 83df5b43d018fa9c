package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/work"
)

// maxOpenGroups limits the number of groups in a job's occurrences that are not complete, so that the job's record fits
// in one row of the store. A single occurrence may exceed it.
const maxOpenGroups = 1000

// createDueOccurrences creates the occurrences of a job that are due. An occurrence that would make the job's record
// too large is delayed until earlier ones are complete.
func (e *Engine) createDueOccurrences(j *job, now time.Time, nowMs int64) {
	for len(j.occurrences) < j.Repeat.Occurrences() && j.mayCreateOccurrence() {
		number := len(j.occurrences)
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

// mayCreateOccurrence reports whether the groups of another occurrence fit within maxOpenGroups.
func (j *job) mayCreateOccurrence() bool {
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
	for _, number := range p.Complete {
		known = max(known, number+1)
	}
	for _, g := range p.Groups {
		known = max(known, g.Occurrence+1)
	}
	for len(j.occurrences) < min(known, j.Repeat.Occurrences()) {
		j.occurrences = append(j.occurrences, newOccurrence(j, len(j.occurrences), now))
	}
}
