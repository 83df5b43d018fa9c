package sched_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/work"
)

// deafClient is a client of a worker. The worker wa may be deaf to some kinds of requests.
type deafClient struct {
	sched.WorkerClient
	*deafness
}

// deafness tells which requests the worker wa does not execute, for its clients.
type deafness struct {
	// starts and stops make these requests time out before they are executed.
	starts, stops atomic.Bool
	// cause, if set, is the cause with which the worker refuses its lease renewals but for each accepted-th.
	cause             atomic.Pointer[sched.Cause]
	accepted, renewal atomic.Int64
}

// deafen makes the instances use clients of which that of the worker wa may be deaf.
func (r *harness) deafen() *deafness {
	r.disturbed.Store(true)
	d := &deafness{}
	r.wrapClient = func(c sched.WorkerClient) sched.WorkerClient { return &deafClient{c, d} }
	return d
}

// hold blocks until ctx ends if the request is one for the worker wa that it is deaf to.
func hold(ctx context.Context, worker work.WorkerProcess, deaf *atomic.Bool) error {
	if worker.Worker != "wa" || !deaf.Load() {
		return nil
	}
	<-ctx.Done()
	return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "call", "wa")
}

// Start sends a start request.
func (c *deafClient) Start(ctx context.Context, o sched.StartRequest) (sched.Reply, error) {
	if err := hold(ctx, o.Worker, &c.starts); err != nil {
		return sched.Reply{}, err
	}
	return c.WorkerClient.Start(ctx, o)
}

// Stop sends a stop request.
func (c *deafClient) Stop(ctx context.Context, o sched.StopRequest) (sched.Reply, error) {
	if err := hold(ctx, o.Worker, &c.stops); err != nil {
		return sched.Reply{}, err
	}
	return c.WorkerClient.Stop(ctx, o)
}

// RenewLease sends a lease renewal.
func (c *deafClient) RenewLease(ctx context.Context, o sched.RenewLeaseRequest) (sched.WorkerReport, error) {
	if cause := c.cause.Load(); o.Worker.Worker == "wa" && cause != nil {
		if every := c.accepted.Load(); every == 0 || c.renewal.Add(1)%every != 0 {
			return sched.WorkerReport{}, &sched.RefusalError{Cause: *cause, Worker: "wa"}
		}
	}
	return c.WorkerClient.RenewLease(ctx, o)
}

// TestRefusedRenewalsEndTheLease guards against parts that count as running for good, and workers that get new ones, though
// the worker refuses each lease renewal, so that no report tells of its parts and their lease has expired.
func TestRefusedRenewalsEndTheLease(t *testing.T) {
	for _, cause := range []sched.Cause{sched.Unwell, sched.NoRoom, sched.Expired, sched.Outdated, sched.Unpermitted} {
		t.Run(cause.String(), func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				d := r.deafen()
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				r.submit("w1", 4*time.Second, work.Step{Parts: 1})
				r.sleep(300 * time.Millisecond)
				d.cause.Store(&cause)
				r.listWorker(r.fleet.AddWorker(newListedWorker("wb", "r0")))
				r.waitForState("w1", ident.Succeeded, fakes.MaxLease+7*time.Second)
				assert.Equal(t, r.fleet.StartCount(), 2)
				d.cause.Store(nil)
				r.submit("w2", time.Second, work.Step{Parts: 2})
				r.waitForState("w2", ident.Succeeded, 4*time.Second)
			})
		})
	}
}

// TestSomeRefusedRenewalsEndNothing guards against parts that are started again because their worker refuses most of its lease
// renewals.
func TestSomeRefusedRenewalsEndNothing(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		d := r.deafen()
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("w1", 30*time.Second, work.Step{Parts: 2})
		r.sleep(300 * time.Millisecond)
		d.accepted.Store(4)
		cause := sched.Unwell
		d.cause.Store(&cause)
		r.waitForState("w1", ident.Succeeded, 33*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 2)
	})
}

// TestUnexecutedStartWithoutStop guards against parts that count as running for good, because neither their start nor their
// stop was executed or answered, though the worker's reports show that they do not run.
func TestUnexecutedStartWithoutStop(t *testing.T) {
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
				d := r.deafen()
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				r.submit("wj0", 12*time.Second, work.Step{Parts: 1})
				d.starts.Store(true)
				d.stops.Store(true)
				r.submit("wj1", time.Second, work.Step{Parts: 2, Gang: test.gang})
				r.sleep(4 * time.Second)
				d.starts.Store(false)
				r.waitForState("wj1", ident.Succeeded, 6*time.Second)
			})
		})
	}
}

// TestCancelledPartOfEarlierHolder guards against parts that count as running for good, because an earlier lease holder
// recorded their start and never sent it, and their stop has no answer.
func TestCancelledPartOfEarlierHolder(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		d := r.deafen()
		d.starts.Store(true)
		kill := r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("w1", 30*time.Second, work.Step{Parts: 1})
		r.sleep(300 * time.Millisecond)
		kill()
		d.stops.Store(true)
		assert.NilError(t, r.api.Cancel(r.ctx, accountA, "w1"))
		r.startInstance("i2")
		r.sleep(10 * time.Second)
		d.starts.Store(false)
		r.submit("w2", time.Second, work.Step{Parts: 1})
		r.waitForState("w2", ident.Succeeded, 5*time.Second)
	})
}

// TestVanishedPartOfEarlierHolder guards against parts that count as running for good, because an earlier lease holder has
// started them, and they vanish from the worker's reports after the first one without an end.
func TestVanishedPartOfEarlierHolder(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.disturbed.Store(true)
		kill := r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("j1", time.Minute, work.Step{Parts: 1, Checkpoints: true})
		r.sleep(40 * time.Second)
		kill()
		r.startInstance("i2")
		r.sleep(10 * time.Second)
		wa := r.fleet.Worker("wa")
		r.updateFleet(func() {
			started := wa.Entry.StartedMs
			wa.Crash()
			wa.Entry.StartedMs = started
		})
		r.sleep(3 * time.Second)
		assert.Equal(t, r.fleet.StartCount(), 2)
		r.waitForState("j1", ident.Succeeded, 30*time.Second)
	})
}

// TestPartThatCantBeStopped guards against capacity that stays allocated for good, because a worker that reports never
// executes the stop of a part, while other parts keep its lease.
func TestPartThatCantBeStopped(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		d := r.deafen()
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("j1", 5*time.Minute, work.Step{Parts: 6})
		r.submit("j2", 5*time.Minute, work.Step{Parts: 2})
		r.sleep(time.Second)
		d.stops.Store(true)
		assert.NilError(t, r.api.Cancel(r.ctx, accountA, "j2"))
		r.submit("j3", time.Second, work.Step{Parts: 2})
		r.waitForState("j3", ident.Succeeded, 25*time.Second)
	})
}

// TestDeafWorkerIsAvoided guards against parts that are placed again and again on a worker that reports and executes no starts,
// though other workers have room.
func TestDeafWorkerIsAvoided(t *testing.T) {
	tests := []struct {
		name string
		gang bool
	}{
		{"single parts", false},
		{"gang", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 4, func(r *harness) {
				d := r.deafen()
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				d.starts.Store(true)
				r.submit("wj1", time.Second, work.Step{Parts: 3, Gang: test.gang})
				r.waitForState("wj1", ident.Succeeded, 6*time.Second)
			})
		})
	}
}

// TestStopIsReportedSoon guards against parts that wait for two long renewals, because their stop was confirmed by a worker on
// which they never ran, so that no end makes it report.
func TestStopIsReportedSoon(t *testing.T) {
	runTest(t, 3, func(r *harness) {
		d := r.deafen()
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		d.starts.Store(true)
		r.submit("wj1", 500*time.Millisecond, work.Step{Parts: 1})
		// The renewal that is under way when the stop is confirmed lasts for a second at most.
		r.waitForState("wj1", ident.Succeeded, 2400*time.Millisecond+time.Second+600*time.Millisecond)
	})
}

// TestWaitsAreCounted guards against waits for an order's result, and workers without new parts, that no metric tells of.
func TestWaitsAreCounted(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		registry := prometheus.NewRegistry()
		r.metrics = sched.NewMetrics(registry)
		d := r.deafen()
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		d.starts.Store(true)
		d.stops.Store(true)
		r.submit("w1", time.Second, work.Step{Parts: 2, Gang: true})
		r.sleep(time.Second)
		assert.Equal(t, gaugeOf(t, registry, "sardine_sched_waiting_attempts", "startWait"), 1.0)
		r.waitFor(2500*time.Millisecond, func() bool {
			return gaugeOf(t, registry, "sardine_sched_waiting_attempts", "stopWait") == 1
		})
		d.starts.Store(false)
		r.submit("w2", 30*time.Second, work.Step{Parts: 1})
		r.sleep(500 * time.Millisecond)
		wb := r.fleet.Worker("wb")
		r.updateFleet(func() { wb.Unreachable = true })
		r.sleep(3 * time.Second)
		assert.Equal(t, gaugeOf(t, registry, "sardine_sched_barred_workers", "silentWorker"), 1.0)
	})
}

// gaugeOf returns the value of a gauge for a reason.
func gaugeOf(t *testing.T, registry *prometheus.Registry, name, reason string) float64 {
	families, err := registry.Gather()
	assert.NilError(t, err)
	for _, family := range families {
		for _, metric := range family.GetMetric() {
			if family.GetName() == name && metric.GetLabel()[0].GetValue() == reason {
				return metric.GetGauge().GetValue()
			}
		}
	}
	return 0
}

// TestLateStartAfterUnansweredStop guards against parts that run twice, because a start that counts as never executed, as its
// worker answers neither starts nor stops, is executed late when the part has been started elsewhere.
func TestLateStartAfterUnansweredStop(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.disturbed.Store(true)
		wa := r.fleet.Worker("wa")
		r.updateFleet(func() { wa.IgnoresOrders, wa.OrderLateness = true, 4500*time.Millisecond })
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("wj1", 6*time.Second, work.Step{Parts: 1})
		r.waitForState("wj1", ident.Succeeded, 10*time.Second+500*time.Millisecond)
		assert.Equal(t, r.fleet.StartCount(), 1)
	})
}
