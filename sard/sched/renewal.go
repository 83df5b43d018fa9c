package sched

import (
	"context"
	"errors"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// renewalWait is how long a worker may delay its response to a lease renewal until an attempt ends, so that the
	// scheduler learns of the end at once.
	renewalWait = time.Second
	// longRenewalWait replaces renewalWait if there are more than workersPerCore workers for each core of the instance.
	longRenewalWait = 2 * time.Second
	// workersPerCore is the number of workers per core above which longRenewalWait applies.
	workersPerCore = 500
	// renewalMargin is how much longer the timeout of a lease renewal is than the time by which the worker may
	// delay its response.
	renewalMargin = 700 * time.Millisecond
	// slowRenewalMargin replaces renewalMargin for a worker with parts whose last response took longer, if its lease lasts
	// that long.
	slowRenewalMargin = 2 * time.Second
	// renewalRetryPause is the pause after a lease renewal that failed or was refused.
	renewalRetryPause = 250 * time.Millisecond
	// unconfirmedPause is the pause between lease renewals of a worker while the consequences of reported ends of
	// attempts are not recorded in the store yet.
	unconfirmedPause = 500 * time.Millisecond
	// renewalScanPeriod is the time between checks whether the renewal of any worker's lease is due.
	renewalScanPeriod = 20 * time.Millisecond
	// unexpectedPause is the pause between lease renewals of a worker while it runs attempts that the engine does
	// not expect on it.
	unexpectedPause = 200 * time.Millisecond
)

// renewLeases sends the renewals of worker leases that are due. It looks at all sessions once per renewalScanPeriod, and
// in between at those whose renewal has become due by an event.
func (s *Scheduler) renewLeases(ctx context.Context) {
	if s.lease.LapsedFor() > leaseGrace {
		return
	}
	now := clock.Now()
	if now.Before(s.nextRenewalScan) {
		for _, w := range s.renewalDue {
			s.renewLease(ctx, w, now)
		}
	} else {
		s.nextRenewalScan = now.Add(renewalScanPeriod)
		for _, w := range s.sessions {
			s.renewLease(ctx, w, now)
		}
	}
	s.renewalDue = s.renewalDue[:0]
}

// renewLease sends the renewal of a worker's lease if it is due.
func (s *Scheduler) renewLease(ctx context.Context, w *session, now clock.Instant) {
	if w.renewing || now.Before(w.nextRenewal) || w.client == nil {
		return
	}
	busy := s.engine.ProcessBusy(w.entry.WorkerProcess)
	if !busy && w.departed(now) {
		return
	}
	if w.fenced && !busy && len(w.strays) == 0 && w.confirmedEnd == w.ackedEnd && !w.unanswered && w.refusedSince == clock.Never && !w.lost {
		return
	}
	if w.awaitsStartBeforeAck() {
		return
	}
	if !w.fenced && !s.raiseAbove(w, w.formerEpoch) {
		return
	}
	s.sendRenewal(ctx, w, busy)
}

// departed reports whether the worker has left the platform's list and no longer responds, so that all attempts on it have
// certainly ended. Its lease is renewed again once it is listed again.
func (w *session) departed(now clock.Instant) bool {
	return !w.listed && (w.ended() || w.expired(now))
}

// renewSoon makes the next renewal of a worker's lease due now.
func (s *Scheduler) renewSoon(w *session) {
	w.nextRenewal = 0
	s.renewalDue = append(s.renewalDue, w)
}

// maxRenewalWait returns how long a worker may delay its response to a lease renewal until an attempt ends. It is
// longer if there are many workers for the instance's processor time, and shorter for a worker whose tails must be watched.
func (s *Scheduler) maxRenewalWait(w *session) time.Duration {
	if w.sharing.shared {
		return s.harmLimit() / reportsPerHarm
	}
	if float64(len(s.sessions)) > workersPerCore*s.config.Cores {
		return longRenewalWait
	}
	return renewalWait
}

// sendRenewal sends a lease renewal in the background. It extends the lease if the worker is busy or has not been
// contacted yet, unless the last renewal got no report or the worker disobeys.
func (s *Scheduler) sendRenewal(ctx context.Context, w *session, busy bool) {
	req := RenewLeaseRequest{Worker: w.entry.WorkerProcess, Epoch: w.epoch}
	if w.ackDue() && w.mayAcknowledge() {
		req.AckedEnd = w.confirmedEnd
		w.acknowledging = true
	}
	if (busy || !w.fenced) && !w.unreported() && !w.disobeys() {
		req.Deadline = s.extendLease(w)
	}
	// A renewal that waits acknowledges no ends, because it may reach a later process of the worker, whose end
	// sequence starts again from 1.
	if busy && w.fenced && w.seenEnd == w.ackedEnd && !w.unanswered && w.refusedSince == clock.Never && !w.slow && !w.awaitsReport() {
		req.MaxWait = s.maxRenewalWait(w)
	}
	timeout := req.MaxWait + w.renewalMargin(busy)
	w.renewing = true
	client, process := w.client, w.entry.WorkerProcess
	sentAt := clock.Now()
	s.runAsync(ctx, func() event {
		ctx, cancel := s.stalls.WithTimeout(ctx, timeout)
		defer cancel()
		report, err := client.RenewLease(ctx, req)
		return renewalResult{process: process, epoch: req.Epoch, sentAt: sentAt, ackedEnd: req.AckedEnd, report: report, timedOut: ctx.Err() != nil, err: err}
	})
}

// awaitsReport reports whether no lease renewal that was sent after the confirmation of a stop has brought a report. If the
// attempt never ran, no end makes the worker report.
func (w *session) awaitsReport() bool {
	for _, state := range w.attempts {
		if state.stopConfirmed != clock.Never && !state.stopConfirmed.Before(w.reportSentAt) {
			return true
		}
	}
	return false
}

// renewalMargin returns how much longer the timeout of a lease renewal is than the time by which the worker may delay its
// response. A worker that is only slow must not lose its parts; one without parts, or whose lease is about to expire, is
// given up sooner.
func (w *session) renewalMargin(busy bool) time.Duration {
	if !w.slow || !busy {
		return renewalMargin
	}
	return min(max(w.leaseExpiry.Sub(clock.Now()), renewalMargin), slowRenewalMargin)
}

// handleRenewal processes the result of a lease renewal, which normally is a report of the worker's attempts.
func (s *Scheduler) handleRenewal(ev renewalResult) {
	w := s.sessions[ev.process.Worker]
	if w == nil || w.entry.WorkerProcess != ev.process {
		return
	}
	w.renewing, w.acknowledging = false, false
	defer s.commands.makeReadyIfIdle(w)
	w.slow = ev.timedOut || w.slow && clock.Since(ev.sentAt) > renewalMargin
	if ev.err != nil {
		s.renewalFailed(w, ev)
		return
	}
	w.ackedEnd = max(w.ackedEnd, ev.ackedEnd)
	if startedMs := ev.report.StartedMs; startedMs != 0 && startedMs != ev.process.StartedMs {
		s.replaceProcess(w, work.WorkerProcess{Worker: ev.process.Worker, StartedMs: startedMs}, ev.report.attempts()...)
	}
	first := !w.fenced && ev.epoch > w.formerEpoch
	w.fenced, w.lost = w.fenced || first, false
	w.recordReply(ev.report.Reply)
	w.lastReport, w.reportSentAt, w.failedAt, w.failureUndated = clock.Now(), ev.sentAt, clock.Never, false
	w.otherAnswered, w.refusedSince = false, clock.Never
	w.recordAlive(w.entry.WorkerProcess, ev.report.Clock)
	w.unresolved = w.unresolved || first
	if w.unresolved && !ev.report.EndsOmitted {
		s.countUnseenCrashes(w, ev.report.attempts())
	}
	s.handleEnded(w, ev.report)
	s.handleRunning(w, ev.report)
	s.handleMissing(w, ev)
	s.regulate(w, &ev.report)
	switch {
	case !w.fenced:
		s.renewSoon(w)
	case w.seenEnd > w.confirmedEnd:
		w.nextRenewal = clock.Now().Add(unconfirmedPause)
	case len(w.strays) > 0:
		w.nextRenewal = clock.Now().Add(unexpectedPause)
	case w.ackDue() && !w.mayAcknowledge() || w.awaitsReport():
		w.nextRenewal = clock.Now().Add(ackRetryPause)
	default:
		s.renewSoon(w)
	}
	s.engine.SetWorker(s.engineView(w))
}

// renewalFailed handles a renewal that was refused or got no response.
func (s *Scheduler) renewalFailed(w *session, ev renewalResult) {
	var refusal *RefusalError
	if errors.As(ev.err, &refusal) {
		s.renewalRefused(w, refusal, ev.epoch)
		return
	}
	if !w.unanswered {
		s.config.Logger.Warn("worker does not answer", "worker", w.id(), "answered_ago_ms", clock.Since(w.lastAnswer).Milliseconds(), "error", ev.err)
	}
	undelivered := !ev.timedOut && fault.Is(ev.err, fault.Unavailable)
	if !undelivered {
		w.openEpoch = max(w.openEpoch, ev.epoch)
	}
	if !ev.timedOut {
		s.fencer.hurry(w.id())
	}
	w.recordFailure(ev.timedOut || undelivered)
	w.nextRenewal = clock.Now().Add(renewalRetryPause)
	s.engine.SetWorker(s.engineView(w))
}

// renewalRefused handles the refusal of a lease renewal.
func (s *Scheduler) renewalRefused(w *session, refusal *RefusalError, epoch ident.Epoch) {
	s.config.Logger.Warn("worker refused lease renewal", "worker", w.id(), "cause", refusal.Cause.String())
	switch refusal.Cause {
	case Superseded:
		if !s.superseded(w, epoch) {
			// A fencing renewal with a higher epoch has overtaken the renewal.
			s.renewSoon(w)
			return
		}
	case OtherLife:
		s.otherLifeResponded(w, refusal.Reply.StartedMs)
	default:
		s.reportRefused(w)
	}
	w.nextRenewal = clock.Now().Add(renewalRetryPause)
}

// reportRefused records that a worker runs but refuses to tell what runs on it. Its parts go on until their lease expires, as
// those of a silent worker.
func (s *Scheduler) reportRefused(w *session) {
	if w.refusedSince == clock.Never {
		w.refusedSince = clock.Now()
	}
	s.engine.SetWorker(s.engineView(w))
}

// otherLifeResponded handles a response of another worker process at a worker's address, which started at startedMs if that
// isn't 0. If it does not tell that it is a later process of the worker, the worker itself has not responded.
func (s *Scheduler) otherLifeResponded(w *session, startedMs int64) {
	if startedMs != 0 && startedMs != w.entry.StartedMs {
		s.replaceProcess(w, work.WorkerProcess{Worker: w.id(), StartedMs: startedMs})
	} else {
		w.recordFailure(true)
		w.otherAnswered = true
		s.countCrashIfReplaced(w)
	}
	s.engine.SetWorker(s.engineView(w))
}

// handleEnded passes the ended attempts of a worker's report to the engine, unless an earlier report contained them.
func (s *Scheduler) handleEnded(w *session, report WorkerReport) {
	now := time.Now()
	seenBefore := w.seenEnd
	for _, end := range report.Ended {
		if end.Sequence <= seenBefore {
			continue
		}
		w.seenEnd = max(w.seenEnd, end.Sequence)
		w.unrecordedEnds = append(w.unrecordedEnds, recordedEnd{sequence: end.Sequence, job: end.Attempt.Part.Job})
		s.unconfirmed[w.id()] = w
		s.config.Metrics.attemptsEnded.WithLabelValues(end.Outcome.String()).Inc()
		s.config.Logger.Info("part ended", "part", end.Attempt.Part, "attempt", end.Attempt.Number, "worker", w.id(),
			"how", end.Outcome.String(), "end", end.Sequence)
		s.endAttempt(w, end, now)
		delete(w.attempts, end.Attempt)
	}
}

// endAttempt passes the end of an attempt to the engine. Work is done by whichever attempt has done it.
func (s *Scheduler) endAttempt(w *session, end EndedAttempt, now time.Time) {
	switch {
	case s.engine.MayRun(end.Attempt, w.id()):
		s.engine.AttemptEnded(end.Attempt, end.Outcome, end.Checkpoint, now)
	case end.Outcome == pool.Done && s.engine.StrayDone(end.Attempt):
		s.config.Logger.Warn("part done by a late run", "part", end.Attempt.Part, "attempt", end.Attempt.Number, "worker", w.id())
	}
}

// handleRunning passes the running attempts of a worker's report to the engine, and stops those that should not run.
func (s *Scheduler) handleRunning(w *session, report WorkerReport) {
	now := time.Now()
	s.updateStrays(w, report)
	for _, r := range report.Running {
		if state := w.attempts[r.Attempt]; state != nil {
			state.listedAt = clock.Now()
			state.processUnknown = state.processUnknown && state.startInFlight
			if state.startsSent > 0 {
				s.confirmStart(w, state, r.Attempt, confirmation{startedMs: w.entry.StartedMs})
			}
		}
		s.recordSurvival(w, r.Attempt)
		if s.engine.ShouldRun(r.Attempt, w.id()) {
			s.engine.AttemptRunning(r.Attempt, r.Percent, r.Checkpoint, now)
			s.jobBegan(r.Attempt.Part.Job)
			continue
		}
		s.stopUnexpected(w, r.Attempt)
	}
}
