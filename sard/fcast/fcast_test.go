package fcast

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
)

// demand generates work whose run times and estimates are known.
type demand struct {
	random *rand.Rand
	median time.Duration
	// spread is the standard deviation of ln(run time); estimates are off by up to the factor off, either way.
	spread, off float64
	// tailShare is the share of work that takes tailFactor times as long.
	tailShare, tailFactor float64
}

// next returns the run time and the estimate of a piece of work.
func (d *demand) next() (runTime, estimate time.Duration) {
	seconds := d.median.Seconds() * math.Exp(d.random.NormFloat64()*d.spread)
	if d.random.Float64() < d.tailShare {
		seconds *= d.tailFactor
	}
	wrong := 1 + d.off*(2*d.random.Float64()-1)
	return time.Duration(seconds * float64(time.Second)), time.Duration(seconds * wrong * float64(time.Second))
}

// kindA is a kind of work.
var kindA = Kind{Queue: "q", Account: "a", Size: 3}

// logError returns the size of the error of a forecast, as a logarithm.
func logError(forecast, runTime time.Duration) float64 {
	return math.Abs(math.Log(forecast.Seconds() / runTime.Seconds()))
}

// TestForecastIsBetterThanEitherSource checks that forecasts are not worse than the estimates alone and than the usual run
// time alone, for good estimates and for wrong ones.
func TestForecastIsBetterThanEitherSource(t *testing.T) {
	tests := []struct{ spread, off, tailShare float64 }{
		{0.3, 0.1, 0}, {0.3, 0.9, 0}, {0.5, 0.5, 0}, {1, 0.9, 0}, {1, 0.1, 0}, {0.3, 0.9, 0.03}, {0.3, 0.1, 0.03},
	}
	for _, tt := range tests {
		t.Run(fmt.Sprint(tt), func(t *testing.T) {
			d := demand{random: rand.New(rand.NewPCG(1, 2)), median: 5 * time.Second, spread: tt.spread, off: tt.off, tailShare: tt.tailShare, tailFactor: 7}
			m := New()
			var forecastErrors, estimateErrors, usualErrors float64
			for i := range 600 {
				runTime, estimate := d.next()
				if f := m.Forecast(kindA, estimate); i >= 50 {
					assert.Assert(t, f.Learned)
					forecastErrors += logError(f.Typical, runTime)
					estimateErrors += logError(estimate, runTime)
					usualErrors += logError(d.median, runTime)
				}
				m.Observe(kindA, estimate, runTime)
			}
			assert.Assert(t, forecastErrors <= 1.1*min(estimateErrors, usualErrors), "forecasts %.1f, estimates %.1f, usual %.1f", forecastErrors, estimateErrors, usualErrors)
		})
	}
}

// TestOneSidedEstimates checks that estimates that are all too low or all too high by one factor are corrected.
func TestOneSidedEstimates(t *testing.T) {
	for _, factor := range []float64{0.1, 0.9, 1.1, 1.9} {
		t.Run(fmt.Sprint(factor), func(t *testing.T) {
			m, random := New(), rand.New(rand.NewPCG(3, 4))
			wrong := func(runTime time.Duration) time.Duration { return time.Duration(float64(runTime) * factor) }
			for range 40 {
				runTime := time.Duration((1 + 9*random.Float64()) * float64(time.Second))
				m.Observe(kindA, wrong(runTime), runTime)
			}
			f := m.Forecast(kindA, wrong(8*time.Second))
			assert.Assert(t, logError(f.Typical, 8*time.Second) < 0.15, "%v", f)
		})
	}
}

// TestHighIsExceededByOneInTen checks the upper quantile, with and without work that takes much longer.
func TestHighIsExceededByOneInTen(t *testing.T) {
	for _, tailShare := range []float64{0, 0.03, 0.2} {
		t.Run(fmt.Sprint(tailShare), func(t *testing.T) {
			d := demand{random: rand.New(rand.NewPCG(5, 6)), median: 5 * time.Second, spread: 0.4, off: 0.9, tailShare: tailShare, tailFactor: 7}
			m, over := New(), 0
			const count = 1000
			for range count {
				runTime, _ := d.next()
				if runTime > m.Forecast(kindA, 0).High {
					over++
				}
				m.Observe(kindA, 0, runTime)
			}
			assert.Assert(t, over > count*4/100 && over < count*16/100, "%d", over)
		})
	}
}

// TestNewAccountInheritsFromItsQueue checks that the first work of an account is forecast from its queue's, and that the
// account's own differs after some samples.
func TestNewAccountInheritsFromItsQueue(t *testing.T) {
	m := New()
	assert.Equal(t, m.Forecast(kindA, time.Second), Forecast{Typical: time.Second, High: m.Forecast(kindA, time.Second).High})
	for range 20 {
		m.Observe(kindA, 0, 10*time.Second)
	}
	other := Kind{Queue: "q", Account: "b", Size: 3}
	assert.Assert(t, logError(m.Forecast(other, 0).Typical, 10*time.Second) < 0.01)
	for range 20 {
		m.Observe(other, 0, time.Second)
	}
	assert.Assert(t, m.Forecast(other, 0).Typical < 3*time.Second)
	assert.Assert(t, m.Forecast(kindA, 0).Typical > 5*time.Second)
}

// TestOldSamplesFade checks that run times that change for good are followed.
func TestOldSamplesFade(t *testing.T) {
	m := New()
	for range 200 {
		m.Observe(kindA, 0, 2*time.Second)
	}
	for range 200 {
		m.Observe(kindA, 0, 20*time.Second)
	}
	assert.Assert(t, logError(m.Forecast(kindA, 0).Typical, 20*time.Second) < 0.3, "%v", m.Forecast(kindA, 0))
}

// TestMemoryIsBounded checks that the least recently used kinds are dropped and that those in use stay.
func TestMemoryIsBounded(t *testing.T) {
	m := New()
	for i := range 5 * maxKinds {
		m.Observe(Kind{Queue: "q", Account: ident.Account(fmt.Sprint("a", i))}, 0, time.Second)
		m.Observe(kindA, 0, time.Minute)
	}
	assert.Assert(t, m.Kinds() <= maxKinds)
	assert.Assert(t, m.kinds[kindA] != nil)
}

// TestSnapshotRestores checks that a restored model forecasts the same, and that impossible values are left out.
func TestSnapshotRestores(t *testing.T) {
	m, restored := New(), New()
	for i := range 50 {
		m.Observe(kindA, time.Second, time.Duration(i+1)*time.Second)
	}
	s := m.Snapshot()
	s.Kinds = append(s.Kinds, KindSnapshot{Kind: Kind{Queue: "bad"}, RunTime: MomentsSnapshot{Variance: -1, Weight: 3}})
	restored.Restore(s)
	assert.Assert(t, logError(restored.Forecast(kindA, time.Second).High, m.Forecast(kindA, time.Second).High) < 0.001)
	assert.Equal(t, restored.Kinds(), 3)
}
