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

// disturbedClient is a client of a worker whose responses are disturbed. A disturbance applies to the worker wa only.
type disturbedClient struct {
	sched.WorkerClient
	*disturbances
}

// disturbances are the disturbances of a disturbedClient.
type disturbances struct {
	// renewalsFail makes renewals fail before they are sent. cutOff makes all requests time out before they are sent; late ones
	// are executed all the same.
	renewalsFail, cutOff atomic.Bool
	// startDelay is how long starts take to arrive; their responses are lost if it is set. requestDelay is how long starts and
	// stops take to arrive, with a response. responseDelay is how long the responses to starts take.
	startDelay, requestDelay, responseDelay atomic.Int64
	// startLateness and ackLateness are how late the next start and the next acknowledgement of ends are executed, without a
	// response.
	startLateness, ackLateness atomic.Int64
	// extensionLateness is how late the next renewal that extends the lease is executed, without a response.
	extensionLateness atomic.Int64
	// ackDelay is how long acknowledgements of ends take to arrive.
	ackDelay atomic.Int64
	// lostIndex is the index of the part whose starts are lost, or 0.
	lostIndex atomic.Int64
}

// disturb makes the instances use disturbed clients.
func (r *harness) disturb() *disturbances {
	r.disturbed.Store(true)
	d := &disturbances{}
	r.wrapClient = func(c sched.WorkerClient) sched.WorkerClient { return &disturbedClient{c, d} }
	return d
}

// RenewLease sends a lease renewal.
func (c *disturbedClient) RenewLease(ctx context.Context, o sched.RenewLeaseRequest) (sched.WorkerReport, error) {
	if err := c.cutOffErr(ctx, o.Worker.Worker); err != nil {
		return sched.WorkerReport{}, err
	}
	if o.Worker.Worker == "wa" && c.renewalsFail.Load() {
		return sched.WorkerReport{}, fault.New(fault.Unavailable, "renew", "wa", "refused")
	}
	if o.Worker.Worker == "wa" && o.AckedEnd > 0 {
		time.Sleep(time.Duration(c.ackDelay.Load()))
		if late := c.ackLateness.Swap(0); late > 0 {
			return sched.WorkerReport{}, executeLate(ctx, late, func() { _, _ = c.WorkerClient.RenewLease(context.Background(), o) })
		}
	}
	if o.Worker.Worker == "wa" && o.Deadline > 0 {
		if late := c.extensionLateness.Swap(0); late > 0 {
			return sched.WorkerReport{}, executeLate(ctx, late, func() { _, _ = c.WorkerClient.RenewLease(context.Background(), o) })
		}
	}
	return c.WorkerClient.RenewLease(ctx, o)
}

// Start sends a start request.
func (c *disturbedClient) Start(ctx context.Context, o sched.StartRequest) (sched.Reply, error) {
	if err := c.cutOffErr(ctx, o.Worker.Worker); err != nil {
		return sched.Reply{}, err
	}
	if o.Worker.Worker != "wa" {
		return c.WorkerClient.Start(ctx, o)
	}
	if index := c.lostIndex.Load(); index != 0 && int64(o.Attempt.Part.Index) == index {
		time.Sleep(600 * time.Millisecond)
		return sched.Reply{}, fault.New(fault.OutcomeUnknown, "start", "wa", "lost")
	}
	if late := c.startLateness.Swap(0); late > 0 {
		return sched.Reply{}, executeLate(ctx, late, func() { _, _ = c.WorkerClient.Start(context.Background(), o) })
	}
	if delay := c.startDelay.Load(); delay > 0 {
		time.Sleep(time.Duration(delay))
		_, _ = c.WorkerClient.Start(ctx, o)
		return sched.Reply{}, fault.New(fault.OutcomeUnknown, "start", "wa", "lost")
	}
	time.Sleep(time.Duration(c.requestDelay.Load()))
	reply, err := c.WorkerClient.Start(ctx, o)
	time.Sleep(time.Duration(c.responseDelay.Load()))
	return reply, err
}

// Stop sends a stop request.
func (c *disturbedClient) Stop(ctx context.Context, o sched.StopRequest) (sched.Reply, error) {
	if err := c.cutOffErr(ctx, o.Worker.Worker); err != nil {
		return sched.Reply{}, err
	}
	if o.Worker.Worker == "wa" {
		time.Sleep(time.Duration(c.requestDelay.Load()))
	}
	return c.WorkerClient.Stop(ctx, o)
}

// cutOffErr returns the error of a request to a worker that is cut off, once ctx ends, or nil.
func (c *disturbedClient) cutOffErr(ctx context.Context, worker ident.Worker) error {
	if worker != "wa" || !c.cutOff.Load() {
		return nil
	}
	<-ctx.Done()
	return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "call", "wa")
}

// executeLate schedules the execution of a request, and returns the error of its sender, which gets no response.
func executeLate(ctx context.Context, late int64, request func()) error {
	time.AfterFunc(time.Duration(late), request)
	<-ctx.Done()
	return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "call", "wa")
}

// TestLateStartAfterRestart guards against parts that run twice, because the first of two start requests is executed late, by
// a later process of the worker, when the part has been started elsewhere.
func TestLateStartAfterRestart(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		d := r.disturb()
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		wa := r.fleet.Worker("wa")
		d.startLateness.Store(int64(3 * time.Second))
		r.submit("j1", 10*time.Second, work.Step{Parts: 1})
		r.sleep(1500 * time.Millisecond)
		r.updateFleet(wa.Crash)
		r.listWorker(wa)
		r.waitForState("j1", ident.Succeeded, 30*time.Second)
	})
}

// TestLateAcknowledgementAfterRestart guards against parts that run again after they are done, because an acknowledgement is
// executed late, by a later process of the worker, and discards an end that no report has listed.
func TestLateAcknowledgementAfterRestart(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		d := r.disturb()
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		wa := r.fleet.Worker("wa")
		d.ackLateness.Store(int64(3 * time.Second))
		r.submit("j1", 100*time.Millisecond, work.Step{Parts: 1})
		r.sleep(500 * time.Millisecond)
		r.updateFleet(wa.Crash)
		r.listWorker(wa)
		r.sleep(2 * time.Second)
		d.renewalsFail.Store(true)
		r.submit("j2", 200*time.Millisecond, work.Step{Parts: 1})
		r.sleep(time.Second)
		d.renewalsFail.Store(false)
		r.waitForState("j2", ident.Succeeded, 30*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 2)
	})
}

// TestLateAcknowledgementAfterUnlistedRestart is like TestLateAcknowledgementAfterRestart, but a report is the first to name
// the later process.
func TestLateAcknowledgementAfterUnlistedRestart(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		d := r.disturb()
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		d.ackLateness.Store(int64(2500 * time.Millisecond))
		r.submit("j1", 100*time.Millisecond, work.Step{Parts: 1})
		r.waitForState("j1", ident.Succeeded, 5*time.Second)
		// The crash interrupts the next lease renewal, and the one after that finds the later process.
		r.submit("j2", 1200*time.Millisecond, work.Step{Parts: 1})
		r.sleep(800 * time.Millisecond)
		r.updateFleet(r.fleet.Worker("wa").Crash)
		r.sleep(800 * time.Millisecond)
		d.renewalsFail.Store(true)
		r.sleep(1200 * time.Millisecond)
		d.renewalsFail.Store(false)
		r.waitForState("j2", ident.Succeeded, 30*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 3)
	})
}

// TestLateAcknowledgementInFlightAtRestart is like TestLateAcknowledgementAfterRestart, but the acknowledgement is in flight
// when the list names the later process, and its sender is killed before it learns that there is no response.
func TestLateAcknowledgementInFlightAtRestart(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		d := r.disturb()
		kill := r.startInstance("i1")
		r.sleep(2 * time.Second)
		wa := r.fleet.Worker("wa")
		d.ackLateness.Store(int64(1500 * time.Millisecond))
		r.submit("j1", 100*time.Millisecond, work.Step{Parts: 1})
		r.waitForState("j1", ident.Succeeded, 5*time.Second)
		r.sleep(20 * time.Millisecond)
		r.updateFleet(wa.Crash)
		r.listWorker(wa)
		r.sleep(200 * time.Millisecond)
		r.submit("j2", time.Second, work.Step{Parts: 1})
		r.sleep(100 * time.Millisecond)
		kill()
		r.startInstance("i2")
		r.waitForState("j2", ident.Succeeded, 30*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 2)
	})
}

// TestAcknowledgementHoldsBackStarts guards against parts that run again after they are done, because a start overtakes an
// acknowledgement to a worker that has just started again, and which then discards the end of that part.
func TestAcknowledgementHoldsBackStarts(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		d := r.disturb()
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		wa := r.fleet.Worker("wa")
		d.ackDelay.Store(int64(400 * time.Millisecond))
		r.submit("j1", 100*time.Millisecond, work.Step{Parts: 1})
		r.waitForState("j1", ident.Succeeded, 5*time.Second)
		r.sleep(20 * time.Millisecond)
		r.updateFleet(wa.Crash)
		r.submit("j2", 30*time.Millisecond, work.Step{Parts: 1})
		r.waitForState("j2", ident.Succeeded, 30*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 2)
	})
}

// TestStartTimeGoesBack guards against parts that run twice, because the time of day was set back while a worker started
// again, so that the list and the worker's reports name its former and its later process by turns.
func TestStartTimeGoesBack(t *testing.T) {
	tests := []struct {
		name     string
		takeover bool
	}{
		{"the list is stale", false},
		{"the records name the former process", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				r.disturbed.Store(true)
				wa := r.fleet.Worker("wa")
				kill := r.startInstance("i1")
				r.sleep(2 * time.Second)
				r.submit("j1", 20*time.Second, work.Step{Parts: 1})
				r.sleep(time.Second)
				var listed sched.ListedWorker
				r.updateFleet(func() { listed = wa.Entry })
				if test.takeover {
					kill()
					r.startInstance("i2")
				}
				r.updateFleet(func() {
					wa.Crash()
					wa.Entry.StartedMs = listed.StartedMs - time.Minute.Milliseconds()
				})
				r.sleep(10 * time.Second)
				r.listEntry(listed)
				r.sleep(5 * time.Second)
				r.listWorker(wa)
				r.waitForState("j1", ident.Succeeded, time.Minute)
				assert.Equal(t, r.fleet.StartCount(), 2)
			})
		})
	}
}

// TestCancelledPartOfUnlistedWorker guards against capacity that stays allocated for good, because the stop of a part was
// decided at a takeover, before its restarted worker was listed again.
func TestCancelledPartOfUnlistedWorker(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.disturbed.Store(true)
		wa := r.fleet.Worker("wa")
		kill := r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("j1", 30*time.Second, work.Step{Parts: 1})
		r.sleep(time.Second)
		kill()
		r.unlistWorker(wa)
		r.updateFleet(wa.Crash)
		assert.NilError(t, r.api.Cancel(r.ctx, accountA, "j1"))
		r.startInstance("i2")
		r.sleep(5 * time.Second)
		r.listWorker(wa)
		r.submit("w1", time.Second, work.Step{Parts: 1})
		r.waitForState("w1", ident.Succeeded, 30*time.Second)
	})
}

// TestDoneGangStartsNoMember guards against members of a gang that run again after the gang is done, because the response
// to their start was lost and their worker has started again.
func TestDoneGangStartsNoMember(t *testing.T) {
	tests := []struct {
		name   string
		listed bool
	}{
		{"the list names the former process", false},
		{"the list names the later process", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 2, func(r *harness) {
				r.disturbed.Store(true)
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				wa := r.fleet.Worker("wa")
				r.updateFleet(func() { wa.DropReplies = true })
				r.submit("wj1", 300*time.Millisecond, work.Step{Parts: 2, Gang: true})
				r.waitForState("wj1", ident.Succeeded, 5*time.Second)
				r.updateFleet(func() {
					wa.Crash()
					wa.DropReplies = false
				})
				if test.listed {
					r.listWorker(wa)
				}
				r.sleep(8 * time.Second)
				assert.Equal(t, r.fleet.StartCount(), 2)
			})
		})
	}
}

// TestClockOfLaterProcess guards against worker leases that seem to last as long as the former process of the worker ran,
// because their deadline is on its clock. The later process confirms a start and dies before the list or a report names
// it.
func TestClockOfLaterProcess(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		d := r.disturb()
		r.startInstance("i1")
		r.sleep(2 * time.Minute)
		wa := r.fleet.Worker("wa")
		r.updateFleet(wa.Crash)
		d.renewalsFail.Store(true)
		r.submit("j1", 2*time.Second, work.Step{Parts: 1})
		r.sleep(400 * time.Millisecond)
		r.updateFleet(func() {
			wa.Crash()
			wa.Unreachable = true
		})
		r.listWorker(r.fleet.AddWorker(newListedWorker("wb", "r0")))
		r.waitForState("j1", ident.Succeeded, 30*time.Second)
	})
}

// TestLateResponseOfFormerProcess is like TestClockOfLaterProcess, but the former process's response to a start arrives after
// the list has named the later one.
func TestLateResponseOfFormerProcess(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		d := r.disturb()
		r.startInstance("i1")
		r.sleep(2 * time.Minute)
		wa := r.fleet.Worker("wa")
		d.responseDelay.Store(int64(400 * time.Millisecond))
		d.renewalsFail.Store(true)
		r.submit("j1", 4*time.Second, work.Step{Parts: 1})
		r.sleep(20 * time.Millisecond)
		r.updateFleet(wa.Crash)
		r.listWorker(wa)
		r.sleep(430 * time.Millisecond)
		d.responseDelay.Store(0)
		d.renewalsFail.Store(false)
		r.sleep(1500 * time.Millisecond)
		r.updateFleet(func() { wa.Unreachable = true })
		r.listWorker(r.fleet.AddWorker(newListedWorker("wb", "r0")))
		r.waitForState("j1", ident.Succeeded, 30*time.Second)
	})
}

// TestStartInFlightDelaysExpiry guards against parts that run twice, because a start that was in flight when the list named
// a later process reached it afterwards, and the lease of that process was taken to expire too early.
func TestStartInFlightDelaysExpiry(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		d := r.disturb()
		r.startInstance("i1")
		r.sleep(2 * time.Minute)
		wa := r.fleet.Worker("wa")
		r.updateFleet(func() {
			wa.Crash()
			wa.ClockSlowPercent = 2
		})
		d.renewalsFail.Store(true)
		d.startDelay.Store(int64(580 * time.Millisecond))
		r.submit("j1", 20*time.Second, work.Step{Parts: 1})
		r.sleep(20 * time.Millisecond)
		r.listWorker(wa)
		r.listWorker(r.fleet.AddWorker(newListedWorker("wb", "r0")))
		r.waitForState("j1", ident.Succeeded, time.Minute)
	})
}

// pausedLease is a scheduler lease that is not known to be held while it is paused.
type pausedLease struct {
	sched.Lease
	paused *atomic.Bool
}

// Check returns an error while the lease is paused.
func (l *pausedLease) Check() error {
	if l.paused.Load() {
		return fault.New(fault.Unavailable, "check", "lease", "paused")
	}
	return l.Lease.Check()
}

// TestStopDecidedForFormerProcess guards against parts that stay stopping for good, because their stop was decided for the
// former process of a worker and made when the list had named a later one.
func TestStopDecidedForFormerProcess(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.disturbed.Store(true)
		var paused atomic.Bool
		r.wrapLease = func(l sched.Lease) sched.Lease { return &pausedLease{l, &paused} }
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		wa := r.fleet.Worker("wa")
		r.updateFleet(func() { wa.Unreachable = true })
		r.submit("j1", time.Second, work.Step{Parts: 1})
		r.sleep(1150 * time.Millisecond)
		paused.Store(true)
		r.sleep(150 * time.Millisecond)
		r.updateFleet(func() {
			wa.Crash()
			wa.Unreachable = false
		})
		r.listWorker(wa)
		r.sleep(300 * time.Millisecond)
		paused.Store(false)
		r.waitForState("j1", ident.Succeeded, 30*time.Second)
	})
}

// TestGangMembersOnRestartedWorker guards against gangs that stay stopping for good, when one member on a restarted worker
// is lost and the start of another one is in flight.
func TestGangMembersOnRestartedWorker(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		d := r.disturb()
		d.lostIndex.Store(1)
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		wa := r.fleet.Worker("wa")
		r.submit("j1", time.Second, work.Step{Parts: 2, Gang: true})
		// The end of a short part makes the worker report.
		r.submit("j2", 100*time.Millisecond, work.Step{Parts: 1})
		r.sleep(300 * time.Millisecond)
		r.updateFleet(wa.Crash)
		r.listWorker(wa)
		r.sleep(100 * time.Millisecond)
		d.lostIndex.Store(0)
		r.waitForState("j1", ident.Succeeded, 30*time.Second)
	})
}

// TestLaterProcessOfOtherKind guards against starts that are repeated to a later process of a worker, which may lack what
// the part requires.
func TestLaterProcessOfOtherKind(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.disturbed.Store(true)
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		wa := r.fleet.Worker("wa")
		r.updateFleet(func() { wa.Entry.Labels = []string{"k1"} })
		r.listWorker(wa)
		r.sleep(300 * time.Millisecond)
		r.updateFleet(func() { wa.Unreachable = true })
		r.submit("j1", time.Second, work.Step{Parts: 1, Label: "k1"})
		r.sleep(700 * time.Millisecond)
		r.updateFleet(func() {
			wa.Crash()
			wa.Entry.Labels, wa.Unreachable = []string{"k2"}, false
		})
		r.listWorker(wa)
		r.sleep(5 * time.Second)
	})
}

// TestAcknowledgementRightAfterRestart guards against acknowledgements that reach a process which started after the last
// report, and which discards an end that no report has listed.
func TestAcknowledgementRightAfterRestart(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.disturbed.Store(true)
		r.slowStore = 250 * time.Millisecond
		r.startInstance("i1")
		r.sleep(3 * time.Second)
		r.submit("j1", time.Second, work.Step{Parts: 1})
		r.sleep(1050 * time.Millisecond)
		r.submit("j2", 30*time.Millisecond, work.Step{Parts: 1})
		wa := r.fleet.Worker("wa")
		for ended := false; !ended; {
			r.sleep(5 * time.Millisecond)
			r.updateFleet(func() { ended = wa.EndedCount() > 0 })
		}
		r.sleep(5 * time.Millisecond)
		r.updateFleet(wa.Crash)
		r.waitForState("j2", ident.Succeeded, 20*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 2)
	})
}

// TestReportedPartOfEarlierHolderExpires guards against parts of an earlier lease holder that are started elsewhere too late
// when their worker is cut off. A report has shown which process runs the part, so its own lease counts, and not the longest
// one that an unknown process may grant.
func TestReportedPartOfEarlierHolderExpires(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.disturbed.Store(true)
		wa := r.fleet.Worker("wa")
		kill := r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.startInstance("i2")
		r.submit("j1", 30*time.Second, work.Step{Parts: 1})
		r.sleep(time.Second)
		kill()
		r.sleep(15 * time.Second)
		r.listWorker(r.fleet.AddWorker(newListedWorker("wb", "r0")))
		r.sleep(time.Second)
		r.updateFleet(func() { wa.Unreachable = true })
		r.sleep(fakes.MaxLease)
		restarted := r.fleet.StartCount() == 2
		r.waitForState("j1", ident.Succeeded, time.Minute)
		assert.Check(t, restarted, "the part was not started elsewhere within %v", fakes.MaxLease)
	})
}

// TestLateStartAfterEndAndRestart guards against parts that run twice, because a repeated start is executed late, by a later
// process of the worker, after the former one has reported the end of the attempt and the part has been started elsewhere.
func TestLateStartAfterEndAndRestart(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.disturbed.Store(true)
		wa := r.fleet.Worker("wa")
		r.updateFleet(func() { wa.IgnoresOrders, wa.OrderLateness, wa.LaterProcessExecutes = true, 2*time.Second, true })
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("wj1", 10*time.Second, work.Step{Parts: 1})
		r.sleep(2100 * time.Millisecond)
		// The first request has been executed, the second is under way.
		r.updateFleet(func() { wa.Failing = true })
		r.sleep(200 * time.Millisecond)
		r.updateFleet(func() {
			wa.Failing, wa.IgnoresOrders = false, false
			wa.Crash()
		})
		r.listWorker(wa)
		r.waitForState("wj1", ident.Succeeded, 30*time.Second)
	})
}

// TestLateStartAfterDeadlineAndRestart guards against parts that run twice, because a start whose deadline has passed is executed
// by a later process of the worker, whose clock starts anew, after the part was started elsewhere.
func TestLateStartAfterDeadlineAndRestart(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.disturbed.Store(true)
		wa := r.fleet.Worker("wa")
		r.updateFleet(func() { wa.IgnoresOrders, wa.OrderLateness, wa.LaterProcessExecutes = true, 9*time.Second, true })
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("wj1", 10*time.Second, work.Step{Parts: 1})
		r.sleep(8500 * time.Millisecond)
		r.updateFleet(func() {
			wa.IgnoresOrders = false
			wa.Crash()
		})
		r.listWorker(wa)
		r.waitForState("wj1", ident.Succeeded, 40*time.Second)
	})
}

// TestRequestSupersededByLaterProcess guards against holders that give up the scheduler lease, because a request to the former
// process of a worker reaches the later one, which has got one with a higher epoch.
func TestRequestSupersededByLaterProcess(t *testing.T) {
	tests := []struct {
		name   string
		cancel bool
	}{
		{"start", false},
		{"stop", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				d := r.disturb()
				var lost atomic.Bool
				r.wrapLease = func(l sched.Lease) sched.Lease { return &watchedLease{l, &lost} }
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				wa := r.fleet.Worker("wa")
				if test.cancel {
					r.submit("j0", 10*time.Second, work.Step{Parts: 1})
					r.sleep(500 * time.Millisecond)
				}
				d.requestDelay.Store(int64(400 * time.Millisecond))
				if test.cancel {
					assert.NilError(t, r.api.Cancel(r.ctx, accountA, "j0"))
				} else {
					r.submit("j0", time.Second, work.Step{Parts: 1})
				}
				r.sleep(100 * time.Millisecond)
				r.updateFleet(wa.Crash)
				r.listWorker(wa)
				r.sleep(600 * time.Millisecond)
				d.requestDelay.Store(0)
				r.submit("j1", time.Second, work.Step{Parts: 1})
				r.waitForState("j1", ident.Succeeded, 5*time.Second)
				assert.Check(t, !lost.Load())
			})
		})
	}
}

// watchedLease is a scheduler lease that notes when its holder marks it as lost.
type watchedLease struct {
	sched.Lease
	lost *atomic.Bool
}

// MarkLost marks the lease as lost.
func (l *watchedLease) MarkLost() {
	l.lost.Store(true)
	l.Lease.MarkLost()
}
