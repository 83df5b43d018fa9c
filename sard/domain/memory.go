package domain

import (
	"time"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
)

// goneAfter is how long a worker may be missing from the platform's list before it counts as gone for good. A worker
// that restarts or is replaced is back well before.
const goneAfter = time.Hour

// memory remembers the workers that the platform has listed, so that a gang which needs a worker that is missing for
// a while waits for it instead of being refused as too large. It is not safe for concurrent use.
type memory struct {
	// order has the workers in the order in which they stand.
	order []ident.Worker
	known map[ident.Worker]sighting
}

// sighting is a worker as it was listed last.
type sighting struct {
	worker fleet.Worker
	seen   time.Time
}

// merge takes a list in and returns it with the workers that are missing for less than goneAfter, as leaving.
func (m *memory) merge(now time.Time, listed []fleet.Worker) []fleet.Worker {
	if m.known == nil {
		m.known = map[ident.Worker]sighting{}
	}
	for _, w := range listed {
		m.known[w.Name] = sighting{worker: w, seen: now}
	}
	m.reorder(listed)
	merged := make([]fleet.Worker, 0, len(m.order))
	kept := m.order[:0]
	for _, name := range m.order {
		s := m.known[name]
		if now.Sub(s.seen) > goneAfter {
			delete(m.known, name)
			continue
		}
		if s.seen != now {
			s.worker.State = ident.Leaving
		}
		merged = append(merged, s.worker)
		kept = append(kept, name)
	}
	m.order = kept
	return merged
}

// reorder puts the listed workers into the order of the list. A missing worker keeps its place behind the worker
// that it stood behind.
func (m *memory) reorder(listed []fleet.Worker) {
	isListed := map[ident.Worker]bool{}
	for _, w := range listed {
		isListed[w.Name] = true
	}
	behind := map[ident.Worker][]ident.Worker{}
	var last ident.Worker
	for _, name := range m.order {
		if isListed[name] {
			last = name
			continue
		}
		behind[last] = append(behind[last], name)
	}
	order := append([]ident.Worker(nil), behind[""]...)
	for _, w := range listed {
		order = append(order, w.Name)
		order = append(order, behind[w.Name]...)
	}
	m.order = order
}
