package sched_test

import (
	"context"
	"fmt"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/work"
)

// slowClient is a client of a worker whose responses take long.
type slowClient struct {
	sched.WorkerClient
	delay *atomic.Int64
}

// RenewLease sends a lease renewal.
func (c *slowClient) RenewLease(ctx context.Context, o sched.RenewLeaseRequest) (sched.WorkerReport, error) {
	report, err := c.WorkerClient.RenewLease(ctx, o)
	if !clock.Sleep(ctx, time.Duration(c.delay.Load())) {
		return sched.WorkerReport{}, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "renew", string(o.Worker.Worker))
	}
	return report, err
}

// TestSlowWorkerKeepsItsParts guards against parts that are stopped and started again because their workers are slow to
// respond for a while, though each request is executed at once.
func TestSlowWorkerKeepsItsParts(t *testing.T) {
	for _, delay := range []time.Duration{500 * time.Millisecond, time.Second, 1500 * time.Millisecond} {
		t.Run(fmt.Sprint(delay), func(t *testing.T) {
			runTest(t, 2, func(r *harness) {
				r.disturbed.Store(true)
				var current atomic.Int64
				r.wrapClient = func(c sched.WorkerClient) sched.WorkerClient { return &slowClient{c, &current} }
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				r.submit("j1", 25*time.Second, work.Step{Parts: 2})
				r.sleep(time.Second)
				current.Store(int64(delay))
				r.sleep(15 * time.Second)
				current.Store(0)
				r.waitForState("j1", ident.Succeeded, time.Minute)
				assert.Equal(t, r.fleet.StartCount(), 2)
			})
		})
	}
}
