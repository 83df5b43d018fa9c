package pool

import (
	"cmp"
	"time"

	"github.com/sardineline/sardineline/sard/admit"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// urgencyClass is the primary sort key of urgency.
type urgencyClass int

// Classes of jobs by urgency, in the order in which they are scheduled.
const (
	// withinGuaranteeClass holds guaranteed jobs that are covered by their account's guarantee.
	withinGuaranteeClass urgencyClass = iota
	// guaranteedClass holds guaranteed jobs that exceed their account's guarantee.
	guaranteedClass
	// onTimeClass holds other jobs that can still meet their objective.
	onTimeClass
	// lateClass holds jobs that miss their objective but can end while their result is still of use.
	lateClass
	// expiredClass holds jobs whose result would come too late to be of use.
	expiredClass
)

// urgency is the sort key by which jobs are scheduled.
type urgency struct {
	class urgencyClass
	// stake is what callers lose if the job is not placed now, by weighUrgencies; 0 without CostOrder.
	stake float64
	// slack is how long the job can wait and still meet its objective.
	slack time.Duration
	id    ident.Job
}

// compare orders urgencies by class, stake, slack and job ID, most urgent first.
func (u urgency) compare(v urgency) int {
	return cmp.Or(cmp.Compare(u.class, v.class), cmp.Compare(v.stake, u.stake), cmp.Compare(u.slack, v.slack), cmp.Compare(u.id, v.id))
}

// compareAcceptance orders jobs by acceptance time, oldest first.
func compareAcceptance(a, b *job) int {
	return cmp.Or(a.acceptedAt.Compare(b.acceptedAt), cmp.Compare(a.ID, b.ID))
}

// urgency returns the job's urgency at the given time.
func (j *job) urgency(now time.Time) urgency {
	objective := j.objective()
	due := j.dueAt()
	slack := objective - j.remainingPath() - now.Sub(due)
	u := urgency{slack: slack, id: j.ID}
	switch {
	case j.withinGuarantee:
		u.class = withinGuaranteeClass
	case j.settings.Priority == work.Guaranteed:
		u.class = guaranteedClass
	case slack >= 0:
		u.class = onTimeClass
	case slack+(admit.ExpiryObjectives-1)*objective >= 0:
		u.class = lateClass
	default:
		u.class = expiredClass
	}
	return u
}

// dueAt returns when the oldest incomplete occurrence was due, or when the job was accepted if there is none.
func (j *job) dueAt() time.Time {
	for _, o := range j.occurrences {
		if !o.complete() {
			return o.dueAt
		}
	}
	return j.acceptedAt
}
