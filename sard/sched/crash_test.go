package sched_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// restartCase is a way in which a worker comes back after a crash by a part.
type restartCase struct {
	name    string
	renamed bool
	// hostKnown indicates that the list names the hosts of the workers.
	hostKnown bool
}

var restartCases = []restartCase{
	{"the worker keeps its name", false, false},
	{"another worker takes its address", true, false},
	{"a later worker runs on its host", true, true},
}

// runCrashTest runs a test with workers that parts may crash, for each way in which they come back.
func runCrashTest(t *testing.T, test func(*harness)) {
	const workers = 4
	for _, c := range restartCases {
		t.Run(c.name, func(t *testing.T) {
			runTest(t, workers, func(r *harness) {
				r.disturbed.Store(true)
				r.fleet.OnRestart = r.relistRenamed
				r.fleet.ForEachWorker(func(w *fakes.Worker) {
					w.RenamedByCrashes = c.renamed
					if c.hostKnown {
						w.Entry.Host = ident.Host(w.Entry.WorkerProcess.Worker)
					}
				})
				for i := range workers {
					r.listWorker(r.fleet.Worker(workerName(i)))
				}
				test(r)
			})
		})
	}
}

// TestPartThatCrashesWorkersIsGivenUp guards against a part that crashes worker after worker: an attempt that is lost with
// its worker is no failure, so that it was started for ever.
func TestPartThatCrashesWorkersIsGivenUp(t *testing.T) {
	steps := []struct {
		name string
		step work.Step
	}{
		{"single part", work.Step{Parts: 1}},
		{"one of several parts", work.Step{Parts: 5}},
		{"member of a gang", work.Step{Parts: 3, Gang: true}},
		{"lasting part", work.Step{Parts: 2, Lasting: true}},
	}
	for _, s := range steps {
		t.Run(s.name, func(t *testing.T) {
			runCrashTest(t, func(r *harness) {
				r.crashingParts["wj1"] = map[int]bool{0: true}
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				r.submit("wj1", 2*time.Second, s.step)
				r.waitForState("wj1", ident.Failed, 50*time.Second)
				assert.Equal(r.t, r.fleet.CrashCount("wj1"), 3)
			})
		})
	}
}

// TestCrashesCountAcrossLeaseHolders guards against counts of crashes that are lost with the lease holder that has made
// them.
func TestCrashesCountAcrossLeaseHolders(t *testing.T) {
	runCrashTest(t, func(r *harness) {
		r.crashingParts["j1"] = map[int]bool{0: true}
		kill := r.startInstance("i0")
		r.sleep(2 * time.Second)
		r.submit("j1", 2*time.Second, work.Step{Parts: 1})
		for crashes := 1; crashes <= 2; crashes++ {
			r.waitFor(time.Minute, func() bool { return r.recordedCrashes("j1") == crashes })
			kill()
			kill = r.startInstance(fmt.Sprintf("i%d", crashes))
		}
		r.waitForState("j1", ident.Failed, time.Minute)
		assert.Equal(r.t, r.fleet.CrashCount("j1"), 3)
	})
}

// TestCrashesSeenByLaterHoldersCount guards against a part that crashes worker after worker and is never given up, because
// each lease holder ends before it learns of the crash.
func TestCrashesSeenByLaterHoldersCount(t *testing.T) {
	runCrashTest(t, func(r *harness) {
		r.crashingParts["j1"] = map[int]bool{0: true}
		kill := r.startInstance("i0")
		r.sleep(2 * time.Second)
		r.submit("j1", 2*time.Second, work.Step{Parts: 1})
		for crashes := 1; crashes <= 4; crashes++ {
			r.waitFor(time.Minute, func() bool { return r.fleet.CrashCount("j1") == crashes })
			kill()
			r.sleep(fakes.CrashDowntime + 2*time.Second)
			kill = r.startInstance(fmt.Sprintf("i%d", crashes))
		}
		r.waitForState("j1", ident.Failed, time.Minute)
		assert.Check(r.t, r.fleet.CrashCount("j1") <= 5)
	})
}

// TestBystandersOfCrashesAreNotGivenUp guards against parts that are given up because they started again and again beside
// parts that crash their workers.
func TestBystandersOfCrashesAreNotGivenUp(t *testing.T) {
	runCrashTest(t, func(r *harness) {
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		var crashing, others []ident.Job
		for i := range 12 {
			id := ident.Job(fmt.Sprintf("j%d", i))
			if i%4 == 0 {
				r.crashingParts[id] = map[int]bool{1: true}
				crashing = append(crashing, id)
			} else {
				others = append(others, id)
			}
			r.submit(id, 3*time.Second, work.Step{Parts: 2})
		}
		for _, id := range others {
			r.waitForState(id, ident.Succeeded, 2*time.Minute)
		}
		for _, id := range crashing {
			r.waitForState(id, ident.Failed, 2*time.Minute)
			assert.Check(r.t, r.fleet.CrashCount(id) <= 3, "%s has crashed %d workers", id, r.fleet.CrashCount(id))
		}
	})
}

// TestSilentWorkerCountsAsNoCrash guards against a job that is shown as failed because its workers were cut off right after
// the start and dropped from the list, again and again, though none of them has crashed.
func TestSilentWorkerCountsAsNoCrash(t *testing.T) {
	runTest(t, 6, func(r *harness) {
		r.disturbed.Store(true)
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("j1", time.Second, work.Step{Parts: 1})
		for attempt := ident.Attempt(1); attempt <= 5; attempt++ {
			w := r.waitForAttempt("j1", attempt)
			r.updateFleet(func() { w.Unreachable = true })
			r.unlistWorker(w)
		}
		r.waitForState("j1", ident.Succeeded, 20*time.Second)
	})
}

// recordedCrashes returns the number of crashes that the progress record of a job with one part counts.
func (r *harness) recordedCrashes(id ident.Job) int {
	r.t.Helper()
	listing, err := r.store.List(r.ctx, store.KeyRange(work.ProgressKey(id)))
	assert.NilError(r.t, err)
	for _, row := range listing.Rows {
		var progress work.Progress
		assert.NilError(r.t, work.Decode(row.Value, &progress))
		for _, crashes := range progress.CrashCounts {
			return crashes.Likely
		}
	}
	return 0
}

// waitFor waits until a condition holds.
func (r *harness) waitFor(timeout time.Duration, condition func() bool) {
	r.t.Helper()
	for deadline := time.Now().Add(timeout); !condition(); r.sleep(5 * time.Millisecond) {
		if time.Now().After(deadline) {
			r.t.Fatalf("the condition does not hold after %v", timeout)
		}
	}
}

// waitForAttempt waits until an attempt of the only job has started, and returns its worker.
func (r *harness) waitForAttempt(id ident.Job, attempt ident.Attempt) *fakes.Worker {
	r.waitFor(time.Minute, func() bool { return r.fleet.HighestAttempt(id) >= attempt })
	var worker *fakes.Worker
	r.fleet.ForEachWorker(func(w *fakes.Worker) {
		if w.RunningCount() > 0 {
			worker = w
		}
	})
	return worker
}

// TestLeavingWorkerCountsAsNoCrash guards against a job that is shown as failed because the workers that it started on
// were replaced as planned.
func TestLeavingWorkerCountsAsNoCrash(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.disturbed.Store(true)
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		wa := r.fleet.Worker("wa")
		r.updateFleet(func() { wa.StopDelay = 400 * time.Millisecond })
		r.submit("j1", time.Second, work.Step{Parts: 1})
		for attempt := ident.Attempt(1); attempt <= 5; attempt++ {
			r.waitForAttempt("j1", attempt)
			r.updateFleet(func() { wa.Entry.Accepting, wa.Entry.Leaving = false, true })
			r.listWorker(wa)
			r.sleep(50 * time.Millisecond)
			r.updateFleet(func() {
				wa.Entry.Accepting, wa.Entry.Leaving = true, false
				wa.Crash()
			})
			r.listWorker(wa)
		}
		r.waitForState("j1", ident.Succeeded, 30*time.Second)
	})
}

// TestRandomCrashesGiveUpNoPart guards against a job that is shown as failed because workers on which it was just started
// crashed by themselves, though no crash followed from the start.
func TestRandomCrashesGiveUpNoPart(t *testing.T) {
	tests := []struct {
		name string
		// stuck indicates that the worker doesn't execute the start requests.
		stuck bool
		// delay is the time from the start request until the worker crashes.
		delay time.Duration
	}{
		{name: "before the start", stuck: true, delay: 10 * time.Millisecond},
		{name: "some time after the start", delay: 700 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				r.disturbed.Store(true)
				c := r.crashClients()
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				wa := r.fleet.Worker("wa")
				c.stuck.Store(test.stuck)
				r.submit("j1", 2*time.Second, work.Step{Parts: 1})
				for starts := int64(0); starts < 8; {
					for deadline := time.Now().Add(10 * time.Second); c.starts.Load() == starts; {
						assert.Assert(t, time.Now().Before(deadline), "not started again")
						r.sleep(5 * time.Millisecond)
					}
					starts = c.starts.Load()
					r.sleep(test.delay)
					r.updateFleet(wa.Crash)
					r.listWorker(wa)
				}
				c.stuck.Store(false)
				r.waitForState("j1", ident.Succeeded, 20*time.Second)
			})
		})
	}
}

// TestCrashBreaksStartRequest guards against a part that crashes worker after worker and is never given up, because the
// responses to its starts are lost with the worker's connections.
func TestCrashBreaksStartRequest(t *testing.T) {
	runCrashTest(t, func(r *harness) {
		c := r.crashClients()
		c.broken.Store(true)
		r.crashingParts["wj1"] = map[int]bool{0: true}
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("wj1", 2*time.Second, work.Step{Parts: 1})
		r.waitForState("wj1", ident.Failed, 50*time.Second)
		assert.Equal(r.t, r.fleet.CrashCount("wj1"), 3)
	})
}
