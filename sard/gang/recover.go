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

// maxFences is how many workers are fenced at once.
const maxFences = 64

// recover reads the domain's records, fences the workers and goes on with what was decided before. It retries until
// the table answers; it fails only on a record that can't be read.
func (d *Scheduler) recover(ctx context.Context) error {
	began := time.Now()
	items, ok := d.readJobs(ctx)
	if !ok {
		return nil
	}
	select {
	case <-ctx.Done():
		return nil
	case <-d.topology:
	}
	d.mu.Lock()
	for _, m := range d.members {
		m.heard = time.Now()
	}
	err := d.takeOver(items)
	d.mu.Unlock()
	if err != nil {
		return err
	}
	d.fenceAll(ctx)
	d.mu.Lock()
	defer d.mu.Unlock()
	resumed := d.restore()
	d.ready = !d.closed
	for _, m := range d.members {
		d.watch(m)
	}
	d.log.Info("domain recovered", "Jobs", len(d.jobs), "Attempts", resumed, "Took", time.Since(began))
	return nil
}

func (d *Scheduler) readJobs(ctx context.Context) ([]table.Item, bool) {
	for {
		items, err := d.config.Store.List(ctx, table.DecisionPriority, jobsPartition(d.config.DataCentre), "")
		if err == nil {
			return items, true
		}
		d.log.Warn("jobs not read", "Error", err)
		if !clock.Sleep(ctx, writePause) {
			return nil, false
		}
	}
}

// takeOver takes the records in and makes the attempts that may hold accelerators. The caller holds mu.
func (d *Scheduler) takeOver(items []table.Item) error {
	for _, item := range items {
		r, err := decode[record](item)
		if err != nil {
			return err
		}
		j := d.remember(r, item.Revision)
		if r.State == ident.Queued || r.State.Terminal() {
			continue
		}
		a := d.newAttempt(j, r.Attempt, r.Parts)
		a.borrowed = r.Borrowed
		a.started = r.State != ident.Placing
		for _, s := range a.shares {
			s.foreign = true
		}
	}
	return nil
}

// fenceAll fences all workers once. Those that don't answer are tried on by their poll loops.
func (d *Scheduler) fenceAll(ctx context.Context) {
	d.mu.Lock()
	var listed []*member
	for _, m := range d.members {
		if m.client != nil {
			listed = append(listed, m)
		}
	}
	d.mu.Unlock()
	var group errgroup.Group
	group.SetLimit(maxFences)
	for _, m := range listed {
		group.Go(func() error {
			if err := d.fence(ctx, m, m.client); err != nil {
				d.fail("fence", err)
			}
			return nil
		})
	}
	_ = group.Wait()
}

// restore resumes the attempts of all jobs that have not ended and has the others queued again. It returns how many
// attempts it resumed. The caller holds mu.
func (d *Scheduler) restore() int {
	var open []*job
	for _, j := range d.jobs {
		if !j.record.State.Terminal() {
			open = append(open, j)
		}
	}
	slices.SortFunc(open, func(a, b *job) int {
		return cmp.Or(a.record.Submitted.Compare(b.record.Submitted), cmp.Compare(a.record.ID, b.record.ID))
	})
	resumed := 0
	var queued []*job
	for _, j := range open {
		if j.attempt == nil {
			queued = append(queued, j)
			continue
		}
		d.resume(j)
		resumed++
	}
	d.start(func(ctx context.Context) { d.requeue(ctx, queued) })
	return resumed
}

// requeue tells the engine of the jobs that wait, one at a time, so that gangs are renewed and calls are served
// between them.
func (d *Scheduler) requeue(ctx context.Context, queued []*job) {
	began := time.Now()
	for _, j := range queued {
		if ctx.Err() != nil {
			return
		}
		d.mu.Lock()
		if j.record.State == ident.Queued && !j.busy {
			d.apply(place.Submit{Job: j.record.job()})
		}
		d.mu.Unlock()
	}
	d.log.Info("jobs queued again", "Jobs", len(queued), "Took", time.Since(began))
}

// resume goes on with an attempt of an earlier holder. The caller holds mu.
func (d *Scheduler) resume(j *job) {
	a, r := j.attempt, j.record
	a.phase = committed
	if r.State == ident.Placing {
		a.phase = placing
	}
	d.apply(place.Restore{Job: r.job(), Parts: r.Parts, Running: r.State == ident.Running, Started: r.Started})
	d.start(func(ctx context.Context) {
		switch r.State {
		case ident.Placing:
			a.end(ctx, ending{result: place.Requeued, reason: "rolled back after a takeover"})
		case ident.Stopping:
			a.end(ctx, ending{result: place.Cancelled, reason: r.Reason})
		default:
			a.reconcile(ctx)
		}
	})
}

// reconcile confirms a committed attempt whole or stops it whole.
func (a *attempt) reconcile(ctx context.Context) {
	if !a.awaitFences(ctx) {
		return
	}
	if e := a.verdict(); e != nil {
		a.end(ctx, *e)
		return
	}
	a.launch(ctx)
}

// awaitFences waits until all workers of the attempt have said what they run, or one is given up.
func (a *attempt) awaitFences(ctx context.Context) bool {
	for ctx.Err() == nil {
		if a.known() || a.requested() != nil {
			return true
		}
		clock.Sleep(ctx, callPause)
	}
	return false
}

func (a *attempt) known() bool {
	a.domain.mu.Lock()
	defer a.domain.mu.Unlock()
	for _, s := range a.shares {
		if s.foreign {
			return false
		}
	}
	return true
}
