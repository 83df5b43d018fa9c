package lease

import (
	"context"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
)

// Lease is the lease of one domain, acquired by this instance.
type Lease struct {
	manager *Manager
	dc      ident.DataCentre
	epoch   ident.Epoch
	lost    chan struct{}

	// writeSlot serialises writes of the lease's item.
	writeSlot chan struct{}

	mu       sync.Mutex
	revision uint64
	// safeUntil is the time until which Check succeeds unless the lease is renewed or ends.
	safeUntil time.Time
	// ended is set when the lease was released or taken over.
	ended bool
}

// newLease returns the lease of dc, acquired under an epoch by a write of the revision that was sent at the given time.
func newLease(m *Manager, dc ident.DataCentre, epoch ident.Epoch, revision uint64, sent time.Time) *Lease {
	l := &Lease{manager: m, dc: dc, epoch: epoch, revision: revision, lost: make(chan struct{}), writeSlot: make(chan struct{}, 1)}
	l.extend(revision, sent)
	return l
}

// Epoch returns the epoch under which the lease was acquired.
func (l *Lease) Epoch() ident.Epoch {
	return l.epoch
}

// Check returns nil while it is safe to schedule the domain and send calls to its workers. Call it immediately before
// each send, since the process may have been paused. It fails with Unavailable if the lease may have expired, in which
// case a later renewal can make it valid again, and with Fenced if the lease is lost.
func (l *Lease) Check() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ended {
		return fault.New(fault.Fenced, "check lease of "+string(l.dc), "", "epoch %d is superseded", l.epoch)
	}
	if overdue := time.Since(l.safeUntil); overdue >= 0 {
		return fault.New(fault.Unavailable, "check lease of "+string(l.dc), "table", "renewal overdue by %v", overdue)
	}
	return nil
}

// Lost returns a channel that is closed when the lease is taken over by another instance or released.
func (l *Lease) Lost() <-chan struct{} {
	return l.lost
}

// Fence returns the condition that every batch of domain writes must include, so that it fails under a later epoch.
func (l *Lease) Fence() table.ConditionCheck {
	return table.ConditionCheck{Key: itemKey(l.dc), If: table.AtEpoch{Epoch: l.epoch}}
}

// MarkLost marks the lease as lost. Callers use it when a worker or a failed write reveals a higher epoch.
func (l *Lease) MarkLost() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.ended {
		l.ended = true
		close(l.lost)
	}
}

// KeepAlive renews the lease until ctx ends or the lease is lost. A lease that expired while the table was unreachable
// is renewed if no other instance has taken it over in the meantime.
func (l *Lease) KeepAlive(ctx context.Context) error {
	for {
		timer := time.NewTimer(l.manager.config.Term / renewalsPerTerm)
		select {
		case <-ctx.Done():
			timer.Stop()
			return nil
		case <-l.lost:
			timer.Stop()
			return nil
		case <-timer.C:
		}
		if err := l.renew(ctx); err != nil {
			l.manager.config.Logger.Warn("lease not renewed", "DataCentre", l.dc, "Epoch", l.epoch, "Error", err)
		}
	}
}

// Release gives up the lease so that another instance can acquire it immediately. The caller must have stopped all work
// in the domain. If the write fails, the lease expires by itself.
func (l *Lease) Release(ctx context.Context) error {
	l.writeSlot <- struct{}{}
	defer func() { <-l.writeSlot }()
	l.MarkLost()
	err := l.manager.config.Store.Apply(ctx, table.LeasePriority, l.manager.leasePut(l.state(), l.epoch, ""))
	if err != nil {
		return fault.Wrap(err, fault.KindOf(err), "release lease of "+string(l.dc), "table")
	}
	l.manager.config.Logger.Info("lease released", "DataCentre", l.dc, "Epoch", l.epoch)
	return nil
}

// renew writes the lease once more under the same epoch.
func (l *Lease) renew(ctx context.Context) error {
	l.writeSlot <- struct{}{}
	defer func() { <-l.writeSlot }()
	if fault.Is(l.Check(), fault.Fenced) {
		return nil
	}
	ctx, cancel := context.WithTimeout(ctx, l.manager.config.Term/renewalsPerTerm)
	defer cancel()
	sent := time.Now()
	last := l.state()
	err := l.manager.config.Store.Apply(ctx, table.LeasePriority, l.manager.leasePut(last, l.epoch, l.manager.config.Instance))
	switch {
	case err == nil:
		l.extend(last.Revision+1, sent)
		return nil
	case fault.Is(err, fault.Conflict), fault.Is(err, fault.OutcomeUnknown):
		return l.reconcile(ctx, err)
	default:
		return err
	}
}

// reconcile reads the lease back after a renewal that conflicted or whose outcome is unknown. If this instance still
// holds the lease, its revision is adopted, but the lease isn't extended because it's unknown which renewal wrote it.
func (l *Lease) reconcile(ctx context.Context, cause error) error {
	current, err := l.manager.Read(ctx, l.dc)
	if err != nil {
		return cause
	}
	if current.Epoch != l.epoch || current.Holder != l.manager.config.Instance {
		l.manager.config.Logger.Warn("lease lost", "DataCentre", l.dc, "Epoch", l.epoch, "Holder", current.Holder, "By", current.Epoch)
		l.MarkLost()
		return nil
	}
	l.mu.Lock()
	l.revision = current.Revision
	l.mu.Unlock()
	return cause
}

// extend adopts a revision and extends the lease from the time its write was sent.
func (l *Lease) extend(revision uint64, sent time.Time) {
	term := l.manager.config.Term
	l.mu.Lock()
	defer l.mu.Unlock()
	l.revision = revision
	l.safeUntil = sent.Add(term - term/safetyMarginDivisor)
}

// state returns the lease as last written by this instance.
func (l *Lease) state() State {
	l.mu.Lock()
	defer l.mu.Unlock()
	return State{DataCentre: l.dc, Holder: l.manager.config.Instance, Epoch: l.epoch, Revision: l.revision}
}
