package gang

import (
	"context"
	"encoding/json"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/object"
)

// maxConcurrentArchives bounds the number of jobs archived in parallel.
const maxConcurrentArchives = 8

// archiveKey returns the key under which an ended job is kept in the object store.
func archiveKey(job ident.Job) object.Key {
	return object.Key("jobs/" + string(DataCentreOf(job)) + "/" + string(job) + ".json")
}

// archiveJobs writes ended jobs to the object store and returns those that are confirmed to be stored. Without an
// object store it returns all of them.
func (s *Scheduler) archiveJobs(ctx context.Context, ended []*job) []*job {
	if s.config.Archive == nil {
		return ended
	}
	succeeded := make([]bool, len(ended))
	var group errgroup.Group
	group.SetLimit(maxConcurrentArchives)
	for i, j := range ended {
		group.Go(func() error {
			succeeded[i] = s.archiveJob(ctx, j)
			return nil
		})
	}
	_ = group.Wait()
	var archived []*job
	for i, j := range ended {
		if succeeded[i] {
			archived = append(archived, j)
		}
	}
	return archived
}

// archiveJob writes an ended job to the object store. It reports whether that succeeded.
func (s *Scheduler) archiveJob(ctx context.Context, j *job) bool {
	s.mu.Lock()
	view := j.record.view()
	s.mu.Unlock()
	body, err := json.Marshal(view)
	if err == nil {
		err = s.config.Archive.Put(ctx, archiveKey(view.ID), body)
	}
	if err != nil {
		s.log.Warn("job not archived, keeping it in the table", "Job", view.ID, "Error", err)
	}
	return err == nil
}

// getArchived reads a pruned job from the object store. An empty account grants access to all jobs.
func (s *Scheduler) getArchived(ctx context.Context, account ident.Account, id ident.Job) (JobView, error) {
	const step = "read archived job"
	if s.config.Archive == nil || DataCentreOf(id) != s.config.DataCentre {
		return JobView{}, fault.New(fault.NotFound, step, "", "no job %s", id)
	}
	body, err := s.config.Archive.Get(ctx, archiveKey(id))
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
