// Package lease implements domain leases with epochs, stored in the table service. A domain is the scheduling domain of
// one data centre; only the instance that holds its lease schedules jobs there.
//
// A lease has a holder, an epoch, a revision that is incremented by each renewal, and a term, which is the time after
// which it expires unless renewed. A holder makes decisions only until the lease could have expired by its own
// monotonic clock. A contender, which is an instance that wants to acquire the lease, takes over only after it has
// observed the same revision for a whole term on its own monotonic clock, so no instance relies on another machine's
// clock. Only a restarted instance need not wait for the lease of its earlier process. Each new holder increments the
// epoch, which fences off the writes and calls of all earlier holders.
package lease

import (
	"context"
	"encoding/json"
	"time"

	"github.com/hashicorp/go-hclog"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
)

// DefaultTerm is the default time after which a lease expires unless renewed.
const DefaultTerm = 6 * time.Second

const (
	// renewalsPerTerm is how many times a holder renews within a term.
	renewalsPerTerm = 3
	// readsPerTerm is how many times a contender reads the lease within a term.
	readsPerTerm = 6
	// safetyMarginDivisor gives the safety margin: during the last 1/safetyMarginDivisor of a term the holder no longer
	// makes decisions.
	safetyMarginDivisor = 6
)

// partition is the table partition of all leases. The sort key is the data centre.
const partition = "lease"

// record is the body of a lease's item.
type record struct {
	// Holder is empty after a release.
	Holder ident.Instance
	// Term is the term that the holder uses.
	Term ident.Duration
}

// Config configures a Manager.
type Config struct {
	// Store holds one item for each lease.
	Store table.Store
	// Instance is the holder's name. It must be unique to each process.
	Instance ident.Instance
	// IsPredecessor reports whether a holder was an earlier process of the same instance, which can't be running any more.
	// Its lease needn't expire. If nil, no holder was.
	IsPredecessor func(holder ident.Instance) bool
	// Term is the time after which a lease expires unless renewed; 0 means DefaultTerm.
	Term time.Duration
	// Logger logs each change of holder; nil disables logging.
	Logger hclog.Logger
}

// Manager acquires and reads domain leases.
type Manager struct{ config Config }

// New returns a Manager for the leases in a store.
func New(config Config) *Manager {
	if config.Term == 0 {
		config.Term = DefaultTerm
	}
	if config.IsPredecessor == nil {
		config.IsPredecessor = func(ident.Instance) bool { return false }
	}
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	return &Manager{config: config}
}

// State is the state of a lease as read from the table.
type State struct {
	DataCentre ident.DataCentre
	// Holder is empty if the lease was never held or has been released.
	Holder   ident.Instance
	Epoch    ident.Epoch
	Revision uint64
	// Term is the term that the holder uses.
	Term time.Duration
}

// Read returns the state of a data centre's lease with a strongly consistent read. The holder may no longer be running.
func (m *Manager) Read(ctx context.Context, dc ident.DataCentre) (State, error) {
	item, err := m.config.Store.Get(ctx, table.LeasePriority, itemKey(dc))
	return decodeState(dc, item, err)
}

// decodeState returns the state of a lease from the result of reading its item, which may be missing.
func decodeState(dc ident.DataCentre, item table.Item, err error) (State, error) {
	if fault.Is(err, fault.NotFound) {
		return State{DataCentre: dc}, nil
	}
	if err != nil {
		return State{}, err
	}
	var body record
	if err := json.Unmarshal(item.Body, &body); err != nil {
		return State{}, fault.Wrap(err, fault.Internal, "decode lease of "+string(dc), "table")
	}
	return State{
		DataCentre: dc,
		Holder:     body.Holder,
		Epoch:      item.Epoch,
		Revision:   item.Revision,
		Term:       body.Term.Std(),
	}, nil
}

// Acquire waits until the lease of a data centre is free or expired and acquires it under the next epoch. The caller
// must run Lease.KeepAlive in a separate goroutine. Acquire fails only when ctx ends.
func (m *Manager) Acquire(ctx context.Context, dc ident.DataCentre) (*Lease, error) {
	var lastSeen State
	var unchangedSince time.Time
	for {
		now := time.Now()
		current, err := m.readStale(ctx, dc)
		switch {
		case err != nil:
			unchangedSince = time.Time{}
		case current != lastSeen || unchangedSince.IsZero():
			lastSeen, unchangedSince = current, time.Now()
		}
		if err == nil && (m.isFree(current) || now.Sub(unchangedSince) >= current.Term) {
			if held := m.tryAcquire(ctx, current); held != nil {
				return held, nil
			}
			unchangedSince = time.Time{}
		}
		if !clock.Sleep(ctx, m.config.Term/readsPerTerm) {
			return nil, fault.Wrap(ctx.Err(), fault.Unavailable, "acquire lease of "+string(dc), "table")
		}
	}
}

// isFree reports whether a lease may be acquired without waiting for its expiry: nobody holds it, or an earlier process of
// this instance does.
func (m *Manager) isFree(current State) bool {
	return current.Holder == "" || m.config.IsPredecessor(current.Holder)
}

// readStale reads a lease for a contender. Stale data is safe because the takeover is conditional on the revision read.
func (m *Manager) readStale(ctx context.Context, dc ident.DataCentre) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, m.config.Term/renewalsPerTerm)
	defer cancel()
	item, err := m.config.Store.GetStale(ctx, table.LeasePriority, itemKey(dc))
	return decodeState(dc, item, err)
}

// tryAcquire writes the lease under the next epoch. It returns nil if another instance was faster or the outcome is
// unknown.
func (m *Manager) tryAcquire(ctx context.Context, last State) *Lease {
	ctx, cancel := context.WithTimeout(ctx, m.config.Term/renewalsPerTerm)
	defer cancel()
	sent := time.Now()
	epoch := last.Epoch + 1
	err := m.config.Store.Apply(ctx, table.LeasePriority, m.leasePut(last, epoch, m.config.Instance))
	if fault.Is(err, fault.OutcomeUnknown) {
		err = m.confirmAcquired(ctx, last.DataCentre, epoch)
	}
	if err != nil {
		m.config.Logger.Debug("lease not taken", "DataCentre", last.DataCentre, "Epoch", epoch, "Error", err)
		return nil
	}
	m.config.Logger.Info("lease taken", "DataCentre", last.DataCentre, "Epoch", epoch, "Last", last.Holder)
	return newLease(m, last.DataCentre, epoch, last.Revision+1, sent)
}

// confirmAcquired fails unless the stored lease shows this instance as the holder of the epoch.
func (m *Manager) confirmAcquired(ctx context.Context, dc ident.DataCentre, epoch ident.Epoch) error {
	current, err := m.Read(ctx, dc)
	if err != nil {
		return err
	}
	if current.Holder != m.config.Instance || current.Epoch != epoch {
		return fault.New(fault.Conflict, "take lease of "+string(dc), "table", "held by %q at epoch %d", current.Holder, current.Epoch)
	}
	return nil
}

// leasePut returns the write of a lease, which fails unless the item is unchanged since last.
func (m *Manager) leasePut(last State, epoch ident.Epoch, holder ident.Instance) table.Put {
	body, err := json.Marshal(record{Holder: holder, Term: ident.Duration(m.config.Term)})
	if err != nil {
		panic(err)
	}
	put := table.Put{Key: itemKey(last.DataCentre), Epoch: epoch, Body: body, If: table.AtRevision{Revision: last.Revision}}
	if last.Revision == 0 {
		put.If = table.Absent{}
	}
	return put
}

// itemKey returns the key of a lease's item.
func itemKey(dc ident.DataCentre) table.Key {
	return table.Key{Partition: partition, Sort: string(dc)}
}
