package speed

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
)

// noise is the standard deviation of the samples of one worker in the tests.
const noise = 0.3

// fleet feeds a model with samples of workers whose true speeds are known.
type fleet struct {
	model *Model
	now   time.Time
	rng   *rand.Rand
	truth []Log
}

func newFleet(truth []Log) *fleet {
	return &fleet{model: New(), now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, 2)), truth: truth}
}

// run adds samples of every worker, one in a second.
func (f *fleet) run(samples int) {
	for range samples {
		f.now = f.now.Add(time.Second)
		for i, speed := range f.truth {
			f.model.Observe(workerID(i), Sample{Speed: speed + Log(noise*f.rng.NormFloat64())}, f.now)
		}
		f.model.Refresh(f.now)
	}
}

// meanError returns the mean deviation of the estimates from the truth, both relative to the median worker.
func (f *fleet) meanError(medianSpeed Log) float64 {
	sum := 0.0
	for i, speed := range f.truth {
		sum += math.Abs(float64(f.model.Estimate(workerID(i), f.now).Speed - (speed - medianSpeed)))
	}
	return sum / float64(len(f.truth))
}

func workerID(i int) ident.Worker { return ident.Worker(fmt.Sprintf("w%03d", i)) }

// speeds returns the speeds of n workers by a function of their number.
func speeds(n int, of func(i int) Log) []Log {
	found := make([]Log, n)
	for i := range found {
		found[i] = of(i)
	}
	return found
}

// TestSpeedsAreLearned checks, for each pattern of speeds, how far the estimates are from the truth after 8 samples.
func TestSpeedsAreLearned(t *testing.T) {
	tests := []struct {
		name     string
		truth    []Log
		median   Log
		maxError float64
	}{
		{"two groups", speeds(80, func(i int) Log { return LogOf(1 - 0.54*float64(i%4/3)) }), 0, 0.12},
		{"continuum", speeds(80, func(i int) Log { return Log(i)/80 - 0.5 }), 0, 0.12},
		{"equal workers", speeds(80, func(int) Log { return 0 }), 0, 0.05},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(tt.truth)
			f.run(8)
			assert.Assert(t, f.meanError(tt.median) < tt.maxError, "%.3f", f.meanError(tt.median))
		})
	}
}

// TestQuarterTurnsSlowAndRecovers checks that a temporary slowness of a quarter of the workers is noticed with few samples
// and does not stick.
func TestQuarterTurnsSlowAndRecovers(t *testing.T) {
	f := newFleet(make([]Log, 40))
	f.run(12)
	for range 2 {
		for i := range 10 {
			f.truth[i] = LogOf(0.2) - f.truth[i]
		}
		f.run(4)
		assert.Assert(t, f.meanError(0) < 0.25, "%.3f", f.meanError(0))
	}
}

// TestFarSampleNeedsAnother checks that one sample that is far off changes nothing and that two that agree do, while two
// that contradict each other do not.
func TestFarSampleNeedsAnother(t *testing.T) {
	tests := []struct {
		name    string
		samples []Log
		moves   bool
	}{
		{"one", []Log{-1.9}, false},
		{"two that agree", []Log{-1.9, -1.8}, true},
		{"with a usual one between", []Log{-1.9, 0, -1.9}, false},
		{"two that contradict", []Log{-1.9, 1.9}, false},
		{"not a number", []Log{Log(math.NaN()), Log(math.Inf(-1))}, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			f := newFleet(make([]Log, 12))
			f.run(8)
			for _, s := range tt.samples {
				f.model.Observe(workerID(0), Sample{Speed: s}, f.now)
			}
			moved := f.model.Estimate(workerID(0), f.now).Speed < -0.5
			assert.Equal(t, moved, tt.moves)
		})
	}
}

// TestRestartAndAgeLowerConfidence checks that a restarted worker and one without recent samples count as less known.
func TestRestartAndAgeLowerConfidence(t *testing.T) {
	f := newFleet(make([]Log, 4))
	f.run(2)
	before := f.model.Estimate(workerID(0), f.now)
	f.model.Restarted(workerID(0))
	assert.Assert(t, before.Known() && !f.model.Estimate(workerID(0), f.now).Known())
	assert.Assert(t, !f.model.Estimate(workerID(1), f.now.Add(5*time.Minute)).Known())
	f.model.Refresh(f.now.Add(time.Hour))
	assert.Equal(t, len(f.model.workers), 0)
}

// TestSnapshotIsRestored checks that the next holder knows what the former one knew, and that implausible entries are left
// out.
func TestSnapshotIsRestored(t *testing.T) {
	f := newFleet(speeds(20, func(i int) Log { return Log(i % 2) }))
	f.run(6)
	snapshot := f.model.Snapshot(f.now)
	snapshot.Entries = append(snapshot.Entries,
		Entry{Worker: "negative", Weight: -1}, Entry{Worker: "heavy", Weight: 1 << 30},
		Entry{Worker: "fast", Weight: 1000, Mean: math.MaxInt32}, Entry{Worker: "slow", Weight: 1000, Mean: math.MinInt32},
		Entry{Worker: "old", Weight: 1000, AgeMs: math.MaxInt64 / 2},
	)
	next := New()
	next.Restore(snapshot, f.now)
	assert.Equal(t, len(next.workers), len(f.truth))
	for i := range f.truth {
		was, is := f.model.Estimate(workerID(i), f.now), next.Estimate(workerID(i), f.now)
		assert.Assert(t, math.Abs(float64(was.Speed-is.Speed)) < 0.01 && is.Group() == was.Group())
	}
}
