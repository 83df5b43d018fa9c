package object

import (
	"context"
	"slices"
	"strings"
	"sync"

	"github.com/sardineline/sardineline/sard/fault"
)

// Memory is a Store in memory for tests. Fail, when set, is asked before each call and again after it took effect.
type Memory struct {
	// InjectError returns the error to give instead of the result; nil for none.
	InjectError func(op string, after bool) error

	mu      sync.Mutex
	objects map[Key][]byte
}

var _ Store = (*Memory)(nil)

// Put writes a whole object.
func (m *Memory) Put(_ context.Context, key Key, body []byte) error {
	return m.change("put", func() {
		if m.objects == nil {
			m.objects = map[Key][]byte{}
		}
		m.objects[key] = slices.Clone(body)
	})
}

// Delete removes an object.
func (m *Memory) Delete(_ context.Context, key Key) error {
	return m.change("delete", func() { delete(m.objects, key) })
}

// Get reads a whole object.
func (m *Memory) Get(_ context.Context, key Key) ([]byte, error) {
	if err := m.failure("get", false); err != nil {
		return nil, err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	body, ok := m.objects[key]
	if !ok {
		return nil, fault.New(fault.NotFound, "get object", peerName, "no object %s", key)
	}
	return slices.Clone(body), nil
}

// List returns the objects whose keys start with prefix.
func (m *Memory) List(_ context.Context, prefix Key) ([]Info, error) {
	if err := m.failure("list", false); err != nil {
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

func (m *Memory) change(op string, apply func()) error {
	if err := m.failure(op, false); err != nil {
		return err
	}
	m.mu.Lock()
	apply()
	m.mu.Unlock()
	return m.failure(op, true)
}

func (m *Memory) failure(op string, after bool) error {
	if m.InjectError == nil {
		return nil
	}
	return m.InjectError(op, after)
}
