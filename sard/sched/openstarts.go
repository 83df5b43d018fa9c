package sched

import (
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// A start request without a response is open: whichever process of the worker runs then may still execute it, and a later process
// does so whatever was stopped or had ended on the former one. So while a start is open, the worker gets fencing renewals: lease
// renewals that ask for nothing but carry a higher epoch than the start, so that a process that has got one refuses it.
// docs/design/open-starts.md says for each observation when an attempt with an open start counts as ended.

// maxOrderLateness is how late a worker may execute a request that got no response.
const maxOrderLateness = 12 * time.Second

// noteOpenStart records that a start request to a worker, sent under the given epoch by now, may be executed late.
func (s *Scheduler) noteOpenStart(w *session, epoch ident.Epoch) {
	w.openEpoch = max(w.openEpoch, epoch)
	if !s.raiseAbove(w, epoch) {
		// A start is only sent while there is a higher epoch.
		s.config.Logger.Error("open start not fenced, no epoch is left", "worker", w.id(), "epoch", epoch)
		return
	}
	s.fencer.add(fenceTarget{worker: w.id(), address: w.entry.Address, client: w.client, epoch: w.epoch, until: clock.Now().Add(maxOrderLateness)})
}

// handleFence processes the result of a fencing renewal, which may list the attempt of an open start. A later process of the
// worker that responds gets a lease renewal next.
func (s *Scheduler) handleFence(ev fenceResult) {
	w := s.sessions[ev.worker]
	switch {
	case w == nil:
		if ev.superseded() && ev.epoch >= s.lease.Epoch() {
			s.lease.MarkLost()
		}
		return
	case ev.superseded():
		s.superseded(w, ev.epoch)
		return
	}
	startedMs := ev.report.StartedMs
	switch {
	case ev.err != nil || startedMs == 0 || slices.Contains(w.formerStartsMs, startedMs):
	case startedMs == w.entry.StartedMs:
		w.recordReply(ev.report.Reply)
		if !ev.sentAt.Before(w.reportSentAt) {
			s.handleRunning(w, ev.report)
		}
	default:
		s.replaceProcess(w, work.WorkerProcess{Worker: ev.worker, StartedMs: startedMs}, ev.report.attempts()...)
		s.renewSoon(w)
		s.engine.SetWorker(s.engineView(w))
	}
}
