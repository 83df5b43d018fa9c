package policy

import (
	"context"
	"fmt"
	"strconv"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
)

var rowKey = store.Key{Table: "op", Name: "config"}

// rig is a source over a store in memory; a row's value is its version as text.
type rig struct {
	t      *testing.T
	store  *store.Memory
	source *Source
	// silent makes the feed tell nothing; away makes all calls fail.
	silent, away atomic.Bool
}

func play(t *testing.T, test func(*rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{t: t, store: &store.Memory{}}
		r.store.InjectError = func(op string, _ bool) error {
			if r.away.Load() || r.silent.Load() && op == "feed" {
				return fault.New(fault.Unavailable, op, "store", "away")
			}
			return nil
		}
		r.source = NewSource(Config{Store: r.store, Key: rowKey, Decode: decode, Logger: hclog.NewNullLogger()})
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return r.source.Run(ctx) })
		test(r)
		stop()
		assert.NilError(t, group.Wait())
	})
}

func decode(value []byte) (*Policy, error) {
	n, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("read version: %w", err)
	}
	return &Policy{Version: ident.Version(n)}, nil
}

func (r *rig) put(value string) {
	r.t.Helper()
	_, err := r.store.Apply(r.t.Context(), store.Tx{Put: []store.Put{{Key: rowKey, Value: []byte(value)}}})
	assert.NilError(r.t, err)
}

func (r *rig) version() ident.Version {
	if p := r.source.Current(); p != nil {
		return p.Version
	}
	return 0
}

func TestChangeIsInForceAtOnce(t *testing.T) {
	play(t, func(r *rig) {
		r.put("1")
		time.Sleep(2 * time.Second)
		r.put("5")
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, r.version(), ident.Version(5))
	})
}

// TestSilentFeedIsBackedByReads: a change that the feed does not tell is in force within the period of the reads.
func TestSilentFeedIsBackedByReads(t *testing.T) {
	play(t, func(r *rig) {
		r.put("1")
		time.Sleep(time.Second)
		r.silent.Store(true)
		r.put("2")
		time.Sleep(readPeriod + readTimeout)
		assert.Equal(t, r.version(), ident.Version(2))
	})
}

func TestNeverReverts(t *testing.T) {
	tests := []struct{ name, value string }{
		{"an older version", "2"},
		{"unreadable", "x"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			play(t, func(r *rig) {
				r.put("3")
				time.Sleep(time.Second)
				r.put(test.value)
				time.Sleep(2 * time.Second)
				assert.Equal(t, r.version(), ident.Version(3))
				r.put("4")
				time.Sleep(2 * time.Second)
				assert.Equal(t, r.version(), ident.Version(4))
			})
		})
	}
}

func TestAgeGrowsWhileTheStoreIsAway(t *testing.T) {
	play(t, func(r *rig) {
		assert.Assert(t, r.source.Staleness() > time.Hour, "nothing is confirmed yet")
		r.put("1")
		time.Sleep(3 * time.Second)
		assert.Assert(t, r.source.Staleness() <= readPeriod)
		r.away.Store(true)
		time.Sleep(5 * time.Second)
		assert.Assert(t, r.source.Staleness() >= 5*time.Second)
		r.away.Store(false)
		time.Sleep(time.Second)
		assert.Assert(t, r.source.Staleness() <= readPeriod)
	})
}

func TestDroppedHistoryIsReadAnew(t *testing.T) {
	play(t, func(r *rig) {
		r.put("1")
		time.Sleep(time.Second)
		r.silent.Store(true)
		r.put("2")
		r.store.Compact()
		r.silent.Store(false)
		time.Sleep(time.Second)
		r.put("3")
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, r.version(), ident.Version(3))
	})
}

func ExamplePolicy_Route() {
	p := &Policy{Queues: []Queue{
		{Name: "plans", Host: "h.example", Prefix: "/plans/"},
		{Name: "urgent", Host: "h.example", Prefix: "/plans/urgent/"},
	}}
	p.BuildIndex()
	queue, rest, _ := p.Route("h.example", "/plans/urgent/17")
	fmt.Println(queue.Name, rest)
	// Output: urgent 17
}
