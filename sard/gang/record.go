package gang

import (
	"encoding/json"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/table"
)

// record is the body of a job's item in the table. The item's partition is "jobs/" followed by the data centre, and its
// sort key is the job ID.
type record struct {
	ID             ident.Job
	Account        ident.Account
	IdempotencyKey ident.IdempotencyKey `json:",omitempty"`
	Spec           JobSpec
	State          ident.JobState
	// Attempt is the number of the latest attempt of the job.
	Attempt ident.Attempt
	// Parts are the workers and accelerators of the current attempt, which may still be in use.
	Parts     []place.Part `json:",omitempty"`
	Borrowed  bool         `json:",omitempty"`
	Submitted time.Time
	Started   time.Time `json:",omitzero"`
	Ended     time.Time `json:",omitzero"`
	Reason    string    `json:",omitempty"`
	// Checkpoint is the name of the object from which the next attempt resumes.
	Checkpoint string `json:",omitempty"`
}

// submission is the body of an idempotency key's item. The item's partition is "keys/" followed by the account, and its
// sort key is the idempotency key. It is written in the same batch as the job's first record.
type submission struct {
	Job  ident.Job
	Spec JobSpec
}

// jobsPartition returns the partition key of the table items of a data centre's jobs.
func jobsPartition(dc ident.DataCentre) string {
	return "jobs/" + string(dc)
}

// jobKey returns the key of the table item that holds a job's record.
func jobKey(job ident.Job) table.Key {
	return table.Key{Partition: jobsPartition(DataCentreOf(job)), Sort: string(job)}
}

// submissionKey returns the key of the table item that holds the submission with an idempotency key.
func submissionKey(account ident.Account, key ident.IdempotencyKey) table.Key {
	return table.Key{Partition: "keys/" + string(account), Sort: string(key)}
}

// encode marshals the body of a table item to JSON. It panics on an error, which the types used here can't cause.
func encode(body any) []byte {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return text
}

// decode unmarshals the body of a table item from JSON.
func decode[T any](item table.Item) (T, error) {
	var body T
	if err := json.Unmarshal(item.Body, &body); err != nil {
		return body, fault.Wrap(err, fault.Internal, "decode "+item.Key.Sort, "table")
	}
	return body, nil
}

// view returns the job as shown to the account that submitted it.
func (r *record) view() JobView {
	return JobView{
		ID:         r.ID,
		Account:    r.Account,
		Spec:       r.Spec,
		State:      r.State,
		Attempt:    r.Attempt,
		DataCentre: DataCentreOf(r.ID),
		Submitted:  r.Submitted,
		Started:    r.Started,
		Ended:      r.Ended,
		Reason:     r.Reason,
		Parts:      r.Parts,
	}
}

// job returns the job in the form that the engine takes.
func (r *record) job() place.Job {
	return place.Job{
		ID:             r.ID,
		Account:        r.Account,
		Kind:           r.Spec.Kind,
		Accelerators:   r.Spec.Accelerators,
		RunTime:        r.Spec.RunTime.Std(),
		Checkpointable: r.Spec.Checkpointable,
		Urgent:         r.Spec.Urgent,
		Submitted:      r.Submitted,
		Attempt:        r.Attempt,
	}
}
