package store

import (
	"cmp"
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
)

// Memory is an in-memory Store for tests. The zero value is an empty store.
type Memory struct {
	// InjectError, if set, simulates outages and lost responses. It is called before each operation, and again with
	// applied set after a transaction took effect; an error that it returns replaces the result of the operation.
	InjectError func(op string, applied bool) error
	// LimitSizes refuses transactions that exceed MaxRowBytes or MaxTxBytes, as the platform's store does. The operator's own
	// rows have no such limit.
	LimitSizes bool

	mu   sync.Mutex
	rows map[Key]Row
	// log holds the changes since compactedVersion in the order of their versions.
	log []Row
	// version is the version of the last transaction.
	version Version
	// compactedVersion is the version up to which changes were dropped from log.
	compactedVersion Version
	// changed is closed by the next transaction.
	changed chan struct{}
}

func (m *Memory) injectedError(op string, applied bool) error {
	if m.InjectError == nil {
		return nil
	}
	return m.InjectError(op, applied)
}

// Apply runs a transaction. It takes effect only if all its preconditions hold.
func (m *Memory) Apply(_ context.Context, tx Tx) (Result, error) {
	if tx.Len() > MaxEntries {
		return Result{}, fault.New(fault.Invalid, "apply", "store", "transaction has %d entries, limit is %d", tx.Len(), MaxEntries)
	}
	if err := tx.checkSize(); m.LimitSizes && err != nil {
		return Result{}, err
	}
	if err := m.injectedError("apply", false); err != nil {
		return Result{}, err
	}
	result, err := m.apply(tx)
	if err != nil {
		return result, err
	}
	return result, m.injectedError("apply", true)
}

// checkSize returns an error if the values of the transaction are too large.
func (t Tx) checkSize() error {
	size := 0
	for _, p := range t.Put {
		if len(p.Value) > MaxRowBytes {
			return fault.New(fault.Invalid, "apply", "store", "row %s has %d bytes, limit is %d", p.Key.Name, len(p.Value), MaxRowBytes)
		}
		size += len(p.Value)
	}
	if size > MaxTxBytes {
		return fault.New(fault.Invalid, "apply", "store", "transaction has %d bytes, limit is %d", size, MaxTxBytes)
	}
	return nil
}

func (m *Memory) apply(tx Tx) (Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current, ok := m.checkPreconditions(tx.Preconditions); !ok {
		return Result{Current: current}, fault.New(fault.Conflict, "apply", "store", "row version precondition failed")
	}
	if m.rows == nil {
		m.rows = map[Key]Row{}
	}
	m.version++
	for _, p := range tx.Put {
		m.recordChange(Row{Key: p.Key, Value: slices.Clone(p.Value), Version: m.version})
	}
	for _, k := range tx.Delete {
		if _, ok := m.rows[k]; ok {
			m.recordChange(Row{Key: k, Version: m.version, Deleted: true})
		}
	}
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
	return Result{Version: m.version}, nil
}

func (m *Memory) checkPreconditions(expect []Precondition) (current []Row, ok bool) {
	ok = true
	for _, e := range expect {
		row, exists := m.rows[e.Key]
		if exists {
			current = append(current, row)
		}
		if row.Version != e.Version {
			ok = false
		}
	}
	return current, ok
}

func (m *Memory) recordChange(row Row) {
	m.log = append(m.log, row)
	if row.Deleted {
		delete(m.rows, row.Key)
		return
	}
	m.rows[row.Key] = row
}

// List returns the rows of a range, sorted by name.
func (m *Memory) List(_ context.Context, r Range) (Listing, error) {
	if err := m.injectedError("list", false); err != nil {
		return Listing{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	l := Listing{Version: m.version}
	for k, row := range m.rows {
		if k.Table == r.Table && k.Partition == r.Partition && k.Name >= r.From && (r.To == "" || k.Name < r.To) {
			l.Rows = append(l.Rows, row)
		}
	}
	slices.SortFunc(l.Rows, func(a, b Row) int { return strings.Compare(a.Key.Name, b.Key.Name) })
	if r.Limit > 0 && len(l.Rows) > r.Limit {
		l.Rows = l.Rows[:r.Limit]
	}
	return l, nil
}

// Feed returns the changes to a table after a version. If there are none, it waits for one up to wait.
func (m *Memory) Feed(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		if err := m.injectedError("feed", false); err != nil {
			return Changes{}, err
		}
		changes, changed, err := m.changesAfter(table, after)
		if err != nil || len(changes.Rows) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return changes, m.injectedError("feed", false)
		}
	}
}

func (m *Memory) changesAfter(table string, after Version) (Changes, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.compactedVersion {
		return Changes{}, nil, fault.New(fault.NotFound, "feed", "store", "changes before version %d have been compacted", m.compactedVersion)
	}
	if m.changed == nil {
		m.changed = make(chan struct{})
	}
	c := Changes{Version: m.version}
	first, _ := slices.BinarySearchFunc(m.log, after+1, func(r Row, v Version) int { return cmp.Compare(r.Version, v) })
	for _, row := range m.log[first:] {
		if row.Key.Table == table {
			c.Rows = append(c.Rows, row)
		}
	}
	return c, m.changed, nil
}

// Compact drops the change history from which Feed reads. A feed that resumes from an earlier version then fails with
// NotFound.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.compactedVersion = m.version
	m.log = nil
}
