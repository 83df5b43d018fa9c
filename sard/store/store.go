// Package store is the interface of a transactional row store with a change feed. Its errors are *fault.Error of the
// kinds Conflict (a condition did not hold), Throttled and Unavailable (nothing was done), OutcomeUnknown (a write may
// have taken effect, or may still do so while its conditions hold), NotFound (the history that a feed asks for is
// gone) and Invalid.
package store

import (
	"context"
	"time"
)

// Version numbers the store's transactions in order. A row's version is that of its last write; 0 means no row.
type Version uint64

// Key names a row.
type Key struct {
	Table string
	// Partition groups rows that one transaction may change together; it may be empty.
	Partition string
	Name      string
}

// Row is a stored value.
type Row struct {
	Key     Key
	Value   []byte
	Version Version
	// Deleted marks a row of a feed that no longer exists; its Value is empty.
	Deleted bool
}

// Precondition is the version that a row must have for a transaction to take effect.
type Precondition struct {
	Key     Key
	Version Version
}

// Put writes a row.
type Put struct {
	Key   Key
	Value []byte
}

// Tx is a transaction: all of its changes are made, or none.
type Tx struct {
	Preconditions []Precondition
	Put           []Put
	Delete        []Key
}

// Len counts the entries of the transaction.
func (t Tx) Len() int {
	return len(t.Preconditions) + len(t.Put) + len(t.Delete)
}

// MaxEntries is the most entries that a transaction may hold.
const MaxEntries = 100

// Result tells what a transaction met.
type Result struct {
	// Version is the transaction's own when it took effect.
	Version Version
	// Current holds the rows of Expect as they are, when a condition did not hold; missing rows are left out.
	Current []Row
}

// Range selects rows of one part in the order of their names.
type Range struct {
	Table     string
	Partition string
	// From is the first name and To the one after the last; empty means no bound.
	From string
	To   string
	// Limit is the most rows to return; 0 means all.
	Limit int
}

// KeyRange selects the row of a key.
func KeyRange(k Key) Range {
	return Range{Table: k.Table, Partition: k.Partition, From: k.Name, To: k.Name + "\x00", Limit: 1}
}

// PrefixRange selects the rows whose names start with prefix, which ends in an ASCII character.
func PrefixRange(table, part, prefix string) Range {
	last := len(prefix) - 1
	return Range{Table: table, Partition: part, From: prefix, To: prefix[:last] + string(rune(prefix[last]+1))}
}

// Listing is the rows of a range. Over several pages it may span several moments.
type Listing struct {
	Rows []Row
	// Version is the newest one of the store before the first row was read.
	Version Version
}

// Changes is what a feed returns.
type Changes struct {
	Rows []Row
	// Version is where the next call continues.
	Version Version
}

// Store reads and writes rows. Reads are linearizable.
type Store interface {
	// Apply makes a transaction. With a Conflict the result holds the current rows.
	Apply(ctx context.Context, tx Tx) (Result, error)
	// List reads a range.
	List(ctx context.Context, r Range) (Listing, error)
	// Feed returns the changes of a table after a version, and waits for one up to wait.
	Feed(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error)
}
