package entry_test

import (
	"context"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/entry"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
)

// switchedCheck is a StoreCheck whose state the test sets.
type switchedCheck struct {
	closed atomic.Bool
	// silent says that the store is closed because it is silent, and not because it refuses calls.
	silent bool
}

// Admit fails while the partition is closed.
func (d *switchedCheck) Admit(string) error {
	if d.closed.Load() {
		return fault.New(fault.Unavailable, "reach", "store", "closed").WithRetryAfter(2 * time.Second)
	}
	return nil
}

// AdmitCreation is Admit, with an error of kind OutcomeUnknown if the store is silent.
func (d *switchedCheck) AdmitCreation(partition string) error {
	err := d.Admit(partition)
	if err != nil && d.silent {
		return fault.Wrap(err, fault.OutcomeUnknown, "reach", "store")
	}
	return err
}

// Closed reports whether the partition is closed.
func (d *switchedCheck) Closed(string) bool { return d.closed.Load() }

// Await looks every 10 ms whether the partition serves.
func (d *switchedCheck) Await(ctx context.Context, _ string) bool {
	for d.closed.Load() {
		select {
		case <-ctx.Done():
			return false
		case <-time.After(10 * time.Millisecond):
		}
	}
	return true
}

// TestClosedStore checks what callers are told, and how soon, when the store is silent and the check closes the partition.
func TestClosedStore(t *testing.T) {
	const soon, closesAfter = 100 * time.Millisecond, 750 * time.Millisecond
	tests := []struct {
		name string
		// link is the state of the link to the store, and closed that of the partition, when the call begins.
		link   func(*link)
		closed bool
		// reopensAfter is when the link works again and the partition serves; 0 means never.
		reopensAfter time.Duration
		call         func(*testing.T, *entry.Jobs) error
		// want is the kind of the error; fault.Internal means none.
		want   fault.Kind
		within time.Duration
		stored int
	}{
		{"submission at the closed partition", func(l *link) { l.dropRequests = true }, true, 0, submit, fault.Unavailable, soon, 0},
		{"submission under way when the partition closes", func(l *link) { l.dropRequests = true }, false, 0, submit, fault.OutcomeUnknown, 1300 * time.Millisecond, 0},
		{"submission under way, the answer is lost", func(l *link) { l.loseResponses = true }, false, 0, submit, fault.OutcomeUnknown, 1300 * time.Millisecond, 1},
		{"the store is back in time", func(l *link) { l.dropRequests = true }, false, time.Second, submit, fault.Internal, 1100 * time.Millisecond, 1},
		{"submitted again after an unknown outcome", func(l *link) { l.loseResponses = true }, false, 0, func(t *testing.T, jobs *entry.Jobs) error {
			_ = submit(t, jobs)
			return submit(t, jobs)
		}, fault.OutcomeUnknown, 1300 * time.Millisecond, 1},
		{"state at the closed partition", func(*link) {}, true, 0, func(t *testing.T, jobs *entry.Jobs) error {
			_, err := jobs.State(t.Context(), entry.Caller{Account: "a"}, "00000000000000aa")
			return err
		}, fault.Unavailable, soon, 0},
		{"cancellation at the closed partition", func(*link) {}, true, 0, func(t *testing.T, jobs *entry.Jobs) error {
			return jobs.Cancel(t.Context(), entry.Caller{Account: "a"}, "00000000000000aa")
		}, fault.Unavailable, soon, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory, d := &store.Memory{}, &switchedCheck{}
				l := &link{Store: memory}
				test.link(l)
				d.closed.Store(test.closed)
				if !test.closed {
					time.AfterFunc(closesAfter, func() { d.closed.Store(true) })
				}
				if test.reopensAfter > 0 {
					time.AfterFunc(test.reopensAfter, func() {
						l.mu.Lock()
						l.dropRequests = false
						l.mu.Unlock()
						d.closed.Store(false)
					})
				}
				started := time.Now()
				err := test.call(t, entry.New(entry.Config{Store: l, Check: d}))
				assert.Assert(t, time.Since(started) <= test.within, "took %v", time.Since(started))
				assert.Equal(t, err != nil, test.want != fault.Internal, "%v", err)
				assert.Assert(t, err == nil || fault.Is(err, test.want), "%v", err)
				assert.Equal(t, storedJobs(t, memory), test.stored)
			})
		})
	}
}

// TestRefusalBySilentStoreIsNotFinal guards against a submission that is said never to run although an earlier one with its ID,
// at another instance, was sent to the same silent store and takes effect late.
func TestRefusalBySilentStoreIsNotFinal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory, d := &store.Memory{}, &switchedCheck{silent: true}
		late := &link{Store: memory, delay: 5 * time.Second}
		first := submit(t, entry.New(entry.Config{Store: late}))
		assert.Assert(t, fault.Is(first, fault.OutcomeUnknown), "%v", first)
		d.closed.Store(true)
		second := submit(t, entry.New(entry.Config{Store: memory, Check: d}))
		assert.NilError(t, late.late.Wait())
		assert.Equal(t, storedJobs(t, memory), 1)
		assert.Assert(t, fault.Is(second, fault.OutcomeUnknown), "%v", second)
	})
}

// silentWrites is a Store that loses the answers to writes and then closes the partition.
type silentWrites struct {
	store.Store
	check *switchedCheck
}

// Apply runs a transaction; its answer is lost.
func (s *silentWrites) Apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	_, _ = s.Store.Apply(ctx, tx)
	s.check.closed.Store(true)
	return store.Result{}, fault.New(fault.OutcomeUnknown, "apply", "store", "no response")
}

// TestCancellationMayHaveTakenEffect checks that a cancellation whose write was sent is not said to have done nothing.
func TestCancellationMayHaveTakenEffect(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		memory, d := &store.Memory{}, &switchedCheck{}
		assert.NilError(t, submit(t, entry.New(entry.Config{Store: memory})))
		err := entry.New(entry.Config{Store: &silentWrites{memory, d}, Check: d}).Cancel(t.Context(), entry.Caller{Account: "a"}, "00000000000000aa")
		assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v", err)
		state, err := entry.New(entry.Config{Store: memory}).State(t.Context(), entry.Caller{Account: "a"}, "00000000000000aa")
		assert.NilError(t, err)
		assert.Equal(t, state, ident.Cancelled)
	})
}

// refusingLater is a Store that answers nothing at first and later refuses all calls.
type refusingLater struct {
	store.Store
	refuses atomic.Bool
}

// Apply runs a transaction whose answer is lost, or refuses it.
func (r *refusingLater) Apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	if r.refuses.Load() {
		return store.Result{}, fault.New(fault.Unavailable, "apply", "store", "refused")
	}
	_, _ = r.Store.Apply(ctx, tx)
	<-ctx.Done()
	return store.Result{}, fault.New(fault.OutcomeUnknown, "apply", "store", "no response")
}

// TestRepeatOfUnsettledSubmission repeats a submission whose write was stored without an answer. While the first one is
// under way, and after its outcome was unknown, a repeat that is refused must not be told that the job never runs.
func TestRepeatOfUnsettledSubmission(t *testing.T) {
	tests := []struct {
		name string
		// repeatAfter is the time from the first submission to its repeat.
		repeatAfter time.Duration
		// closed is set if the partition closes, and not only the store refuses the repeat.
		closed bool
	}{
		{"the first one is under way, the partition closes", 500 * time.Millisecond, true},
		{"the first one is under way, the store refuses", 500 * time.Millisecond, false},
		{"the first one ended, the store refuses", 5 * time.Second, false},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				memory, d := &store.Memory{}, &switchedCheck{}
				s := &refusingLater{Store: memory}
				jobs := entry.New(entry.Config{Store: s, Check: d})
				var first errgroup.Group
				first.Go(func() error { return submit(t, jobs) })
				time.Sleep(test.repeatAfter)
				s.refuses.Store(true)
				d.closed.Store(test.closed)
				err := submit(t, jobs)
				assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v", err)
				assert.Assert(t, first.Wait() != nil)
				assert.Equal(t, storedJobs(t, memory), 1)
			})
		})
	}
}
