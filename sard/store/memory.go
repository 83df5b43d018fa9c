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

// Memory is a Store in memory for tests. The zero value works.
type Memory struct {
	// InjectError returns the error to give instead of a call's result; nil for none. It is asked before each call, and
	// again with done set after a transaction took effect, so that outages and lost answers can be played.
	InjectError func(op string, done bool) error

	mu      sync.Mutex
	rows    map[Key]Row
	log     []Row
	version Version
	floor   Version
	changed chan struct{}
}

func (m *Memory) failure(op string, done bool) error {
	if m.InjectError == nil {
		return nil
	}
	return m.InjectError(op, done)
}

// Apply makes a transaction.
func (m *Memory) Apply(_ context.Context, tx Tx) (Result, error) {
	if tx.Len() > MaxEntries {
		return Result{}, fault.New(fault.Invalid, "apply", "store", "%d entries are over %d", tx.Len(), MaxEntries)
	}
	if err := m.failure("apply", false); err != nil {
		return Result{}, err
	}
	result, err := m.apply(tx)
	if err != nil {
		return result, err
	}
	return result, m.failure("apply", true)
}

func (m *Memory) apply(tx Tx) (Result, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if current, ok := m.check(tx.Preconditions); !ok {
		return Result{Current: current}, fault.New(fault.Conflict, "apply", "store", "a row has another version")
	}
	if m.rows == nil {
		m.rows = map[Key]Row{}
	}
	m.version++
	for _, p := range tx.Put {
		m.change(Row{Key: p.Key, Value: slices.Clone(p.Value), Version: m.version})
	}
	for _, k := range tx.Delete {
		if _, ok := m.rows[k]; ok {
			m.change(Row{Key: k, Version: m.version, Deleted: true})
		}
	}
	if m.changed != nil {
		close(m.changed)
		m.changed = nil
	}
	return Result{Version: m.version}, nil
}

func (m *Memory) check(expect []Precondition) (current []Row, ok bool) {
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

func (m *Memory) change(row Row) {
	m.log = append(m.log, row)
	if row.Deleted {
		delete(m.rows, row.Key)
		return
	}
	m.rows[row.Key] = row
}

// List reads a range.
func (m *Memory) List(_ context.Context, r Range) (Listing, error) {
	if err := m.failure("list", false); err != nil {
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

// Feed returns the changes of a table after a version.
func (m *Memory) Feed(ctx context.Context, table string, after Version, wait time.Duration) (Changes, error) {
	ctx, cancel := context.WithTimeout(ctx, wait)
	defer cancel()
	for {
		if err := m.failure("feed", false); err != nil {
			return Changes{}, err
		}
		changes, changed, err := m.since(table, after)
		if err != nil || len(changes.Rows) > 0 {
			return changes, err
		}
		select {
		case <-changed:
		case <-ctx.Done():
			return changes, nil
		}
	}
}

func (m *Memory) since(table string, after Version) (Changes, <-chan struct{}, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	if after < m.floor {
		return Changes{}, nil, fault.New(fault.NotFound, "feed", "store", "history before version %d is gone", m.floor)
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

// Compact drops the history of changes, so that feeds that have not read it fail.
func (m *Memory) Compact() {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.floor = m.version
	m.log = nil
}
