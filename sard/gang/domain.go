package gang

import (
	"context"
	"sync"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/prometheus/client_golang/prometheus"
	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/lease"
	"github.com/sardineline/sardineline/sard/object"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/table"
	"github.com/sardineline/sardineline/sard/worker"
)

// Engine decides where gangs run.
type Engine interface {
	// Apply takes an event in and returns what is to be done.
	Apply(at time.Time, event place.Event) []place.Decision
	// Explain tells why a job waits or where it was placed.
	Explain(job ident.Job) place.Explanation
	// Summary returns the load of the domain.
	Summary() place.Summary
}

// Config tells what a domain works with.
type Config struct {
	DataCentre ident.DataCentre
	Store      table.Store
	// Lease is the domain lease, kept by the caller.
	Lease  *lease.Lease
	Engine Engine
	// WorkerClient returns the client of a worker.
	WorkerClient func(name ident.Worker, address string) worker.Client
	// Archive keeps ended jobs after the retention; nil means that they are forgotten then.
	Archive object.Store
	// Logger gets a line for each placement decision; nil means none.
	Logger hclog.Logger
	// Registerer takes the domain's metrics; nil means none.
	Registerer prometheus.Registerer
	// Retention is how long ended jobs can be read; 0 means DefaultRetention.
	Retention time.Duration
}

// DefaultRetention is how long ended jobs can be read.
const DefaultRetention = 24 * time.Hour

// tickInterval is how often the engine is told that time passes.
const tickInterval = 500 * time.Millisecond

// Scheduler runs the jobs of one data centre while its lease is held. It implements Service for them.
type Scheduler struct {
	config  Config
	log     hclog.Logger
	journal *journal
	metrics *metrics
	group   *errgroup.Group
	ctx     context.Context
	// topology is closed when the workers are known.
	topology chan struct{}

	mu      sync.Mutex
	ready   bool
	closed  bool
	jobs    map[ident.Job]*job
	keys    map[keyOf]ident.Job
	members map[ident.Worker]*member
	// fencedSince is when most workers had been fenced for the first time; zero before.
	fencedSince time.Time
}

// keyOf names a submission.
type keyOf struct {
	account ident.Account
	key     ident.IdempotencyKey
}

// job is a job in memory. It is guarded by the domain's mu.
type job struct {
	record   record
	revision uint64
	// attempt holds or may hold accelerators; nil when none does.
	attempt *attempt
	// changed is closed and replaced at each durable change.
	changed chan struct{}
	// busy tells that a queued job is being ended.
	busy bool
}

// New returns the domain of a data centre. Run serves it.
func New(config Config) *Scheduler {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	if config.Retention == 0 {
		config.Retention = DefaultRetention
	}
	d := &Scheduler{
		config:   config,
		log:      config.Logger.With("DataCentre", config.DataCentre, "Epoch", config.Lease.Epoch()),
		metrics:  newMetrics(config.Registerer, config.DataCentre),
		topology: make(chan struct{}),
		jobs:     map[ident.Job]*job{},
		keys:     map[keyOf]ident.Job{},
		members:  map[ident.Worker]*member{},
	}
	d.journal = newJournal(config.Store, config.Lease, d.metrics.wrote)
	return d
}

// Run recovers the domain's jobs and then decides, until ctx ends or the lease is lost. The caller keeps the lease
// and releases it after Run has returned. SetTopology must be called before or while it runs.
func (d *Scheduler) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	d.mu.Lock()
	d.group, d.ctx = group, ctx
	d.mu.Unlock()
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-d.config.Lease.Lost():
			cancel()
		}
		d.close()
		return nil
	})
	group.Go(func() error {
		d.journal.run(ctx)
		return nil
	})
	group.Go(func() error {
		if err := d.recover(ctx); err != nil {
			cancel()
			return err
		}
		return d.tick(ctx)
	})
	err := group.Wait()
	d.metrics.close()
	return err
}

// close lets nothing new start, so that the group can come to its end.
func (d *Scheduler) close() {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.ready, d.closed = false, true
}

// Ready tells whether the domain has recovered and decides.
func (d *Scheduler) Ready() bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.ready
}

// SetTopology tells which workers the domain has, in the order in which they stand.
func (d *Scheduler) SetTopology(workers []fleet.Worker) {
	d.mu.Lock()
	defer d.mu.Unlock()
	event := place.Topology{}
	listed := map[ident.Worker]bool{}
	for _, w := range workers {
		if w.DataCentre != d.config.DataCentre {
			continue
		}
		listed[w.Name] = true
		d.list(w)
		event.Workers = append(event.Workers, place.Worker{
			Name:         w.Name,
			Rack:         w.Rack,
			Accelerators: w.Accelerators,
			Leaving:      w.State == ident.Leaving,
		})
	}
	for name, m := range d.members {
		m.listed = listed[name]
	}
	d.apply(event)
	if len(listed) == 0 {
		return
	}
	select {
	case <-d.topology:
	default:
		close(d.topology)
	}
}

// Configure sets the guarantees and the objective.
func (d *Scheduler) Configure(event place.Configure) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.apply(event)
}

// Summary returns the load of the domain.
func (d *Scheduler) Summary() place.Summary {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.config.Engine.Summary()
}

// tick lets the engine's time pass while deciding is safe, and prunes ended jobs.
func (d *Scheduler) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	pruned := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if d.config.Lease.Check() != nil {
			continue
		}
		d.mu.Lock()
		d.apply(place.Tick{})
		d.mu.Unlock()
		if time.Since(pruned) >= pruneInterval {
			pruned = time.Now()
			d.prune(ctx)
		}
	}
}

// apply tells the engine an event and carries its decisions out. The caller holds mu.
func (d *Scheduler) apply(event place.Event) {
	for _, decision := range d.config.Engine.Apply(time.Now(), event) {
		d.carryOut(decision)
	}
}

// start runs f in the domain's group. The caller holds mu.
func (d *Scheduler) start(f func(ctx context.Context)) {
	if d.group == nil || d.closed {
		return
	}
	d.group.Go(func() error {
		f(d.ctx)
		return nil
	})
}

// write makes a record durable and takes it over into memory. Only one write of a job runs at a time.
func (d *Scheduler) write(ctx context.Context, j *job, next record) error {
	if err := d.guardTerminal(j, next); err != nil {
		return err
	}
	put := table.Put{
		Key:   jobKey(next.ID),
		Epoch: d.config.Lease.Epoch(),
		Body:  encode(next),
		If:    table.AtRevision{Revision: j.revision},
	}
	if err := d.journal.commit(ctx, true, put); err != nil {
		d.log.Warn("record not written", "Job", next.ID, "State", next.State, "Error", err)
		return err
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	j.revision++
	j.record = next
	close(j.changed)
	j.changed = make(chan struct{})
	d.metrics.became(next.State)
	return nil
}

// guardTerminal refuses a second terminal transition.
func (d *Scheduler) guardTerminal(j *job, next record) error {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !j.record.State.Terminal() {
		return nil
	}
	return d.breach("TerminalOnce", next.ID, "job is "+j.record.State.String()+" and would become "+next.State.String())
}

// breach tells that a promise would have been broken by a step, which is refused.
func (d *Scheduler) breach(promise string, job ident.Job, message string) error {
	d.metrics.breached(promise)
	d.log.Error("promise breach refused", "Promise", promise, "Job", job, "Message", message)
	return fault.New(fault.Internal, "assert "+promise, "", "%s", message)
}
