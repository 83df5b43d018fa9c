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
