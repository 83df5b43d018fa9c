package sched_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// refuse refuses the submission of a job.
func (r *harness) refuse(id ident.Job) {
	r.t.Helper()
	refused, err := r.api.Refuse(r.ctx, &work.Job{ID: id, Account: "a", Queue: "q", Terms: testSettings(1)})
	assert.NilError(r.t, err)
	assert.Assert(r.t, refused)
}

// jobRows returns the IDs in the job table.
func (r *harness) jobRows() []ident.Job {
	r.t.Helper()
	ids := []ident.Job{}
	for _, shard := range work.Shards() {
		listing, err := r.store.List(r.ctx, store.Range{Table: work.JobTable, Partition: shard})
		assert.NilError(r.t, err)
		for _, row := range listing.Rows {
			ids = append(ids, ident.Job(row.Key.Name))
		}
	}
	return ids
}

// TestRefusalsAreDeleted guards against rows of refused submissions that stay in the store for good, and against one that is
// deleted while an earlier submission with its ID might still take effect, or after it was replaced by a job.
func TestRefusalsAreDeleted(t *testing.T) {
	const retention = time.Minute
	tests := []struct {
		name string
		// disturb is called shortly before the refusals expire.
		disturb func(r *harness, stop func())
		// left holds the IDs that remain.
		left []ident.Job
	}{
		{"undisturbed", func(*harness, func()) {}, nil},
		{"the store drops replies for a while", func(r *harness, _ func()) {
			r.dropStoreReplies.Store(true)
			time.AfterFunc(10*time.Second, func() { r.dropStoreReplies.Store(false) })
		}, nil},
		{"another instance takes over", func(r *harness, stop func()) {
			r.startInstance("i2")
			stop()
			r.sleep(retention)
		}, nil},
		{"submitted again", func(r *harness, _ func()) { r.submit("00000000000000a1", time.Hour, work.Step{Parts: 1}) }, []ident.Job{"00000000000000a1"}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runTest(t, 1, func(r *harness) {
				stop := r.startInstance("i1")
				r.refuse("00000000000000a1")
				r.refuse("00000000000000b2")
				r.sleep(retention - 2*time.Second)
				assert.Equal(t, len(r.jobRows()), 2)
				test.disturb(r, stop)
				r.sleep(retention / 2)
				assert.DeepEqual(t, r.jobRows(), append([]ident.Job{}, test.left...))
			})
		})
	}
}
