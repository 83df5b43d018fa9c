package entry

import (
	"context"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// Refuse stores a refusal of a job, so that no earlier submission with its ID takes effect any more, at whatever instance it
// was made. It returns false if the job has been accepted already. A later submission may still use the ID.
func (j *Jobs) Refuse(ctx context.Context, job *work.Job) (refused bool, err error) {
	if deadline, ok := ctx.Deadline(); ok {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline.Add(-replyTime))
		defer cancel()
	}
	r := refusal{jobs: j, id: job.ID, row: work.JobRow{Refused: true}}
	err = j.retryUntilKnown(ctx, work.ShardOf(job.ID), r.write)
	if fault.Is(err, fault.Conflict) {
		_, _, err := findExisting(r.current, job)
		return false, err
	}
	if err != nil {
		return false, fault.Wrap(err, fault.OutcomeUnknown, "settle submission", "store")
	}
	return true, nil
}

// refusal is the attempt to store a refusal or a withdrawal in place of a job.
//
// A submission that replaces a refusal does so on condition of its version, and its write may take effect late. So a refusal
// that is found is written again: its new version prevents that.
type refusal struct {
	jobs *Jobs
	id   ident.Job
	row  work.JobRow
	// replaces is the version of the row that was found first, or 0.
	replaces store.Version
	// current holds the rows of the ID that were in the way of the last write.
	current []store.Row
}

// write stores the row, and returns nil if no earlier submission can take effect any more. It fails with Conflict if the ID
// has a job.
func (r *refusal) write(ctx context.Context) error {
	for {
		err := r.put(ctx)
		if !fault.Is(err, fault.Conflict) {
			return err
		}
		found, version, err := decodeRow(r.current)
		if err != nil {
			return err
		}
		if found.Job != nil && !found.Refused {
			return fault.New(fault.Conflict, "refuse", "store", "the id %s has a job", r.id)
		}
		if r.isSettledBy(found, version) {
			return nil
		}
		r.replaces = version
	}
}

// isSettledBy reports whether a refusal that was found serves as well as that of r. It does if it was written after another
// one that was found before.
func (r *refusal) isSettledBy(found work.JobRow, version store.Version) bool {
	if r.row.Withdrawn {
		return found.WithdrawnBy(r.row.Account)
	}
	return r.replaces != 0 && version > r.replaces
}

// put writes the row on condition of the version that is to be replaced. A withdrawal is not replaced by a plain refusal.
func (r *refusal) put(ctx context.Context) error {
	row := r.row
	if found, _, err := decodeRow(r.current); err == nil && found.Withdrawn && !row.Withdrawn {
		row = found
	}
	value, err := work.Encode(row)
	if err != nil {
		return err
	}
	key := work.JobKey(r.id)
	result, err := r.jobs.apply(ctx, store.Tx{
		Preconditions: []store.Precondition{{Key: key, Version: r.replaces}},
		Put:           []store.Put{{Key: key, Value: value}},
	})
	if fault.Is(err, fault.Conflict) {
		r.current = result.Current
	}
	return err
}

// decodeRow decodes the row of an ID, with its version. Both are zero if the ID has no row.
func decodeRow(rows []store.Row) (work.JobRow, store.Version, error) {
	var decoded work.JobRow
	if len(rows) == 0 {
		return decoded, 0, nil
	}
	err := work.Decode(rows[0].Value, &decoded)
	return decoded, rows[0].Version, err
}
