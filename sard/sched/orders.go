package sched

import (
	"context"
	"errors"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// orderTimeout bounds an order.
	orderTimeout = 600 * time.Millisecond
	// stopRetry lies between a failed stop and the next.
	stopRetry = 200 * time.Millisecond
	// startTries is how often a start is sent before it is given up.
	startTries = 2
	// unwellPause is how long a worker that takes nothing is left alone.
	unwellPause = 2 * time.Second
)

// order is an attempt that was ordered to start or stop and is not known to have ended.
type order struct {
	tries int
	// started is when the worker confirmed the start; stopped, the stop.
	started, stopped clock.Instant
	stopping         bool
	// starting tells that a start is under way.
	starting bool
}

func newOrder() *order {
	return &order{}
}

// session returns the session with a worker process, or nil.
func (s *Scheduler) session(life work.WorkerProcess) *session {
	if w := s.sessions[life.Worker]; w != nil && w.entry.WorkerProcess == life {
		return w
	}
	return nil
}

// adopt makes orders of the placements that were recorded by an earlier holder, at the workers that are known.
func (s *Scheduler) adopt() {
	s.engine.ForEachAttempt(func(a work.Attempt, life work.WorkerProcess) {
		if w := s.session(life); w != nil && !w.fenced {
			w.order(a)
		}
	})
}

// launch sends a recorded start.
func (s *Scheduler) launch(ctx context.Context, start pool.Start) {
	if !s.engine.ShouldRun(start.Attempt, start.Worker.Worker) {
		return
	}
	w := s.session(start.Worker)
	if w == nil {
		s.engine.StopUnconfirmed(start.Attempt)
		return
	}
	o := newOrder()
	w.orders[start.Attempt] = o
	s.sendStart(ctx, w, o, start)
}

func (s *Scheduler) sendStart(ctx context.Context, w *session, o *order, start pool.Start) {
	if s.lease.Check() != nil {
		s.engine.StopUnconfirmed(start.Attempt)
		return
	}
	o.tries++
	o.starting = true
	msg := StartRequest{
		Worker: start.Worker, Attempt: start.Attempt, Payload: start.Payload, Checkpoint: start.Checkpoint,
		Epoch: s.lease.Epoch(), Deadline: w.extend(s.config.WorkerLease),
	}
	client, sent := w.client, clock.Now()
	s.start(ctx, func() event {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		if err := s.lease.Check(); err != nil {
			return startAnswered{attempt: start.Attempt, life: start.Worker, sent: sent, err: err}
		}
		reply, err := client.Start(ctx, msg)
		return startAnswered{attempt: start.Attempt, life: start.Worker, sent: sent, reply: reply, err: err}
	})
}

// orderOf returns the order of an attempt and the session with its worker, or nil. The worker may be another process
// than when the order was sent.
func (s *Scheduler) orderOf(life work.WorkerProcess, a work.Attempt) (*session, *order) {
	w := s.sessions[life.Worker]
	if w == nil {
		return nil, nil
	}
	return w, w.orders[a]
}

// startAnswered takes the outcome of a start in.
func (s *Scheduler) startAnswered(ctx context.Context, ev startAnswered) {
	w, o := s.orderOf(ev.life, ev.attempt)
	if o == nil {
		return
	}
	o.starting = false
	var refusal *RefusalError
	switch {
	case ev.err == nil:
		if born := ev.reply.StartedMs; born != 0 && born != w.entry.StartedMs {
			s.reborn(w, work.WorkerProcess{Worker: w.id(), StartedMs: born}, ev.attempt)
		}
		w.read(ev.reply)
		o.started = clock.Now()
		s.config.Logger.Info("part started", "part", ev.attempt.Part, "attempt", ev.attempt.Number, "worker", w.id(),
			"epoch", s.lease.Epoch())
	case errors.As(ev.err, &refusal):
		s.refusedStart(o, w, ev, refusal)
	default:
		s.unansweredStart(ctx, w, o, ev)
	}
}

func (s *Scheduler) refusedStart(o *order, w *session, ev startAnswered, refusal *RefusalError) {
	s.config.Logger.Warn("start refused", "part", ev.attempt.Part, "attempt", ev.attempt.Number, "worker", w.id(),
		"cause", refusal.Cause.String())
	w.read(refusal.Reply)
	switch refusal.Cause {
	case Superseded:
		s.lease.MarkLost()
		return
	case Unwell, NoRoom:
		s.engine.SuspendWorker(w.id(), time.Now(), unwellPause)
	}
	if o.tries > 1 {
		s.refusedRetry(o, ev.attempt, refusal.Cause)
		return
	}
	delete(w.orders, ev.attempt)
	s.engine.AttemptEnded(ev.attempt, pool.Refused, "", time.Now())
}

// refusedRetry follows the refusal of a start that was sent before: the earlier one may have been carried out.
func (s *Scheduler) refusedRetry(o *order, a work.Attempt, cause Cause) {
	if cause == Outdated {
		// The attempt has ended there, or was stopped: the worker's list tells which.
		o.started = clock.Now()
		return
	}
	s.engine.StopUnconfirmed(a)
}

// unansweredStart sends a start again, as it changes nothing when the attempt runs, and gives it up after some tries.
func (s *Scheduler) unansweredStart(ctx context.Context, w *session, o *order, ev startAnswered) {
	s.config.Logger.Warn("start not answered", "part", ev.attempt.Part, "attempt", ev.attempt.Number,
		"worker", ev.life.Worker, "tries", o.tries, "error", ev.err)
	start, wanted := s.engine.PendingStart(ev.attempt)
	if wanted && o.tries < startTries {
		s.sendStart(ctx, w, o, start)
		return
	}
	s.engine.StopUnconfirmed(ev.attempt)
}

// stop sends a stop that the engine has decided.
func (s *Scheduler) stop(ctx context.Context, d pool.Stop) {
	w := s.session(d.Worker)
	if w == nil {
		return
	}
	o := w.order(d.Attempt)
	s.config.Metrics.stops.WithLabelValues(string(d.Reason)).Inc()
	s.config.Logger.Info("part is stopped", "part", d.Attempt.Part, "attempt", d.Attempt.Number, "worker", d.Worker.Worker,
		"reason", d.Reason)
	s.sendStop(ctx, w, d.Attempt, o)
}

// stopUnwanted stops an attempt that a worker runs though it is not to run.
func (s *Scheduler) stopUnwanted(ctx context.Context, w *session, a work.Attempt) {
	if w.orders[a] == nil {
		s.config.Logger.Info("part is stopped", "part", a.Part, "attempt", a.Number, "worker", w.id(), "reason", pool.ReasonNotCurrent)
	}
	o := w.order(a)
	if !o.stopping && clock.Since(o.stopped) > s.config.MaxStopTime+stopRetry {
		s.sendStop(ctx, w, a, o)
	}
}

// order returns the order of an attempt, a new one if there is none: its start was never sent under this lease.
func (w *session) order(a work.Attempt) *order {
	o := w.orders[a]
	if o == nil {
		o = newOrder()
		w.orders[a] = o
	}
	return o
}

func (s *Scheduler) sendStop(ctx context.Context, w *session, a work.Attempt, o *order) {
	if o.stopping || w.client == nil {
		return
	}
	o.stopping = true
	msg := StopRequest{Worker: w.entry.WorkerProcess, Attempt: a, Epoch: s.lease.Epoch()}
	client := w.client
	s.start(ctx, func() event {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		reply, err := client.Stop(ctx, msg)
		if err != nil {
			clock.Sleep(ctx, stopRetry)
		}
		return stopAnswered{attempt: a, life: msg.Worker, reply: reply, err: err}
	})
}

// stopAnswered takes the outcome of a stop in; an unanswered one is sent again.
func (s *Scheduler) stopAnswered(ctx context.Context, ev stopAnswered) {
	w, o := s.orderOf(ev.life, ev.attempt)
	if o == nil {
		return
	}
	o.stopping = false
	var refusal *RefusalError
	if errors.As(ev.err, &refusal) && refusal.Cause == Superseded {
		s.lease.MarkLost()
		return
	}
	if ev.err != nil {
		if s.engine.MayRun(ev.attempt, w.id()) {
			s.sendStop(ctx, w, ev.attempt, o)
		}
		return
	}
	w.read(ev.reply)
	o.stopped = clock.Now()
	w.due = 0
}

// missing settles the attempts that should run on a worker and that its report does not show.
func (s *Scheduler) missing(ctx context.Context, w *session, ev holdAnswered, first bool) {
	shown := map[work.Attempt]bool{}
	for _, r := range ev.report.Running {
		shown[r.Attempt] = true
	}
	for a, o := range w.orders {
		if !shown[a] {
			s.settleMissing(ctx, w, a, o, ev.sent, first)
		}
	}
}

// settleMissing decides what became of an attempt that a hold sent at a time does not show.
func (s *Scheduler) settleMissing(ctx context.Context, w *session, a work.Attempt, o *order, sent clock.Instant, first bool) {
	switch {
	case o.stopped != clock.Never && o.stopped.Before(sent):
		delete(w.orders, a)
		s.engine.AttemptEnded(a, pool.Stopped, "", time.Now())
	case o.started != clock.Never && o.started.Before(sent):
		s.config.Logger.Warn("part vanished", "part", a.Part, "attempt", a.Number, "worker", w.id())
		delete(w.orders, a)
		s.engine.AttemptEnded(a, pool.Lost, "", time.Now())
	case first && o.tries == 0:
		if start, wanted := s.engine.PendingStart(a); wanted {
			s.sendStart(ctx, w, o, start)
		}
	}
}
