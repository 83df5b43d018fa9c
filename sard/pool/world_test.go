package pool

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// worldStep is the time between two rounds, worldTime how long a world is played.
	worldStep = 100 * time.Millisecond
	worldTime = 45 * time.Second
	// silence is for how long an attempt whose answers are lost counts as one that may run.
	silence = 7 * time.Second
)

// world plays workers to an engine: it decides at random how attempts end, and which workers fail, crash or leave.
type world struct {
	*harness
	rng     *rand.Rand
	workers int
	jobs    int
	// failing holds the workers on which each attempt fails, deadly the jobs whose attempts crash their workers.
	failing map[ident.Worker]bool
	deadly  map[ident.Job]bool
	// events holds what happens later.
	events []worldEvent
	// runs holds what the workers run, and ordered the starts that are on their way, or were refused.
	runs    map[work.Attempt]*run
	ordered map[work.Attempt]bool
	// away holds the workers that can't be reached, and failures the attempts of each group that have failed.
	away     map[ident.Worker]bool
	failures map[groupKey]map[ident.Attempt]bool
	// heldSince is since when a job, or a group that lasts, has been held back in a pool with room.
	heldSince map[heldKey]time.Time
	// crashes counts the workers that have crashed under a start of each part, and startsSince its starts after maxCrashes.
	crashes, startsSince map[work.Part]int
	// culprits holds the jobs by which a worker has crashed.
	culprits map[ident.Job]bool
	// began is when the world began, and history tells what happened to each job since.
	began   time.Time
	history map[ident.Job][]string
}

// worldEvent is something that happens at a time.
type worldEvent struct {
	at time.Time
	do func()
}

// plainSpace is the space of the seeds of the plain world.
const plainSpace = 36

// newWorld returns a world of the given seed in a space of seeds.
func newWorld(t *testing.T, seed, space uint64) *world {
	w := &world{
		harness: newHarness(t, 0), rng: rand.New(rand.NewPCG(seed, space)), failing: map[ident.Worker]bool{},
		deadly: map[ident.Job]bool{}, runs: map[work.Attempt]*run{}, ordered: map[work.Attempt]bool{},
		away: map[ident.Worker]bool{}, failures: map[groupKey]map[ident.Attempt]bool{}, heldSince: map[heldKey]time.Time{},
		crashes: map[work.Part]int{}, startsSince: map[work.Part]int{}, culprits: map[ident.Job]bool{}, history: map[ident.Job][]string{},
	}
	w.began, w.write = w.now, w.writeAtOnce
	w.engine = New(Config{
		QueueSettings: func(j *work.Job) work.QueueSettings { return j.Terms },
		Guarantee:     func(ident.Account) ident.Accelerators { return guarantee },
		RunTimes:      w.rng.IntN(2) == 0, WorkerSpeeds: w.rng.IntN(2) == 0, CostOrder: w.rng.IntN(2) == 0, StartLimit: 2 * time.Second,
	})
	for range 8 + w.rng.IntN(25) {
		w.join()
	}
	return w
}

// join adds a worker.
func (w *world) join() {
	w.addWorker(w.workers)
	if w.rng.IntN(3) == 0 {
		n := w.engine.nodesByID[workerID(w.workers)]
		n.Labels = []string{"kind"}
	}
	w.workers++
}

// later lets something happen after a time.
func (w *world) later(d time.Duration, do func()) {
	w.events = append(w.events, worldEvent{at: w.now.Add(d), do: do})
}

// between returns a random duration in milliseconds.
func (w *world) between(low, high int) time.Duration {
	return time.Duration(low+w.rng.IntN(high-low)) * time.Millisecond
}

// oneIn is true in one of n cases.
func (w *world) oneIn(n int) bool { return w.rng.IntN(n) == 0 }

// play plays the world, and checks after each round that nothing is held back for too long.
func (w *world) play() {
	for end := w.now.Add(worldTime); w.now.Before(end); w.advance(worldStep) {
		starts, stops := w.starts, w.stops
		w.starts, w.stops = nil, nil
		for _, s := range starts {
			w.start(s)
		}
		for _, s := range stops {
			w.stop(s)
		}
		w.check()
		w.happen()
		if left := end.Sub(w.now); left > 12*time.Second && w.oneIn(5) {
			w.submitJob()
		}
		if w.oneIn(60) {
			w.disturb()
		}
		w.engine.ForEachAttempt(func(a work.Attempt, _ work.WorkerProcess) { w.engine.AttemptRunning(a, 0, "", w.now) })
	}
}

// happen lets everything happen that is due.
func (w *world) happen() {
	events := w.events
	w.events = nil
	for _, ev := range events {
		if ev.at.After(w.now) {
			w.events = append(w.events, ev)
			continue
		}
		ev.do()
	}
}

// submitJob submits a random job.
func (w *world) submitJob() {
	id, step := w.randomJob()
	w.deadly[id] = w.oneIn(12)
	w.submit("a", id, work.Priority(w.rng.IntN(3)), step)
}

// randomJob returns the ID and the step of a random job.
func (w *world) randomJob() (ident.Job, work.Step) {
	w.jobs++
	id := ident.Job(fmt.Sprintf("j%03d", w.jobs))
	needs := []work.Resources{smallPart, smallPart, largePart, {CPU: 4000, Memory: 1000, Accelerators: 4}, {CPU: 30000, Memory: 1000}}
	step := work.Step{Parts: 1 + w.rng.IntN(6), Need: needs[w.rng.IntN(len(needs))], Estimate: w.between(500, 20000), Gang: w.oneIn(2)}
	step.SameRack = step.Gang && w.oneIn(2)
	step.Fills, step.Lasting = w.oneIn(8), w.oneIn(10)
	if w.oneIn(6) {
		step.Latency = time.Second
	}
	if w.oneIn(6) {
		step.DataRack = ident.Rack(fmt.Sprintf("r%d", w.rng.IntN(3)))
	}
	if w.oneIn(6) {
		step.MaxPerWorker = 1
	}
	if w.oneIn(8) {
		step.Label = "kind"
	}
	return id, step
}

// disturb lets workers fail for a while, or one leave and another one join.
func (w *world) disturb() {
	if w.oneIn(3) {
		n := w.engine.nodes[w.rng.IntN(len(w.engine.nodes))]
		n.AvailableUntil, n.Accepting = w.now.Add(time.Second), false
		w.later(time.Second, func() {
			w.endRunsOf(n.WorkerProcess)
			w.engine.ProcessLost(n.WorkerProcess, w.now)
		})
		w.join()
		return
	}
	share := 1 + w.rng.IntN(10)
	for _, n := range w.engine.nodes {
		if id := n.WorkerProcess.Worker; w.rng.IntN(10) < share {
			w.failing[id] = true
			w.later(w.between(1000, 8000), func() { delete(w.failing, id) })
		}
	}
}

// start decides how an attempt ends.
func (w *world) start(s Start) {
	w.begin(s)
	end := func(after time.Duration, how End) { w.later(after, func() { w.end(s.Attempt, how) }) }
	survive := func() { w.later(Probation, func() { w.engine.AttemptSurvived(s.Attempt) }) }
	switch {
	case w.deadly[s.Attempt.Part.Job]:
		w.later(worldStep, func() { w.crashUnder(s) })
	case w.failing[s.Worker.Worker] && w.oneIn(2):
		w.refuse(s)
		w.engine.SuspendWorker(s.Worker.Worker, w.now, 2*time.Second)
		end(0, Refused)
	case w.failing[s.Worker.Worker]:
		end(w.between(0, 400), Failed)
	case w.oneIn(30):
		end(silence, Lost)
	case w.engine.jobs[s.Attempt.Part.Job] != nil && w.engine.jobs[s.Attempt.Part.Job].Steps[s.Attempt.Part.Step].Lasting:
		survive()
	default:
		survive()
		end(w.between(200, 12000), Done)
	}
}

// crashUnder crashes the worker of an attempt, which comes back at once as another process.
func (w *world) crashUnder(s Start) {
	n := w.engine.nodesByID[s.Worker.Worker]
	if n.WorkerProcess != s.Worker {
		return
	}
	w.culprits[s.Attempt.Part.Job] = true
	w.crashes[s.Attempt.Part]++
	w.endRunsOf(s.Worker)
	w.engine.CountCrash(s.Attempt, s.Worker, LikelyCrash, w.now)
	for p := range n.parts {
		if a := p.attemptID(); !p.survived && a != s.Attempt {
			w.engine.CountCrash(a, s.Worker, LikelyCrash, w.now)
		}
	}
	next := s.Worker
	next.StartedMs++
	w.engine.WorkerRestarted(next, func(work.Attempt) bool { return false }, w.now)
}

// stop answers a stop, or loses the answer.
func (w *world) stop(s Stop) {
	after := w.between(50, 400)
	if w.oneIn(10) {
		after = silence
	}
	w.later(after, func() { w.end(s.Attempt, Stopped) })
}
