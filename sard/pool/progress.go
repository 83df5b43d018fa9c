package pool

import (
	"maps"
	"slices"
	"time"
)

const (
	// stallTimeout is the minimum time without progress after which an attempt counts as stalled.
	stallTimeout = 1500 * time.Millisecond
	// stallEstimatePercent is the percentage of the estimated run time that is added to stallTimeout.
	stallEstimatePercent = 8
	// restartGainFactor is how many times longer than a restart elsewhere the remaining run time must be for an attempt
	// to be moved.
	restartGainFactor = 1.6
	// minSlowdown is the minimum time for which a slowed attempt is expected to stay slow.
	minSlowdown = 3 * time.Second
	// slowdownFactor is the ratio of an attempt's best rate to its current rate above which it counts as slowed down.
	slowdownFactor = 2.5
	// restartMargin is added to the expected run time after a restart.
	restartMargin = time.Second
	// minRateWindow is the minimum time over which a progress rate is measured.
	minRateWindow = 600 * time.Millisecond
	// maxMoves is how many times a group may be moved before it is no longer moved for being slow.
	maxMoves = 2
)

// attemptProgress tracks how far an attempt has got and how fast, by the reports of its worker.
type attemptProgress struct {
	percent int
	// firstReport is when the first report arrived, lastAdvance when progress last changed, and lastReport when the
	// latest report arrived.
	firstReport, lastAdvance, lastReport time.Time
	// fromStart is set if the attempt did not resume from a checkpoint and so does all of the work.
	fromStart bool
	// windowPercent is the progress at windowStart, from which the next rate is measured.
	windowPercent int
	windowStart   time.Time
	// slowSince is when the attempt was first found to have slowed down; zero if it has not.
	slowSince time.Time
	// rate is the latest measured rate in percent per second and bestRate the highest; 0 if unknown.
	rate, bestRate float64
	// steady tracks the rates that were held over consecutive measurements.
	steady steadyRate
}

// report records that a worker reported an attempt as done to the given percentage.
func (p *attemptProgress) report(percent int, now time.Time) {
	if p.firstReport.IsZero() {
		*p = attemptProgress{percent: percent, firstReport: now, lastAdvance: now, windowPercent: percent, windowStart: now, fromStart: p.fromStart}
	}
	p.lastReport = now
	if percent != p.percent {
		p.percent, p.lastAdvance = percent, now
	}
	if elapsed := now.Sub(p.windowStart); elapsed >= minRateWindow && percent > p.windowPercent {
		p.rate = float64(percent-p.windowPercent) / elapsed.Seconds()
		p.steady.add(p.rate, p.windowStart, now)
		p.windowPercent, p.windowStart = percent, now
		p.bestRate = max(p.bestRate, p.rate)
		switch {
		case !p.slowedDown():
			p.slowSince = time.Time{}
		case p.slowSince.IsZero():
			p.slowSince = now
		}
	}
}

// progressState returns how far a part and how fast its group got.
func (p *part) progressState() ProgressState {
	progress := &p.group.progress
	return ProgressState{
		Percent: p.percent, Rate: progress.steady.current(), BestRate: progress.steady.best,
		Unchanged: progress.lastReport.Sub(progress.lastAdvance),
	}
}

// slowedDown reports whether the attempt runs much slower than at its best rate.
func (p *attemptProgress) slowedDown() bool {
	return p.rate > 0 && p.rate*slowdownFactor < p.bestRate
}

// stalled reports whether the attempt's progress has not changed for too long, given its estimated run time. It
// compares the times of reports, so missing reports do not count as a stall.
func (p *attemptProgress) stalled(estimate time.Duration) bool {
	return p.lastReport.Sub(p.lastAdvance) > stallTimeout+estimate*stallEstimatePercent/100
}

// remaining returns how much longer the attempt runs at its current rate. It returns false if the rate is unknown.
func (p *attemptProgress) remaining() (time.Duration, bool) {
	if p.rate <= 0 {
		return 0, false
	}
	return time.Duration(float64(100-p.percent) / p.rate * float64(time.Second)), true
}

// expectedRemaining returns how much longer the attempt is expected to run, assuming that a slowdown lasts as long
// again as it has lasted so far.
func (p *attemptProgress) expectedRemaining(now time.Time) (time.Duration, bool) {
	remaining, known := p.remaining()
	if !known || p.slowSince.IsZero() {
		return remaining, known
	}
	slowPeriod := max(now.Sub(p.slowSince), minSlowdown)
	if slowPeriod >= remaining {
		return remaining, true
	}
	percentLeft := float64(100-p.percent) - p.rate*slowPeriod.Seconds()
	return slowPeriod + time.Duration(percentLeft/p.bestRate*float64(time.Second)), true
}

// fasterElsewhere reports whether the group would end much sooner if it were restarted on other nodes.
func (g *group) fasterElsewhere(now time.Time) bool {
	remaining, known := g.progress.expectedRemaining(now)
	if !known || g.moves >= maxMoves || !g.progress.slowedDown() && !g.onSlowNode(now) {
		return false
	}
	step := g.spec()
	restart := step.Estimate
	if step.Checkpoints {
		restart = restart * time.Duration(100-g.progress.percent) / 100
	}
	return remaining > time.Duration(restartGainFactor*float64(restart))+restartMargin
}

// onSlowNode reports whether any node on which the group runs is slow.
func (g *group) onSlowNode(now time.Time) bool {
	for i := range g.parts {
		if n := g.parts[i].node; n != nil && n.recentRates.isSlow(now) {
			return true
		}
	}
	return false
}

// moveStalledAndSlow stops the attempts that have stalled or would end sooner on other nodes.
func (e *Engine) moveStalledAndSlow(now time.Time) {
	reasons := map[*group]StopReason{}
	for _, n := range e.nodes {
		for p := range n.parts {
			g := p.group
			if p.index != g.first || g.phase != placed || g.spec().Lasting {
				continue
			}
			if reason := e.moveReason(g, now); reason != "" {
				reasons[g] = reason
			}
		}
	}
	for _, g := range slices.SortedFunc(maps.Keys(reasons), compareGroup) {
		e.moveGroup(g, reasons[g], now)
	}
}

// moveReason returns why a group should be moved, or an empty reason if it should not.
func (e *Engine) moveReason(g *group, now time.Time) StopReason {
	switch {
	case g.progress.stalled(e.stallBasis(g)):
		return ReasonStalled
	case g.gaveWay:
		return ""
	case e.config.RunTimes:
		return e.slowReason(g, now)
	case g.fasterElsewhere(now):
		return ReasonSlow
	}
	return ""
}

// moveGroup stops a group so that it is placed on other nodes. If a single part stalled, its node is suspended for a
// while. For a gang it is unknown which node is at fault, so only the gang itself avoids its nodes.
func (e *Engine) moveGroup(g *group, reason StopReason, now time.Time) {
	g.moves++
	for i := range g.parts {
		n := g.parts[i].node
		if n == nil {
			continue
		}
		g.avoidWorker(n.WorkerProcess.Worker)
		if len(g.parts) == 1 && reason == ReasonStalled {
			e.SuspendWorker(n.WorkerProcess.Worker, now, initialQuarantine)
		}
	}
	g.phase = ending
	e.stopGroup(g, reason)
}
