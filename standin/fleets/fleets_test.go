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

const lag = 30 * time.Second

// rig is a list with a client that watches it.
type rig struct {
	faults *faults.Set
	list   *fleets.List
	client *fleet.Client

	mu    sync.Mutex
	given []fleet.Snapshot
}

func (r *rig) take(s fleet.Snapshot) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.given = append(r.given, s)
}

// snapshots returns what the client has given after d.
func (r *rig) snapshots(d time.Duration) []fleet.Snapshot {
	time.Sleep(d)
	synctest.Wait()
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.given)
}

// watch runs fn while a client watches a list.
func watch(t *testing.T, fn func(r *rig)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		r := &rig{faults: faults.New(1)}
		r.list = fleets.New(fleets.Config{
			Workers: []fleet.Worker{{Name: "w0", Rack: "r1", DataCentre: "dc"}, {Name: "w1", Rack: "r2", DataCentre: "dc"}},
			Servers: []fleet.Server{{Name: "s0", DataCentre: "dc"}},
			Lag:     lag,
			Faults:  r.faults,
		})
		network := &inmem.Network{}
		server, err := network.Serve("fleet:1", r.list)
		assert.NilError(t, err)
		r.client, err = fleet.New(fleet.Config{Endpoint: "http://fleet:1/", Dial: network.DialContext})
		assert.NilError(t, err)
		ctx, cancel := context.WithCancel(context.Background())
		var group errgroup.Group
		group.Go(func() error {
			return r.client.Watch(ctx, r.take)
		})
		assert.Equal(t, len(r.snapshots(10*time.Second)), 1)
		fn(r)
		cancel()
		assert.ErrorIs(t, group.Wait(), context.Canceled)
		r.client.Close()
		assert.NilError(t, server.Close())
	})
}

func TestListLags(t *testing.T) {
	tests := []struct {
		name   string
		change func(r *rig) error
		seen   func(s fleet.Snapshot) bool
	}{
		{
			"rack lost",
			func(r *rig) error {
				return r.faults.Inject(faults.Fault{Peer: faults.Worker, Rack: "r1", Kind: faults.Die})
			},
			func(s fleet.Snapshot) bool { return len(s.Workers) == 1 },
		},
		{
			"server leaves",
			func(r *rig) error {
				return r.faults.Inject(faults.Fault{Peer: faults.Server, Name: "s0", Kind: faults.Leave})
			},
			func(s fleet.Snapshot) bool { return s.Servers[0].State == ident.Leaving },
		},
		{
			"worker leaves",
			func(r *rig) error {
				return r.faults.Inject(faults.Fault{Peer: faults.Worker, Name: "w1", Kind: faults.Leave})
			},
			func(s fleet.Snapshot) bool { return s.Workers[1].State == ident.Leaving },
		},
		{
			"instance registers",
			func(r *rig) error {
				r.list.Register(fleet.Instance{Name: "i0", Address: "i:1"})
				return nil
			},
			func(s fleet.Snapshot) bool { return len(s.Instances) == 1 },
		},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			watch(t, func(r *rig) {
				assert.NilError(t, tt.change(r))
				assert.Equal(t, len(r.snapshots(lag-time.Second)), 1)
				given := r.snapshots(5 * time.Second)
				assert.Equal(t, len(given), 2)
				assert.Assert(t, tt.seen(given[1]))
				assert.Equal(t, given[1].Sequence, given[0].Sequence+1)
			})
		})
	}
}

func TestLastGoodListStaysDuringAnOutage(t *testing.T) {
	for _, kind := range []faults.Kind{faults.Down, faults.Cut, faults.Stale} {
		t.Run(kind.String(), func(t *testing.T) {
			watch(t, func(r *rig) {
				assert.NilError(t, r.faults.Inject(faults.Fault{Peer: faults.Fleet, Kind: kind}))
				r.list.Register(fleet.Instance{Name: "i0", Address: "i:1"})
				assert.Equal(t, len(r.snapshots(time.Hour)), 1)
				_, err := r.client.Snapshot(context.Background())
				assert.Equal(t, fault.Is(err, fault.Unavailable), kind != faults.Stale)
				r.faults.ClearAll()
				given := r.snapshots(5 * time.Second)
				assert.Equal(t, len(given), 2)
				assert.Equal(t, len(given[1].Instances), 1)
			})
		})
	}
}
