package pool

import (
	"cmp"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// lateFactor is how many objectives a job may take before its result is of no use.
const lateFactor = 3

// lane sorts jobs before their urgency is compared.
type lane int

// The lanes, the first to be served first.
const (
	// coveredLane holds guaranteed jobs within their account's guarantee.
	coveredLane lane = iota
	// guaranteedLane holds guaranteed jobs beyond it.
	guaranteedLane
	// timelyLane holds other jobs that can still meet their objective.
	timelyLane
	// lateLane holds jobs that can end before their result is of no use.
	lateLane
	// uselessLane holds the rest.
	uselessLane
)

// urgency orders jobs.
type urgency struct {
	lane lane
	// slack is how long the job could wait and still meet its objective.
	slack time.Duration
	id    ident.Job
}

func (u urgency) compare(v urgency) int {
	return cmp.Or(cmp.Compare(u.lane, v.lane), cmp.Compare(u.slack, v.slack), cmp.Compare(u.id, v.id))
}

func compareAge(a, b *job) int {
	return cmp.Or(a.acceptedAt.Compare(b.acceptedAt), cmp.Compare(a.ID, b.ID))
}

// urgency tells how soon a job should be served.
func (j *job) urgency(now time.Time) urgency {
	objective, chain := j.objective(), j.chain()
	since := j.dueAt()
	slack := objective - chain - now.Sub(since)
	u := urgency{slack: slack, id: j.ID}
	switch {
	case j.covered:
		u.lane = coveredLane
	case j.terms.Priority == work.Guaranteed:
		u.lane = guaranteedLane
	case slack >= 0:
		u.lane = timelyLane
	case slack+(lateFactor-1)*objective >= 0:
		u.lane = lateLane
	default:
		u.lane = uselessLane
	}
	return u
}

// dueAt returns when the oldest open occurrence was due.
func (j *job) dueAt() time.Time {
	for _, o := range j.occurrences {
		if !o.complete() {
			return o.dueAt
		}
	}
	return j.acceptedAt
}
