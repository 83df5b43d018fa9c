package place

import (
	"math"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// runTimeKey identifies the jobs that share a run time history.
type runTimeKey struct {
	account ident.Account
	kind    ident.JobKind
}

// runTimes estimates the run times of jobs from those of earlier jobs of the same account and kind.
type runTimes struct {
	defaultRunTime time.Duration
	kinds          map[runTimeKey]*history
}

// history holds statistics of the run times of the jobs of an account and kind. They are of logarithms, since run times
// differ by factors.
type history struct {
	// logRunTime is of ln(run time in seconds), logRatio of ln(run time / declared run time).
	logRunTime, logRatio moments
}

// moments is an exponentially decaying mean and variance of n samples.
type moments struct {
	n, mean, variance float64
}

const (
	// minSampleWeight is the lowest weight of a new sample in mean and variance; the weight of older samples decays
	// accordingly.
	minSampleWeight = 0.05
	// priorRatioVariance is the variance of ln(run time / declared run time) that is assumed before there are
	// samples: a factor of 3 either way.
	priorRatioVariance = 1.2
	// priorKindVariance is the variance of ln(run time) among the jobs of a kind that is assumed before there are
	// samples.
	priorKindVariance = 4.0
	// priorCount is the number of samples as which an assumed variance counts.
	priorCount = 2.0
)

// newRunTimes returns run time estimates without any history.
func newRunTimes(defaultRunTime time.Duration) runTimes {
	return runTimes{defaultRunTime: defaultRunTime, kinds: map[runTimeKey]*history{}}
}

// add adds a sample to the mean and variance.
func (m *moments) add(x float64) {
	m.n++
	w := max(minSampleWeight, 1/m.n)
	diff := x - m.mean
	m.mean += w * diff
	m.variance = (1 - w) * (m.variance + w*diff*diff)
}

// shrunkVariance returns the variance, shrunk towards prior while there are few samples.
func (m *moments) shrunkVariance(prior float64) float64 {
	return (m.n*m.variance + priorCount*prior) / (m.n + priorCount)
}

// observe records the run time of a job that succeeded.
func (r *runTimes) observe(job *Job, took time.Duration) {
	key := runTimeKey{job.Account, job.Kind}
	h, ok := r.kinds[key]
	if !ok {
		h = &history{}
		r.kinds[key] = h
	}
	logSeconds := math.Log(max(took.Seconds(), 1))
	h.logRunTime.add(logSeconds)
	if job.RunTime > 0 {
		h.logRatio.add(logSeconds - math.Log(max(job.RunTime.Seconds(), 1)))
	}
}

// expectedTotal estimates the whole run time of a job. It combines the declared run time, corrected by the bias of
// earlier declarations, with the mean run time of the kind, each weighted by its inverse variance.
func (r *runTimes) expectedTotal(job *Job) time.Duration {
	h := r.kinds[runTimeKey{job.Account, job.Kind}]
	switch {
	case h == nil && job.RunTime > 0:
		return job.RunTime
	case h == nil:
		return r.defaultRunTime
	case job.RunTime <= 0 || h.logRatio.n == 0:
		return secondsToDuration(math.Exp(h.logRunTime.mean))
	}
	declared := math.Log(max(job.RunTime.Seconds(), 1)) + h.logRatio.mean*h.logRatio.n/(h.logRatio.n+1)
	declaredWeight := 1 / (h.logRatio.shrunkVariance(priorRatioVariance) + 0.01)
	kindWeight := 1 / (h.logRunTime.shrunkVariance(priorKindVariance) + 0.01)
	return secondsToDuration(math.Exp((declaredWeight*declared + kindWeight*h.logRunTime.mean) / (declaredWeight + kindWeight)))
}

// estimate returns the expected remaining run time of a waiting gang: its whole run time less what checkpoints
// preserved, but at least a tenth of it and 1 s.
func (r *runTimes) estimate(g *gang) time.Duration {
	total := r.expectedTotal(&g.Job)
	return max(total-g.savedRunTime, total/10, time.Second)
}

// secondsToDuration converts a number of seconds to a duration.
func secondsToDuration(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
