// Package fcast forecasts the run times of work from the run times of similar work that has ended and from the
// submitters' estimates.
//
// Run times and the errors of estimates vary by factors, so their logarithms are averaged, for each kind of work and for
// the wider kinds around it. What is known of a narrow kind counts by its samples; the wider kind stands in for the rest.
// Both give a forecast with a variance, which are combined: the better a queue and an account have estimated, and the
// more their run times differ, the more an estimate counts.
package fcast

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// Forecast is what is known of a run time on a worker of normal speed before the work has started.
type Forecast struct {
	// Typical is the median, and High a run time that one in ten exceeds.
	Typical, High time.Duration
	// Learned is set if it rests on work that has ended, and not on the estimate alone.
	Learned bool
}

// SizeClass groups work by its size: the binary logarithm of its parts times the processor cores of each.
type SizeClass int

// SizeOf returns the class of a size, which counts parts times cores.
func SizeOf(size int64) SizeClass {
	return SizeClass(math.Round(math.Log2(float64(max(size, 1)))))
}

// Kind identifies work that is taken to be similar.
type Kind struct {
	_       struct{} `cbor:",toarray"`
	Queue   work.QueueName
	Account ident.Account
	Image   string
	Size    SizeClass
	Gang    bool
}

// widening returns the kinds that contain a kind, widest first: its queue, its account in the queue, and itself.
func (k Kind) widening() [3]Kind {
	return [3]Kind{{Queue: k.Queue}, {Queue: k.Queue, Account: k.Account}, k}
}

const (
	// maxKinds is how many kinds are kept. The least recently used ones are dropped.
	maxKinds = 384
	// priorRunTimeVariance and priorErrorVariance are the variances that are assumed without samples, of the logarithms of
	// run times and of run times over estimates.
	priorRunTimeVariance = 0.6
	priorErrorVariance   = 0.15
	// highDeviations is how many standard deviations one in ten of normally distributed values is above the mean.
	highDeviations = 1.2816
	// highShare is the share of work that exceeds Forecast.High.
	highShare = 0.1
	// maxLogSeconds limits forecasts, as logarithms of seconds.
	maxLogSeconds = 16
)

// history is what is known of one kind.
type history struct {
	// runTime is of ln(seconds), estimateError of ln(run time / estimate), both of the median part of a step.
	runTime, estimateError moments
	// parts is of the variances of ln(run time) among the parts of a step.
	parts moments
	// used is the Model's clock at the latest use.
	used uint64
}

// Model learns run times. It is not safe for concurrent use.
type Model struct {
	kinds map[Kind]*history
	// clock counts the uses, and samples the observations.
	clock, samples uint64
}

// New returns a Model that knows nothing.
func New() *Model {
	return &Model{kinds: map[Kind]*history{}}
}

// Observe records the run times of the equal parts of a step, as they would be on workers of normal speed. They count as one
// sample, since they do one kind of work and share an estimate, in which 0 is none. How far they differ is no error of the
// estimate.
func (m *Model) Observe(k Kind, estimate time.Duration, runTimes ...time.Duration) {
	logs := make([]float64, 0, len(runTimes))
	for _, runTime := range runTimes {
		if runTime > 0 {
			logs = append(logs, math.Log(runTime.Seconds()))
		}
	}
	if len(logs) == 0 {
		return
	}
	slices.Sort(logs)
	median := (logs[(len(logs)-1)/2] + logs[len(logs)/2]) / 2
	m.samples++
	for _, wider := range k.widening() {
		h := m.history(wider)
		h.runTime.add(median)
		if estimate > 0 {
			h.estimateError.add(median - math.Log(estimate.Seconds()))
		}
		if len(logs) > 1 {
			h.parts.add(varianceAround(logs, median))
		}
	}
}

// varianceAround returns the mean squared distance of values from a center.
func varianceAround(values []float64, center float64) float64 {
	sum := 0.0
	for _, v := range values {
		sum += (v - center) * (v - center)
	}
	return sum / float64(len(values))
}

// Samples returns the number of observations.
func (m *Model) Samples() uint64 { return m.samples }

// Kinds returns the number of kinds that are kept.
func (m *Model) Kinds() int { return len(m.kinds) }

// history returns what is known of a kind, and makes room for it if it is new.
func (m *Model) history(k Kind) *history {
	h := m.kinds[k]
	if h == nil {
		if len(m.kinds) >= maxKinds {
			m.dropLeastUsed()
		}
		h = &history{}
		m.kinds[k] = h
	}
	m.clock++
	h.used = m.clock
	return h
}

// dropLeastUsed forgets an eighth of the kinds, the least recently used.
func (m *Model) dropLeastUsed() {
	uses := make([]uint64, 0, len(m.kinds))
	for _, h := range m.kinds {
		uses = append(uses, h.used)
	}
	slices.SortFunc(uses, cmp.Compare[uint64])
	limit := uses[len(uses)/8]
	for k, h := range m.kinds {
		if h.used <= limit {
			delete(m.kinds, k)
		}
	}
}

// Forecast returns the forecast run time of work with the given estimate, 0 for none.
func (m *Model) Forecast(k Kind, estimate time.Duration) Forecast {
	runTime := belief{variance: priorRunTimeVariance}
	estimateError := belief{variance: priorErrorVariance}
	var above tail
	parts := 0.0
	for _, wider := range k.widening() {
		h := m.kinds[wider]
		if h == nil {
			break
		}
		m.clock++
		h.used = m.clock
		runTime = runTime.refine(&h.runTime)
		estimateError = estimateError.refine(&h.estimateError)
		above = h.runTime.tail
		parts = h.parts.mean
	}
	if estimate <= 0 && !runTime.known {
		return Forecast{}
	}
	combined := combine(runTime, estimateError, estimate)
	combined.variance += parts
	return combined.forecast(above)
}

// combine returns what follows from what is known of run times and of the errors of estimates.
func combine(runTime, estimateError belief, estimate time.Duration) belief {
	if estimate <= 0 {
		return runTime
	}
	corrected := estimateError
	corrected.mean += math.Log(estimate.Seconds())
	if !runTime.known {
		return corrected
	}
	return runTime.with(corrected)
}

// forecast converts a belief about a logarithmic run time.
func (b belief) forecast(t tail) Forecast {
	high := b.mean + highDeviations*math.Sqrt(b.variance)
	if t.share > highShare {
		high = max(high, b.mean+t.excess)
	}
	return Forecast{Typical: fromLog(b.mean), High: fromLog(high), Learned: b.known}
}

// fromLog returns the duration with the given logarithm of seconds.
func fromLog(logSeconds float64) time.Duration {
	return time.Duration(math.Exp(min(logSeconds, maxLogSeconds)) * float64(time.Second))
}
