package bench

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/place"
)

// defaultSeed is the seed of all workloads, except those of makespan_ratio_other_seeds.
const defaultSeed = 20261231

// The bounds of the placement figures. Ratios to FIFO and backfill are those of the engine to the baseline.
const (
	maxMakespanRatio          = 1.15
	maxMeanRatioFIFO          = 0.5
	maxMeanRatioBackfill      = 0.8
	maxFragmentation          = 0.05
	maxFragmentationRatioFIFO = 0.25
	// reclaimMargin is the time that a reclaim may take beyond the checkpoint grace.
	reclaimMargin         = 2 * time.Second
	maxUrgentStartSeconds = 8
)

// newEngine returns the engine with its default configuration.
func newEngine() scheduler { return place.New(place.Config{}) }

// ClosingBursts runs the closing burst of each site against the engine and both baselines.
func ClosingBursts() []Figure {
	var figures []Figure
	for _, s := range sites() {
		w := newGenerator(s, defaultSeed).closingBurst()
		bound := w.lowerBound(s.accelerators())
		engineResult := simulate(s, w, newEngine())
		fifoResult := simulate(s, w, newFIFO())
		backfillResult := simulate(s, w, newBackfill())
		name := "burst." + s.name
		figures = append(figures,
			Figure{name + ".makespan_ratio", durationRatio(engineResult.makespan, bound), "x bound", UpperBound(maxMakespanRatio)},
			Figure{name + ".makespan_ratio_other_seeds", worstMakespanRatio(s), "x bound", UpperBound(maxMakespanRatio)},
			Figure{name + ".mean_of_fifo", durationRatio(mean(engineResult.completions), mean(fifoResult.completions)), "x fifo", UpperBound(maxMeanRatioFIFO)},
			Figure{name + ".mean_of_backfill", durationRatio(mean(engineResult.completions), mean(backfillResult.completions)), "x backfill", UpperBound(maxMeanRatioBackfill)},
			Figure{name + ".fragmentation", engineResult.fragmentation, "share", UpperBound(maxFragmentation)},
			Figure{name + ".fragmentation_of_fifo", safeDivide(engineResult.fragmentation, fifoResult.fragmentation), "x fifo", UpperBound(maxFragmentationRatioFIFO)},
		)
		figures = append(figures, engineResult.commonFigures(name)...)
		figures = append(figures, fifoResult.baselineFigures(name+".fifo", bound)...)
		figures = append(figures, backfillResult.baselineFigures(name+".backfill", bound)...)
	}
	return figures
}

// worstMakespanRatio returns the largest ratio of the makespan of the engine to its lower bound, over closing bursts
// with other seeds than defaultSeed.
func worstMakespanRatio(s site) float64 {
	worst := 0.0
	for _, otherSeed := range []uint64{1, 2, 3} {
		w := newGenerator(s, otherSeed).closingBurst()
		worst = max(worst, durationRatio(simulate(s, w, newEngine()).makespan, w.lowerBound(s.accelerators())))
	}
	return worst
}

// commonFigures returns the figures that are reported for every workload. name is the prefix of their names.
func (r result) commonFigures(name string) []Figure {
	return []Figure{
		{name + ".mean", mean(r.completions).Minutes(), "min", Bound{}},
		{name + ".p99", quantile(r.completions, 0.99).Minutes(), "min", Bound{}},
		{name + ".stranded", r.stranded, "share", Bound{}},
		{name + ".lost_work", r.lostWork / 3600, "accelerator-h", Bound{}},
		{name + ".moves", float64(r.moves), "gangs", Bound{}},
		{name + ".reclaims", float64(len(r.reclaimTimes)), "claims", Bound{}},
		{name + ".reclaim_max", quantile(r.reclaimTimes, 1).Seconds(), "s", UpperBound((checkpointGrace + reclaimMargin).Seconds())},
		{name + ".unfinished", float64(r.unfinished), "jobs", UpperBound(0)},
	}
}

// baselineFigures returns the figures of a baseline scheduler, which have no bounds. name is the prefix of their names,
// bound the lower bound of the makespan.
func (r result) baselineFigures(name string, bound time.Duration) []Figure {
	return []Figure{
		{name + ".makespan_ratio", durationRatio(r.makespan, bound), "x bound", Bound{}},
		{name + ".mean", mean(r.completions).Minutes(), "min", Bound{}},
		{name + ".p99", quantile(r.completions, 0.99).Minutes(), "min", Bound{}},
		{name + ".fragmentation", r.fragmentation, "share", Bound{}},
		{name + ".stranded", r.stranded, "share", Bound{}},
	}
}

// mean returns the mean of a list; 0 when it is empty.
func mean(list []time.Duration) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sum := time.Duration(0)
	for _, d := range list {
		sum += d
	}
	return sum / time.Duration(len(list))
}

// quantile returns the q-quantile of a list, which need not be sorted; 0 when it is empty.
func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

// durationRatio returns a/b; 0 when b is 0.
func durationRatio(a, b time.Duration) float64 {
	return safeDivide(a.Seconds(), b.Seconds())
}

// safeDivide returns a/b; 0 when b is 0.
func safeDivide(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
