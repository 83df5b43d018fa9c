package bench

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// estimateErrorFactor is the largest factor by which declared run times are too long or too short in WrongEstimates.
const estimateErrorFactor = 10

// MixedBursts runs a steady stream of jobs with bursts of small and of large jobs on each site, with the engine and
// with the backfill baseline.
func MixedBursts() []Figure {
	return compareOnAllSites("mixed", func(s site) workload { return newGenerator(s, defaultSeed).mixedLoad() })
}

// WrongEstimates runs closing bursts whose declared run times are wrong by a factor of up to estimateErrorFactor.
func WrongEstimates() []Figure {
	return compareOnAllSites("estimates", func(s site) workload {
		g := newGenerator(s, defaultSeed)
		g.estimateError = estimateErrorFactor
		return g.closingBurst()
	})
}

// CancellationWave runs mixed loads of which 40% of the submitted jobs that are not urgent are cancelled at once.
func CancellationWave() []Figure {
	return compareOnAllSites("cancel", func(s site) workload {
		w := newGenerator(s, defaultSeed).mixedLoad()
		w.cancelAt = 70 * time.Minute
		r := rand.New(rand.NewPCG(defaultSeed, 2))
		for _, t := range w.tasks {
			if !t.Urgent && t.submitAfter < w.cancelAt && r.Float64() < 0.4 {
				w.cancelled = append(w.cancelled, t.ID)
			}
		}
		return w
	})
}

// BadWorkers runs closing bursts in which all attempts on a twentieth of the workers fail for two hours. It runs them
// with and without quarantine, by which the engine limits a worker on which jobs keep failing to one gang at a time.
func BadWorkers() []Figure {
	var figures []Figure
	for _, s := range sites() {
		w := newGenerator(s, defaultSeed).closingBurst()
		w.badUntil = 2 * time.Hour
		w.badWorkers = map[ident.Worker]bool{}
		for i := 5; i < s.workers; i += 20 {
			w.badWorkers[s.topology().Workers[i].Name] = true
		}
		name := "badworkers." + s.name
		for _, quarantine := range []bool{true, false} {
			limit := 0
			if !quarantine {
				limit = -1
			}
			r := simulate(s, w, place.New(place.Config{QuarantineThreshold: limit}))
			variant := fmt.Sprintf("%s.quarantine_%v", name, quarantine)
			figures = append(figures,
				Figure{variant + ".mean", mean(r.completions).Minutes(), "min", Bound{}},
				Figure{variant + ".makespan_ratio", durationRatio(r.makespan, w.lowerBound(s.accelerators())), "x bound", Bound{}},
				Figure{variant + ".failed_attempts", float64(r.failedAttempts), "attempts", Bound{}},
				Figure{variant + ".jobs_refused", float64(r.refusedJobs), "jobs", Bound{}},
			)
			if quarantine {
				figures[len(figures)-1].Bound = UpperBound(0)
			}
		}
	}
	return figures
}

// RackLoss runs mixed loads in which the third rack is lost for an hour.
func RackLoss() []Figure {
	return compareOnAllSites("rackloss", func(s site) workload {
		w := newGenerator(s, defaultSeed).mixedLoad()
		w.lossAt, w.recoveryAt = 65*time.Minute, 125*time.Minute
		for _, t := range s.topology().Workers[2*workersPerRack : 3*workersPerRack] {
			w.lostWorkers = append(w.lostWorkers, t.Name)
		}
		return w
	})
}

// compareOnAllSites runs the workload of each site with the engine and with the backfill baseline, and returns the
// figures of both. Their names start with prefix.
func compareOnAllSites(prefix string, newWorkload func(site) workload) []Figure {
	var figures []Figure
	for _, s := range sites() {
		w := newWorkload(s)
		bound := w.lowerBound(s.accelerators())
		engineResult, backfillResult := simulate(s, w, newEngine()), simulate(s, w, newBackfill())
		name := prefix + "." + s.name
		figures = append(figures, engineResult.commonFigures(name)...)
		figures = append(figures,
			Figure{name + ".makespan_ratio", durationRatio(engineResult.makespan, bound), "x bound", Bound{}},
			Figure{name + ".fragmentation", engineResult.fragmentation, "share", Bound{}},
			Figure{name + ".mean_of_backfill", durationRatio(mean(engineResult.completions), mean(backfillResult.completions)), "x backfill", Bound{}},
			Figure{name + ".fragmentation_of_backfill", safeDivide(engineResult.fragmentation, backfillResult.fragmentation), "x backfill", Bound{}},
		)
		if len(engineResult.urgentStarts) > 0 {
			figures = append(figures,
				Figure{name + ".urgent_start_max", quantile(engineResult.urgentStarts, 1).Seconds(), "s", UpperBound(maxUrgentStartSeconds)})
		}
	}
	return figures
}
