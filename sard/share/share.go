// Package share decides how much of their processor use the parts that fill unused processor time may have on a worker where other
// parts serve users within a latency target. It performs no I/O and reads no clock.
//
// Filling parts disturb serving parts by an amount that nobody knows beforehand, and the load of the serving parts themselves moves
// their tail latency as well. So the reported tails are the measure: the share falls fast while a tail exceeds its target, and rises
// while all tails are well below theirs.
package share

import "time"

//go:generate go tool stringer -type=Reason -output=reason_string.go

// Percent is the share of its processor use that a filling part may have on its worker, from None to Full.
type Percent int

// Limits of a Percent. A filling part starts with a share of Full.
const (
	None Percent = 0
	Full Percent = 100
)

// Tail is the tail of a serving part's response times and the target that it must stay below.
type Tail struct {
	Measured, Target time.Duration
}

// Reason tells why a share was chosen.
type Reason int

// Reasons for a share.
const (
	// Alone means that nothing serves on the worker.
	Alone Reason = iota
	// Cautious means that nothing has been observed yet.
	Cautious
	// Unsettled means that the last change does not show in the tails yet.
	Unsettled
	// Exceeded means that a tail exceeds its target.
	Exceeded
	// Near means that a tail is close to its target.
	Near
	// Held means that the share suits the tails.
	Held
	// Unused means that all tails are well below their targets.
	Unused
)

const (
	// cautiousShare is the share until the first tails are known.
	cautiousShare Percent = 10
	// probeShare is the first share above None.
	probeShare Percent = 4
	// aimedRatio is the ratio of a tail to its target that the share aims at. It falls above nearRatio and rises below unusedRatio.
	aimedRatio, nearRatio, unusedRatio = 0.94, 0.98, 0.91
	// farRatio is the ratio of a tail to its target above which the filling parts stop at once.
	farRatio = 1.4
	// exceededDivisor divides the share when a tail begins to exceed its target, unless the disturbance is known.
	exceededDivisor = 3
	// nearDivisor is the part of the share that is taken off at least when a tail is close to its target.
	nearDivisor = 16
	// fastGrowth multiplies a share that is well below the last one that was too high, and slowGrowth is added to any other.
	fastGrowth         = 2
	slowGrowth Percent = 4
	// minChange is the least change of the share that shows the disturbance, and sampleWeight the weight of the newest sample of it.
	minChange    Percent = 3
	sampleWeight float64 = 0.4
	// raiseDamping is the part of the way to the aimed share that one raise takes.
	raiseDamping = 0.8
)

// Regulator chooses the share of the filling parts on one worker. All of them have the same share, and the serving part whose tail
// comes closest to its target decides. The zero value is ready to use.
type Regulator struct {
	share Percent
	// ceiling is the lowest share that has lately been too high; 0 if none was.
	ceiling Percent
	// exceeded is set if a tail exceeded its target in the last settled observation.
	exceeded bool
	// shared is set while parts serve and fill on the worker.
	shared bool
	// disturbance is by how much a percent of share raises the highest ratio of a tail to its target; 0 if it is not known. last is the
	// last settled observation.
	disturbance float64
	last        struct {
		ratio float64
		share Percent
		known bool
	}
}

// Share returns the current share.
func (r *Regulator) Share() Percent {
	if !r.shared {
		return Full
	}
	return r.share
}

// Begin makes the regulator choose a cautious share, unless parts already served and filled on the worker. It is called once both are
// placed there.
func (r *Regulator) Begin() {
	if !r.shared {
		*r = Regulator{shared: true, share: cautiousShare}
	}
}

// End gives the filling parts their full share, as nothing serves beside them any more.
func (r *Regulator) End() { *r = Regulator{} }

// Observation is what a report of a worker shows.
type Observation struct {
	// Tails are those of the serving parts, as far as they are known.
	Tails []Tail
	// Settled is set if the current share was in force while the tails were measured. Otherwise they show nothing of it.
	Settled bool
	// Unconfirmed is set if the worker does not confirm that a share is in force.
	Unconfirmed bool
}

// Observe chooses the share by an observation. Without tails the share stays.
func (r *Regulator) Observe(o Observation) Reason {
	if !r.shared {
		return Alone
	}
	if len(o.Tails) == 0 {
		return Cautious
	}
	reason, ratio := classify(o.Tails), highest(o.Tails)
	if !o.Settled {
		if o.Unconfirmed && reason == Exceeded {
			r.lower(None)
			return Exceeded
		}
		return Unsettled
	}
	r.learn(ratio)
	switch reason {
	case Exceeded:
		r.exceed(ratio)
	case Near:
		r.lower(min(r.aimed(ratio, r.share), r.share-max(r.share/nearDivisor, 1)))
	case Unused:
		r.raise(ratio)
	}
	r.exceeded = reason == Exceeded
	return reason
}

// learn takes a settled observation into account, which shows the disturbance if the share has changed since the one before.
func (r *Regulator) learn(ratio float64) {
	change := r.share - r.last.share
	if r.last.known && (change >= minChange || change <= -minChange) {
		sample := max((ratio-r.last.ratio)/float64(change), 0)
		if r.disturbance == 0 {
			r.disturbance = sample
		} else {
			r.disturbance += sampleWeight * (sample - r.disturbance)
		}
	}
	r.last.ratio, r.last.share, r.last.known = ratio, r.share, true
}

// aimed returns the share at which the highest ratio is expected to be aimedRatio, or a given one if the disturbance is not known.
func (r *Regulator) aimed(ratio float64, otherwise Percent) Percent {
	if r.disturbance <= 0 {
		return otherwise
	}
	by := (aimedRatio - ratio) / r.disturbance
	return max(None, min(Full, r.share+Percent(max(-float64(Full), min(by, float64(Full))))))
}

// raise raises the share: towards the aimed one if the disturbance is known, and step by step otherwise.
func (r *Regulator) raise(ratio float64) {
	step := r.raised()
	aimed := r.aimed(ratio, step)
	r.share = max(r.share, min(step, r.share+Percent(raiseDamping*float64(aimed-r.share))+1, Full))
	if r.share < probeShare {
		r.share = probeShare
	}
}

// classify returns what the highest tail, against its target, means for the share.
func classify(tails []Tail) Reason {
	switch ratio := highest(tails); {
	case ratio >= 1:
		// Tails must stay below their targets, and are told in whole milliseconds.
		return Exceeded
	case ratio > nearRatio:
		return Near
	case ratio > unusedRatio:
		return Held
	}
	return Unused
}

// highest returns the highest ratio of a tail to its target.
func highest(tails []Tail) float64 {
	ratio := 0.0
	for _, t := range tails {
		ratio = max(ratio, float64(t.Measured)/float64(t.Target))
	}
	return ratio
}

// exceed lowers the share while a tail exceeds its target: to None if it goes on or the tail is far above.
func (r *Regulator) exceed(ratio float64) {
	if r.exceeded || ratio > farRatio {
		r.lower(None)
		return
	}
	r.lower(min(r.aimed(ratio, r.share/exceededDivisor), r.share/2))
}

// lower sets a lower share, and remembers the present one as too high. A share below probeShare is None.
func (r *Regulator) lower(to Percent) {
	if r.share > None {
		r.ceiling = r.share
	}
	r.share = max(to, None)
	if r.share < probeShare {
		r.share = None
	}
}

// raised returns the next higher share: fast up to three quarters of the last one that was too high, and slowly beyond.
func (r *Regulator) raised() Percent {
	knee := Full
	if r.ceiling > 0 && r.disturbance <= 0 {
		knee = r.ceiling * 3 / 4
	}
	switch {
	case r.share < probeShare:
		return probeShare
	case r.share >= knee:
		return min(r.share+slowGrowth, Full)
	}
	return min(r.share*fastGrowth, max(knee, r.share+slowGrowth), Full)
}
