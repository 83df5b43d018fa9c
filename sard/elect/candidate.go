// Package elect elects the instance that schedules a pool. It grants the scheduler lease to one instance at a time,
// using two rows of a store. A third row holds a notice of the holder to the candidates, which is written with a renewal and
// read with it, so that it takes no calls of its own.
//
// The owner row names the holder and is written only when the holder changes; its version is the epoch. The heartbeat
// row is written by each renewal. A candidate is a process of an instance that competes for the lease. Candidates take
// the lease over after its rows haven't changed for a term, which is the time after which a lease expires unless it is
// renewed.
package elect

import (
	"context"
	"strconv"
	"strings"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// TableName is the table that holds the rows of the lease.
	TableName     = "lease"
	ownerName     = "owner"
	heartbeatName = "beat"
	noticeName    = "notice"
)

// processSeparator separates the instance's name from its process ID in the owner row.
const processSeparator = "@"

const (
	// DefaultTerm is the default time after which a lease expires unless renewed. When two holders are lost one after the
	// other, twice the term and the time to take over stay below the 3 s that a job may have nothing running.
	DefaultTerm = 1200 * time.Millisecond
	// renewalsPerTerm is how many times a lease is renewed within a term.
	renewalsPerTerm = 5
	// safePercent is the percentage of a term, counted from sending a renewal, during which the holder may act.
	safePercent = 80
	// callTimeout bounds the write of an acquisition or a renewal. The holder keeps the lease if one renewal has no answer.
	callTimeout = 700 * time.Millisecond
	// readTimeout is how long nothing of an answer to a read of the rows of the lease may arrive.
	readTimeout = time.Second
	// retryInterval is the delay after a failed call to the store.
	retryInterval = 100 * time.Millisecond
	// releaseTimeout bounds the write that releases the lease.
	releaseTimeout = time.Second
)

// Config configures a Candidate.
type Config struct {
	// Store holds the rows of the lease.
	Store store.Store
	// Watched is the Store by which a candidate reads the lease again after a failure; nil means Store.
	Watched store.Store
	// Instance is the candidate's name, which is the same after a restart.
	Instance ident.Instance
	// ProcessID distinguishes the processes of one instance.
	ProcessID string
	// Term is the time after which a lease expires unless renewed; 0 means DefaultTerm.
	Term time.Duration
	// TakeoverDelay is how long the candidate leaves a free or expired lease to others. Candidates with less capacity wait
	// longer.
	TakeoverDelay time.Duration
	// WatchPause is the pause between two reads of the lease's changes while it is being renewed. A takeover may come
	// later by this time.
	WatchPause time.Duration
	// Noticed is called with each notice that the candidate reads, and when the holder changes; nil for no calls.
	Noticed func(Notice)
	// Logger logs acquisitions, losses and releases of the lease.
	Logger hclog.Logger
}

// Candidate watches the lease and acquires it when it is free or expired.
type Candidate struct {
	config Config
	// holder is the value that this process writes to the owner row.
	holder string
}

// New returns a Candidate; Run starts it.
func New(config Config) *Candidate {
	if config.Term == 0 {
		config.Term = DefaultTerm
	}
	if config.Watched == nil {
		config.Watched = config.Store
	}
	return &Candidate{config: config, holder: string(config.Instance) + processSeparator + config.ProcessID}
}

// Notice is what a holder tells the candidates.
type Notice struct {
	// Value is the value of the row; empty if there is none.
	Value []byte
	// Holder is the epoch of the current holder, which need not be the one that wrote the notice.
	Holder ident.Epoch
	// Fresh is set if the notice was written just now, and not at an unknown time.
	Fresh bool
}

// leaseView is a candidate's current knowledge of the lease.
type leaseView struct {
	// owner and heartbeat are the versions of the two rows.
	owner, heartbeat store.Version
	// holder is the value of the owner row; empty if the lease is free.
	holder string
	// notice is the last notice, and noticed the version of its row.
	notice  []byte
	noticed store.Version
	// changedAt is when a change of owner or heartbeat was last observed.
	changedAt clock.Instant
	// feedVersion is the store version after which the change feed of the lease's rows continues.
	feedVersion store.Version
}

// isFree reports whether the lease may be acquired without waiting for its expiry: it was released, or an earlier
// process of this instance held it.
func (c *Candidate) isFree(view leaseView) bool {
	if view.holder == "" {
		return true
	}
	instance, process, _ := strings.Cut(view.holder, processSeparator)
	return instance == string(c.config.Instance) && process != c.config.ProcessID
}

// Run competes for the lease until ctx ends. Each time the lease is acquired, Run calls hold with a context that ends
// when the lease is lost or ctx ends, and releases the lease after hold has returned.
func (c *Candidate) Run(ctx context.Context, hold func(context.Context, *Lease) error) error {
	for ctx.Err() == nil {
		lease, err := c.acquire(ctx)
		if err != nil {
			continue
		}
		c.config.Logger.Info("lease won", "epoch", lease.Epoch())
		if err := c.serveWhileHeld(ctx, lease, hold); err != nil {
			c.config.Logger.Warn("holding the lease ended", "epoch", lease.Epoch(), "error", err)
		}
	}
	return nil
}

// serveWhileHeld calls hold, renews the lease in the background until hold returns, and then releases the lease.
func (c *Candidate) serveWhileHeld(ctx context.Context, lease *Lease, hold func(context.Context, *Lease) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, renewCtx := errgroup.WithContext(context.WithoutCancel(ctx))
	renewCtx, stopRenewing := context.WithCancel(renewCtx)
	group.Go(func() error {
		defer cancel()
		return lease.keepAlive(renewCtx)
	})
	err := hold(ctx, lease)
	stopRenewing()
	if renewErr := group.Wait(); err == nil {
		err = renewErr
	}
	lease.release()
	return err
}

// acquire waits until the lease is free or expired, and acquires it. It tries again if the store fails or another candidate
// was faster. It fails if the lease can't be read at first, or ctx ends.
func (c *Candidate) acquire(ctx context.Context) (*Lease, error) {
	view, err := c.read(ctx)
	if err != nil {
		clock.Sleep(ctx, retryInterval)
		return nil, err
	}
	pause := c.renewalPeriod()
	for ctx.Err() == nil {
		if c.isFree(view) {
			clock.Sleep(ctx, c.config.TakeoverDelay)
		} else if view.holder != c.holder && clock.Since(view.changedAt) < c.takeoverAge() {
			view, pause = c.awaitChange(ctx, view), c.renewalPeriod()
			continue
		}
		lease, err := c.tryAcquire(ctx, view)
		if err == nil {
			return lease, nil
		}
		clock.Sleep(ctx, pause)
		pause = min(2*pause, c.config.Term)
		view = c.reread(ctx, view, true)
	}
	return nil, ctx.Err()
}

// renewalPeriod is the time between two renewals of a lease. A candidate leaves at least as much to the holder after the store
// did not accept its acquisition, and twice as much with each further failure: the holder's renewals may have failed with it.
func (c *Candidate) renewalPeriod() time.Duration {
	return c.config.Term / renewalsPerTerm
}

// takeoverAge is how long the lease must have been unchanged before this candidate takes it over.
func (c *Candidate) takeoverAge() time.Duration {
	return c.config.Term + c.config.TakeoverDelay
}

// read reads the lease from the store.
func (c *Candidate) read(ctx context.Context) (leaseView, error) {
	ctx, cancel := store.WithSilenceLimit(ctx, readTimeout)
	defer cancel()
	listing, err := c.config.Watched.List(ctx, store.Range{Table: TableName, Partition: work.MainPartition})
	if err != nil {
		return leaseView{}, err
	}
	view := leaseView{feedVersion: listing.Version}
	for _, row := range listing.Rows {
		view.apply(row)
	}
	view.changedAt = clock.Now()
	c.passNotice(view, false)
	return view, nil
}

// apply updates the view from a changed row of the lease.
func (v *leaseView) apply(row store.Row) {
	switch row.Key.Name {
	case ownerName:
		v.owner, v.holder = row.Version, string(row.Value)
	case heartbeatName:
		v.heartbeat = row.Version
	case noticeName:
		v.notice, v.noticed = row.Value, row.Version
		return
	}
	v.changedAt = clock.Now()
}

// awaitChange waits for a change of the lease or its expiry.
func (c *Candidate) awaitChange(ctx context.Context, view leaseView) leaseView {
	wait := max(c.takeoverAge()-clock.Since(view.changedAt), retryInterval)
	callCtx, cancel := store.WithSilenceLimit(ctx, wait+readTimeout)
	defer cancel()
	changes, err := c.config.Store.Feed(callCtx, TableName, view.feedVersion, wait)
	if err != nil {
		return c.reread(ctx, view, fault.Is(err, fault.NotFound))
	}
	before := view
	for _, row := range changes.Rows {
		view.apply(row)
	}
	if fresh := view.noticed > before.noticed; fresh || view.owner != before.owner {
		c.passNotice(view, fresh)
	}
	view.feedVersion = changes.Version
	if len(changes.Rows) > 0 && !c.isFree(view) {
		clock.Sleep(ctx, c.config.WatchPause)
	}
	if clock.Since(view.changedAt) >= c.takeoverAge() {
		// The feed may lag behind, so confirm with a read that the lease hasn't changed.
		return c.reread(ctx, view, true)
	}
	return view
}

// passNotice passes the notice in a view on.
func (c *Candidate) passNotice(view leaseView, fresh bool) {
	if c.config.Noticed != nil {
		c.config.Noticed(Notice{Value: view.notice, Holder: ident.Epoch(view.owner), Fresh: fresh})
	}
}

// reread reads the lease again, until that succeeds. It keeps the time of the last change if the lease hasn't changed and
// the store has served since the last read, as far as the candidate knows. Otherwise, the holder may have been unable to
// renew the lease, so the term starts again.
func (c *Candidate) reread(ctx context.Context, view leaseView, storeServed bool) leaseView {
	for {
		current, err := c.read(ctx)
		if err == nil {
			if storeServed && current.owner == view.owner && current.heartbeat == view.heartbeat {
				current.changedAt = view.changedAt
			}
			return current
		}
		storeServed = false
		if !clock.Sleep(ctx, retryInterval) {
			return view
		}
	}
}

// tryAcquire writes the owner row, on condition that the lease hasn't changed since it was read. It does so too if the row
// names this process, whose requests as an earlier holder must be superseded.
func (c *Candidate) tryAcquire(ctx context.Context, view leaseView) (*Lease, error) {
	sent := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := c.config.Store.Apply(ctx, store.Tx{
		Preconditions: []store.Precondition{{Key: rowKey(ownerName), Version: view.owner}, {Key: rowKey(heartbeatName), Version: view.heartbeat}},
		Put:           []store.Put{{Key: rowKey(ownerName), Value: []byte(c.holder)}, {Key: rowKey(heartbeatName), Value: heartbeatValue(0)}},
	})
	if err != nil {
		c.config.Logger.Info("lease not taken", "owner_version", view.owner, "error", err)
		return nil, err
	}
	return &Lease{candidate: c, owner: result.Version, latestEpoch: result.Version, renewedAt: sent}, nil
}

// rowKey returns the key of a row of the lease.
func rowKey(name string) store.Key {
	return store.Key{Table: TableName, Partition: work.MainPartition, Name: name}
}

// heartbeatValue encodes the counter that each renewal writes to the heartbeat row.
func heartbeatValue(n uint64) []byte {
	return strconv.AppendUint(nil, n, 10)
}

// isLost reports whether err means that another instance holds the lease.
func isLost(err error) bool {
	return fault.Is(err, fault.Conflict) || fault.Is(err, fault.Fenced)
}
