package lease

import (
	"context"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
)

// Lease is a lease that this instance holds.
type Lease struct {
	leases *Manager
	dc     ident.DataCentre
	epoch  ident.Epoch
	lost   chan struct{}

	// writing has one place, which is taken over each write of the lease.
	writing chan struct{}

	mu       sync.Mutex
	revision uint64
	safe     time.Time
	ended    bool
}

func newHeld(l *Manager, dc ident.DataCentre, epoch ident.Epoch, revision uint64, sent time.Time) *Lease {
	h := &Lease{leases: l, dc: dc, epoch: epoch, revision: revision, lost: make(chan struct{}), writing: make(chan struct{}, 1)}
	h.extend(revision, sent)
	return h
}

// Epoch returns the epoch under which the lease is held.
func (h *Lease) Epoch() ident.Epoch {
	return h.epoch
}

// Check tells whether it is safe to decide or send at this moment. It must be asked right before each send, as the
// process may have been paused. It fails with Unavailable when the lease could have lapsed, after which a renewal
// may make it safe again, and with Fenced when the lease is lost.
func (h *Lease) Check() error {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.ended {
		return fault.New(fault.Fenced, "check lease of "+string(h.dc), "", "epoch %d is superseded", h.epoch)
	}
	if late := time.Since(h.safe); late >= 0 {
		return fault.New(fault.Unavailable, "check lease of "+string(h.dc), "table", "not renewed for %v too long", late)
	}
	return nil
}

// Lost is closed when another instance has taken the lease or when it was released.
func (h *Lease) Lost() <-chan struct{} {
	return h.lost
}

// Fence is the condition to add to each batch of writes in the domain.
func (h *Lease) Fence() table.ConditionCheck {
	return table.ConditionCheck{Key: key(h.dc), If: table.AtEpoch{Epoch: h.epoch}}
}

// MarkLost marks the lease as lost; for callers who learn of a higher epoch from a worker or a write.
func (h *Lease) MarkLost() {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !h.ended {
		h.ended = true
		close(h.lost)
	}
}

// KeepAlive renews the lease until ctx ends or the lease is lost. A lease that lapsed while the table could not be
// reached is renewed when nobody has taken it over meanwhile.
func (h *Lease) KeepAlive(ctx context.Context) error {
	for {
		timer := time.NewTimer(h.leases.config.Term / renewalsPerTerm)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-h.lost:
			timer.Stop()
			return nil
		case <-timer.C:
		}
		if err := h.renew(ctx); err != nil {
			h.leases.config.Logger.Warn("lease not renewed", "DataCentre", h.dc, "Epoch", h.epoch, "Error", err)
		}
	}
}

// Release gives the lease up, so that another instance can take it at once. The caller has stopped all work of the
// domain. When the write fails, the lease lapses by itself.
func (h *Lease) Release(ctx context.Context) error {
	h.writing <- struct{}{}
	defer func() { <-h.writing }()
	h.MarkLost()
	err := h.leases.config.Store.Apply(ctx, table.LeasePriority, h.leases.put(h.holding(), h.epoch, ""))
	if err != nil {
		return fault.Wrap(err, fault.KindOf(err), "release lease of "+string(h.dc), "table")
	}
	h.leases.config.Logger.Info("lease released", "DataCentre", h.dc, "Epoch", h.epoch)
	return nil
}

func (h *Lease) renew(ctx context.Context) error {
	h.writing <- struct{}{}
	defer func() { <-h.writing }()
	if fault.Is(h.Check(), fault.Fenced) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, h.leases.config.Term/renewalsPerTerm)
	defer cancel()
	sent := time.Now()
	last := h.holding()
	err := h.leases.config.Store.Apply(ctx, table.LeasePriority, h.leases.put(last, h.epoch, h.leases.config.Instance))
	switch {
	case err == nil:
		h.extend(last.Revision+1, sent)
		return nil
	case fault.Is(err, fault.Conflict), fault.Is(err, fault.OutcomeUnknown):
		return h.resolve(ctx, err)
	default:
		return err
	}
}

// resolve reads the lease back after a renewal without a clear result. A revision of our own is adopted, but the
// lease is not lengthened, as it is not known which renewal made it.
func (h *Lease) resolve(ctx context.Context, cause error) error {
	now, err := h.leases.Read(ctx, h.dc)
	if err != nil {
		return cause
	}
	if now.Epoch != h.epoch || now.Holder != h.leases.config.Instance {
		h.leases.config.Logger.Warn("lease lost", "DataCentre", h.dc, "Epoch", h.epoch, "Holder", now.Holder, "By", now.Epoch)
		h.MarkLost()
		return nil
	}
	h.mu.Lock()
	h.revision = now.Revision
	h.mu.Unlock()
	return cause
}

func (h *Lease) extend(revision uint64, sent time.Time) {
	term := h.leases.config.Term
	h.mu.Lock()
	defer h.mu.Unlock()
	h.revision = revision
	h.safe = sent.Add(term - term/marginsPerTerm)
}

func (h *Lease) holding() State {
	h.mu.Lock()
	defer h.mu.Unlock()
	return State{DataCentre: h.dc, Holder: h.leases.config.Instance, Epoch: h.epoch, Revision: h.revision}
}
