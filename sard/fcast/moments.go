package fcast

import "math"

const (
	// maxWeight limits the weight of past samples, so that they fade.
	maxWeight = 40
	// minTailWeight is the weight of samples from which one may count as far from the others.
	minTailWeight = 3
	// tailDeviation is how far above the mean, as a logarithm, a sample belongs to the tail.
	tailDeviation = 1.1
	// maxDeviations limits the deviation of a sample, in standard deviations, as which it counts in the mean and the
	// variance; minLimit is the least such limit.
	maxDeviations = 2.5
	minLimit      = 0.4
	// widerWeight is the weight, in samples, of what is known of the wider kind.
	widerWeight = 4
)

// moments is a mean and a variance in which old samples fade and single ones far from the rest count little.
type moments struct {
	mean, variance, weight float64
	tail                   tail
}

// tail describes the samples that are far above the rest.
type tail struct {
	// share is their share of all samples, and excess how far they are above the mean.
	share, excess float64
}

// add adds a sample.
func (m *moments) add(x float64) {
	m.weight = min(m.weight+1, maxWeight)
	step := 1 / m.weight
	deviation := x - m.mean
	if m.weight > minTailWeight {
		m.tail.add(deviation, step)
		limit := max(maxDeviations*math.Sqrt(m.variance), minLimit)
		deviation = max(-limit, min(deviation, limit))
	}
	m.mean += step * deviation
	m.variance = (1 - step) * (m.variance + step*deviation*deviation)
}

// add notes how far above the mean a sample is.
func (t *tail) add(deviation, step float64) {
	isTail := 0.0
	if deviation > tailDeviation {
		isTail = 1
		t.excess += max(step, 1.0/widerWeight) * (deviation - t.excess)
	}
	t.share += step * (isTail - t.share)
}

// belief is what is known of a logarithm: its distribution is about normal.
type belief struct {
	mean, variance float64
	// known is set if it rests on samples.
	known bool
}

// refine returns what is known of a narrower kind with the given samples.
func (b belief) refine(m *moments) belief {
	if m.weight <= 0 {
		return b
	}
	prior := float64(widerWeight)
	total := m.weight + prior
	mean := (m.weight*m.mean + prior*b.mean) / total
	if !b.known {
		mean = m.mean
	}
	// The mean of few samples is uncertain itself.
	variance := (m.weight*m.variance + prior*b.variance) / total
	return belief{mean: mean, variance: variance * (1 + 1/total), known: true}
}

// with returns what follows from two independent beliefs about one value.
func (b belief) with(other belief) belief {
	precision, otherPrecision := 1/b.variance, 1/other.variance
	total := precision + otherPrecision
	return belief{mean: (b.mean*precision + other.mean*otherPrecision) / total, variance: 1 / total, known: true}
}
