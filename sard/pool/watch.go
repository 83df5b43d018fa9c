package pool

import (
	"maps"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/work"
)

const (
	// stallTime is the least time without progress after which an attempt counts as stalled.
	stallTime = 1500 * time.Millisecond
	// stallPercent is the part of the estimate, in percent, that is added to stallTime.
	stallPercent = 8
	// slowFactor is how many times longer staying must take than starting anew for an attempt to be moved.
	slowFactor = 1.6
	// slowLeast is how long an attempt that has become slow is expected to stay so at least.
	slowLeast = 3 * time.Second
	// dropFactor is how many times slower than before an attempt must be for its worker to count as slow.
	dropFactor = 2.5
	// slowMargin is added to the time that a start anew takes.
	slowMargin = time.Second
	// rateWindow is the least time over which progress is measured.
	rateWindow = 600 * time.Millisecond
	// maxMoves is how often a group is moved for being slow.
	maxMoves = 2
)

// watch follows the progress of an attempt.
type watch struct {
	percent int
	// first is the first report, advanced the last that showed progress, checked the last.
	first, advanced, checked time.Time
	// whole tells that the attempt does all of the work, as it did not begin with a checkpoint.
	whole bool
	// markPercent was shown at markAt; the rate is measured from there.
	markPercent int
	markAt      time.Time
	// slowSince is when the attempt was first seen to be much slower than it was; zero when it is not.
	slowSince time.Time
	// rate is the newest measured progress in percent a second, best the highest; 0 when not known.
	rate, best float64
}

// see notes a report of progress.
func (w *watch) see(percent int, now time.Time) {
	if w.first.IsZero() {
		*w = watch{percent: percent, first: now, advanced: now, markPercent: percent, markAt: now, whole: w.whole}
	}
	w.checked = now
	if percent != w.percent {
		w.percent, w.advanced = percent, now
	}
	if passed := now.Sub(w.markAt); passed >= rateWindow && percent > w.markPercent {
		w.rate = float64(percent-w.markPercent) / passed.Seconds()
		w.markPercent, w.markAt = percent, now
		w.best = max(w.best, w.rate)
		switch {
		case !w.dropped():
			w.slowSince = time.Time{}
		case w.slowSince.IsZero():
			w.slowSince = now
		}
	}
}

// dropped tells that the attempt has become much slower than it was.
func (w *watch) dropped() bool {
	return w.rate > 0 && w.rate*dropFactor < w.best
}

// stalled tells whether an attempt that is estimated to take some time has shown no progress for too long.
func (w *watch) stalled(estimate time.Duration) bool {
	return w.checked.Sub(w.advanced) > stallTime+estimate*stallPercent/100
}

// remaining returns how long the attempt still takes at its rate, or false when that is not known.
func (w *watch) remaining() (time.Duration, bool) {
	if w.rate <= 0 {
		return 0, false
	}
	return time.Duration(float64(100-w.percent) / w.rate * float64(time.Second)), true
}

// likely returns how long the attempt still takes when slowness lasts as long again as it has lasted.
func (w *watch) likely(now time.Time) (time.Duration, bool) {
	left, known := w.remaining()
	if !known || w.slowSince.IsZero() {
		return left, known
	}
	slow := max(now.Sub(w.slowSince), slowLeast)
	if slow >= left {
		return left, true
	}
	rest := float64(100-w.percent) - w.rate*slow.Seconds()
	return slow + time.Duration(rest/w.best*float64(time.Second)), true
}

// slow tells whether the group would end much sooner if it were started anew elsewhere.
func (g *group) slow(now time.Time) bool {
	left, known := g.watch.likely(now)
	if !known || g.moves >= maxMoves || !g.watch.dropped() && !g.onSlowNode(now) {
		return false
	}
	step := g.spec()
	anew := step.Estimate
	if step.Checkpoints {
		anew = anew * time.Duration(100-g.watch.percent) / 100
	}
	return left > time.Duration(slowFactor*float64(anew))+slowMargin
}

// onSlowNode tells whether a node of the group is slow.
func (g *group) onSlowNode(now time.Time) bool {
	for i := range g.parts {
		if n := g.parts[i].node; n != nil && n.pace.slow(now) {
			return true
		}
	}
	return false
}

// moveStuck stops attempts that stand still, or are so slow that they end sooner elsewhere.
func (e *Engine) moveStuck(now time.Time) {
	stuck := map[*group]StopReason{}
	for _, n := range e.nodes {
		for p := range n.parts {
			g := p.group
			if p.index != g.first || g.phase != placed || g.spec().Lasting {
				continue
			}
			switch {
			case g.watch.stalled(g.spec().Estimate):
				stuck[g] = ReasonStalled
			case g.slow(now):
				stuck[g] = ReasonSlow
			}
		}
	}
	for _, g := range slices.SortedFunc(maps.Keys(stuck), compareGroup) {
		e.move(g, stuck[g], now)
	}
}

// move stops a group so that it runs on other nodes. The node of a single part is left alone for a while; which node
// of a gang is to blame can't be told, so only the gang itself avoids them.
func (e *Engine) move(g *group, reason StopReason, now time.Time) {
	g.moves++
	for i := range g.parts {
		n := g.parts[i].node
		if n == nil {
			continue
		}
		g.avoid(n.WorkerProcess.Worker)
		if len(g.parts) == 1 && reason == ReasonStalled {
			e.SuspendWorker(n.WorkerProcess.Worker, now, firstQuarantine)
		}
	}
	g.phase = ending
	e.haltGroup(g, reason)
}

// demandWeight weighs the resources of an amount in cores.
func demandWeight(a work.Resources) int64 {
	return int64(a.Accelerators)*coresPerAccelerator + int64(a.CPU/milliCoresPerCore)
}
