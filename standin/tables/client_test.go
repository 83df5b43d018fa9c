package tables_test

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
	"github.com/sardineline/sardineline/standin/faults"
)

func TestWritesAndConditions(t *testing.T) {
	item := func(epoch ident.Epoch, cond table.Condition) table.Put {
		p := put("a", "new", cond)
		p.Epoch = epoch
		return p
	}
	key := table.Key{Partition: "p", Sort: "a"}
	tests := []struct {
		name     string
		batch    []table.Write
		want     fault.Kind
		revision uint64
	}{
		{"absent fails", []table.Write{item(1, table.Absent{})}, fault.Conflict, 1},
		{"at revision", []table.Write{item(1, table.AtRevision{Revision: 1})}, 0, 2},
		{"at another revision", []table.Write{item(1, table.AtRevision{Revision: 2})}, fault.Conflict, 1},
		{"at epoch", []table.Write{item(8, table.AtEpoch{Epoch: 7})}, 0, 2},
		{"at another epoch", []table.Write{item(8, table.AtEpoch{Epoch: 6})}, fault.Conflict, 1},
		{"delete", []table.Write{table.Delete{Key: key, If: table.AtEpoch{Epoch: 7}}}, 0, 0},
		{"delete at another revision", []table.Write{table.Delete{Key: key, If: table.AtRevision{Revision: 3}}}, fault.Conflict, 1},
		{"whole batch", []table.Write{item(7, table.AtRevision{Revision: 1}), put("b", "", table.Absent{})}, 0, 2},
		{"batch with a failed condition", []table.Write{
			item(7, table.AtRevision{Revision: 1}), table.ConditionCheck{Key: table.Key{Partition: "p", Sort: "b"}, If: table.AtEpoch{Epoch: 1}},
		}, fault.Conflict, 1},
		{"no condition", []table.Write{item(1, nil)}, fault.Invalid, 1},
		{"one key twice", []table.Write{item(1, table.Absent{}), item(1, table.Absent{})}, fault.Invalid, 1},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				_, c := startService(t)
				assert.NilError(t, apply(t, c, item(7, table.Absent{})))
				err := apply(t, c, tt.batch...)
				assert.Equal(t, err != nil, tt.want != 0, "%v", err)
				assert.Assert(t, err == nil || fault.Is(err, tt.want), "%v", err)
				got, err := c.Get(context.Background(), table.DecisionPriority, key)
				assert.Equal(t, got.Revision, tt.revision)
				assert.Equal(t, fault.Is(err, fault.NotFound), tt.revision == 0, "%v", err)
			})
		})
	}
}

func TestFaults(t *testing.T) {
	newFault := func(kind faults.Kind, calls int) faults.Fault {
		return faults.Fault{Peer: faults.Table, Kind: kind, Calls: calls, Delay: ident.Duration(2 * time.Second)}
	}
	temporarySlow := newFault(faults.Slow, 0)
	temporarySlow.For = ident.Duration(1500 * time.Millisecond)
	const noError = fault.Internal
	tests := []struct {
		name    string
		fault   faults.Fault
		want    fault.Kind
		applied int
	}{
		{"down", newFault(faults.Down, 0), fault.OutcomeUnknown, 0},
		{"down for one call", newFault(faults.Down, 1), noError, 1},
		{"connection cut", newFault(faults.Cut, 0), fault.OutcomeUnknown, 0},
		{"connection cut for one call", newFault(faults.Cut, 1), noError, 1},
		{"throttled", newFault(faults.Throttle, 0), fault.Throttled, 0},
		{"throttled for two calls", newFault(faults.Throttle, 2), noError, 1},
		{"response lost", newFault(faults.LoseAnswer, 1), noError, 1},
		{"all responses lost", newFault(faults.LoseAnswer, 0), fault.OutcomeUnknown, 1},
		{"temporarily slower than the attempt timeout", temporarySlow, noError, 1},
		{"slower than the attempt timeout", newFault(faults.Slow, 0), fault.OutcomeUnknown, 1},
	}
	writes := []struct {
		name  string
		write table.Write
	}{
		{"put", put("a", "new", table.AtRevision{Revision: 1})},
		{"transaction", put("b", "new", table.Absent{})},
	}
	for _, tt := range tests {
		for _, w := range writes {
			t.Run(tt.name+"/"+w.name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					h, c := startService(t)
					assert.NilError(t, apply(t, c, put("a", "old", table.Absent{})))
					assert.NilError(t, h.faults.Inject(tt.fault))
					err := apply(t, c, w.write)
					assert.Equal(t, err == nil, tt.want == noError, "%v", err)
					assert.Assert(t, err == nil || fault.Is(err, tt.want), "%v", err)
					time.Sleep(time.Minute)
					assert.Equal(t, len(h.service.Writes()), 1+tt.applied)
				})
			})
		}
	}
}

func TestOtherWriterWinsDuringSlowWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, c := startService(t)
		assert.NilError(t, apply(t, c, put("a", "old", table.Absent{})))
		slow := faults.Fault{Peer: faults.Table, Kind: faults.Slow, Calls: 1, Delay: ident.Duration(2 * time.Second)}
		assert.NilError(t, h.faults.Inject(slow))
		var group errgroup.Group
		group.Go(func() error {
			time.Sleep(500 * time.Millisecond)
			return apply(t, c, put("a", "other", table.AtRevision{Revision: 1}))
		})
		err := apply(t, c, put("a", "mine", table.AtRevision{Revision: 1}))
		assert.Assert(t, fault.Is(err, fault.Conflict), "%v", err)
		assert.NilError(t, group.Wait())
		time.Sleep(time.Minute)
		assert.Equal(t, len(h.service.Writes()), 2)
	})
}

func TestLostAnswerIsUnknownAfterLaterWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, c := startService(t)
		assert.NilError(t, apply(t, c, put("a", "old", table.Absent{})))
		lost := faults.Fault{Peer: faults.Table, Kind: faults.LoseAnswer, Calls: 2}
		assert.NilError(t, h.faults.Inject(lost))
		other, err := h.client(table.Config{})
		assert.NilError(t, err)
		defer other.Close()
		var group errgroup.Group
		group.Go(func() error {
			time.Sleep(time.Nanosecond)
			return apply(t, other, put("a", "later", table.AtRevision{Revision: 2}))
		})
		err = apply(t, c, put("a", "mine", table.AtRevision{Revision: 1}))
		assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v", err)
		assert.NilError(t, group.Wait())
		assert.Equal(t, len(h.service.Writes()), 3)
	})
}

func TestStaleRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, c := startService(t)
		assert.NilError(t, apply(t, c, put("a", "old", table.Absent{})))
		assert.NilError(t, apply(t, c, put("a", "new", table.AtRevision{Revision: 1})))
		assert.NilError(t, h.faults.Inject(faults.Fault{Peer: faults.Table, Kind: faults.Stale}))
		key := table.Key{Partition: "p", Sort: "a"}
		got, err := c.GetStale(context.Background(), table.BackgroundPriority, key)
		assert.NilError(t, err)
		assert.Equal(t, string(got.Body), "old")
		got, err = c.Get(context.Background(), table.BackgroundPriority, key)
		assert.NilError(t, err)
		assert.Equal(t, string(got.Body), "new")
	})
}

// During an outage only the first write may have an unknown result. Later ones must be rejected before they are sent.
func TestOutageRefusesLaterWrites(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, c := startService(t)
		assert.NilError(t, h.faults.Inject(faults.Fault{Peer: faults.Table, Kind: faults.Down}))
		err := apply(t, c, put("a", "", table.Absent{}))
		assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v", err)
		for range 10 {
			err = apply(t, c, put("b", "", table.Absent{}))
			assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
		}
		h.faults.ClearAll()
		assert.NilError(t, apply(t, c, put("b", "", table.Absent{})))
	})
}

func TestUnreachableServiceIsUnavailable(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c, err := table.New(table.Config{Endpoint: "http://nowhere:1", Dial: (&harness{}).network.DialContext})
		assert.NilError(t, err)
		err = apply(t, c, put("a", "", table.Absent{}))
		assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
	})
}

func TestListPages(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, c := startService(t)
		for i := range 30 {
			assert.NilError(t, apply(t, c, put(fmt.Sprintf("x%02d", i), "some longer body", table.Absent{})))
		}
		assert.NilError(t, apply(t, c, put("y", "", table.Absent{})))
		items, err := c.List(context.Background(), table.DecisionPriority, "p", "x")
		assert.NilError(t, err)
		assert.Equal(t, len(items), 30)
		assert.Equal(t, items[29].Key.Sort, "x29")
		assert.Assert(t, h.service.Counts()["Query"] > 3)
		items, err = c.List(context.Background(), table.DecisionPriority, "p", "")
		assert.NilError(t, err)
		assert.Equal(t, len(items), 31)
	})
}

// A burst of calls with the priority of decisions must wait for the client's rate limit, and a call with the priority
// of leases must not.
func TestLeaseCallsBypassRateLimit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, err := newHarness(1)
		assert.NilError(t, err)
		c, err := h.client(table.Config{WritesPerSecond: 10})
		assert.NilError(t, err)
		defer func() {
			c.Close()
			assert.NilError(t, h.server.Close())
		}()
		started := time.Now()
		for i := range 30 {
			assert.NilError(t, apply(t, c, put(fmt.Sprint(i), "", table.Absent{})))
		}
		assert.Equal(t, time.Since(started), 2*time.Second)
		assert.NilError(t, c.Apply(context.Background(), table.LeasePriority, put("lease", "", table.Absent{})))
		assert.Equal(t, time.Since(started), 2*time.Second)
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Millisecond)
		defer cancel()
		err = c.Apply(ctx, table.BackgroundPriority, put("late", "", table.Absent{}))
		assert.Assert(t, fault.Is(err, fault.Throttled), "%v", err)
	})
}

// The client sends a transaction again if the response is late. If the second copy was refused with Conflict, the
// delayed first copy must not be applied after the writer got that result.
func TestDelayedCopyOfRefusedTransaction(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, c := startService(t)
		slow := faults.Fault{Peer: faults.Table, Kind: faults.Slow, Calls: 1, Delay: ident.Duration(3 * time.Second)}
		assert.NilError(t, h.faults.Inject(slow))
		err := apply(t, c, put("a", "mine", table.AtEpoch{}))
		assert.Assert(t, fault.Is(err, fault.Conflict), "%v", err)
		assert.NilError(t, apply(t, c, put("a", "other", table.Absent{})))
		time.Sleep(time.Minute)
		assert.Equal(t, len(h.service.Writes()), 1)
	})
}
