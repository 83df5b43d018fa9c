package fcast

import (
	"cmp"
	"math"
	"slices"
)

// Snapshot is what a Model has learned, for the next one.
type Snapshot struct {
	_ struct{} `cbor:",toarray"`
	// Kinds holds the kinds, the most recently used first.
	Kinds []KindSnapshot
}

// KindSnapshot is what is known of a kind.
type KindSnapshot struct {
	_                             struct{} `cbor:",toarray"`
	Kind                          Kind
	RunTime, EstimateError, Parts MomentsSnapshot
}

// MomentsSnapshot holds a mean and a variance with the weight of their samples, and the tail above them.
type MomentsSnapshot struct {
	_                                         struct{} `cbor:",toarray"`
	Mean, Variance, Weight, TailShare, Excess float32
}

// Snapshot returns what the model has learned.
func (m *Model) Snapshot() Snapshot {
	s := Snapshot{Kinds: make([]KindSnapshot, 0, len(m.kinds))}
	for k, h := range m.kinds {
		s.Kinds = append(s.Kinds, KindSnapshot{Kind: k, RunTime: h.runTime.snapshot(), EstimateError: h.estimateError.snapshot(), Parts: h.parts.snapshot()})
	}
	slices.SortFunc(s.Kinds, func(a, b KindSnapshot) int {
		return cmp.Or(cmp.Compare(m.kinds[b.Kind].used, m.kinds[a.Kind].used), compareKind(a.Kind, b.Kind))
	})
	return s
}

// compareKind orders kinds.
func compareKind(a, b Kind) int {
	return cmp.Or(cmp.Compare(a.Queue, b.Queue), cmp.Compare(a.Account, b.Account), cmp.Compare(a.Image, b.Image), cmp.Compare(a.Size, b.Size))
}

// snapshot converts moments.
func (m *moments) snapshot() MomentsSnapshot {
	return MomentsSnapshot{
		Mean: float32(m.mean), Variance: float32(m.variance), Weight: float32(m.weight),
		TailShare: float32(m.tail.share), Excess: float32(m.tail.excess),
	}
}

// Restore takes over what another model has learned, for the kinds that this one does not know. It leaves out what makes
// no sense.
func (m *Model) Restore(s Snapshot) {
	for _, k := range slices.Backward(s.Kinds[:min(len(s.Kinds), maxKinds)]) {
		if m.kinds[k.Kind] != nil || !k.RunTime.plausible() || !k.EstimateError.plausible() || !k.Parts.plausible() {
			continue
		}
		h := m.history(k.Kind)
		h.runTime, h.estimateError, h.parts = k.RunTime.moments(), k.EstimateError.moments(), k.Parts.moments()
	}
}

// plausible reports whether the values can be those of samples.
func (s MomentsSnapshot) plausible() bool {
	for _, value := range []float32{s.Mean, s.Variance, s.Weight, s.TailShare, s.Excess} {
		if v := float64(value); math.IsNaN(v) || math.Abs(v) > maxWeight {
			return false
		}
	}
	return s.Variance >= 0 && s.Weight >= 0 && s.TailShare >= 0 && s.TailShare <= 1 && s.Mean <= maxLogSeconds
}

// moments converts a snapshot.
func (s MomentsSnapshot) moments() moments {
	return moments{
		mean: float64(s.Mean), variance: float64(s.Variance), weight: float64(s.Weight),
		tail: tail{share: float64(s.TailShare), excess: float64(s.Excess)},
	}
}
