package pool

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/work"
)

const (
	// speedPrior is how many samples the assumption weighs that a worker, or an estimate, is as usual.
	speedPrior = 1
	// speedMemory bounds the weight of what was seen before, in samples, so that newer ones count.
	speedMemory = 12
	// oddSample is the logarithm beyond which a sample tells of trouble and not of the worker's usual speed.
	oddSample = 0.7
	// partSpread is the variance of the logarithm of run times of a step's parts on equal workers.
	partSpread = 0.02
	// comparedParts is the least number of parts of a step whose run times are compared with each other.
	comparedParts = 4
	// swiftSpeed and sluggishSpeed bound the workers that count as fast and as slow, against the usual speed.
	swiftSpeed    = 1.09
	sluggishSpeed = 0.9
)

// average is a weighted mean that starts at 0 and forgets old values slowly.
type average struct {
	sum, weight float64
}

func (a *average) value() float64 {
	return a.sum / (a.weight + speedPrior)
}

func (a *average) add(value, weight float64) {
	a.sum += value * weight
	a.weight += weight
	if a.weight > speedMemory {
		a.sum *= speedMemory / a.weight
		a.weight = speedMemory
	}
}

// estimates tells how the estimates of a queue's jobs compare with their run times on usual workers.
type estimates struct {
	// bias is the mean logarithm of the estimate over the run time, and variance that of the deviations from it.
	bias, variance average
}

// speedClass sorts workers by how fast they usually are.
type speedClass int

// The classes of speed.
const (
	sluggish speedClass = iota
	usual
	swift
)

// class returns how fast the worker usually is, compared with others.
func (n *node) class() speedClass {
	switch factor := math.Exp(n.speed.value()); {
	case factor >= swiftSpeed:
		return swift
	case factor < sluggishSpeed:
		return sluggish
	default:
		return usual
	}
}

// learn takes the run time of a group that has just ended well as a sample of its workers' speed. Only attempts that
// did all of the work count.
func (e *Engine) learn(g *group, now time.Time) {
	if !g.watch.whole || g.phase != placed || g.spec().Estimate <= 0 || !now.After(g.startedAt) {
		return
	}
	g.took = now.Sub(g.startedAt)
	g.ranOn = g.nodes()
	if len(g.stage().groups) >= comparedParts {
		return
	}
	seen := math.Log(g.spec().Estimate.Seconds() / g.took.Seconds())
	queue := e.estimatesOf(g.job.Queue)
	expected := slowest(g.ranOn).speed.value()
	sample := seen - queue.bias.value()
	deviation := sample - expected
	if math.Abs(deviation) > oddSample {
		return
	}
	queue.bias.add(seen-expected, 1)
	queue.variance.add(deviation*deviation, 1)
	teach(g.ranOn, sample, partSpread/(partSpread+queue.variance.value()))
}

func (e *Engine) estimatesOf(queue work.QueueName) *estimates {
	found := e.estimates[queue]
	if found == nil {
		found = &estimates{}
		e.estimates[queue] = found
	}
	return found
}

// compare takes the run times of a step's parts as samples of their workers' speed, once all have ended. They share
// one estimate, so its error does not count.
func (s *stage) compare() {
	var lengths []float64
	for _, g := range s.groups {
		if g.took > 0 {
			lengths = append(lengths, g.length())
		}
	}
	if len(lengths) < comparedParts {
		return
	}
	slices.Sort(lengths)
	median := lengths[len(lengths)/2]
	for _, g := range s.groups {
		if sample := median - math.Log(g.took.Seconds()); g.took > 0 && math.Abs(sample) < oddSample {
			teach(g.ranOn, sample, 1)
		}
	}
}

// length is the logarithm of the time that the group would have taken on a worker of usual speed.
func (g *group) length() float64 {
	return math.Log(g.took.Seconds()) + slowest(g.ranOn).speed.value()
}

// teach takes a sample of the speed of nodes that worked together, at the pace of the slowest: all others are at least
// as fast.
func teach(nodes []*node, sample, weight float64) {
	last := slowest(nodes)
	for _, n := range nodes {
		if n == last || n.speed.value() < sample {
			n.speed.add(sample, weight)
		}
	}
}

func slowest(nodes []*node) *node {
	return slices.MinFunc(nodes, func(a, b *node) int {
		return cmp.Or(cmp.Compare(a.speed.value(), b.speed.value()), cmp.Compare(a.index, b.index))
	})
}

// nodes returns the workers on which the group may run, each once.
func (g *group) nodes() []*node {
	var found []*node
	for i := range g.parts {
		if n := g.parts[i].node; n != nil && !slices.Contains(found, n) {
			found = append(found, n)
		}
	}
	return found
}
