package bench

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// task is a job with its actual run time, which schedulers don't see.
type task struct {
	place.Job
	// actualRunTime is the run time without interruptions.
	actualRunTime time.Duration
	// submitAfter is the time from the start of the workload to the submission.
	submitAfter time.Duration
}

// workload is the input of a simulation: jobs, cancellations and failures of workers.
type workload struct {
	tasks []task
	// cancelAt is when the cancelled jobs are cancelled; 0 for never. Times count from the start of the workload.
	cancelAt  time.Duration
	cancelled []ident.Job
	// badWorkers are workers on which all attempts fail until badUntil; 0 for ever.
	badWorkers map[ident.Worker]bool
	badUntil   time.Duration
	// lossAt and recoveryAt are when lostWorkers are lost and recover; 0 for never.
	lossAt, recoveryAt time.Duration
	lostWorkers        []ident.Worker
}

// sizeShare is the share, in thousandths, of the gangs that have a size.
type sizeShare struct {
	size  ident.Accelerators
	share int
}

// closingSizes are the gang sizes of a closing burst: many are small, and a few large ones make up most of the work.
var closingSizes = []sizeShare{
	{1, 280}, {2, 150}, {4, 140}, {8, 200}, {12, 20}, {16, 90}, {32, 60}, {64, 40}, {128, 15}, {256, 5},
}

const (
	// medianRunTime and runTimeSpread parametrise the log-normal run times. kindSpread is the difference of the
	// logarithms of the medians of successive kinds of jobs.
	medianRunTime = 15 * time.Minute
	runTimeSpread = 0.8
	kindSpread    = 0.5
	minRunTime    = time.Minute
	maxRunTime    = 2 * time.Hour
	// nonCheckpointableShare is the share of jobs that can't be checkpointed, among those small enough for it;
	// urgentShare is the number of urgent jobs as a share of the others.
	nonCheckpointableShare = 0.10
	urgentShare            = 0.02
)

// generator draws the jobs of a workload for a site at random.
type generator struct {
	rand *rand.Rand
	site site
	// jobCount is the number of jobs so far; it also numbers them.
	jobCount int
	// estimateError is the largest factor by which declared run times are too long or too short.
	estimateError float64
}

// newGenerator returns a generator of jobs whose declared run times are up to 1.3 times too long or too short.
func newGenerator(s site, seed uint64) *generator {
	return &generator{rand: rand.New(rand.NewPCG(seed, 1)), site: s, estimateError: 1.3}
}

// drawSize draws the number of accelerators of a gang, according to the shares of the sizes.
func (g *generator) drawSize(sizes []sizeShare) ident.Accelerators {
	n := g.rand.IntN(1000)
	for _, s := range sizes {
		if n -= s.share; n < 0 {
			return s.size
		}
	}
	return 1
}

// drawJob draws a job that is submitted at the given time. Only jobs of at most half the largest guarantee of their
// account may lack checkpoints.
func (g *generator) drawJob(sizes []sizeShare, submitAfter time.Duration) task {
	g.jobCount++
	account := g.site.config.Accounts[g.rand.IntN(len(g.site.config.Accounts))]
	size := g.drawSize(sizes)
	kind := g.rand.IntN(4)
	logMedian := math.Log(medianRunTime.Seconds()) + kindSpread*float64(kind-1)
	actualRunTime := time.Duration(math.Exp(logMedian+runTimeSpread*g.rand.NormFloat64()) * float64(time.Second))
	actualRunTime = min(max(actualRunTime, minRunTime), maxRunTime)
	estimateFactor := math.Exp(math.Log(g.estimateError) * (2*g.rand.Float64() - 1))
	t := task{actualRunTime: actualRunTime, submitAfter: submitAfter, Job: place.Job{
		ID: ident.Job(fmt.Sprintf("j%04d", g.jobCount)), Account: account.Name,
		Kind: ident.JobKind(fmt.Sprintf("kind%d", kind)), Accelerators: size,
		RunTime:        time.Duration(estimateFactor * float64(actualRunTime)).Round(time.Second),
		Checkpointable: true,
	}}
	largest := ident.Accelerators(0)
	for _, gu := range account.Guarantees {
		largest = max(largest, gu.Accelerators)
	}
	if g.rand.Float64() < nonCheckpointableShare && size <= largest/2 {
		t.Checkpointable = false
	}
	return t
}

// closingBurst returns the burst of jobs at closing time: all are submitted within five minutes.
func (g *generator) closingBurst() workload {
	var w workload
	for range g.site.burstJobs {
		w.tasks = append(w.tasks, g.drawJob(closingSizes, time.Duration(g.rand.Int64N(int64(5*time.Minute)))))
	}
	return w
}

// mixedLoad returns a steady stream of jobs with simultaneous bursts of small and of large jobs, and urgent jobs.
func (g *generator) mixedLoad() workload {
	var w workload
	small := []sizeShare{{1, 600}, {2, 250}, {4, 150}}
	large := []sizeShare{{32, 400}, {64, 400}, {128, 180}, {256, 20}}
	for i := range g.site.burstJobs {
		w.tasks = append(w.tasks, g.drawJob(closingSizes, time.Duration(i)*time.Minute/2))
	}
	for range g.site.burstJobs / 2 {
		w.tasks = append(w.tasks, g.drawJob(small, time.Hour+time.Duration(g.rand.Int64N(int64(time.Minute)))))
	}
	for range g.site.burstJobs / 20 {
		w.tasks = append(w.tasks, g.drawJob(large, time.Hour+time.Duration(g.rand.Int64N(int64(time.Minute)))))
	}
	return g.withUrgent(w, 4*time.Hour)
}

// withUrgent adds small urgent jobs of accounts with a guarantee, evenly over a time span. Each is short enough to end
// before the next is submitted.
func (g *generator) withUrgent(w workload, span time.Duration) workload {
	n := max(10, int(urgentShare*float64(len(w.tasks))))
	for i := range n {
		t := g.drawJob([]sizeShare{{4, 500}, {2, 500}}, span*time.Duration(i+1)/time.Duration(n+1))
		t.Account = g.site.config.Accounts[i%4].Name
		t.Urgent, t.Checkpointable = true, true
		t.actualRunTime = min(t.actualRunTime, span/time.Duration(n+1))
		t.RunTime = t.actualRunTime
		w.tasks = append(w.tasks, t)
	}
	return w
}

// lowerBound returns a lower bound of the makespan: the longest job, or all work divided by the accelerators.
func (w workload) lowerBound(accelerators int) time.Duration {
	work, longest := 0.0, time.Duration(0)
	for _, t := range w.tasks {
		work += t.actualRunTime.Seconds() * float64(t.Accelerators)
		longest = max(longest, t.actualRunTime)
	}
	return max(longest, time.Duration(work/float64(accelerators)*float64(time.Second)))
}
