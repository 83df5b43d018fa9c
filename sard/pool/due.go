package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/work"
)

// maxOpenGroups bounds the groups of a job's open occurrences, so that the job's record fits a row of the store. One
// occurrence may be open whatever its size.
const maxOpenGroups = 1000

// wake creates the occurrences that are due. Those that would make the job's record too large wait for earlier ones.
func (e *Engine) wake(j *job, now time.Time, nowMs int64) {
	for len(j.occurrences) < j.Repeat.Occurrences() && j.mayOpen() {
		number := len(j.occurrences)
		due := j.acceptedAt
		if dueMs := j.Repeat.DueMs(number); dueMs > 0 {
			if dueMs > nowMs {
				return
			}
			due = now.Add(-min(time.Duration(nowMs-dueMs)*time.Millisecond, maxAge))
		}
		j.occurrences = append(j.occurrences, newOccurrence(j, number, due))
	}
}

// mayOpen tells whether there is room for another open occurrence.
func (j *job) mayOpen() bool {
	open := 0
	for _, o := range j.occurrences {
		if !o.complete() {
			open++
		}
	}
	return open == 0 || (open+1)*j.groupsPerOccurrence() <= maxOpenGroups
}

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

// reopen creates the occurrences that a record tells of, also those that are not due yet by this instance's clock.
func (j *job) reopen(p *work.Progress, now time.Time) {
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
