package sched

import (
	"context"
	"errors"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// holdWait is how long a hold waits for an end at the worker, and longHoldWait beyond manyWorkers.
	holdWait     = time.Second
	longHoldWait = 2 * time.Second
	manyWorkers  = 500
	// holdSlack is added to the wait of a hold to bound the call.
	holdSlack = 700 * time.Millisecond
	// holdRetry lies between a failed hold and the next.
	holdRetry = 250 * time.Millisecond
	// unseenPause lies between holds while ends wait for their record.
	unseenPause = 500 * time.Millisecond
	// unaccountedPause lies between holds while a worker runs what is not accounted for.
	unaccountedPause = 200 * time.Millisecond
)

// hold sends the holds that are due.
func (s *Scheduler) hold(ctx context.Context) {
	lapsed := s.lease.LapsedFor()
	if lapsed > leaseGrace {
		return
	}
	now := clock.Now()
	for _, w := range s.sessions {
		if w.holding || now.Before(w.due) || w.client == nil {
			continue
		}
		busy := s.engine.ProcessBusy(w.entry.WorkerProcess)
		if w.fenced && !busy && w.unaccounted == 0 && w.confirmed == w.acknowledged && !w.unanswered {
			continue
		}
		s.sendHold(ctx, w, busy)
	}
}

// holdWait is how long a hold waits for an end; longer where there are many workers to hold.
func (s *Scheduler) holdWait() time.Duration {
	if len(s.sessions) > manyWorkers {
		return longHoldWait
	}
	return holdWait
}

func (s *Scheduler) sendHold(ctx context.Context, w *session, busy bool) {
	order := RenewLeaseRequest{Worker: w.entry.WorkerProcess, Epoch: s.lease.Epoch()}
	if w.confirmed > w.acknowledged {
		order.AckedEnd = w.confirmed
	}
	if busy || !w.fenced {
		order.Deadline = w.extend(s.config.WorkerLease)
	}
	// A hold that waits tells no ends: it may reach a later process of the worker, whose ends have low numbers.
	if busy && w.fenced && w.seen == w.acknowledged && !w.unanswered {
		order.MaxWait = s.holdWait()
	}
	w.holding = true
	client, life := w.client, w.entry.WorkerProcess
	sent := clock.Now()
	s.start(ctx, func() event {
		ctx, cancel := context.WithTimeout(ctx, order.MaxWait+holdSlack)
		defer cancel()
		report, err := client.RenewLease(ctx, order)
		return holdAnswered{life: life, sent: sent, seen: order.AckedEnd, report: report, err: err}
	})
}

// holdAnswered takes the answer of a worker in.
func (s *Scheduler) holdAnswered(ctx context.Context, ev holdAnswered) {
	w := s.sessions[ev.life.Worker]
	if w == nil || w.entry.WorkerProcess != ev.life {
		return
	}
	w.holding = false
	if ev.err != nil {
		s.holdFailed(w, ev.err)
		return
	}
	w.acknowledged = max(w.acknowledged, ev.seen)
	if born := ev.report.StartedMs; born != 0 && born != ev.life.StartedMs {
		s.reborn(w, work.WorkerProcess{Worker: ev.life.Worker, StartedMs: born}, ev.report.attempts()...)
	}
	first := !w.fenced
	w.fenced, w.lost = true, false
	w.read(ev.report.Reply)
	s.ends(w, ev.report)
	s.runs(ctx, w, ev.report)
	s.missing(ctx, w, ev, first)
	w.due = clock.Now()
	switch {
	case w.seen > w.confirmed:
		w.due = w.due.Add(unseenPause)
	case w.unaccounted > 0:
		w.due = w.due.Add(unaccountedPause)
	}
	s.engine.SetWorker(s.view(w))
}

// holdFailed notes a hold without an answer, or a refusal.
func (s *Scheduler) holdFailed(w *session, err error) {
	var refusal *RefusalError
	if errors.As(err, &refusal) {
		s.refusedHold(w, refusal)
		return
	}
	if !w.unanswered {
		s.config.Logger.Warn("worker does not answer", "worker", w.id(), "answered_ago_ms", clock.Since(w.answered).Milliseconds(), "error", err)
	}
	w.unanswered = true
	w.due = clock.Now().Add(holdRetry)
	s.engine.SetWorker(s.view(w))
}

func (s *Scheduler) refusedHold(w *session, refusal *RefusalError) {
	s.config.Logger.Warn("worker refused a hold", "worker", w.id(), "cause", refusal.Cause.String())
	if refusal.Cause == Superseded {
		s.lease.MarkLost()
	}
	if refusal.Cause == OtherLife && refusal.Reply.StartedMs != 0 && refusal.Reply.StartedMs != w.entry.StartedMs {
		s.reborn(w, work.WorkerProcess{Worker: w.id(), StartedMs: refusal.Reply.StartedMs})
		s.engine.SetWorker(s.view(w))
	}
	w.due = clock.Now().Add(holdRetry)
}

// ends takes the ended attempts of a report in.
func (s *Scheduler) ends(w *session, report WorkerReport) {
	now := time.Now()
	for _, end := range report.Ended {
		if end.Sequence <= w.seen {
			continue
		}
		w.seen = end.Sequence
		s.config.Metrics.parts.WithLabelValues(end.Outcome.String()).Inc()
		s.config.Logger.Info("part ended", "part", end.Attempt.Part, "attempt", end.Attempt.Number, "worker", w.id(),
			"how", end.Outcome.String(), "end", end.Sequence)
		if s.engine.MayRun(end.Attempt, w.id()) {
			s.engine.AttemptEnded(end.Attempt, end.Outcome, end.Checkpoint, now)
		}
		delete(w.orders, end.Attempt)
	}
}

// runs takes the running attempts of a report in, and stops those that are not to run.
func (s *Scheduler) runs(ctx context.Context, w *session, report WorkerReport) {
	now := time.Now()
	w.unaccounted = 0
	for _, r := range report.Running {
		if !s.engine.MayRun(r.Attempt, w.id()) {
			w.unaccounted++
		}
		if s.engine.ShouldRun(r.Attempt, w.id()) {
			s.engine.AttemptRunning(r.Attempt, r.Percent, r.Checkpoint, now)
			continue
		}
		s.stopUnwanted(ctx, w, r.Attempt)
	}
}
