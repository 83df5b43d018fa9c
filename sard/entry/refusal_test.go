package entry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/entry"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// lateJobs is a connection to the store on which the writes that store a job are executed late, without a response. All other
// calls are answered.
type lateJobs struct {
	store.Store
	delay time.Duration
	late  errgroup.Group
}

// Apply runs a transaction.
func (l *lateJobs) Apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	storesJob := len(tx.Put) > 1
	if !storesJob || !l.holds(ctx, tx) {
		return l.Store.Apply(ctx, tx)
	}
	l.late.Go(func() error {
		time.Sleep(l.delay)
		_, _ = l.Store.Apply(context.WithoutCancel(ctx), tx)
		return nil
	})
	<-ctx.Done()
	return store.Result{}, fault.New(fault.OutcomeUnknown, "apply", "store", "no response")
}

// holds reports whether the precondition of a transaction holds at the moment. One that does not hold is answered.
func (l *lateJobs) holds(ctx context.Context, tx store.Tx) bool {
	listing, err := l.List(ctx, store.KeyRange(tx.Preconditions[0].Key))
	if err != nil {
		return false
	}
	if len(listing.Rows) == 0 {
		return tx.Preconditions[0].Version == 0
	}
	return listing.Rows[0].Version == tx.Preconditions[0].Version
}

// TestSecondRefusalHoldsForWritesThatReplaceTheFirst guards against a job that runs although each of its submissions was
// refused: the writes of the second one replace the first refusal, and take effect after the second refusal.
func TestSecondRefusalHoldsForWritesThatReplaceTheFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := &store.Memory{}
		link := &lateJobs{Store: memory, delay: 6 * time.Second}
		for range 3 {
			err := submit(t, entry.New(entry.Config{Store: link}))
			assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
		}
		assert.NilError(t, link.late.Wait())
		assert.Equal(t, storedJobs(t, memory), 0)
		assert.NilError(t, submit(t, entry.New(entry.Config{Store: memory})))
		assert.Equal(t, storedJobs(t, memory), 1)
	})
}

// TestRefusalHoldsForSubmissionUnderWay guards against a job that runs after it was refused for want of room, because an
// earlier submission at another instance was still under way and replaced that refusal.
func TestRefusalHoldsForSubmissionUnderWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory := &store.Memory{}
		lossy := &link{Store: memory, dropRequests: true}
		var group errgroup.Group
		group.Go(func() error {
			err := submit(t, entry.New(entry.Config{Store: lossy}))
			assert.Check(t, fault.Is(err, fault.Unavailable), "%v", err)
			return nil
		})
		time.Sleep(500 * time.Millisecond)
		refused, err := entry.New(entry.Config{Store: memory}).Refuse(t.Context(), &work.Job{ID: "00000000000000aa", Account: "a"})
		assert.NilError(t, err)
		assert.Assert(t, refused)
		lossy.mu.Lock()
		lossy.dropRequests = false
		lossy.mu.Unlock()
		assert.NilError(t, group.Wait())
		assert.Equal(t, storedJobs(t, memory), 0)
	})
}
