package speed

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// maxEntries limits the number of workers in a snapshot.
const maxEntries = 2048

// Snapshot is what is known of the speeds of workers, for the next holder of the scheduler lease.
type Snapshot struct {
	Mean    float64 `cbor:",omitempty"`
	Spread  float64
	Noise   float64
	Entries []Entry `cbor:",omitempty"`
}

// Entry is what is known of one worker.
type Entry struct {
	Worker ident.Worker
	// Mean is the mean of the worker's samples in thousandths.
	Mean int32
	// Squares and Weight are the squared deviations and the weight of its samples in thousandths.
	Squares, Weight int32
	// AgeMs is the time since its last sample in milliseconds.
	AgeMs int64
}

const (
	// maxEntryAge is the age from which on the samples of a worker count for nothing.
	maxEntryAge = 30 * halfLife
	// maxEntryMean limits the means of workers, as logarithms of speeds.
	maxEntryMean = 8
)

// maxVariance limits what Restore takes over of the distribution of speeds.
const maxVariance = 4

// thousandths is the factor between a value and its form in an Entry.
const thousandths = 1000

// Snapshot returns what is known, without the workers that are known least if there are too many.
func (m *Model) Snapshot(now time.Time) Snapshot {
	s := Snapshot{Mean: m.mean, Spread: m.spread, Noise: m.noise}
	for worker, h := range m.workers {
		if h.weight > 0 {
			s.Entries = append(s.Entries, Entry{
				Worker: worker, Mean: int32(h.mean * thousandths), Squares: int32(h.squares * thousandths),
				Weight: int32(h.weight * thousandths), AgeMs: max(now.Sub(h.at), 0).Milliseconds(),
			})
		}
	}
	slices.SortFunc(s.Entries, func(a, b Entry) int {
		return cmp.Or(cmp.Compare(b.Weight, a.Weight), cmp.Compare(a.AgeMs, b.AgeMs), cmp.Compare(a.Worker, b.Worker))
	})
	s.Entries = s.Entries[:min(len(s.Entries), maxEntries)]
	return s
}

// Restore adds what a snapshot says of workers that have not been observed yet. Entries that make no sense are left out.
func (m *Model) Restore(s Snapshot, now time.Time) {
	if len(m.workers) == 0 && s.plausible() {
		m.population = population{mean: s.Mean, spread: s.Spread, noise: s.Noise}
	}
	for _, e := range s.Entries[:min(len(s.Entries), maxEntries)] {
		if m.workers[e.Worker] != nil || !e.plausible() {
			continue
		}
		m.workers[e.Worker] = &history{
			mean: float64(e.Mean) / thousandths, squares: float64(e.Squares) / thousandths,
			weight: float64(e.Weight) / thousandths, at: now.Add(-time.Duration(e.AgeMs) * time.Millisecond),
		}
	}
}

// plausible reports whether the entry can be that of a real worker, and is of use.
func (e Entry) plausible() bool {
	return e.Weight > 0 && e.Weight <= maxWeight*thousandths && e.Squares >= 0 && e.AgeMs >= 0 && e.AgeMs <= maxEntryAge.Milliseconds() &&
		e.Mean >= -maxEntryMean*thousandths && e.Mean <= maxEntryMean*thousandths
}

// plausible reports whether the distribution of speeds in a snapshot can be that of real workers.
func (s Snapshot) plausible() bool {
	return s.Spread >= minSpread && s.Spread <= maxVariance && s.Noise >= minNoise && s.Noise <= maxVariance && math.Abs(s.Mean) <= maxVariance
}
