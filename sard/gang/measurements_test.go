package gang_test

import (
	"context"
	"encoding/json"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/lease"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/table"
	"github.com/sardineline/sardineline/sard/worker"
)

// TestWorkerTraffic measures the traffic between the lease holder and its workers while nothing changes, including HTTP
// headers.
func TestWorkerTraffic(t *testing.T) {
	tests := []struct {
		name string
		// parts is the number of running parts on each worker, ended that of ended ones.
		parts, ended int
	}{
		{"idle", 0, 0},
		{"1 part", 1, 0},
		{"8 parts", 8, 0},
		{"8 ended parts", 0, 8},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster(t, 1, 4)
				network := c.serveHTTP()
				inst := c.startInstance("i1").awaitReady()
				for range test.parts * len(c.fleet) {
					inst.submit(t, "", jobSpec(1, "10h"))
				}
				for range test.ended * len(c.fleet) {
					inst.submit(t, "", jobSpec(1, "1s"))
				}
				time.Sleep(5 * time.Minute)
				bytesBefore := network.bytes.Load()
				time.Sleep(10 * time.Minute)
				bytesPerSecond := float64(network.bytes.Load()-bytesBefore) / (10 * 60) / float64(len(c.fleet))
				t.Logf("%s: %.1f bytes/s per worker, %.2f KB/s for 283 workers", test.name, bytesPerSecond, bytesPerSecond*283/1000)
				c.shutDown(inst)
				network.close()
			})
		})
	}
}

// TestWrites measures the number of table writes per job.
func TestWrites(t *testing.T) {
	for _, jobs := range []int{1, 100, 1000} {
		synctest.Test(t, func(t *testing.T) {
			c := newTestCluster(t, 36, 8)
			store := &countingStore{terminalWrites: map[string]int{}}
			c.wrapStore = func(table.Store) table.Store { return slowStore{store} }
			inst := c.startInstance("i1").awaitReady()
			for i := range jobs {
				c.group.Go(func() error {
					_, err := inst.scheduler.Submit(context.Background(), "acme", ident.IdempotencyKey(fmt.Sprint(i)), jobSpec(1, "1m"))
					return err
				})
			}
			time.Sleep(3 * time.Minute)
			views, err := inst.scheduler.List(t.Context(), "")
			assert.NilError(t, err)
			for _, v := range views {
				assert.Equal(t, v.State, ident.Succeeded)
			}
			store.mu.Lock()
			t.Logf("%d jobs: %.2f items and %.3f transactions per job", jobs,
				float64(store.itemsWritten-store.leaseWrites)/float64(jobs), float64(store.transactions-store.leaseWrites)/float64(jobs))
			store.mu.Unlock()
			c.shutDown(inst)
		})
	}
}

// slowStore is a table whose writes take 10 ms.
type slowStore struct{ table.Store }

// Apply applies a batch after 10 ms.
func (c slowStore) Apply(ctx context.Context, p table.Priority, batch ...table.Write) error {
	time.Sleep(10 * time.Millisecond)
	return c.Store.Apply(ctx, p, batch...)
}

// BenchmarkRebuild measures a takeover from the acquisition of the lease until the domain is ready. One job runs on each
// accelerator and the others are queued.
func BenchmarkRebuild(b *testing.B) {
	for _, jobs := range []int{1000, 10000, 17000} {
		b.Run(fmt.Sprintf("%d-jobs", jobs), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				c := newPopulatedCluster(b, jobs)
				ctx, cancel := context.WithCancel(b.Context())
				held, err := lease.New(lease.Config{Store: c.store, Instance: "i1"}).Acquire(ctx, dc)
				assert.NilError(b, err)
				b.StartTimer()
				scheduler := gang.New(gang.Config{
					DataCentre: dc, Store: c.store, Lease: held, Engine: place.New(place.Config{}),
					WorkerClient: func(name ident.Worker, _ string) worker.Client { return c.workers[name] },
				})
				scheduler.Configure(place.Configure{Accounts: []place.Account{{Name: "acme", Weight: 1}}})
				scheduler.SetTopology(c.fleet)
				c.group.Go(func() error { return scheduler.Run(ctx) })
				for !scheduler.Ready() {
					time.Sleep(time.Millisecond)
				}
				b.StopTimer()
				cancel()
				assert.NilError(b, c.group.Wait())
			}
		})
	}
}

// storedJob has those fields of a job's record that a takeover reads.
type storedJob struct {
	ID        ident.Job
	Account   ident.Account
	Spec      gang.JobSpec
	State     ident.JobState
	Attempt   ident.Attempt
	Parts     []place.Part
	Submitted time.Time
	Started   time.Time
}

// newPopulatedCluster returns a cluster of 288 workers whose table and workers contain the jobs of an earlier holder.
func newPopulatedCluster(b *testing.B, jobs int) *testCluster {
	c := &testCluster{store: &table.Memory{}, recorder: newRunRecorder(), workers: map[ident.Worker]*fakeWorker{}}
	for i := range 288 {
		name := ident.Worker(fmt.Sprintf("r%02d-w%d", i/8, i%8))
		c.workers[name] = newFakeWorker(name, c.recorder)
		c.fleet = append(c.fleet, fleet.Worker{
			Name: name, Address: string(name), DataCentre: dc, Rack: ident.Rack(fmt.Sprintf("r%02d", i/8)), Accelerators: 8, Index: i % 8,
		})
	}
	now := time.Now()
	for i := range jobs {
		stored := storedJob{
			ID: ident.Job(fmt.Sprintf("%s.%06d", dc, i)), Account: "acme", Spec: jobSpec(1, "1h"), State: ident.Queued,
			Submitted: now.Add(time.Duration(i-jobs) * time.Second),
		}
		if index := i / 8; index < len(c.fleet) {
			w := c.fleet[index].Name
			accelerators := ident.AcceleratorSet(1) << (i % 8)
			stored.State, stored.Attempt, stored.Started = ident.Running, 1, now
			stored.Parts = []place.Part{{Worker: w, Accelerators: accelerators}}
			c.workers[w].addRunningPart(worker.Part{Job: stored.ID, Attempt: 1}, accelerators)
		}
		body, err := json.Marshal(stored)
		assert.NilError(b, err)
		key := table.Key{Partition: "jobs/" + string(dc), Sort: string(stored.ID)}
		assert.NilError(b, c.store.Apply(b.Context(), table.BackgroundPriority, table.Put{Key: key, Epoch: 1, Body: body, If: table.Absent{}}))
	}
	return c
}

// addRunningPart adds a part that is already running.
func (w *fakeWorker) addRunningPart(part worker.Part, accelerators ident.AcceleratorSet) {
	w.recorder.recordReservation(w.name, part)
	w.recorder.recordStart(w.name, part, worker.Spec{})
	w.parts[part] = &fakePart{
		report:   worker.PartReport{Part: part, State: ident.PartRunning, Accelerators: accelerators},
		leaseEnd: time.Now().Add(time.Hour), runEnd: time.Now().Add(time.Hour),
	}
}
