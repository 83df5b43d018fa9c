// Package domain distributes the scheduling domains over the instances and routes job calls to their holders.
//
// A domain is a data centre whose jobs are scheduled together. One instance at a time holds it, under a lease, and
// schedules its jobs. Each new holder has a higher epoch. Instances in the same data centre are preferred as holder;
// within each group, rendezvous hashing orders them. An instance contends for a domain when it waits for its lease to
// become free.
//
// A job call is a call that submits, reads, lists, explains or cancels jobs. Any instance accepts job calls and
// forwards them to the holder over the peer link (package peer).
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

// Lease is the lease of a domain that this instance holds.
type Lease interface {
	// Epoch is the epoch under which the lease is held.
	Epoch() ident.Epoch
	// Release ends the lease, so that another instance can acquire it at once.
	Release(ctx context.Context) error
}

// Scheduler runs the jobs of a domain while this instance holds its lease.
type Scheduler interface {
	gang.JobService
	// Run schedules the jobs of the domain until ctx ends or the lease is lost.
	Run(ctx context.Context) error
	// SetTopology sets the workers of the domain in their physical order.
	SetTopology(workers []fleet.Worker)
	// Configure applies the part of an environment document that concerns the domain.
	Configure(c place.Configure)
	// Summary returns the capacity of the domain and its number of waiting gangs.
	Summary() place.Summary
}

// Caller sends messages to other instances.
type Caller interface {
	// Call sends m to the instance at address and returns its reply.
	Call(ctx context.Context, address string, m peer.Message) (peer.Message, error)
}

// Config holds the settings of a Manager and the functions it needs to acquire and schedule domains. All fields but
// Logger are required.
type Config struct {
	// Self is this instance as a member of the roster.
	Self roster.Member
	// Roster is the membership, which provides the live instances and their domains.
	Roster *roster.Roster
	// Peers calls other instances.
	Peers Caller
	// AcquireLease waits until the lease of a domain is free or has expired and acquires it. It fails when ctx ends.
	AcquireLease func(ctx context.Context, dc ident.DataCentre) (Lease, error)
	// ReadHolder reads from the lease which instance holds a domain; empty for none.
	ReadHolder func(ctx context.Context, dc ident.DataCentre) (ident.Instance, error)
	// NewScheduler creates the scheduler of a domain under a lease.
	NewScheduler func(dc ident.DataCentre, lease Lease) Scheduler
	// Logger logs changes of holders and routed jobs; nil for none.
	Logger hclog.Logger
}

// heldDomain is a domain that this instance holds, with its lease and scheduler.
type heldDomain struct {
	Scheduler
	lease Lease
	// stopScheduler ends Run of the scheduler, after which the lease is released.
	stopScheduler context.CancelFunc
}

// Manager contends for domains, schedules those that this instance holds, and routes job calls to the holders of the
// others. It is safe for concurrent use.
type Manager struct {
	cfg Config

	mu            sync.Mutex
	workerHistory workerHistory
	// topology holds the workers of each data centre in their physical order.
	topology       map[ident.DataCentre][]fleet.Worker
	activeDocument config.ActiveDocument
	held           map[ident.DataCentre]*heldDomain
	recentHolders  map[ident.DataCentre]recentHolder
	contending     map[ident.DataCentre]bool
	leaving        bool
	// topologyUpdated is signalled after each update of topology, which may have added data centres.
	topologyUpdated chan struct{}
}

// New creates a Manager that holds no domain.
func New(cfg Config) *Manager {
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	return &Manager{
		cfg:             cfg,
		topology:        map[ident.DataCentre][]fleet.Worker{},
		held:            map[ident.DataCentre]*heldDomain{},
		recentHolders:   map[ident.DataCentre]recentHolder{},
		contending:      map[ident.DataCentre]bool{},
		topologyUpdated: make(chan struct{}, 1),
	}
}

// Run contends for all domains of the topology until ctx ends, and returns when the held domains are released.
func (m *Manager) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	for {
		for _, dc := range m.addContendedDomains() {
			group.Go(func() error { return m.contend(ctx, dc) })
		}
		select {
		case <-m.topologyUpdated:
		case <-ctx.Done():
			return group.Wait()
		}
	}
}

// addContendedDomains returns the domains for which this instance does not contend yet, and marks them as contended
// for.
func (m *Manager) addContendedDomains() []ident.DataCentre {
	m.mu.Lock()
	defer m.mu.Unlock()
	var added []ident.DataCentre
	for dc := range m.topology {
		if !m.contending[dc] {
			m.contending[dc] = true
			added = append(added, dc)
		}
	}
	return added
}

// SetTopology sets the workers from the platform's list and passes them to the schedulers of the held domains. Workers
// that were listed before stay in the topology as leaving until forgetWorkerAfter.
func (m *Manager) SetTopology(workers []fleet.Worker) {
	m.mu.Lock()
	defer m.mu.Unlock()
	byDomain := map[ident.DataCentre][]fleet.Worker{}
	for _, w := range m.workerHistory.merge(time.Now(), workers) {
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
	case m.topologyUpdated <- struct{}{}:
	default:
	}
}

// Configure passes an accepted environment document to the schedulers of the held domains, and to those of domains
// acquired later.
func (m *Manager) Configure(document config.ActiveDocument) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.activeDocument = document
	for dc, h := range m.held {
		h.Configure(m.placementConfig(dc))
	}
}

// placementConfig returns the part of the environment document in force that concerns a domain. The caller holds m.mu.
func (m *Manager) placementConfig(dc ident.DataCentre) place.Configure {
	document := m.activeDocument.Document
	if document == nil {
		return place.Configure{}
	}
	configuration := place.Configure{
		Objective:       place.Objective{CompletionTime: document.Objective.CompletionTime, Fragmentation: document.Objective.Fragmentation},
		CheckpointGrace: document.Limits.CheckpointGrace.Std(),
	}
	guarantees := m.plannedGuarantees(dc)
	for _, a := range document.Accounts {
		configuration.Accounts = append(configuration.Accounts, place.Account{Name: a.Name, Weight: a.Weight, Guarantees: guarantees[a.Name]})
	}
	return configuration
}

// plannedGuarantees returns the guarantees that the document's plan assigns to a domain. The caller holds m.mu.
func (m *Manager) plannedGuarantees(dc ident.DataCentre) map[ident.Account][]place.Guarantee {
	guarantees := map[ident.Account][]place.Guarantee{}
	for _, site := range m.activeDocument.Plan {
		if site.DataCentre != dc {
			continue
		}
		for _, a := range site.Accounts {
			guarantees[a.Name] = a.Guarantees
		}
	}
	return guarantees
}

// hasAccount reports whether the environment document in force has an account. The caller holds m.mu.
func (m *Manager) hasAccount(account ident.Account) bool {
	for _, a := range m.activeDocument.Document.Accounts {
		if a.Name == account {
			return true
		}
	}
	return false
}

// hasGuarantee reports whether an account has a guarantee in a domain that is large enough for a gang.
func (m *Manager) hasGuarantee(dc ident.DataCentre, account ident.Account, size ident.Accelerators) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.ContainsFunc(m.plannedGuarantees(dc)[account], func(g place.Guarantee) bool {
		return g.Accelerators >= size
	})
}

// Domains returns the names of all domains of the environment in order.
func (m *Manager) Domains() []ident.DataCentre {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.Sorted(maps.Keys(m.topology))
}

// Sites returns the workers of all domains as input for the planning of guarantees.
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

// heldDomain returns the domain of a data centre if this instance holds it; otherwise nil.
func (m *Manager) heldDomain(dc ident.DataCentre) *heldDomain {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.held[dc]
}

// ReleaseAll stops contending for domains and releases all held domains. It returns when they are released.
func (m *Manager) ReleaseAll() {
	m.mu.Lock()
	m.leaving = true
	var stops []context.CancelFunc
	for _, h := range m.held {
		stops = append(stops, h.stopScheduler)
	}
	m.mu.Unlock()
	for _, stop := range stops {
		stop()
	}
	for m.holdsAnyDomain() {
		time.Sleep(releasePollInterval)
	}
}

// holdsAnyDomain reports whether this instance holds a domain.
func (m *Manager) holdsAnyDomain() bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	return len(m.held) > 0
}
