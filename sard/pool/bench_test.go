package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/speed"
	"github.com/sardineline/sardineline/sard/work"
)

// newFleet returns an engine with the given number of workers, rackSize in each rack, whose accounts have the given
// guarantee.
func newFleet(workers, rackSize int, guarantee ident.Accelerators) *Engine {
	e := New(Config{QueueSettings: func(j *work.Job) work.QueueSettings { return j.Terms }, Guarantee: func(ident.Account) ident.Accelerators { return guarantee }})
	for i := range workers {
		e.SetWorker(Worker{
			WorkerProcess: work.WorkerProcess{Worker: ident.Worker(fmt.Sprintf("w%04d", i)), StartedMs: 1}, Service: "s",
			Rack: ident.Rack(fmt.Sprintf("r%d", i/rackSize)), Capacity: workerCapacity, Accepting: true,
		})
	}
	return e
}

// addBenchJob submits a job with a single step.
func addBenchJob(e *Engine, number int, account ident.Account, priority work.Priority, step work.Step, now time.Time) {
	e.AddJob(&work.Job{
		ID: ident.Job(fmt.Sprintf("j%04d", number)), Account: account, AcceptedMs: now.UnixMilli(),
		Terms: work.QueueSettings{Service: "s", Priority: priority, Failures: 3, Stretch: 3, Target: time.Second}, Steps: []work.Step{step},
	}, nil, now, now.UnixMilli())
}

// measureDecide measures Decide after a first round has placed what fits.
func measureDecide(b *testing.B, e *Engine, now time.Time) {
	e.Decide(now, now.UnixMilli())
	e.TakeChanges(1000, now)
	for b.Loop() {
		e.Decide(now, now.UnixMilli())
	}
}

// BenchmarkDecideFull measures Decide with 350 full workers and 600 waiting parts.
func BenchmarkDecideFull(b *testing.B) {
	now := time.Unix(1000, 0)
	e := newFleet(350, 8, 72)
	for i := range 120 {
		addBenchJob(e, i, "a", work.Priority(i%3), work.Step{
			Parts: 13, Need: work.Resources{CPU: 52000, Memory: 140000, Accelerators: 4}, Estimate: 11 * time.Second, Gang: i%3 != 2, SameRack: i%3 == 1,
		}, now)
	}
	measureDecide(b, e, now)
}

// BenchmarkDecideWideJobs measures Decide with 1,100 full workers and 2,400 waiting parts of wide jobs.
func BenchmarkDecideWideJobs(b *testing.B) {
	now := time.Unix(1000, 0)
	e := newFleet(1100, 20, 72)
	for i := range 140 {
		addBenchJob(e, i, "a", 2, work.Step{Parts: 78, Need: smallPart, Estimate: 10 * time.Second}, now)
	}
	measureDecide(b, e, now)
}

// BenchmarkDecideOverloadedFleet measures Decide with 1,100 workers that run parts of many jobs, while gangs of all sizes
// and priorities wait.
func BenchmarkDecideOverloadedFleet(b *testing.B) {
	now := time.Unix(1000, 0)
	e := newFleet(1100, 20, 300)
	for i := range 110 {
		addBenchJob(e, i, ident.Account(fmt.Sprintf("a%d", i%24)), 2, work.Step{Parts: 78, Need: smallPart, Estimate: 10 * time.Second}, now)
	}
	e.Decide(now, now.UnixMilli())
	sizes := []ident.Accelerators{1, 2, 4, 8, 8}
	for i := range 300 {
		addBenchJob(e, 1000+i, ident.Account(fmt.Sprintf("a%d", i%24)), work.Priority(i%2), work.Step{
			Parts: 5 + i%40, Need: work.Resources{CPU: 15000, Memory: 22000, Accelerators: sizes[i%5]}, Estimate: 3 * time.Second, Gang: true, SameRack: i%3 == 0,
		}, now)
	}
	measureDecide(b, e, now)
}

// BenchmarkDecideUnevenFleet measures Decide with 1,100 workers of two speeds, which run parts of wide jobs, while 1,000
// gangs of all sizes and priorities wait, without and with placement by speed.
func BenchmarkDecideUnevenFleet(b *testing.B) {
	for _, bySpeed := range []bool{false, true} {
		b.Run(fmt.Sprintf("bySpeed=%t", bySpeed), func(b *testing.B) {
			now := time.Unix(1000, 0)
			e := newFleet(1100, 20, 300)
			if bySpeed {
				e.speeds = speed.New()
				e.speeds.Restore(twoSpeeds(e), now)
			}
			for i := range 110 {
				addBenchJob(e, i, ident.Account(fmt.Sprintf("a%d", i%24)), 2, work.Step{Parts: 78, Need: smallPart, Estimate: 10 * time.Second}, now)
			}
			e.Decide(now, now.UnixMilli())
			sizes := []ident.Accelerators{1, 2, 4, 8, 8}
			for i := range 1000 {
				addBenchJob(e, 1000+i, ident.Account(fmt.Sprintf("a%d", i%24)), work.Priority(i%3), work.Step{
					Parts: 5 + i%40, Need: work.Resources{CPU: 15000, Memory: 22000, Accelerators: sizes[i%5]},
					Estimate: time.Duration(3+i%7) * time.Second, Gang: true, SameRack: i%4 == 0,
				}, now)
			}
			measureDecide(b, e, now)
		})
	}
}

// BenchmarkExamineWaits measures the search for the reasons of waits in a round with 1,100 workers and 1,000 waiting gangs.
func BenchmarkExamineWaits(b *testing.B) {
	now := time.Unix(1000, 0)
	e := newFleet(1100, 20, 300)
	for i := range 1110 {
		addBenchJob(e, i, "a", 2, work.Step{Parts: 78, Need: smallPart, Estimate: 10 * time.Second, Gang: i >= 110, SameRack: i%4 == 0}, now)
	}
	e.Decide(now, now.UnixMilli())
	now = now.Add(examinedAfter)
	queue := e.placementQueue(now)
	beginWaits(queue, now.Add(-examinedAfter))
	r := newRound(e, now)
	for b.Loop() {
		for _, g := range queue {
			g.wait.examinedAt = time.Time{}
		}
		r.examineWaits(queue)
	}
}

// twoSpeeds returns a snapshot in which every fourth worker is twice as fast as the others.
func twoSpeeds(e *Engine) speed.Snapshot {
	s := speed.Snapshot{Spread: 0.1, Noise: 0.05}
	for i, n := range e.nodes {
		entry := speed.Entry{Worker: n.WorkerProcess.Worker, Squares: 500, Weight: 10_000}
		if i%4 == 0 {
			entry.Mean = 700
		}
		s.Entries = append(s.Entries, entry)
	}
	return s
}
