package gang_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
)

// maxPartialRun bounds how long a part may run without the whole gang: the short lease and 1 s for calls.
const maxPartialRun = 6 * time.Second

// maxRunAfterBreak bounds how long a part may run after another part of the gang ended early: for an unreachable worker,
// a long lease, another one granted by a late renewal, and the time to detect the failure.
const maxRunAfterBreak = 100 * time.Second

// TestTakeover checks that another instance takes over after the holder crashes, without interrupting running jobs or
// losing queued ones.
func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 2, 8)
		first := c.startInstance("i1").awaitReady()
		running := first.submit(t, "k1", jobSpec(64, "10m"))
		waiting := first.submit(t, "k2", jobSpec(128, "1m"))
		time.Sleep(2 * time.Second)
		first.crash()
		<-first.done
		crashedAt := time.Now()
		second := c.startInstance("i2").awaitReady()
		t.Logf("takeover after %v", time.Since(crashedAt))
		assert.Equal(t, second.lease.Epoch(), first.lease.Epoch()+1)
		assert.Equal(t, second.get(t, running.ID).Attempt, ident.Attempt(1))
		time.Sleep(20 * time.Minute)
		assert.Equal(t, second.get(t, running.ID).State, ident.Succeeded)
		assert.Equal(t, second.get(t, waiting.ID).State, ident.Succeeded)
		c.checkRanOnce(running.ID)
		again := second.submit(t, "k1", jobSpec(64, "10m"))
		assert.Equal(t, again.ID, running.ID)
		c.recorder.checkPartialRuns(maxPartialRun, maxRunAfterBreak)
		c.shutDown(first, second)
	})
}

// TestHandOver checks that another instance takes over within a second after the holder releases the lease, without
// interrupting running jobs.
func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 1, 8)
		first := c.startInstance("i1").awaitReady()
		view := first.submit(t, "k1", jobSpec(64, "10m"))
		time.Sleep(2 * time.Second)
		handOverAt := time.Now()
		assert.NilError(t, first.handOver(t.Context()))
		second := c.startInstance("i2").awaitReady()
		assert.Assert(t, time.Since(handOverAt) < time.Second)
		time.Sleep(10 * time.Minute)
		assert.Equal(t, second.get(t, view.ID).State, ident.Succeeded)
		assert.Equal(t, second.get(t, view.ID).Attempt, ident.Attempt(1))
		c.shutDown(first, second)
	})
}

// TestMemberLost checks that a gang is repeated as a whole after one of its workers is disconnected or crashes.
func TestMemberLost(t *testing.T) {
	tests := []struct {
		name string
		lose func(w *fakeWorker)
	}{
		{"disconnected", func(w *fakeWorker) { w.setDisconnected(true) }},
		{"crashed and restarted", func(w *fakeWorker) { w.crash() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster(t, 2, 8)
				inst := c.startInstance("i1").awaitReady()
				view := inst.submit(t, "k1", jobSpec(64, "10m"))
				time.Sleep(2 * time.Second)
				test.lose(c.workers[inst.get(t, view.ID).Parts[3].Worker])
				time.Sleep(15 * time.Minute)
				got := inst.get(t, view.ID)
				assert.Equal(t, got.State, ident.Succeeded)
				assert.Equal(t, got.Attempt, ident.Attempt(2))
				c.checkRanOnce(view.ID)
				c.shutDown(inst)
			})
		})
	}
}

// TestNotRepeatedLost checks that a job that must not be repeated fails when its attempt is lost.
func TestNotRepeatedLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 1, 8)
		inst := c.startInstance("i1").awaitReady()
		spec := jobSpec(16, "10m")
		spec.NotRepeated, spec.Kind = true, "once"
		view := inst.submit(t, "k1", spec)
		time.Sleep(2 * time.Second)
		c.workers[inst.get(t, view.ID).Parts[0].Worker].crash()
		time.Sleep(5 * time.Minute)
		got := inst.get(t, view.ID)
		assert.Equal(t, got.State, ident.Failed)
		assert.Equal(t, got.Attempt, ident.Attempt(1))
		assert.Assert(t, got.Reason != "")
		c.shutDown(inst)
	})
}

// TestCancel checks the cancellation, which is idempotent, of a running and a queued job at several stages.
func TestCancel(t *testing.T) {
	tests := []struct {
		name string
		// delay is the time from the submission to the cancellation.
		delay time.Duration
	}{
		{"at once", 0},
		{"running", 2 * time.Second},
		{"ended", 2 * time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster(t, 1, 8)
				inst := c.startInstance("i1").awaitReady()
				view := inst.submit(t, "", jobSpec(64, "1m"))
				queued := inst.submit(t, "", jobSpec(64, "1m"))
				time.Sleep(test.delay)
				ids := []ident.Job{view.ID, queued.ID}
				assert.NilError(t, inst.scheduler.Cancel(t.Context(), "acme", ids))
				assert.NilError(t, inst.scheduler.Cancel(t.Context(), "acme", ids))
				time.Sleep(5 * time.Minute)
				want := ident.Cancelled
				if test.delay > time.Minute {
					want = ident.Succeeded
				}
				assert.Equal(t, inst.get(t, view.ID).State, want)
				assert.Assert(t, inst.get(t, queued.ID).State.Terminal())
				c.shutDown(inst)
			})
		})
	}
}

// TestFailingJobEnds checks that a job fails after three attempts if each one fails.
func TestFailingJobEnds(t *testing.T) {
	tests := []struct{ name, command string }{
		{"fails at the start", "fail"},
		{"refused by every worker", "refuse"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster(t, 2, 8)
				inst := c.startInstance("i1").awaitReady()
				view := inst.submit(t, "", gang.JobSpec{Kind: "pricing", Accelerators: 8, Command: test.command, Checkpointable: true})
				time.Sleep(time.Hour)
				got := inst.get(t, view.ID)
				assert.Equal(t, got.State, ident.Failed)
				assert.Equal(t, got.Attempt, ident.Attempt(3))
				assert.Assert(t, got.Reason != "")
				c.shutDown(inst)
			})
		})
	}
}
