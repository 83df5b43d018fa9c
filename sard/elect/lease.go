package elect

import (
	"context"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
)

// Lease is the scheduler lease acquired by this process.
type Lease struct {
	candidate *Candidate
	owner     store.Version

	mu sync.Mutex
	// renewedAt is when the last successful renewal was sent.
	renewedAt clock.Instant
	// heartbeats counts the attempted renewals.
	heartbeats uint64
	// latestEpoch is the highest number that no other holder can have as its epoch. Each applied transaction with the precondition
	// Fence adds at least one, as it has a version of its own below the epoch of each later holder.
	latestEpoch store.Version
	// renewedAtVersion is the store's version in the response to the last successful renewal.
	renewedAtVersion store.Version
	// notice is to be written with the next renewal; nil for none.
	notice []byte
	// lost is set when the lease was released or another instance acquired it.
	lost bool
}

// Epoch returns the epoch under which the lease was acquired. Each later holder has a higher epoch.
func (l *Lease) Epoch() ident.Epoch {
	return ident.Epoch(l.owner)
}

// LatestEpoch returns the highest number that belongs to this holder for certain. It is at least Epoch, lower than the epoch
// of each later holder, and increases with the renewals and with WriteApplied, so that a holder can supersede its own requests.
// All numbers from Epoch on belong to the holder.
func (l *Lease) LatestEpoch() ident.Epoch {
	l.mu.Lock()
	defer l.mu.Unlock()
	return ident.Epoch(l.latestEpoch)
}

// WriteApplied records that a transaction with the precondition Fence was applied, which adds a number to those of the holder.
// Callers have one such transaction under way at a time.
func (l *Lease) WriteApplied() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.latestEpoch++
}

// Fence returns a precondition that fails once another instance has acquired the lease.
func (l *Lease) Fence() store.Precondition {
	return store.Precondition{Key: rowKey(ownerName), Version: l.owner}
}

// Check returns nil while it is safe to make scheduling decisions and send them to workers. Call it immediately before
// each send, since the process may have been paused. It fails with Unavailable if the lease may have expired, in which
// case a later renewal can make it valid again, and with Fenced if the lease is lost.
func (l *Lease) Check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.lost {
		return fault.New(fault.Fenced, "check lease", "", "epoch %d is superseded", l.owner)
	}
	if age := clock.Since(l.renewedAt); age > l.safePeriod() {
		return fault.New(fault.Unavailable, "check lease", "store", "last renewed %v ago", age)
	}
	return nil
}

// LapsedFor returns how long Check has been failing because the lease was not renewed; 0 while it is safe to act.
func (l *Lease) LapsedFor() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return max(0, clock.Since(l.renewedAt)-l.safePeriod())
}

// safePeriod is how long the holder may act after it sent a successful renewal.
func (l *Lease) safePeriod() time.Duration {
	return l.candidate.config.Term * safePercent / 100
}

// Announce writes a notice to the candidates with the next renewal. A later notice replaces one that is not written yet. A
// notice whose renewal fails is lost.
func (l *Lease) Announce(value []byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.notice = value
}

// MarkLost marks the lease as lost. Callers use it when they learn that another instance holds the lease.
func (l *Lease) MarkLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.lost = true
}

// keepAlive renews the lease until ctx ends or it is lost.
func (l *Lease) keepAlive(ctx context.Context) error {
	for {
		sent := clock.Now()
		wait := retryInterval
		if err := l.renew(ctx); isLost(err) {
			return err
		} else if err == nil {
			wait = max(0, l.candidate.renewalPeriod()-clock.Since(sent))
		}
		if !clock.Sleep(ctx, wait) {
			return nil
		}
	}
}

// renew extends the lease by writing the heartbeat row, on condition that the owner row hasn't changed.
func (l *Lease) renew(ctx context.Context) error {
	l.mu.Lock()
	lost := l.lost
	l.heartbeats++
	heartbeats, notice := l.heartbeats, l.notice
	l.notice = nil
	l.mu.Unlock()
	if lost {
		return fault.New(fault.Fenced, "renew lease", "", "epoch %d is superseded", l.owner)
	}
	sent := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	tx := store.Tx{
		Preconditions: []store.Precondition{l.Fence()},
		Put:           []store.Put{{Key: rowKey(heartbeatName), Value: heartbeatValue(heartbeats)}},
	}
	if notice != nil {
		tx.Put = append(tx.Put, store.Put{Key: rowKey(noticeName), Value: notice})
	}
	result, err := l.candidate.config.Store.Apply(ctx, tx)
	if fault.Is(err, fault.Conflict) {
		l.MarkLost()
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.renewedAt = max(l.renewedAt, sent)
	l.latestEpoch, l.renewedAtVersion = max(l.latestEpoch+1, l.renewedAtVersion), result.Version
	return nil
}

// release gives up the lease, so that others can acquire it without waiting for its expiry.
func (l *Lease) release() {
	l.mu.Lock()
	lost := l.lost
	l.lost = true
	l.mu.Unlock()
	if lost {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := l.candidate.config.Store.Apply(ctx, store.Tx{
		Preconditions: []store.Precondition{l.Fence()},
		Put:           []store.Put{{Key: rowKey(ownerName)}},
	})
	if err != nil {
		l.candidate.config.Logger.Warn("lease not released, it has to expire", "epoch", l.owner, "error", err)
		return
	}
	l.candidate.config.Logger.Info("lease released", "epoch", l.owner)
}
