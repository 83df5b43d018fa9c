package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// TestRunsJobsWithoutFaults runs 20 jobs with two instances and checks that all succeed.
func TestRunsJobsWithoutFaults(t *testing.T) {
	runTest(t, 8, func(r *harness) {
		r.startInstance("i1")
		r.startInstance("i2")
		for i := range 20 {
			id := ident.Job("j" + string(rune('a'+i)))
			r.submit(id, 2*time.Second, work.Step{Parts: 1 + i%5, Gang: i%2 == 0})
			r.sleep(time.Second)
		}
		for i := range 20 {
			r.waitForState(ident.Job("j"+string(rune('a'+i))), ident.Succeeded, 20*time.Second)
		}
	})
}

// TestWaitingRowIsDeletedAfterFirstStart checks that a job is no longer counted as waiting after it has started.
func TestWaitingRowIsDeletedAfterFirstStart(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.submit("j1", time.Second, work.Step{Parts: 1})
		count, err := r.api.CountWaiting(r.ctx, "q")
		assert.NilError(t, err)
		assert.Equal(t, count, 1)
		r.startInstance("i1")
		r.waitForState("j1", ident.Succeeded, 5*time.Second)
		r.sleep(2 * time.Second)
		count, err = r.api.CountWaiting(r.ctx, "q")
		assert.NilError(t, err)
		assert.Equal(t, count, 0)
	})
}

// TestStartRetryOfEndedAttempt drops the response to a start request for a part that ends before the request is
// repeated. The worker then refuses the repeated request as outdated.
func TestStartRetryOfEndedAttempt(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.startInstance("i1")
		r.sleep(time.Second)
		w := r.fleet.Worker("wa")
		r.updateFleet(func() { w.DropReplies = true })
		r.submit("j1", 100*time.Millisecond, work.Step{Parts: 1})
		r.sleep(300 * time.Millisecond)
		r.updateFleet(func() { w.DropReplies = false })
		r.waitForState("j1", ident.Succeeded, 10*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 1)
	})
}

// TestTakeover kills the lease holder at various times. The job must succeed under the next holder, and each part
// must be started exactly once.
func TestTakeover(t *testing.T) {
	tests := []struct {
		name string
		// kill is the time between submitting the job and killing the lease holder.
		kill time.Duration
		gang bool
	}{
		{"before the decision is recorded", 0, false},
		{"between recording and start", 2 * time.Millisecond, false},
		{"while parts run", time.Second, false},
		{"while a gang runs", time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 4, func(r *harness) {
				kill := r.startInstance("i1")
				r.sleep(time.Second)
				r.startInstance("i2")
				r.submit("j1", 4*time.Second, work.Step{Parts: 4, Gang: test.gang})
				r.sleep(test.kill)
				kill()
				r.waitForState("j1", ident.Succeeded, 12*time.Second)
				assert.Equal(t, r.fleet.StartCount(), 4)
			})
		})
	}
}

// TestTakeoverWhileGangIsStopped kills the lease holder after one part of a gang was lost and while the other part is
// being stopped. The gang must not start again before both parts have ended.
func TestTakeoverWhileGangIsStopped(t *testing.T) {
	runTest(t, 4, func(r *harness) {
		r.startInstance("i1")
		r.sleep(time.Second)
		r.startInstance("i2")
		r.submit("w1", 6*time.Second, work.Step{Parts: 2, Gang: true})
		r.sleep(time.Second)
		var crashed *fakes.Worker
		r.fleet.ForEachWorker(func(w *fakes.Worker) {
			w.StopDelay = 2 * time.Second
			if crashed == nil && w.RunningCount() > 0 {
				crashed = w
				w.Crash()
			}
		})
		r.listWorker(crashed)
		r.sleep(100 * time.Millisecond)
		r.stopInstances[0]()
		r.waitForState("w1", ident.Succeeded, 40*time.Second)
	})
}

// TestUnreachableWorkerKeepsPartUntilLeaseExpires makes the worker that runs a part unreachable. The part must
// restart elsewhere, but not before the worker's lease has expired.
func TestUnreachableWorkerKeepsPartUntilLeaseExpires(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.startInstance("i1")
		r.submit("w1", 8*time.Second, work.Step{Parts: 1})
		r.sleep(2 * time.Second)
		r.fleet.ForEachWorker(func(w *fakes.Worker) {
			w.Unreachable = w.RunningCount() > 0
		})
		// The unreachable worker stops its part when its lease expires. The part must not start elsewhere before
		// that.
		for range 60 {
			r.sleep(200 * time.Millisecond)
			// Update the fleet so that workers end the runs that are due.
			r.updateFleet(func() {})
		}
		r.waitForState("w1", ident.Succeeded, 20*time.Second)
	})
}

// TestWorkerRestartsUnderSameName crashes a worker whose next process has the same name. All three parts must be
// started again.
func TestWorkerRestartsUnderSameName(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.startInstance("i1")
		r.submit("j1", 3*time.Second, work.Step{Parts: 3})
		r.sleep(time.Second)
		w := r.fleet.Worker("wa")
		r.updateFleet(w.Crash)
		r.listWorker(w)
		r.waitForState("j1", ident.Succeeded, 10*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 6)
	})
}

// TestStartOnLaterProcessRunsOnce guards against parts that run twice because their start reached a later process of the
// worker, which the list named only after the worker had confirmed the start.
func TestStartOnLaterProcessRunsOnce(t *testing.T) {
	tests := []struct {
		name string
		// lostReplies is the number of responses to starts that are lost.
		lostReplies int
		// listed is when the list names the later process, after the job is submitted.
		listed time.Duration
	}{
		{"after the start was confirmed", 0, 100 * time.Millisecond},
		{"while a start is in flight", 1, 100 * time.Millisecond},
		{"after a start without response was repeated", 1, 700 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				restarted := r.fleet.Worker("wa")
				r.updateFleet(func() {
					restarted.Crash()
					restarted.LostStartReplies = test.lostReplies
				})
				r.submit("j1", 5*time.Second, work.Step{Parts: 1})
				r.sleep(test.listed)
				r.listWorker(r.fleet.AddWorker(newListedWorker("wb", "r0")))
				r.listWorker(restarted)
				r.waitForState("j1", ident.Succeeded, 15*time.Second)
				assert.Equal(t, r.fleet.StartCount(), 1)
			})
		})
	}
}

// TestTakeoverKeepsPartOfLaterProcess guards against parts that run twice because the next lease holder takes them for
// lost with the recorded process of a worker, when the list names a later one before the worker has responded.
func TestTakeoverKeepsPartOfLaterProcess(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		kill := r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.startInstance("i2")
		restarted := r.fleet.Worker("wa")
		r.updateFleet(restarted.Crash)
		r.submit("j1", 12*time.Second, work.Step{Parts: 1})
		r.sleep(100 * time.Millisecond)
		kill()
		r.updateFleet(func() { restarted.Unreachable = true })
		r.sleep(4200 * time.Millisecond)
		r.listWorker(r.fleet.AddWorker(newListedWorker("wb", "r0")))
		r.listWorker(restarted)
		r.sleep(200 * time.Millisecond)
		r.updateFleet(func() { restarted.Unreachable = false })
		r.waitForState("j1", ident.Succeeded, 30*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 1)
	})
}

// TestAcknowledgementSparesEndsOfLaterProcess guards against parts that run again after they were done, because the
// acknowledgement of an end of a worker's former process made the later one discard an end that no report had listed.
func TestAcknowledgementSparesEndsOfLaterProcess(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("j1", time.Second, work.Step{Parts: 1})
		r.sleep(500 * time.Millisecond)
		r.storeDown.Store(true)
		r.sleep(700 * time.Millisecond)
		restarted := r.fleet.Worker("wa")
		r.updateFleet(func() {
			restarted.Crash()
			restarted.DropReplies = true
		})
		r.storeDown.Store(false)
		r.submit("j2", 50*time.Millisecond, work.Step{Parts: 1})
		r.sleep(1500 * time.Millisecond)
		r.updateFleet(func() { restarted.DropReplies = false })
		r.waitForState("j2", ident.Succeeded, 20*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 2)
	})
}

// TestUnreachableWorkerWithUnknownProcess starts a part on a worker that has restarted. Its responses are lost, and then
// it is cut off. The scheduler knows neither the clock nor the lease of the new process, so it must wait for the longest
// lease that a worker grants before it starts the part elsewhere.
func TestUnreachableWorkerWithUnknownProcess(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.startInstance("i1")
		r.sleep(20 * time.Second)
		restarted := r.fleet.Worker("wa")
		r.updateFleet(func() {
			restarted.Crash()
			restarted.DropReplies = true
		})
		r.submit("j1", 20*time.Second, work.Step{Parts: 1})
		r.sleep(time.Second)
		r.updateFleet(func() {
			assert.Equal(t, restarted.RunningCount(), 1)
			restarted.Unreachable = true
		})
		r.listWorker(r.fleet.AddWorker(newListedWorker("wb", "r0")))
		r.waitForState("j1", ident.Succeeded, time.Minute)
	})
}

// TestStoreOutageStopsNoParts checks that parts keep running during a store outage of 5 s.
func TestStoreOutageStopsNoParts(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.startInstance("i1")
		r.startInstance("i2")
		r.submit("j1", 10*time.Second, work.Step{Parts: 4})
		r.sleep(2 * time.Second)
		r.storeDown.Store(true)
		r.sleep(5 * time.Second)
		r.storeDown.Store(false)
		r.waitForState("j1", ident.Succeeded, 12*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 4, "an outage of 5 s must not stop running parts")
	})
}

// TestLostStoreReplies drops the responses to all writes for a while. Each part must still be started exactly once.
func TestLostStoreReplies(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.startInstance("i1")
		r.sleep(time.Second)
		r.dropStoreReplies.Store(true)
		r.group.Go(func() error {
			r.submit("j1", 2*time.Second, work.Step{Parts: 4})
			return nil
		})
		r.sleep(600 * time.Millisecond)
		r.dropStoreReplies.Store(false)
		r.sleep(time.Second)
		r.waitForState("j1", ident.Succeeded, 10*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 4)
	})
}

// TestCancelStopsRunningParts checks that cancelling a job stops its running parts.
func TestCancelStopsRunningParts(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.startInstance("i1")
		r.submit("j1", 30*time.Second, work.Step{Parts: 4, Gang: true})
		r.sleep(2 * time.Second)
		assert.NilError(t, r.api.Cancel(r.ctx, accountA, "j1"))
		r.sleep(time.Second)
		r.fleet.ForEachWorker(func(w *fakes.Worker) {
			assert.Equal(t, w.RunningCount(), 0)
		})
		r.waitForState("j1", ident.Cancelled, time.Second)
	})
}

// TestAlwaysFailingJobFails checks that a job whose attempts all fail ends as failed after three attempts.
func TestAlwaysFailingJobFails(t *testing.T) {
	runTest(t, 4, func(r *harness) {
		r.startInstance("i1")
		r.failingJobs["j1"] = true
		r.submit("j1", time.Second, work.Step{Parts: 2, Gang: true})
		r.waitForState("j1", ident.Failed, 15*time.Second)
		assert.Equal(t, r.fleet.HighestAttempt("j1"), ident.Attempt(3))
		// The stop of a part may arrive before its start if the other part has already failed.
		starts := r.fleet.StartCount()
		assert.Assert(t, starts >= 3 && starts <= 3*2, "%d starts: each attempt must start each part at most once", starts)
	})
}

// TestGuaranteedJobReclaimsAccelerators checks that a guaranteed job gets accelerators that are in use by another
// job.
func TestGuaranteedJobReclaimsAccelerators(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.startInstance("i1")
		r.submit("w1", 60*time.Second, work.Step{Parts: 2})
		r.sleep(2 * time.Second)
		r.submit("w2!", time.Second, work.Step{Parts: 2, Gang: true})
		r.waitForState("w2!", ident.Succeeded, 3*time.Second)
	})
}

// TestDrainingWorkerGetsNoNewParts checks that no part is started on a worker that does not accept new parts.
func TestDrainingWorkerGetsNoNewParts(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.startInstance("i1")
		r.sleep(time.Second)
		w := r.fleet.Worker("wa")
		r.updateFleet(func() { w.Entry.Accepting = false })
		r.listWorker(w)
		r.sleep(500 * time.Millisecond)
		r.submit("j1", time.Second, work.Step{Parts: 8})
		r.waitForState("j1", ident.Succeeded, 10*time.Second)
		r.updateFleet(func() { assert.Equal(t, w.EndedCount(), 0) })
	})
}

// TestUnlistedWorkerKeepsRunning checks that the parts of a worker that was removed from the list keep running.
func TestUnlistedWorkerKeepsRunning(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.startInstance("i1")
		r.submit("j1", 6*time.Second, work.Step{Parts: 2})
		r.sleep(time.Second)
		r.unlistWorker(r.fleet.Worker("wa"))
		r.waitForState("j1", ident.Succeeded, 8*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 2)
	})
}

// TestStalledPartIsMoved checks that a part that makes no progress is moved to another worker.
func TestStalledPartIsMoved(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.startInstance("i1")
		r.fleet.Worker("wa").Stalled = true
		r.submit("w1", 3*time.Second, work.Step{Parts: 1})
		r.waitForState("w1", ident.Succeeded, 12*time.Second)
	})
}
