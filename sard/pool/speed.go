package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/work"
)

const (
	// priorWeight is the weight, in samples, of the prior assumption of normal speed or an unbiased estimate.
	priorWeight = 1
	// maxSampleWeight limits the total weight of past samples so that the mean follows newer ones.
	maxSampleWeight = 12
	// outlierThreshold is the logarithmic deviation above which a sample is ignored, as it reflects a temporary problem
	// and not the worker's usual speed.
	outlierThreshold = 0.7
	// runTimeVariance is the variance of the logarithmic run time of a step's parts on equally fast workers.
	runTimeVariance = 0.02
	// minComparedParts is the minimum number of parts of a step whose run times are compared with each other.
	minComparedParts = 4
	// fastThreshold and slowThreshold are the speeds, relative to normal, from which a worker counts as fast or below
	// which it counts as slow.
	fastThreshold = 1.09
	slowThreshold = 0.9
)

// runningMean is a weighted mean with a prior of 0 that gradually discounts old values.
type runningMean struct {
	sum, weight float64
}

// value returns the mean, including the prior.
func (m *runningMean) value() float64 {
	return m.sum / (m.weight + priorWeight)
}

// add adds a weighted value and limits the total weight to maxSampleWeight.
func (m *runningMean) add(value, weight float64) {
	m.sum += value * weight
	m.weight += weight
	if m.weight > maxSampleWeight {
		m.sum *= maxSampleWeight / m.weight
		m.weight = maxSampleWeight
	}
}

// estimateErrors tracks how the estimated run times of a queue's jobs deviate from the actual ones on workers of normal
// speed.
type estimateErrors struct {
	// bias is the mean of log(estimate / run time); variance is the variance of the deviations from it.
	bias, variance runningMean
}

// speedClass classifies workers by their usual speed.
type speedClass int

// Speed classes, slowest first.
const (
	slowSpeed speedClass = iota
	normalSpeed
	fastSpeed
)

// classifySpeed returns the worker's speed class relative to other workers.
func (n *node) classifySpeed() speedClass {
	// The deviation is 0 without Config.WorkerSpeeds.
	if n.known.Deviation > 0 && !n.known.Known() {
		return normalSpeed
	}
	switch factor := math.Exp(n.logSpeed.value()); {
	case factor >= fastThreshold:
		return fastSpeed
	case factor < slowThreshold:
		return slowSpeed
	default:
		return normalSpeed
	}
}

// learnSpeed records the run time of a successful group as a sample of its workers' speed. Attempts that resumed from a
// checkpoint are ignored. Steps with enough parts are left to compareRunTimes.
func (e *Engine) learnSpeed(g *group, now time.Time) {
	if e.speeds != nil {
		e.learnFromEnd(g, now)
		return
	}
	if !g.progress.fromStart || g.phase != placed || g.spec().Estimate <= 0 || !now.After(g.startedAt) {
		return
	}
	g.runTime = now.Sub(g.startedAt)
	g.ranOn = g.currentNodes()
	if len(g.stepState().groups) >= minComparedParts {
		return
	}
	observed := math.Log(e.forecast(g).Typical.Seconds() / g.runTime.Seconds())
	errors := e.estimateErrorsOf(g.job.Queue)
	expected := slowest(g.ranOn).logSpeed.value()
	sample := observed - errors.bias.value()
	deviation := sample - expected
	if math.Abs(deviation) > outlierThreshold {
		return
	}
	errors.bias.add(observed-expected, 1)
	errors.variance.add(deviation*deviation, 1)
	addSpeedSample(g.ranOn, sample, runTimeVariance/(runTimeVariance+errors.variance.value()))
}

// estimateErrorsOf returns the observed errors of the run time estimates in a queue and creates an empty record if
// there is none.
func (e *Engine) estimateErrorsOf(queue work.QueueName) *estimateErrors {
	found := e.estimateErrors[queue]
	if found == nil {
		found = &estimateErrors{}
		e.estimateErrors[queue] = found
	}
	return found
}

// medianOf sorts values, of which there must be one, and returns their median; of an even number, the higher middle one.
func medianOf[T cmp.Ordered](values []T) T {
	slices.Sort(values)
	return values[len(values)/2]
}

// compareRunTimes derives speed samples from the run times of a step's parts once all have ended. The parts share one
// estimate, so its error cancels out. It is not used with Config.WorkerSpeeds.
func (s *stepState) compareRunTimes() {
	var logRunTimes []float64
	for _, g := range s.groups {
		if g.runTime > 0 {
			logRunTimes = append(logRunTimes, g.normalizedLogRunTime())
		}
	}
	if len(logRunTimes) < minComparedParts {
		return
	}
	median := medianOf(logRunTimes)
	for _, g := range s.groups {
		if sample := median - math.Log(g.runTime.Seconds()); g.runTime > 0 && math.Abs(sample) < outlierThreshold {
			addSpeedSample(g.ranOn, sample, 1)
		}
	}
}

// normalizedLogRunTime returns the logarithm of the run time that the group would have had on a worker of normal speed.
func (g *group) normalizedLogRunTime() float64 {
	return math.Log(g.runTime.Seconds()) + slowest(g.ranOn).logSpeed.value()
}

// addSpeedSample adds a speed sample for nodes that ran a group together. The sample measures the slowest node; it
// raises the speed of any other node only if that is below the sample, as the others are at least as fast.
func addSpeedSample(nodes []*node, sample, weight float64) {
	slowestNode := slowest(nodes)
	for _, n := range nodes {
		if n == slowestNode || n.logSpeed.value() < sample {
			n.logSpeed.add(sample, weight)
		}
	}
}

// slowest returns the node with the lowest speed.
func slowest(nodes []*node) *node {
	return slices.MinFunc(nodes, func(a, b *node) int {
		return cmp.Or(cmp.Compare(a.logSpeed.value(), b.logSpeed.value()), cmp.Compare(a.index, b.index))
	})
}

// currentNodes returns the distinct nodes on which the group may be running.
func (g *group) currentNodes() []*node {
	var found []*node
	for i := range g.parts {
		if n := g.parts[i].node; n != nil && !slices.Contains(found, n) {
			found = append(found, n)
		}
	}
	return found
}
