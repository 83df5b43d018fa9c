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

// TestWorkerTraffic measures the bytes between a holder and its workers at rest, HTTP included.
func TestWorkerTraffic(t *testing.T) {
	tests := []struct {
		name string
		// parts is how many parts run on each worker, ended how many have ended.
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
				s := newSite(t, 1, 4)
				w := s.overHTTP()
				h := s.hold("i1").serving()
				for range test.parts * len(s.fleet) {
					h.submit(t, "", job(1, "10h"))
				}
				for range test.ended * len(s.fleet) {
					h.submit(t, "", job(1, "1s"))
				}
				time.Sleep(5 * time.Minute)
				before := w.bytes.Load()
				time.Sleep(10 * time.Minute)
				rate := float64(w.bytes.Load()-before) / (10 * 60) / float64(len(s.fleet))
				t.Logf("%s: %.1f bytes/s a worker, %.2f KB/s for 283 workers", test.name, rate, rate*283/1000)
				s.end(h)
				w.close()
			})
		})
	}
}

// TestWrites measures the table writes of jobs.
func TestWrites(t *testing.T) {
	for _, jobs := range []int{1, 100, 1000} {
		synctest.Test(t, func(t *testing.T) {
			s := newSite(t, 36, 8)
			store := &counted{terminal: map[string]int{}}
			s.front = func(table.Store) table.Store { return slow{store} }
			h := s.hold("i1").serving()
			for i := range jobs {
				s.group.Go(func() error {
					_, err := h.domain.Submit(context.Background(), "acme", ident.IdempotencyKey(fmt.Sprint(i)), job(1, "1m"))
					return err
				})
			}
			time.Sleep(3 * time.Minute)
			views, err := h.domain.List(t.Context(), "")
			assert.NilError(t, err)
			for _, v := range views {
				assert.Equal(t, v.State, ident.Succeeded)
			}
			store.mu.Lock()
			t.Logf("%d jobs: %.2f items and %.3f transactions a job", jobs,
				float64(store.writes-store.leases)/float64(jobs), float64(store.batches-store.leases)/float64(jobs))
			store.mu.Unlock()
			s.end(h)
		})
	}
}

// slow is a table whose writes take 10 ms.
type slow struct{ table.Store }

func (s slow) Apply(ctx context.Context, p table.Priority, batch ...table.Write) error {
	time.Sleep(10 * time.Millisecond)
	return s.Store.Apply(ctx, p, batch...)
}

// BenchmarkRebuild measures a takeover from the won lease on, with as many jobs running as there are accelerators and
// the others waiting.
func BenchmarkRebuild(b *testing.B) {
	for _, jobs := range []int{1000, 10000, 17000} {
		b.Run(fmt.Sprintf("%d-jobs", jobs), func(b *testing.B) {
			for range b.N {
				b.StopTimer()
				s := populated(b, jobs)
				ctx, cancel := context.WithCancel(b.Context())
				held, err := lease.New(lease.Config{Store: s.store, Instance: "i1"}).Acquire(ctx, dc)
				assert.NilError(b, err)
				b.StartTimer()
				domain := gang.New(gang.Config{
					DataCentre: dc, Store: s.store, Lease: held, Engine: place.New(place.Config{}),
					WorkerClient: func(name ident.Worker, _ string) worker.Client { return s.workers[name] },
				})
				domain.Configure(place.Configure{Accounts: []place.Account{{Name: "acme", Weight: 1}}})
				domain.SetTopology(s.fleet)
				s.group.Go(func() error { return domain.Run(ctx) })
				for !domain.Ready() {
					time.Sleep(time.Millisecond)
				}
				b.StopTimer()
				cancel()
				assert.NilError(b, s.group.Wait())
			}
		})
	}
}

// storedJob has the fields of a job's record that a takeover reads.
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

// populated makes a site of 288 workers whose table and workers hold jobs of an earlier holder.
func populated(b *testing.B, jobs int) *site {
	s := &site{store: &table.Memory{}, ledger: newLedger(), workers: map[ident.Worker]*fakeWorker{}}
	for i := range 288 {
		name := ident.Worker(fmt.Sprintf("r%02d-w%d", i/8, i%8))
		s.workers[name] = newFakeWorker(name, s.ledger)
		s.fleet = append(s.fleet, fleet.Worker{
			Name: name, Address: string(name), DataCentre: dc, Rack: ident.Rack(fmt.Sprintf("r%02d", i/8)), Accelerators: 8, Index: i % 8,
		})
	}
	now := time.Now()
	for i := range jobs {
		stored := storedJob{
			ID: ident.Job(fmt.Sprintf("%s.%06d", dc, i)), Account: "acme", Spec: job(1, "1h"), State: ident.Queued,
			Submitted: now.Add(time.Duration(i-jobs) * time.Second),
		}
		if at := i / 8; at < len(s.fleet) {
			w := s.fleet[at].Name
			set := ident.AcceleratorSet(1) << (i % 8)
			stored.State, stored.Attempt, stored.Started = ident.Running, 1, now
			stored.Parts = []place.Part{{Worker: w, Accelerators: set}}
			s.workers[w].seed(worker.Part{Job: stored.ID, Attempt: 1}, set)
		}
		body, err := json.Marshal(stored)
		assert.NilError(b, err)
		key := table.Key{Partition: "jobs/" + string(dc), Sort: string(stored.ID)}
		assert.NilError(b, s.store.Apply(b.Context(), table.BackgroundPriority, table.Put{Key: key, Epoch: 1, Body: body, If: table.Absent{}}))
	}
	return s
}

// seed makes a running part.
func (w *fakeWorker) seed(part worker.Part, set ident.AcceleratorSet) {
	w.ledger.reserved(w.name, part)
	w.ledger.started(w.name, part, worker.Spec{})
	w.parts[part] = &fakePart{
		report:  worker.PartReport{Part: part, State: ident.PartRunning, Accelerators: set},
		expires: time.Now().Add(time.Hour), ends: time.Now().Add(time.Hour),
	}
}
