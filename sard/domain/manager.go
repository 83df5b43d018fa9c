// Package domain spreads the scheduling domains over the instances and routes job calls to their holders.
//
// A domain is a data centre. It is held by one instance at a time under a lease; rendezvous hashing orders the
// instances that contend for it, those of the same data centre first. Any instance takes job calls and passes them on
// to the holder over the peer link.
package domain

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/config"
	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/peer"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/roster"
)

// Lease is a domain lease that this instance holds.
type Lease interface {
	Epoch() ident.Epoch
	// Release gives the lease back, so that another instance can take it at once.
	Release(ctx context.Context) error
}

// Scheduler schedules a domain under a lease.
type Scheduler interface {
	gang.JobService
	// Run schedules until ctx ends or the lease is lost.
	Run(ctx context.Context) error
	// SetTopology sets the workers of the domain in the order in which they stand.
	SetTopology(workers []fleet.Worker)
	// Configure puts the domain's part of an environment document in force.
	Configure(c place.Configure)
	Summary() place.Summary
}

// Caller sends a message to the instance at an address and returns its reply.
type Caller interface {
	Call(ctx context.Context, address string, m peer.Message) (peer.Message, error)
}

// Config sets up a Manager. Logger may be nil; all else is needed.
type Config struct {
	Self   roster.Member
	Roster *roster.Roster
	Peers  Caller
	// AcquireLease waits until the lease of a domain is free or has lapsed and takes it. It fails when ctx ends.
	AcquireLease func(ctx context.Context, dc ident.DataCentre) (Lease, error)
	// ReadHolder reads who holds a domain; empty for nobody.
	ReadHolder func(ctx context.Context, dc ident.DataCentre) (ident.Instance, error)
	// NewScheduler makes the scheduler of a domain under a lease.
	NewScheduler func(dc ident.DataCentre, held Lease) Scheduler
	Logger       hclog.Logger
}

// holding is a domain that this instance holds.
type holding struct {
	Scheduler
	lease Lease
	// end stops the scheduler, so that the lease is released.
	end context.CancelFunc
}

// Manager contends for domains and routes job calls. It is safe for concurrent use.
type Manager struct {
	cfg Config

	mu     sync.Mutex
	memory memory
	// topology has the workers of each data centre in the order in which they stand.
	topology  map[ident.DataCentre][]fleet.Worker
	accepted  config.ActiveDocument
	held      map[ident.DataCentre]*holding
	contended map[ident.DataCentre]bool
	leaving   bool
	// grown is signalled when a data centre was listed for the first time.
	grown chan struct{}
}

// New makes a Manager that holds nothing.
func New(cfg Config) *Manager {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	return &Manager{
		cfg:       cfg,
		topology:  map[ident.DataCentre][]fleet.Worker{},
		held:      map[ident.DataCentre]*holding{},
		contended: map[ident.DataCentre]bool{},
		grown:     make(chan struct{}, 1),
	}
}

// Run contends for the domains that are listed until ctx ends, and releases those that are held then.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for {
		for _, dc := range m.newDomains() {
			group.Go(func() error { return m.contend(ctx, dc) })
		}
		select {
		case <-m.grown:
		case <-ctx.Done():
			return group.Wait()
		}
	}
}

// newDomains returns the domains that nothing contends for yet, and counts them as contended for.
func (m *Manager) newDomains() []ident.DataCentre {
	m.mu.Lock()
	defer m.mu.Unlock()
	var added []ident.DataCentre
	for dc := range m.topology {
		if !m.contended[dc] {
			m.contended[dc] = true
			added = append(added, dc)
		}
	}
	return added
}

// SetTopology takes the platform's list of workers over.
func (m *Manager) SetTopology(workers []fleet.Worker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	byDomain := map[ident.DataCentre][]fleet.Worker{}
	for _, w := range m.memory.merge(time.Now(), workers) {
		byDomain[w.DataCentre] = append(byDomain[w.DataCentre], w)
	}
	for dc := range m.topology {
		if _, ok := byDomain[dc]; !ok {
			byDomain[dc] = nil
		}
	}
	m.topology = byDomain
	for dc, h := range m.held {
		h.SetTopology(byDomain[dc])
	}
	select {
	case m.grown <- struct{}{}:
	default:
	}
}

// Configure puts an accepted document in force in the domains that are held.
func (m *Manager) Configure(a config.ActiveDocument) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.accepted = a
	for dc, h := range m.held {
		h.Configure(m.part(dc))
	}
}

// part returns a domain's part of the document in force. The caller holds the lock.
func (m *Manager) part(dc ident.DataCentre) place.Configure {
	doc := m.accepted.Document
	if doc == nil {
		return place.Configure{}
	}
	c := place.Configure{
		Objective:       place.Objective{CompletionTime: doc.Objective.CompletionTime, Fragmentation: doc.Objective.Fragmentation},
		CheckpointGrace: doc.Limits.CheckpointGrace.Std(),
	}
	shares := m.shares(dc)
	for _, a := range doc.Accounts {
		c.Accounts = append(c.Accounts, place.Account{Name: a.Name, Weight: a.Weight, Guarantees: shares[a.Name]})
	}
	return c
}

// shares returns the guarantees that the plan puts into a domain. The caller holds the lock.
func (m *Manager) shares(dc ident.DataCentre) map[ident.Account][]place.Guarantee {
	shares := map[ident.Account][]place.Guarantee{}
	for _, s := range m.accepted.Plan {
		if s.DataCentre != dc {
			continue
		}
		for _, a := range s.Accounts {
			shares[a.Name] = a.Guarantees
		}
	}
	return shares
}

// knows tells whether the document in force has an account. The caller holds the lock.
func (m *Manager) knows(account ident.Account) bool {
	for _, a := range m.accepted.Document.Accounts {
		if a.Name == account {
			return true
		}
	}
	return false
}

// guarantees tells whether an account has a guarantee in a domain that holds a gang.
func (m *Manager) guarantees(dc ident.DataCentre, account ident.Account, size ident.Accelerators) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.shares(dc)[account], func(g place.Guarantee) bool {
		return g.Accelerators >= size
	})
}

// Domains lists the domains by name.
func (m *Manager) Domains() []ident.DataCentre {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.topology))
}

// Sites returns the workers of all domains as the guarantees are planned on them.
func (m *Manager) Sites() []place.Site {
	m.mu.Lock()
	defer m.mu.Unlock()
	var sites []place.Site
	for _, dc := range slices.Sorted(maps.Keys(m.topology)) {
		site := place.Site{DataCentre: dc}
		for _, w := range m.topology[dc] {
			site.Workers = append(site.Workers, place.Worker{
				Name: w.Name, Rack: w.Rack, Accelerators: w.Accelerators, Leaving: w.State == ident.Leaving,
			})
		}
		sites = append(sites, site)
	}
	return sites
}

func (m *Manager) holding(dc ident.DataCentre) *holding {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[dc]
}

// ReleaseAll releases all domains and contends for none from now on. It returns when they are released.
func (m *Manager) ReleaseAll() {
	m.mu.Lock()
	m.leaving = true
	var ends []context.CancelFunc
	for _, h := range m.held {
		ends = append(ends, h.end)
	}
	m.mu.Unlock()
	for _, end := range ends {
		end()
	}
	for m.holdsAny() {
		time.Sleep(handOverPoll)
	}
}

func (m *Manager) holdsAny() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held) > 0
}
