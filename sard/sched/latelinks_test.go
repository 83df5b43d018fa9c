package sched_test

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// storeFault is what happens to the instances' calls to the store.
type storeFault int

const (
	// storeServes means that calls are served.
	storeServes storeFault = iota
	// storeBusy means that calls fail at once, without effect.
	storeBusy
	// storeSilent means that calls get no response, without effect.
	storeSilent
	// storeLosesResponses means that writes are applied without a response.
	storeLosesResponses
	// storeDelaysWrites means that writes are applied later without a response.
	storeDelaysWrites
	// storeSlow means that calls take long.
	storeSlow
	// storeFaults is the number of values.
	storeFaults
)

// lateStore is the store as an instance reaches it.
type lateStore struct {
	store.Store
	world    *lateWorld
	instance string
}

// fault waits while the instance is frozen, and returns what happens to a call now.
func (s *lateStore) fault() storeFault {
	s.world.awaitThaw(s.instance)
	s.world.mu.Lock()
	defer s.world.mu.Unlock()
	if time.Now().After(s.world.storeUntil) {
		return storeServes
	}
	return s.world.storeFault
}

// read returns the error of a read, or nil.
func (s *lateStore) read(ctx context.Context) error {
	switch s.fault() {
	case storeBusy:
		return fault.New(fault.Unavailable, "call", "store", "busy")
	case storeSilent:
		clock.Sleep(ctx, 900*time.Millisecond)
		return fault.New(fault.OutcomeUnknown, "call", "store", "silent")
	case storeSlow:
		clock.Sleep(ctx, 240*time.Millisecond)
	}
	return nil
}

// Apply runs a transaction.
func (s *lateStore) Apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	switch f := s.fault(); f {
	case storeLosesResponses, storeDelaysWrites:
		apply := func() { _, _ = s.Store.Apply(context.WithoutCancel(ctx), tx) }
		if f == storeDelaysWrites {
			time.AfterFunc(s.world.duration(time.Second, 6*time.Second), apply)
		} else {
			apply()
		}
		<-ctx.Done()
		return store.Result{}, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "apply", "store")
	}
	if err := s.read(ctx); err != nil {
		return store.Result{}, err
	}
	return s.Store.Apply(ctx, tx)
}

// List lists a range.
func (s *lateStore) List(ctx context.Context, r store.Range) (store.Listing, error) {
	if err := s.read(ctx); err != nil {
		return store.Listing{}, err
	}
	listing, err := s.Store.List(ctx, r)
	if r.Table == work.JournalTable && err == nil {
		s.world.update(func() { s.world.journalRead = s.world.journalRead || s.world.holder == s.instance })
		s.world.noteActing(s.instance)
	}
	return listing, err
}

// Feed follows a table.
func (s *lateStore) Feed(ctx context.Context, table string, after store.Version, wait time.Duration) (store.Changes, error) {
	if err := s.read(ctx); err != nil {
		return store.Changes{}, err
	}
	return s.Store.Feed(ctx, table, after, wait)
}

// lateClient is a client by which an instance reaches a worker.
type lateClient struct {
	sched.WorkerClient
	world    *lateWorld
	instance string
}

// orderFate is what happens to an order.
type orderFate int

const (
	// delivered means that the order reaches the worker.
	delivered orderFate = iota
	// lost means that it does not.
	lost
	// executedLate means that the worker executes it late, without a response.
	executedLate
)

// fate waits while the instance is frozen, and returns what happens to an order to a worker.
func (c *lateClient) fate(worker ident.Worker) orderFate {
	c.world.awaitThaw(c.instance)
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	return c.world.fateOf(c.world.workers[worker])
}

// renewalFate is like fate, for a lease renewal. One of maxUnanswered in a row reaches a worker that can be reached.
func (c *lateClient) renewalFate(worker ident.Worker) orderFate {
	c.world.awaitThaw(c.instance)
	c.world.mu.Lock()
	defer c.world.mu.Unlock()
	state := c.world.workers[worker]
	fate := c.world.fateOf(state)
	if fate == executedLate && state.unanswered < maxUnanswered {
		state.unanswered++
		return fate
	}
	state.unanswered = 0
	if fate == executedLate {
		return delivered
	}
	return fate
}

// fateOf returns what happens to an order to a worker, while the world is locked.
func (w *lateWorld) fateOf(state *lateWorker) orderFate {
	switch now := time.Now(); {
	case now.Before(state.cutUntil):
		return lost
	case now.Before(state.lateUntil) && !now.Before(state.upAt) && w.rng.IntN(2) == 0:
		return executedLate
	default:
		return delivered
	}
}

// executeLate lets a worker execute an order later, and returns the error of its sender, which gets no response.
func (c *lateClient) executeLate(ctx context.Context, worker ident.Worker, order func(*fakes.Worker)) error {
	target := c.world.fleet.Worker(worker)
	time.AfterFunc(c.world.duration(minLateness, maxLateness), func() { order(target) })
	return noResponse(ctx, worker)
}

// noResponse waits until ctx ends and returns the error of an order without a response.
func noResponse(ctx context.Context, worker ident.Worker) error {
	<-ctx.Done()
	return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "call", string(worker))
}

// RenewLease sends a lease renewal.
func (c *lateClient) RenewLease(ctx context.Context, o sched.RenewLeaseRequest) (sched.WorkerReport, error) {
	id := o.Worker.Worker
	switch c.renewalFate(id) {
	case lost:
		return sched.WorkerReport{}, noResponse(ctx, id)
	case executedLate:
		return sched.WorkerReport{}, c.executeLate(ctx, id, func(w *fakes.Worker) {
			ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
			defer cancel()
			_, _ = w.RenewLease(ctx, o)
		})
	}
	return c.WorkerClient.RenewLease(ctx, o)
}

// Stop sends a stop request.
func (c *lateClient) Stop(ctx context.Context, o sched.StopRequest) (sched.Reply, error) {
	id := o.Worker.Worker
	switch c.fate(id) {
	case lost:
		return sched.Reply{}, noResponse(ctx, id)
	case executedLate:
		return sched.Reply{}, c.executeLate(ctx, id, func(w *fakes.Worker) { _, _ = w.Stop(context.Background(), o) })
	}
	return c.WorkerClient.Stop(ctx, o)
}

// Start sends a start request.
func (c *lateClient) Start(ctx context.Context, o sched.StartRequest) (sched.Reply, error) {
	id := o.Worker.Worker
	switch c.fate(id) {
	case lost:
		return sched.Reply{}, noResponse(ctx, id)
	case executedLate:
		sentAt, born := time.Now(), c.world.born(id)
		return sched.Reply{}, c.executeLate(ctx, id, func(w *fakes.Worker) { c.world.startLate(w, o, sentAt, born) })
	}
	return c.WorkerClient.Start(ctx, o)
}
