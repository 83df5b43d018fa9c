package store

import (
	"context"
	"errors"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/reach"
	"github.com/sardineline/sardineline/sard/stall"
)

// CheckConfig configures a Check.
type CheckConfig struct {
	// MainPartition is a partition that every process uses all the time.
	MainPartition string
	// ProbeTable is a table whose rows are read as a probe. It needs no rows.
	ProbeTable string
	// OnRestored is called when a partition that was closed serves again; nil if nobody needs to know. It must not call the
	// Check.
	OnRestored func()
	// DropIdle closes unused connections, which may have fallen silent; nil closes none.
	DropIdle func()
	// Registerer registers the metrics; nil registers none.
	Registerer prometheus.Registerer
	// Logger logs each change of a partition's state.
	Logger hclog.Logger
}

// Check is a Store that passes calls on to another one and knows from their results which partitions of it can be
// reached.
type Check struct {
	store   Store
	config  CheckConfig
	metrics *checkMetrics
	// wake makes Run look for what is to be done next.
	wake chan struct{}

	mu    sync.Mutex
	judge *reach.Judge
	// wakeAt is when Run looks for what is to be done next; Never while that takes a new call.
	wakeAt clock.Instant
	// reads holds the reads under way.
	reads map[reach.CallID]read
	// restored is closed when a partition or the store as a whole serves again.
	restored chan struct{}
}

// NewCheck returns a Check of a store. Run must run for it to find out that a partition is closed, or serves again.
func NewCheck(store Store, config CheckConfig) *Check {
	c := &Check{
		store: store, config: config, wake: make(chan struct{}, 1),
		judge: reach.New(reach.Scope(config.MainPartition)), reads: map[reach.CallID]read{}, restored: make(chan struct{}),
	}
	c.metrics = newCheckMetrics(config.Registerer, c.sinceAnswer)
	return c
}

// Apply runs a transaction.
func (c *Check) Apply(ctx context.Context, tx Tx) (Result, error) {
	id := c.sent(txPartition(tx))
	result, err := c.store.Apply(WithArrivals(ctx, func() { c.arrived(id) }), tx)
	c.ended(id, err)
	return result, err
}

// txPartition returns the partition of a transaction, whose entries share one.
func txPartition(tx Tx) string {
	switch {
	case len(tx.Put) > 0:
		return tx.Put[0].Key.Partition
	case len(tx.Delete) > 0:
		return tx.Delete[0].Partition
	case len(tx.Preconditions) > 0:
		return tx.Preconditions[0].Key.Partition
	}
	return ""
}

// read is a read under way.
type read struct {
	partition string
	cancel    context.CancelCauseFunc
	// arriving is set once a part of the answer has arrived.
	arriving bool
}

// errSentBefore is the cause of the end of a read that was sent before its partition served again and is still unanswered.
// The store may not have got it.
var errSentBefore = errors.New("sent before the store served again")

// List returns the rows of a range.
func (c *Check) List(ctx context.Context, r Range) (Listing, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	id := c.sent(r.Partition)
	c.addRead(id, read{partition: r.Partition, cancel: cancel})
	listing, err := c.store.List(c.withArrivals(ctx, id), r)
	return listing, c.readEnded(ctx, id, err)
}

// Feed returns the changes to a table after a version, and waits for one if there are none.
func (c *Check) Feed(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error) {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	id := c.feedSent(wait)
	c.addRead(id, read{partition: c.config.MainPartition, cancel: cancel})
	changes, err := c.store.Feed(c.withArrivals(ctx, id), table, after, wait)
	return changes, c.readEnded(ctx, id, err)
}

// addRead adds a read under way.
func (c *Check) addRead(id reach.CallID, r read) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.reads[id] = r
}

// withArrivals returns a context whose read takes note of each part of its answer. An answer that is arriving is not silence,
// however long its transfer takes.
func (c *Check) withArrivals(ctx context.Context, id reach.CallID) context.Context {
	return WithArrivals(ctx, func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		r, ok := c.reads[id]
		if !ok {
			return
		}
		r.arriving = true
		c.reads[id] = r
		c.judged(func(now clock.Instant) { c.judge.Arrived(now, id) })
	})
}

// arrived takes note of a part of the answer to a transaction.
func (c *Check) arrived(id reach.CallID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.judged(func(now clock.Instant) { c.judge.Arrived(now, id) })
}

// readEnded takes note of the end of a read and returns its error.
func (c *Check) readEnded(ctx context.Context, id reach.CallID, err error) error {
	c.ended(id, err)
	if err != nil && errors.Is(context.Cause(ctx), errSentBefore) {
		// Callers that count failures leave cancelled calls out.
		return fault.Wrap(errors.Join(errSentBefore, context.Canceled), fault.OutcomeUnknown, "read", "store")
	}
	return err
}

// sent takes note of a call to a partition.
func (c *Check) sent(partition string) reach.CallID {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	c.lookAt(now.Add(reach.SuspicionDelay))
	return c.judge.Sent(now, reach.Scope(partition))
}

// feedSent takes note of a call that waits for a change.
func (c *Check) feedSent(wait time.Duration) reach.CallID {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	c.lookAt(now.Add(wait + reach.SuspicionDelay))
	return c.judge.FeedSent(now, wait)
}

// lookAt makes Run look at the calls under way at a time, or earlier. The caller must hold mu.
func (c *Check) lookAt(at clock.Instant) {
	if c.wakeAt == clock.Never || at < c.wakeAt {
		c.wakeRun()
	}
}

// ended takes note of the end of a call.
func (c *Check) ended(id reach.CallID, err error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.reads, id)
	c.judged(func(now clock.Instant) { c.judge.Ended(now, id, outcome(err)) })
}

// judged calls note, which tells the judge something, and lets those know whom it concerns. The caller must hold mu.
func (c *Check) judged(note func(now clock.Instant)) {
	now := clock.Now()
	wasReachable := c.judge.Reachable(now)
	note(now)
	c.report()
	if !wasReachable && c.judge.Reachable(now) {
		c.wakeWaiters()
	}
}

// outcome returns what an error says of the store.
func outcome(err error) reach.Outcome {
	switch {
	case err == nil:
		return reach.Answered
	case errors.Is(err, context.Canceled), errors.Is(err, errSentBefore):
		return reach.GivenUp
	}
	switch fault.KindOf(err) {
	case fault.OutcomeUnknown:
		return reach.Unanswered
	case fault.Unavailable:
		return reach.Refused
	case fault.Throttled:
		return reach.Throttled
	default:
		return reach.Answered
	}
}

// report logs changes of state and lets those know that wait for them. The caller must hold mu.
func (c *Check) report() {
	for _, change := range c.judge.TakeChanges() {
		c.metrics.observe(change)
		fields := []any{"partition", change.Scope, "state", change.To.String(), "reason", change.Reason.String(), "lasted_ms", change.Lasted.Milliseconds()}
		switch {
		case change.To == reach.Closed:
			c.config.Logger.Warn("store partition closed", fields...)
		case change.From == reach.Closed:
			c.config.Logger.Info("store partition serves", fields...)
		default:
			c.config.Logger.Debug("store partition probed", fields...)
		}
		if change.To == reach.Serving {
			c.wakeWaiters()
		}
		if change.From == reach.Closed {
			c.restore(string(change.Scope))
		}
		c.wakeRun()
	}
}

// restore ends the reads of a partition that were sent before it served again, so that they are repeated, unless their
// answer is arriving. The caller must hold mu.
func (c *Check) restore(partition string) {
	for _, r := range c.reads {
		if r.partition == partition && !r.arriving {
			r.cancel(errSentBefore)
		}
	}
	if c.config.OnRestored != nil {
		c.config.OnRestored()
	}
}

// wakeWaiters makes those look again that wait for a partition to serve. The caller must hold mu.
func (c *Check) wakeWaiters() {
	close(c.restored)
	c.restored = make(chan struct{})
}

// wakeRun makes Run look for what is to be done next.
func (c *Check) wakeRun() {
	select {
	case c.wake <- struct{}{}:
	default:
	}
}

// Admit returns nil if a call to a partition may be answered, as far as is known, and else an error of kind Unavailable
// that says when to try again.
func (c *Check) Admit(partition string) error {
	return c.admit(partition, func(reach.Reason) fault.Kind { return fault.Unavailable })
}

// AdmitCreation is Admit for a write that may repeat one of another process. Its error is of kind OutcomeUnknown if the
// store may have taken in writes without an answer, so that the other one may still take effect.
func (c *Check) AdmitCreation(partition string) error {
	return c.admit(partition, func(reason reach.Reason) fault.Kind {
		if reason == reach.Silent || reason == reach.Broken {
			return fault.OutcomeUnknown
		}
		return fault.Unavailable
	})
}

// admit is Admit with an error of the kind that follows from the reason.
func (c *Check) admit(partition string, kind func(reach.Reason) fault.Kind) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	v := c.judge.Decide(clock.Now(), reach.Scope(partition))
	if !v.Refuse {
		return nil
	}
	c.metrics.refusals.WithLabelValues(v.Reason.String()).Inc()
	return fault.New(kind(v.Reason), "reach", "store", "partition %q is closed (%v) for %v", partition, v.Reason,
		v.Lasted.Truncate(time.Millisecond)).WithRetryAfter(v.RetryAfter)
}

// Closed reports whether Admit would fail.
func (c *Check) Closed(partition string) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.judge.Decide(clock.Now(), reach.Scope(partition)).Refuse
}

// Await waits until a call to a partition may be answered. It returns false if ctx ends before.
func (c *Check) Await(ctx context.Context, partition string) bool {
	for {
		c.mu.Lock()
		restored := c.restored
		c.mu.Unlock()
		if !c.Closed(partition) {
			return true
		}
		select {
		case <-restored:
		case <-ctx.Done():
			return false
		}
	}
}

// Reachable reports whether the store answers this process at all, as far as is known.
func (c *Check) Reachable() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.judge.Reachable(clock.Now())
}

// sinceAnswer returns the time since a call was last answered.
func (c *Check) sinceAnswer() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.judge.SinceAnswer(clock.Now())
}

// Run sends probes until ctx ends.
func (c *Check) Run(ctx context.Context) error {
	var probes errgroup.Group
	for ctx.Err() == nil {
		if probe, due, wait := c.nextProbe(); due {
			probes.Go(func() error { return c.probe(ctx, probe) })
		} else {
			c.sleep(ctx, wait)
		}
	}
	return probes.Wait()
}

// nextProbe returns the probe to send now, or the time until the next look; 0 means until a call is sent or ends.
func (c *Check) nextProbe() (probe reach.Probe, due bool, wait time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := clock.Now()
	probe, due, wait = c.judge.NextProbe(now)
	c.wakeAt = clock.Never
	if wait > 0 {
		c.wakeAt = now.Add(wait)
	}
	c.report()
	return probe, due, wait
}

// sleep waits for a time, if it is not 0, or until Run is woken.
func (c *Check) sleep(ctx context.Context, wait time.Duration) {
	var after <-chan time.Time
	if wait > 0 {
		timer := time.NewTimer(wait)
		defer timer.Stop()
		after = timer.C
	}
	select {
	case <-after:
	case <-c.wake:
	case <-ctx.Done():
	}
}

// probe reads at most one row of a partition. After a silence, it uses a connection that was not idle before. The time in
// which this process can't run does not count as the store's silence.
func (c *Check) probe(ctx context.Context, probe reach.Probe) error {
	if c.config.DropIdle != nil && (probe.Reason == reach.Silent || probe.Reason == reach.Broken) {
		c.config.DropIdle()
	}
	c.metrics.probes.Inc()
	var stalls stall.Meter
	ctx, cancel := stalls.WithTimeout(ctx, probe.Timeout)
	defer cancel()
	var metering errgroup.Group
	metering.Go(func() error { return stalls.Run(ctx) })
	_, err := c.store.List(ctx, Range{Table: c.config.ProbeTable, Partition: string(probe.Scope), Limit: 1})
	if err != nil && errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
		err = fault.Wrap(context.DeadlineExceeded, fault.OutcomeUnknown, "probe", "store")
	}
	c.ended(probe.ID, err)
	c.wakeRun()
	cancel()
	return metering.Wait()
}
