package sched_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// listedGrace is longer than a calm scheduler takes to learn of a changed entry of a worker that is listed at once.
const listedGrace = 300 * time.Millisecond

// setAccelerators changes the number of accelerators that a worker has, and its entry in the worker list.
func (r *harness) setAccelerators(name ident.Worker, accelerators ident.Accelerators) {
	r.t.Helper()
	w := r.fleet.Worker(name)
	r.updateFleet(func() {
		capacity := w.Entry.Capacity
		capacity.Accelerators = accelerators
		w.SetCapacity(capacity)
	})
	r.listWorker(w)
}

// heldStarts holds back start requests until release is called, unless they time out before.
type heldStarts struct {
	sched.WorkerClient
	released *atomic.Bool
}

// Start sends a start request, or lets it time out while starts are held back.
func (c *heldStarts) Start(ctx context.Context, o sched.StartRequest) (sched.Reply, error) {
	if !c.released.Load() {
		<-ctx.Done()
		return sched.Reply{}, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "start", string(o.Worker.Worker))
	}
	return c.WorkerClient.Start(ctx, o)
}

// holdStarts makes all start requests time out without effect, until release is called.
func (r *harness) holdStarts() (release func()) {
	released := &atomic.Bool{}
	r.wrapClient = func(c sched.WorkerClient) sched.WorkerClient { return &heldStarts{c, released} }
	return func() { released.Store(true) }
}

// TestStartDecidedBeforeShrink guards against starts that bring a worker over its capacity, because they were decided
// before the scheduler learned that the worker has shrunk, and sent afterwards. The parts must run elsewhere.
func TestStartDecidedBeforeShrink(t *testing.T) {
	tests := []struct {
		name string
		job  ident.Job
		step work.Step
		// elsewhere is the least number of attempts on workers that have not shrunk.
		elsewhere int
	}{
		{"single parts", "j1", work.Step{Parts: 8}, 6},
		{"a gang", "w1", work.Step{Parts: 2, Gang: true}, 2},
		{"a guaranteed gang", "w1!", work.Step{Parts: 2, Gang: true}, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 3, func(r *harness) {
				r.fleet.ShrinkGrace = listedGrace
				r.slowStore = 500 * time.Millisecond
				r.startInstance("i1")
				r.sleep(3 * time.Second)
				r.submit(test.job, time.Second, test.step)
				r.sleep(100 * time.Millisecond)
				r.setAccelerators("wa", 2)
				r.waitForState(test.job, ident.Succeeded, 8*time.Second)
				assert.Check(t, r.fleet.Worker("wb").EndedCount()+r.fleet.Worker("wc").EndedCount() >= test.elsewhere)
			})
		})
	}
}

// TestStartRepeatedAfterShrink guards against a start that is repeated, since it got no response, to a worker that has
// shrunk since. The first request may not have arrived, so that the second one would bring the worker over its capacity.
func TestStartRepeatedAfterShrink(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.fleet.ShrinkGrace = listedGrace
		release := r.holdStarts()
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("w1", time.Second, work.Step{Parts: 1})
		r.sleep(200 * time.Millisecond)
		r.setAccelerators("wa", 2)
		r.sleep(listedGrace)
		release()
		r.waitForState("w1", ident.Succeeded, 5*time.Second)
		assert.Check(t, r.fleet.Worker("wb").EndedCount() == 1, "not on the worker that did not shrink")
	})
}

// TestStartOfEarlierHolderAfterShrink guards against a start that an earlier holder of the scheduler lease decided and
// did not get through, and that the next holder sends to a worker that has shrunk since.
func TestStartOfEarlierHolderAfterShrink(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.fleet.ShrinkGrace = listedGrace
		release := r.holdStarts()
		kill := r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("w1", time.Second, work.Step{Parts: 1})
		r.sleep(200 * time.Millisecond)
		kill()
		r.setAccelerators("wa", 2)
		release()
		r.startInstance("i2")
		r.waitForState("w1", ident.Succeeded, 10*time.Second)
		assert.Check(t, r.fleet.Worker("wb").EndedCount() == 1, "not on the worker that did not shrink")
	})
}

// TestPartsRunOnWhenWorkerShrinks checks that a worker that shrinks keeps what runs there and gets nothing new, and that
// its capacity is used again as soon as it grows.
func TestPartsRunOnWhenWorkerShrinks(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.fleet.ShrinkGrace = listedGrace
		r.startInstance("i1")
		r.sleep(time.Second)
		r.submit("ja", 5*time.Second, work.Step{Parts: 6})
		r.sleep(500 * time.Millisecond)
		for _, accelerators := range []ident.Accelerators{0, 6} {
			r.setAccelerators("wa", accelerators)
			r.sleep(listedGrace)
		}
		r.submit("jb", time.Second, work.Step{Parts: 1})
		r.submit("wc", time.Second, work.Step{Parts: 1})
		r.waitForState("ja", ident.Succeeded, 5*time.Second)
		r.waitForState("jb", ident.Succeeded, 3*time.Second)
		assert.Equal(t, r.fleet.HighestAttempt("ja"), ident.Attempt(1))
		assert.Equal(t, r.fleet.StartCount(), 7)
		r.setAccelerators("wa", 8)
		r.sleep(listedGrace)
		assert.Check(t, r.fleet.Started("wc"))
	})
}

// TestGuaranteedGangLeavesShrunkWorker shrinks a worker while a guaranteed gang waits for the room of parts that are being
// stopped there. The gang must have room elsewhere in time.
func TestGuaranteedGangLeavesShrunkWorker(t *testing.T) {
	runTest(t, 4, func(r *harness) {
		r.fleet.ShrinkGrace = listedGrace
		r.fleet.ForEachWorker(func(w *fakes.Worker) { w.StopDelay = 400 * time.Millisecond })
		r.startInstance("i1")
		r.sleep(time.Second)
		r.submit("ja", time.Minute, work.Step{Parts: 32})
		r.sleep(time.Second)
		r.submit("w1!", time.Second, work.Step{Parts: 2, Gang: true})
		r.sleep(200 * time.Millisecond)
		r.setAccelerators("wa", 4)
		r.setAccelerators("wb", 0)
		r.sleep(2 * time.Second)
		assert.Check(t, r.fleet.Started("w1!"))
	})
}

// TestNoStartWhileWorkerListIsUnread guards against starts that bring a worker over its capacity, because the entry that
// shows the lost capacity could not be read while records could be written, or was read after the end of an outage only
// when the starts had been sent.
func TestNoStartWhileWorkerListIsUnread(t *testing.T) {
	tests := []struct {
		name   string
		outage func(r *harness, on bool)
	}{
		{"reads fail", func(r *harness, on bool) { r.readsFail.Store(on) }},
		{"all calls fail", func(r *harness, on bool) { r.storeDown.Store(on) }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for seed := range 10 {
				runTest(t, 1, func(r *harness) {
					r.startInstance("i1")
					r.sleep(time.Second)
					r.submit("ja", 6*time.Second, work.Step{Parts: 8})
					r.sleep(500 * time.Millisecond)
					r.submit("wb", time.Second, work.Step{Parts: 1})
					r.sleep(500 * time.Millisecond)
					r.setAccelerators("wa", 4)
					test.outage(r, true)
					r.sleep(8*time.Second + time.Duration(seed)*17*time.Millisecond)
					test.outage(r, false)
					r.waitForState("ja", ident.Succeeded, 20*time.Second)
					r.sleep(time.Second)
					assert.Check(t, !r.fleet.Started("wb"))
					r.setAccelerators("wa", 8)
					r.waitForState("wb", ident.Succeeded, 3*time.Second)
				})
			}
		})
	}
}

// TestUnreadableEntryNamesNoWorker guards against starts on the capacity that a worker had before its entry became
// unreadable. It gets parts again as soon as the entry can be read.
func TestUnreadableEntryNamesNoWorker(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		wa := r.fleet.Worker("wa")
		_, err := r.store.Apply(r.ctx, store.Tx{Put: []store.Put{{Key: listKey(wa.Entry), Value: []byte(`{"Capacity":7}`)}}})
		assert.NilError(t, err)
		r.sleep(listedGrace)
		r.submit("j1", time.Second, work.Step{Parts: 1})
		r.sleep(time.Second)
		assert.Check(t, !r.fleet.Started("j1"))
		r.listWorker(wa)
		r.waitForState("j1", ident.Succeeded, 3*time.Second)
	})
}
