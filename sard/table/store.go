// Package table implements a client for the platform's transactional table service, which has the DynamoDB API.
package table

import (
	"context"

	"github.com/sardineline/sardineline/sard/ident"
)

// Key identifies an item. The items of a partition can be listed in the order of their sort keys.
type Key struct {
	Partition string
	Sort      string
}

// Item is a stored record with its key, revision and other metadata.
type Item struct {
	Key Key
	// Revision starts at 1 and is incremented by each write of the item.
	Revision uint64
	// Token identifies the write that created this revision.
	Token ident.WriteToken
	// Epoch is the lease epoch under which the item was written; 0 for items that do not belong to a scheduling domain.
	Epoch ident.Epoch
	// Body is the encoded record. Its format is defined by the package that owns the item.
	Body []byte
}

// Condition is a condition on an item that must hold for a write to take effect. Only types of this package implement
// it.
type Condition interface{ condition() }

// Absent is the condition that no item with the key exists.
type Absent struct{}

// AtRevision is the condition that the item exists with the given revision.
type AtRevision struct{ Revision uint64 }

// AtEpoch is the condition that the item exists and was written under the given lease epoch.
type AtEpoch struct{ Epoch ident.Epoch }

func (Absent) condition()     {}
func (AtRevision) condition() {}
func (AtEpoch) condition()    {}

// Write is one operation of a batch: a Put, a Delete or a ConditionCheck. Only types of this package implement it.
type Write interface{ write() }

// Put writes an item if its condition holds. It increments the revision; a new item gets revision 1.
type Put struct {
	Key   Key
	Epoch ident.Epoch
	Body  []byte
	If    Condition
}

// Delete removes an item if its condition holds.
type Delete struct {
	Key Key
	If  Condition
}

// ConditionCheck makes the batch depend on a condition on an item without changing the item.
type ConditionCheck struct {
	Key Key
	If  Condition
}

func (Put) write()            {}
func (Delete) write()         {}
func (ConditionCheck) write() {}

// Priority is the priority of a call when the rate of calls is limited.
type Priority int

// Priorities of calls, in descending order of urgency.
const (
	// LeasePriority is the priority of calls that concern a lease. They never wait.
	LeasePriority Priority = iota
	// DecisionPriority is the priority of calls that record decisions, and of others that should not wait long.
	DecisionPriority
	// BackgroundPriority is the priority of calls that can wait. They may use only a fraction of the permitted rate.
	BackgroundPriority
)

// MaxBatchWrites is the maximum number of writes in a batch.
const MaxBatchWrites = 100

// Store reads and writes items. Its methods return errors of type *fault.Error with one of these kinds: NotFound, Conflict
// (a condition failed), Throttled or Unavailable (nothing was written), Invalid (a batch that can never succeed, such as
// one with a write that has no condition), or OutcomeUnknown (the write may have taken effect, and checking it failed too
// or later writes hide the outcome).
//
// An item that is deleted and created again starts at revision 1. A key must therefore not be reused while a call for the
// former item may still be in flight.
type Store interface {
	// Get returns an item with strong consistency.
	Get(ctx context.Context, priority Priority, key Key) (Item, error)
	// GetStale returns an item with eventual consistency, so it may not reflect the last write.
	GetStale(ctx context.Context, priority Priority, key Key) (Item, error)
	// List returns the items of a partition whose sort keys start with prefix, sorted by sort key, with strong consistency.
	List(ctx context.Context, priority Priority, partition, prefix string) ([]Item, error)
	// Apply applies all writes of a batch or none.
	Apply(ctx context.Context, priority Priority, batch ...Write) error
}
