package gang

import (
	"context"
	"encoding/json"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/object"
)

// maxArchiving is how many jobs are archived at once.
const maxArchiving = 8

// archiveKey names the object of an ended job.
func archiveKey(job ident.Job) object.Key {
	return object.Key("jobs/" + string(DataCentreOf(job)) + "/" + string(job) + ".json")
}

// archive writes ended jobs to the object store and returns those that it surely holds now. Without an object store
// all count as archived.
func (d *Scheduler) archive(ctx context.Context, old []*job) []*job {
	if d.config.Archive == nil {
		return old
	}
	written := make([]bool, len(old))
	var group errgroup.Group
	group.SetLimit(maxArchiving)
	for i, j := range old {
		group.Go(func() error {
			written[i] = d.archiveOne(ctx, j)
			return nil
		})
	}
	_ = group.Wait()
	var archived []*job
	for i, j := range old {
		if written[i] {
			archived = append(archived, j)
		}
	}
	return archived
}

func (d *Scheduler) archiveOne(ctx context.Context, j *job) bool {
	d.mu.Lock()
	view := j.record.view()
	d.mu.Unlock()
	body, err := json.Marshal(view)
	if err == nil {
		err = d.config.Archive.Put(ctx, archiveKey(view.ID), body)
	}
	if err != nil {
		d.log.Warn("job not archived, it stays in the table", "Job", view.ID, "Error", err)
	}
	return err == nil
}

// archived reads an ended job that was pruned. The empty account may see all.
func (d *Scheduler) archived(ctx context.Context, account ident.Account, id ident.Job) (JobView, error) {
	const step = "read archived job"
	if d.config.Archive == nil || DataCentreOf(id) != d.config.DataCentre {
		return JobView{}, fault.New(fault.NotFound, step, "", "no job %s", id)
	}
	body, err := d.config.Archive.Get(ctx, archiveKey(id))
	if err != nil {
		return JobView{}, err
	}
	var view JobView
	if err := json.Unmarshal(body, &view); err != nil {
		return JobView{}, fault.Wrap(err, fault.Internal, step, "object store")
	}
	if account != "" && view.Account != account {
		return JobView{}, fault.New(fault.NotFound, step, "", "no job %s", id)
	}
	return view, nil
}
