package sched

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// The start list is a row of the store that names the workers which may execute a start late. The next holder of the scheduler
// lease reads it first and sends fencing renewals to them, also to those that the platform's list lacks. A start is sent only
// while the stored list names its worker, so that the list is complete whenever its writer is lost. It is written by the
// batches of the journal, which record the starts before they are sent.

// startListKey is the key of the start list.
var startListKey = store.Key{Table: work.JournalTable, Partition: work.MainPartition, Name: "starts"}

const (
	// maxStartListBytes limits the size of the start list. Starts on workers that do not fit in wait until others are settled.
	maxStartListBytes = 48 << 10
	// unsettledLateness is how long after the list was written a worker may execute a start that had no response yet.
	unsettledLateness = requestTimeout + maxOrderLateness
)

// listedStart is an entry of the start list: a worker that may execute a start late, for RemainingMs from the time at which the
// list was written. The reader counts from the time at which it reads it, which is later.
type listedStart struct {
	_           struct{} `cbor:",toarray"`
	Worker      ident.Worker
	Address     string
	RemainingMs int64
}

// maxSize returns an upper bound of the size of an encoded entry, in bytes.
func (e listedStart) maxSize() int {
	const headers = 20
	return headers + len(e.Worker) + len(e.Address)
}

// startList is what the scheduler knows of the start list.
type startList struct {
	// stored holds the entries of the stored list.
	stored map[ident.Worker]storedStart
	// unsettled holds the workers with starts that are decided, queued or in flight, and some others.
	unsettled map[ident.Worker]bool
	// held holds the queued starts that wait until they may be sent.
	held []heldStart
	// unlisted indicates that one of them waits for the list to name its worker.
	unlisted bool
}

// storedStart is an entry of the stored start list: how long the worker may execute a start late from the time at which the
// list is read, and until when, as far as this instance knows.
type storedStart struct {
	remaining time.Duration
	until     clock.Instant
}

// heldStart is a start that waits until it is sendable.
type heldStart struct {
	session *session
	start   pool.Start
}

// newStartList returns a startList without workers.
func newStartList() startList {
	return startList{stored: map[ident.Worker]storedStart{}, unsettled: map[ident.Worker]bool{}}
}

// names reports whether the stored list names a worker for as long as a start may be executed late that is sent now.
func (l *startList) names(worker ident.Worker) bool {
	return l.stored[worker].remaining >= unsettledLateness
}

// covers reports whether the stored list names the given workers, each for long enough, and no others.
func (l *startList) covers(workers []fenceTarget) bool {
	if len(workers) != len(l.stored) {
		return false
	}
	for _, t := range workers {
		if l.stored[t.worker].until.Before(t.until) {
			return false
		}
	}
	return true
}

// gains reports whether a held start may be sent once the given entries are stored.
func (l *startList) gains(entries map[ident.Worker]storedStart) bool {
	for _, h := range l.held {
		if entries[h.session.id()].remaining >= unsettledLateness {
			return true
		}
	}
	return false
}

// written takes over the start list of a batch that was written.
func (l *startList) written(b *batch) {
	if b.listed != nil {
		l.stored = b.listed
	}
}

// unsettledStarts reports whether the worker has starts that are decided, queued or in flight.
func (w *session) unsettledStarts() bool {
	for _, state := range w.attempts {
		if state.unrecorded || state.startQueued || state.startInFlight {
			return true
		}
	}
	return false
}

// mayExecuteLate returns the workers that may execute a start late from now on. Those with open starts come first, as that is over sooner
// than for starts that have no response yet.
func (s *Scheduler) mayExecuteLate(now clock.Instant) []fenceTarget {
	byWorker := map[ident.Worker]fenceTarget{}
	for _, t := range s.fencer.current() {
		byWorker[t.worker] = t
	}
	until := now.Add(unsettledLateness)
	for id := range s.starts.unsettled {
		w := s.sessions[id]
		if w == nil || !w.unsettledStarts() {
			delete(s.starts.unsettled, id)
			continue
		}
		byWorker[id] = fenceTarget{worker: id, address: w.entry.Address, until: until}
	}
	return slices.SortedFunc(maps.Values(byWorker), func(a, b fenceTarget) int {
		return cmp.Or(cmp.Compare(a.until, b.until), cmp.Compare(a.worker, b.worker))
	})
}

// addStartList adds the start list to a batch, unless the stored one serves as well.
func (s *Scheduler) addStartList(b *batch) {
	now := clock.Now()
	workers := s.mayExecuteLate(now)
	if s.starts.covers(workers) {
		return
	}
	var entries []listedStart
	listed := map[ident.Worker]storedStart{}
	size := 0
	for _, t := range workers {
		remaining := t.until.Sub(now)
		entry := listedStart{Worker: t.worker, Address: t.address, RemainingMs: remaining.Milliseconds()}
		if size += entry.maxSize(); size > maxStartListBytes {
			break
		}
		entries = append(entries, entry)
		listed[t.worker] = storedStart{remaining: remaining, until: t.until}
	}
	value, err := work.Encode(entries)
	if err != nil {
		s.config.Logger.Error("start list not encoded, starts wait", "error", err)
		return
	}
	b.listed = listed
	b.tx.Put = append(b.tx.Put, store.Put{Key: startListKey, Value: value})
}

// sendable reports whether a start may be sent to a worker: the start list names it, it can carry a higher epoch than all requests
// that may be executed late, and there is a still higher one to fence it with should it get no response, even if the scheduler
// lease can't be renewed from now on.
func (s *Scheduler) sendable(w *session) bool {
	listed := s.starts.names(w.id())
	s.starts.unlisted = s.starts.unlisted || !listed
	return listed && s.raiseAbove(w, w.openEpoch) && w.epoch < s.lease.LatestEpoch()
}

// hold lets a queued start wait until it may be sent.
func (l *startList) hold(w *session, start pool.Start) {
	l.held = append(l.held, heldStart{session: w, start: start})
}

// releaseHeldStarts queues the held starts again that may be sent now.
func (s *Scheduler) releaseHeldStarts() {
	held := s.starts.held
	s.starts.held, s.starts.unlisted = nil, false
	for _, h := range held {
		if state := h.session.attempts[h.start.Attempt]; state == nil || !state.startQueued {
			continue
		}
		if !s.sendable(h.session) {
			s.starts.hold(h.session, h.start)
			continue
		}
		s.commands.add(h.session, startClassOf(h.start), startCommand{start: h.start})
	}
}

// inheritStarts takes over the start list of earlier holders of the scheduler lease, and fences the workers that it names.
func (s *Scheduler) inheritStarts(rows []store.Row) {
	for _, row := range rows {
		if row.Key != startListKey {
			continue
		}
		var entries []listedStart
		if err := work.Decode(row.Value, &entries); err != nil {
			s.config.Logger.Error("start list not decoded, ignored", "error", err)
			return
		}
		for _, entry := range entries {
			s.inheritStart(entry)
		}
		s.config.Logger.Info("open starts taken over", "epoch", s.lease.Epoch(), "workers", len(entries))
	}
}

// inheritStart takes over an entry of the start list of earlier holders of the scheduler lease, and fences its worker.
func (s *Scheduler) inheritStart(entry listedStart) {
	remaining := min(time.Duration(entry.RemainingMs)*time.Millisecond, unsettledLateness)
	stored := storedStart{remaining: remaining, until: clock.Now().Add(remaining)}
	s.starts.stored[entry.Worker] = stored
	listed := ListedWorker{Address: entry.Address}
	listed.WorkerProcess.Worker = entry.Worker
	s.fencer.add(fenceTarget{
		worker: entry.Worker, address: entry.Address, client: s.config.NewClient(listed), epoch: s.lease.Epoch(), until: stored.until,
	})
}
