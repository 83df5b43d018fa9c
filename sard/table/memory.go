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

// Memory is a Store in memory for tests and benchmarks. Fail, when set, is asked before each call and again
// after each write took effect, so that outages and lost answers can be played.
type Memory struct {
	// InjectError returns the error to give instead of the result; nil for none.
	InjectError func(op string, after bool) error

	mu     sync.Mutex
	items  map[Key]Item
	serial uint64
}

// Get reads one item.
func (m *Memory) Get(_ context.Context, _ Priority, key Key) (Item, error) {
	if err := m.failure("get", false); err != nil {
		return Item{}, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	item, ok := m.items[key]
	if !ok {
		return Item{}, fault.New(fault.NotFound, "get item", "table", "no item %s/%s", key.Partition, key.Sort)
	}
	return item, nil
}

// GetStale reads one item; it never lags.
func (m *Memory) GetStale(ctx context.Context, p Priority, key Key) (Item, error) {
	return m.Get(ctx, p, key)
}

// List reads the items of a partition in the order of their sort keys.
func (m *Memory) List(_ context.Context, _ Priority, partition, prefix string) ([]Item, error) {
	if err := m.failure("list", false); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var found []Item
	for item := range maps.Values(m.items) {
		if item.Key.Partition == partition && strings.HasPrefix(item.Key.Sort, prefix) {
			found = append(found, item)
		}
	}
	slices.SortFunc(found, func(a, b Item) int { return strings.Compare(a.Key.Sort, b.Key.Sort) })
	return found, nil
}

// Apply makes all writes of a batch or none.
func (m *Memory) Apply(_ context.Context, _ Priority, batch ...Write) error {
	if err := check(batch); err != nil {
		return err
	}
	if err := m.failure("apply", false); err != nil {
		return err
	}
	if err := m.apply(batch); err != nil {
		return err
	}
	return m.failure("apply", true)
}

func (m *Memory) apply(batch []Write) error {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, w := range batch {
		if err := m.check(w); err != nil {
			return err
		}
	}
	if m.items == nil {
		m.items = map[Key]Item{}
	}
	m.serial++
	token := ident.WriteToken("memory-" + strconv.FormatUint(m.serial, tokenBase))
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

func (m *Memory) check(w Write) error {
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
		return fault.New(fault.Conflict, "apply batch", "table", "condition on %s/%s does not hold", key.Partition, key.Sort)
	}
	return nil
}

func (m *Memory) failure(op string, after bool) error {
	if m.InjectError == nil {
		return nil
	}
	return m.InjectError(op, after)
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
