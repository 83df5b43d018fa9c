package bench

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// scheduler is what a workload is played against: the engine or a baseline.
type scheduler interface {
	Apply(at time.Time, ev place.Event) []place.Decision
}

const (
	// startDelay is from the decision to the start of a gang, restoreTime the time to load a checkpoint.
	startDelay  = time.Second
	restoreTime = 30 * time.Second
	// checkpointMedian and checkpointSpread are those of the log-normal time to write a checkpoint.
	checkpointMedian = 2 * time.Second
	checkpointSpread = 0.4
	// checkpointEvery is how often a running gang writes a checkpoint by itself.
	checkpointEvery = 10 * time.Minute
	// failAfter is how long a gang runs on a bad worker until it fails.
	failAfter = 20 * time.Second
	// grace is the checkpoint grace of the documents.
	grace = 5 * time.Second
	// tickEvery is the time between ticks.
	tickEvery = 5 * time.Second
	// giveUp ends a run that does not end.
	giveUp = 14 * 24 * time.Hour
)

var epoch = time.Date(2026, 12, 31, 20, 0, 0, 0, time.UTC)

// life is a job in a run.
type life struct {
	task
	left    time.Duration
	parts   []place.Part
	attempt ident.Attempt
	running bool
	started time.Time
	resumed bool
	asked   time.Time
	done    bool
	refused bool
}

// due is an event of a run.
type due struct {
	at     time.Time
	serial int
	do     func()
}

type dues []due

func (d dues) Len() int { return len(d) }
func (d dues) Less(i, j int) bool {
	if !d[i].at.Equal(d[j].at) {
		return d[i].at.Before(d[j].at)
	}
	return d[i].serial < d[j].serial
}
func (d dues) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d *dues) Push(x any)   { *d = append(*d, x.(due)) }
func (d *dues) Pop() any {
	old := *d
	x := old[len(old)-1]
	*d = old[:len(old)-1]
	return x
}

// run plays a workload against a scheduler.
type run struct {
	site   site
	work   workload
	sched  scheduler
	rand   *rand.Rand
	now    time.Time
	dues   dues
	serial int
	jobs   map[ident.Job]*life
	order  []ident.Job
	open   int
	lost   map[ident.Worker]bool
	gaps   *gaps
	result result
}

// result is what a run measured.
type result struct {
	completions []time.Duration
	makespan    time.Duration
	// reclaims are the times from a claim's first reclaim to its start; urgents from submission to the start.
	reclaims, urgents []time.Duration
	// lostWork is in accelerator-seconds that were run and had to be run again, or went into restores.
	lostWork                float64
	moves                   int
	failed                  int
	refused                 int
	fragmentation, stranded float64
	unfinished              int
}

func play(s site, w workload, sched scheduler) result {
	r := &run{
		site: s, work: w, sched: sched, now: epoch,
		rand: rand.New(rand.NewPCG(7, 7)),
		jobs: map[ident.Job]*life{}, lost: map[ident.Worker]bool{},
		gaps: newGaps(s, epoch),
	}
	document := s.document
	document.CheckpointGrace = grace
	r.apply(document)
	r.apply(s.topology())
	r.schedule()
	for len(r.dues) > 0 && r.open > 0 && r.now.Sub(epoch) < giveUp {
		d := heap.Pop(&r.dues).(due)
		r.gaps.pass(d.at, r.goal())
		r.now = d.at
		d.do()
	}
	r.result.fragmentation, r.result.stranded = r.gaps.averages()
	r.result.makespan = r.now.Sub(epoch)
	r.result.unfinished = r.open
	return r.result
}

// schedule enters what the workload says.
func (r *run) schedule() {
	for _, t := range r.work.tasks {
		t.Submitted = epoch.Add(t.submit)
		j := &life{task: t, left: t.takes}
		r.jobs[t.ID] = j
		r.order = append(r.order, t.ID)
		r.open++
		r.at(t.Submitted, func() { r.apply(place.Submit{Job: j.Job}) })
	}
	r.at(epoch.Add(tickEvery), r.tick)
	if r.work.cancelAt > 0 {
		r.at(epoch.Add(r.work.cancelAt), r.cancelAll)
	}
	if r.work.loseAt > 0 {
		r.at(epoch.Add(r.work.loseAt), r.loseAll)
		r.at(epoch.Add(r.work.backAt), r.backAll)
	}
}

func (r *run) at(at time.Time, do func()) {
	r.serial++
	heap.Push(&r.dues, due{at: at, serial: r.serial, do: do})
}

func (r *run) tick() {
	r.apply(place.Tick{})
	r.at(r.now.Add(tickEvery), r.tick)
}

func (r *run) apply(ev place.Event) {
	for _, d := range r.sched.Apply(r.now, ev) {
		r.obey(d)
	}
}

func (r *run) obey(d place.Decision) {
	switch d := d.(type) {
	case place.Place:
		r.place(d)
	case place.Reclaim:
		r.reclaim(d)
	case place.Stop:
		j := r.jobs[d.Job]
		r.at(r.now.Add(time.Second), func() { r.end(j, d.Attempt, place.Cancelled, nil) })
	case place.Refuse:
		j := r.jobs[d.Job]
		j.refused, j.done = true, true
		r.result.refused++
		r.open--
	default:
	}
}

func (r *run) place(d place.Place) {
	j := r.jobs[d.Job]
	j.parts, j.attempt, j.running = d.Parts, d.Attempt, true
	r.gaps.occupy(d.Parts, 1)
	if !j.asked.IsZero() {
		r.result.reclaims = append(r.result.reclaims, r.now.Sub(j.asked))
		j.asked = time.Time{}
	}
	begin := r.now.Add(startDelay)
	r.at(begin, func() {
		if j.running && j.attempt == d.Attempt {
			j.started = r.now
			r.apply(place.Started{Job: j.ID, Attempt: d.Attempt})
		}
	})
	if j.Urgent && d.Attempt == 1 {
		r.result.urgents = append(r.result.urgents, begin.Sub(j.Submitted))
	}
	if bad := r.badWorker(d.Parts); bad != "" {
		r.at(begin.Add(failAfter), func() { r.fail(j, d.Attempt, bad) })
		return
	}
	takes := j.left
	if j.resumed {
		takes += restoreTime
	}
	r.at(begin.Add(takes), func() { r.end(j, d.Attempt, place.Succeeded, nil) })
}

func (r *run) badWorker(parts []place.Part) ident.Worker {
	if r.work.goodAt > 0 && r.now.Sub(epoch) >= r.work.goodAt {
		return ""
	}
	for _, p := range parts {
		if r.work.bad[p.Worker] {
			return p.Worker
		}
	}
	return ""
}

func (r *run) fail(j *life, attempt ident.Attempt, bad ident.Worker) {
	if j.running && j.attempt == attempt {
		r.result.failed++
		r.result.lostWork += failAfter.Seconds() * float64(j.Accelerators)
		r.end(j, attempt, place.Requeued, []ident.Worker{bad})
	}
}

// reclaim lets a gang write its checkpoint and stop.
func (r *run) reclaim(d place.Reclaim) {
	j := r.jobs[d.Job]
	if c := r.jobs[d.Claimant]; c != nil && d.WithinGuarantee && c.asked.IsZero() {
		c.asked = r.now
	}
	if d.Claimant == "" {
		r.result.moves++
	}
	wrote := time.Duration(float64(checkpointMedian) * lognormal(r.rand, checkpointSpread))
	attempt := j.attempt
	r.at(r.now.Add(min(wrote, d.Grace)), func() {
		if j.running && j.attempt == attempt {
			r.interrupt(j, wrote <= d.Grace)
		}
	})
}

// interrupt ends an attempt that did not end by itself. Without a checkpoint just written it goes back to the last.
func (r *run) interrupt(j *life, saved bool) {
	ran := time.Duration(0)
	if !j.started.IsZero() {
		ran = r.now.Sub(j.started)
	}
	restored := time.Duration(0)
	if j.resumed {
		restored = min(restoreTime, ran)
	}
	ran -= restored
	kept := ran
	switch {
	case !j.Checkpointable:
		kept = 0
	case !saved:
		kept = ran.Truncate(checkpointEvery)
	}
	j.left -= kept
	j.resumed = j.Checkpointable && j.left < j.takes
	r.result.lostWork += (ran - kept + restored).Seconds() * float64(j.Accelerators)
	r.end(j, j.attempt, place.Requeued, nil)
}

func (r *run) end(j *life, attempt ident.Attempt, res place.Result, blamed []ident.Worker) {
	if !j.running || j.attempt != attempt {
		return
	}
	r.gaps.occupy(j.parts, -1)
	j.running, j.parts, j.started = false, nil, time.Time{}
	if res != place.Requeued {
		j.done = true
		r.open--
	}
	if res == place.Succeeded {
		r.result.completions = append(r.result.completions, r.now.Sub(j.Submitted))
	}
	r.apply(place.Ended{Job: j.ID, Attempt: attempt, Result: res, FailedWorkers: blamed})
}

func (r *run) cancelAll() {
	for _, id := range r.work.cancels {
		j := r.jobs[id]
		if j.done {
			continue
		}
		if !j.running {
			j.done = true
			r.open--
		}
		r.apply(place.Cancel{Job: id})
	}
}

func (r *run) loseAll() {
	for _, w := range r.work.lost {
		r.lost[w] = true
		r.gaps.serve(w, false)
		r.apply(place.WorkerLost{Worker: w})
	}
	for _, id := range r.order {
		j := r.jobs[id]
		if j.running && slices.ContainsFunc(j.parts, func(p place.Part) bool { return r.lost[p.Worker] }) {
			r.interrupt(j, false)
		}
	}
}

func (r *run) backAll() {
	for _, w := range r.work.lost {
		delete(r.lost, w)
		r.gaps.serve(w, true)
		r.apply(place.WorkerRecovered{Worker: w})
	}
}

// goal is the largest shape that waits or is guaranteed.
func (r *run) goal() int {
	n := ident.Accelerators(0)
	for _, a := range r.site.document.Accounts {
		for _, gu := range a.Guarantees {
			n = max(n, gu.Accelerators)
		}
	}
	for _, id := range r.order {
		j := r.jobs[id]
		if !j.done && !j.running && !j.Submitted.After(r.now) {
			n = max(n, j.Accelerators)
		}
	}
	return int(n)
}
