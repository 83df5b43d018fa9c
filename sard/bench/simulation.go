package bench

import (
	"container/heap"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// scheduler decides where the jobs of a simulation run: the engine or a baseline.
type scheduler interface {
	// Apply processes an event and returns the decisions that follow from it.
	Apply(at time.Time, ev place.Event) []place.Decision
}

const (
	// startDelay is the time from the decision to the start of a gang, restoreTime the time to load a checkpoint.
	startDelay  = time.Second
	restoreTime = 30 * time.Second
	// checkpointWriteMedian and checkpointWriteSpread parametrise the log-normal time to write a checkpoint.
	checkpointWriteMedian = 2 * time.Second
	checkpointWriteSpread = 0.4
	// checkpointInterval is the interval at which a running gang writes checkpoints without being asked to.
	checkpointInterval = 10 * time.Minute
	// badWorkerFailureDelay is the time after which a gang on a bad worker fails.
	badWorkerFailureDelay = 20 * time.Second
	// checkpointGrace is the time that a reclaimed gang has to write a checkpoint, in the configurations of all sites.
	checkpointGrace = 5 * time.Second
	// tickInterval is the time between the Tick events that the scheduler gets.
	tickInterval = 5 * time.Second
	// maxSimulatedTime is the virtual time after which a simulation ends although jobs have not ended.
	maxSimulatedTime = 14 * 24 * time.Hour
)

// startTime is the virtual time at which simulations start.
var startTime = time.Date(2026, 12, 31, 20, 0, 0, 0, time.UTC)

// jobState is what the simulation knows of a job: its present attempt and the work that is left.
type jobState struct {
	task
	// remaining is the run time that is left, apart from the time to restore a checkpoint.
	remaining time.Duration
	parts     []place.Part
	attempt   ident.Attempt
	running   bool
	// started is when the present attempt started; zero when it has not.
	started time.Time
	// fromCheckpoint is set when the next attempt first restores a checkpoint.
	fromCheckpoint bool
	// reclaimRequested is when the first gang was reclaimed for this job within its account's guarantee; zero when none
	// was since the job was last placed.
	reclaimRequested time.Time
	done             bool
	refused          bool
}

// timedEvent is an action at a virtual time. Actions at the same time run in the order of sequence.
type timedEvent struct {
	at       time.Time
	sequence int
	action   func()
}

// eventQueue is a heap of events, the earliest first.
type eventQueue []timedEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	if !q[i].at.Equal(q[j].at) {
		return q[i].at.Before(q[j].at)
	}
	return q[i].sequence < q[j].sequence
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(timedEvent)) }
func (q *eventQueue) Pop() any {
	old := *q
	last := old[len(old)-1]
	*q = old[:len(old)-1]
	return last
}

// simulation runs a workload against a scheduler in virtual time.
type simulation struct {
	site      site
	workload  workload
	scheduler scheduler
	rand      *rand.Rand
	now       time.Time
	events    eventQueue
	sequence  int
	jobs      map[ident.Job]*jobState
	// jobOrder lists the jobs in the order of the workload, so that iteration is deterministic.
	jobOrder []ident.Job
	// unfinished is the number of jobs that have not ended.
	unfinished int
	// lost holds the workers that are lost.
	lost          map[ident.Worker]bool
	fragmentation *fragmentationMeter
	result        result
}

// result holds the measurements of a simulated workload under one scheduler.
type result struct {
	// completions are the times from submission to completion of the jobs that succeeded.
	completions []time.Duration
	// makespan is the time from the start of the simulation until all jobs have ended.
	makespan time.Duration
	// reclaimTimes are the times from the first reclaim for a job to its placement, urgentStarts those from the
	// submission of an urgent job to its first start.
	reclaimTimes, urgentStarts []time.Duration
	// lostWork is the work in accelerator-seconds that had to be repeated or was spent on restoring checkpoints.
	lostWork float64
	// moves is the number of gangs that were stopped to start again elsewhere, so that free accelerators become
	// contiguous.
	moves          int
	failedAttempts int
	refusedJobs    int
	// fragmentation and stranded are averages over time of the values that fragmentationMeter.measure returns.
	fragmentation, stranded float64
	unfinished              int
}

// simulate runs a workload until all jobs have ended or maxSimulatedTime has passed.
func simulate(s site, work workload, sched scheduler) result {
	sim := &simulation{
		site: s, workload: work, scheduler: sched, now: startTime,
		rand: rand.New(rand.NewPCG(7, 7)),
		jobs: map[ident.Job]*jobState{}, lost: map[ident.Worker]bool{},
		fragmentation: newFragmentationMeter(s, startTime),
	}
	config := s.config
	config.CheckpointGrace = checkpointGrace
	sim.apply(config)
	sim.apply(s.topology())
	sim.scheduleWorkload()
	for len(sim.events) > 0 && sim.unfinished > 0 && sim.now.Sub(startTime) < maxSimulatedTime {
		event := heap.Pop(&sim.events).(timedEvent)
		sim.fragmentation.advance(event.at, sim.largestShape())
		sim.now = event.at
		event.action()
	}
	sim.result.fragmentation, sim.result.stranded = sim.fragmentation.averages()
	sim.result.makespan = sim.now.Sub(startTime)
	sim.result.unfinished = sim.unfinished
	return sim.result
}

// scheduleWorkload queues the submissions, the ticks and the disturbances of the workload.
func (s *simulation) scheduleWorkload() {
	for _, t := range s.workload.tasks {
		t.Submitted = startTime.Add(t.submitAfter)
		j := &jobState{task: t, remaining: t.actualRunTime}
		s.jobs[t.ID] = j
		s.jobOrder = append(s.jobOrder, t.ID)
		s.unfinished++
		s.scheduleAt(t.Submitted, func() { s.apply(place.Submit{Job: j.Job}) })
	}
	s.scheduleAt(startTime.Add(tickInterval), s.tick)
	if s.workload.cancelAt > 0 {
		s.scheduleAt(startTime.Add(s.workload.cancelAt), s.cancelJobs)
	}
	if s.workload.lossAt > 0 {
		s.scheduleAt(startTime.Add(s.workload.lossAt), s.loseWorkers)
		s.scheduleAt(startTime.Add(s.workload.recoveryAt), s.recoverWorkers)
	}
}

// scheduleAt queues an action that is run at a virtual time.
func (s *simulation) scheduleAt(at time.Time, action func()) {
	s.sequence++
	heap.Push(&s.events, timedEvent{at: at, sequence: s.sequence, action: action})
}

// tick passes a Tick event to the scheduler and queues the next one after tickInterval.
func (s *simulation) tick() {
	s.apply(place.Tick{})
	s.scheduleAt(s.now.Add(tickInterval), s.tick)
}

// apply passes an event to the scheduler and carries out its decisions.
func (s *simulation) apply(ev place.Event) {
	for _, d := range s.scheduler.Apply(s.now, ev) {
		s.applyDecision(d)
	}
}

// applyDecision carries out a decision. Stopped gangs take a second to end.
func (s *simulation) applyDecision(d place.Decision) {
	switch d := d.(type) {
	case place.Place:
		s.placeGang(d)
	case place.Reclaim:
		s.reclaimGang(d)
	case place.Stop:
		j := s.jobs[d.Job]
		s.scheduleAt(s.now.Add(time.Second), func() { s.endAttempt(j, d.Attempt, place.Cancelled, nil) })
	case place.Refuse:
		j := s.jobs[d.Job]
		j.refused, j.done = true, true
		s.result.refusedJobs++
		s.unfinished--
	default:
	}
}

// placeGang queues the start of an attempt and its end, or its failure when it uses a bad worker.
func (s *simulation) placeGang(d place.Place) {
	j := s.jobs[d.Job]
	j.parts, j.attempt, j.running = d.Parts, d.Attempt, true
	s.fragmentation.setUsed(d.Parts, 1)
	if !j.reclaimRequested.IsZero() {
		s.result.reclaimTimes = append(s.result.reclaimTimes, s.now.Sub(j.reclaimRequested))
		j.reclaimRequested = time.Time{}
	}
	begin := s.now.Add(startDelay)
	s.scheduleAt(begin, func() {
		if j.running && j.attempt == d.Attempt {
			j.started = s.now
			s.apply(place.Started{Job: j.ID, Attempt: d.Attempt})
		}
	})
	if j.Urgent && d.Attempt == 1 {
		s.result.urgentStarts = append(s.result.urgentStarts, begin.Sub(j.Submitted))
	}
	if bad := s.failingWorker(d.Parts); bad != "" {
		s.scheduleAt(begin.Add(badWorkerFailureDelay), func() { s.failAttempt(j, d.Attempt, bad) })
		return
	}
	takes := j.remaining
	if j.fromCheckpoint {
		takes += restoreTime
	}
	s.scheduleAt(begin.Add(takes), func() { s.endAttempt(j, d.Attempt, place.Succeeded, nil) })
}

// failingWorker returns the first bad worker of an assignment; empty when there is none or the bad period is over.
func (s *simulation) failingWorker(parts []place.Part) ident.Worker {
	if s.workload.badUntil > 0 && s.now.Sub(startTime) >= s.workload.badUntil {
		return ""
	}
	for _, p := range parts {
		if s.workload.badWorkers[p.Worker] {
			return p.Worker
		}
	}
	return ""
}

// failAttempt ends an attempt, unless it has ended already, with a failure on a bad worker.
func (s *simulation) failAttempt(j *jobState, attempt ident.Attempt, bad ident.Worker) {
	if j.running && j.attempt == attempt {
		s.result.failedAttempts++
		s.result.lostWork += badWorkerFailureDelay.Seconds() * float64(j.Accelerators)
		s.endAttempt(j, attempt, place.Requeued, []ident.Worker{bad})
	}
}

// reclaimGang makes a gang write a checkpoint and stop. A checkpoint that takes longer than the grace is lost.
func (s *simulation) reclaimGang(d place.Reclaim) {
	j := s.jobs[d.Job]
	if c := s.jobs[d.Claimant]; c != nil && d.WithinGuarantee && c.reclaimRequested.IsZero() {
		c.reclaimRequested = s.now
	}
	if d.Claimant == "" {
		s.result.moves++
	}
	writeTime := time.Duration(float64(checkpointWriteMedian) * logNormalFactor(s.rand, checkpointWriteSpread))
	attempt := j.attempt
	s.scheduleAt(s.now.Add(min(writeTime, d.Grace)), func() {
		if j.running && j.attempt == attempt {
			s.interrupt(j, writeTime <= d.Grace)
		}
	})
}

// interrupt ends an attempt that did not finish. Its work is kept up to now when a checkpoint was saved, otherwise up
// to the last periodic checkpoint; a job that cannot be checkpointed starts from the beginning.
func (s *simulation) interrupt(j *jobState, saved bool) {
	ran := time.Duration(0)
	if !j.started.IsZero() {
		ran = s.now.Sub(j.started)
	}
	restored := time.Duration(0)
	if j.fromCheckpoint {
		restored = min(restoreTime, ran)
	}
	ran -= restored
	kept := ran
	switch {
	case !j.Checkpointable:
		kept = 0
	case !saved:
		kept = ran.Truncate(checkpointInterval)
	}
	j.remaining -= kept
	j.fromCheckpoint = j.Checkpointable && j.remaining < j.actualRunTime
	s.result.lostWork += (ran - kept + restored).Seconds() * float64(j.Accelerators)
	s.endAttempt(j, j.attempt, place.Requeued, nil)
}

// endAttempt frees the accelerators of an attempt, unless it has ended already, and reports its result to the
// scheduler.
func (s *simulation) endAttempt(j *jobState, attempt ident.Attempt, res place.Result, blamed []ident.Worker) {
	if !j.running || j.attempt != attempt {
		return
	}
	s.fragmentation.setUsed(j.parts, -1)
	j.running, j.parts, j.started = false, nil, time.Time{}
	if res != place.Requeued {
		j.done = true
		s.unfinished--
	}
	if res == place.Succeeded {
		s.result.completions = append(s.result.completions, s.now.Sub(j.Submitted))
	}
	s.apply(place.Ended{Job: j.ID, Attempt: attempt, Result: res, FailedWorkers: blamed})
}

// cancelJobs cancels the jobs that the workload names, except those that have ended.
func (s *simulation) cancelJobs() {
	for _, id := range s.workload.cancelled {
		j := s.jobs[id]
		if j.done {
			continue
		}
		if !j.running {
			j.done = true
			s.unfinished--
		}
		s.apply(place.Cancel{Job: id})
	}
}

// loseWorkers makes the workers that the workload names unreachable and interrupts the gangs that use them.
func (s *simulation) loseWorkers() {
	for _, w := range s.workload.lostWorkers {
		s.lost[w] = true
		s.fragmentation.setAvailable(w, false)
		s.apply(place.WorkerLost{Worker: w})
	}
	for _, id := range s.jobOrder {
		j := s.jobs[id]
		if j.running && slices.ContainsFunc(j.parts, func(p place.Part) bool { return s.lost[p.Worker] }) {
			s.interrupt(j, false)
		}
	}
}

// recoverWorkers makes the lost workers reachable again.
func (s *simulation) recoverWorkers() {
	for _, w := range s.workload.lostWorkers {
		delete(s.lost, w)
		s.fragmentation.setAvailable(w, true)
		s.apply(place.WorkerRecovered{Worker: w})
	}
}

// largestShape returns the size of the largest gang that waits or is guaranteed.
func (s *simulation) largestShape() int {
	n := ident.Accelerators(0)
	for _, a := range s.site.config.Accounts {
		for _, gu := range a.Guarantees {
			n = max(n, gu.Accelerators)
		}
	}
	for _, id := range s.jobOrder {
		j := s.jobs[id]
		if !j.done && !j.running && !j.Submitted.After(s.now) {
			n = max(n, j.Accelerators)
		}
	}
	return int(n)
}
