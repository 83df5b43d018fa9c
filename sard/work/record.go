package work

import (
	"github.com/cespare/xxhash/v2"
	"github.com/fxamacker/cbor/v2"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
)

// The tables of the scheduler's rows. What only the holder of the lease writes is in the part MainPartition, so that one
// transaction can hold it to the lease. The rows that any instance writes are spread over Shards, as the store makes
// the transactions of a part one after another.
const (
	JobTable      = "job"
	WaitTable     = "wait"
	ProgressTable = "run"
	JournalTable  = "journal"
	MainPartition = ""
)

// Shards returns the parts of JobTable and WaitTable.
func Shards() []string {
	return []string{"s0", "s1", "s2", "s3"}
}

// ShardOf returns the part of a job's rows in JobTable and WaitTable.
func ShardOf(id ident.Job) string {
	shards := Shards()
	return shards[xxhash.Sum64String(string(id))%uint64(len(shards))]
}

// waitSeparator lies between the queue and the job in the name of a row of WaitTable.
const waitSeparator = "/"

// JobKey is the key of an open job's record.
func JobKey(id ident.Job) store.Key {
	return store.Key{Table: JobTable, Partition: ShardOf(id), Name: string(id)}
}

// ProgressKey is the key of a job's Progress.
func ProgressKey(id ident.Job) store.Key {
	return store.Key{Table: ProgressTable, Partition: MainPartition, Name: string(id)}
}

// WaitKey is the key of the row that a job has until its first part is started.
func WaitKey(queue QueueName, id ident.Job) store.Key {
	return store.Key{Table: WaitTable, Partition: ShardOf(id), Name: string(queue) + waitSeparator + string(id)}
}

// WaitRange selects the rows of a queue's jobs in a shard of which no part was started.
func WaitRange(shard string, queue QueueName) store.Range {
	return store.PrefixRange(WaitTable, shard, string(queue)+waitSeparator)
}

// JobRow is the value of a row of JobTable: an accepted job, or the refusal of one.
type JobRow struct {
	// Refused tells that the id was given no job; a later submission may still take it.
	Refused bool `cbor:",omitempty"`
	Job     *Job `cbor:",omitempty"`
}

// Progress is how far a job has come.
type Progress struct {
	State   ident.JobState
	Account ident.Account
	Queue   QueueName
	// Lives are the processes of workers that Groups name by index.
	Lives []WorkerProcess `cbor:",omitempty"`
	// Complete are the occurrences of which all parts are done; their groups are left out.
	Complete []int `cbor:",omitempty"`
	// Groups are those that were ever placed.
	Groups []Group `cbor:",omitempty"`
	// Failing are the indexes in Groups of those whose Failures count the present attempt, which has failed and of which
	// parts may still run.
	Failing []int `cbor:",omitempty"`
	// EndedMs is the Unix time in milliseconds of the end, for the retention period; 0 while the job is open.
	EndedMs int64 `cbor:",omitempty"`
}

// WorkerProcess is one process of a worker. A worker that starts again has another Born.
type WorkerProcess struct {
	_      struct{} `cbor:",toarray"`
	Worker ident.Worker
	// StartedMs is the Unix time in milliseconds at which the process started, by the worker's own clock.
	StartedMs int64
}

// Group is the progress of parts that share their attempts: a gang, or a single part.
type Group struct {
	_          struct{} `cbor:",toarray"`
	Occurrence int
	Step       int
	// First is the index of the group's first part.
	First    int
	Attempt  ident.Attempt
	Failures int
	Done     bool
	// Placed tells that parts of the attempt may be running at Workers.
	Placed bool
	// Ending tells that the attempt is to be stopped.
	Ending     bool
	Checkpoint Checkpoint
	// Workers holds the index in Lives of each part's worker while the group is placed; NoWorker for parts that
	// are gone.
	Workers []int
}

// NoWorkerIndex stands for the worker of a part that surely does not run.
const NoWorkerIndex = -1

// Encode makes the value of a row.
func Encode(record any) ([]byte, error) {
	value, err := cbor.Marshal(record)
	if err != nil {
		return nil, fault.Wrap(err, fault.Internal, "encode record", "")
	}
	return value, nil
}

// Decode reads the value of a row into record.
func Decode(value []byte, record any) error {
	if err := cbor.Unmarshal(value, record); err != nil {
		return fault.Wrap(err, fault.Invalid, "decode record", "store")
	}
	return nil
}
