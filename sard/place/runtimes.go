package place

import (
	"math"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
)

// runTimeKey is what run times are learnt for.
type runTimeKey struct {
	account ident.Account
	kind    ident.JobKind
}

// runTimes estimates run times from what the jobs of an account and kind took.
type runTimes struct {
	def   time.Duration
	kinds map[runTimeKey]*history
}

// history keeps decaying means and variances of logarithms of seconds.
type history struct {
	// taken is of the run times themselves, ratio of run times over declared ones.
	taken, ratio moments
}

// moments is a decaying mean and variance.
type moments struct {
	n, mean, variance float64
}

const (
	// historyDecay is the weight of the newest of many run times.
	historyDecay = 0.05
	// priorVariance is that of ln(run time / declared) before anything is known: a factor of 3 either way.
	priorVariance = 1.2
	// kindVariance is that of ln(run time) of a kind before anything is known.
	kindVariance = 4.0
	// priorCount is how many run times the variances before anything is known stand for.
	priorCount = 2.0
)

func newRunTimes(def time.Duration) runTimes {
	return runTimes{def: def, kinds: map[runTimeKey]*history{}}
}

func (m *moments) add(x float64) {
	m.n++
	w := max(historyDecay, 1/m.n)
	diff := x - m.mean
	m.mean += w * diff
	m.variance = (1 - w) * (m.variance + w*diff*diff)
}

// spread is the variance, drawn to prior while little is known.
func (m *moments) spread(prior float64) float64 {
	return (m.n*m.variance + priorCount*prior) / (m.n + priorCount)
}

// add learns from a run that succeeded.
func (r *runTimes) add(job *Job, took time.Duration) {
	key := runTimeKey{job.Account, job.Kind}
	h, ok := r.kinds[key]
	if !ok {
		h = &history{}
		r.kinds[key] = h
	}
	seconds := math.Log(max(took.Seconds(), 1))
	h.taken.add(seconds)
	if job.RunTime > 0 {
		h.ratio.add(seconds - math.Log(max(job.RunTime.Seconds(), 1)))
	}
}

// total is the expected run time of a job. What was declared, corrected by what the kind's declarations were
// worth, and what the kind took are weighted by how well each foretold run times.
func (r *runTimes) total(job *Job) time.Duration {
	h := r.kinds[runTimeKey{job.Account, job.Kind}]
	switch {
	case h == nil && job.RunTime > 0:
		return job.RunTime
	case h == nil:
		return r.def
	case job.RunTime <= 0 || h.ratio.n == 0:
		return seconds(math.Exp(h.taken.mean))
	}
	declared := math.Log(max(job.RunTime.Seconds(), 1)) + h.ratio.mean*h.ratio.n/(h.ratio.n+1)
	wd := 1 / (h.ratio.spread(priorVariance) + 0.01)
	wk := 1 / (h.taken.spread(kindVariance) + 0.01)
	return seconds(math.Exp((wd*declared + wk*h.taken.mean) / (wd + wk)))
}

// estimate is the expected run time that is left of a waiting gang.
func (r *runTimes) estimate(g *gang) time.Duration {
	total := r.total(&g.Job)
	return max(total-g.done, total/10, time.Second)
}

func seconds(s float64) time.Duration {
	return time.Duration(s * float64(time.Second))
}
