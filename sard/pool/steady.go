package pool

import "time"

// steadyRate tracks the rates of an attempt that hold over two consecutive measurements. A single measurement may be
// wrong, as the reports around it may have been delayed.
type steadyRate struct {
	// latest and previous are the last two measured rates in percent per second; 0 if unknown.
	latest, previous float64
	// best is the highest rate that two consecutive measurements reached.
	best float64
	// knownSince is when there were two measurements first.
	knownSince time.Time
	// slowSince is the start of the first of the latest, consecutive measurements below best; zero if the attempt does not
	// run much slower than at its best.
	slowSince time.Time
}

// add adds a rate that was measured over the given period.
func (r *steadyRate) add(rate float64, start, end time.Time) {
	r.latest, r.previous = rate, r.latest
	if r.knownSince.IsZero() && r.known() {
		r.knownSince = end
	}
	r.best = max(r.best, min(r.latest, r.previous))
	switch {
	case rate*slowdownFactor >= r.best:
		r.slowSince = time.Time{}
	case r.slowSince.IsZero():
		r.slowSince = start
	}
}

// known reports whether there are two measurements.
func (r *steadyRate) known() bool {
	return r.previous > 0
}

// current returns the current rate, which is the higher one of the last two measurements.
func (r *steadyRate) current() float64 {
	return max(r.latest, r.previous)
}

// slowedDown reports whether the attempt has become much slower than at its best, over two measurements.
func (r *steadyRate) slowedDown() bool {
	return r.known() && r.current()*slowdownFactor < r.best
}

// slowdown is a slow period of an attempt.
type slowdown struct {
	// normalRate is the rate, in percent per second, at which the attempt would run otherwise.
	normalRate float64
	// since is when the slow period started.
	since time.Time
}

// endsSoonerRestarted reports whether the group would end much sooner if it were restarted at the normal rate. It takes the
// slow period to last as long again as it has lasted so far.
func (g *group) endsSoonerRestarted(s slowdown, now time.Time) bool {
	rate := g.progress.steady.current()
	if rate <= 0 || s.normalRate <= 0 {
		return false
	}
	left := float64(100 - g.progress.percent)
	again := float64(100)
	if g.spec().Checkpoints {
		again = left
	}
	slowPeriod := max(now.Sub(s.since), minSlowdown).Seconds()
	remaining := left / rate
	if slowPeriod < remaining {
		remaining = slowPeriod + (left-rate*slowPeriod)/s.normalRate
	}
	return remaining > restartGainFactor*again/s.normalRate+restartMargin.Seconds()
}
