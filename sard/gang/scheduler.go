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

// Engine decides where and when the jobs of a domain run.
type Engine interface {
	// Apply processes an event and returns the decisions that follow from it, such as to place or to stop a gang.
	Apply(at time.Time, event place.Event) []place.Decision
	// Explain returns why a job is waiting or where it was placed.
	Explain(job ident.Job) place.Explanation
	// Summary returns the capacity of the domain and the numbers of its gangs.
	Summary() place.Summary
}

// Config holds the settings of a Scheduler and its connections to the table, the workers and the object store.
type Config struct {
	DataCentre ident.DataCentre
	Store      table.Store
	// Lease is the domain lease, which the caller renews.
	Lease  *lease.Lease
	Engine Engine
	// WorkerClient returns the client of a worker.
	WorkerClient func(name ident.Worker, address string) worker.Client
	// Archive stores ended jobs after the retention; if nil, they are deleted.
	Archive object.Store
	// Logger logs each placement decision, among other events; nil disables logging.
	Logger hclog.Logger
	// Registerer registers the domain's metrics; nil disables them.
	Registerer prometheus.Registerer
	// Retention is how long ended jobs are kept in the table; 0 means DefaultRetention.
	Retention time.Duration
}

// DefaultRetention is how long ended jobs are kept in the table by default.
const DefaultRetention = 24 * time.Hour

// tickInterval is the time between the Tick events that are sent to the engine.
const tickInterval = 500 * time.Millisecond

// Scheduler runs the jobs of one data centre, called its domain, while this instance holds the domain lease. It
// implements JobService.
type Scheduler struct {
	config  Config
	log     hclog.Logger
	writer  *batchWriter
	metrics *metrics
	tasks   *errgroup.Group
	ctx     context.Context
	// topologyKnown is closed once SetTopology has listed workers.
	topologyKnown chan struct{}

	mu        sync.Mutex
	ready     bool
	closed    bool
	jobs      map[ident.Job]*job
	jobsByKey map[submissionID]ident.Job
	workers   map[ident.Worker]*workerState
	// majorityFencedAt is when a majority of the listed workers was first fenced under this epoch; zero before.
	majorityFencedAt time.Time
}

// submissionID identifies a submission by its account and idempotency key.
type submissionID struct {
	account ident.Account
	key     ident.IdempotencyKey
}

// job is the in-memory state of a job. It is guarded by Scheduler.mu.
type job struct {
	record   record
	revision uint64
	// attempt is the attempt that may hold accelerators; nil if there is none.
	attempt *attempt
	// changed is closed, and replaced by a new channel, after each change of the record in the table.
	changed chan struct{}
	// ending is set while a queued job is being ended.
	ending bool
}

// New returns the scheduler of a data centre. Run starts it.
func New(config Config) *Scheduler {
	if config.Logger == nil {
		config.Logger = hclog.NewNullLogger()
	}
	if config.Retention == 0 {
		config.Retention = DefaultRetention
	}
	s := &Scheduler{
		config:        config,
		log:           config.Logger.With("DataCentre", config.DataCentre, "Epoch", config.Lease.Epoch()),
		metrics:       newMetrics(config.Registerer, config.DataCentre),
		topologyKnown: make(chan struct{}),
		jobs:          map[ident.Job]*job{},
		jobsByKey:     map[submissionID]ident.Job{},
		workers:       map[ident.Worker]*workerState{},
	}
	s.writer = newBatchWriter(config.Store, config.Lease, s.metrics.batchSent)
	return s
}

// Run recovers the domain's jobs and then schedules until ctx ends or the lease is lost. The caller renews the lease and
// releases it after Run has returned. SetTopology must be called before or during Run.
func (s *Scheduler) Run(ctx context.Context) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	s.mu.Lock()
	s.tasks, s.ctx = group, ctx
	s.mu.Unlock()
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-s.config.Lease.Lost():
			cancel()
		}
		s.close()
		return nil
	})
	group.Go(func() error {
		s.writer.run(ctx)
		return nil
	})
	group.Go(func() error {
		if err := s.recover(ctx); err != nil {
			cancel()
			return err
		}
		return s.tick(ctx)
	})
	err := group.Wait()
	s.metrics.close()
	return err
}

// close prevents new tasks, so that Run can wait for the running ones.
func (s *Scheduler) close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ready, s.closed = false, true
}

// Ready reports whether the domain's jobs have been recovered after the takeover, so that calls are accepted.
func (s *Scheduler) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// SetTopology sets the workers of the domain, in their physical order.
func (s *Scheduler) SetTopology(workers []fleet.Worker) {
	s.mu.Lock()
	defer s.mu.Unlock()
	event := place.Topology{}
	listed := map[ident.Worker]bool{}
	for _, fleetWorker := range workers {
		if fleetWorker.DataCentre != s.config.DataCentre {
			continue
		}
		listed[fleetWorker.Name] = true
		s.addWorker(fleetWorker)
		event.Workers = append(event.Workers, place.Worker{
			Name:         fleetWorker.Name,
			Rack:         fleetWorker.Rack,
			Accelerators: fleetWorker.Accelerators,
			Leaving:      fleetWorker.State == ident.Leaving,
		})
	}
	for name, w := range s.workers {
		w.listed = listed[name]
	}
	s.applyEvent(event)
	if len(listed) == 0 {
		return
	}
	select {
	case <-s.topologyKnown:
	default:
		close(s.topologyKnown)
	}
}

// Configure sets the guarantees of the accounts and the objective by which the engine places jobs.
func (s *Scheduler) Configure(event place.Configure) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.applyEvent(event)
}

// Summary returns the capacity of the domain and the numbers of its gangs.
func (s *Scheduler) Summary() place.Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.config.Engine.Summary()
}

// tick sends Tick events to the engine every tickInterval while the domain lease is valid, and prunes ended jobs every
// pruneInterval.
func (s *Scheduler) tick(ctx context.Context) error {
	ticker := time.NewTicker(tickInterval)
	defer ticker.Stop()
	pruned := time.Now()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
		}
		if s.config.Lease.Check() != nil {
			continue
		}
		s.mu.Lock()
		s.applyEvent(place.Tick{})
		s.mu.Unlock()
		if time.Since(pruned) >= pruneInterval {
			pruned = time.Now()
			s.prune(ctx)
		}
	}
}

// applyEvent passes an event to the engine and executes its decisions. The caller holds mu.
func (s *Scheduler) applyEvent(event place.Event) {
	for _, decision := range s.config.Engine.Apply(time.Now(), event) {
		s.execute(decision)
	}
}

// goTask runs f in a goroutine that Run waits for, unless the scheduler is closed. The caller holds mu.
func (s *Scheduler) goTask(f func(ctx context.Context)) {
	if s.tasks == nil || s.closed {
		return
	}
	s.tasks.Go(func() error {
		f(s.ctx)
		return nil
	})
}

// writeRecord writes a job's new record to the table and then to memory. Callers run only one write of a job at a time.
func (s *Scheduler) writeRecord(ctx context.Context, j *job, next record) error {
	if err := s.checkNotTerminal(j, next); err != nil {
		return err
	}
	put := table.Put{
		Key:   jobKey(next.ID),
		Epoch: s.config.Lease.Epoch(),
		Body:  encode(next),
		If:    table.AtRevision{Revision: j.revision},
	}
	if err := s.writer.commit(ctx, true, put); err != nil {
		s.log.Warn("record not written", "Job", next.ID, "State", next.State, "Error", err)
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	j.revision++
	j.record = next
	close(j.changed)
	j.changed = make(chan struct{})
	s.metrics.stateReached(next.State)
	return nil
}

// checkNotTerminal refuses to change a job that has already ended.
func (s *Scheduler) checkNotTerminal(j *job, next record) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !j.record.State.Terminal() {
		return nil
	}
	return s.reportViolation("TerminalOnce", next.ID, "job is "+j.record.State.String()+" and would become "+next.State.String())
}

// reportViolation counts and logs a step that would violate an invariant. It returns the error with which the step is
// refused.
func (s *Scheduler) reportViolation(invariant string, job ident.Job, message string) error {
	s.metrics.violationFound(invariant)
	s.log.Error("step refused, it would violate an invariant", "Promise", invariant, "Job", job, "Message", message)
	return fault.New(fault.Internal, "assert "+invariant, "", "%s", message)
}
