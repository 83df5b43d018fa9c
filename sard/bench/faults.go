package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// wrongBy is the factor by which declared run times are off, either way.
const wrongBy = 10

// MixedBursts are bursts of small and of large jobs together on a steady stream, with urgent jobs.
func MixedBursts() []Figure {
	return each("mixed", func(s site) workload { return newGenerator(s, seed).mixed() })
}

// WrongEstimates are closing bursts whose declared run times are off by up to 10 times either way.
func WrongEstimates() []Figure {
	return each("estimates", func(s site) workload {
		g := newGenerator(s, seed)
		g.error = wrongBy
		return g.closing()
	})
}

// CancellationWave are mixed bursts of which 40% of the jobs are cancelled at once.
func CancellationWave() []Figure {
	return each("cancel", func(s site) workload {
		w := newGenerator(s, seed).mixed()
		w.cancelAt = 70 * time.Minute
		r := rand.New(rand.NewPCG(seed, 2))
		for _, t := range w.tasks {
			if !t.Urgent && t.submit < w.cancelAt && r.Float64() < 0.4 {
				w.cancels = append(w.cancels, t.ID)
			}
		}
		return w
	})
}

// BadWorkers are closing bursts in which a twentieth of the workers fails everything for two hours, with
// and without quarantine.
func BadWorkers() []Figure {
	var figures []Figure
	for _, s := range sites() {
		w := newGenerator(s, seed).closing()
		w.goodAt = 2 * time.Hour
		w.bad = map[ident.Worker]bool{}
		for i := 5; i < s.workers; i += 20 {
			w.bad[s.topology().Workers[i].Name] = true
		}
		name := "badworkers." + s.name
		for _, quarantine := range []bool{true, false} {
			limit := 0
			if !quarantine {
				limit = -1
			}
			r := play(s, w, place.New(place.Config{QuarantineThreshold: limit}))
			part := fmt.Sprintf("%s.quarantine_%v", name, quarantine)
			figures = append(figures,
				Figure{part + ".mean", mean(r.completions).Minutes(), "min", Bound{}},
				Figure{part + ".makespan_ratio", ratio(r.makespan, w.lowerBound(s.accelerators())), "x bound", Bound{}},
				Figure{part + ".failed_attempts", float64(r.failed), "attempts", Bound{}},
				Figure{part + ".jobs_refused", float64(r.refused), "jobs", Bound{}},
			)
			if quarantine {
				figures[len(figures)-1].Bound = UpperBound(0)
			}
		}
	}
	return figures
}

// RackLoss are mixed bursts in which the third rack is lost for an hour.
func RackLoss() []Figure {
	return each("rackloss", func(s site) workload {
		w := newGenerator(s, seed).mixed()
		w.loseAt, w.backAt = 65*time.Minute, 125*time.Minute
		for _, t := range s.topology().Workers[2*workersPerRack : 3*workersPerRack] {
			w.lost = append(w.lost, t.Name)
		}
		return w
	})
}

// each plays a workload on all sites.
func each(kind string, draw func(site) workload) []Figure {
	var figures []Figure
	for _, s := range sites() {
		w := draw(s)
		bound := w.lowerBound(s.accelerators())
		ours, back := play(s, w, engine()), play(s, w, newBackfill())
		name := kind + "." + s.name
		figures = append(figures, ours.common(name)...)
		figures = append(figures,
			Figure{name + ".makespan_ratio", ratio(ours.makespan, bound), "x bound", Bound{}},
			Figure{name + ".fragmentation", ours.fragmentation, "share", Bound{}},
			Figure{name + ".mean_of_backfill", ratio(mean(ours.completions), mean(back.completions)), "x backfill", Bound{}},
			Figure{name + ".fragmentation_of_backfill", quotient(ours.fragmentation, back.fragmentation), "x backfill", Bound{}},
		)
		if len(ours.urgents) > 0 {
			figures = append(figures,
				Figure{name + ".urgent_start_max", quantile(ours.urgents, 1).Seconds(), "s", UpperBound(maxUrgentStartSeconds)})
		}
	}
	return figures
}
