package pool

import (
	"math"
	"time"

	"github.com/sardineline/sardineline/sard/fcast"
)

const (
	// forecastLifetime is how long a step's forecast and length are used before they are computed again.
	forecastLifetime = time.Second
	// minShownPercent is the percentage of a step's groups whose run times must have shown before they are learned from.
	// The first to end are the shortest ones.
	minShownPercent = 75
	// maxRatios limits the forecasts whose accuracy is kept until the next TakeForecastRatios.
	maxRatios = 1024
)

// ForecastRatio is the accuracy of the forecast of a run time.
type ForecastRatio struct {
	// Forecast and Estimate are the run time divided by the forecast and by the submitter's estimate; 0 if there was none.
	Forecast, Estimate float64
}

// stepForecast caches the forecast run time of a step's groups.
type stepForecast struct {
	forecast fcast.Forecast
	at       time.Time
}

// kind returns the kind of work of which the group is.
func (g *group) kind() fcast.Kind {
	step := g.spec()
	return fcast.Kind{
		Queue: g.job.Queue, Account: g.job.Account, Image: step.Image,
		Size: fcast.SizeOf(coreEquivalents(step.Demand()) * int64(step.Parts)), Gang: step.Gang,
	}
}

// forecast returns the forecast run time of a group's attempt that starts from the beginning, on workers of normal speed.
func (e *Engine) forecast(g *group) fcast.Forecast {
	estimate := g.spec().Estimate
	if e.runTimes == nil || g.spec().Lasting {
		return fcast.Forecast{Typical: estimate, High: estimate}
	}
	cached := &g.stepState().forecast
	if cached.at.IsZero() || e.now.Sub(cached.at) >= forecastLifetime {
		*cached = stepForecast{forecast: e.runTimes.Forecast(g.kind(), estimate), at: e.now}
	}
	return cached.forecast
}

// learnRunTime records the run time of a group that has just succeeded, or the one that its rate implies if the attempt did
// only part of the work. Attempts that ran far from their data or from each other show nothing.
func (e *Engine) learnRunTime(g *group, now time.Time) {
	if e.runTimes == nil || g.phase != placed || g.spec().Lasting || g.runsFar() || !now.After(g.startedAt) {
		return
	}
	if g.progress.fromStart {
		g.length = g.atNormalSpeed(now.Sub(g.startedAt))
		e.noteRatio(g)
	} else if length, known := g.shownLength(); known {
		g.length = length
	}
	e.learnStep(g)
}

// learnStep records the run times of a step once, when most of its groups have shown theirs.
func (e *Engine) learnStep(g *group) {
	s := g.stepState()
	if s.learned {
		return
	}
	shown := s.shownLengths()
	if len(shown)*100 < len(s.groups)*minShownPercent {
		return
	}
	s.learned = true
	e.runTimes.Observe(g.kind(), g.spec().Estimate, shown...)
}

// noteRatio keeps the accuracy of the forecast of a group that has just succeeded.
func (e *Engine) noteRatio(g *group) {
	if len(e.ratios) >= maxRatios {
		return
	}
	var r ForecastRatio
	if f := e.forecast(g); f.Learned {
		r.Forecast = g.length.Seconds() / f.Typical.Seconds()
	}
	if estimate := g.spec().Estimate; estimate > 0 {
		r.Estimate = g.length.Seconds() / estimate.Seconds()
	}
	e.ratios = append(e.ratios, r)
}

// TakeForecastRatios returns the accuracy of the forecasts of the work that has ended since the last call.
func (e *Engine) TakeForecastRatios() []ForecastRatio {
	taken := e.ratios
	e.ratios = nil
	return taken
}

// atNormalSpeed returns the time that a run on the group's nodes would take on workers of normal speed.
func (g *group) atNormalSpeed(runTime time.Duration) time.Duration {
	return time.Duration(float64(runTime) * math.Exp(slowest(g.currentNodes()).logSpeed.value()))
}

// runsFar reports whether the group runs far from its data, or its parts from each other, though they should not.
func (g *group) runsFar() bool {
	nodes := g.currentNodes()
	return len(nodes) == 0 || farFrom(g.spec(), nodes)
}

// refreshLengths computes how long the steps of a job take, once in forecastLifetime.
func (e *Engine) refreshLengths(j *job, now time.Time) {
	if e.runTimes == nil || len(j.occurrences) == 0 || now.Sub(j.lengthsAt) < forecastLifetime {
		return
	}
	j.lengthsAt = now
	j.lengths = make([]time.Duration, len(j.Steps))
	o := j.currentOccurrence()
	for i := range j.Steps {
		j.lengths[i] = e.stepLength(&o.steps[i])
	}
}

// stepLength returns how long a group of a step takes on workers of normal speed: by what its groups have shown, and
// otherwise by the forecast.
func (e *Engine) stepLength(s *stepState) time.Duration {
	shown := s.shownLengths()
	if len(shown) < min(len(s.groups), minComparedParts) {
		return e.forecast(s.groups[0]).Typical
	}
	return medianOf(shown)
}

// shownLengths returns how long the groups of the step take, as far as that has shown.
func (s *stepState) shownLengths() []time.Duration {
	var shown []time.Duration
	for _, g := range s.groups {
		if length, known := g.shownLength(); known {
			shown = append(shown, length)
		}
	}
	return shown
}

// shownLength returns how long the whole work of a group takes on workers of normal speed, by its run time or its rate.
func (g *group) shownLength() (time.Duration, bool) {
	steady := &g.progress.steady
	switch {
	case g.length > 0:
		return g.length, true
	case g.phase == done:
		return 0, false
	case g.phase != placed || !steady.known() || g.runsFar():
		return 0, false
	}
	rate := max(steady.current(), steady.best)
	return g.atNormalSpeed(time.Duration(100 / rate * float64(time.Second))), true
}
