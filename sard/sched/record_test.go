package sched_test

import (
	"context"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// TestCrashUnderManyPartsStopsNoOtherJob guards against a pool that stands still because a worker has crashed under many parts of
// one job: the job's record became too large for a row of the store, and its write was repeated for ever.
func TestCrashUnderManyPartsStopsNoOtherJob(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.disturbed.Store(true)
		r.resize("wa", 800)
		r.resize("wb", 1)
		kill := r.startInstance("i1")
		r.sleep(2 * time.Second)
		r.submit("many", 20*time.Second, work.Step{Parts: 800})
		r.waitFor(20*time.Second, func() bool { return r.fleet.StartCount() >= 799 })
		wa := r.fleet.Worker("wa")
		r.updateFleet(func() { wa.Unreachable = true })
		r.sleep(2 * time.Second)
		r.updateFleet(func() {
			wa.Crash()
			wa.Unreachable = false
		})
		r.listWorker(wa)
		r.sleep(2 * time.Second)
		r.submit("j1", time.Second, work.Step{Parts: 1})
		r.waitForState("j1", ident.Succeeded, 20*time.Second)
		kill()
		r.startInstance("i2")
		r.submit("j2", time.Second, work.Step{Parts: 1})
		r.waitForState("j2", ident.Succeeded, 20*time.Second)
		r.waitForState("many", ident.Succeeded, 2*time.Minute)
	})
}

// pickyStore is a store that refuses transactions for good which write the progress record of one job, unless the job has ended.
type pickyStore struct {
	store.Store
	job     ident.Job
	refuses *atomic.Bool
}

// Apply runs a transaction.
func (s pickyStore) Apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	for _, put := range tx.Put {
		if s.refuses.Load() && put.Key == work.ProgressKey(s.job) {
			return store.Result{}, fault.New(fault.Invalid, "apply", "store", "the row is refused")
		}
	}
	return s.Store.Apply(ctx, tx)
}

// TestRefusedRecordStopsNoOtherJob guards against a pool that stands still because the store refuses the record of one job for
// good. The job goes on once its record can be written, and no part of it runs twice.
func TestRefusedRecordStopsNoOtherJob(t *testing.T) {
	tests := []struct {
		name string
		// from is when the record is refused, counted from the submission of the job.
		from time.Duration
	}{
		{"from the first write", 0},
		{"while parts run", 500 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 2, func(r *harness) {
				var refuses atomic.Bool
				r.wrapStore = func(s store.Store) store.Store { return pickyStore{Store: s, job: "bad", refuses: &refuses} }
				kill := r.startInstance("i1")
				r.sleep(time.Second)
				refuses.Store(test.from == 0)
				r.submit("bad", time.Second, work.Step{Parts: 3})
				r.sleep(test.from)
				refuses.Store(true)
				for _, id := range []ident.Job{"j1", "j2", "j3"} {
					r.submit(id, time.Second, work.Step{Parts: 2})
				}
				for _, id := range []ident.Job{"j1", "j2", "j3"} {
					r.waitForState(id, ident.Succeeded, 6*time.Second)
				}
				r.sleep(30 * time.Second)
				kill()
				r.startInstance("i2")
				r.submit("j4", time.Second, work.Step{Parts: 2})
				r.waitForState("j4", ident.Succeeded, 10*time.Second)
				refuses.Store(false)
				r.waitForState("bad", ident.Succeeded, time.Minute)
			})
		})
	}
}

// TestRefusedRecordOfCancelledJob checks that a job whose record was refused can be cancelled at once.
func TestRefusedRecordOfCancelledJob(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		var refuses atomic.Bool
		refuses.Store(true)
		r.wrapStore = func(s store.Store) store.Store { return pickyStore{Store: s, job: "bad", refuses: &refuses} }
		r.startInstance("i1")
		r.submit("bad", time.Second, work.Step{Parts: 3})
		r.sleep(3 * time.Second)
		refuses.Store(false)
		assert.NilError(t, r.api.Cancel(r.ctx, accountA, "bad"))
		r.waitForState("bad", ident.Cancelled, time.Second)
		assert.Equal(t, r.fleet.StartCount(), 0)
	})
}

// resize gives a worker room for a number of parts.
func (r *harness) resize(name ident.Worker, parts int64) {
	w := r.fleet.Worker(name)
	r.updateFleet(func() {
		w.SetCapacity(work.Resources{CPU: work.MilliCores(10000 * parts), Memory: work.MiB(10000 * parts), Accelerators: ident.Accelerators(parts)})
	})
	r.listWorker(w)
}
