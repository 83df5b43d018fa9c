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

// Membership holds the numbers of listed and of reachable instances of the environment.
type Membership struct {
	// Listed is the number of instances in the platform's list, including this one.
	Listed int
	// Reachable is the number of listed instances from which messages arrive, including this one.
	Reachable int
}

// Config holds the settings of an Agent and its connections to the table and to other instances. Only Store is
// required.
type Config struct {
	// Instance is the name of this instance in its reports.
	Instance ident.Instance
	// Store is the table that holds the accepted documents.
	Store table.Store
	// Peers connects to the other instances; nil if there are none.
	Peers Peers
	// Fanout is the number of peers with which this instance exchanges reports; 0 means DefaultFanout.
	Fanout int
	// Plan places all guarantees together on the topology of the environment. Its error is of kind Invalid if the
	// capacity is insufficient. If nil, records contain no plan.
	Plan func(ctx context.Context, accounts []place.Account) ([]DataCentreShare, error)
	// Membership counts the instances; nil counts the peers that were heard from within ConfirmationTimeout.
	Membership func() Membership
	// Survey collects the reports of all instances for Agent.Prove; nil collects only that of this instance.
	Survey func(ctx context.Context) (Survey, error)
	// RequireProof makes Agent.Propose reject a document without a valid proof from the trial environment, unless the
	// proposal restores an earlier version.
	RequireProof bool
	// PromotionKey is the HMAC-SHA256 key that signs and verifies proofs; if empty, proofs are unsigned.
	PromotionKey []byte
	// ConfirmationTimeout is how long an instance stays ready after the last confirmation of its version; 0 means
	// DefaultConfirmationTimeout.
	ConfirmationTimeout time.Duration
	// Violations returns the number of invariant violations that this instance has detected in any package; nil counts
	// those detected by the Agent.
	Violations func() uint64
	// OnViolation is called for each invariant violation that the Agent detects; nil for none.
	OnViolation func(invariant, detail string)
	// Logger receives the log lines of the Agent; nil discards them.
	Logger hclog.Logger
}

// Agent keeps the document in force at one instance up to date, and accepts new documents. It is safe for concurrent
// use.
type Agent struct {
	cfg    Config
	logger hclog.Logger
	// fetchNeeded wakes fetchLoop when a later version is known.
	fetchNeeded chan struct{}
	// pushNeeded wakes pushLoop when a document came into force.
	pushNeeded chan struct{}

	// mu guards the fields up to counts.
	mu sync.Mutex
	// current is the document in force; its Version is 0 if there is none.
	current ActiveDocument
	// currentIsFirst reports whether the document in force is the first one since the process started.
	currentIsFirst bool
	// confirmedAt is the latest time at which the table is known to have held no later version than the one in force.
	confirmedAt time.Time
	// pendingConfirmation is the latest confirmation of a version that is not in force yet.
	pendingConfirmation confirmation
	// established reports whether a version in force here was confirmed to be the latest, as of a time after startedAt.
	// Before that, this process does not know which version the previous process of the instance was running.
	established bool
	startedAt   time.Time
	// witnesses are the witnesses of the version in force here.
	witnesses witnesses
	// runningPeers holds the witness IDs of all other instances that were ever seen running the version in force here.
	runningPeers map[uint32]bool
	// lastHeard is the time of the last message from each peer.
	lastHeard map[ident.Instance]time.Time
	// latestKnown is the latest accepted version that this instance has learned of, from the table or from a peer.
	latestKnown ident.Version
	// latestSources are the peers that are known to run latestKnown.
	latestSources []ident.Instance
	subscribers   []func(ActiveDocument)
	// fanoutPeers are the peers that rank first among fanoutCandidates by rendezvous hashing.
	fanoutPeers      []ident.Instance
	fanoutCandidates []ident.Instance
	// violationsBefore is the number of invariant violations that this instance had detected when the document came
	// into force.
	violationsBefore uint64
	// violationsStoredFor is the last version for which violations were stored in the table.
	violationsStoredFor ident.Version
	counts              Counts

	// installMu serialises the calls of subscribers, so that they see the versions in order.
	installMu sync.Mutex
}

// confirmation records a time, at, at which the table held no version later than version.
type confirmation struct {
	version ident.Version
	at      time.Time
}

// New returns an Agent at which no document is in force yet.
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
		cfg:         cfg,
		logger:      cfg.Logger.Named("config"),
		fetchNeeded: make(chan struct{}, 1),
		pushNeeded:  make(chan struct{}, 1),
		lastHeard:   map[ident.Instance]time.Time{},

		witnesses:    witnesses{},
		runningPeers: map[uint32]bool{},
		startedAt:    time.Now(),
	}
}

// Run keeps the document in force at this instance up to date until ctx is done, and then returns nil.
func (a *Agent) Run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return a.pollLoop(ctx) })
	group.Go(func() error { return a.exchangeLoop(ctx) })
	group.Go(func() error { return a.fetchLoop(ctx) })
	group.Go(func() error { return a.pushLoop(ctx) })
	return group.Wait()
}

// Current returns the document in force at this instance. Its Version is 0 if there is none yet.
func (a *Agent) Current() ActiveDocument {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.current
}

// Subscribe registers f to be called with the document in force, if there is one, and with each later document. The
// calls are made one at a time in the order of the versions. f must return quickly and must not call Subscribe.
func (a *Agent) Subscribe(f func(ActiveDocument)) {
	a.installMu.Lock()
	defer a.installMu.Unlock()
	a.mu.Lock()
	a.subscribers = append(a.subscribers, f)
	current := a.current
	a.mu.Unlock()
	if current.Version > 0 {
		f(current)
	}
}

// EncodedRecord returns the Record of the document in force as JSON, for a peer that fetches it. Its error is of kind
// NotFound if no document or another version than the requested one is in force; version 0 requests any.
func (a *Agent) EncodedRecord(version ident.Version) ([]byte, error) {
	current := a.Current()
	if current.Version == 0 || (version != 0 && version != current.Version) {
		return nil, fault.New(fault.NotFound, "serve record", "", "version %d is in force, not %d", current.Version, version)
	}
	return encode(current.Record)
}

// notify wakes the receiver of c, which has capacity 1. It does not block: a pending notification covers later ones.
func notify(c chan struct{}) {
	select {
	case c <- struct{}{}:
	default:
	}
}
