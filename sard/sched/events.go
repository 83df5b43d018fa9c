package sched

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// event is something that the loop is told. It is sealed.
type event interface{ event() }

// rowsChanged are rows of a table that were read or have changed.
type rowsChanged struct {
	table string
	rows  []store.Row
	// whole tells that rows are all rows of the table.
	whole bool
}

// committed is the outcome of a journal write.
type committed struct {
	version store.Version
	err     error
}

// startAnswered is the outcome of a start.
type startAnswered struct {
	attempt work.Attempt
	life    work.WorkerProcess
	sent    clock.Instant
	reply   Reply
	err     error
}

// stopAnswered is the outcome of a stop.
type stopAnswered struct {
	attempt work.Attempt
	life    work.WorkerProcess
	reply   Reply
	err     error
}

// holdAnswered is the outcome of a hold.
type holdAnswered struct {
	life   work.WorkerProcess
	sent   clock.Instant
	seen   EndSequence
	report WorkerReport
	err    error
}

func (rowsChanged) event()   {}
func (committed) event()     {}
func (startAnswered) event() {}
func (stopAnswered) event()  {}
func (holdAnswered) event()  {}

// handle takes an event in.
func (s *Scheduler) handle(ctx context.Context, ev event) {
	switch ev := ev.(type) {
	case rowsChanged:
		s.rowsChanged(ev)
	case committed:
		s.committed(ctx, ev)
	case startAnswered:
		s.startAnswered(ctx, ev)
	case stopAnswered:
		s.stopAnswered(ctx, ev)
	case holdAnswered:
		s.holdAnswered(ctx, ev)
	case cleaned:
		s.cleaned(ev)
	}
}

func (s *Scheduler) rowsChanged(ev rowsChanged) {
	if ev.table == work.JobTable {
		for _, row := range ev.rows {
			s.jobRow(row)
		}
		return
	}
	s.workerRows(ev)
}

// jobRow takes a job in, or its cancellation.
func (s *Scheduler) jobRow(row store.Row) {
	id := ident.Job(row.Key.Name)
	if row.Deleted {
		delete(s.versions, id)
		return
	}
	if s.versions[id] >= row.Version {
		return
	}
	s.versions[id] = row.Version
	var e work.JobRow
	if err := work.Decode(row.Value, &e); err != nil {
		s.config.Logger.Error("job record not readable, left alone", "job", row.Key.Name, "error", err)
		return
	}
	if e.Refused || e.Job == nil {
		return
	}
	j := e.Job
	if _, over := s.ended[j.ID]; over {
		return
	}
	if s.engine.HasOpenJob(j.ID) {
		if j.Cancelled {
			s.engine.CancelJob(j.ID)
		}
		return
	}
	now := time.Now()
	s.engine.AddJob(j, s.recorded[j.ID], now, now.UnixMilli())
	delete(s.recorded, j.ID)
	s.config.Logger.Info("job taken in", "job", j.ID, "account", j.Account, "queue", j.Queue,
		"priority", s.terms(j).Priority, "steps", len(j.Steps), "parts", j.Steps[0].Parts, "need", j.Steps[0].Need,
		"estimate_ms", j.Steps[0].Estimate.Milliseconds(), "gang", j.Steps[0].Gang, "checkpoints", j.Steps[0].Checkpoints, "same_rack", j.Steps[0].SameRack,
		"row_version", row.Version, "cancelled", j.Cancelled)
}

// workerRows takes a change of the platform's list in.
func (s *Scheduler) workerRows(ev rowsChanged) {
	listed := map[string]bool{}
	for _, row := range ev.rows {
		if row.Deleted {
			s.unlisted(row.Key.Name)
			continue
		}
		entry, err := s.config.DecodeWorker(row)
		if err != nil {
			s.config.Logger.Debug("entry of the list names no worker", "entry", row.Key.Name, "error", err)
			continue
		}
		listed[row.Key.Name] = true
		s.listed(entry)
	}
	if !ev.whole {
		return
	}
	for id := range s.sessions {
		if !listed[string(id)] {
			s.unlisted(string(id))
		}
	}
}

// over notes that a job has ended and that its end is recorded.
func (s *Scheduler) over(c pool.Change, now time.Time) {
	s.ended[c.Job] = now.Add(s.config.JobRetention)
	s.config.Metrics.jobEnded(c)
	s.config.Logger.Info("job ended", "job", c.Job, "account", c.Progress.Account, "queue", c.Queue,
		"state", c.Progress.State.String(), "took_ms", c.Elapsed.Milliseconds(), "objective_ms", c.Objective.Milliseconds())
}
