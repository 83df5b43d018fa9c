package sched_test

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// processor simulates the processor of an instance, which does one thing at a time.
type processor chan struct{}

// use occupies the processor for d, or fails if ctx ends before it is free.
func (p processor) use(ctx context.Context, d time.Duration) error {
	select {
	case p <- struct{}{}:
	case <-ctx.Done():
		return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "wait", "processor")
	}
	clock.Sleep(context.Background(), d)
	<-p
	return nil
}

// starvedClient sends requests from an instance on which each request and each response takes a fixed processor time.
type starvedClient struct {
	sched.WorkerClient
	processor processor
	cost      time.Duration
}

// Start sends a start request.
func (c *starvedClient) Start(ctx context.Context, o sched.StartRequest) (sched.Reply, error) {
	return runStarved(ctx, c, func() (sched.Reply, error) { return c.WorkerClient.Start(ctx, o) })
}

// Stop sends a stop request.
func (c *starvedClient) Stop(ctx context.Context, o sched.StopRequest) (sched.Reply, error) {
	return runStarved(ctx, c, func() (sched.Reply, error) { return c.WorkerClient.Stop(ctx, o) })
}

// RenewLease sends a lease renewal.
func (c *starvedClient) RenewLease(ctx context.Context, o sched.RenewLeaseRequest) (sched.WorkerReport, error) {
	return runStarved(ctx, c, func() (sched.WorkerReport, error) { return c.WorkerClient.RenewLease(ctx, o) })
}

// runStarved runs a call that needs processor time before it is sent and after the response has arrived.
func runStarved[T any](ctx context.Context, c *starvedClient, call func() (T, error)) (T, error) {
	var none T
	if err := c.processor.use(ctx, c.cost); err != nil {
		return none, err
	}
	result, err := call()
	if err != nil {
		return none, err
	}
	if err := c.processor.use(ctx, c.cost); err != nil {
		return none, err
	}
	return result, nil
}

// TestWideJobsOnInstanceWithLittleProcessorTime submits wide jobs to an instance that needs longer for all of their
// starts than the timeout of a start. Each part must be started exactly once.
func TestWideJobsOnInstanceWithLittleProcessorTime(t *testing.T) {
	runTest(t, 24, func(r *harness) {
		p := make(processor, 1)
		r.wrapClient = func(c sched.WorkerClient) sched.WorkerClient {
			return &starvedClient{WorkerClient: c, processor: p, cost: 4 * time.Millisecond}
		}
		r.startInstance("i1")
		r.sleep(time.Second)
		for _, id := range []ident.Job{"ja", "jb", "jc"} {
			r.submit(id, 6*time.Second, work.Step{Parts: 64})
		}
		for _, id := range []ident.Job{"ja", "jb", "jc"} {
			r.waitForState(id, ident.Succeeded, 20*time.Second)
		}
		assert.Equal(t, r.fleet.StartCount(), 3*64)
	})
}

// lateReader is a client whose next renewal fails, and whose later responses to renewals are read only after release is
// closed.
type lateReader struct {
	sched.WorkerClient
	armed, failed atomic.Bool
	release       chan struct{}
}

// RenewLease sends a lease renewal.
func (c *lateReader) RenewLease(ctx context.Context, o sched.RenewLeaseRequest) (sched.WorkerReport, error) {
	if !c.armed.Load() {
		return c.WorkerClient.RenewLease(ctx, o)
	}
	if c.failed.CompareAndSwap(false, true) {
		return sched.WorkerReport{}, fault.New(fault.OutcomeUnknown, "renew", "worker", "no response")
	}
	clock.Sleep(context.Background(), 2*time.Second)
	report, err := c.WorkerClient.RenewLease(context.WithoutCancel(ctx), o)
	<-c.release
	return report, err
}

// TestEndInUnreadResponseIsNotLost lets a worker's lease expire while the response that lists the end of its attempt was
// not read yet. The part must not be started again.
func TestEndInUnreadResponseIsNotLost(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		release := make(chan struct{})
		var readers []*lateReader
		r.wrapClient = func(c sched.WorkerClient) sched.WorkerClient {
			reader := &lateReader{WorkerClient: c, release: release}
			readers = append(readers, reader)
			return reader
		}
		r.startInstance("i1")
		r.sleep(time.Second)
		r.submit("j1", 3*time.Second, work.Step{Parts: 1})
		r.sleep(500 * time.Millisecond)
		for _, reader := range readers {
			reader.armed.Store(true)
		}
		r.sleep(8 * time.Second)
		close(release)
		r.waitForState("j1", ident.Succeeded, 2*time.Second)
		assert.Equal(t, r.fleet.StartCount(), 1)
	})
}

// flappingLease is a lease of which one check in three fails, at random, as if renewals were late.
type flappingLease struct {
	sched.Lease
}

// Check fails or checks the lease.
func (l *flappingLease) Check() error {
	if rand.IntN(3) == 0 {
		return fault.New(fault.Unavailable, "check lease", "store", "renewed too late")
	}
	return l.Lease.Check()
}

// TestStartThatWasNotSentIsNoFailure lets the scheduler lease lapse again and again between the decision to start parts and
// the moments at which the requests are sent. No part may be stopped for that.
func TestStartThatWasNotSentIsNoFailure(t *testing.T) {
	runTest(t, 8, func(r *harness) {
		r.wrapLease = func(l sched.Lease) sched.Lease { return &flappingLease{Lease: l} }
		r.startInstance("i1")
		r.sleep(time.Second)
		for _, id := range []ident.Job{"ja", "jb"} {
			r.submit(id, 2*time.Second, work.Step{Parts: 32, Gang: id == "jb"})
		}
		for _, id := range []ident.Job{"ja", "jb"} {
			r.waitForState(id, ident.Succeeded, 10*time.Second)
			assert.Equal(t, r.fleet.HighestAttempt(id), ident.Attempt(1))
		}
		assert.Equal(t, r.fleet.StartCount(), 64)
	})
}

// slowStore is a connection to the store whose transactions and listings take a fixed time.
type slowStore struct {
	store.Store
	delay, listDelay time.Duration
}

// Apply runs a transaction after the delay.
func (s *slowStore) Apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	clock.Sleep(ctx, s.delay)
	return s.Store.Apply(ctx, tx)
}

// List returns the rows of a range after the delay. It fails if ctx ends before.
func (s *slowStore) List(ctx context.Context, r store.Range) (store.Listing, error) {
	if !clock.Sleep(ctx, s.listDelay) {
		return store.Listing{}, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "list", "store")
	}
	return s.Store.List(ctx, r)
}

// TestTakeoverReadsTablesOverSlowLink guards against holders of the scheduler lease that never take over a large pool,
// because they give up reading a table before all of it has arrived.
func TestTakeoverReadsTablesOverSlowLink(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.slowLists = 800 * time.Millisecond
		r.submit("j1", time.Second, work.Step{Parts: 2})
		r.startInstance("i1")
		r.waitForState("j1", ident.Succeeded, 20*time.Second)
	})
}

// TestReclaimOfPartsThatWereNotStarted lets a guaranteed gang claim the workers of a job that was placed right before, and
// whose starts are not recorded yet, while renewals to those workers wait. No worker knows of those parts, so the gang
// must not wait for the workers' next reports.
func TestReclaimOfPartsThatWereNotStarted(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.slowStore = 100 * time.Millisecond
		r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("small", 20*time.Second, work.Step{Parts: 1})
		r.sleep(2500 * time.Millisecond)
		r.submit("ja", 20*time.Second, work.Step{Parts: 15})
		r.sleep(30 * time.Millisecond)
		r.submit("w1!", time.Second, work.Step{Parts: 2, Gang: true})
		r.sleep(1100 * time.Millisecond)
		assert.Assert(t, r.fleet.Started("w1!"))
	})
}
