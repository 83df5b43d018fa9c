package gang

import (
	"cmp"
	"context"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/table"
)

// maxConcurrentFences bounds the number of workers fenced in parallel.
const maxConcurrentFences = 64

// recover reads the domain's records, fences the workers and resumes the attempts of earlier holders. It retries until
// the table can be read, and fails only if a record can't be decoded.
func (s *Scheduler) recover(ctx context.Context) error {
	begin := time.Now()
	items, ok := s.readJobs(ctx)
	if !ok {
		return nil
	}
	select {
	case <-ctx.Done():
		return nil
	case <-s.topologyKnown:
	}
	s.mu.Lock()
	for _, w := range s.workers {
		w.heardAt = time.Now()
	}
	err := s.restoreRecords(items)
	s.mu.Unlock()
	if err != nil {
		return err
	}
	s.fenceAll(ctx)
	s.mu.Lock()
	defer s.mu.Unlock()
	resumed := s.resumeAll()
	s.ready = !s.closed
	for _, w := range s.workers {
		s.startPolling(w)
	}
	s.log.Info("domain recovered", "Jobs", len(s.jobs), "Attempts", resumed, "Took", time.Since(begin))
	return nil
}

// readJobs reads the records of the domain's jobs from the table, and retries until it succeeds. It returns false if
// ctx ends first.
func (s *Scheduler) readJobs(ctx context.Context) ([]table.Item, bool) {
	for {
		items, err := s.config.Store.List(ctx, table.DecisionPriority, jobsPartition(s.config.DataCentre), "")
		if err == nil {
			return items, true
		}
		s.log.Warn("reading jobs failed", "Error", err)
		if !clock.Sleep(ctx, tableRetryInterval) {
			return nil, false
		}
	}
}

// restoreRecords adds the stored jobs to memory, with the attempts that may hold accelerators. The caller holds mu.
func (s *Scheduler) restoreRecords(items []table.Item) error {
	for _, item := range items {
		r, err := decode[record](item)
		if err != nil {
			return err
		}
		j := s.addJob(r, item.Revision)
		if r.State == ident.Queued || r.State.Terminal() {
			continue
		}
		a := s.newAttempt(j, r.Attempt, r.Parts)
		a.borrowed = r.Borrowed
		a.mayHaveStarted = r.State != ident.Placing
		for _, p := range a.parts {
			p.unfenced = true
		}
	}
	return nil
}

// fenceAll tries once to fence each worker with a known address. The poll loops keep trying for workers that don't
// respond.
func (s *Scheduler) fenceAll(ctx context.Context) {
	s.mu.Lock()
	var listed []*workerState
	for _, w := range s.workers {
		if w.client != nil {
			listed = append(listed, w)
		}
	}
	s.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(maxConcurrentFences)
	for _, w := range listed {
		group.Go(func() error {
			if err := s.fenceWorker(ctx, w, w.client); err != nil {
				s.handleCallError("fence", err)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// resumeAll resumes the attempts of all jobs that have one and submits the other unfinished jobs to the engine. It
// returns how many attempts it resumed. The caller holds mu.
func (s *Scheduler) resumeAll() int {
	var unfinished []*job
	for _, j := range s.jobs {
		if !j.record.State.Terminal() {
			unfinished = append(unfinished, j)
		}
	}
	slices.SortFunc(unfinished, func(a, b *job) int {
		return cmp.Or(a.record.Submitted.Compare(b.record.Submitted), cmp.Compare(a.record.ID, b.record.ID))
	})
	resumed := 0
	var queued []*job
	for _, j := range unfinished {
		if j.attempt == nil {
			queued = append(queued, j)
			continue
		}
		s.resumeAttempt(j)
		resumed++
	}
	s.goTask(func(ctx context.Context) { s.submitQueued(ctx, queued) })
	return resumed
}

// submitQueued submits the queued jobs to the engine. It releases mu between them, so that lease renewals and calls are
// served meanwhile.
func (s *Scheduler) submitQueued(ctx context.Context, queued []*job) {
	begin := time.Now()
	for _, j := range queued {
		if ctx.Err() != nil {
			return
		}
		s.mu.Lock()
		if j.record.State == ident.Queued && !j.ending {
			s.applyEvent(place.Submit{Job: j.record.job()})
		}
		s.mu.Unlock()
	}
	s.log.Info("queued jobs restored", "Jobs", len(queued), "Took", time.Since(begin))
}

// resumeAttempt continues an attempt of an earlier holder. The caller holds mu.
func (s *Scheduler) resumeAttempt(j *job) {
	a, r := j.attempt, j.record
	a.phase = phaseCommitted
	if r.State == ident.Placing {
		a.phase = phasePlacing
	}
	s.applyEvent(place.Restore{Job: r.job(), Parts: r.Parts, Running: r.State == ident.Running, Started: r.Started})
	s.goTask(func(ctx context.Context) {
		switch r.State {
		case ident.Placing:
			a.end(ctx, termination{result: place.Requeued, reason: "rolled back after a takeover"})
		case ident.Stopping:
			a.end(ctx, termination{result: place.Cancelled, reason: r.Reason})
		default:
			a.reconcile(ctx)
		}
	})
}

// reconcile continues an attempt that an earlier holder has committed, once all its workers are fenced: it starts the
// parts that have not started, or ends the attempt if that is requested or a part has failed.
func (a *attempt) reconcile(ctx context.Context) {
	if !a.awaitFences(ctx) {
		return
	}
	if e := a.dueTermination(); e != nil {
		a.end(ctx, *e)
		return
	}
	a.launch(ctx)
}

// awaitFences waits until all workers of the attempt are fenced and have reported their parts, or the attempt is asked
// to end. It returns false if ctx ends first.
func (a *attempt) awaitFences(ctx context.Context) bool {
	for ctx.Err() == nil {
		if a.workersFenced() || a.requestedEnd() != nil {
			return true
		}
		clock.Sleep(ctx, callRetryInterval)
	}
	return false
}

// workersFenced reports whether all workers of the attempt have been fenced.
func (a *attempt) workersFenced() bool {
	a.scheduler.mu.Lock()
	defer a.scheduler.mu.Unlock()
	for _, p := range a.parts {
		if p.unfenced {
			return false
		}
	}
	return true
}
