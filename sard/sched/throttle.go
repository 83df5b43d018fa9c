package sched

import (
	"context"
	"errors"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/share"
	"github.com/sardineline/sardineline/sard/work"
)

// A throttle request sets the share of a part that fills. It is an order like others: it names an attempt, so that it has no effect on
// later ones. One without a response may be executed late, after newer ones, so that further requests carry a higher epoch.

const (
	// defaultThrottleDelay is the default of Config.ThrottleDelay.
	defaultThrottleDelay = 100 * time.Millisecond
	// throttleRetryPause is the pause after a throttle request that failed.
	throttleRetryPause = 200 * time.Millisecond
	// raisesPerSecond limits the throttle requests that let a part have more, over all workers.
	raisesPerSecond = 100
)

// throttle is what is known of the share that a worker lets a running attempt have.
type throttle struct {
	// known indicates that the worker has confirmed the share.
	known bool
	share share.Percent
	// pending indicates that a request is queued or in flight.
	pending bool
	// failedSince is when the first request since the last confirmed one failed; Never if none did. The next one is sent at retryAt.
	failedSince, retryAt clock.Instant
}

// throttleResult is the result of a throttle request.
type throttleResult struct {
	attempt work.Attempt
	process work.WorkerProcess
	epoch   ident.Epoch
	share   share.Percent
	flight  *flight
	// unsent indicates that the request was not sent, because the scheduler lease was not known to be held.
	unsent bool
	reply  Reply
	err    error
}

func (throttleResult) event() {}

// throttleCommand sets the share of an attempt to the current one of its worker.
type throttleCommand struct{ attempt work.Attempt }

func (throttleCommand) command() {}

// throttleDelay returns the time that a worker takes to apply a throttle request.
func (s *Scheduler) throttleDelay() time.Duration {
	if s.config.ThrottleDelay == 0 {
		return defaultThrottleDelay
	}
	return s.config.ThrottleDelay
}

// fenceThrottles gives the requests to a worker a higher epoch than a throttle request that it may execute late, as soon as there is
// one. It may have been executed since, so that all shares are set anew.
func (s *Scheduler) fenceThrottles(w *session) {
	h := &w.sharing
	if h.openEpoch == 0 || !s.raiseAbove(w, h.openEpoch) {
		return
	}
	h.openEpoch = 0
	for _, t := range h.throttles {
		t.known = false
	}
}

// queueThrottle queues a throttle request for an attempt that is known to run, unless it has the share of its worker. Requests that
// let it have more are limited by raisesPerSecond.
func (s *Scheduler) queueThrottle(w *session, a work.Attempt) {
	t, wanted := w.sharing.throttles[a], w.sharing.regulator.Share()
	if t == nil || t.pending || t.known && t.share == wanted || clock.Now().Before(t.retryAt) || w.client == nil {
		return
	}
	if wanted == share.Full || t.known && wanted > t.share {
		if !s.raises.take(clock.Now()) {
			return
		}
	}
	t.pending = true
	s.commands.add(w, throttleClass, throttleCommand{attempt: a})
}

// sendThrottle sends a queued throttle request in the background, unless it is not needed any more.
func (s *Scheduler) sendThrottle(ctx context.Context, w *session, a work.Attempt) {
	t, wanted := w.sharing.throttles[a], w.sharing.regulator.Share()
	if t == nil {
		return
	}
	if t.known && t.share == wanted || !s.engine.ShouldRun(a, w.id()) {
		t.pending = false
		return
	}
	t.known = false
	flight := s.commands.depart(w)
	req := ThrottleRequest{Worker: w.entry.WorkerProcess, Attempt: a, Share: wanted, Epoch: w.epoch}
	client := w.client
	s.runAsync(ctx, func() event {
		ctx, cancel := s.stalls.WithTimeout(ctx, requestTimeout)
		defer cancel()
		result := throttleResult{attempt: a, process: req.Worker, epoch: req.Epoch, share: req.Share, flight: flight}
		if s.lease.Check() != nil {
			result.unsent = true
			return result
		}
		result.reply, result.err = client.Throttle(ctx, req)
		return result
	})
}

// handleThrottle processes the result of a throttle request. One that failed is repeated.
func (s *Scheduler) handleThrottle(ev throttleResult) {
	s.commands.release(ev.flight)
	w := s.session(ev.process)
	if w == nil {
		return
	}
	t := w.sharing.throttles[ev.attempt]
	var refusal *RefusalError
	switch {
	case ev.unsent:
	case ev.err == nil:
		s.throttleConfirmed(w, t, ev)
	case errors.As(ev.err, &refusal) && refusal.Cause == Superseded:
		if s.superseded(w, ev.epoch) {
			return
		}
		// A request with a higher epoch has overtaken this one.
	default:
		s.throttleFailed(w, t, ev)
	}
	if t != nil {
		t.pending = false
		s.queueThrottle(w, ev.attempt)
	}
}

// throttleConfirmed records that a worker has taken a throttle request, for an attempt of which t tells unless it is nil.
func (s *Scheduler) throttleConfirmed(w *session, t *throttle, ev throttleResult) {
	w.recordReply(ev.reply)
	s.config.Metrics.sharing.throttles.WithLabelValues("confirmed").Inc()
	if t == nil {
		return
	}
	t.known, t.share, t.failedSince, t.retryAt = true, ev.share, clock.Never, clock.Never
	settledFrom := ev.reply.Clock + WorkerClock((s.throttleDelay() + measuredSpan).Milliseconds())
	w.sharing.settledFrom = max(w.sharing.settledFrom, settledFrom)
}

// throttleFailed records that a throttle request was refused or got no response. One without a response may be executed late.
func (s *Scheduler) throttleFailed(w *session, t *throttle, ev throttleResult) {
	unanswered := fault.Is(ev.err, fault.OutcomeUnknown)
	result := "refused"
	if unanswered {
		result = "unanswered"
		w.openEpoch = max(w.openEpoch, ev.epoch)
		w.sharing.openEpoch = max(w.sharing.openEpoch, ev.epoch)
	}
	s.config.Metrics.sharing.throttles.WithLabelValues(result).Inc()
	if t == nil {
		return
	}
	if t.failedSince == clock.Never {
		t.failedSince = clock.Now()
		s.config.Logger.Warn("part not throttled", "part", ev.attempt.Part, "attempt", ev.attempt.Number, "worker", w.id(), "share", int(ev.share), "error", ev.err)
	}
	t.retryAt = clock.Now().Add(throttleRetryPause)
	s.fenceThrottles(w)
}

// raiseBudget limits the throttle requests that let parts have more.
type raiseBudget struct {
	used  int
	until clock.Instant
}

// take reports whether another request may be sent now, and counts it.
func (b *raiseBudget) take(now clock.Instant) bool {
	if !now.Before(b.until) {
		*b = raiseBudget{until: now.Add(time.Second)}
	}
	if b.used == raisesPerSecond {
		return false
	}
	b.used++
	return true
}
