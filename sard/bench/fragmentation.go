package bench

import (
	"math"
	"math/bits"
	"math/rand/v2"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// fragmentationMeter averages fragmentation over time. It computes it from the assignments only, so that it measures
// all schedulers alike. Cells are aligned blocks of a power of two of accelerators, in the order of racks and workers.
type fragmentationMeter struct {
	// perWorker is the number of accelerators of each worker.
	perWorker   int
	workerIndex map[ident.Worker]int
	// unavailable holds the lost workers.
	unavailable map[ident.Worker]bool
	// used tells for each accelerator whether a gang uses it.
	used       []bool
	lastUpdate time.Time
	start      time.Time
	// fragmentationSum and strandedSum are the integrals over time, in seconds, of the values that measure returns.
	fragmentationSum float64
	strandedSum      float64
}

// newFragmentationMeter returns a meter for a site whose accelerators are all free.
func newFragmentationMeter(s site, begin time.Time) *fragmentationMeter {
	meter := &fragmentationMeter{
		perWorker:   int(s.acceleratorsPerWorker),
		workerIndex: map[ident.Worker]int{}, unavailable: map[ident.Worker]bool{},
		lastUpdate: begin, start: begin,
	}
	for i, w := range s.topology().Workers {
		meter.workerIndex[w.Name] = i
	}
	meter.used = make([]bool, s.accelerators())
	return meter
}

// setUsed marks the accelerators of parts as used when delta is 1, as free when it is -1.
func (m *fragmentationMeter) setUsed(parts []place.Part, delta int) {
	for _, p := range parts {
		for set := uint64(p.Accelerators); set != 0; set &= set - 1 {
			m.used[m.workerIndex[p.Worker]*m.perWorker+bits.TrailingZeros64(set)] = delta > 0
		}
	}
}

// setAvailable records that a worker is lost or has recovered.
func (m *fragmentationMeter) setAvailable(w ident.Worker, available bool) {
	m.unavailable[w] = !available
}

// advance adds the time until at, in which the assignment did not change. cellSize is rounded up to a power of two.
func (m *fragmentationMeter) advance(at time.Time, cellSize int) {
	span := at.Sub(m.lastUpdate).Seconds()
	m.lastUpdate = at
	if span <= 0 || cellSize == 0 {
		return
	}
	fragmentation, stranded := m.measure(1 << bits.Len(uint(cellSize-1)))
	m.fragmentationSum += fragmentation * span
	m.strandedSum += stranded * span
}

// measure returns the fragmentation for cells of a size, which is the share of the cells that the free accelerators
// could form but do not, and the stranded share: the accelerators that are free, but in no free cell, among all.
func (m *fragmentationMeter) measure(cellSize int) (fragmentation, stranded float64) {
	free, freeCells := 0, 0
	for first := 0; first < len(m.used); first += cellSize {
		freeInCell := 0
		for i := first; i < min(first+cellSize, len(m.used)); i++ {
			if !m.used[i] && !m.isUnavailable(i) {
				freeInCell++
			}
		}
		free += freeInCell
		if freeInCell == cellSize {
			freeCells++
		}
	}
	if possibleCells := free / cellSize; possibleCells > 0 {
		fragmentation = 1 - float64(freeCells)/float64(possibleCells)
	}
	return fragmentation, float64(free-freeCells*cellSize) / float64(len(m.used))
}

// isUnavailable reports whether the accelerator is on a lost worker.
func (m *fragmentationMeter) isUnavailable(i int) bool {
	if len(m.unavailable) == 0 {
		return false
	}
	for w, unavailable := range m.unavailable {
		if unavailable && m.workerIndex[w] == i/m.perWorker {
			return true
		}
	}
	return false
}

// averages returns the averages over the time since the start.
func (m *fragmentationMeter) averages() (fragmentation, stranded float64) {
	span := m.lastUpdate.Sub(m.start).Seconds()
	if span <= 0 {
		return 0, 0
	}
	return m.fragmentationSum / span, m.strandedSum / span
}

// logNormalFactor draws from a log-normal distribution with median 1. spread is the standard deviation of the
// logarithm.
func logNormalFactor(r *rand.Rand, spread float64) float64 {
	return math.Exp(spread * r.NormFloat64())
}
