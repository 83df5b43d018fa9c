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
	// maxLoss limits what the stop or the wait of a group counts as.
	maxLoss = guaranteedStopPenalty - time.Hour
)

// remainingTime returns how much longer the current attempt of a placed group is expected to run. The forecast is that of a
// whole run.
func (g *group) remainingTime(whole time.Duration, now time.Time) time.Duration {
	if remaining, known := g.progress.remaining(); known {
		return max(0, remaining-now.Sub(g.progress.lastReport))
	}
	ran := now.Sub(g.startedAt)
	return max(g.restartTime(whole)-ran, ran*unknownRestPercent/100)
}

// restartTime returns how long a new attempt of a group is expected to run. The forecast is that of a whole run.
func (g *group) restartTime(whole time.Duration) time.Duration {
	if g.progress.percent > 0 && g.spec().Checkpoints {
		return whole * time.Duration(100-g.progress.percent) / 100
	}
	return whole
}

// outlook is what is expected of an occurrence of a job.
type outlook struct {
	// rest is the time until it is complete if its waiting groups start now, and restIfDelayed if they start after
	// restartWait.
	rest, restIfDelayed time.Duration
	// work is its whole work, and left the part of it that is not done.
	work, left admit.CoreTime
}

// outlook returns what is expected of an occurrence of a job.
func (e *Engine) outlook(o *occurrence, now time.Time) outlook {
	var sum outlook
	after := e.timesAfter(o)
	for s := range o.steps {
		if len(o.steps[s].groups) > 0 {
			e.addStep(&sum, &o.steps[s], after[s], now)
		}
	}
	return sum
}

// addStep adds what is expected of a step, after which other steps take the given time. Its groups have equal forecasts and
// equal work.
func (e *Engine) addStep(sum *outlook, state *stepState, after time.Duration, now time.Time) {
	whole := e.forecast(state.groups[0]).Typical
	cores := state.groups[0].coreEquivalents()
	sum.work += workOf(whole, cores) * admit.CoreTime(len(state.groups))
	if state.unfinished == 0 {
		return
	}
	for _, g := range state.groups {
		switch g.phase {
		case done:
		case placed:
			remaining := g.remainingTime(whole, now)
			sum.left += workOf(remaining, cores)
			sum.rest = max(sum.rest, remaining+after)
			sum.restIfDelayed = max(sum.restIfDelayed, remaining+after)
		default:
			remaining := g.restartTime(whole)
			sum.left += workOf(remaining, cores)
			sum.rest = max(sum.rest, remaining+after)
			sum.restIfDelayed = max(sum.restIfDelayed, restartWait+remaining+after)
		}
	}
}

// workOf returns the work of a group that runs for a time and has the given coreEquivalents.
func workOf(runTime, cores time.Duration) admit.CoreTime {
	return admit.CoreTime(runTime) * admit.CoreTime(cores)
}

// timesAfter returns, for each step, the forecast run time of the longest chain of steps that depend on it.
func (e *Engine) timesAfter(o *occurrence) []time.Duration {
	after := make([]time.Duration, len(o.steps))
	for s := len(o.steps) - 1; s > 0; s-- {
		groups := o.steps[s].groups
		if len(groups) == 0 || o.steps[s].unfinished == 0 {
			continue
		}
		chain := e.forecast(groups[0]).Typical + after[s]
		for _, before := range groups[0].spec().After {
			after[before] = max(after[before], chain)
		}
	}
	return after
}

// standing returns how an occurrence of a job stands if it takes the given time until it is complete. The group is one of
// its groups.
func (e *Engine) standing(g *group, rest time.Duration, total admit.CoreTime, now time.Time) admit.Standing {
	j, o := g.job, g.occurrence
	forecast := e.forecast(g)
	objective := j.objective()
	return admit.Standing{
		Priority: j.settings.Priority, Objective: objective, Slack: objective - now.Sub(o.dueAt) - rest,
		Spread: forecast.High - forecast.Typical, Work: total,
	}
}

// stopLoss returns what callers lose if a placed group is stopped now: the work that is done again, and the value of its
// job that comes later than without the stop.
func (r *round) stopLoss(g *group) time.Duration {
	e, now, o := r.engine, r.now, g.occurrence
	expected, known := r.outlooks[o]
	if !known {
		expected = e.outlook(o, now)
		r.outlooks[o] = expected
	}
	after := restartWait + g.restartTime(e.forecast(g).Typical) + e.timesAfter(o)[g.step]
	delay := max(0, after-expected.restIfDelayed)
	return limitLoss(admit.CoreTime(g.wastedWork(now)) + e.standing(g, expected.restIfDelayed, expected.work, now).DelayCost(delay))
}

// limitLoss converts a loss to a cost below guaranteedStopPenalty.
func limitLoss(loss admit.CoreTime) time.Duration {
	return time.Duration(min(loss, admit.CoreTime(maxLoss)))
}

// wastedWork returns the work that has to be done again if a placed group is stopped now. A stop saves the progress of an
// attempt with checkpoints.
func (g *group) wastedWork(now time.Time) time.Duration {
	ran := restartCost
	if !g.spec().Checkpoints {
		ran += now.Sub(g.startedAt)
	}
	return ran * g.coreEquivalents()
}

// coreEquivalents returns the coreEquivalents of all parts of the group, as a factor of a time.
func (g *group) coreEquivalents() time.Duration {
	return time.Duration(coreEquivalents(g.demand())) * time.Duration(len(g.parts))
}
