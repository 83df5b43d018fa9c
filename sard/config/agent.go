package config

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/table"
)

// Membership counts instances.
type Membership struct {
	// Listed is the number of instances in the platform's list, this one included.
	Listed int
	// Reachable is the number of those that are heard, this one included.
	Reachable int
}

// Config sets up an Agent. Store is needed; all else has a working zero value.
type Config struct {
	Instance ident.Instance
	Store    table.Store
	// Peers are the other instances; nil for none.
	Peers Peers
	// Fanout is the number of peers that this instance exchanges reports with; 0 means 8.
	Fanout int
	// Plan places all guarantees at once on the environment's topology. Its error is of kind Invalid when the
	// topology has too little room. Nil puts no plan into records.
	Plan func(ctx context.Context, accounts []place.Account) ([]DataCentreShare, error)
	// Membership counts the instances; nil counts the peers that were heard within Bound.
	Membership func() Membership
	// Survey asks all instances for their reports; nil asks only this one.
	Survey func(ctx context.Context) (Survey, error)
	// RequireProof refuses documents that were neither proven in trial nor in force here before.
	RequireProof bool
	// PromotionKey signs and checks proofs by HMAC-SHA256; empty for unsigned proofs.
	PromotionKey []byte
	// ConfirmationTimeout is how long an instance stays ready without confirmation of its version; 0 means 10 s.
	ConfirmationTimeout time.Duration
	// Violations counts the promises that this instance has seen broken, of any package; nil counts those of Agent.
	Violations func() uint64
	// OnViolation is told of each broken promise of this package.
	OnViolation func(promise, detail string)
	// Logger gets a line for each document; nil for none.
	Logger hclog.Logger
}

// Agent keeps the document in force at one instance. It is safe for concurrent use.
type Agent struct {
	cfg   Config
	log   hclog.Logger
	wake  chan struct{}
	fresh chan struct{}

	mu      sync.Mutex
	current ActiveDocument
	// first tells that the document in force is the first of this process.
	first bool
	// confirmed is a moment at which the table held no later version than the one in force.
	confirmed time.Time
	// pending is the confirmation of a version that is not in force yet.
	pending confirmation
	// established tells that a version was confirmed as of a moment after the start. Before that, this process does
	// not know what its instance ran earlier.
	established bool
	started     time.Time
	witnesses   witnesses
	// runs are the other instances that were ever seen running the version in force here.
	runs map[uint32]bool
	// heard is when each peer was last heard.
	heard map[ident.Instance]time.Time
	// wanted is the latest version that is known to be accepted, and who has it.
	wanted      ident.Version
	sources     []ident.Instance
	subscribers []func(ActiveDocument)
	// ranked are the first of rankedOf by rendezvous hashing.
	ranked   []ident.Instance
	rankedOf []ident.Instance
	// breachesBefore counts the broken promises before the version came into force.
	breachesBefore uint64
	// noted is the version under which broken promises were stored last.
	noted  ident.Version
	counts Counts

	// installing orders the calls of subscribers.
	installing sync.Mutex
}

// confirmation tells that the table held no later version than this one at a moment.
type confirmation struct {
	version ident.Version
	at      time.Time
}

// New makes an Agent that has no document yet.
func New(cfg Config) *Agent {
	if cfg.ConfirmationTimeout == 0 {
		cfg.ConfirmationTimeout = DefaultConfirmationTimeout
	}
	if cfg.Fanout == 0 {
		cfg.Fanout = DefaultFanout
	}
	if cfg.Logger == nil {
		cfg.Logger = hclog.NewNullLogger()
	}
	if cfg.Peers == nil {
		cfg.Peers = noPeers{}
	}
	return &Agent{
		cfg:   cfg,
		log:   cfg.Logger.Named("config"),
		wake:  make(chan struct{}, 1),
		fresh: make(chan struct{}, 1),
		heard: map[ident.Instance]time.Time{},

		witnesses: witnesses{},
		runs:      map[uint32]bool{},
		started:   time.Now(),
	}
}

// Run keeps the document up to date until ctx ends. It returns nil then.
func (a *Agent) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.pollLoop(ctx) })
	group.Go(func() error { return a.exchangeLoop(ctx) })
	group.Go(func() error { return a.fetchLoop(ctx) })
	group.Go(func() error { return a.pushLoop(ctx) })
	return group.Wait()
}

// Current returns the document in force. Its Version is 0 when there is none yet.
func (a *Agent) Current() ActiveDocument {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// Subscribe has f called with the document in force, if there is one, and with each later one, in the order of
// their versions and one call at a time. f must return soon and must not call Subscribe.
func (a *Agent) Subscribe(f func(ActiveDocument)) {
	a.installing.Lock()
	defer a.installing.Unlock()
	a.mu.Lock()
	a.subscribers = append(a.subscribers, f)
	current := a.current
	a.mu.Unlock()
	if current.Version > 0 {
		f(current)
	}
}

// EncodedRecord returns the encoded record of the version in force, for a peer that fetches it. Version 0 means any.
func (a *Agent) EncodedRecord(version ident.Version) ([]byte, error) {
	current := a.Current()
	if current.Version == 0 || (version != 0 && version != current.Version) {
		return nil, fault.New(fault.NotFound, "serve record", "", "version %d is in force, not %d", current.Version, version)
	}
	return encode(current.Record)
}

// notify wakes the receiver of a channel of capacity 1.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
