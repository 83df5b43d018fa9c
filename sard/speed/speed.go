// Package speed learns how fast workers are from samples of the run times and progress rates of their work. It performs no
// I/O and reads no clock.
//
// A speed is the logarithm of a worker's speed relative to that of a typical worker. The model knows three quantities
// from the samples themselves: how far workers differ from each other (the spread), how far the samples of one worker
// differ (the noise), and the mean of each worker. The estimate of a worker lies between its own mean and that of all,
// the nearer to its own the more samples there are and the more workers differ. On workers that are all equally fast, the
// spread becomes small, and so do all differences between estimates.
package speed

import (
	"math"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

const (
	// maxWeight limits the weight of a worker's past samples, in samples, so that its mean follows newer ones.
	maxWeight = 12
	// minKnownWeight is the weight from which a worker counts as known.
	minKnownWeight = 0.5
	// halfLife is the time in which the weight of samples halves.
	halfLife = 2 * time.Minute
	// restartFactor is what remains of the weight of a worker's samples when its process was replaced.
	restartFactor = 0.25
	// farDeviations is the number of standard deviations from the estimate from which a sample is far off, and
	// unknownFarDeviations the same for workers that are not known, which have no samples that contradict it.
	farDeviations        = 2.2
	unknownFarDeviations = 3
	// agreeDeviations is the number of standard deviations of the noise within which two samples agree.
	agreeDeviations = 2
	// sureVariances is the square of the number of standard deviations from the mean of all workers from which a worker's
	// own mean is surely another one.
	sureVariances = 4
	// forgottenWeight is the weight below which a worker is forgotten.
	forgottenWeight = 0.05
	// maxWorkers limits the number of workers that are kept.
	maxWorkers = 8192
)

// Log is the natural logarithm of a speed relative to that of a typical worker.
type Log float64

// Factor returns the speed itself, which is 1 for a typical worker.
func (l Log) Factor() float64 { return math.Exp(float64(l)) }

// LogOf returns the logarithm of a speed.
func LogOf(factor float64) Log { return Log(math.Log(factor)) }

// Sample is one observation of a worker's speed. ExtraVariance is the variance that it has beyond the noise of a good
// sample, for example because it depends on an uncertain estimate.
type Sample struct {
	Speed         Log
	ExtraVariance float64
}

// Estimate is what is known of a worker's speed.
type Estimate struct {
	Speed Log
	// Deviation is the standard deviation of Speed.
	Deviation float64
	// Weight is the number of samples, of which old and uncertain ones count less.
	Weight float64
	// Age is the time since the last sample.
	Age time.Duration
}

// Known reports whether the worker has been observed well enough for its own samples to count.
func (e Estimate) Known() bool { return e.Weight >= minKnownWeight }

// Low returns the speed that the worker probably reaches: its estimate less one standard deviation.
func (e Estimate) Low() Log { return e.Speed - Log(e.Deviation) }

// history is what was observed of one worker.
type history struct {
	// mean and weight are those of the samples, and squares is the weighted sum of their squared deviations from it.
	mean, weight, squares float64
	// suspected is a sample that was far off and is taken into account only if the next one agrees with it.
	suspected    float64
	hasSuspected bool
	// at is the time of the last sample.
	at time.Time
}

// Model holds what is known of the speeds of all workers. It is not safe for concurrent use.
type Model struct {
	workers map[ident.Worker]*history
	population
}

// New returns a Model without samples.
func New() *Model {
	return &Model{workers: map[ident.Worker]*history{}, population: initialPopulation}
}

// Estimate returns what is known of a worker's speed.
func (m *Model) Estimate(worker ident.Worker, now time.Time) Estimate {
	h := m.workers[worker]
	if h == nil {
		return Estimate{Speed: Log(m.mean), Deviation: math.Sqrt(m.spread)}
	}
	return m.estimate(h, now)
}

// estimate combines a worker's samples with the distribution of the speeds of all workers. That counts less for a worker
// whose mean is surely another one.
func (m *Model) estimate(h *history, now time.Time) Estimate {
	age := max(now.Sub(h.at), 0)
	weight := h.weight * decay(age)
	distance := h.mean - m.mean
	spread := max(m.spread, distance*distance-sureVariances*m.noise/max(weight, forgottenWeight))
	own, prior := weight/m.noise, 1/spread
	return Estimate{
		Speed: Log((h.mean*own + m.mean*prior) / (own + prior)), Deviation: math.Sqrt(1 / (own + prior)),
		Weight: weight, Age: age,
	}
}

// decay returns the factor by which the weight of samples falls within the given time.
func decay(age time.Duration) float64 {
	return math.Exp2(-age.Seconds() / halfLife.Seconds())
}

// Observe records a sample of a worker's speed. A sample that is far off the worker's estimate is held as a suspicion. If
// the next one agrees with it, the worker has another speed now, and its earlier samples are discarded; otherwise the
// suspicion is dropped.
func (m *Model) Observe(worker ident.Worker, s Sample, now time.Time) {
	if value := float64(s.Speed); math.IsNaN(value) || math.IsInf(value, 0) || !(s.ExtraVariance >= 0) {
		return
	}
	h := m.workers[worker]
	if h == nil {
		if len(m.workers) >= maxWorkers {
			return
		}
		h = &history{at: now}
		m.workers[worker] = h
	}
	value, variance := float64(s.Speed), m.noise+s.ExtraVariance
	estimate := m.estimate(h, now)
	h.weight, h.squares, h.at = estimate.Weight, h.squares*decay(estimate.Age), now
	deviations := math.Abs(value-float64(estimate.Speed)) / math.Sqrt(variance+estimate.Deviation*estimate.Deviation)
	if deviations <= farDeviations || !estimate.Known() && deviations <= unknownFarDeviations {
		h.hasSuspected = false
		h.add(value, m.noise/variance)
		return
	}
	if h.hasSuspected && math.Abs(value-h.suspected) <= agreeDeviations*math.Sqrt(2*variance) {
		*h = history{mean: h.suspected, weight: 1, at: now}
		h.add(value, 1)
		return
	}
	h.suspected, h.hasSuspected = value, true
}

// add adds a sample to the mean and limits the total weight to maxWeight.
func (h *history) add(value, weight float64) {
	deviation := value - h.mean
	h.weight += weight
	h.mean += deviation * weight / h.weight
	h.squares += weight * deviation * (value - h.mean)
	if h.weight > maxWeight {
		h.squares *= maxWeight / h.weight
		h.weight = maxWeight
	}
}

// Restarted records that a worker's process was replaced, so that its speed may be another one.
func (m *Model) Restarted(worker ident.Worker) {
	if h := m.workers[worker]; h != nil {
		h.weight *= restartFactor
		h.squares *= restartFactor
		h.hasSuspected = false
	}
}
