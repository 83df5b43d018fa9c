package sched

import (
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/work"
)

// silentLimit is how long a worker may be silent before it gets nothing new.
const silentLimit = 1500 * time.Millisecond

// session is what the scheduler knows of a worker process and its lease.
type session struct {
	entry  ListedWorker
	client WorkerClient
	// listed tells that the platform's list names the worker.
	listed bool
	// fenced tells that the worker has answered under this epoch.
	fenced bool
	// clock was read by the worker before clockAt.
	clock   WorkerClock
	clockAt clock.Instant
	// deadline is the latest that was ever sent.
	deadline WorkerClock
	// lapse is when everything on the worker is surely gone unless its lease is extended.
	lapse clock.Instant
	// holding tells that a hold is under way; due is when the next may be sent.
	holding bool
	due     clock.Instant
	// unanswered tells that the last order with a deadline got no answer.
	unanswered bool
	answered   clock.Instant
	// seen is the last end taken in, and confirmed the last one whose consequences are recorded.
	seen, confirmed EndSequence
	// acknowledged is the last confirmed end that the worker has forgotten.
	acknowledged EndSequence
	lost         bool
	// orders are the attempts that were ordered to start or stop here.
	orders map[work.Attempt]*order
	// unaccounted is how many attempts the worker runs that are not accounted for.
	unaccounted int
}

func (w *session) id() ident.Worker {
	return w.entry.WorkerProcess.Worker
}

// now returns the earliest that the worker's clock can show now; 0 when it is not known.
func (w *session) now() WorkerClock {
	if w.clock == 0 {
		return 0
	}
	passed := clock.Since(w.clockAt) * (100 - workerClockSlow) / 100
	return w.clock + WorkerClock(passed.Milliseconds())
}

// extend returns the deadline for an order, and notes it.
func (w *session) extend(lease time.Duration) WorkerClock {
	now := w.now()
	if now == 0 {
		return 0
	}
	if w.unanswered {
		// An order that may not have arrived must not move the end of the lease.
		return w.deadline
	}
	w.deadline = max(w.deadline, now+WorkerClock(lease.Milliseconds()))
	left := time.Duration(w.deadline-now) * time.Millisecond
	w.lapse = max(w.lapse, clock.Now().Add(left*100/(100-workerClockSlow)+lapseMargin))
	return w.deadline
}

// read notes the worker's clock from an answer.
func (w *session) read(reply Reply) {
	if reply.Clock == 0 {
		return
	}
	w.clock, w.clockAt = reply.Clock, clock.Now()
	w.answered = w.clockAt
	w.unanswered = false
}

// listed takes an entry of the platform's list in.
func (s *Scheduler) listed(entry ListedWorker) {
	id := entry.WorkerProcess.Worker
	w := s.sessions[id]
	// The list lags: the records or the worker itself may have told of a later process.
	entry.StartedMs = max(entry.StartedMs, s.newest[id])
	if w != nil {
		entry.StartedMs = max(entry.StartedMs, w.entry.StartedMs)
	}
	if w == nil {
		w = s.newSession(entry)
		s.sessions[id] = w
		defer s.adopt()
		s.config.Logger.Debug("worker listed", "worker", id, "address", entry.Address, "rack", entry.Rack)
	}
	if w.client == nil || w.entry.Address != entry.Address {
		w.client = s.config.NewClient(entry)
	}
	if w.entry.WorkerProcess != entry.WorkerProcess {
		s.reborn(w, entry.WorkerProcess)
	}
	if entry.Leaving {
		entry.AvailableUntil = time.Now().Add(entry.LeavesAfter)
	}
	w.entry, w.listed = entry, true
	s.engine.SetWorker(s.view(w))
}

// newSession makes a session with a worker process of which nothing is known but its entry.
func (s *Scheduler) newSession(entry ListedWorker) *session {
	now := clock.Now()
	lapse := max(s.inherited(), now.Add(s.leaseEnd()))
	return &session{entry: entry, answered: now, lapse: lapse, orders: map[work.Attempt]*order{}}
}

// inherited is when the leases that an earlier holder gave have surely lapsed.
func (s *Scheduler) inherited() clock.Instant {
	return s.started.Add(leaseGrace + s.leaseEnd())
}

// leaseEnd is how long after its grant a worker's lease has surely lapsed.
func (s *Scheduler) leaseEnd() time.Duration {
	return s.config.WorkerLease*100/(100-workerClockSlow) + lapseMargin
}

// reborn starts a session anew with another process of the worker. All that ran on the former one is lost, but for
// attempts that the new one has shown, and those whose start is under way and may have reached the new one.
func (s *Scheduler) reborn(w *session, life work.WorkerProcess, shown ...work.Attempt) {
	s.config.Logger.Info("worker started again", "worker", life.Worker, "born", life.StartedMs, "was", w.entry.StartedMs)
	kept := map[work.Attempt]*order{}
	for _, a := range shown {
		if o := w.orders[a]; o != nil {
			kept[a] = o
		}
	}
	for a, o := range w.orders {
		if o.starting {
			kept[a] = o
		}
	}
	entry := w.entry
	entry.WorkerProcess = life
	client, listed := w.client, w.listed
	*w = *s.newSession(entry)
	w.client, w.listed, w.orders = client, listed, kept
	s.engine.WorkerRestarted(life, func(a work.Attempt) bool { return kept[a] != nil }, time.Now())
}

// unlisted notes that the platform's list does not name a worker any more. What runs there may run on.
func (s *Scheduler) unlisted(id string) {
	w := s.sessions[ident.Worker(id)]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	s.engine.DropWorker(w.id())
	s.config.Logger.Info("worker not listed any more", "worker", id)
}

// view returns the worker as the engine is to see it.
func (s *Scheduler) view(w *session) pool.Worker {
	v := w.entry.Worker
	v.Accepting = v.Accepting && w.listed && w.fenced && w.unaccounted == 0 && !w.silent()
	return v
}

// silent tells that the worker has not answered for too long.
func (w *session) silent() bool {
	return w.unanswered && clock.Since(w.answered) > silentLimit
}
