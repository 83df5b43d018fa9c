package domain

import (
	"time"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
)

// forgetWorkerAfter is how long a worker may be missing from the platform's list before it is removed from the
// topology. A worker that restarts or is replaced is listed again well before.
const forgetWorkerAfter = time.Hour

// workerHistory remembers the workers that the platform has listed, so that a gang that needs a temporarily missing
// worker waits for it instead of being rejected as too large. It is not safe for concurrent use.
type workerHistory struct {
	// order holds the workers in their physical order.
	order   []ident.Worker
	workers map[ident.Worker]workerRecord
}

// workerRecord is a worker as the platform listed it last.
type workerRecord struct {
	worker   fleet.Worker
	listedAt time.Time
}

// merge records the listed workers and returns them together with those that have been missing for at most
// forgetWorkerAfter, which are marked as leaving.
func (h *workerHistory) merge(now time.Time, listed []fleet.Worker) []fleet.Worker {
	if h.workers == nil {
		h.workers = map[ident.Worker]workerRecord{}
	}
	for _, w := range listed {
		h.workers[w.Name] = workerRecord{worker: w, listedAt: now}
	}
	h.reorder(listed)
	merged := make([]fleet.Worker, 0, len(h.order))
	remaining := h.order[:0]
	for _, name := range h.order {
		record := h.workers[name]
		if now.Sub(record.listedAt) > forgetWorkerAfter {
			delete(h.workers, name)
			continue
		}
		if record.listedAt != now {
			record.worker.State = ident.Leaving
		}
		merged = append(merged, record.worker)
		remaining = append(remaining, name)
	}
	h.order = remaining
	return merged
}

// reorder puts the listed workers into the order of the list. A missing worker stays behind the listed worker that
// preceded it.
func (h *workerHistory) reorder(listed []fleet.Worker) {
	isListed := map[ident.Worker]bool{}
	for _, w := range listed {
		isListed[w.Name] = true
	}
	missingAfter := map[ident.Worker][]ident.Worker{}
	var previous ident.Worker
	for _, name := range h.order {
		if isListed[name] {
			previous = name
			continue
		}
		missingAfter[previous] = append(missingAfter[previous], name)
	}
	order := append([]ident.Worker(nil), missingAfter[""]...)
	for _, w := range listed {
		order = append(order, w.Name)
		order = append(order, missingAfter[w.Name]...)
	}
	h.order = order
}
