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
	"github.com/sardineline/sardineline/sard/work"
)

// frozenClient is a client of a worker that is frozen at times: renewals fail, and stop requests wait for the end of that.
type frozenClient struct {
	sched.WorkerClient
	frozen *atomic.Bool
	thawed chan struct{}
}

// RenewLease sends a lease renewal, which fails while the worker is frozen.
func (c *frozenClient) RenewLease(ctx context.Context, o sched.RenewLeaseRequest) (sched.WorkerReport, error) {
	if c.frozen.Load() {
		return sched.WorkerReport{}, fault.New(fault.OutcomeUnknown, "renew lease", string(o.Worker.Worker), "no response")
	}
	return c.WorkerClient.RenewLease(ctx, o)
}

// Stop sends a stop request, which a frozen worker executes at the end of that if the sender still waits.
func (c *frozenClient) Stop(ctx context.Context, o sched.StopRequest) (sched.Reply, error) {
	if c.frozen.Load() {
		select {
		case <-ctx.Done():
			return sched.Reply{}, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "stop", string(o.Worker.Worker))
		case <-c.thawed:
		}
	}
	return c.WorkerClient.Stop(ctx, o)
}

// TestLostWorkerIsUsedAgain guards against a worker that gets no parts for good: it was counted as lost, and the next response
// was that to a stop, after which no renewal was due that would have brought a report.
func TestLostWorkerIsUsedAgain(t *testing.T) {
	for thaw := time.Duration(0); thaw < 2*time.Second; thaw += 50 * time.Millisecond {
		t.Run(thaw.String(), func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				r.disturbed.Store(true)
				frozen, thawed := &atomic.Bool{}, make(chan struct{})
				r.wrapClient = func(c sched.WorkerClient) sched.WorkerClient { return &frozenClient{c, frozen, thawed} }
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				r.submit("j1", time.Minute, work.Step{Parts: 1})
				r.sleep(3 * time.Second)
				frozen.Store(true)
				r.sleep(time.Second)
				assert.NilError(t, r.api.Cancel(r.ctx, accountA, "j1"))
				r.sleep(fakes.MaxLease - 2*time.Second + thaw)
				frozen.Store(false)
				close(thawed)
				r.submit("j2", time.Second, work.Step{Parts: 1})
				r.waitForState("j2", ident.Succeeded, 15*time.Second)
			})
		})
	}
}
