package sched

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/work"
)

// silentLimit is how long a worker may leave requests without a response before it gets no new parts.
const silentLimit = 1500 * time.Millisecond

// maxFormerStarts is how many start times of former processes of a worker are kept. Its list entry lags behind by a few
// processes at most.
const maxFormerStarts = 16

// session is what the scheduler knows about a worker process, its lease and its attempts.
type session struct {
	entry  ListedWorker
	client WorkerClient
	// formerStartsMs holds the start times of the latest former processes of the worker, at most maxFormerStarts.
	formerStartsMs []int64
	// listed indicates that the platform's list contains the worker.
	listed bool
	// formerEntry indicates that entry describes a former process of the worker, whose labels the current one need not have: it
	// has responded before the list names it.
	formerEntry bool
	// successor is the session with a later worker on the same host, or nil.
	successor *session
	// epoch is that of the requests to the worker process, and formerEpoch the highest one of requests to a former process,
	// or 0.
	epoch, formerEpoch ident.Epoch
	// fenced indicates that the worker has responded under this epoch, so it refuses requests of earlier epochs.
	fenced bool
	// clock is the last time reported by the worker's clock. It was received at clockReadAt, so it was read before.
	clock       WorkerClock
	clockReadAt clock.Instant
	// deadline is the latest deadline of the worker's lease that was sent to it, on its own clock.
	deadline WorkerClock
	// leaseExpiry is when all attempts on the worker process have certainly ended, unless its lease is extended.
	leaseExpiry clock.Instant
	// nextProcessExpiry is the same for a later process of the worker, which the requests may have reached. Its clock is
	// not known, so that it may grant the longest lease.
	nextProcessExpiry clock.Instant
	// renewing indicates that a lease renewal is in flight; nextRenewal is when the next one may be sent.
	renewing    bool
	nextRenewal clock.Instant
	// acknowledging indicates that an acknowledgement of ends is in flight, and ackDueSince is since when one is due.
	acknowledging bool
	ackDueSince   clock.Instant
	// ackWaitLogged indicates that a line tells how long an acknowledgement has been due.
	ackWaitLogged bool
	// unanswered indicates that the last lease renewal got no response, and no other request got one since.
	unanswered bool
	lastAnswer clock.Instant
	// refusedSince is since when the worker has refused all lease renewals; Never if it has responded to the last one.
	refusedSince clock.Instant
	// slow indicates that the last lease renewal timed out, or took longer than renewalMargin after one that did.
	slow bool
	// unresolved indicates that no report under this epoch has told yet of all attempts of earlier epochs.
	unresolved bool
	// lastReport is when the worker process last sent a report.
	lastReport clock.Instant
	// reportSentAt is when the lease renewal was sent that brought the last report.
	reportSentAt clock.Instant
	// seenEnd is the last end of an attempt that was processed, and confirmedEnd the last one whose consequences
	// are recorded in the store.
	seenEnd, confirmedEnd EndSequence
	// unrecordedEnds holds the processed ends after confirmedEnd.
	unrecordedEnds []recordedEnd
	// ackedEnd is the last end whose acknowledgement the worker has received. It has discarded the ends up to
	// there.
	ackedEnd EndSequence
	// lost indicates that the attempts on the worker were counted as lost, and that it has not responded since.
	lost bool
	// failedAt is when the first lease renewal after lastReport failed, or Never.
	failedAt clock.Instant
	// failureUndated indicates that this renewal timed out or found no process, so that it does not show when the worker
	// stopped responding.
	failureUndated bool
	// aliveAt is the latest time on the worker's clock in a report or in the response to a start.
	aliveAt WorkerClock
	// otherAnswered indicates that another process has refused the last lease renewal, and crashCounted that the crash of
	// this process was counted.
	otherAnswered, crashCounted bool
	// openEpoch is the highest epoch of requests that got no response, which the worker may execute late; 0 if there are none.
	openEpoch ident.Epoch
	// attempts holds the attempts that were requested to start or stop on the worker.
	attempts map[work.Attempt]*attemptState
	// commands holds the queued commands by class, and flight the active one.
	commands [classCount][]command
	flight   *flight
	// strays holds the running attempts that the engine does not account for on this worker, as of its last report, and whether the
	// engine knows of them.
	strays map[work.Attempt]bool
	// sharing is what is known of the parts that fill there.
	sharing sharing
	// suspendedUntil is until when a refused or undelivered start keeps new parts away.
	suspendedUntil clock.Instant
	// bar is why the worker gets no new parts.
	bar wait[barReason]
}

// id returns the name of the worker.
func (w *session) id() ident.Worker {
	return w.entry.WorkerProcess.Worker
}

// workerNow returns a lower bound of the current time on the worker's clock, or 0 if it is unknown.
func (w *session) workerNow() WorkerClock {
	if w.clock == 0 {
		return 0
	}
	elapsed := clock.Since(w.clockReadAt) * (100 - maxClockSlowPercent) / 100
	return w.clock + WorkerClock(elapsed.Milliseconds())
}

// extendLease returns the deadline of a worker's lease to send with a request, and updates when the lease expires. It
// extends nothing if the last renewal got no report, or if the worker disobeys. It returns 0 if the worker's clock is unknown.
func (s *Scheduler) extendLease(w *session) WorkerClock {
	now := w.workerNow()
	if now == 0 {
		return 0
	}
	w.nextProcessExpiry = clock.Now().Add(requestTimeout + s.maxLeaseDuration())
	if w.unreported() || w.disobeys() {
		// A request that may not have arrived must not change the expiry of the lease, and a worker that keeps a part that it
		// was to stop loses it with its lease.
		return w.deadline
	}
	w.deadline = max(w.deadline, now+WorkerClock(s.config.WorkerLease.Milliseconds()))
	// The deadline may be on the clock of a former process, which ran for longer.
	remaining := min(time.Duration(w.deadline-now)*time.Millisecond, s.config.MaxWorkerLease)
	w.leaseExpiry = max(w.leaseExpiry, clock.Now().Add(remaining*100/(100-maxClockSlowPercent)+expiryMargin))
	return w.deadline
}

// certainExpiry returns when all attempts on the worker have certainly ended, unless its lease is extended.
func (w *session) certainExpiry() clock.Instant {
	for _, state := range w.attempts {
		if state.processUnknown {
			return max(w.leaseExpiry, w.nextProcessExpiry)
		}
	}
	return w.leaseExpiry
}

// recordReply records that the worker responded, and the time on its clock.
func (w *session) recordReply(reply Reply) {
	if reply.Clock == 0 {
		return
	}
	w.clock, w.clockReadAt = reply.Clock, clock.Now()
	w.lastAnswer = w.clockReadAt
	w.unanswered = false
}

// recordFailure records that a lease renewal got no response of the worker.
func (w *session) recordFailure(undated bool) {
	w.unanswered = true
	if w.failedAt == clock.Never {
		w.failedAt, w.failureUndated = clock.Now(), undated
	}
}

// handleListed creates or updates the session with a worker from the worker's entry in the platform's list of workers,
// and passes the worker to the engine. If the entry names a later process of the worker, the session is reset for it.
func (s *Scheduler) handleListed(entry ListedWorker) {
	id := entry.WorkerProcess.Worker
	w := s.sessions[id]
	// The list may be stale: the progress records or the worker itself may have named a later process.
	listedMs := entry.StartedMs
	entry.StartedMs = max(entry.StartedMs, s.latestStartedMs[id])
	if w != nil {
		entry.StartedMs = w.latestStart(entry.StartedMs)
	}
	if w == nil {
		w = s.newSession(entry)
		s.sessions[id] = w
		s.recordHost(w)
		defer s.adoptPlacements()
		s.config.Logger.Debug("worker listed", "worker", id, "address", entry.Address, "rack", entry.Rack)
	}
	if w.client == nil || w.entry.Address != entry.Address {
		w.client = s.config.NewClient(entry)
		s.fencer.move(id, entry.Address, w.client)
	}
	if w.entry.WorkerProcess != entry.WorkerProcess {
		s.replaceProcess(w, entry.WorkerProcess)
	}
	if entry.Leaving {
		entry.AvailableUntil = time.Now().Add(entry.LeavesAfter)
	}
	w.entry, w.listed, w.formerEntry = entry, true, listedMs != entry.StartedMs
	s.engine.SetWorker(s.engineView(w))
}

// latestStart returns the later of the start times of the worker's current process and of one that the list names. The list
// never names a former process again but by a stale entry, even if the worker's clock was set back between their starts.
func (w *session) latestStart(listedMs int64) int64 {
	if slices.Contains(w.formerStartsMs, listedMs) {
		return w.entry.StartedMs
	}
	return max(w.entry.StartedMs, listedMs)
}

// newSession returns a session with a worker process of which nothing but its list entry is known. It assumes the
// latest possible expiry of a lease that the process may hold.
func (s *Scheduler) newSession(entry ListedWorker) *session {
	now := clock.Now()
	expiry := max(s.inheritedLeaseExpiry(), now.Add(s.maxLeaseDuration()))
	return &session{
		entry: entry, epoch: s.lease.Epoch(), lastAnswer: now, leaseExpiry: expiry, attempts: map[work.Attempt]*attemptState{},
	}
}

// inheritedLeaseExpiry returns when the worker leases that an earlier holder of the scheduler lease granted have
// certainly expired.
func (s *Scheduler) inheritedLeaseExpiry() clock.Instant {
	return s.started.Add(leaseGrace + s.maxLeaseDuration())
}

// maxLeaseDuration returns the time after which a worker lease that is not extended has certainly expired, whatever
// deadline was requested and even if the worker's clock runs slow.
func (s *Scheduler) maxLeaseDuration() time.Duration {
	return s.config.MaxWorkerLease*100/(100-maxClockSlowPercent) + expiryMargin
}

// replaceProcess resets the session for another process of the same worker. Attempts on the former process are lost,
// except for those that the new process has reported and those whose start request may have reached it. The next report
// tells of the latter.
func (s *Scheduler) replaceProcess(w *session, process work.WorkerProcess, reported ...work.Attempt) {
	if process.StartedMs > w.entry.StartedMs {
		s.countCrash(w, reported)
	}
	s.endStrays(w)
	kept := map[work.Attempt]*attemptState{}
	for a, state := range w.attempts {
		if state.startInFlight || state.processUnknown || state.startOpen || slices.Contains(reported, a) {
			state.resetForProcess(s.config.MaxStopTime)
			kept[a] = state
		}
	}
	s.config.Logger.Info("worker started again", "worker", process.Worker, "born", process.StartedMs, "was", w.entry.StartedMs,
		"kept_attempts", len(kept), "lost_attempts", len(w.attempts)-len(kept))
	s.commands.discard(w, func(a work.Attempt) bool { return kept[a] != nil })
	entry := w.entry
	entry.WorkerProcess = process
	next := s.newSession(entry)
	next.formerEntry = true
	next.client, next.listed, next.attempts, next.commands = w.client, w.listed, kept, w.commands
	next.nextProcessExpiry = w.nextProcessExpiry
	next.epoch, next.formerEpoch = w.epoch, w.epoch
	next.bar, next.openEpoch = w.bar, w.openEpoch
	next.formerStartsMs = append(w.formerStartsMs[max(0, len(w.formerStartsMs)+1-maxFormerStarts):], w.entry.StartedMs)
	*w = *next
	s.engine.WorkerRestarted(process, func(a work.Attempt) bool { return kept[a] != nil }, time.Now())
	if w.listed {
		s.engine.SetWorker(s.engineView(w))
	}
}

// resetForProcess discards what is known of a kept attempt from the former process of its worker.
func (state *attemptState) resetForProcess(maxStopTime time.Duration) {
	if state.startOpen {
		state.startConfirmed = clock.Never
	}
	if state.stopDue != clock.Never {
		state.stopDue = clock.Now().Add(maxStopTime)
	}
	state.startQueued, state.processReplaced = false, true
	state.stopConfirmed, state.startBroken, state.listedAt, state.runningAt = clock.Never, clock.Never, clock.Never, 0
}

// handleUnlisted records that the platform's list of workers no longer contains a worker, so that it gets no new parts.
// Attempts on it keep running.
func (s *Scheduler) handleUnlisted(id string) {
	w := s.sessions[ident.Worker(id)]
	if w == nil || !w.listed {
		return
	}
	w.listed = false
	s.engine.DropWorker(w.id())
	s.config.Logger.Info("worker not listed any more", "worker", id)
	s.countCrashIfReplaced(w)
}

// engineView returns the worker as it is passed to the engine.
func (s *Scheduler) engineView(w *session) pool.Worker {
	view := w.entry.Worker
	if w.formerEntry {
		view.Labels = nil
	}
	view.Accepting = s.barred(w) == noBar
	return view
}

// suspendRefusing places no new parts for a while on a worker that has refused one.
func (s *Scheduler) suspendRefusing(w *session) {
	w.suspendedUntil = clock.Now().Add(unwellSuspension)
	s.engine.SuspendWorker(w.id(), time.Now(), unwellSuspension)
}

// suspendUnreached places no new parts for a while on a worker that a start did not reach.
func (s *Scheduler) suspendUnreached(w *session) {
	w.suspendedUntil = clock.Now().Add(unwellSuspension)
	s.engine.SuspendUnreached(w.id(), time.Now(), unwellSuspension)
}

// listedForStarts reports whether the worker is listed as accepting new parts, in a data centre that is not being evacuated.
func (s *Scheduler) listedForStarts(w *session) bool {
	return w.listed && w.entry.Accepting && !s.evacuated(w)
}

// silent reports whether the worker has left requests without a response, or refused to report, for longer than silentLimit.
func (w *session) silent() bool {
	return w.unanswered && clock.Since(w.lastAnswer) > silentLimit || w.refusesReports()
}

// refusesReports reports whether the worker has refused all lease renewals for longer than silentLimit. Nothing tells what
// runs on it.
func (w *session) refusesReports() bool {
	return w.refusedSince != clock.Never && clock.Since(w.refusedSince) > silentLimit
}

// unreported reports whether nothing tells what runs on the worker.
func (w *session) unreported() bool {
	return w.unanswered || w.refusesReports()
}

// disobeys reports whether the worker lists a part for longer than stopPatience after it should have stopped it.
func (w *session) disobeys() bool {
	for _, state := range w.attempts {
		if state.stopDue != clock.Never && state.listedAt.Sub(state.stopDue) > stopPatience {
			return true
		}
	}
	return false
}
