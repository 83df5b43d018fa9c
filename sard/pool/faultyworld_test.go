package pool

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// faultyWorld is a world in which orders take time, records are written before starts are sent, and further troubles come.
// Each kind of trouble has random numbers of its own, and does not come if these are nil.
type faultyWorld struct {
	*world
	// takeovers lets a new engine take the place of the current one, crashing lets parts crash their workers, and troubles
	// lets workers shrink, leave, restart, refuse or get cut off.
	takeovers, crashing, troubles *rand.Rand
	records
	// deadlyPart holds the index of the part of each job that crashes its workers.
	deadlyPart map[ident.Job]int
	// sent holds where the start of each attempt was sent, silent the attempts whose start got no answer and may have been
	// executed, and ends how attempts have ended by what their workers list.
	sent   map[work.Attempt]work.WorkerProcess
	silent map[work.Attempt]bool
	ends   map[work.Attempt]endedRun
	// bars counts the reasons for which a worker gets nothing new, and refusing holds the workers that refuse what they get.
	bars     map[ident.Worker]int
	refusing map[ident.Worker]bool
	// gone holds the processes that have left for good, and uncontacted the workers that the current engine has not heard of.
	gone        map[work.WorkerProcess]bool
	uncontacted map[ident.Worker]bool
	// generation counts the engines. Orders of a former one are refused.
	generation int
	// resizedAt is when the capacity of workers last changed.
	resizedAt map[ident.Worker]time.Time
}

// endedRun is the end of a run that a worker process lists.
type endedRun struct {
	process work.WorkerProcess
	how     End
}

// Spaces of the seeds of the worlds with further troubles.
const (
	takeoverSpace = 40 + iota
	crashSpace
	workerSpace
	combinedSpace
)

// newFaultyWorld returns a world of the given seed, in which no further trouble comes yet.
func newFaultyWorld(t *testing.T, seed, space uint64) *faultyWorld {
	f := &faultyWorld{
		world: newWorld(t, seed, space), deadlyPart: map[ident.Job]int{}, sent: map[work.Attempt]work.WorkerProcess{}, silent: map[work.Attempt]bool{},
		ends: map[work.Attempt]endedRun{}, bars: map[ident.Worker]int{}, refusing: map[ident.Worker]bool{},
		gone: map[work.WorkerProcess]bool{}, uncontacted: map[ident.Worker]bool{}, resizedAt: map[ident.Worker]time.Time{},
	}
	f.resized = map[ident.Worker]bool{}
	f.write = f.recordLater
	return f
}

// play plays the world, and checks after each round that nothing is held back for too long.
func (f *faultyWorld) play() {
	for end := f.now.Add(worldTime); f.now.Before(end); f.advance(worldStep) {
		f.deliver()
		f.check()
		f.happen()
		if left := end.Sub(f.now); left > 12*time.Second {
			f.submitSome()
		}
		f.disturbWorkers()
		f.takeOverSometimes()
		f.report()
	}
}

// submitSome submits a random job at times, and now and then a burst of jobs that crash their workers.
func (f *faultyWorld) submitSome() {
	if f.oneIn(5) {
		f.submitOne(12)
	}
	if f.crashing != nil && f.crashing.IntN(120) == 0 {
		for range 2 + f.crashing.IntN(6) {
			f.submitOne(1)
		}
	}
}

// submitOne submits a random job, one in n of which has a part that crashes its workers.
func (f *faultyWorld) submitOne(n int) {
	id, step := f.randomJob()
	if f.crashing != nil && f.crashing.IntN(n) == 0 {
		f.deadlyPart[id] = f.crashing.IntN(step.Parts)
	}
	f.submit("a", id, work.Priority(f.rng.IntN(3)), step)
	f.accept(f.engine.jobs[id].Job)
}

// report reports the progress of all that runs where it can be heard.
func (f *faultyWorld) report() {
	f.engine.ForEachAttempt(func(a work.Attempt, process work.WorkerProcess) {
		r := f.runs[a]
		if r == nil || f.away[process.Worker] || f.silent[a] {
			return
		}
		percent := 100
		if r.length > 0 {
			percent = int(min(99, f.now.Sub(r.began)*100/r.length))
		}
		f.engine.AttemptRunning(a, percent, "", f.now)
	})
}
