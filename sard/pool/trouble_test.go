package pool

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// run reports progress at a steady rate for some time.
func (r *rig) run(id ident.Job, from, perSecond int, d time.Duration) {
	r.t.Helper()
	const step = 500 * time.Millisecond
	for passed := time.Duration(0); passed <= d; passed += step {
		r.progress(id, from+int(passed*time.Duration(perSecond)/time.Second))
		r.pass(step)
	}
}

// TestWrongEstimateMovesNothing: a job that takes five times its estimate on a sound worker is left alone.
func TestWrongEstimateMovesNothing(t *testing.T) {
	r := newRig(t, 4)
	r.add("long", 1, work.Step{Parts: 1, Need: large, Estimate: 2 * time.Second})
	r.run("long", 0, 10, 6*time.Second)
	assert.Equal(t, len(r.stops), 0)
}

// TestWorkerTurnsSlow: a job that becomes much slower than it was is moved, and not back.
func TestWorkerTurnsSlow(t *testing.T) {
	r := newRig(t, 4)
	r.add("job", 1, work.Step{Parts: 1, Need: large, Estimate: 10 * time.Second})
	slow := r.on("job")[0]
	r.run("job", 0, 10, 2*time.Second)
	r.run("job", 22, 1, 14*time.Second)
	assert.DeepEqual(t, r.stoppedJobs(), map[ident.Job]int{"job": 1})
	r.pass(400 * time.Millisecond)
	r.stopped()
	r.pass(retryPause)
	assert.Assert(t, !slices.Contains(r.on("job"), slow))
}

// TestWorkerIsSlowForAWhile: a job that has done a part of its work sooner ends where it is than anew elsewhere, when
// slowness lasts as long again as it has lasted.
func TestWorkerIsSlowForAWhile(t *testing.T) {
	r := newRig(t, 4)
	r.add("job", 1, work.Step{Parts: 1, Need: large, Estimate: 10 * time.Second})
	r.run("job", 0, 10, 4*time.Second)
	r.run("job", 42, 1, 5*time.Second)
	assert.Equal(t, len(r.stops), 0)
	r.run("job", 48, 10, 5*time.Second)
	r.end("job", Done)
	assert.Equal(t, len(r.starts), 1)
}

// TestHangingWorker: an attempt without progress is moved, and its worker is left alone for a while.
func TestHangingWorker(t *testing.T) {
	r := newRig(t, 4)
	r.add("job", 1, work.Step{Parts: 1, Need: large, Estimate: 5 * time.Second})
	hung := r.on("job")[0]
	r.run("job", 0, 0, 3*time.Second)
	assert.Equal(t, r.stoppedJobs()["job"], 1)
	r.stopped()
	r.pass(retryPause)
	assert.Assert(t, !slices.Contains(r.on("job"), hung))
	r.add("other", 1, work.Step{Parts: 1, Need: large, Estimate: time.Millisecond})
	assert.Assert(t, !slices.Contains(r.on("other"), hung))
}

// TestSilentHolderSeesNoStall: no reports for a long time, as while the scheduler is frozen, are no stall.
func TestSilentHolderSeesNoStall(t *testing.T) {
	r := newRig(t, 4)
	r.add("job", 1, work.Step{Parts: 1, Need: large})
	r.progress("job", 10)
	r.pass(20 * time.Second)
	assert.Equal(t, len(r.stops), 0)
}

// TestPoisonedJobSparesWorkers: a job that fails everywhere ends as failed and keeps no worker from others.
func TestPoisonedJobSparesWorkers(t *testing.T) {
	r := newRig(t, 4)
	r.add("poison", 1, work.Step{Parts: 2, Need: large, Gang: true})
	for range 3 {
		r.end("poison", Failed)
		r.pass(retryPause)
	}
	assert.Assert(t, !r.engine.HasOpenJob("poison"))
	for _, n := range r.engine.nodes {
		assert.Assert(t, n.health.well(r.now))
	}
}

// TestWorkerFailsAllThatItStarts: after failures of two jobs it gets nothing for a while.
func TestWorkerFailsAllThatItStarts(t *testing.T) {
	r := newRig(t, 2)
	for i := range 2 {
		id := ident.Job(fmt.Sprintf("job%d", i))
		r.add(id, 1, work.Step{Parts: 1, Need: small, Estimate: time.Millisecond})
		a := r.starts[len(r.starts)-1]
		r.engine.AttemptEnded(a.Attempt, Failed, "", r.now)
		r.engine.byID[a.Worker.Worker].health.fail("other", r.now)
		r.decide()
		r.pass(retryPause)
		assert.Assert(t, !slices.Contains(r.on(id), a.Worker.Worker))
	}
}

// TestWorkersTakenAtShortNotice: what would not end in time goes on elsewhere; the rest is left alone.
func TestWorkersTakenAtShortNotice(t *testing.T) {
	r := newRig(t, 2)
	r.add("long", 1, work.Step{Parts: 1, Need: small, Estimate: 10 * time.Second, Checkpoints: true})
	r.add("short", 1, work.Step{Parts: 1, Need: small, Estimate: time.Second})
	assert.DeepEqual(t, r.on("long"), r.on("short"))
	n := r.engine.byID[r.on("long")[0]]
	w := n.Worker
	w.Accepting, w.AvailableUntil = false, r.now.Add(2*time.Second)
	r.engine.SetWorker(w)
	r.decide()
	assert.DeepEqual(t, r.stoppedJobs(), map[ident.Job]int{"long": 1})
}

// TestLostWorkerBringsItsGangBack: when one part is lost the others are stopped, and all start again together.
func TestLostWorkerBringsItsGangBack(t *testing.T) {
	r := newRig(t, 8)
	r.add("gang", 1, work.Step{Parts: 3, Need: large, Gang: true})
	r.engine.ProcessLost(r.engine.byID[r.on("gang")[0]].WorkerProcess, r.now)
	r.decide()
	assert.Equal(t, r.stoppedJobs()["gang"], 2)
	assert.Equal(t, len(r.starts), 3)
	r.stopped()
	r.pass(retryPause)
	assert.Equal(t, len(r.starts), 6)
	assert.Equal(t, r.starts[5].Attempt.Number, ident.Attempt(2))
}

// TestRecordRestoresWhatRuns: a new engine goes on from the records of the old one.
func TestRecordRestoresWhatRuns(t *testing.T) {
	r := newRig(t, 4)
	r.add("job", 1, work.Step{Parts: 3, Need: small, Estimate: time.Millisecond})
	r.engine.AttemptEnded(r.starts[0].Attempt, Done, "", r.now)
	j := r.engine.jobs["job"]
	recorded := j.progress()
	after := newRig(t, 4)
	after.engine.AddJob(j.Job, &recorded, after.now, after.now.UnixMilli())
	after.pass(time.Second)
	assert.Equal(t, len(after.starts), 0)
	assert.DeepEqual(t, after.on("job"), r.on("job"))
	after.end("job", Done)
	assert.Assert(t, !after.engine.HasOpenJob("job"))
}
