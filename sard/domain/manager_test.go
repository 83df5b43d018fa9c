package domain_test

import (
	"context"
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/domain"
	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/lease"
	"github.com/sardineline/sardineline/sard/peer"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/roster"
	"github.com/sardineline/sardineline/sard/table"
)

// scheduler accepts jobs and runs nothing. It notes which instance accepted them.
type scheduler struct {
	dc   ident.DataCentre
	name ident.Instance
	held *lease.Lease
	jobs int
}

func (s *scheduler) Submit(context.Context, ident.Account, ident.IdempotencyKey, gang.JobSpec) (gang.JobView, error) {
	if err := s.held.Check(); err != nil {
		return gang.JobView{}, err
	}
	s.jobs++
	return gang.JobView{ID: ident.Job(fmt.Sprintf("%s.%s-%d", s.dc, s.name, s.jobs))}, nil
}

func (s *scheduler) Get(_ context.Context, _ ident.Account, job ident.Job) (gang.JobView, error) {
	return gang.JobView{ID: job}, nil
}

func (s *scheduler) List(context.Context, ident.Account) ([]gang.JobView, error) {
	return []gang.JobView{{ID: ident.Job(s.dc + ".listed")}}, nil
}
func (s *scheduler) Cancel(context.Context, ident.Account, []ident.Job) error { return nil }
func (s *scheduler) Explain(context.Context, ident.Account, ident.Job) (place.Explanation, error) {
	return place.Explanation{}, nil
}

func (s *scheduler) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-s.held.Lost():
	}
	return nil
}
func (s *scheduler) SetTopology([]fleet.Worker) {}
func (s *scheduler) Configure(place.Configure)  {}
func (s *scheduler) Summary() place.Summary {
	return place.Summary{Accelerators: 64, Free: 64, LargestFree: 64}
}

// kept renews a lease until it is released.
type kept struct {
	*lease.Lease
	stop func()
}

func (k kept) Release(ctx context.Context) error {
	k.stop()
	return k.Lease.Release(ctx)
}

// cutStore is a store that a crashed instance no longer reaches.
type cutStore struct {
	table.Store
	node *node
}

func (c cutStore) Apply(ctx context.Context, p table.Priority, batch ...table.Write) error {
	if c.node.dead.Load() {
		return fault.New(fault.Unavailable, "apply batch", "table", "cut off")
	}
	return c.Store.Apply(ctx, p, batch...)
}

// node is an instance of the test.
type node struct {
	roster  *roster.Roster
	manager *domain.Manager
	kill    context.CancelFunc
	dead    atomic.Bool
}

// system is a few instances that share a store and call each other directly.
type system struct {
	mu    sync.Mutex
	store *table.Memory
	nodes map[string]*node
	group errgroup.Group
}

func (s *system) find(address string) *node {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := s.nodes[address]
	if n == nil || n.dead.Load() {
		return nil
	}
	return n
}

// Call delivers a message to a live instance.
func (s *system) Call(ctx context.Context, address string, m peer.Message) (peer.Message, error) {
	n := s.find(address)
	if n == nil {
		return nil, fault.New(fault.Unavailable, "call", address, "down")
	}
	return n.manager.Serve(ctx, m)
}

var dataCentres = []ident.DataCentre{"dc-a", "dc-b", "dc-c"}

// start adds an instance in a data centre.
func (s *system) start(ctx context.Context, name ident.Instance, dc ident.DataCentre) *node {
	ctx, kill := context.WithCancel(ctx)
	self := roster.Member{Name: name, Address: string(name), DataCentre: dc, Incarnation: uint64(time.Now().UnixNano())}
	n := &node{kill: kill, roster: roster.New(roster.Config{Self: self, Seeds: []string{"i0", "i1", "i2"}})}
	leases := lease.New(lease.Config{Store: cutStore{s.store, n}, Instance: name})
	n.manager = domain.New(domain.Config{
		Self: self, Roster: n.roster, Peers: s,
		AcquireLease: func(c context.Context, dc ident.DataCentre) (domain.Lease, error) {
			held, err := leases.Acquire(c, dc)
			if err != nil {
				return nil, err
			}
			keep, stop := context.WithCancel(ctx)
			s.group.Go(func() error { return held.KeepAlive(keep) })
			return kept{held, stop}, nil
		},
		ReadHolder: func(c context.Context, dc ident.DataCentre) (ident.Instance, error) {
			h, err := leases.Read(c, dc)
			return h.Holder, err
		},
		NewScheduler: func(dc ident.DataCentre, held domain.Lease) domain.Scheduler {
			return &scheduler{dc: dc, name: name, held: held.(kept).Lease}
		},
	})
	var workers []fleet.Worker
	for _, dc := range dataCentres {
		workers = append(workers, fleet.Worker{Name: ident.Worker(dc + "-w0"), DataCentre: dc, Accelerators: 8})
	}
	n.manager.SetTopology(workers)
	n.manager.Configure(config.ActiveDocument{
		Record:   config.Record{Head: config.Head{Version: 1}},
		Document: &envdoc.Document{Accounts: []envdoc.Account{{Name: "north"}}},
	})
	s.mu.Lock()
	s.nodes[string(name)] = n
	s.mu.Unlock()
	s.group.Go(func() error { return n.manager.Run(ctx) })
	s.group.Go(func() error {
		for ctx.Err() == nil {
			for _, d := range n.roster.Tick(n.manager.OwnLoads()) {
				if to := s.find(d.To.Address); to != nil {
					to.roster.HandleHeartbeat(d.Heartbeat)
				}
			}
			time.Sleep(n.roster.Period())
		}
		return nil
	})
	return n
}

// crash stops an instance without a word: its lease stays until it lapses.
func (n *node) crash() {
	n.dead.Store(true)
	n.kill()
}

func startThree(ctx context.Context) *system {
	s := &system{store: &table.Memory{}, nodes: map[string]*node{}}
	for i, dc := range dataCentres {
		s.start(ctx, ident.Instance(fmt.Sprintf("i%d", i)), dc)
	}
	return s
}

// holders counts the live instances that hold a domain.
func (s *system) holders(dc ident.DataCentre) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	count := 0
	for _, n := range s.nodes {
		for _, st := range n.manager.HeldDomains() {
			if st.DataCentre == dc && !n.dead.Load() {
				count++
			}
		}
	}
	return count
}

func inSystem(t *testing.T, body func(t *testing.T, ctx context.Context, s *system)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		s := startThree(ctx)
		time.Sleep(2 * time.Minute)
		body(t, ctx, s)
		cancel()
		assert.NilError(t, s.group.Wait())
	})
}

func TestDomainsSpreadToTheirDataCentres(t *testing.T) {
	inSystem(t, func(t *testing.T, _ context.Context, s *system) {
		for i, dc := range dataCentres {
			held := s.nodes[fmt.Sprintf("i%d", i)].manager.HeldDomains()
			assert.Equal(t, len(held), 1)
			assert.Equal(t, held[0].DataCentre, dc)
		}
	})
}

func TestJobCallsReachTheHolderFromAnyInstance(t *testing.T) {
	inSystem(t, func(t *testing.T, ctx context.Context, s *system) {
		for _, n := range s.nodes {
			for _, dc := range dataCentres {
				view, err := n.manager.Submit(ctx, "north", "", gang.JobSpec{Accelerators: 1, Checkpointable: true, DataCentre: dc})
				assert.NilError(t, err)
				assert.Equal(t, gang.DataCentreOf(view.ID), dc)
				got, err := n.manager.Get(ctx, "north", view.ID)
				assert.NilError(t, err)
				assert.Equal(t, got.ID, view.ID)
			}
			all, err := n.manager.List(ctx, "north")
			assert.NilError(t, err)
			assert.Equal(t, len(all), 3)
		}
		_, err := s.nodes["i0"].manager.Submit(ctx, "south", "", gang.JobSpec{Accelerators: 1})
		assert.Equal(t, fault.KindOf(err), fault.Denied)
		_, err = s.nodes["i0"].manager.Submit(ctx, "north", "", gang.JobSpec{Accelerators: 1, Checkpointable: true, DataCentre: "dc-z"})
		assert.Equal(t, fault.KindOf(err), fault.Invalid)
	})
}

func TestKilledHolderIsReplacedWithinTenSeconds(t *testing.T) {
	const target = 10 * time.Second
	inSystem(t, func(t *testing.T, ctx context.Context, s *system) {
		for _, victim := range []string{"i1", "i2"} {
			n := s.nodes[victim]
			dc := n.manager.HeldDomains()[0].DataCentre
			n.crash()
			killed := time.Now()
			for s.holders(dc) == 0 && time.Since(killed) < time.Minute {
				time.Sleep(100 * time.Millisecond)
			}
			t.Logf("%s taken over after %v", dc, time.Since(killed))
			assert.Assert(t, time.Since(killed) <= target)
			time.Sleep(2 * time.Minute)
		}
		assert.Equal(t, len(s.nodes["i0"].manager.HeldDomains()), 3)
	})
}

func TestDrainHandsDomainsOverAtOnce(t *testing.T) {
	const target = 3 * time.Second
	inSystem(t, func(t *testing.T, _ context.Context, s *system) {
		n := s.nodes["i2"]
		n.roster.MarkLeaving()
		began := time.Now()
		n.manager.ReleaseAll()
		assert.Equal(t, len(n.manager.HeldDomains()), 0)
		for s.holders("dc-c") == 0 && time.Since(began) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("dc-c handed over after %v", time.Since(began))
		assert.Assert(t, time.Since(began) <= target)
	})
}
