package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// task is a job with what it really takes.
type task struct {
	place.Job
	// takes is the run time without any interruption.
	takes time.Duration
	// submit is when the job comes in, from the start of the workload.
	submit time.Duration
}

// workload is a list of jobs and of what happens to the machines.
type workload struct {
	tasks []task
	// cancelAt cancels the jobs of cancels; 0 for never.
	cancelAt time.Duration
	cancels  []ident.Job
	// bad are workers on which everything fails, until goodAt; 0 for ever.
	bad    map[ident.Worker]bool
	goodAt time.Duration
	// loseAt and backAt are when the workers of lost go and come back.
	loseAt, backAt time.Duration
	lost           []ident.Worker
}

// sizeShare is how often a gang has a size, in thousandths.
type sizeShare struct {
	size  ident.Accelerators
	share int
}

// closingSizes are those of a closing burst: many small jobs, a few large ones that need most of the work.
var closingSizes = []sizeShare{
	{1, 280}, {2, 150}, {4, 140}, {8, 200}, {12, 20}, {16, 90}, {32, 60}, {64, 40}, {128, 15}, {256, 5},
}

const (
	// medianRunTime and runTimeSpread are those of a log-normal distribution; jobs of a kind are alike.
	medianRunTime = 15 * time.Minute
	runTimeSpread = 0.8
	kindSpread    = 0.5
	minRunTime    = time.Minute
	maxRunTime    = 2 * time.Hour
	// fixedShare is the share of jobs that can't be checkpointed, urgentShare of urgent ones.
	fixedShare  = 0.10
	urgentShare = 0.02
)

// generator draws jobs from a seed.
type generator struct {
	rand   *rand.Rand
	site   site
	serial int
	// error is the spread of declared run times: they are off by a factor of up to error either way.
	error float64
}

func newGenerator(s site, seed uint64) *generator {
	return &generator{rand: rand.New(rand.NewPCG(seed, 1)), site: s, error: 1.3}
}

func (g *generator) size(sizes []sizeShare) ident.Accelerators {
	n := g.rand.IntN(1000)
	for _, s := range sizes {
		if n -= s.share; n < 0 {
			return s.size
		}
	}
	return 1
}

// job draws a job that is submitted at a moment.
func (g *generator) job(sizes []sizeShare, submit time.Duration) task {
	g.serial++
	account := g.site.document.Accounts[g.rand.IntN(len(g.site.document.Accounts))]
	size := g.size(sizes)
	kind := g.rand.IntN(4)
	logMedian := math.Log(medianRunTime.Seconds()) + kindSpread*float64(kind-1)
	takes := time.Duration(math.Exp(logMedian+runTimeSpread*g.rand.NormFloat64()) * float64(time.Second))
	takes = min(max(takes, minRunTime), maxRunTime)
	off := math.Exp(math.Log(g.error) * (2*g.rand.Float64() - 1))
	t := task{takes: takes, submit: submit, Job: place.Job{
		ID: ident.Job(fmt.Sprintf("j%04d", g.serial)), Account: account.Name,
		Kind: ident.JobKind(fmt.Sprintf("kind%d", kind)), Accelerators: size,
		RunTime:        time.Duration(off * float64(takes)).Round(time.Second),
		Checkpointable: true,
	}}
	largest := ident.Accelerators(0)
	for _, gu := range account.Guarantees {
		largest = max(largest, gu.Accelerators)
	}
	if g.rand.Float64() < fixedShare && size <= largest/2 {
		t.Checkpointable = false
	}
	return t
}

// closing is a burst at the closing: all jobs within five minutes.
func (g *generator) closing() workload {
	var w workload
	for range g.site.jobs {
		w.tasks = append(w.tasks, g.job(closingSizes, time.Duration(g.rand.Int64N(int64(5*time.Minute)))))
	}
	return w
}

// mixed is a steady stream with bursts of small and of large jobs together, and urgent jobs.
func (g *generator) mixed() workload {
	var w workload
	small := []sizeShare{{1, 600}, {2, 250}, {4, 150}}
	large := []sizeShare{{32, 400}, {64, 400}, {128, 180}, {256, 20}}
	for i := range g.site.jobs {
		w.tasks = append(w.tasks, g.job(closingSizes, time.Duration(i)*time.Minute/2))
	}
	for range g.site.jobs / 2 {
		w.tasks = append(w.tasks, g.job(small, time.Hour+time.Duration(g.rand.Int64N(int64(time.Minute)))))
	}
	for range g.site.jobs / 20 {
		w.tasks = append(w.tasks, g.job(large, time.Hour+time.Duration(g.rand.Int64N(int64(time.Minute)))))
	}
	return g.withUrgent(w, 4*time.Hour)
}

// withUrgent adds small urgent jobs of accounts with a guarantee, one at a time.
func (g *generator) withUrgent(w workload, span time.Duration) workload {
	n := max(10, int(urgentShare*float64(len(w.tasks))))
	for i := range n {
		t := g.job([]sizeShare{{4, 500}, {2, 500}}, span*time.Duration(i+1)/time.Duration(n+1))
		t.Account = g.site.document.Accounts[i%4].Name
		t.Urgent, t.Checkpointable = true, true
		t.takes = min(t.takes, span/time.Duration(n+1))
		t.RunTime = t.takes
		w.tasks = append(w.tasks, t)
	}
	return w
}

// lowerBound is the least time in which the work can be done: all accelerators busy, or the longest job.
func (w workload) lowerBound(accelerators int) time.Duration {
	work, longest := 0.0, time.Duration(0)
	for _, t := range w.tasks {
		work += t.takes.Seconds() * float64(t.Accelerators)
		longest = max(longest, t.takes)
	}
	return max(longest, time.Duration(work/float64(accelerators)*float64(time.Second)))
}
