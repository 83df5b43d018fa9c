package sched

import (
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/share"
	"github.com/sardineline/sardineline/sard/work"
)

// Where parts fill unused processor time beside parts with a latency target, the former are throttled: package share chooses their
// share by the reported tails, and throttle requests set it (throttle.go). Reports do not tell shares: the next lease holder does not
// know them, and sets them anew.

const (
	// defaultHarmLimit is the default of Config.HarmLimit.
	defaultHarmLimit = 4 * time.Second
	// measuredSpan is the time over which workers measure tails.
	measuredSpan = 500 * time.Millisecond
	// reportsPerHarm is the number of reports of a shared worker in the time for which a tail may exceed its target.
	reportsPerHarm = 10
	// disobediencePerHarm is the part of that time, as a divisor, after which a worker that does not confirm throttle requests is not
	// shared any more.
	disobediencePerHarm = 3
)

// sharing is what is known of a worker process on which parts fill.
type sharing struct {
	regulator share.Regulator
	// shared indicates that parts serve there too.
	shared bool
	// throttles holds the attempts that fill and are known to run.
	throttles map[work.Attempt]*throttle
	// settledFrom is when tails that are reported by then were measured with the latest shares.
	settledFrom WorkerClock
	// openEpoch is the epoch of a request without a response, which the worker may execute late, as there was no higher epoch for the
	// requests after it yet; 0 if there is none.
	openEpoch ident.Epoch
	// exceeded indicates that a tail exceeded its target when the tails were last observed.
	exceeded bool
}

// harmLimit returns for how long a tail may exceed its target because of what fills beside it.
func (s *Scheduler) harmLimit() time.Duration {
	if s.config.HarmLimit == 0 {
		return defaultHarmLimit
	}
	return s.config.HarmLimit
}

// beginsFilling records that an attempt has just started, if it fills. It has its full share at first.
func (s *Scheduler) beginsFilling(w *session, a work.Attempt) {
	if !s.engine.Fills(a) {
		return
	}
	w.sharing.track(a).known = true
}

// track returns what is known of the share of an attempt, which is nothing at first.
func (h *sharing) track(a work.Attempt) *throttle {
	if h.throttles == nil {
		h.throttles = map[work.Attempt]*throttle{}
	}
	t := h.throttles[a]
	if t == nil {
		t = &throttle{share: share.Full}
		h.throttles[a] = t
	}
	return t
}

// regulate chooses the share of the parts that fill on a worker, and queues the throttle requests that follow. The report is the
// worker's latest one, or nil if only what is placed there has changed.
func (s *Scheduler) regulate(w *session, report *WorkerReport) {
	found := s.engine.Sharing(w.id())
	if len(found.Filling) == 0 {
		s.setShared(w, false)
		w.sharing = sharing{}
		return
	}
	h := &w.sharing
	h.keep(found.Filling)
	s.setShared(w, len(found.Targets) > 0)
	if report != nil {
		for _, r := range report.Running {
			if s.engine.Fills(r.Attempt) && s.engine.ShouldRun(r.Attempt, w.id()) {
				h.track(r.Attempt)
			}
		}
		s.observeTails(w, found, *report)
	}
	s.fenceThrottles(w)
	for _, a := range found.Filling {
		s.queueThrottle(w, a)
	}
}

// keep forgets all attempts but the given ones.
func (h *sharing) keep(filling []work.Attempt) {
	current := make(map[work.Attempt]*throttle, len(filling))
	for _, a := range filling {
		if t := h.throttles[a]; t != nil {
			current[a] = t
		}
	}
	h.throttles = current
}

// setShared records whether parts serve and fill on a worker.
func (s *Scheduler) setShared(w *session, shared bool) {
	h := &w.sharing
	if h.shared == shared {
		return
	}
	h.shared = shared
	if shared {
		h.regulator.Begin()
		s.config.Logger.Info("worker is shared", "worker", w.id(), "filling", len(h.throttles), "share", int(h.regulator.Share()))
		return
	}
	h.regulator.End()
	s.config.Logger.Info("worker is not shared any more", "worker", w.id())
}

// observeTails lets the regulator of a shared worker choose by the tails of a report. If a tail exceeds its target and the worker does
// not obey throttle requests, it ends the sharing.
func (s *Scheduler) observeTails(w *session, found pool.Sharing, report WorkerReport) {
	h := &w.sharing
	if !h.shared {
		return
	}
	var tails []share.Tail
	for _, r := range report.Running {
		if target := found.Targets[r.Attempt]; target > 0 && r.Measured != NotMeasured {
			tails = append(tails, share.Tail{Measured: time.Duration(r.Measured) * time.Millisecond, Target: target})
		}
	}
	before, disobeys := h.regulator.Share(), h.disobeysFor()
	reason := h.regulator.Observe(share.Observation{Tails: tails, Settled: h.settled(report), Unconfirmed: disobeys > 0})
	exceeded := reason == share.Exceeded
	if exceeded && !h.exceeded || h.regulator.Share() != before {
		s.config.Logger.Debug("share chosen", "worker", w.id(), "share", int(h.regulator.Share()), "was", int(before), "reason", reason.String())
	}
	h.exceeded = exceeded
	if exceeded && disobeys > s.harmLimit()/disobediencePerHarm {
		s.config.Metrics.sharing.ended.Inc()
		s.config.Logger.Warn("worker does not obey throttle requests, what fills there is stopped", "worker", w.id(), "for_ms", disobeys.Milliseconds())
		s.engine.EndSharing(w.id(), time.Now())
	}
}

// settled reports whether the tails of a report were measured with the current share.
func (h *sharing) settled(report WorkerReport) bool {
	for _, t := range h.throttles {
		if !t.known || t.share != h.regulator.Share() {
			return false
		}
	}
	return report.Clock >= h.settledFrom
}

// disobeysFor returns for how long the worker has not confirmed the throttle requests for an attempt.
func (h *sharing) disobeysFor() time.Duration {
	longest := time.Duration(0)
	for _, t := range h.throttles {
		if t.failedSince != clock.Never {
			longest = max(longest, clock.Since(t.failedSince), 1)
		}
	}
	return longest
}
