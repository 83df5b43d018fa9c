package work

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
)

// Tables of the scheduler, and the partition of the rows that only the lease holder writes. Those rows share one
// partition so that a single transaction can also check the lease. Rows that any instance writes are spread over
// Shards, since the store serializes the transactions of a partition.
const (
	JobTable      = "job"
	WaitTable     = "wait"
	ProgressTable = "run"
	JournalTable  = "journal"
	LearnedTable  = "learned"
	MainPartition = ""
)

// Shards returns the names of the partitions that hold the rows of JobTable and WaitTable.
func Shards() []string {
	return []string{"s0", "s1", "s2", "s3"}
}

// ShardOf returns the partition of a job's rows in JobTable and WaitTable.
func ShardOf(id ident.Job) string {
	shards := Shards()
	return shards[xxhash.Sum64String(string(id))%uint64(len(shards))]
}

// waitSeparator separates the queue and the job in the names of rows in WaitTable.
const waitSeparator = "/"

// JobKey returns the key of an open job's row.
func JobKey(id ident.Job) store.Key {
	return store.Key{Table: JobTable, Partition: ShardOf(id), Name: string(id)}
}

// ProgressKey returns the key of the row with a job's Progress.
func ProgressKey(id ident.Job) store.Key {
	return store.Key{Table: ProgressTable, Partition: MainPartition, Name: string(id)}
}

// WaitKey returns the key of the row that exists from the acceptance of a job until its first part is started.
func WaitKey(queue QueueName, id ident.Job) store.Key {
	return store.Key{Table: WaitTable, Partition: ShardOf(id), Name: string(queue) + waitSeparator + string(id)}
}

// WaitRange returns the range of rows in a shard for a queue's jobs of which no part was started.
func WaitRange(shard string, queue QueueName) store.Range {
	return store.PrefixRange(WaitTable, shard, string(queue)+waitSeparator)
}

// JobRow is the value of a row in JobTable: an accepted job, or a refused submission.
type JobRow struct {
	// Refused is set if a submission with this ID was refused. A later submission may still use the ID.
	Refused bool `cbor:",omitempty"`
	// Withdrawn is set, together with Refused, if Account cancelled the job before it was accepted. Later submissions of that
	// account have no effect either.
	Withdrawn bool          `cbor:",omitempty"`
	Account   ident.Account `cbor:",omitempty"`
	Job       *Job          `cbor:",omitempty"`
}

// WithdrawnBy reports whether an account cancelled the job before it was accepted.
func (r JobRow) WithdrawnBy(account ident.Account) bool {
	return r.Withdrawn && r.Account == account
}

// Progress is the recorded progress of a job, from which a new lease holder continues.
type Progress struct {
	State   ident.JobState
	Account ident.Account
	Queue   QueueName
	// Lives lists the worker processes that Groups and CrashCounts refer to by index.
	Lives []WorkerProcess `cbor:",omitempty"`
	// CompleteBelow is the number of the first occurrence that may not be complete, which means that all its parts are done.
	CompleteBelow int `cbor:",omitempty"`
	// Complete holds the numbers of the later occurrences that are complete. Groups of complete occurrences are omitted from
	// Groups.
	Complete []int `cbor:",omitempty"`
	// Groups holds the groups that were placed at least once.
	Groups []Group `cbor:",omitempty"`
	// Failing holds the indexes in Groups of groups whose current attempt has failed while some of its parts may still
	// run. Their Failures include that attempt.
	Failing []int `cbor:",omitempty"`
	// CrashCounts holds the parts of which the last attempts coincided with crashes of their workers.
	CrashCounts []PartCrashes `cbor:",omitempty"`
	// Hosts lists the hosts that the Hosts fields of CrashCounts refer to by index.
	Hosts []ident.Host `cbor:",omitempty"`
	// EndedMs is the Unix time in milliseconds at which the job ended, from which its retention is counted; 0 while it
	// is open.
	EndedMs int64 `cbor:",omitempty"`
	// FurtherRows is the number of further rows that hold the record, if it is too large for one row.
	FurtherRows int `cbor:",omitempty"`
}

// WorkerProcess identifies one process of a worker. A restarted worker has a different StartedMs.
type WorkerProcess struct {
	_      struct{} `cbor:",toarray"`
	Worker ident.Worker
	// StartedMs is the Unix time in milliseconds at which the process started, by the worker's clock.
	StartedMs int64
}

// Group is the recorded progress of parts that are started and retried together: a gang, or a single part.
type Group struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	// First is the index of the group's first part.
	First    int
	Attempt  ident.Attempt
	Failures int
	Done     bool
	// Placed is set if parts of the attempt may be running on Workers.
	Placed bool
	// Ending is set if the attempt is to be stopped.
	Ending     bool
	Checkpoint Checkpoint
	// Workers holds, for each part of a placed group, the index of its worker process in Progress.Lives, the list of
	// the job's worker processes. It is NoWorkerIndex for parts that do not run any more.
	Workers []int
}

// PartCrashes counts the crashes of workers that may be due to a part.
type PartCrashes struct {
	_ struct{} `cbor:",toarray"`
	// Group is the index of the part's group in Progress.Groups, and Part that of the part in its step.
	Group, Part int
	// Likely is the number of crashes that are likely to be due to the part.
	Likely int
	// Hosts holds, for each other crash that may be due to the part, the index of the worker's host in Progress.Hosts.
	Hosts []int
	// Attempt is the attempt of the latest crash, and Process the index in Progress.Lives of the worker process.
	Attempt ident.Attempt
	Process int
}

// Crash identifies the crash of a worker process soon after the start of an attempt.
type Crash struct {
	Attempt ident.Attempt
	Process WorkerProcess
}

// NoWorkerIndex is used in Group.Workers for a part that is known not to run.
const NoWorkerIndex = -1

// Encode encodes the value of a row as CBOR.
func Encode(record any) ([]byte, error) {
	value, err := cbor.Marshal(record)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode record", "")
	}
	return value, nil
}

// Decode decodes the CBOR value of a row into record.
func Decode(value []byte, record any) error {
	if err := cbor.Unmarshal(value, record); err != nil {
		return fault.Wrap(err, fault.Invalid, "decode record", "store")
	}
	return nil
}
