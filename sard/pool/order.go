package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/admit"
	"github.com/sardineline/sardineline/sard/ident"
)

// accountUse is the work that runs now, by client account, in coreEquivalents.
type accountUse struct {
	byAccount map[ident.Account]int64
	total     int64
}

// accountUse returns the work that runs now. Accounts whose work only waits have an entry too.
func (e *Engine) accountUse() accountUse {
	for _, j := range e.jobs {
		j.runningCores = 0
	}
	for _, n := range e.nodes {
		for p := range n.parts {
			p.group.job.runningCores += coreEquivalents(p.group.demand())
		}
	}
	use := accountUse{byAccount: map[ident.Account]int64{}}
	for _, j := range e.jobs {
		if !j.state.Terminal() || j.runningCores > 0 {
			use.byAccount[j.Account] += j.runningCores
			use.total += j.runningCores
		}
	}
	return use
}

// share returns an account's share of the work that runs.
func (u accountUse) share(account ident.Account) float64 {
	if u.total == 0 {
		return 0
	}
	return float64(u.byAccount[account]) / float64(u.total)
}

// weighUrgencies orders jobs with waiting groups by what callers lose if they are not placed now, within the classes of
// jobs that are not guaranteed. A late job whose result is about to lose its use is as urgent as one that is about to be
// late.
func (e *Engine) weighUrgencies(urgencies []jobUrgency, now time.Time) {
	if !e.config.CostOrder {
		return
	}
	use := e.accountUse()
	for i := range urgencies {
		u := &urgencies[i]
		if u.urgency.class != onTimeClass && u.urgency.class != lateClass {
			continue
		}
		if u.urgency.stake = e.stake(u.job, use, now); u.urgency.stake > 0 {
			u.urgency.class = onTimeClass
		}
	}
}

// stake returns the highest stake of the job's occurrences with waiting groups.
func (e *Engine) stake(j *job, use accountUse, now time.Time) float64 {
	highest := 0.0
	for _, o := range j.occurrences {
		g := o.firstWaiting(j)
		if g == nil {
			continue
		}
		expected := e.outlook(o, now)
		waiting := admit.Waiting{
			Standing: e.standing(g, expected.rest, expected.work, now), Left: expected.left,
			AccountShare: use.share(j.Account), Accounts: len(use.byAccount),
		}
		highest = max(highest, waiting.Stake())
	}
	return highest
}

// firstWaiting returns a group of the occurrence that waits and whose step is ready, or nil.
func (o *occurrence) firstWaiting(j *job) *group {
	for s := range o.steps {
		if o.steps[s].unfinished == 0 || !o.stepReady(j, s) {
			continue
		}
		for _, g := range o.steps[s].groups {
			if g.phase == waiting {
				return g
			}
		}
	}
	return nil
}
