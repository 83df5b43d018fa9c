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

// crashedClient is a client of a worker. The worker wa may crash, and another worker may run at its address.
type crashedClient struct {
	sched.WorkerClient
	*crash
}

// crash is the crash of the worker wa, for its clients.
type crash struct {
	// down makes requests to the worker fail before they are sent.
	down atomic.Bool
	// lostStarts is the number of starts to come during which the worker crashes. Another worker then runs at its
	// address if replaced is set, and refuses all requests.
	lostStarts atomic.Int64
	replaced   atomic.Bool
	// stuck makes starts time out before they are executed, and broken makes those fail that are executed.
	stuck, broken atomic.Bool
	// starts and renewals are the numbers of start requests and lease renewals for the worker.
	starts, renewals atomic.Int64
}

// crashClients makes the instances use clients of which that of the worker wa may crash.
func (r *harness) crashClients() *crash {
	r.disturbed.Store(true)
	c := &crash{}
	r.wrapClient = func(client sched.WorkerClient) sched.WorkerClient { return &crashedClient{client, c} }
	return c
}

// refuse returns the error of a request that did not reach the worker, or nil if it may reach it.
func (c *crash) refuse(worker work.WorkerProcess) error {
	switch {
	case worker.Worker != "wa":
		return nil
	case c.down.Load():
		return fault.New(fault.Unavailable, "call", "wa", "connection refused")
	case c.replaced.Load():
		return &sched.RefusalError{Cause: sched.OtherLife, Worker: worker.Worker}
	}
	return nil
}

// Start sends a start request.
func (c *crashedClient) Start(ctx context.Context, o sched.StartRequest) (sched.Reply, error) {
	if o.Worker.Worker == "wa" {
		c.starts.Add(1)
		if c.stuck.Load() {
			<-ctx.Done()
			return sched.Reply{}, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "start", "wa")
		}
		if c.lostStarts.Add(-1) >= 0 {
			return sched.Reply{}, fault.New(fault.OutcomeUnknown, "start", "wa", "connection closed")
		}
	}
	if err := c.refuse(o.Worker); err != nil {
		return sched.Reply{}, err
	}
	reply, err := c.WorkerClient.Start(ctx, o)
	if err == nil && c.broken.Load() {
		time.Sleep(20 * time.Millisecond)
		return sched.Reply{}, fault.New(fault.OutcomeUnknown, "start", string(o.Worker.Worker), "connection closed")
	}
	return reply, err
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

// TestLaterWorkerOnHost guards against parts of a crashed worker that wait until its lease has expired, though a later
// worker runs on its host. The parts must wait while it isn't certain that the former worker has ended.
func TestLaterWorkerOnHost(t *testing.T) {
	tests := []struct {
		name string
		// formerHost and laterHost are the hosts of the workers; age is by how much the later one seems to be older.
		formerHost, laterHost ident.Host
		age                   time.Duration
		// silent indicates that the later worker does not respond, and cut that the former one runs on without contact.
		silent, cut bool
		// early indicates that the parts start elsewhere before the lease has expired.
		early bool
	}{
		{name: "same host", formerHost: "h1", laterHost: "h1", early: true},
		{name: "other host", formerHost: "h1", laterHost: "h2", cut: true},
		{name: "host unknown", cut: true},
		{name: "order unknown", formerHost: "h1", laterHost: "h1", age: time.Minute, cut: true},
		{name: "later worker silent", formerHost: "h1", laterHost: "h1", silent: true, cut: true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				c := r.crashClients()
				wa := r.fleet.Worker("wa")
				r.updateFleet(func() { wa.Entry.Host = test.formerHost })
				r.listWorker(wa)
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				r.submit("j1", 2*time.Second, work.Step{Parts: 1})
				r.sleep(300 * time.Millisecond)
				c.down.Store(true)
				if !test.cut {
					r.updateFleet(wa.Crash)
				}
				// An open renewal does not notice that the worker is down.
				r.sleep(1500 * time.Millisecond)
				later := newListedWorker("wb", "r0")
				later.Host, later.StartedMs = test.laterHost, later.StartedMs-test.age.Milliseconds()
				wb := r.fleet.AddWorker(later)
				r.updateFleet(func() { wb.Unreachable = test.silent })
				r.listWorker(wb)
				r.listWorker(r.fleet.AddWorker(newListedWorker("wc", "r0")))
				r.sleep(time.Second)
				assert.Equal(t, r.fleet.StartCount() == 2, test.early)
				r.waitForState("j1", ident.Succeeded, fakes.MaxLease+4*time.Second)
			})
		})
	}
}

// TestOtherWorkerAtAddress guards against parts that are never started again, because another worker at the address of
// their crashed worker refuses the renewals of its lease.
func TestOtherWorkerAtAddress(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		c := r.crashClients()
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		c.lostStarts.Store(1)
		c.replaced.Store(true)
		r.submit("j1", time.Second, work.Step{Parts: 1})
		r.sleep(time.Second)
		r.listWorker(r.fleet.AddWorker(newListedWorker("wb", "r0")))
		r.unlistWorker(r.fleet.Worker("wa"))
		r.waitForState("j1", ident.Succeeded, fakes.MaxLease+4*time.Second)
	})
}

// TestStartRefusedByOtherWorker guards against starts that are sent again and again to the address of a crashed worker, where
// another worker refuses them.
func TestStartRefusedByOtherWorker(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		c := r.crashClients()
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		c.replaced.Store(true)
		r.submit("j1", time.Second, work.Step{Parts: 1})
		r.sleep(time.Second)
		assert.Equal(t, c.starts.Load(), int64(1))
		r.listWorker(r.fleet.AddWorker(newListedWorker("wb", "r0")))
		r.waitForState("j1", ident.Succeeded, 3*time.Second)
	})
}

// TestDepartedWorkerIsNotRenewed guards against lease renewals that are sent for good to a worker that has crashed and left
// the platform's list. A worker that is listed again must be used again.
func TestDepartedWorkerIsNotRenewed(t *testing.T) {
	tests := []struct {
		name string
		busy bool
	}{
		{"with a part", true},
		{"without parts", false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				c := r.crashClients()
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				r.submit("j1", 2*time.Second, work.Step{Parts: 1})
				if !test.busy {
					r.waitForState("j1", ident.Succeeded, 3*time.Second)
					c.lostStarts.Store(1)
					r.submit("j2", time.Second, work.Step{Parts: 1})
				}
				r.sleep(300 * time.Millisecond)
				c.down.Store(true)
				wa := r.fleet.Worker("wa")
				r.updateFleet(wa.Crash)
				r.unlistWorker(wa)
				r.sleep(2*fakes.MaxLease + time.Second)
				renewals := c.renewals.Load()
				r.sleep(10 * time.Second)
				assert.Equal(t, c.renewals.Load(), renewals)
				c.down.Store(false)
				r.listWorker(wa)
				r.submit("j3", time.Second, work.Step{Parts: 1})
				for _, id := range []ident.Job{"j1", "j3"} {
					r.waitForState(id, ident.Succeeded, 5*time.Second)
				}
			})
		})
	}
}

// TestEndedWorkerGetsNoParts guards against parts that stay placed for good on a worker that has ended and that a later worker
// on its host follows so soon that it does not count as silent yet.
func TestEndedWorkerGetsNoParts(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.disturbed.Store(true)
		wa := r.fleet.Worker("wa")
		r.updateFleet(func() { wa.Entry.Host = "h1" })
		r.listWorker(wa)
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("w1", 2*time.Second, work.Step{Parts: 1})
		r.sleep(300 * time.Millisecond)
		r.updateFleet(func() {
			wa.Crash()
			wa.Unreachable = true
		})
		r.sleep(300 * time.Millisecond)
		later := newListedWorker("wb", "r0")
		later.Host = "h1"
		r.listWorker(r.fleet.AddWorker(later))
		r.submit("w2", 2*time.Second, work.Step{Parts: 1})
		r.waitForState("w1", ident.Succeeded, 6*time.Second)
		r.waitForState("w2", ident.Succeeded, 6*time.Second)
	})
}
