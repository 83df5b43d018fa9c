package sched_test

import (
	"context"
	"encoding/json"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/elect"
	"github.com/sardineline/sardineline/sard/entry"
	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/policy"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// workerTable is the table of the list of workers in tests.
const workerTable = "workers"

// rig is a store, a fleet, and instances that contend for the lease, in virtual time.
type rig struct {
	t      *testing.T
	ctx    context.Context
	store  *store.Memory
	fleet  *fakes.Fleet
	api    *entry.Jobs
	policy *policy.Policy
	group  errgroup.Group
	log    hclog.Logger
	stops  []context.CancelFunc
	// away makes all calls to the store fail; lost loses the answers of writes.
	away, lost atomic.Bool
	// disturbed tells that promises that hold only undisturbed are not checked.
	disturbed atomic.Bool
	// poison are the jobs of which all attempts fail.
	poison map[ident.Job]bool
}

// play runs a test with a rig of some workers, 8 a rack.
func play(t *testing.T, workers int, test func(*rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := newRig(t, workers)
		test(r)
		for _, stop := range r.stops {
			stop()
		}
		assert.NilError(t, r.group.Wait())
		assert.DeepEqual(t, r.fleet.Violations(), []string(nil))
	})
}

func newRig(t *testing.T, workers int) *rig {
	r := &rig{t: t, ctx: t.Context(), store: &store.Memory{}, poison: map[ident.Job]bool{}, log: hclog.NewNullLogger()}
	r.fleet = fakes.NewFleet(func(time.Duration) bool { return !r.disturbed.Load() })
	if testing.Verbose() {
		r.log = hclog.New(&hclog.LoggerOptions{Output: t.Output()})
	}
	r.store.InjectError = func(_ string, done bool) error {
		if r.away.Load() && !done {
			return fault.New(fault.Unavailable, "call", "store", "away")
		}
		if r.lost.Load() && done {
			return fault.New(fault.OutcomeUnknown, "call", "store", "answer lost")
		}
		return nil
	}
	r.api = entry.New(entry.Config{Store: r.store})
	r.policy = &policy.Policy{
		Queues:   []policy.Queue{{Name: "q", Settings: terms(1)}, {Name: "urgent", Settings: terms(work.Guaranteed)}},
		Accounts: []policy.Account{{Name: "a", Guarantee: 16}},
	}
	r.policy.BuildIndex()
	for i := range workers {
		r.list(r.fleet.AddWorker(newEntry(workerName(i), ident.Rack(fmt.Sprintf("r%d", i/8)))))
	}
	return r
}

// workerName names the workers of a rig: wa, wb and so on.
func workerName(i int) ident.Worker {
	return ident.Worker("w" + string(rune('a'+i)))
}

// newEntry is a worker of 8 accelerators.
func newEntry(name ident.Worker, rack ident.Rack) sched.ListedWorker {
	return sched.ListedWorker{
		Worker: pool.Worker{
			WorkerProcess: work.WorkerProcess{Worker: name, StartedMs: time.Now().UnixMilli()}, Service: "s", Rack: rack,
			Capacity: work.Resources{CPU: 128000, Memory: 262144, Accelerators: 8}, Accepting: true,
		},
		Address: string(name),
	}
}

func terms(p work.Priority) work.QueueSettings {
	return work.QueueSettings{Service: "s", Priority: p, Failures: 3, Stretch: 3, Target: time.Second}
}

// list puts a worker's entry into the list, as it is now.
func (r *rig) list(w *fakes.Worker) {
	r.t.Helper()
	var value []byte
	var err error
	r.change(func() { value, err = json.Marshal(w.Entry) })
	assert.NilError(r.t, err)
	_, err = r.store.Apply(r.ctx, store.Tx{Put: []store.Put{{Key: listKey(w), Value: value}}})
	assert.NilError(r.t, err)
}

// unlist takes a worker out of the list.
func (r *rig) unlist(w *fakes.Worker) {
	r.t.Helper()
	_, err := r.store.Apply(r.ctx, store.Tx{Delete: []store.Key{listKey(w)}})
	assert.NilError(r.t, err)
}

func listKey(w *fakes.Worker) store.Key {
	return store.Key{Table: workerTable, Name: string(w.Entry.WorkerProcess.Worker)}
}

// instance starts an instance and returns a function that kills it.
func (r *rig) instance(name string) context.CancelFunc {
	ctx, stop := context.WithCancel(r.ctx)
	r.stops = append(r.stops, stop)
	var killed atomic.Bool
	rows := &cutStore{Store: r.store, cut: &killed}
	c := elect.New(elect.Config{Store: rows, Instance: ident.Instance(name), ProcessID: "1", Logger: r.log.Named(name)})
	r.group.Go(func() error {
		return c.Run(ctx, func(ctx context.Context, held *elect.Lease) error {
			return sched.Run(ctx, held, r.config(name, rows, &killed))
		})
	})
	return func() {
		killed.Store(true)
		stop()
	}
}

// cutStore is a store that a killed instance can't reach.
type cutStore struct {
	store.Store
	cut *atomic.Bool
}

// Apply makes a transaction unless the instance was killed.
func (c *cutStore) Apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	if c.cut.Load() {
		return store.Result{}, fault.New(fault.Unavailable, "apply", "store", "killed")
	}
	return c.Store.Apply(ctx, tx)
}

func (r *rig) config(name string, rows store.Store, killed *atomic.Bool) sched.Config {
	return sched.Config{
		Store: rows, WorkerTable: workerTable,
		DecodeWorker: func(row store.Row) (sched.ListedWorker, error) {
			var e sched.ListedWorker
			return e, json.Unmarshal(row.Value, &e)
		},
		NewClient: func(e sched.ListedWorker) sched.WorkerClient {
			return &cutClient{WorkerClient: r.fleet.Worker(e.WorkerProcess.Worker), cut: killed}
		},
		Policy:      func() *policy.Policy { return r.policy },
		WorkerLease: 5 * time.Second, MaxStopTime: 400 * time.Millisecond, JobRetention: time.Minute,
		Logger: r.log.Named(name),
	}
}

// cutClient is a client that a killed instance can't use.
type cutClient struct {
	sched.WorkerClient
	cut *atomic.Bool
}

// Start starts an attempt unless the instance was killed.
func (c *cutClient) Start(ctx context.Context, o sched.StartRequest) (sched.Reply, error) {
	if c.cut.Load() {
		return sched.Reply{}, fault.New(fault.Unavailable, "start", "worker", "killed")
	}
	return c.WorkerClient.Start(ctx, o)
}

// acceleratorsOf returns what each part of a job needs: one accelerator, or eight where the id starts with "w".
func acceleratorsOf(id ident.Job) ident.Accelerators {
	if id[0] == 'w' {
		return 8
	}
	return 1
}

// submit hands a job of one step in.
func (r *rig) submit(id ident.Job, length time.Duration, step work.Step) {
	r.t.Helper()
	step.Need = work.Resources{CPU: 10000, Memory: 10000, Accelerators: acceleratorsOf(id)}
	step.Estimate = length
	queue := work.QueueName("q")
	if id[len(id)-1] == '!' {
		queue = "urgent"
	}
	job := &work.Job{
		ID: id, Account: "a", Queue: queue, Terms: r.policy.Queue(queue).Settings, Payload: "run",
		Steps: []work.Step{step}, AcceptedMs: time.Now().UnixMilli(),
	}
	r.fleet.AddJob(&fakes.Job{Spec: job, RunTime: length, AlwaysFails: r.poison[id]})
	assert.NilError(r.t, r.api.Submit(r.ctx, job))
}

// await waits until a job is in a state.
func (r *rig) await(id ident.Job, want ident.JobState, within time.Duration) {
	r.t.Helper()
	limit := time.Now().Add(within)
	for {
		state, err := r.api.State(r.ctx, "a", id)
		assert.NilError(r.t, err)
		if state == want {
			return
		}
		if time.Now().After(limit) {
			r.t.Fatalf("job %s is %v and not %v after %v", id, state, want, within)
		}
		clock.Sleep(r.ctx, 20*time.Millisecond)
	}
}

// sleep lets virtual time pass.
func (r *rig) sleep(d time.Duration) {
	r.t.Helper()
	clock.Sleep(r.ctx, d)
}

// change changes the fleet.
func (r *rig) change(f func()) {
	r.fleet.Update(f)
}
