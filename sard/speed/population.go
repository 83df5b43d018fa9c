package speed

import (
	"slices"
	"time"
)

// population describes the distribution of the speeds of all workers.
type population struct {
	// mean and spread are the mean and the variance of the workers' speeds; noise is the variance of the samples of one
	// worker.
	mean, spread, noise float64
}

// initialPopulation is assumed before there are samples.
var initialPopulation = population{spread: 0.08, noise: 0.05}

const (
	// priorSamples and priorWorkers are the numbers of samples and workers that initialPopulation counts as.
	priorSamples = 10
	priorWorkers = 6
	// minSpread and minNoise keep the estimates defined when all samples are equal.
	minSpread = 1e-4
	minNoise  = 2e-3
	// minComparedWeight is the weight from which a worker counts towards the spread.
	minComparedWeight = 1.5
)

// Refresh computes how workers differ from the samples so far, and forgets workers without recent ones. It shifts all
// speeds so that the median worker has the speed 0, since samples tell only the differences between workers, and returns
// what it subtracted. The caller calls it from time to time.
func (m *Model) Refresh(now time.Time) Log {
	shift := m.center(now)
	m.measure(now)
	return Log(shift)
}

// minCentered is the number of workers from which the median of their speeds is meaningful.
const minCentered = 8

// center shifts all speeds so that the median worker has the speed 0, and returns what it subtracted.
func (m *Model) center(now time.Time) float64 {
	var speeds []float64
	for _, h := range m.workers {
		if e := m.estimate(h, now); e.Known() {
			speeds = append(speeds, float64(e.Speed))
		}
	}
	if len(speeds) < minCentered {
		return 0
	}
	slices.Sort(speeds)
	shift := speeds[len(speeds)/2]
	m.mean -= shift
	for _, h := range m.workers {
		h.mean -= shift
		h.suspected -= shift
	}
	return shift
}

// measure computes the distribution of the speeds of all workers.
func (m *Model) measure(now time.Time) {
	samples := moments{weight: priorSamples, squares: priorSamples * initialPopulation.noise}
	var means moments
	inverse := 0.0
	for worker, h := range m.workers {
		age := max(now.Sub(h.at), 0)
		weight := h.weight * decay(age)
		if weight < forgottenWeight && age > halfLife {
			delete(m.workers, worker)
			continue
		}
		if weight < minComparedWeight {
			continue
		}
		samples.weight += h.weight - 1
		samples.squares += h.squares
		means.add(h.mean)
		inverse += 1 / h.weight
	}
	m.noise = max(samples.squares/samples.weight, minNoise)
	m.mean = means.mean * means.weight / (means.weight + priorWorkers)
	// The variance of the means contains what the noise adds to each of them.
	between := means.squares - m.noise*inverse
	m.spread = max((between+priorWorkers*initialPopulation.spread)/(means.weight+priorWorkers), minSpread)
}

// moments accumulates a mean and the sum of the squared deviations from it.
type moments struct {
	weight, mean, squares float64
}

// add adds a value of weight 1.
func (m *moments) add(value float64) {
	m.weight++
	deviation := value - m.mean
	m.mean += deviation / m.weight
	m.squares += deviation * (value - m.mean)
}

// Noise returns the variance of the samples of one worker, as estimated by the last Refresh.
func (m *Model) Noise() float64 { return m.noise }
