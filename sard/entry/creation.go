package entry

import (
	"context"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// maxJobBytes is the maximum size of a job's record. It leaves room for the mark of its cancellation.
const maxJobBytes = store.MaxRowBytes - 1<<10

// creation is one submission's attempt to store a job. Its writes may take effect late, so it replaces at most one refusal:
// another one was stored after the submission came in, and must hold.
type creation struct {
	jobs *Jobs
	job  *work.Job
	// replaces is the version of the refusal that the job replaces, or 0 if the ID has no row.
	replaces store.Version
	// unanswered is set once a write had an unknown outcome.
	unanswered bool
}

// write stores the job if its ID has no row, or one with a refusal. When repeated after an unknown outcome, it finds out
// whether an earlier write took effect.
func (c *creation) write(ctx context.Context) error {
	result, err := c.put(ctx)
	if !fault.Is(err, fault.Conflict) {
		return err
	}
	accepted, refusal, err := findExisting(result.Current, c.job)
	if accepted || err != nil {
		return err
	}
	if refusal != 0 && (c.replaces != 0 || c.unanswered) {
		return fault.New(fault.Unavailable, "submit", "store", "the id %s was refused meanwhile", c.job.ID)
	}
	c.replaces = refusal
	_, err = c.put(ctx)
	if fault.Is(err, fault.Conflict) {
		return fault.Wrap(err, fault.OutcomeUnknown, "submit", "store")
	}
	return err
}

// put writes the job's rows on condition of the version that is to be replaced.
func (c *creation) put(ctx context.Context) (store.Result, error) {
	key := work.JobKey(c.job.ID)
	value, err := work.Encode(work.JobRow{Job: c.job})
	if err != nil {
		return store.Result{}, err
	}
	if len(value) > maxJobBytes {
		return store.Result{}, fault.New(fault.Invalid, "submit", "", "the record of the job has %d bytes, the maximum is %d", len(value), maxJobBytes)
	}
	result, err := c.jobs.apply(ctx, store.Tx{
		Preconditions: []store.Precondition{{Key: key, Version: c.replaces}},
		Put:           []store.Put{{Key: key, Value: value}, {Key: work.WaitKey(c.job.Queue, c.job.ID)}},
	})
	c.unanswered = c.unanswered || fault.Is(err, fault.OutcomeUnknown)
	return result, err
}

// findExisting reports whether the row of an ID already contains the job. If it contains a refusal, it returns the version of
// that row. It fails if the ID belongs to a job of another account or queue, or if the account has withdrawn the job.
func findExisting(rows []store.Row, job *work.Job) (accepted bool, refusal store.Version, err error) {
	decoded, version, err := decodeRow(rows)
	switch {
	case err != nil:
		return false, 0, err
	case decoded.WithdrawnBy(job.Account):
		return false, 0, fault.New(fault.Conflict, "submit", "", "id %s was cancelled", job.ID)
	case decoded.Refused || decoded.Job == nil:
		return false, version, nil
	case decoded.Job.Account != job.Account:
		return false, 0, fault.New(fault.Conflict, "submit", "", "id %s is taken", job.ID)
	case decoded.Job.Queue != job.Queue:
		return false, 0, fault.New(fault.Conflict, "submit", "", "id %s is that of a job in queue %s", job.ID, decoded.Job.Queue)
	}
	return true, 0, nil
}
