package object

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/sardineline/sardineline/sard/fault"
)

// Memory is an in-memory Store for tests. The zero value is an empty store.
type Memory struct {
	// InjectError, if set, is called before each operation, and again with applied set after a change took effect. An
	// error that it returns replaces the result of the operation.
	InjectError func(op string, applied bool) error

	mu      sync.Mutex
	objects map[Key][]byte
}

var _ Store = (*Memory)(nil)

// Put writes an object, replacing an existing one.
func (m *Memory) Put(_ context.Context, key Key, body []byte) error {
	return m.mutate("put", func() {
		if m.objects == nil {
			m.objects = map[Key][]byte{}
		}
		m.objects[key] = slices.Clone(body)
	})
}

// Delete removes an object. Removing an object that does not exist succeeds.
func (m *Memory) Delete(_ context.Context, key Key) error {
	return m.mutate("delete", func() { delete(m.objects, key) })
}

// Get returns the content of an object.
func (m *Memory) Get(_ context.Context, key Key) ([]byte, error) {
	if err := m.injectedError("get", false); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	body, ok := m.objects[key]
	if !ok {
		return nil, fault.New(fault.NotFound, "get object", serviceName, "object %q does not exist", key)
	}
	return slices.Clone(body), nil
}

// List returns the objects whose keys start with prefix, sorted by key.
func (m *Memory) List(_ context.Context, prefix Key) ([]Info, error) {
	if err := m.injectedError("list", false); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var entries []Info
	for key, body := range m.objects {
		if strings.HasPrefix(string(key), string(prefix)) {
			entries = append(entries, Info{Key: key, Size: int64(len(body))})
		}
	}
	slices.SortFunc(entries, func(a, b Info) int { return strings.Compare(string(a.Key), string(b.Key)) })
	return entries, nil
}

func (m *Memory) mutate(op string, apply func()) error {
	if err := m.injectedError(op, false); err != nil {
		return err
	}
	m.mu.Lock()
	apply()
	m.mu.Unlock()
	return m.injectedError(op, true)
}

func (m *Memory) injectedError(op string, applied bool) error {
	if m.InjectError == nil {
		return nil
	}
	return m.InjectError(op, applied)
}
