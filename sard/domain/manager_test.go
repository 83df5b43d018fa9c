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

// fakeScheduler accepts jobs and runs nothing. The IDs of its jobs name the domain and the instance.
type fakeScheduler struct {
	dc        ident.DataCentre
	instance  ident.Instance
	lease     *lease.Lease
	submitted int
}

func (s *fakeScheduler) Submit(context.Context, ident.Account, ident.IdempotencyKey, gang.JobSpec) (gang.JobView, error) {
	if err := s.lease.Check(); err != nil {
		return gang.JobView{}, err
	}
	s.submitted++
	return gang.JobView{ID: ident.Job(fmt.Sprintf("%s.%s-%d", s.dc, s.instance, s.submitted))}, nil
}

func (s *fakeScheduler) Get(_ context.Context, _ ident.Account, job ident.Job) (gang.JobView, error) {
	return gang.JobView{ID: job}, nil
}

func (s *fakeScheduler) List(context.Context, ident.Account) ([]gang.JobView, error) {
	return []gang.JobView{{ID: ident.Job(s.dc + ".listed")}}, nil
}
func (s *fakeScheduler) Cancel(context.Context, ident.Account, []ident.Job) error { return nil }
func (s *fakeScheduler) Explain(context.Context, ident.Account, ident.Job) (place.Explanation, error) {
	return place.Explanation{}, nil
}

func (s *fakeScheduler) Run(ctx context.Context) error {
	select {
	case <-ctx.Done():
	case <-s.lease.Lost():
	}
	return nil
}
func (s *fakeScheduler) SetTopology([]fleet.Worker) {}
func (s *fakeScheduler) Configure(place.Configure)  {}
func (s *fakeScheduler) Summary() place.Summary {
	return place.Summary{Accelerators: 64, Free: 64, LargestFree: 64}
}

// renewedLease is a lease that is renewed in the background until it is released.
type renewedLease struct {
	*lease.Lease
	stopRenewal func()
}

func (l renewedLease) Release(ctx context.Context) error {
	l.stopRenewal()
	return l.Lease.Release(ctx)
}

// partitionedStore is a store whose writes fail once the instance has crashed.
type partitionedStore struct {
	table.Store
	instance *testInstance
}

func (s partitionedStore) Apply(ctx context.Context, priority table.Priority, batch ...table.Write) error {
	if s.instance.crashed.Load() {
		return fault.New(fault.Unavailable, "apply batch", "table", "instance has crashed")
	}
	return s.Store.Apply(ctx, priority, batch...)
}

// testInstance is an instance of a cluster.
type testInstance struct {
	roster  *roster.Roster
	manager *domain.Manager
	cancel  context.CancelFunc
	crashed atomic.Bool
}

// cluster is a group of instances that share a store for leases and call each other directly.
type cluster struct {
	mu        sync.Mutex
	store     *table.Memory
	instances map[string]*testInstance
	group     errgroup.Group
}

// liveInstance returns the instance at an address, or nil if there is none or it has crashed.
func (c *cluster) liveInstance(address string) *testInstance {
	c.mu.Lock()
	defer c.mu.Unlock()
	instance := c.instances[address]
	if instance == nil || instance.crashed.Load() {
		return nil
	}
	return instance
}

// Call delivers a message to a live instance, as the peer link does.
func (c *cluster) Call(ctx context.Context, address string, m peer.Message) (peer.Message, error) {
	instance := c.liveInstance(address)
	if instance == nil {
		return nil, fault.New(fault.Unavailable, "call", address, "instance is down")
	}
	return instance.manager.Serve(ctx, m)
}

// dataCentres are the data centres of a cluster, each with one instance and one worker.
var dataCentres = []ident.DataCentre{"dc-a", "dc-b", "dc-c"}

// startInstance starts an instance in a data centre and adds it to the cluster.
func (c *cluster) startInstance(ctx context.Context, name ident.Instance, dc ident.DataCentre) *testInstance {
	ctx, cancel := context.WithCancel(ctx)
	self := roster.Member{Name: name, Address: string(name), DataCentre: dc, Incarnation: uint64(time.Now().UnixNano())}
	instance := &testInstance{cancel: cancel, roster: roster.New(roster.Config{Self: self, Seeds: []string{"i0", "i1", "i2"}})}
	leases := lease.New(lease.Config{Store: partitionedStore{c.store, instance}, Instance: name})
	instance.manager = domain.New(domain.Config{
		Self: self, Roster: instance.roster, Peers: c,
		AcquireLease: func(acquireCtx context.Context, dc ident.DataCentre) (domain.Lease, error) {
			lease, err := leases.Acquire(acquireCtx, dc)
			if err != nil {
				return nil, err
			}
			renewCtx, stopRenewal := context.WithCancel(ctx)
			c.group.Go(func() error { return lease.KeepAlive(renewCtx) })
			return renewedLease{lease, stopRenewal}, nil
		},
		ReadHolder: func(readCtx context.Context, dc ident.DataCentre) (ident.Instance, error) {
			record, err := leases.Read(readCtx, dc)
			return record.Holder, err
		},
		NewScheduler: func(dc ident.DataCentre, lease domain.Lease) domain.Scheduler {
			return &fakeScheduler{dc: dc, instance: name, lease: lease.(renewedLease).Lease}
		},
	})
	var workers []fleet.Worker
	for _, dc := range dataCentres {
		workers = append(workers, fleet.Worker{Name: ident.Worker(dc + "-w0"), DataCentre: dc, Accelerators: 8})
	}
	instance.manager.SetTopology(workers)
	instance.manager.Configure(config.ActiveDocument{
		Record:   config.Record{Head: config.Head{Version: 1}},
		Document: &envdoc.Document{Accounts: []envdoc.Account{{Name: "north"}}},
	})
	c.mu.Lock()
	c.instances[string(name)] = instance
	c.mu.Unlock()
	c.group.Go(func() error { return instance.manager.Run(ctx) })
	c.group.Go(func() error {
		for ctx.Err() == nil {
			for _, heartbeat := range instance.roster.Tick(instance.manager.OwnLoads()) {
				if receiver := c.liveInstance(heartbeat.To.Address); receiver != nil {
					receiver.roster.HandleHeartbeat(heartbeat.Heartbeat)
				}
			}
			time.Sleep(instance.roster.Period())
		}
		return nil
	})
	return instance
}

// crash stops an instance without releasing its lease, which stays until it expires.
func (i *testInstance) crash() {
	i.crashed.Store(true)
	i.cancel()
}

// startCluster starts an instance in each data centre.
func startCluster(ctx context.Context) *cluster {
	c := &cluster{store: &table.Memory{}, instances: map[string]*testInstance{}}
	for i, dc := range dataCentres {
		c.startInstance(ctx, ident.Instance(fmt.Sprintf("i%d", i)), dc)
	}
	return c
}

// countHolders returns the number of live instances that hold a domain.
func (c *cluster) countHolders(dc ident.DataCentre) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	count := 0
	for _, instance := range c.instances {
		for _, status := range instance.manager.HeldDomains() {
			if status.DataCentre == dc && !instance.crashed.Load() {
				count++
			}
		}
	}
	return count
}

// runInCluster runs body in a synctest bubble with a cluster that has had two minutes to distribute its domains.
func runInCluster(t *testing.T, body func(t *testing.T, ctx context.Context, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := startCluster(ctx)
		time.Sleep(2 * time.Minute)
		body(t, ctx, c)
		cancel()
		assert.NilError(t, c.group.Wait())
	})
}

func TestDomainsAreHeldInTheirDataCentres(t *testing.T) {
	runInCluster(t, func(t *testing.T, _ context.Context, c *cluster) {
		for i, dc := range dataCentres {
			held := c.instances[fmt.Sprintf("i%d", i)].manager.HeldDomains()
			assert.Equal(t, len(held), 1)
			assert.Equal(t, held[0].DataCentre, dc)
		}
	})
}

func TestJobCallsReachTheHolderFromAnyInstance(t *testing.T) {
	runInCluster(t, func(t *testing.T, ctx context.Context, c *cluster) {
		for _, instance := range c.instances {
			for _, dc := range dataCentres {
				view, err := instance.manager.Submit(ctx, "north", "", gang.JobSpec{Accelerators: 1, Checkpointable: true, DataCentre: dc})
				assert.NilError(t, err)
				assert.Equal(t, gang.DataCentreOf(view.ID), dc)
				got, err := instance.manager.Get(ctx, "north", view.ID)
				assert.NilError(t, err)
				assert.Equal(t, got.ID, view.ID)
			}
			all, err := instance.manager.List(ctx, "north")
			assert.NilError(t, err)
			assert.Equal(t, len(all), 3)
		}
		_, err := c.instances["i0"].manager.Submit(ctx, "south", "", gang.JobSpec{Accelerators: 1})
		assert.Equal(t, fault.KindOf(err), fault.Denied)
		_, err = c.instances["i0"].manager.Submit(ctx, "north", "", gang.JobSpec{Accelerators: 1, Checkpointable: true, DataCentre: "dc-z"})
		assert.Equal(t, fault.KindOf(err), fault.Invalid)
	})
}

// checkTakeover checks that a live instance acquires a domain within ten seconds.
func (c *cluster) checkTakeover(t *testing.T, dc ident.DataCentre) {
	t.Helper()
	const limit = 10 * time.Second
	killed := time.Now()
	for c.countHolders(dc) == 0 && time.Since(killed) < time.Minute {
		time.Sleep(100 * time.Millisecond)
	}
	t.Logf("%s taken over after %v", dc, time.Since(killed))
	assert.Assert(t, time.Since(killed) <= limit)
}

// TestKilledHolderIsReplacedWithinTenSeconds crashes two of three instances in turn. Another instance must acquire the
// domain of each, whose lease has to expire first.
func TestKilledHolderIsReplacedWithinTenSeconds(t *testing.T) {
	runInCluster(t, func(t *testing.T, ctx context.Context, c *cluster) {
		for _, victim := range []string{"i1", "i2"} {
			instance := c.instances[victim]
			dc := instance.manager.HeldDomains()[0].DataCentre
			instance.crash()
			c.checkTakeover(t, dc)
			time.Sleep(2 * time.Minute)
		}
		assert.Equal(t, len(c.instances["i0"].manager.HeldDomains()), 3)
	})
}

// TestHolderThatDiesAfterItsSchedulerIsReplacedInTime crashes a holder whose last heartbeat no longer names its domain, while
// its lease isn't released. The others took it for the next holder until they missed it, and replaced it after 11.8 s.
func TestHolderThatDiesAfterItsSchedulerIsReplacedInTime(t *testing.T) {
	runInCluster(t, func(t *testing.T, _ context.Context, c *cluster) {
		victim := c.instances["i1"]
		dc := victim.manager.HeldDomains()[0].DataCentre
		victim.crash()
		for _, heartbeat := range victim.roster.Tick(nil) {
			c.liveInstance(heartbeat.To.Address).roster.HandleHeartbeat(heartbeat.Heartbeat)
		}
		c.checkTakeover(t, dc)
	})
}

// TestDrainHandsDomainsOverAtOnce checks that a domain that is released on shutdown is acquired by another instance
// without waiting for its lease to expire.
func TestDrainHandsDomainsOverAtOnce(t *testing.T) {
	const limit = 3 * time.Second
	runInCluster(t, func(t *testing.T, _ context.Context, c *cluster) {
		instance := c.instances["i2"]
		instance.roster.MarkLeaving()
		start := time.Now()
		instance.manager.ReleaseAll()
		assert.Equal(t, len(instance.manager.HeldDomains()), 0)
		for c.countHolders("dc-c") == 0 && time.Since(start) < time.Minute {
			time.Sleep(100 * time.Millisecond)
		}
		t.Logf("dc-c handed over after %v", time.Since(start))
		assert.Assert(t, time.Since(start) <= limit)
	})
}
