package bench

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/place"
)

// seed draws all workloads.
const seed = 20261231

// The bounds of the placement figures.
const (
	maxMakespanRatio      = 1.15
	maxMeanOfFIFO         = 0.5
	maxMeanOfBackfill     = 0.8
	maxFragmentation      = 0.05
	maxFragmentOfFIFO     = 0.25
	reclaimMargin         = 2 * time.Second
	maxUrgentStartSeconds = 8
)

func engine() scheduler { return place.New(place.Config{}) }

// Bursts are the closing bursts of all sites, beside the baselines.
func Bursts() []Figure {
	var figures []Figure
	for _, s := range sites() {
		w := newGenerator(s, seed).closing()
		bound := w.lowerBound(s.accelerators())
		ours := play(s, w, engine())
		first := play(s, w, newFIFO())
		back := play(s, w, newBackfill())
		name := "burst." + s.name
		figures = append(figures,
			Figure{name + ".makespan_ratio", ratio(ours.makespan, bound), "x bound", UpperBound(maxMakespanRatio)},
			Figure{name + ".makespan_ratio_other_seeds", worstMakespan(s), "x bound", UpperBound(maxMakespanRatio)},
			Figure{name + ".mean_of_fifo", ratio(mean(ours.completions), mean(first.completions)), "x fifo", UpperBound(maxMeanOfFIFO)},
			Figure{name + ".mean_of_backfill", ratio(mean(ours.completions), mean(back.completions)), "x backfill", UpperBound(maxMeanOfBackfill)},
			Figure{name + ".fragmentation", ours.fragmentation, "share", UpperBound(maxFragmentation)},
			Figure{name + ".fragmentation_of_fifo", quotient(ours.fragmentation, first.fragmentation), "x fifo", UpperBound(maxFragmentOfFIFO)},
		)
		figures = append(figures, ours.common(name)...)
		figures = append(figures, first.baseline(name+".fifo", bound)...)
		figures = append(figures, back.baseline(name+".backfill", bound)...)
	}
	return figures
}

// worstMakespan is the largest ratio over bursts of other seeds.
func worstMakespan(s site) float64 {
	worst := 0.0
	for _, other := range []uint64{1, 2, 3} {
		w := newGenerator(s, other).closing()
		worst = max(worst, ratio(play(s, w, engine()).makespan, w.lowerBound(s.accelerators())))
	}
	return worst
}

// common are the figures of every workload.
func (r result) common(name string) []Figure {
	return []Figure{
		{name + ".mean", mean(r.completions).Minutes(), "min", Bound{}},
		{name + ".p99", quantile(r.completions, 0.99).Minutes(), "min", Bound{}},
		{name + ".stranded", r.stranded, "share", Bound{}},
		{name + ".lost_work", r.lostWork / 3600, "accelerator-h", Bound{}},
		{name + ".moves", float64(r.moves), "gangs", Bound{}},
		{name + ".reclaims", float64(len(r.reclaims)), "claims", Bound{}},
		{name + ".reclaim_max", quantile(r.reclaims, 1).Seconds(), "s", UpperBound((grace + reclaimMargin).Seconds())},
		{name + ".unfinished", float64(r.unfinished), "jobs", UpperBound(0)},
	}
}

func (r result) baseline(name string, bound time.Duration) []Figure {
	return []Figure{
		{name + ".makespan_ratio", ratio(r.makespan, bound), "x bound", Bound{}},
		{name + ".mean", mean(r.completions).Minutes(), "min", Bound{}},
		{name + ".p99", quantile(r.completions, 0.99).Minutes(), "min", Bound{}},
		{name + ".fragmentation", r.fragmentation, "share", Bound{}},
		{name + ".stranded", r.stranded, "share", Bound{}},
	}
}

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

func quantile(list []time.Duration, q float64) time.Duration {
	if len(list) == 0 {
		return 0
	}
	sorted := slices.Sorted(slices.Values(list))
	return sorted[min(len(sorted)-1, int(q*float64(len(sorted))))]
}

func ratio(a, b time.Duration) float64 {
	return quotient(a.Seconds(), b.Seconds())
}

func quotient(a, b float64) float64 {
	if b == 0 {
		return 0
	}
	return a / b
}
