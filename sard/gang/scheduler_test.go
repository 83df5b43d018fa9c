package gang_test

import (
	"context"
	"fmt"
	"os"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/lease"
	"github.com/sardineline/sardineline/sard/object"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/table"
	"github.com/sardineline/sardineline/sard/worker"
)

// dc is the data centre of all tests.
const dc ident.DataCentre = "dc1"

// testCluster is a data centre with a table, fake workers and instances that compete for its domain.
type testCluster struct {
	t        *testing.T
	store    *table.Memory
	recorder *runRecorder
	workers  map[ident.Worker]*fakeWorker
	fleet    []fleet.Worker
	group    errgroup.Group
	// client returns the client of a worker.
	client func(name ident.Worker, address string) worker.Client
	// archive is the object store for ended jobs; nil for none.
	archive object.Store
	// wrapStore wraps the table used by an instance; nil for no wrapping.
	wrapStore func(table.Store) table.Store
}

// newTestCluster returns a cluster of workers with 8 accelerators each and no instances.
func newTestCluster(t *testing.T, racks, perRack int) *testCluster {
	c := &testCluster{t: t, store: &table.Memory{}, recorder: newRunRecorder(), workers: map[ident.Worker]*fakeWorker{}}
	c.client = func(name ident.Worker, _ string) worker.Client { return c.workers[name] }
	for rack := range racks {
		for i := range perRack {
			name := ident.Worker(fmt.Sprintf("r%d-w%d", rack, i))
			c.workers[name] = newFakeWorker(name, c.recorder)
			c.fleet = append(c.fleet, fleet.Worker{
				Name: name, Address: string(name), DataCentre: dc,
				Rack: ident.Rack(fmt.Sprintf("r%d", rack)), Accelerators: 8, Index: i,
			})
		}
	}
	return c
}

// instance is an instance that acquires the lease and runs the domain.
type instance struct {
	scheduler *gang.Scheduler
	lease     *lease.Lease
	// crash stops the instance without releasing the lease.
	crash context.CancelFunc
	done  chan struct{}
}

// logger returns a logger that writes to standard error if SARDINE_LOG is set; otherwise nil.
func (c *testCluster) logger() hclog.Logger {
	if os.Getenv("SARDINE_LOG") == "" {
		return nil
	}
	return hclog.New(&hclog.LoggerOptions{Level: hclog.Debug, TimeFn: time.Now})
}

// startInstance acquires the lease and runs the domain.
func (c *testCluster) startInstance(name ident.Instance) *instance {
	var store table.Store = c.store
	if c.wrapStore != nil {
		store = c.wrapStore(store)
	}
	ctx, cancel := context.WithCancel(c.t.Context())
	held, err := lease.New(lease.Config{Store: store, Instance: name}).Acquire(ctx, dc)
	assert.NilError(c.t, err)
	inst := &instance{lease: held, crash: cancel, done: make(chan struct{})}
	inst.scheduler = gang.New(gang.Config{
		DataCentre: dc, Store: store, Lease: held, Engine: place.New(place.Config{}), Logger: c.logger(),
		WorkerClient: c.client, Archive: c.archive,
	})
	inst.scheduler.Configure(place.Configure{
		Objective: place.Objective{CompletionTime: 1, Fragmentation: 1},
		Accounts:  []place.Account{{Name: "acme", Weight: 1}},
	})
	inst.scheduler.SetTopology(c.fleet)
	c.group.Go(func() error { return held.KeepAlive(ctx) })
	c.group.Go(func() error {
		defer close(inst.done)
		return inst.scheduler.Run(ctx)
	})
	return inst
}

// awaitReady waits until the domain has recovered.
func (inst *instance) awaitReady() *instance {
	for !inst.scheduler.Ready() {
		time.Sleep(100 * time.Millisecond)
	}
	return inst
}

// handOver stops the instance and releases the lease, as in a planned shutdown.
func (inst *instance) handOver(ctx context.Context) error {
	inst.crash()
	<-inst.done
	return inst.lease.Release(ctx)
}

// shutDown stops all instances and waits for their goroutines.
func (c *testCluster) shutDown(instances ...*instance) {
	for _, inst := range instances {
		inst.crash()
	}
	assert.NilError(c.t, c.group.Wait())
	assert.DeepEqual(c.t, c.recorder.foundViolations(), []string(nil))
}

// jobSpec returns a checkpointable job with a run time for the fake workers.
func jobSpec(accelerators ident.Accelerators, runTime string) gang.JobSpec {
	return gang.JobSpec{Kind: "pricing", Accelerators: accelerators, Command: runTime, Checkpointable: true, RunTime: ident.Duration(time.Minute)}
}

// submit submits a job that must be accepted.
func (inst *instance) submit(t *testing.T, key string, spec gang.JobSpec) gang.JobView {
	view, err := inst.scheduler.Submit(t.Context(), "acme", ident.IdempotencyKey(key), spec)
	assert.NilError(t, err)
	return view
}

// get returns a job that must exist.
func (inst *instance) get(t *testing.T, id ident.Job) gang.JobView {
	view, err := inst.scheduler.Get(t.Context(), "acme", id)
	assert.NilError(t, err)
	return view
}

// checkRanOnce checks that exactly one attempt of a job ran to its end.
func (c *testCluster) checkRanOnce(id ident.Job) {
	all, _ := c.recorder.countSucceeded(id)
	assert.Equal(c.t, all, 1)
}

// TestJobRunsOverHTTP checks that a gang runs to its end when the workers are called over HTTP.
func TestJobRunsOverHTTP(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 1, 2)
		network := c.serveHTTP()
		inst := c.startInstance("i1").awaitReady()
		view := inst.submit(t, "k1", jobSpec(16, "30s"))
		time.Sleep(time.Second)
		assert.Equal(t, inst.get(t, view.ID).State, ident.Running)
		time.Sleep(30 * time.Second)
		assert.Equal(t, inst.get(t, view.ID).State, ident.Succeeded)
		c.checkRanOnce(view.ID)
		c.shutDown(inst)
		network.close()
	})
}

// TestJobRuns checks that a gang runs once to its end and that a repeated submission returns the same job.
func TestJobRuns(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 2, 8)
		inst := c.startInstance("i1").awaitReady()
		first := inst.submit(t, "k1", jobSpec(64, "10m"))
		repeated := inst.submit(t, "k1", jobSpec(64, "10m"))
		assert.Equal(t, first.ID, repeated.ID)
		time.Sleep(time.Second)
		assert.Equal(t, inst.get(t, first.ID).State, ident.Running)
		time.Sleep(10 * time.Minute)
		assert.Equal(t, inst.get(t, first.ID).State, ident.Succeeded)
		c.checkRanOnce(first.ID)
		c.shutDown(inst)
	})
}
