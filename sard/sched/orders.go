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

// order is an attempt that was ordered to start or stop.
type order struct {
	life  work.Life
	tries int
	// started is when the worker confirmed the start; stopped, the stop.
	started, stopped clock.Instant
	stopping         bool
}

// adopt makes orders of the placements that were recorded by an earlier holder.
func (s *Scheduler) adopt() {
	s.engine.Placements(func(a work.Attempt, life work.Life, _ bool) {
		s.orders[a] = &order{life: life, started: clock.Never, stopped: clock.Never}
	})
}

// launch sends a recorded start.
func (s *Scheduler) launch(ctx context.Context, start pool.Start) {
	if !s.engine.Wanted(start.Attempt, start.Worker.Worker) {
		return
	}
	o := &order{life: start.Worker, started: clock.Never, stopped: clock.Never}
	s.orders[start.Attempt] = o
	s.sendStart(ctx, o, start)
}

func (s *Scheduler) sendStart(ctx context.Context, o *order, start pool.Start) {
	w := s.sessions[start.Worker.Worker]
	if w == nil || w.entry.Life != start.Worker || s.lease.Check() != nil {
		s.engine.Doubt(start.Attempt)
		return
	}
	o.tries++
	msg := StartOrder{
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

// startAnswered takes the outcome of a start in.
func (s *Scheduler) startAnswered(ctx context.Context, ev startAnswered) {
	o, w := s.orders[ev.attempt], s.sessions[ev.life.Worker]
	if o == nil || w == nil || w.entry.Life != ev.life {
		return
	}
	var refusal *Refusal
	switch {
	case ev.err == nil:
		w.read(ev.reply)
		o.started = clock.Now()
		s.config.Logger.Info("part started", "part", ev.attempt.Part, "attempt", ev.attempt.Number, "worker", w.id(),
			"epoch", s.lease.Epoch())
		s.engine.Confirmed(ev.attempt)
	case errors.As(ev.err, &refusal):
		s.refusedStart(w, ev, refusal)
	default:
		s.unansweredStart(ctx, o, ev)
	}
}

func (s *Scheduler) refusedStart(w *session, ev startAnswered, refusal *Refusal) {
	s.config.Logger.Warn("start refused", "part", ev.attempt.Part, "attempt", ev.attempt.Number, "worker", w.id(),
		"cause", refusal.Cause.String())
	w.read(refusal.Reply)
	switch refusal.Cause {
	case Superseded:
		s.lease.Superseded()
		return
	case Unwell, NoRoom:
		s.engine.Distrust(w.id(), time.Now(), unwellPause)
	}
	delete(s.orders, ev.attempt)
	s.engine.Ended(ev.attempt, pool.Refused, "", time.Now())
}

// unansweredStart sends a start again, as it changes nothing when the attempt runs, and gives it up after some tries.
func (s *Scheduler) unansweredStart(ctx context.Context, o *order, ev startAnswered) {
	s.config.Logger.Warn("start not answered", "part", ev.attempt.Part, "attempt", ev.attempt.Number,
		"worker", ev.life.Worker, "tries", o.tries, "error", ev.err)
	start, wanted := s.engine.Resend(ev.attempt)
	if wanted && o.tries < startTries {
		s.sendStart(ctx, o, start)
		return
	}
	s.engine.Doubt(ev.attempt)
}

// stop sends a stop that the engine has decided.
func (s *Scheduler) stop(ctx context.Context, d pool.Stop) {
	o := s.orders[d.Attempt]
	if o == nil {
		// Its start was never sent.
		o = &order{life: d.Worker, started: clock.Never, stopped: clock.Never}
		s.orders[d.Attempt] = o
	}
	s.config.Logger.Info("part is stopped", "part", d.Attempt.Part, "attempt", d.Attempt.Number, "worker", d.Worker.Worker,
		"reason", d.Reason)
	s.sendStop(ctx, d.Attempt, o)
}

// stopUnwanted stops an attempt that a worker runs though it is not to run.
func (s *Scheduler) stopUnwanted(ctx context.Context, w *session, a work.Attempt) {
	o := s.orders[a]
	if o == nil {
		s.config.Logger.Info("part is stopped", "part", a.Part, "attempt", a.Number, "worker", w.id(), "reason", pool.ReasonUnknown)
		o = &order{life: w.entry.Life, started: clock.Never, stopped: clock.Never}
		s.orders[a] = o
	}
	if !o.stopping && clock.Since(o.stopped) > s.config.StopTime+stopRetry {
		s.sendStop(ctx, a, o)
	}
}

func (s *Scheduler) sendStop(ctx context.Context, a work.Attempt, o *order) {
	w := s.sessions[o.life.Worker]
	if o.stopping || w == nil || w.entry.Life != o.life || w.client == nil {
		return
	}
	o.stopping = true
	msg := StopOrder{Worker: o.life, Attempt: a, Epoch: s.lease.Epoch()}
	client := w.client
	s.start(ctx, func() event {
		ctx, cancel := context.WithTimeout(ctx, orderTimeout)
		defer cancel()
		reply, err := client.Stop(ctx, msg)
		if err != nil {
			_ = clock.Sleep(ctx, stopRetry)
		}
		return stopAnswered{attempt: a, life: msg.Worker, reply: reply, err: err}
	})
}

// stopAnswered takes the outcome of a stop in; an unanswered one is sent again.
func (s *Scheduler) stopAnswered(ctx context.Context, ev stopAnswered) {
	o, w := s.orders[ev.attempt], s.sessions[ev.life.Worker]
	if o == nil || w == nil || w.entry.Life != ev.life {
		return
	}
	o.stopping = false
	var refusal *Refusal
	if errors.As(ev.err, &refusal) && refusal.Cause == Superseded {
		s.lease.Superseded()
		return
	}
	if ev.err != nil {
		if s.engine.Expects(ev.attempt, w.id()) {
			s.sendStop(ctx, ev.attempt, o)
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
	for a, o := range s.orders {
		if o.life != w.entry.Life || shown[a] {
			continue
		}
		s.settleMissing(ctx, a, o, ev.sent, first)
	}
}

// settleMissing decides what became of an attempt that a hold sent at a time does not show.
func (s *Scheduler) settleMissing(ctx context.Context, a work.Attempt, o *order, sent clock.Instant, first bool) {
	switch {
	case o.stopped != clock.Never && o.stopped.Before(sent):
		delete(s.orders, a)
		s.engine.Ended(a, pool.Stopped, "", time.Now())
	case o.started != clock.Never && o.started.Before(sent):
		s.config.Logger.Warn("part vanished", "part", a.Part, "attempt", a.Number, "worker", o.life.Worker)
		delete(s.orders, a)
		s.engine.Ended(a, pool.Lost, "", time.Now())
	case first && o.tries == 0:
		if start, wanted := s.engine.Resend(a); wanted {
			s.sendStart(ctx, o, start)
		}
	}
}
