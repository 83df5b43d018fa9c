package fleets_test

import (
	"context"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/standin/faults"
	"github.com/sardineline/sardineline/standin/fleets"
	"github.com/sardineline/sardineline/standin/inmem"
)

// lag is the delay with which the list of the tests shows a change.
const lag = 30 * time.Second

// harness is a fleet list, its faults and a client that watches it.
type harness struct {
	faults *faults.Set
	list   *fleets.List
	client *fleet.Client

	mu       sync.Mutex
	received []fleet.Snapshot
}

// receive keeps a snapshot that the client has delivered.
func (h *harness) receive(s fleet.Snapshot) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.received = append(h.received, s)
}

// snapshots waits for the duration d and returns all snapshots that the client has delivered so far.
func (h *harness) snapshots(d time.Duration) []fleet.Snapshot {
	time.Sleep(d)
	synctest.Wait()
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.received)
}

// runWithWatcher runs test in virtual time with a new harness.
func runWithWatcher(t *testing.T, test func(h *harness)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		h := &harness{faults: faults.New(1)}
		h.list = fleets.New(fleets.Config{
			Workers: []fleet.Worker{{Name: "w0", Rack: "r1", DataCentre: "dc"}, {Name: "w1", Rack: "r2", DataCentre: "dc"}},
			Servers: []fleet.Server{{Name: "s0", DataCentre: "dc"}},
			Lag:     lag,
			Faults:  h.faults,
		})
		network := &inmem.Network{}
		server, err := network.Serve("fleet:1", h.list)
		assert.NilError(t, err)
		h.client, err = fleet.New(fleet.Config{Endpoint: "http://fleet:1/", Dial: network.DialContext})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error {
			return h.client.Watch(ctx, h.receive)
		})
		assert.Equal(t, len(h.snapshots(10*time.Second)), 1)
		test(h)
		cancel()
		assert.ErrorIs(t, group.Wait(), context.Canceled)
		h.client.Close()
		assert.NilError(t, server.Close())
	})
}

func TestListLags(t *testing.T) {
	tests := []struct {
		name   string
		change func(h *harness) error
		seen   func(s fleet.Snapshot) bool
	}{
		{
			"rack lost",
			func(h *harness) error {
				return h.faults.Inject(faults.Fault{Peer: faults.Worker, Rack: "r1", Kind: faults.Die})
			},
			func(s fleet.Snapshot) bool { return len(s.Workers) == 1 },
		},
		{
			"server leaves",
			func(h *harness) error {
				return h.faults.Inject(faults.Fault{Peer: faults.Server, Name: "s0", Kind: faults.Leave})
			},
			func(s fleet.Snapshot) bool { return s.Servers[0].State == ident.Leaving },
		},
		{
			"worker leaves",
			func(h *harness) error {
				return h.faults.Inject(faults.Fault{Peer: faults.Worker, Name: "w1", Kind: faults.Leave})
			},
			func(s fleet.Snapshot) bool { return s.Workers[1].State == ident.Leaving },
		},
		{
			"instance registers",
			func(h *harness) error {
				h.list.Register(fleet.Instance{Name: "i0", Address: "i:1"})
				return nil
			},
			func(s fleet.Snapshot) bool { return len(s.Instances) == 1 },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			runWithWatcher(t, func(h *harness) {
				assert.NilError(t, tt.change(h))
				assert.Equal(t, len(h.snapshots(lag-time.Second)), 1)
				received := h.snapshots(5 * time.Second)
				assert.Equal(t, len(received), 2)
				assert.Assert(t, tt.seen(received[1]))
				assert.Equal(t, received[1].Sequence, received[0].Sequence+1)
			})
		})
	}
}

func TestClientKeepsLastListDuringOutage(t *testing.T) {
	for _, kind := range []faults.Kind{faults.Down, faults.Cut, faults.Stale} {
		t.Run(kind.String(), func(t *testing.T) {
			runWithWatcher(t, func(h *harness) {
				assert.NilError(t, h.faults.Inject(faults.Fault{Peer: faults.Fleet, Kind: kind}))
				h.list.Register(fleet.Instance{Name: "i0", Address: "i:1"})
				assert.Equal(t, len(h.snapshots(time.Hour)), 1)
				_, err := h.client.Snapshot(context.Background())
				assert.Equal(t, fault.Is(err, fault.Unavailable), kind != faults.Stale)
				h.faults.ClearAll()
				received := h.snapshots(5 * time.Second)
				assert.Equal(t, len(received), 2)
				assert.Equal(t, len(received[1].Instances), 1)
			})
		})
	}
}
