package sched

// applyEvacuations passes a change of the evacuated data centres to the engine. Attempts that run there go on, as they
// lose nothing by it; no attempt is started there.
func (s *Scheduler) applyEvacuations() {
	current := s.config.Evacuations()
	if current == s.evacuations {
		return
	}
	s.evacuations = current
	for _, w := range s.sessions {
		s.engine.SetWorker(s.engineView(w))
	}
	s.config.Logger.Info("evacuations applied", "data_centres", current.List(), "epoch", s.lease.Epoch())
}

// evacuated reports whether a worker must get no new parts because its data centre is being evacuated.
func (s *Scheduler) evacuated(w *session) bool {
	return s.evacuations.Contains(w.entry.DataCentre)
}
