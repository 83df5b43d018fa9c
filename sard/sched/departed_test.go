package sched_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/work"
)

// crashedClient is a client of a worker that accepts no connections while the worker wa is down.
type crashedClient struct {
	sched.WorkerClient
	*crash
}

// crash is the crash of the worker wa, for its clients.
type crash struct {
	// down makes requests to the worker fail before they are sent.
	down atomic.Bool
	// renewals is the number of lease renewals for the worker.
	renewals atomic.Int64
}

// crashClients makes the instances use clients that accept no connections while the worker wa is down.
func (r *harness) crashClients() *crash {
	r.disturbed.Store(true)
	c := &crash{}
	r.wrapClient = func(client sched.WorkerClient) sched.WorkerClient { return &crashedClient{client, c} }
	return c
}

// refuse returns the error of a request that did not reach the worker, or nil if it may reach it.
func (c *crash) refuse(worker work.WorkerProcess) error {
	if worker.Worker == "wa" && c.down.Load() {
		return fault.New(fault.Unavailable, "call", "wa", "connection refused")
	}
	return nil
}

// Start sends a start request.
func (c *crashedClient) Start(ctx context.Context, o sched.StartRequest) (sched.Reply, error) {
	if err := c.refuse(o.Worker); err != nil {
		return sched.Reply{}, err
	}
	return c.WorkerClient.Start(ctx, o)
}

// Stop sends a stop request.
func (c *crashedClient) Stop(ctx context.Context, o sched.StopRequest) (sched.Reply, error) {
	if err := c.refuse(o.Worker); err != nil {
		return sched.Reply{}, err
	}
	return c.WorkerClient.Stop(ctx, o)
}

// RenewLease sends a lease renewal.
func (c *crashedClient) RenewLease(ctx context.Context, o sched.RenewLeaseRequest) (sched.WorkerReport, error) {
	if o.Worker.Worker == "wa" {
		c.renewals.Add(1)
	}
	if err := c.refuse(o.Worker); err != nil {
		return sched.WorkerReport{}, err
	}
	return c.WorkerClient.RenewLease(ctx, o)
}

// TestUndeliveredStartIsPlacedAgain guards against parts that wait until the lease of a crashed worker has expired, though
// their start did not reach it.
func TestUndeliveredStartIsPlacedAgain(t *testing.T) {
	tests := []struct {
		name string
		gang bool
	}{
		{"single parts", false},
		{"gang", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 3, func(r *harness) {
				c := r.crashClients()
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				c.down.Store(true)
				r.submit("wj1", time.Second, work.Step{Parts: 2, Gang: test.gang})
				r.waitForState("wj1", ident.Succeeded, 3*time.Second)
			})
		})
	}
}
