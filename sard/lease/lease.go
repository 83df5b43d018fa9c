// Package lease holds domain leases with epochs in the table service.
//
// A lease has a holder, an epoch and a revision that rises with each renewal. A holder decides only until its own
// monotonic clock says that the lease could have lapsed. A contender takes the lease over only after it has observed
// the same revision for a whole term by its own monotonic clock, so no clock of another machine is trusted. Each
// new holder has the epoch of the last one plus 1, which fences the writes and calls of all earlier holders.
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

// DefaultTerm is how long a lease lasts without a renewal.
const DefaultTerm = 6 * time.Second

const (
	// renewalsPerTerm is how often a holder renews within a term.
	renewalsPerTerm = 3
	// observationsPerTerm is how often a contender reads the lease within a term.
	observationsPerTerm = 6
	// marginsPerTerm is the share of a term before its end in which a holder no longer decides.
	marginsPerTerm = 6
)

// partition is the table partition of all leases; the sort key is the data centre.
const partition = "lease"

// record is the body of a lease's item.
type record struct {
	// Holder is empty when the lease was released.
	Holder ident.Instance
	Term   ident.Duration
}

// Config tells where leases are held and by whom.
type Config struct {
	Store table.Store
	// Instance is the holder's name. It must be new for each process.
	Instance ident.Instance
	// Term is how long a lease lasts without a renewal; 0 means DefaultTerm.
	Term time.Duration
	// Logger gets a line for each change of holder; nil means none.
	Logger hclog.Logger
}

// Manager acquires and reads domain leases.
type Manager struct{ config Config }

// New returns the leases of a store.
func New(config Config) *Manager {
	if config.Term == 0 {
		config.Term = DefaultTerm
	}
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	return &Manager{config: config}
}

// State tells who holds a lease.
type State struct {
	DataCentre ident.DataCentre
	// Holder is empty when nobody has held the lease yet or when it was released.
	Holder   ident.Instance
	Epoch    ident.Epoch
	Revision uint64
	Term     time.Duration
}

// Read tells who holds the lease of a data centre, with strong consistency. The holder may be dead.
func (l *Manager) Read(ctx context.Context, dc ident.DataCentre) (State, error) {
	item, err := l.config.Store.Get(ctx, table.LeasePriority, key(dc))
	return holding(dc, item, err)
}

func holding(dc ident.DataCentre, item table.Item, err error) (State, error) {
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

// Acquire waits until the lease of a data centre is free or has lapsed and takes it under the next epoch. The
// caller runs Held.Keep in a group of its own. It fails only when ctx ends.
func (l *Manager) Acquire(ctx context.Context, dc ident.DataCentre) (*Lease, error) {
	var seen State
	var since time.Time
	for {
		now := time.Now()
		current, err := l.observe(ctx, dc)
		switch {
		case err != nil:
			since = time.Time{}
		case current != seen || since.IsZero():
			seen, since = current, time.Now()
		}
		if err == nil && (current.Holder == "" || now.Sub(since) >= current.Term) {
			if held := l.take(ctx, current); held != nil {
				return held, nil
			}
			since = time.Time{}
		}
		if !clock.Sleep(ctx, l.config.Term/observationsPerTerm) {
			return nil, fault.Wrap(ctx.Err(), fault.Unavailable, "acquire lease of "+string(dc), "table")
		}
	}
}

// observe reads a lease for a contender. A lagging read is safe: taking over is conditional on its revision.
func (l *Manager) observe(ctx context.Context, dc ident.DataCentre) (State, error) {
	ctx, cancel := context.WithTimeout(ctx, l.config.Term/renewalsPerTerm)
	defer cancel()
	item, err := l.config.Store.GetStale(ctx, table.LeasePriority, key(dc))
	return holding(dc, item, err)
}

// take writes the next epoch. It returns nil when another won or the outcome is not known.
func (l *Manager) take(ctx context.Context, last State) *Lease {
	ctx, cancel := context.WithTimeout(ctx, l.config.Term/renewalsPerTerm)
	defer cancel()
	sent := time.Now()
	epoch := last.Epoch + 1
	err := l.config.Store.Apply(ctx, table.LeasePriority, l.put(last, epoch, l.config.Instance))
	if fault.Is(err, fault.OutcomeUnknown) {
		err = l.confirm(ctx, last.DataCentre, epoch)
	}
	if err != nil {
		l.config.Logger.Debug("lease not taken", "DataCentre", last.DataCentre, "Epoch", epoch, "Error", err)
		return nil
	}
	l.config.Logger.Info("lease taken", "DataCentre", last.DataCentre, "Epoch", epoch, "Last", last.Holder)
	return newHeld(l, last.DataCentre, epoch, last.Revision+1, sent)
}

// confirm reads back whether this instance holds the epoch.
func (l *Manager) confirm(ctx context.Context, dc ident.DataCentre, epoch ident.Epoch) error {
	now, err := l.Read(ctx, dc)
	if err != nil {
		return err
	}
	if now.Holder != l.config.Instance || now.Epoch != epoch {
		return fault.New(fault.Conflict, "take lease of "+string(dc), "table", "held by %q at epoch %d", now.Holder, now.Epoch)
	}
	return nil
}

func (l *Manager) put(last State, epoch ident.Epoch, holder ident.Instance) table.Put {
	body, err := json.Marshal(record{Holder: holder, Term: ident.Duration(l.config.Term)})
	if err != nil {
		panic(err)
	}
	put := table.Put{Key: key(last.DataCentre), Epoch: epoch, Body: body, If: table.AtRevision{Revision: last.Revision}}
	if last.Revision == 0 {
		put.If = table.Absent{}
	}
	return put
}

func key(dc ident.DataCentre) table.Key {
	return table.Key{Partition: partition, Sort: string(dc)}
}
