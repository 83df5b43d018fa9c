package sched

// recordHost records that a worker is listed for the first time. It is the successor of the worker that was listed before
// on the same host, which has ended, because a host runs one worker process at a time.
func (s *Scheduler) recordHost(w *session) {
	host := w.entry.Host
	if host == "" {
		return
	}
	former := s.latestOnHost[host]
	if former != nil {
		if former.entry.StartedMs >= w.entry.StartedMs {
			// The list is stale, or a clock was set back. It is not known which of the workers is the later one.
			return
		}
		former.successor = w
	}
	s.latestOnHost[host] = w
}

// ended reports whether the worker process has certainly ended because its host runs a later worker, and nothing is in
// flight that could tell more of its attempts. The successor must have responded under this epoch, since the list may be stale.
func (w *session) ended() bool {
	if w.successor == nil || !w.successor.fenced || !w.unanswered || w.renewing {
		return false
	}
	for _, state := range w.attempts {
		if state.startInFlight {
			return false
		}
	}
	return true
}
