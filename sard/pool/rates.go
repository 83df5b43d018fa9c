package pool

import (
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

const (
	// observationLifetime is how long an observed progress rate is taken into account.
	observationLifetime = 4 * time.Second
	// slowRateRatio is the ratio of observed to estimated progress rate below which a worker counts as slow.
	slowRateRatio = 0.4
	// minSlowJobs is the number of jobs that must be slow on a worker, since the estimate of a single one may be wrong.
	minSlowJobs = 2
)

// rateHistory holds recent progress rates on a worker relative to the estimates of the jobs that it runs.
type rateHistory struct {
	byJob map[ident.Job]rateObservation
}

// rateObservation is the latest progress rate of one job on a worker.
type rateObservation struct {
	// ratio is the observed rate divided by the rate that the job's estimated run time implies.
	ratio float64
	// slowedDown is set if the job runs much slower than it did at its best.
	slowedDown bool
	observedAt time.Time
}

// record stores the progress rate of a group on the worker. The parts of a gang all run at the speed of the slowest.
func (h *rateHistory) record(g *group, now time.Time) {
	estimate := g.spec().Estimate.Seconds()
	if g.progress.rate <= 0 || estimate <= 0 {
		return
	}
	if h.byJob == nil {
		h.byJob = map[ident.Job]rateObservation{}
	}
	h.byJob[g.job.ID] = rateObservation{ratio: g.progress.rate * estimate / 100, slowedDown: g.progress.slowedDown(), observedAt: now}
}

// isSlow reports whether all recent observations of the worker were slow. It takes minSlowJobs jobs, or a single one that
// slowed down.
func (h *rateHistory) isSlow(now time.Time) bool {
	slowJobs, slowedDownJobs := 0, 0
	for job, observation := range h.byJob {
		if now.Sub(observation.observedAt) > observationLifetime {
			delete(h.byJob, job)
			continue
		}
		if observation.ratio >= slowRateRatio && !observation.slowedDown {
			return false
		}
		slowJobs++
		if observation.slowedDown {
			slowedDownJobs++
		}
	}
	return slowJobs >= minSlowJobs || slowedDownJobs > 0
}
