package pool

import (
	"math"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/speed"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// pacePercent is the percentage of the forecast run time over which the pace of a running attempt is measured, at least
	// minRateWindow and at most maxPaceWindow. It is a time and not an amount of progress, as the fast attempts of a step
	// would be measured, and compared with each other, before the slow ones.
	pacePercent   = 8
	maxPaceWindow = 3 * time.Second
	// minAdvance is the progress in percent that stands for none at all.
	minAdvance = 0.5
	// progressVariance is the variance that the pace of a running attempt has beyond that of a whole run, and
	// roundingVariance that of the difference of two rounded percentages.
	progressVariance = 0.01
	roundingVariance = 1.0 / 6
	// speedRefreshInterval is how often the distribution of the workers' speeds is computed.
	speedRefreshInterval = time.Second
)

// paceSample is what an attempt of a group has shown of the speed of its nodes. Each attempt counts once, as it does one
// amount of work.
type paceSample struct {
	// firstPercent is the progress of the first report, which arrived at firstAt.
	firstPercent int
	firstAt      time.Time
	// logPace is the logarithm of the work done in a second, in runs; valid if measured is set.
	logPace       float64
	extraVariance float64
	measured      bool
	// counted is set when the sample has been recorded in the model.
	counted bool
	nodes   []*node
}

// SpeedSnapshot returns what has been learned of the workers' speeds, for the next holder.
func (e *Engine) SpeedSnapshot(now time.Time) speed.Snapshot {
	if e.speeds == nil {
		return speed.Snapshot{}
	}
	return e.speeds.Snapshot(now)
}

// RestoreSpeeds takes over what a former holder has learned of the workers' speeds.
func (e *Engine) RestoreSpeeds(s speed.Snapshot, now time.Time) {
	if e.speeds != nil {
		e.speeds.Restore(s, now)
		e.speedsRefreshedAt = time.Time{}
	}
}

// SpeedGroups returns the number of accepting workers in each group of speeds.
func (e *Engine) SpeedGroups() map[speed.Group]int {
	counts := map[speed.Group]int{}
	for _, n := range e.nodes {
		if n.Accepting {
			counts[n.known.Group()]++
		}
	}
	return counts
}

// KnownSpeed returns what has been learned of a worker's speed.
func (e *Engine) KnownSpeed(worker ident.Worker) speed.Estimate {
	if n := e.nodesByID[worker]; n != nil {
		return n.known
	}
	return speed.Estimate{}
}

// refreshSpeeds brings the nodes' estimates up to date once in speedRefreshInterval.
func (e *Engine) refreshSpeeds(now time.Time) {
	if e.speeds == nil || !e.speedsRefreshedAt.IsZero() && now.Sub(e.speedsRefreshedAt) < speedRefreshInterval {
		return
	}
	e.speedsRefreshedAt = now
	shift := float64(e.speeds.Refresh(now))
	for _, errors := range e.estimateErrors {
		// The bias is relative to a typical worker.
		errors.bias.sum += shift * (errors.bias.weight + priorWeight)
	}
	for _, n := range e.nodes {
		e.updateSpeed(n, now)
	}
}

// updateSpeed copies the model's estimate of a worker to its node.
func (e *Engine) updateSpeed(n *node, now time.Time) {
	n.known = e.speeds.Estimate(n.WorkerProcess.Worker, now)
	n.logSpeed = runningMean{sum: float64(n.known.Speed) * priorWeight}
}

// learnFromProgress measures the pace of an attempt once it has run for paceWindow.
func (e *Engine) learnFromProgress(g *group, percent int, now time.Time) {
	s := &g.paceSample
	if e.speeds == nil || s.measured || g.phase != placed || g.spec().Lasting || g.gaveWay {
		return
	}
	if s.firstAt.IsZero() {
		s.firstPercent, s.firstAt = percent, now
		return
	}
	elapsed := now.Sub(s.firstAt)
	if elapsed < e.paceWindow(g) {
		return
	}
	advance := max(float64(percent-s.firstPercent), minAdvance)
	e.measured(g, advance/100/elapsed.Seconds(), progressVariance+roundingVariance/(advance*advance), now)
}

// paceWindow returns for how long the pace of a group's attempt is measured.
func (e *Engine) paceWindow(g *group) time.Duration {
	return max(minRateWindow, min(e.forecast(g).Typical*pacePercent/100, maxPaceWindow))
}

// learnFromEnd measures the pace of an attempt that ended with success, if its progress has not shown it before.
// Attempts that resumed from a checkpoint did an unknown part of their work.
func (e *Engine) learnFromEnd(g *group, now time.Time) {
	if g.phase != placed || g.spec().Lasting || !now.After(g.startedAt) {
		return
	}
	if g.progress.fromStart {
		g.runTime, g.ranOn = now.Sub(g.startedAt), g.currentNodes()
	}
	if !g.paceSample.measured && g.progress.fromStart {
		e.measured(g, 1/g.runTime.Seconds(), 0, now)
	}
}

// measured records the pace of an attempt and derives speed samples from it, unless the attempt runs away from its data
// or its other parts.
func (e *Engine) measured(g *group, pace, extraVariance float64, now time.Time) {
	nodes := g.currentNodes()
	if len(nodes) == 0 || pace <= 0 || farFrom(g.spec(), nodes) {
		return
	}
	s := &g.paceSample
	s.logPace, s.extraVariance, s.measured, s.nodes = math.Log(pace), extraVariance, true, nodes
	if len(g.stepState().groups) >= minComparedParts {
		e.compareSiblings(g.stepState(), now)
		return
	}
	e.compareWithForecast(g, now)
}

// farFrom reports whether parts of a step on the given nodes run far from their data or from each other.
func farFrom(step *work.Step, nodes []*node) bool {
	for _, n := range nodes {
		if step.DataRack != "" && n.Rack != step.DataRack || step.SameRack && n.Rack != nodes[0].Rack {
			return true
		}
	}
	return false
}

// compareSiblings derives speed samples from the paces of a step's parts. They share one amount of work, so that their
// median, at the speeds known so far, is the pace on a worker of normal speed.
func (e *Engine) compareSiblings(s *stepState, now time.Time) {
	var paces []float64
	for _, g := range s.groups {
		if p := &g.paceSample; p.measured {
			paces = append(paces, p.logPace-float64(slowest(p.nodes).known.Speed))
		}
	}
	if len(paces) < minComparedParts {
		return
	}
	median := medianOf(paces)
	e.recordForecastError(s, median)
	for _, g := range s.groups {
		if p := &g.paceSample; p.measured && !p.counted {
			p.counted = true
			e.observeSpeed(p.nodes, speed.Sample{Speed: speed.Log(p.logPace - median), ExtraVariance: p.extraVariance}, now)
		}
	}
}

// recordForecastError records once for a step how its forecast differs from the pace on a worker of normal speed.
func (e *Engine) recordForecastError(s *stepState, logPace float64) {
	g := s.groups[0]
	forecast := e.forecast(g).Typical
	if s.forecastChecked || forecast <= 0 {
		return
	}
	s.forecastChecked = true
	e.estimateErrorsOf(g.job.Queue).add(logPace + math.Log(forecast.Seconds()))
}

// add records how a forecast differed from a run on workers of normal speed, as a logarithm.
func (errors *estimateErrors) add(difference float64) {
	deviation := max(-maxForecastError, min(difference-errors.bias.value(), maxForecastError))
	errors.bias.add(errors.bias.value()+deviation, 1)
	errors.variance.add(deviation*deviation, 1)
}

// compareWithForecast derives a speed sample from the pace of a group and its forecast run time, which is corrected by
// the usual error in its queue and weighed by how much that error varies.
func (e *Engine) compareWithForecast(g *group, now time.Time) {
	p := &g.paceSample
	forecast := e.forecast(g).Typical
	if p.counted || forecast <= 0 {
		return
	}
	p.counted = true
	observed := p.logPace + math.Log(forecast.Seconds())
	errors := e.estimateErrorsOf(g.job.Queue)
	expected := float64(slowest(p.nodes).known.Speed)
	sample := observed - errors.bias.value()
	errors.add(observed - expected)
	e.observeSpeed(p.nodes, speed.Sample{Speed: speed.Log(sample), ExtraVariance: p.extraVariance + errors.variance.value()}, now)
}

// maxForecastError limits how far one group counts towards the variance of the forecasts in its queue, as a logarithm.
const maxForecastError = 1.5

// observeSpeed records a sample of nodes that run a group together. The sample measures the slowest node. The others are at
// least as fast, so that it raises the estimate of those that are surely below it.
func (e *Engine) observeSpeed(nodes []*node, s speed.Sample, now time.Time) {
	slowestNode := slowest(nodes)
	surely := s
	surely.Speed -= speed.Log(math.Sqrt(e.speeds.Noise() + s.ExtraVariance))
	for _, n := range nodes {
		switch {
		case n == slowestNode:
			e.speeds.Observe(n.WorkerProcess.Worker, s, now)
		case n.known.Speed < surely.Speed:
			e.speeds.Observe(n.WorkerProcess.Worker, surely, now)
		default:
			continue
		}
		e.updateSpeed(n, now)
	}
}
