package sched_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/work"
)

// pausedClient is a client of the worker wa that sends the first start request after a pause. Only that request reaches the
// worker once its sender was replaced.
type pausedClient struct {
	sched.WorkerClient
	worker *fakes.Worker
	pause  time.Duration
	paused *atomic.Bool
}

// Start sends a start request.
func (c *pausedClient) Start(ctx context.Context, o sched.StartRequest) (sched.Reply, error) {
	if o.Worker.Worker != "wa" {
		return c.WorkerClient.Start(ctx, o)
	}
	if c.paused.CompareAndSwap(false, true) {
		time.AfterFunc(c.pause, func() { _, _ = c.worker.Start(context.Background(), o) })
	}
	<-ctx.Done()
	return sched.Reply{}, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "start", "wa")
}

// Stop sends a stop request.
func (c *pausedClient) Stop(ctx context.Context, o sched.StopRequest) (sched.Reply, error) {
	if o.Worker.Worker == "wa" {
		return sched.Reply{}, fault.New(fault.Unavailable, "stop", "wa", "cut off")
	}
	return c.WorkerClient.Stop(ctx, o)
}

// RenewLease sends a lease renewal.
func (c *pausedClient) RenewLease(ctx context.Context, o sched.RenewLeaseRequest) (sched.WorkerReport, error) {
	if o.Worker.Worker == "wa" && c.paused.Load() {
		return sched.WorkerReport{}, fault.New(fault.Unavailable, "renew", "wa", "cut off")
	}
	return c.WorkerClient.RenewLease(ctx, o)
}

// TestPausedHolderStartsNothingTwice guards against parts that run twice, because a lease holder was paused between the
// check of its lease and a start request, and its successor can't reach that worker.
func TestPausedHolderStartsNothingTwice(t *testing.T) {
	for _, pause := range []time.Duration{time.Second, 4 * time.Second, 8 * time.Second, 12 * time.Second, 20 * time.Second} {
		t.Run(fmt.Sprint(pause), func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				r.disturbed.Store(true)
				var paused atomic.Bool
				r.wrapClient = func(c sched.WorkerClient) sched.WorkerClient {
					return &pausedClient{c, r.fleet.Worker("wa"), pause, &paused}
				}
				kill := r.startInstance("i1")
				r.sleep(2 * time.Second)
				r.submit("j1", 30*time.Second, work.Step{Parts: 1})
				r.waitFor(5*time.Second, paused.Load)
				kill()
				r.listWorker(r.fleet.AddWorker(newListedWorker("wb", "r0")))
				r.startInstance("i2")
				r.waitForState("j1", ident.Succeeded, 2*time.Minute)
			})
		})
	}
}

// TestNextHolderUsesNoWorkerThatLeft guards against parts that are started on a worker that has left the list, because the
// records that the next lease holder reads still name it.
func TestNextHolderUsesNoWorkerThatLeft(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.disturbed.Store(true)
		kill := r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("w1", 3*time.Second, work.Step{Parts: 2})
		r.sleep(time.Second)
		r.unlistWorker(r.fleet.Worker("wa"))
		kill()
		r.startInstance("i2")
		r.submit("w2", time.Second, work.Step{Parts: 3})
		r.waitForState("w1", ident.Succeeded, 30*time.Second)
		r.waitForState("w2", ident.Succeeded, 30*time.Second)
		assert.Equal(t, r.endsOn("wa"), 1, "w2 was started on wa")
	})
}

// endsOn returns the number of attempts that have run to their end on a worker.
func (r *harness) endsOn(name ident.Worker) int {
	w := r.fleet.Worker(name)
	ended := 0
	r.updateFleet(func() { ended = w.EndedCount() })
	return ended
}
