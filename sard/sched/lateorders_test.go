package sched_test

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// orderLateness is how late the first start of a part is executed in the tests of late starts.
	orderLateness = 9 * time.Second
	// workerDown is how long the worker is down before the late start, and upBeforeLateStart how long its later process is up
	// by then. The platform's list names that process unlistedTime after its start.
	workerDown, upBeforeLateStart, unlistedTime = time.Second, 500 * time.Millisecond, 1200 * time.Millisecond
)

// lateStart is a start without a response, which a later process of its worker executes when its part is done.
type lateStart struct {
	*harness
	sentAt time.Time
}

// completeWithLateStart runs a part to its end on a repeated start, while the first one is still to be executed.
func (r *harness) completeWithLateStart() lateStart {
	r.t.Helper()
	r.disturbed.Store(true)
	wa := r.fleet.Worker("wa")
	r.updateFleet(func() { wa.IgnoresOrders, wa.OrderLateness, wa.LaterProcessExecutes = true, orderLateness, true })
	late := lateStart{harness: r, sentAt: time.Now()}
	r.submit("j1", 500*time.Millisecond, work.Step{Parts: 1})
	r.sleep(300 * time.Millisecond)
	r.updateFleet(func() { wa.IgnoresOrders = false })
	r.waitForState("j1", ident.Succeeded, 5*time.Second)
	return late
}

// sleepUntilBefore waits until a time before the late start is executed.
func (l lateStart) sleepUntilBefore(d time.Duration) {
	l.sleep(time.Until(l.sentAt.Add(orderLateness - d)))
}

// crashWorker makes the worker crash and its later process be up upBeforeLateStart before the late start.
func (l lateStart) crashWorker() {
	wa := l.fleet.Worker("wa")
	l.sleepUntilBefore(upBeforeLateStart + workerDown)
	l.updateFleet(func() { wa.Unreachable = true })
	l.sleepUntilBefore(upBeforeLateStart)
	l.updateFleet(func() {
		wa.Crash()
		wa.Unreachable = false
	})
}

// listLaterProcess names the worker's later process in the platform's list.
func (l lateStart) listLaterProcess() {
	l.listWorker(l.fleet.Worker("wa"))
	l.sleep(5 * time.Second)
}

// TestLateStartAfterHandOver guards against parts that run again after they are done, because their first start is executed late,
// by a later process of the worker, under another lease holder than the one that sent it.
func TestLateStartAfterHandOver(t *testing.T) {
	tests := []struct {
		name     string
		handOver func(late lateStart, kill, stop context.CancelFunc)
	}{
		{"the holder is stopped", func(_ lateStart, _, stop context.CancelFunc) { stop() }},
		{"the holder is killed", func(_ lateStart, kill, _ context.CancelFunc) { kill() }},
		{"two holders are killed", func(late lateStart, kill, _ context.CancelFunc) {
			kill()
			killNext := late.startInstance("i3")
			late.sleep(2 * time.Second)
			killNext()
		}},
		{"the list lacks the worker by then", func(late lateStart, kill, _ context.CancelFunc) {
			late.unlistWorker(late.fleet.Worker("wa"))
			late.sleep(time.Second)
			kill()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				kill := r.startInstance("i1")
				stop := r.stopInstances[0]
				r.sleep(2 * time.Second)
				late := r.completeWithLateStart()
				test.handOver(late, kill, stop)
				r.startInstance("i2")
				late.crashWorker()
				late.sleep(unlistedTime)
				late.listLaterProcess()
				assert.Check(t, is.Equal(r.fleet.StartCount(), 1))
			})
		})
	}
}

// TestLateStartBetweenHolders guards against parts that run again after they are done, because their first start is executed late,
// by a later process of the worker, while no instance holds the lease, though the process that sent it still runs.
func TestLateStartBetweenHolders(t *testing.T) {
	tests := []struct {
		name string
		end  func(r *harness, lease sched.Lease)
	}{
		{"the holder is stopped", func(r *harness, _ sched.Lease) { r.stopInstances[0]() }},
		{"the holder has lost its lease", func(r *harness, lease sched.Lease) {
			r.storeDown.Store(true)
			lease.MarkLost()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				var lease sched.Lease
				r.wrapLease = func(l sched.Lease) sched.Lease {
					lease = l
					return l
				}
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				late := r.completeWithLateStart()
				late.sleepUntilBefore(1700 * time.Millisecond)
				test.end(r, lease)
				late.crashWorker()
				late.sleep(upBeforeLateStart + 100*time.Millisecond)
				assert.Check(t, is.Equal(r.fleet.StartCount(), 1))
				r.storeDown.Store(false)
				r.startInstance("i2")
				late.listLaterProcess()
			})
		})
	}
}

// TestLateStartDuringOutage guards against parts that run again after they are done, because their first start is executed late,
// by a later process of the worker, while the lease holder can't renew its lease.
func TestLateStartDuringOutage(t *testing.T) {
	tests := []struct {
		name string
		// before is how long before the late start the store goes down; 0 means as soon as the start has no response.
		before time.Duration
	}{
		{"3.4 s", 3400 * time.Millisecond},
		{"6 s", 6 * time.Second},
		{"from the end of the part on", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				r.startInstance("i1")
				r.sleep(2 * time.Second)
				late := r.completeWithLateStart()
				if test.before > 0 {
					late.sleepUntilBefore(test.before)
				}
				r.storeDown.Store(true)
				late.crashWorker()
				late.sleep(upBeforeLateStart + 800*time.Millisecond)
				r.storeDown.Store(false)
				late.listLaterProcess()
				assert.Check(t, is.Equal(r.fleet.StartCount(), 1))
			})
		})
	}
}

// cutStore is a store that an instance can't reach while it is cut off.
type cutStore struct {
	store.Store
	cut *atomic.Bool
}

// err returns the error of a call that does not reach the store, or nil.
func (c cutStore) err() error {
	if c.cut.Load() {
		return fault.New(fault.Unavailable, "call", "store", "cut off")
	}
	return nil
}

// Apply runs a transaction.
func (c cutStore) Apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	if err := c.err(); err != nil {
		return store.Result{}, err
	}
	return c.Store.Apply(ctx, tx)
}

// List lists a range.
func (c cutStore) List(ctx context.Context, r store.Range) (store.Listing, error) {
	if err := c.err(); err != nil {
		return store.Listing{}, err
	}
	return c.Store.List(ctx, r)
}

// Feed follows a table.
func (c cutStore) Feed(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	if err := c.err(); err != nil {
		return store.Changes{}, err
	}
	return c.Store.Feed(ctx, table, after, wait)
}

// renewalLog holds the lease renewals that were sent to the worker wa.
type renewalLog struct {
	mu       sync.Mutex
	renewals []loggedRenewal
}

// loggedRenewal is a lease renewal, with the time at which it was sent and whether the worker has refused its epoch.
type loggedRenewal struct {
	epoch   ident.Epoch
	at      time.Time
	refused bool
}

// loggedClient is a client that logs the lease renewals of the worker wa.
type loggedClient struct {
	sched.WorkerClient
	log *renewalLog
}

// RenewLease sends a lease renewal.
func (c loggedClient) RenewLease(ctx context.Context, o sched.RenewLeaseRequest) (sched.WorkerReport, error) {
	at := time.Now()
	report, err := c.WorkerClient.RenewLease(ctx, o)
	var refusal *sched.RefusalError
	refused := errors.As(err, &refusal) && refusal.Cause == sched.Superseded
	if o.Worker.Worker == "wa" {
		c.log.mu.Lock()
		defer c.log.mu.Unlock()
		c.log.renewals = append(c.log.renewals, loggedRenewal{epoch: o.Epoch, at: at, refused: refused})
	}
	return report, err
}

// TestFencingWithoutLease guards against fencing renewals that disturb the next lease holder, because their sender was cut off from
// the store and does not know that it has lost the lease: its epochs are lower than the next holder's, and it sends no more once
// the worker has refused one.
func TestFencingWithoutLease(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		var cut, nextLost atomic.Bool
		var log renewalLog
		r.wrapStore = func(s store.Store) store.Store { return cutStore{Store: s, cut: &cut} }
		r.wrapClient = func(c sched.WorkerClient) sched.WorkerClient { return loggedClient{WorkerClient: c, log: &log} }
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.completeWithLateStart()
		r.wrapStore = nil
		var epoch, takenOver atomic.Int64
		r.wrapLease = func(l sched.Lease) sched.Lease {
			epoch.CompareAndSwap(0, int64(l.Epoch()))
			takenOver.CompareAndSwap(0, time.Now().UnixNano())
			return &watchedLease{l, &nextLost}
		}
		r.startInstance("i2")
		cut.Store(true)
		r.sleep(10 * time.Second)
		assert.Assert(t, epoch.Load() > 0)
		assert.Check(t, !nextLost.Load(), "the next holder was refused")
		refusals := log.formerRefusals(ident.Epoch(epoch.Load()), time.Unix(0, takenOver.Load()))
		assert.Check(t, len(refusals) > 0 && len(refusals) <= 3, "%v", refusals)
		assert.Check(t, log.lastBelow(ident.Epoch(epoch.Load())).Sub(refusals[0]) < 150*time.Millisecond)
	})
}

// formerRefusals returns when the renewals were sent that the worker refused after a takeover, as their epoch is lower than that of
// the next holder.
func (l *renewalLog) formerRefusals(next ident.Epoch, takenOver time.Time) []time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var refusals []time.Time
	for _, renewal := range l.renewals {
		if renewal.refused && renewal.epoch < next && renewal.at.After(takenOver) {
			refusals = append(refusals, renewal.at)
		}
	}
	return refusals
}

// lastBelow returns when the last renewal with an epoch below the given one was sent.
func (l *renewalLog) lastBelow(epoch ident.Epoch) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last time.Time
	for _, renewal := range l.renewals {
		if renewal.epoch < epoch {
			last = renewal.at
		}
	}
	return last
}

// startSignal is a client that tells when the first start request is sent.
type startSignal struct {
	sched.WorkerClient
	sent *atomic.Bool
}

// Start sends a start request.
func (c startSignal) Start(ctx context.Context, o sched.StartRequest) (sched.Reply, error) {
	c.sent.Store(true)
	return c.WorkerClient.Start(ctx, o)
}

// TestStartBeforeOutageIsFenced guards against starts that can't be fenced when they get no response, because the store goes down
// as they are sent, and their sender has no higher epoch.
func TestStartBeforeOutageIsFenced(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.disturbed.Store(true)
		wa := r.fleet.Worker("wa")
		r.updateFleet(func() { wa.IgnoresOrders, wa.OrderLateness, wa.LaterProcessExecutes = true, orderLateness, true })
		var sent atomic.Bool
		r.wrapClient = func(c sched.WorkerClient) sched.WorkerClient { return startSignal{c, &sent} }
		r.submit("j1", 500*time.Millisecond, work.Step{Parts: 1})
		r.startInstance("i1")
		for !sent.Load() {
			r.sleep(time.Millisecond)
		}
		late := lateStart{harness: r, sentAt: time.Now()}
		r.storeDown.Store(true)
		r.sleep(300 * time.Millisecond)
		r.updateFleet(func() { wa.IgnoresOrders = false })
		late.crashWorker()
		late.sleep(upBeforeLateStart + 100*time.Millisecond)
		assert.Check(t, is.Equal(r.fleet.StartCount(), 1))
		r.storeDown.Store(false)
		late.listLaterProcess()
		r.waitForState("j1", ident.Succeeded, 20*time.Second)
	})
}

// TestLateAcknowledgementBeforeLaterProcessIsKnown guards against parts that run again after they are done, because an
// acknowledgement without a response is executed late, by a later process of the worker that has got a start but no lease renewal
// yet, and discards the end of that part.
func TestLateAcknowledgementBeforeLaterProcessIsKnown(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		d := r.disturb()
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		wa := r.fleet.Worker("wa")
		d.ackLateness.Store(int64(1500 * time.Millisecond))
		r.submit("j1", 100*time.Millisecond, work.Step{Parts: 1})
		r.waitForState("j1", ident.Succeeded, 5*time.Second)
		r.sleep(100 * time.Millisecond)
		d.renewalsFail.Store(true)
		r.sleep(700 * time.Millisecond)
		r.updateFleet(wa.Crash)
		r.submit("j2", 30*time.Millisecond, work.Step{Parts: 1})
		r.sleep(800 * time.Millisecond)
		d.renewalsFail.Store(false)
		r.waitForState("j2", ident.Succeeded, 30*time.Second)
		assert.Check(t, is.Equal(r.fleet.StartCount(), 2))
	})
}

// TestLateExtensionBeforeLaterProcessIsKnown guards against parts that run twice, because a lease renewal without a response is
// executed late, by a later process of the worker that has got a start but no renewal yet, and which is cut off then: its lease
// lasts longer than anybody knows.
func TestLateExtensionBeforeLaterProcessIsKnown(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		d := r.disturb()
		r.startInstance("i1")
		r.sleep(2 * time.Minute)
		wa := r.fleet.Worker("wa")
		r.submit("j0", 10*time.Second, work.Step{Parts: 1})
		r.sleep(500 * time.Millisecond)
		d.extensionLateness.Store(int64(6 * time.Second))
		r.sleep(3 * time.Second)
		d.renewalsFail.Store(true)
		r.sleep(100 * time.Millisecond)
		r.updateFleet(wa.Crash)
		r.submit("j1", 20*time.Second, work.Step{Parts: 1})
		r.sleep(300 * time.Millisecond)
		assert.Check(t, is.Equal(wa.RunningCount(), 1))
		d.cutOff.Store(true)
		r.listWorker(r.fleet.AddWorker(newListedWorker("wb", "r0")))
		r.waitForState("j1", ident.Succeeded, time.Minute)
	})
}

// TestLateStartWhereNobodyFences guards against parts that run again after they are done, because their first start is executed late,
// by a later process of the worker, where no process that knows of it can reach that: the worker is cut off, or the lease holder was
// just killed.
func TestLateStartWhereNobodyFences(t *testing.T) {
	tests := []struct {
		name string
		lose func(late lateStart, d *disturbances, kill context.CancelFunc)
	}{
		{"the worker is cut off", func(_ lateStart, d *disturbances, _ context.CancelFunc) { d.cutOff.Store(true) }},
		{"the holder is killed", func(late lateStart, _ *disturbances, kill context.CancelFunc) {
			late.sleepUntilBefore(upBeforeLateStart + 200*time.Millisecond)
			kill()
		}},
		{"the holder is killed while the store is down", func(late lateStart, _ *disturbances, kill context.CancelFunc) {
			late.storeDown.Store(true)
			kill()
		}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				d := r.disturb()
				kill := r.startInstance("i1")
				r.sleep(2 * time.Second)
				late := r.completeWithLateStart()
				r.startInstance("i2")
				late.sleepUntilBefore(upBeforeLateStart + workerDown)
				test.lose(late, d, kill)
				late.crashWorker()
				late.sleep(upBeforeLateStart + 100*time.Millisecond)
				d.cutOff.Store(false)
				r.storeDown.Store(false)
				late.listLaterProcess()
				assert.Check(t, is.Equal(r.fleet.StartCount(), 1))
			})
		})
	}
}
