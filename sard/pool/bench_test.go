package pool

import (
	"fmt"
	"testing"
	"time"

	"github.com/sardineline/sardineline/sard/fcast"
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

// backlogWorkers and backlogGroups are the numbers of workers and of waiting groups of a backlog, suspectGroups how many of
// the latter are suspects.
const (
	backlogWorkers = 1100
	backlogGroups  = 1000
	suspectGroups  = 200
)

// backlog is a pool with waiting groups, of which none is placed as long as time stands still.
type backlog struct {
	engine *Engine
	now    time.Time
	// fills makes the waiting groups fill unused processor time.
	fills bool
}

// newBacklog returns a pool without jobs. Some workers are quarantined, some don't accept parts.
func newBacklog(allOptions bool) *backlog {
	b := &backlog{engine: newFleet(backlogWorkers, 20, 72), now: time.Unix(1000, 0)}
	e := b.engine
	if allOptions {
		e.config.RunTimes, e.config.CostOrder, e.config.StartLimit = true, true, 2*time.Second
		e.runTimes, e.speeds = fcast.New(), speed.New()
		e.speeds.Restore(twoSpeeds(e), b.now)
	}
	return b
}

// bar quarantines, suspends or bars every tenth worker each.
func (b *backlog) bar() {
	for i, n := range b.engine.nodes {
		switch i % 10 {
		case 3:
			n.health.quarantineLength = initialQuarantine << (i % 3)
			n.health.quarantinedUntil = b.now.Add(time.Duration(1+i%7) * time.Second)
		case 5:
			b.engine.SuspendWorker(n.WorkerProcess.Worker, b.now, time.Hour)
		case 7:
			n.Accepting = false
		}
	}
}

// add submits jobs with a step and places what fits.
func (b *backlog) add(jobs int, priority work.Priority, step work.Step) {
	for i := range jobs {
		addBenchJob(b.engine, i, ident.Account(fmt.Sprintf("a%d", i%24)), priority, step, b.now)
	}
	b.engine.Decide(b.now, b.now.UnixMilli())
}

// wait submits the groups that wait, single parts and gangs of several sizes in jobs of their own, some of which are
// suspects.
func (b *backlog) wait() {
	sizes := []ident.Accelerators{1, 2, 4, 8}
	for i := range backlogGroups {
		step := work.Step{
			Parts: 1, Need: work.Resources{CPU: 15000, Memory: 22000, Accelerators: sizes[i%4]},
			Estimate: time.Duration(3+i%7) * time.Second, Fills: b.fills,
		}
		if i%3 == 0 {
			step.Parts, step.Gang, step.SameRack = 2+i%40, true, i%2 == 0
		}
		addBenchJob(b.engine, 10_000+i, ident.Account(fmt.Sprintf("a%d", i%24)), work.Priority(1+i%2), step, b.now)
	}
	for i := range suspectGroups {
		b.suspect(10_000 + i*backlogGroups/suspectGroups)
	}
}

// suspect makes the first part of a job a suspect.
func (b *backlog) suspect(number int) {
	g := b.engine.jobs[ident.Job(fmt.Sprintf("j%04d", number))].occurrences[0].steps[0].groups[0]
	g.parts[0].crashes.likely = 1
	b.engine.suspects[g] = true
}

// measure measures Decide when all groups have waited for the given time. The reason of each wait is examined in all rounds
// in which its turn comes.
func (b *backlog) measure(bench *testing.B, waited time.Duration) {
	e := b.engine
	e.Decide(b.now, b.now.UnixMilli())
	e.TakeChanges(10_000, b.now)
	queue := e.placementQueue(b.now)
	for _, g := range queue {
		g.wait.since = b.now.Add(-waited)
	}
	for range 20 {
		e.Decide(b.now, b.now.UnixMilli())
	}
	for bench.Loop() {
		for _, g := range queue {
			if g.wait != nil {
				g.wait.examinedAt = time.Time{}
			}
		}
		if decisions := e.Decide(b.now, b.now.UnixMilli()); len(decisions) > 0 {
			bench.Fatalf("%d decisions in a round in which nothing has changed", len(decisions))
		}
	}
	bench.ReportMetric(float64(len(e.placementQueue(b.now))), "groups")
}

// fullPool returns a pool in which no worker has room.
func fullPool(allOptions bool) *backlog {
	b := newBacklog(allOptions)
	b.add(88, 2, work.Step{Parts: 100, Need: smallPart, Estimate: 10 * time.Second})
	b.bar()
	b.wait()
	return b
}

// conflictingPool returns a pool with room on all workers, each of which runs a part that the waiting groups would disturb.
func conflictingPool(allOptions bool) *backlog {
	b := newBacklog(allOptions)
	b.fills = true
	b.add(1, 1, work.Step{Parts: backlogWorkers, Need: smallPart, Latency: time.Second, Lasting: true, MaxPerWorker: 1})
	b.bar()
	b.wait()
	return b
}

// restartedPool returns a pool whose workers have all just restarted. On each of them, a suspect is on probation.
func restartedPool(allOptions bool) *backlog {
	b := newBacklog(allOptions)
	b.add(backlogWorkers, 1, work.Step{Parts: 1, Need: work.Resources{CPU: 70000, Memory: 1000, Accelerators: 3}})
	for i := range backlogWorkers {
		b.suspect(i)
	}
	b.bar()
	b.wait()
	return b
}

// BenchmarkDecideBacklog measures Decide with 1,100 workers and 1,000 groups that wait, 200 of which are suspects, depending
// on how long they have waited: in a full pool, and in pools in which under half of the capacity is in use.
func BenchmarkDecideBacklog(b *testing.B) {
	pools := []struct {
		name string
		make func(allOptions bool) *backlog
	}{
		{"full", fullPool},
		{"conflicting", conflictingPool},
		{"restarted", restartedPool},
	}
	for _, pool := range pools {
		for _, allOptions := range []bool{false, true} {
			for _, waited := range []time.Duration{0, 2 * time.Second, 10 * time.Second} {
				b.Run(fmt.Sprintf("%s/allOptions=%t/waited=%v", pool.name, allOptions, waited), func(b *testing.B) {
					pool.make(allOptions).measure(b, waited)
				})
			}
		}
	}
}

// BenchmarkDecideDifferentGroups measures Decide with 1,100 full workers and 1,000 waiting groups of which no two have equal
// needs, depending on their priority.
func BenchmarkDecideDifferentGroups(b *testing.B) {
	for _, priority := range []work.Priority{work.Guaranteed, 2} {
		for _, sameRack := range []bool{false, true} {
			b.Run(fmt.Sprintf("priority=%d/sameRack=%t", priority, sameRack), func(b *testing.B) {
				pool := newBacklog(true)
				pool.add(110, 1, work.Step{Parts: 100, Need: smallPart, Estimate: 10 * time.Second, Lasting: true})
				for i := range backlogGroups {
					addBenchJob(pool.engine, 10_000+i, ident.Account(fmt.Sprintf("a%d", i%24)), priority, work.Step{
						Parts: 2 + i%40, Gang: true, SameRack: sameRack, Estimate: time.Duration(3+i%7) * time.Second,
						Need: work.Resources{CPU: 15_000 + work.MilliCores(i), Memory: 22_000, Accelerators: 2},
					}, pool.now)
				}
				measureDecide(b, pool.engine, pool.now)
			})
		}
	}
}
