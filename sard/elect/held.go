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

// Lease is a lease that this process holds.
type Lease struct {
	candidate *Candidate
	owner     store.Version

	mu      sync.Mutex
	renewed clock.Instant
	beats   uint64
	lost    bool
}

// Epoch returns the epoch under which the lease is held. Later holders have higher ones.
func (h *Lease) Epoch() ident.Epoch {
	return ident.Epoch(h.owner)
}

// Fence is the condition that holds while no other instance has taken the lease.
func (h *Lease) Fence() store.Precondition {
	return store.Precondition{Key: key(ownerName), Version: h.owner}
}

// Check tells whether it is safe to decide or send at this moment. It must be asked right before each send, as the
// process may have been paused. It fails with Unavailable when the lease could have lapsed, after which a renewal may
// make it safe again, and with Fenced when it is lost.
func (h *Lease) Check() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.lost {
		return fault.New(fault.Fenced, "check lease", "", "epoch %d is superseded", h.owner)
	}
	if age := clock.Since(h.renewed); age > h.safe() {
		return fault.New(fault.Unavailable, "check lease", "store", "last renewed %v ago", age)
	}
	return nil
}

// LapsedFor returns for how long Check has failed for want of a renewal; 0 while it is safe to act.
func (h *Lease) LapsedFor() time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	return max(0, clock.Since(h.renewed)-h.safe())
}

func (h *Lease) safe() time.Duration {
	return h.candidate.config.Term * safeShare / 100
}

// MarkLost notes that another instance has been seen to hold the lease.
func (h *Lease) MarkLost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.lost = true
}

// keep renews the lease until ctx ends or it is lost.
func (h *Lease) keep(ctx context.Context) error {
	for {
		sent := clock.Now()
		pause := retryPause
		if err := h.renew(ctx); isLost(err) {
			return err
		} else if err == nil {
			pause = max(0, h.candidate.config.Term/renewalsPerTerm-clock.Since(sent))
		}
		if !clock.Sleep(ctx, pause) {
			return nil
		}
	}
}

// renew writes the beat.
func (h *Lease) renew(ctx context.Context) error {
	h.mu.Lock()
	lost := h.lost
	h.beats++
	beats := h.beats
	h.mu.Unlock()
	if lost {
		return fault.New(fault.Fenced, "renew lease", "", "epoch %d is superseded", h.owner)
	}
	sent := clock.Now()
	ctx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	_, err := h.candidate.config.Store.Apply(ctx, store.Tx{
		Preconditions: []store.Precondition{h.Fence()},
		Put:           []store.Put{{Key: key(beatName), Value: beatValue(beats)}},
	})
	if fault.Is(err, fault.Conflict) {
		h.MarkLost()
	}
	if err != nil {
		return err
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	h.renewed = max(h.renewed, sent)
	return nil
}

// release gives the lease up, so that others need not wait for the end of its term.
func (h *Lease) release() {
	h.mu.Lock()
	lost := h.lost
	h.lost = true
	h.mu.Unlock()
	if lost {
		return
	}
	ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
	defer cancel()
	_, err := h.candidate.config.Store.Apply(ctx, store.Tx{
		Preconditions: []store.Precondition{h.Fence()},
		Put:           []store.Put{{Key: key(ownerName)}},
	})
	if err != nil {
		h.candidate.config.Logger.Warn("lease not released, others wait for its term", "epoch", h.owner, "error", err)
		return
	}
	h.candidate.config.Logger.Info("lease released", "epoch", h.owner)
}
