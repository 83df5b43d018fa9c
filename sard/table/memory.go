package table

import (
	"context"
	"maps"
	"slices"
	"strconv"
	"strings"
	"sync"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// Memory is an in-memory Store for tests and benchmarks. The zero value is an empty store.
type Memory struct {
	// InjectError, if set, simulates outages and lost responses. It is called before each operation, and again with
	// applied set after a write took effect; an error that it returns replaces the result of the operation.
	InjectError func(op string, applied bool) error

	mu          sync.Mutex
	items       map[Key]Item
	writeSerial uint64
}

// Get returns an item.
func (m *Memory) Get(_ context.Context, _ Priority, key Key) (Item, error) {
	if err := m.injectedError("get", false); err != nil {
		return Item{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.items[key]
	if !ok {
		return Item{}, fault.New(fault.NotFound, "get item", "table", "item %s/%s does not exist", key.Partition, key.Sort)
	}
	return item, nil
}

// GetStale returns an item. Unlike a Client, Memory always returns the last write.
func (m *Memory) GetStale(ctx context.Context, p Priority, key Key) (Item, error) {
	return m.Get(ctx, p, key)
}

// List returns the items of a partition whose sort keys start with prefix, sorted by sort key.
func (m *Memory) List(_ context.Context, _ Priority, partition, prefix string) ([]Item, error) {
	if err := m.injectedError("list", false); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var items []Item
	for item := range maps.Values(m.items) {
		if item.Key.Partition == partition && strings.HasPrefix(item.Key.Sort, prefix) {
			items = append(items, item)
		}
	}
	slices.SortFunc(items, func(a, b Item) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
	return items, nil
}

// Apply applies all writes of a batch or none.
func (m *Memory) Apply(_ context.Context, _ Priority, batch ...Write) error {
	if err := validateBatch(batch); err != nil {
		return err
	}
	if err := m.injectedError("apply", false); err != nil {
		return err
	}
	if err := m.applyBatch(batch); err != nil {
		return err
	}
	return m.injectedError("apply", true)
}

func (m *Memory) applyBatch(batch []Write) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range batch {
		if err := m.checkCondition(w); err != nil {
			return err
		}
	}
	if m.items == nil {
		m.items = map[Key]Item{}
	}
	m.writeSerial++
	token := ident.WriteToken("memory-" + strconv.FormatUint(m.writeSerial, tokenBase))
	for _, w := range batch {
		switch w := w.(type) {
		case Put:
			item := w.item(m.items[w.Key].Revision+1, token)
			item.Body = slices.Clone(w.Body)
			m.items[w.Key] = item
		case Delete:
			delete(m.items, w.Key)
		case ConditionCheck:
		}
	}
	return nil
}

func (m *Memory) checkCondition(w Write) error {
	key, cond := KeyAndCondition(w)
	item, ok := m.items[key]
	holds := true
	switch c := cond.(type) {
	case Absent:
		holds = !ok
	case AtRevision:
		holds = ok && item.Revision == c.Revision
	case AtEpoch:
		holds = ok && item.Epoch == c.Epoch
	}
	if !holds {
		return fault.New(fault.Conflict, "apply batch", "table", "condition on %s/%s failed", key.Partition, key.Sort)
	}
	return nil
}

func (m *Memory) injectedError(op string, applied bool) error {
	if m.InjectError == nil {
		return nil
	}
	return m.InjectError(op, applied)
}

// KeyAndCondition returns the key and the condition of a write.
func KeyAndCondition(w Write) (Key, Condition) {
	switch w := w.(type) {
	case Put:
		return w.Key, w.If
	case Delete:
		return w.Key, w.If
	case ConditionCheck:
		return w.Key, w.If
	}
	return Key{}, nil
}
