// Package store defines the interface of a transactional row store with a change feed. Operations return errors of type
// *fault.Error with one of these kinds: Conflict (a precondition failed), Throttled or Unavailable (the operation had
// no effect), OutcomeUnknown (a write may have taken effect, or may still do so while its preconditions hold), NotFound
// (the changes that a feed asks for have been compacted, that is dropped from the history) or Invalid (the store never accepts
// the call).
package store

import (
	"context"
	"time"
)

// Version is the sequence number of a transaction. The version of a row is that of its last write; 0 means that the row
// does not exist.
type Version uint64

// Key identifies a row.
type Key struct {
	Table string
	// Partition groups rows that a single transaction may change together; it may be empty.
	Partition string
	Name      string
}

// Row is a stored value with its key and version.
type Row struct {
	Key     Key
	Value   []byte
	Version Version
	// Deleted marks the deletion of a row in a feed; Value is then empty.
	Deleted bool
}

// Precondition requires a row to have the given version for a transaction to take effect.
type Precondition struct {
	Key     Key
	Version Version
}

// Put sets the value of a row.
type Put struct {
	Key   Key
	Value []byte
}

// Tx is a transaction. Its changes are applied atomically, and only if all preconditions hold.
type Tx struct {
	Preconditions []Precondition
	Put           []Put
	Delete        []Key
}

// Len returns the number of preconditions, puts and deletes in the transaction.
func (t Tx) Len() int {
	return len(t.Preconditions) + len(t.Put) + len(t.Delete)
}

const (
	// MaxRowBytes is the maximum size of a row's value.
	MaxRowBytes = 64 << 10
	// MaxTxBytes is the maximum size of the values in a transaction.
	MaxTxBytes = 700 << 10
)

// MaxEntries is the maximum number of entries in a transaction, as counted by Tx.Len.
const MaxEntries = 100

// Result is the outcome of a transaction.
type Result struct {
	// Version is the version of the transaction if it took effect.
	Version Version
	// Current holds the current rows for Tx.Preconditions if a precondition failed; rows that do not exist are omitted.
	Current []Row
}

// Range selects rows of one partition, sorted by name.
type Range struct {
	Table     string
	Partition string
	// From is the inclusive lower bound and To the exclusive upper bound of the names; empty means unbounded.
	From string
	To   string
	// Limit is the maximum number of rows to return; 0 means no limit.
	Limit int
}

// KeyRange returns the range that contains only the row with the given key.
func KeyRange(k Key) Range {
	return Range{Table: k.Table, Partition: k.Partition, From: k.Name, To: k.Name + "\x00", Limit: 1}
}

// PrefixRange returns the range of rows whose names start with prefix. The prefix must end with an ASCII character.
func PrefixRange(table, partition, prefix string) Range {
	last := len(prefix) - 1
	return Range{Table: table, Partition: partition, From: prefix, To: prefix[:last] + string(rune(prefix[last]+1))}
}

// Listing is the result of List: the rows of a range, sorted by name. A listing that took several pages is not a
// snapshot of a single version.
type Listing struct {
	Rows []Row
	// Version is the version of the store before the first row was read.
	Version Version
}

// Changes is the result of Feed.
type Changes struct {
	// Rows holds the rows that were changed; Row.Deleted marks those that were deleted.
	Rows []Row
	// Version is the version to pass to the next call of Feed.
	Version Version
}

// Store reads and writes rows. Reads are linearizable.
//
// List and Feed take as long as the transfer of their result needs. They fail soon when nothing arrives any more, so that
// callers need no timeout for that.
type Store interface {
	// Apply runs a transaction. If it fails with Conflict, the result holds the current rows.
	Apply(ctx context.Context, tx Tx) (Result, error)
	// List returns the rows of a range.
	List(ctx context.Context, r Range) (Listing, error)
	// Feed returns the changes to a table after a version. If there are none, it waits for one up to wait.
	Feed(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error)
}
