package policy

import (
	"bytes"
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

// rowKey is the key of the configuration row.
var rowKey = store.Key{Table: "op", Name: "config"}

// missedChangeDelay is the time after which a change that the feed missed must be in force.
const missedChangeDelay = 1900 * time.Millisecond

// harness runs a Source on an in-memory store. The value of the row is its version number as text.
type harness struct {
	t      *testing.T
	store  *store.Memory
	source *Source
	// feedDown makes feed calls fail; storeDown makes all calls fail.
	feedDown, storeDown atomic.Bool
}

// runWithSource runs test with a harness whose source is running.
func runWithSource(t *testing.T, test func(*harness)) {
	t.Helper()
	runPrepared(t, func(*harness) {}, test)
}

// runPrepared is runWithSource that calls prepare before the source starts.
func runPrepared(t *testing.T, prepare, test func(*harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{t: t, store: &store.Memory{}}
		h.store.InjectError = func(op string, _ bool) error {
			if h.storeDown.Load() || h.feedDown.Load() && op == "feed" {
				return fault.New(fault.Unavailable, op, "store", "store unavailable")
			}
			return nil
		}
		h.source = NewSource(Config{Store: h.store, Key: rowKey, Decode: decodeVersion, EvacuationPrefix: "evacuate/", Logger: hclog.NewNullLogger()})
		prepare(h)
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return h.source.Run(ctx) })
		test(h)
		stop()
		assert.NilError(t, group.Wait())
	})
}

// decodeVersion decodes a row into a Policy that has only a version.
func decodeVersion(value []byte) (*Policy, error) {
	n, err := strconv.ParseUint(string(value), 10, 64)
	if err != nil {
		return nil, fmt.Errorf("read version: %w", err)
	}
	return &Policy{Version: ident.Version(n)}, nil
}

// TestInvalidConfigurationIsRefused checks that a configuration that can be decoded but not used leaves the former one in
// force.
func TestInvalidConfigurationIsRefused(t *testing.T) {
	repeatAccount := func(h *harness) {
		h.source.config.Decode = func(value []byte) (*Policy, error) {
			p, err := decodeVersion(value)
			if p != nil && p.Version == 2 {
				p.Accounts = []Account{{Name: "north"}, {Name: "north"}}
			}
			return p, err
		}
	}
	runPrepared(t, repeatAccount, func(h *harness) {
		for _, step := range []struct {
			put  string
			want ident.Version
		}{{"1", 1}, {"2", 1}, {"3", 3}} {
			h.put(step.put)
			time.Sleep(time.Second)
			assert.Equal(t, h.version(), step.want)
		}
	})
}

// put stores a value in the configuration row.
func (h *harness) put(value string) {
	h.t.Helper()
	_, err := h.store.Apply(h.t.Context(), store.Tx{Put: []store.Put{{Key: rowKey, Value: []byte(value)}}})
	assert.NilError(h.t, err)
}

// version returns the version in force, or 0 if there is none.
func (h *harness) version() ident.Version {
	if p := h.source.Current(); p != nil {
		return p.Version
	}
	return 0
}

// TestFeedAppliesChangeAtOnce checks that the feed applies a change before the next poll.
func TestFeedAppliesChangeAtOnce(t *testing.T) {
	runWithSource(t, func(h *harness) {
		h.put("1")
		time.Sleep(2 * time.Second)
		h.put("5")
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, h.version(), ident.Version(5))
	})
}

// TestPollFindsChangeMissedByFeed checks that a change is applied within one poll while the feed fails.
func TestPollFindsChangeMissedByFeed(t *testing.T) {
	runWithSource(t, func(h *harness) {
		h.put("1")
		time.Sleep(time.Second)
		h.feedDown.Store(true)
		h.put("2")
		time.Sleep(missedChangeDelay)
		assert.Equal(t, h.version(), ident.Version(2))
	})
}

// TestOlderOrUnreadableVersionIsIgnored checks that such a row leaves the configuration in force and that a later valid
// one is applied.
func TestOlderOrUnreadableVersionIsIgnored(t *testing.T) {
	tests := []struct{ name, value string }{
		{"an older version", "2"},
		{"unreadable", "x"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithSource(t, func(h *harness) {
				h.put("3")
				time.Sleep(time.Second)
				h.put(test.value)
				time.Sleep(2 * time.Second)
				assert.Equal(t, h.version(), ident.Version(3))
				h.put("4")
				time.Sleep(2 * time.Second)
				assert.Equal(t, h.version(), ident.Version(4))
			})
		})
	}
}

// TestStalenessGrowsWhileStoreIsUnreachable checks that Staleness grows during an outage of the store and recovers
// after it.
func TestStalenessGrowsWhileStoreIsUnreachable(t *testing.T) {
	runWithSource(t, func(h *harness) {
		assert.Assert(t, NewSource(Config{}).Staleness() > time.Hour, "nothing is confirmed before Run")
		h.put("1")
		time.Sleep(3 * time.Second)
		assert.Assert(t, h.source.Staleness() <= listPeriod)
		h.storeDown.Store(true)
		time.Sleep(5 * time.Second)
		assert.Assert(t, h.source.Staleness() >= 5*time.Second)
		h.storeDown.Store(false)
		time.Sleep(time.Second)
		assert.Assert(t, h.source.Staleness() <= listPeriod)
	})
}

// TestConfirmedDuringReturn guards against requests that are served by a former configuration, with a revoked key, because
// the confirmation of the next one counts for it. An instance was cut off from the store while the configuration changed.
// From then on until the change is confirmed, no configuration may count as confirmed, also while the change is decoded.
func TestConfirmedDuringReturn(t *testing.T) {
	const maxAge = 2 * time.Second
	synctest.Test(t, func(t *testing.T) {
		h := &harness{t: t, store: &store.Memory{}}
		h.store.InjectError = func(op string, _ bool) error {
			if h.storeDown.Load() && op != "apply" {
				return fault.New(fault.Unavailable, op, "store", "cut off")
			}
			return nil
		}
		var returning atomic.Bool
		check := func() {
			if confirmed, age := h.source.Confirmed(maxAge); returning.Load() && confirmed != nil {
				t.Errorf("version %d counts as confirmed %v ago", confirmed.Version, age)
			}
		}
		h.source = NewSource(Config{
			Store: h.store, Key: rowKey, Logger: hclog.NewInterceptLogger(&hclog.LoggerOptions{Output: writerFunc(check)}),
			Decode: func(value []byte) (*Policy, error) {
				check()
				return decodeVersion(value)
			},
		})
		h.put("1")
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return h.source.Run(ctx) })
		time.Sleep(time.Second)
		h.storeDown.Store(true)
		h.put("2")
		time.Sleep(maxAge + time.Second)
		returning.Store(true)
		h.storeDown.Store(false)
		time.Sleep(10 * time.Millisecond)
		returning.Store(false)
		time.Sleep(2 * time.Second)
		confirmed, _ := h.source.Confirmed(maxAge)
		assert.Check(t, confirmed != nil && confirmed.Version == 2)
		stop()
		assert.Check(t, group.Wait())
	})
}

// writerFunc is an io.Writer that calls a function for each line of the log that tells of a new configuration. The source
// logs it right before it confirms it.
type writerFunc func()

// Write calls the function.
func (f writerFunc) Write(b []byte) (int, error) {
	if bytes.Contains(b, []byte("configuration in force")) {
		f()
	}
	return len(b), nil
}

// TestFeedRecoversFromCompactedHistory checks that changes are applied again after the store removed the history that
// the feed would continue from.
func TestFeedRecoversFromCompactedHistory(t *testing.T) {
	runWithSource(t, func(h *harness) {
		h.put("1")
		time.Sleep(time.Second)
		h.feedDown.Store(true)
		h.put("2")
		h.store.Compact()
		h.feedDown.Store(false)
		time.Sleep(time.Second)
		h.put("3")
		time.Sleep(10 * time.Millisecond)
		assert.Equal(t, h.version(), ident.Version(3))
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

// TestConfigurationStorm accepts versions in quick succession while the feed fails now and then. The version in force must
// never go back, and the last one must be in force within a second.
func TestConfigurationStorm(t *testing.T) {
	runWithSource(t, func(h *harness) {
		last := ident.Version(0)
		for i := range 24 {
			h.feedDown.Store(i%5 < 2)
			h.put(strconv.Itoa(7 * (i + 1)))
			for range 33 {
				time.Sleep(10 * time.Millisecond)
				assert.Assert(t, h.version() >= last)
				last = h.version()
			}
		}
		time.Sleep(time.Second)
		assert.Equal(t, h.version(), ident.Version(7*24))
	})
}

// TestRestartedProcessUsesNoFormerConfiguration guards against keys that were withdrawn and are in use again after a
// restart: a process has no configuration until it has read the newest one.
func TestRestartedProcessUsesNoFormerConfiguration(t *testing.T) {
	runWithSource(t, func(h *harness) {
		h.put("2")
		h.put("3")
		h.storeDown.Store(true)
		restarted := NewSource(Config{Store: h.store, Key: rowKey, Decode: decodeVersion, Logger: hclog.NewNullLogger()})
		ctx, stop := context.WithCancel(h.t.Context())
		var group errgroup.Group
		group.Go(func() error { return restarted.Run(ctx) })
		time.Sleep(3 * time.Second)
		assert.Assert(t, restarted.Current() == nil)
		h.storeDown.Store(false)
		time.Sleep(2 * time.Second)
		confirmed, _ := restarted.Confirmed(2 * time.Second)
		stop()
		assert.Assert(t, confirmed != nil)
		assert.Equal(t, confirmed.Version, ident.Version(3))
		assert.NilError(t, group.Wait())
	})
}
