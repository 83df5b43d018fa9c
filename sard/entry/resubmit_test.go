package entry_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/entry"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// link is an instance's connection to the store. Its faults are those of the next transactions.
type link struct {
	store.Store
	mu sync.Mutex
	// dropRequests drops transactions before they take effect, loseResponses lets them take effect without a response, and
	// delay lets them take effect only after that time, without a response.
	dropRequests, loseResponses bool
	delay                       time.Duration
	late                        errgroup.Group
}

// Apply runs a transaction, subject to the faults.
func (l *link) Apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	l.mu.Lock()
	drop, lose, delay := l.dropRequests, l.loseResponses, l.delay
	l.mu.Unlock()
	noResponse := fault.New(fault.OutcomeUnknown, "apply", "store", "no response")
	switch {
	case drop:
		<-ctx.Done()
		return store.Result{}, noResponse
	case delay > 0:
		l.late.Go(func() error {
			time.Sleep(delay)
			_, _ = l.Store.Apply(context.WithoutCancel(ctx), tx)
			return nil
		})
		<-ctx.Done()
		return store.Result{}, noResponse
	case lose:
		if result, err := l.Store.Apply(ctx, tx); err != nil {
			return result, err
		}
		<-ctx.Done()
		return store.Result{}, noResponse
	}
	return l.Store.Apply(ctx, tx)
}

// submit hands in a job at an instance, with three seconds until the caller's deadline.
func submit(t *testing.T, jobs *entry.Jobs) error {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	return jobs.Submit(ctx, &work.Job{ID: "00000000000000aa", Account: "a", Queue: "claims", Steps: []work.Step{{Parts: 1}}})
}

// storedJobs returns the number of jobs in the store.
func storedJobs(t *testing.T, s store.Store) int {
	t.Helper()
	count := 0
	for _, shard := range work.Shards() {
		listing, err := s.List(t.Context(), store.Range{Table: work.JobTable, Partition: shard})
		assert.NilError(t, err)
		for _, row := range listing.Rows {
			var record work.JobRow
			assert.NilError(t, work.Decode(row.Value, &record))
			if record.Job != nil && !record.Refused {
				count++
			}
		}
	}
	return count
}

// TestSubmissionRepeatedInAnotherDataCentre hands a job in at one instance, whose answer the caller does not get or which
// cannot tell the outcome, and then again at an instance of another data centre. Both must tell the caller the same, and
// the job is stored once.
func TestSubmissionRepeatedInAnotherDataCentre(t *testing.T) {
	tests := []struct {
		name string
		// first is the state of the first instance's link to the store.
		first func(*link)
		// between is called between the two submissions.
		between func(*link)
	}{
		{"the answer is lost on its way to the caller", func(*link) {}, nil},
		{"the first instance is cut off from the store", func(l *link) { l.dropRequests = true }, nil},
		{"the first instance gets no response from the store", func(l *link) { l.loseResponses = true }, nil},
		{"the first instance's write takes effect late", func(l *link) { l.delay = 5 * time.Second }, nil},
		{"the first instance is back before the second submission", func(l *link) { l.dropRequests = true }, func(l *link) { l.dropRequests = false }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := &store.Memory{}
				first := &link{Store: memory}
				test.first(first)
				firstErr := submit(t, entry.New(entry.Config{Store: first}))
				if test.between != nil {
					test.between(first)
				}
				assert.NilError(t, submit(t, entry.New(entry.Config{Store: memory})))
				assert.NilError(t, first.late.Wait())
				assert.Equal(t, storedJobs(t, memory), 1)
				// The first instance may not know the outcome, but it must not say that the job will never run.
				assert.Assert(t, firstErr == nil || fault.Is(firstErr, fault.OutcomeUnknown), "%v", firstErr)
				state, err := entry.New(entry.Config{Store: memory}).State(t.Context(), entry.Caller{Account: "a"}, "00000000000000aa")
				assert.NilError(t, err)
				assert.Equal(t, state, ident.Queued)
			})
		})
	}
}

// TestRefusalIsFinalUntilTheJobIsHandedInAgain lets a submission end as refused while a copy of its write is still under
// way. The copy must not take effect, and the same job handed in again must.
func TestRefusalIsFinalUntilTheJobIsHandedInAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := &store.Memory{}
		slow := &link{Store: memory, delay: 6 * time.Second}
		var group errgroup.Group
		group.Go(func() error {
			time.Sleep(2 * time.Second)
			slow.mu.Lock()
			slow.delay = 0
			slow.mu.Unlock()
			return nil
		})
		err := submit(t, entry.New(entry.Config{Store: slow}))
		assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
		assert.NilError(t, group.Wait())
		assert.NilError(t, slow.late.Wait())
		assert.Equal(t, storedJobs(t, memory), 0)
		assert.NilError(t, submit(t, entry.New(entry.Config{Store: memory})))
		assert.Equal(t, storedJobs(t, memory), 1)
	})
}

// TestRefusalHoldsForEarlierSubmissions guards against a job that is refused, and said never to run, while the write of an
// earlier submission at another instance is still under way.
func TestRefusalHoldsForEarlierSubmissions(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := &store.Memory{}
		late := &link{Store: memory, delay: 5 * time.Second}
		first := submit(t, entry.New(entry.Config{Store: late}))
		assert.Assert(t, fault.Is(first, fault.OutcomeUnknown), "%v", first)
		jobs := entry.New(entry.Config{Store: memory})
		refused, err := jobs.Refuse(t.Context(), &work.Job{ID: "00000000000000aa", Account: "a", Queue: "claims"})
		assert.NilError(t, err)
		assert.Assert(t, refused)
		assert.NilError(t, late.late.Wait())
		assert.Equal(t, storedJobs(t, memory), 0)
		assert.NilError(t, submit(t, jobs))
		refused, err = jobs.Refuse(t.Context(), &work.Job{ID: "00000000000000aa", Account: "a", Queue: "claims"})
		assert.NilError(t, err)
		assert.Assert(t, !refused)
	})
}
