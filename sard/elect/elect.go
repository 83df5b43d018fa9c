// Package elect gives the scheduler lease to one instance at a time, by two rows of a store.
//
// The owner row names the holder and is written only when the lease changes hands; its version is the epoch. The beat
// row is written with each renewal. Others take the lease over when they have not seen the beat change for a term.
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

// The rows of the lease.
const (
	TableName = "lease"
	ownerName = "owner"
	beatName  = "beat"
)

// processMark separates an instance's name from the mark of its process.
const processMark = "@"

const (
	// DefaultTerm is how long a lease lasts without a renewal.
	DefaultTerm = 1500 * time.Millisecond
	// renewalsPerTerm is how often a lease is renewed in a term.
	renewalsPerTerm = 5
	// safeShare is the part of a term, in percent, in which the holder may act after a renewal.
	safeShare = 80
	// callTimeout bounds a renewal.
	callTimeout = 700 * time.Millisecond
	// readTimeout bounds a reading of the lease.
	readTimeout = time.Second
	// retryPause lies between a failed call and the next.
	retryPause = 100 * time.Millisecond
	// releaseTimeout bounds the release of the lease.
	releaseTimeout = time.Second
)

// Config describes a candidate.
type Config struct {
	Store store.Store
	// Instance names the candidate; a restarted instance has the same name.
	Instance ident.Instance
	// ProcessID tells processes of one instance apart.
	ProcessID string
	// Term is how long a lease lasts without a renewal; 0 means DefaultTerm.
	Term time.Duration
	// TakeoverRank is higher for instances that can bear less: they wait a little longer before they take over.
	TakeoverRank int
	Logger       hclog.Logger
}

// rankDelay is the wait of each rank before a takeover, so that candidates seldom collide.
const rankDelay = 10 * time.Millisecond

// Candidate follows the lease and takes it when it is free.
type Candidate struct {
	config Config
	holder string
}

// New makes a Candidate.
func New(config Config) *Candidate {
	if config.Term == 0 {
		config.Term = DefaultTerm
	}
	return &Candidate{config: config, holder: string(config.Instance) + processMark + config.ProcessID}
}

// view is what a candidate knows of the lease.
type view struct {
	owner, beat store.Version
	holder      string
	// seen is when owner or beat was last seen to change.
	seen clock.Instant
	// next is where the feed continues.
	next store.Version
}

// free tells whether the lease may be taken without waiting for its term.
func (c *Candidate) free(v view) bool {
	if v.holder == "" {
		return true
	}
	instance, process, _ := strings.Cut(v.holder, processMark)
	return instance == string(c.config.Instance) && process != c.config.ProcessID
}

// Run follows the lease until ctx ends. Whenever it is won, hold is called with a context that ends when it is lost or
// ctx ends; the lease is released after hold has returned.
func (c *Candidate) Run(ctx context.Context, hold func(context.Context, *Lease) error) error {
	for ctx.Err() == nil {
		held, err := c.win(ctx)
		if err != nil {
			continue
		}
		c.config.Logger.Info("lease won", "epoch", held.Epoch())
		if err := c.serve(ctx, held, hold); err != nil {
			c.config.Logger.Warn("holding the lease ended", "epoch", held.Epoch(), "error", err)
		}
	}
	return nil
}

func (c *Candidate) serve(ctx context.Context, held *Lease, hold func(context.Context, *Lease) error) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, renewing := errgroup.WithContext(context.WithoutCancel(ctx))
	renewing, stop := context.WithCancel(renewing)
	group.Go(func() error {
		defer cancel()
		return held.keep(renewing)
	})
	err := hold(ctx, held)
	stop()
	if kept := group.Wait(); err == nil {
		err = kept
	}
	held.release()
	return err
}

// win waits until the lease is this process's.
func (c *Candidate) win(ctx context.Context) (*Lease, error) {
	v, err := c.read(ctx)
	if err != nil {
		clock.Sleep(ctx, retryPause)
		return nil, err
	}
	for ctx.Err() == nil {
		if c.free(v) {
			clock.Sleep(ctx, time.Duration(c.config.TakeoverRank)*rankDelay)
			return c.take(ctx, v)
		}
		if v.holder == c.holder || clock.Since(v.seen) >= c.patience() {
			return c.take(ctx, v)
		}
		v = c.watch(ctx, v)
	}
	return nil, ctx.Err()
}

// patience is how long the lease must have been silent before this candidate takes it.
func (c *Candidate) patience() time.Duration {
	return c.config.Term + time.Duration(c.config.TakeoverRank)*rankDelay
}

func (c *Candidate) read(ctx context.Context) (view, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	listing, err := c.config.Store.List(ctx, store.Range{Table: TableName, Partition: work.MainPartition})
	if err != nil {
		return view{}, err
	}
	v := view{next: listing.Version}
	for _, row := range listing.Rows {
		v.note(row)
	}
	v.seen = clock.Now()
	return v, nil
}

func (v *view) note(row store.Row) {
	switch row.Key.Name {
	case ownerName:
		v.owner, v.holder = row.Version, string(row.Value)
	case beatName:
		v.beat = row.Version
	}
	v.seen = clock.Now()
}

// watch waits for a change of the lease or the end of its term.
func (c *Candidate) watch(ctx context.Context, v view) view {
	wait := max(c.patience()-clock.Since(v.seen), retryPause)
	call, cancel := context.WithTimeout(ctx, wait+readTimeout)
	defer cancel()
	changes, err := c.config.Store.Feed(call, TableName, v.next, wait)
	if err != nil {
		return c.reread(ctx, v)
	}
	for _, row := range changes.Rows {
		v.note(row)
	}
	v.next = changes.Version
	if clock.Since(v.seen) >= c.patience() {
		// A feed may be silent while changes are made.
		return c.reread(ctx, v)
	}
	return v
}

// reread reads the lease again and keeps the time of the last change when there was none.
func (c *Candidate) reread(ctx context.Context, v view) view {
	now, err := c.read(ctx)
	if err != nil {
		clock.Sleep(ctx, retryPause)
		// Changes can't be seen while the store is away, so the term is counted from its return.
		v.seen = clock.Now()
		return v
	}
	if now.owner == v.owner && now.beat == v.beat {
		now.seen = v.seen
	}
	return now
}

// take writes the owner row.
func (c *Candidate) take(ctx context.Context, v view) (*Lease, error) {
	if v.holder == c.holder {
		// An earlier attempt took effect without an answer.
		return c.renewed(ctx, v.owner)
	}
	sent := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	result, err := c.config.Store.Apply(ctx, store.Tx{
		Preconditions: []store.Precondition{{Key: key(ownerName), Version: v.owner}, {Key: key(beatName), Version: v.beat}},
		Put:           []store.Put{{Key: key(ownerName), Value: []byte(c.holder)}, {Key: key(beatName), Value: beatValue(0)}},
	})
	if err != nil {
		c.config.Logger.Info("lease not taken", "owner_version", v.owner, "error", err)
		clock.Sleep(ctx, retryPause)
		return nil, err
	}
	return c.held(result.Version, sent), nil
}

// renewed makes a Held of a lease that the store shows as this process's.
func (c *Candidate) renewed(ctx context.Context, owner store.Version) (*Lease, error) {
	held := c.held(owner, clock.Never)
	if err := held.renew(ctx); err != nil {
		clock.Sleep(ctx, retryPause)
		return nil, err
	}
	return held, nil
}

func (c *Candidate) held(owner store.Version, sent clock.Instant) *Lease {
	return &Lease{candidate: c, owner: owner, renewed: sent}
}

func key(name string) store.Key {
	return store.Key{Table: TableName, Partition: work.MainPartition, Name: name}
}

func beatValue(n uint64) []byte {
	return strconv.AppendUint(nil, n, 10)
}

// isLost tells whether err means that another instance has the lease.
func isLost(err error) bool {
	return fault.Is(err, fault.Conflict) || fault.Is(err, fault.Fenced)
}
