package entry_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/entry"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// cancelUnknown cancels a job that the store does not know, and checks the answer.
func cancelUnknown(t *testing.T, s store.Store, account ident.Account) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
	defer cancel()
	err := entry.New(entry.Config{Store: s}).Cancel(ctx, entry.Caller{Account: account}, "00000000000000aa")
	assert.Assert(t, fault.Is(err, fault.NotFound), "%v", err)
}

// TestCancelledSubmissionHasNoLateEffect guards against a job that starts after its cancellation was answered, because the
// write of its submission, or of one that replaces a refusal, took effect after that.
func TestCancelledSubmissionHasNoLateEffect(t *testing.T) {
	tests := []struct {
		name string
		// refuseFirst refuses the job before it is submitted.
		refuseFirst bool
	}{
		{"no row under the ID", false},
		{"a refusal under the ID", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory := &store.Memory{}
				if test.refuseFirst {
					_, err := entry.New(entry.Config{Store: memory}).Refuse(t.Context(), &work.Job{ID: "00000000000000aa", Account: "a"})
					assert.NilError(t, err)
				}
				late := &link{Store: memory, delay: 6 * time.Second}
				if test.refuseFirst {
					late.delay = 0
				}
				jobs := entry.New(entry.Config{Store: &unansweredAfterFirst{link: late, delay: 6 * time.Second}})
				err := submit(t, jobs)
				assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v", err)
				cancelUnknown(t, memory, "a")
				assert.NilError(t, late.late.Wait())
				assert.Equal(t, storedJobs(t, memory), 0)
			})
		})
	}
}

// unansweredAfterFirst answers the first transaction, and delays the others without a response.
type unansweredAfterFirst struct {
	*link
	delay time.Duration
}

// Apply runs a transaction.
func (u *unansweredAfterFirst) Apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	result, err := u.link.Apply(ctx, tx)
	u.mu.Lock()
	u.link.delay = u.delay
	u.mu.Unlock()
	return result, err
}

// TestSubmissionAfterCancellation checks what a submission is told whose ID was cancelled before.
func TestSubmissionAfterCancellation(t *testing.T) {
	tests := []struct {
		name string
		// cancelledBy is the account that cancelled the ID.
		cancelledBy ident.Account
		accepted    bool
	}{
		{"cancelled by the same account", "a", false},
		{"cancelled by another account", "b", true},
		{"cancelled without an account", "", true},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			memory := &store.Memory{}
			cancelUnknown(t, memory, test.cancelledBy)
			err := submit(t, entry.New(entry.Config{Store: memory}))
			if test.accepted {
				assert.NilError(t, err)
				assert.Equal(t, storedJobs(t, memory), 1)
				return
			}
			assert.Assert(t, fault.Is(err, fault.Conflict), "%v", err)
			assert.Equal(t, storedJobs(t, memory), 0)
		})
	}
}
