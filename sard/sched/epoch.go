package sched

import "github.com/sardineline/sardineline/sard/ident"

// A request names no worker process. One that is executed late may reach a later process of the worker than the one that it
// was sent to, which has seen no epoch. So a later process first gets a lease renewal with a higher epoch than all requests to
// its former ones, and starts only when it has responded to that. As long as it is not known, starts may reach it, so they carry a
// higher epoch than all requests that got no response: a process that has executed one refuses late acknowledgements, which would
// discard its ends, and late lease renewals, which would make its lease last longer than anybody knows.

// raiseAbove makes sure that the worker gets requests with a higher epoch than a given one. It returns false while the holder has
// no such epoch, since the scheduler lease has not been renewed often enough for that.
func (s *Scheduler) raiseAbove(w *session, epoch ident.Epoch) bool {
	if w.epoch > epoch {
		return true
	}
	if s.lease.LatestEpoch() <= epoch {
		return false
	}
	w.epoch = epoch + 1
	s.fencer.raise(w.id(), w.epoch)
	return true
}

// superseded handles the refusal of a request because of its epoch. It returns whether another instance holds the scheduler
// lease. Otherwise, the request was sent to a former process of the worker, and has reached a later one.
func (s *Scheduler) superseded(w *session, epoch ident.Epoch) bool {
	if epoch < w.epoch {
		return false
	}
	s.lease.MarkLost()
	return true
}
