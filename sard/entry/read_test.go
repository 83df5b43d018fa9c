package entry_test

import (
	"context"
	"math"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/entry"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
)

// slowReads is a Store whose first reads are never answered, and the others after a delay.
type slowReads struct {
	store.Store
	silent int64
	delay  time.Duration
	reads  atomic.Int64
}

// List returns the rows of a range, or waits for the end of ctx.
func (s *slowReads) List(ctx context.Context, r store.Range) (store.Listing, error) {
	delay := s.delay
	if s.reads.Add(1) <= s.silent {
		delay = time.Hour
	}
	select {
	case <-time.After(delay):
		return s.Store.List(ctx, r)
	case <-ctx.Done():
		return store.Listing{}, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "read rows", "store")
	}
}

// storedJob is the job that submit stores.
const storedJob ident.Job = "00000000000000aa"

// TestUnansweredReadIsRepeated guards against questions about a job that are answered late because the store leaves some of
// the reads unanswered, and against needless reads (issue 36).
func TestUnansweredReadIsRepeated(t *testing.T) {
	state := func(ctx context.Context, jobs *entry.Jobs) error {
		state, err := jobs.State(ctx, entry.Caller{Account: "a"}, storedJob)
		assert.Check(t, err != nil || state == ident.Queued)
		return err
	}
	cancelJob := func(ctx context.Context, jobs *entry.Jobs) error {
		return jobs.Cancel(ctx, entry.Caller{Account: "a"}, storedJob)
	}
	tests := []struct {
		name string
		// silent is the number of reads that are not answered, and delay the time in which the others are.
		silent int64
		delay  time.Duration
		call   func(context.Context, *entry.Jobs) error
		within time.Duration
		// most is the number of reads.
		most int64
	}{
		{"all reads are answered", 0, 0, state, 0, 2},
		{"the store is slow", 0, 270 * time.Millisecond, state, 540 * time.Millisecond, 2},
		{"the store is very slow", 0, 600 * time.Millisecond, state, 1200 * time.Millisecond, 4},
		{"one read is not answered", 1, 0, state, 500 * time.Millisecond, 3},
		{"three reads are not answered", 3, 0, state, 1300 * time.Millisecond, 5},
		{"one read of a cancellation is not answered", 1, 0, cancelJob, 500 * time.Millisecond, 2},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := &store.Memory{}
				assert.NilError(t, submit(t, entry.New(entry.Config{Store: memory})))
				reads := &slowReads{Store: memory, silent: test.silent, delay: test.delay}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				started := time.Now()
				err := test.call(ctx, entry.New(entry.Config{Store: reads}))
				assert.Check(t, time.Since(started) <= test.within, "took %v", time.Since(started))
				assert.Check(t, err)
				assert.Check(t, reads.reads.Load() <= test.most, "%d reads", reads.reads.Load())
			})
		})
	}
}

// TestQuestionIsNotHeld guards against calls of clients that wait for 3 s that one instance holds until nobody waits any
// more, because the store answers none of its reads, so that no other instance can be asked (issue 36).
func TestQuestionIsNotHeld(t *testing.T) {
	tests := []struct {
		name   string
		call   func(context.Context, *entry.Jobs) error
		want   fault.Kind
		within time.Duration
	}{
		{"state", func(ctx context.Context, jobs *entry.Jobs) error {
			_, err := jobs.State(ctx, entry.Caller{Account: "a"}, storedJob)
			return err
		}, fault.Unavailable, 1500 * time.Millisecond},
		{"count of waiting jobs", func(ctx context.Context, jobs *entry.Jobs) error {
			_, err := jobs.CountWaiting(ctx, "claims")
			return err
		}, fault.Unavailable, 1500 * time.Millisecond},
		{
			"cancellation", func(ctx context.Context, jobs *entry.Jobs) error {
				return jobs.Cancel(ctx, entry.Caller{Account: "a"}, storedJob)
			},
			fault.OutcomeUnknown, 1800 * time.Millisecond,
		},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				reads := &slowReads{Store: &store.Memory{}, silent: math.MaxInt64}
				ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
				defer cancel()
				started := time.Now()
				err := test.call(ctx, entry.New(entry.Config{Store: reads}))
				assert.Check(t, fault.Is(err, test.want), "%v", err)
				assert.Check(t, time.Since(started) <= test.within, "took %v", time.Since(started))
			})
		})
	}
}

// receive waits while an answer of the store arrives bit by bit for 1 s.
func receive(ctx context.Context) error {
	for range 10 {
		select {
		case <-time.After(100 * time.Millisecond):
			store.Arrived(ctx)
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "receive", "store")
		}
	}
	return nil
}

// arrivingReads is a Store whose answers to reads arrive bit by bit.
type arrivingReads struct{ store.Store }

// List returns the rows of a range.
func (s arrivingReads) List(ctx context.Context, r store.Range) (store.Listing, error) {
	if err := receive(ctx); err != nil {
		return store.Listing{}, err
	}
	return s.Store.List(ctx, r)
}

// TestCancellationOverSlowLink guards against cancellations that never succeed, because the job's row takes longer to arrive
// than one call to the store may take.
func TestCancellationOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := &store.Memory{}
		assert.NilError(t, submit(t, entry.New(entry.Config{Store: memory})))
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		assert.Check(t, entry.New(entry.Config{Store: arrivingReads{memory}}).Cancel(ctx, entry.Caller{Account: "a"}, storedJob))
	})
}

// arrivingConflicts is a Store whose answers to transactions that fail, which hold the current rows, arrive bit by bit.
type arrivingConflicts struct{ store.Store }

// Apply runs a transaction.
func (s arrivingConflicts) Apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	result, err := s.Store.Apply(ctx, tx)
	if err == nil {
		return result, nil
	}
	if err := receive(ctx); err != nil {
		return store.Result{}, err
	}
	return result, err
}

// TestRepeatedSubmissionOverSlowLink guards against submissions of unknown outcome whose repetition never finds out that the
// job was accepted, because the job's row takes longer to arrive than the store may be silent.
func TestRepeatedSubmissionOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := &store.Memory{}
		assert.NilError(t, submit(t, entry.New(entry.Config{Store: memory})))
		assert.NilError(t, submit(t, entry.New(entry.Config{Store: arrivingConflicts{memory}})))
	})
}
