// Package table is the client of the platform's transactional table service.
package table

import (
	"context"

	"github.com/sardineline/sardineline/sard/ident"
)

// Key names an item. Items of one partition can be listed in the order of their sort keys.
type Key struct {
	Partition string
	Sort      string
}

// Item is a stored record.
type Item struct {
	Key Key
	// Revision rises by one with each write of the item, from 1.
	Revision uint64
	// Token marks the write that made this revision.
	Token ident.WriteToken
	// Epoch is the lease epoch under which the item was written; 0 outside domains.
	Epoch ident.Epoch
	// Body is the encoded record. Its format belongs to the package that owns the item.
	Body []byte
}

// Condition must hold for a write to take effect. It is sealed.
type Condition interface{ condition() }

// Absent holds when no item has the key.
type Absent struct{}

// AtRevision holds when the item is at the revision.
type AtRevision struct{ Revision uint64 }

// AtEpoch holds when the item exists and was written under the epoch.
type AtEpoch struct{ Epoch ident.Epoch }

func (Absent) condition()     {}
func (AtRevision) condition() {}
func (AtEpoch) condition()    {}

// Write is one change of a batch. It is sealed.
type Write interface{ write() }

// Put writes an item when its condition holds. The stored revision is the conditioned one plus 1.
type Put struct {
	Key   Key
	Epoch ident.Epoch
	Body  []byte
	If    Condition
}

// Delete removes an item when its condition holds.
type Delete struct {
	Key Key
	If  Condition
}

// ConditionCheck changes nothing and holds the batch to a condition.
type ConditionCheck struct {
	Key Key
	If  Condition
}

func (Put) write()            {}
func (Delete) write()         {}
func (ConditionCheck) write() {}

// Priority orders calls when the rate cap is short.
type Priority int

// The priorities, the most urgent first.
const (
	LeasePriority Priority = iota
	DecisionPriority
	BackgroundPriority
)

// MaxBatchWrites is the most writes that one batch may hold.
const MaxBatchWrites = 100

// Store reads and writes items. Its errors are *fault.Error of these kinds:
// NotFound, Conflict (a condition did not hold), Throttled and Unavailable (surely not written),
// Invalid (a batch that no table accepts, such as a write without a condition),
// OutcomeUnknown (the write may have taken effect and reading back failed too, or later writes hide it).
//
// Revisions start anew when an item is deleted and made again, so a key must not be used again while a call
// on its former item may still be under way.
type Store interface {
	// Get reads one item with strong consistency.
	Get(ctx context.Context, priority Priority, key Key) (Item, error)
	// GetStale reads one item that may lag behind the last write.
	GetStale(ctx context.Context, priority Priority, key Key) (Item, error)
	// List reads the items of a partition whose sort keys start with prefix, in order, with strong consistency.
	List(ctx context.Context, priority Priority, partition, prefix string) ([]Item, error)
	// Apply makes all writes of a batch or none.
	Apply(ctx context.Context, priority Priority, batch ...Write) error
}
