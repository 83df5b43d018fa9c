package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

func TestQuietMinute(t *testing.T) {
	play(t, 8, func(r *rig) {
		r.instance("i1")
		r.instance("i2")
		for i := range 20 {
			id := ident.Job("j" + string(rune('a'+i)))
			r.submit(id, 2*time.Second, work.Step{Parts: 1 + i%5, Gang: i%2 == 0})
			r.sleep(time.Second)
		}
		for i := range 20 {
			r.await(ident.Job("j"+string(rune('a'+i))), ident.Succeeded, 20*time.Second)
		}
	})
}

func TestWaitingRowGoesWithTheFirstStart(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.submit("j1", time.Second, work.Step{Parts: 1})
		count, err := r.api.CountWaiting(r.ctx, "q")
		assert.NilError(t, err)
		assert.Equal(t, count, 1)
		r.instance("i1")
		r.await("j1", ident.Succeeded, 5*time.Second)
		r.sleep(2 * time.Second)
		count, err = r.api.CountWaiting(r.ctx, "q")
		assert.NilError(t, err)
		assert.Equal(t, count, 0)
	})
}

// TestSecondStartOfAnEndedAttempt loses the answer of a start whose part ends before the start is sent again: the
// worker then refuses it as outdated.
func TestSecondStartOfAnEndedAttempt(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.instance("i1")
		r.sleep(time.Second)
		w := r.fleet.Worker("wa")
		r.change(func() { w.DropReplies = true })
		r.submit("j1", 100*time.Millisecond, work.Step{Parts: 1})
		r.sleep(300 * time.Millisecond)
		r.change(func() { w.DropReplies = false })
		r.await("j1", ident.Succeeded, 10*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 1)
	})
}

func TestTakeover(t *testing.T) {
	tests := []struct {
		name string
		// kill is when the holder is killed after the submission.
		kill time.Duration
		gang bool
	}{
		{"before the record", 0, false},
		{"between record and start", 2 * time.Millisecond, false},
		{"while parts run", time.Second, false},
		{"while a gang runs", time.Second, true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			play(t, 4, func(r *rig) {
				kill := r.instance("i1")
				r.sleep(time.Second)
				r.instance("i2")
				r.submit("j1", 4*time.Second, work.Step{Parts: 4, Gang: test.gang})
				r.sleep(test.kill)
				kill()
				r.await("j1", ident.Succeeded, 12*time.Second)
				assert.Equal(t, r.fleet.StartCount(), 4)
			})
		})
	}
}

// TestTakeoverWhileAGroupIsStopped hands the lease over while one part of a gang is being stopped, as the other was
// lost: the gang must not start again before both are gone.
func TestTakeoverWhileAGroupIsStopped(t *testing.T) {
	play(t, 4, func(r *rig) {
		r.instance("i1")
		r.sleep(time.Second)
		r.instance("i2")
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
		r.list(crashed)
		r.sleep(100 * time.Millisecond)
		r.stops[0]()
		r.await("w1", ident.Succeeded, 40*time.Second)
	})
}

func TestCutWorkerRunsOn(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.instance("i1")
		r.submit("w1", 8*time.Second, work.Step{Parts: 1})
		r.sleep(2 * time.Second)
		r.fleet.ForEachWorker(func(w *fakes.Worker) {
			w.Unreachable = w.RunningCount() > 0
		})
		// The cut worker ends its run when its lease lapses; only then may the part start elsewhere.
		for range 60 {
			r.sleep(200 * time.Millisecond)
			// The workers end what is due.
			r.change(func() {})
		}
		r.await("w1", ident.Succeeded, 20*time.Second)
	})
}

func TestCrashedWorkerIsStartedAgainUnderItsName(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.instance("i1")
		r.submit("j1", 3*time.Second, work.Step{Parts: 3})
		r.sleep(time.Second)
		w := r.fleet.Worker("wa")
		r.change(w.Crash)
		r.list(w)
		r.await("j1", ident.Succeeded, 10*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 6)
	})
}

func TestStoreAway(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.instance("i1")
		r.instance("i2")
		r.submit("j1", 10*time.Second, work.Step{Parts: 4})
		r.sleep(2 * time.Second)
		r.away.Store(true)
		r.sleep(5 * time.Second)
		r.away.Store(false)
		r.await("j1", ident.Succeeded, 12*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 4, "an outage of 5 s must not stop what runs")
	})
}

func TestLostAnswersOfTheStore(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.instance("i1")
		r.sleep(time.Second)
		r.lost.Store(true)
		r.group.Go(func() error {
			r.submit("j1", 2*time.Second, work.Step{Parts: 4})
			return nil
		})
		r.sleep(600 * time.Millisecond)
		r.lost.Store(false)
		r.sleep(time.Second)
		r.await("j1", ident.Succeeded, 10*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 4)
	})
}

func TestCancelStopsWhatRuns(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.instance("i1")
		r.submit("j1", 30*time.Second, work.Step{Parts: 4, Gang: true})
		r.sleep(2 * time.Second)
		assert.NilError(t, r.api.Cancel(r.ctx, "a", "j1"))
		r.sleep(time.Second)
		r.fleet.ForEachWorker(func(w *fakes.Worker) {
			assert.Equal(t, w.RunningCount(), 0)
		})
		r.await("j1", ident.Cancelled, time.Second)
	})
}

func TestPoisonedJobFails(t *testing.T) {
	play(t, 4, func(r *rig) {
		r.instance("i1")
		r.poison["j1"] = true
		r.submit("j1", time.Second, work.Step{Parts: 2, Gang: true})
		r.await("j1", ident.Failed, 15*time.Second)
		assert.Equal(t, r.fleet.HighestAttempt("j1"), ident.Attempt(3))
		// The stop of a part may overtake its start when the other part has failed before.
		starts := r.fleet.StartCount()
		assert.Assert(t, starts >= 3 && starts <= 3*2, "%d starts: each attempt starts each part once at most", starts)
	})
}

func TestGuaranteedJobReclaims(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.instance("i1")
		r.submit("w1", 60*time.Second, work.Step{Parts: 2})
		r.sleep(2 * time.Second)
		r.submit("w2!", time.Second, work.Step{Parts: 2, Gang: true})
		r.await("w2!", ident.Succeeded, 3*time.Second)
	})
}

func TestLeavingWorkerGetsNothingNew(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.instance("i1")
		r.sleep(time.Second)
		w := r.fleet.Worker("wa")
		r.change(func() { w.Entry.Accepting = false })
		r.list(w)
		r.sleep(500 * time.Millisecond)
		r.submit("j1", time.Second, work.Step{Parts: 8})
		r.await("j1", ident.Succeeded, 10*time.Second)
		r.change(func() { assert.Equal(t, w.EndedCount(), 0) })
	})
}

func TestUnlistedWorkerRunsOn(t *testing.T) {
	play(t, 1, func(r *rig) {
		r.instance("i1")
		r.submit("j1", 6*time.Second, work.Step{Parts: 2})
		r.sleep(time.Second)
		r.unlist(r.fleet.Worker("wa"))
		r.await("j1", ident.Succeeded, 8*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 2)
	})
}

func TestStalledPartIsMoved(t *testing.T) {
	play(t, 2, func(r *rig) {
		r.instance("i1")
		r.fleet.Worker("wa").Stalled = true
		r.submit("w1", 3*time.Second, work.Step{Parts: 1})
		r.await("w1", ident.Succeeded, 12*time.Second)
	})
}
