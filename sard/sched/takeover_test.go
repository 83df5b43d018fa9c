package sched_test

import (
	"bytes"
	"context"
	"slices"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// learnedVersionOf returns the version of the row of learned state in the store, or 0 if there is none.
func (r *harness) learnedVersionOf() store.Version {
	r.t.Helper()
	listing, err := r.store.List(r.ctx, store.Range{Table: work.LearnedTable, Partition: work.MainPartition})
	assert.NilError(r.t, err)
	for _, row := range listing.Rows {
		return row.Version
	}
	return 0
}

// TestLearnedStateIsKept checks that the holder keeps what it has learned in the store, at most once in two seconds, that
// the next holder goes on from it, and that nothing is written while nothing ends.
func TestLearnedStateIsKept(t *testing.T) {
	runTest(t, 4, func(r *harness) {
		r.runTimes = true
		kill := r.startInstance("i1")
		for i := range 12 {
			r.submit(ident.Job("j"+strconv.Itoa(i)), time.Second, work.Step{Parts: 2})
			r.waitForState(ident.Job("j"+strconv.Itoa(i)), ident.Succeeded, 5*time.Second)
		}
		r.sleep(15 * time.Second)
		written := r.learnedVersionOf()
		assert.Assert(t, written > 0)
		r.sleep(30 * time.Second)
		assert.Equal(t, r.learnedVersionOf(), written)
		kill()
		r.startInstance("i2")
		r.submit("after", time.Second, work.Step{Parts: 2})
		r.waitForState("after", ident.Succeeded, 20*time.Second)
	})
}

// slowLearnedStore is a store of which the table of learned state does not answer.
type slowLearnedStore struct{ store.Store }

// List lists a range; that of the learned state takes forever.
func (s slowLearnedStore) List(ctx context.Context, r store.Range) (store.Listing, error) {
	if r.Table == work.LearnedTable {
		<-ctx.Done()
		clock.Sleep(context.WithoutCancel(ctx), time.Minute)
		return store.Listing{}, fault.Wrap(ctx.Err(), fault.Unavailable, "list", "store")
	}
	return s.Store.List(ctx, r)
}

// TestSlowLearnedStateIsNotAwaited checks that a new holder starts work in time when the learned state can't be read.
func TestSlowLearnedStateIsNotAwaited(t *testing.T) {
	runTest(t, 1, func(r *harness) {
		r.runTimes = true
		r.wrapStore = func(s store.Store) store.Store { return slowLearnedStore{s} }
		r.submit("j1", time.Second, work.Step{Parts: 1})
		started := time.Now()
		r.startInstance("i1")
		r.waitForState("j1", ident.Succeeded, 5*time.Second)
		assert.Assert(t, time.Since(started) < 3*time.Second, "%v", time.Since(started))
	})
}

// logBuffer holds what was logged.
type logBuffer struct {
	mu     sync.Mutex
	logged bytes.Buffer
}

// Write adds what was logged.
func (b *logBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.logged.Write(p)
}

// String returns what was logged.
func (b *logBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.logged.String()
}

// arrivingLearnedStore is a store whose answers about the learned state arrive bit by bit for 600 ms.
type arrivingLearnedStore struct{ store.Store }

// List lists a range.
func (s arrivingLearnedStore) List(ctx context.Context, r store.Range) (store.Listing, error) {
	if r.Table != work.LearnedTable {
		return s.Store.List(ctx, r)
	}
	for range 6 {
		if !clock.Sleep(ctx, 100*time.Millisecond) {
			return store.Listing{}, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "list", "store")
		}
		store.Arrived(ctx)
	}
	return s.Store.List(ctx, r)
}

// TestLearnedStateIsTakenOverSlowly guards against new holders that start without the learned state, and replace it by
// little, because it arrives over a slow link, or because the rest of the takeover takes longer than the learned state.
func TestLearnedStateIsTakenOverSlowly(t *testing.T) {
	tests := []struct {
		name      string
		wrapStore func(store.Store) store.Store
		slowLists time.Duration
	}{
		{"it arrives slowly", func(s store.Store) store.Store { return arrivingLearnedStore{s} }, 0},
		{"the jobs arrive slowly", nil, 300 * time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				value, err := work.Encode(struct{ Version int }{})
				assert.NilError(t, err)
				key := store.Key{Table: work.LearnedTable, Partition: work.MainPartition, Name: "state"}
				_, err = r.store.Apply(r.ctx, store.Tx{Put: []store.Put{{Key: key, Value: value}}})
				assert.NilError(t, err)
				r.runTimes, r.wrapStore, r.slowLists = true, test.wrapStore, test.slowLists
				var logged logBuffer
				r.logger = hclog.New(&hclog.LoggerOptions{Output: &logged})
				r.startInstance("i1")
				r.sleep(10 * time.Second)
				// A row of another version is read, but not used.
				assert.Check(t, is.Contains(logged.String(), "learned state ignored"))
			})
		})
	}
}

// maxLastingAbsence is how long nothing of a part that lasts may run after its last run has ended, while there is room: 6 s, and
// maxIdle from then on.
const maxLastingAbsence = 6*time.Second + maxIdle

// TestPartOnWorkerLostWithHolder guards against parts that last and stay away for the longest lease that a worker grants, and the
// time for which a former holder renews leases, because their worker is lost at the same moment as the lease holder.
func TestPartOnWorkerLostWithHolder(t *testing.T) {
	tests := []struct {
		name    string
		holders int
	}{
		{"one holder", 1},
		{"two holders in a row", 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 2, func(r *harness) {
				r.disturbed.Store(true)
				kill := map[string]context.CancelFunc{}
				for _, name := range []string{"i1", "i2", "i3"} {
					kill[name] = r.startInstance(name)
				}
				r.submit("wj1", time.Hour, work.Step{Parts: 1, Lasting: true})
				w := r.waitForAttempt("wj1", 1)
				// Whatever a worker or a former holder did at the start of the part was long ago.
				r.sleep(time.Minute)
				r.updateFleet(func() {
					w.Crash()
					w.Unreachable = true
				})
				lostAt := time.Now()
				for range test.holders {
					r.killHolder(kill)
				}
				for r.fleet.HighestAttempt("wj1") == 1 && time.Since(lostAt) < 2*maxLastingAbsence {
					r.sleep(10 * time.Millisecond)
				}
				absence := time.Since(lostAt)
				assert.Check(t, absence < maxLastingAbsence, "nothing runs for %v", absence)
			})
		})
	}
}

// timeToStart starts an instance, and returns how long it takes until it starts work.
func (r *harness) timeToStart() time.Duration {
	r.t.Helper()
	started := time.Now()
	r.startInstance("i1")
	for r.fleet.StartCount() == 0 && time.Since(started) < time.Minute {
		r.sleep(time.Millisecond)
	}
	return time.Since(started)
}

// TestNewHolderActsAtOnce guards against new holders that first wait for an event after they have read the tables.
func TestNewHolderActsAtOnce(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		r.submit("w1", time.Second, work.Step{Parts: 1})
		took := r.timeToStart()
		assert.Check(t, took < 50*time.Millisecond, "%v", took)
	})
}

// TestTakeoverReadsTablesAtOnce guards against new holders that start work late because they read one table after another.
func TestTakeoverReadsTablesAtOnce(t *testing.T) {
	const listTime = 50 * time.Millisecond
	runTest(t, 2, func(r *harness) {
		r.slowLists = listTime
		r.submit("w1", time.Second, work.Step{Parts: 1})
		// The lease is read first, then what is known of running work, and the jobs last.
		took := r.timeToStart()
		assert.Check(t, took < 4*listTime, "%v", took)
	})
}

// pruningStore is a store in which a former holder deletes the rows of the ended job j1 as soon as they are listed among the jobs.
// Progress records are listed slowly.
type pruningStore struct{ store.Store }

// List lists a range.
func (s pruningStore) List(ctx context.Context, r store.Range) (store.Listing, error) {
	if r.Table == work.ProgressTable {
		clock.Sleep(ctx, 100*time.Millisecond)
	}
	listing, err := s.Store.List(ctx, r)
	if !slices.ContainsFunc(listing.Rows, func(row store.Row) bool { return row.Key == work.JobKey("j1") }) {
		return listing, err
	}
	for _, key := range []store.Key{work.JobKey("j1"), work.ProgressKey("j1")} {
		if _, err := s.Apply(ctx, store.Tx{Delete: []store.Key{key}}); err != nil {
			return listing, err
		}
	}
	return listing, err
}

// TestEndedJobIsNotTakenForNew guards against ended jobs that run again because a new holder reads their rows before a former one
// deletes them, and the progress records after that.
func TestEndedJobIsNotTakenForNew(t *testing.T) {
	runTest(t, 2, func(r *harness) {
		kill := r.startInstance("i1")
		r.submit("j1", time.Second, work.Step{Parts: 1})
		r.waitForState("j1", ident.Succeeded, 5*time.Second)
		r.sleep(time.Second)
		kill()
		r.wrapStore = func(s store.Store) store.Store { return pruningStore{s} }
		r.startInstance("i2")
		r.sleep(10 * time.Second)
		assert.Equal(t, r.fleet.StartCount(), 1)
	})
}
