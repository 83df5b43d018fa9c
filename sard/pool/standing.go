package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/admit"
)

const (
	// restartWait is how long a group is expected to wait after a stop until it is placed again.
	restartWait = 2 * time.Second
	// unknownRestPercent is the share of the time that an attempt has run which it is expected to run on if it has taken
	// longer than its forecast.
	unknownRestPercent = 10
)

// remainingTime returns how much longer the current attempt of a placed group is expected to run.
func (e *Engine) remainingTime(g *group, now time.Time) time.Duration {
	if remaining, known := g.progress.remaining(); known {
		return max(0, remaining-now.Sub(g.progress.lastReport))
	}
	ran := now.Sub(g.startedAt)
	return max(e.restartTime(g)-ran, ran*unknownRestPercent/100)
}

// restartTime returns how long a new attempt of a group is expected to run.
func (e *Engine) restartTime(g *group) time.Duration {
	whole := e.forecast(g).Typical
	if g.spec().Checkpoints {
		return whole * time.Duration(100-g.progress.percent) / 100
	}
	return whole
}

// expectedRest returns the time until an occurrence of a job is expected to be complete if its waiting groups start after
// restartWait.
func (e *Engine) expectedRest(o *occurrence, now time.Time) time.Duration {
	rest := time.Duration(0)
	for s := range o.steps {
		if o.steps[s].unfinished == 0 {
			continue
		}
		after := e.timeAfter(o, s)
		for _, g := range o.steps[s].groups {
			switch g.phase {
			case done:
			case placed:
				rest = max(rest, e.remainingTime(g, now)+after)
			default:
				rest = max(rest, e.restTimeAfterStop(g)+after)
			}
		}
	}
	return rest
}

// restTimeAfterStop returns the time until a group is expected to end if it is stopped now.
func (e *Engine) restTimeAfterStop(g *group) time.Duration {
	return restartWait + e.restartTime(g)
}

// timeAfter returns the forecast run time of the longest chain of steps that depend on a step.
func (e *Engine) timeAfter(o *occurrence, step int) time.Duration {
	longest := time.Duration(0)
	for s := step + 1; s < len(o.steps); s++ {
		groups := o.steps[s].groups
		if len(groups) == 0 || o.steps[s].unfinished == 0 || !groups[0].dependsOn(step) {
			continue
		}
		longest = max(longest, e.forecast(groups[0]).Typical+e.timeAfter(o, s))
	}
	return longest
}

// dependsOn reports whether the group's step waits for the given one.
func (g *group) dependsOn(step int) bool {
	for _, before := range g.spec().After {
		if before == step {
			return true
		}
	}
	return false
}

// coreTime returns the forecast work of one occurrence of a job.
func (e *Engine) coreTime(o *occurrence) admit.CoreTime {
	sum := time.Duration(0)
	for s := range o.steps {
		for _, g := range o.steps[s].groups {
			sum += e.forecast(g).Typical * time.Duration(coreEquivalents(g.demand())) * time.Duration(len(g.parts))
		}
	}
	return admit.CoreTime(sum)
}

// standing returns how an occurrence stands if it takes the given time until it is complete. The group is one of its
// groups.
func (e *Engine) standing(g *group, rest time.Duration, now time.Time) admit.Standing {
	j, o := g.job, g.job.occurrences[g.occurrence]
	forecast := e.forecast(g)
	return admit.Standing{
		Priority: j.settings.Priority, Objective: j.objective(), Slack: j.objective() - now.Sub(o.dueAt) - rest,
		Spread: forecast.High - forecast.Typical, Work: e.coreTime(o),
	}
}

// stopLoss returns what callers lose if a placed group is stopped now: the work that is done again, and the value of its
// job that comes later than without the stop.
func (e *Engine) stopLoss(g *group, now time.Time) time.Duration {
	o := g.job.occurrences[g.occurrence]
	rest := e.expectedRest(o, now)
	after := e.restTimeAfterStop(g) + e.timeAfter(o, g.step)
	delay := max(0, after-rest)
	return g.wastedWork(now) + time.Duration(e.standing(g, rest, now).DelayCost(delay))
}

// wastedWork returns the work that has to be done again if a placed group is stopped now. A stop saves the progress of an
// attempt with checkpoints.
func (g *group) wastedWork(now time.Time) time.Duration {
	ran := restartCost
	if !g.spec().Checkpoints {
		ran += now.Sub(g.startedAt)
	}
	return ran * time.Duration(coreEquivalents(g.demand())) * time.Duration(len(g.parts))
}
