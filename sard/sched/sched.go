// Package sched runs a pool's scheduler in the instance that holds the lease: it follows jobs and workers, has
// package pool decide, records each decision in the store, and only then sends it to the workers.
package sched

import (
	"context"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/policy"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// Lease is the scheduler lease as it is held.
type Lease interface {
	Epoch() ident.Epoch
	// Fence is the condition that holds while no other instance has taken the lease.
	Fence() store.Precondition
	// Check must be asked right before each decision or send.
	Check() error
	// LapsedFor returns for how long Check has failed for want of a renewal.
	LapsedFor() time.Duration
	// MarkLost notes that another instance holds the lease.
	MarkLost()
}

// Config describes a scheduler.
type Config struct {
	Store store.Store
	// WorkerTable is the table of the platform's list of workers.
	WorkerTable string
	// DecodeWorker decodes a row of WorkerTable.
	DecodeWorker func(store.Row) (ListedWorker, error)
	// NewClient makes the client of a worker.
	NewClient func(ListedWorker) WorkerClient
	// Policy returns the configuration in force, or nil.
	Policy func() *policy.Policy
	// WorkerLease is how long a worker runs on without a word of the scheduler.
	WorkerLease time.Duration
	// MaxStopTime is the most that a worker takes to stop a part.
	MaxStopTime time.Duration
	// JobRetention is how long the state of an ended job is kept.
	JobRetention time.Duration
	Metrics      *Metrics
	Logger       hclog.Logger
}

const (
	// tickPeriod lies between two looks at what is due.
	tickPeriod = 100 * time.Millisecond
	// decideSpacing is how many times the length of a decision lies between two.
	decideSpacing = 4
	// summaryPeriod lies between two summaries of the pool.
	summaryPeriod = 5 * time.Second
	// eventBuffer is how many events may wait for the loop.
	eventBuffer = 256
	// leaseGrace is how long workers' leases are renewed after the scheduler lease has lapsed.
	leaseGrace = 3 * time.Second
	// workerClockSlow is by how much a worker's clock may be slow, in percent.
	workerClockSlow = 2
	// lapseMargin is added to the time by which a worker's lease has surely lapsed.
	lapseMargin = 100 * time.Millisecond
)

// Scheduler runs the pool while a lease is held.
type Scheduler struct {
	config   Config
	lease    Lease
	engine   *pool.Engine
	sessions map[ident.Worker]*session
	journal  journal
	// recorded are the progress records read at the start, until their jobs are added.
	recorded map[ident.Job]*work.Progress
	// newest is the latest process of each worker that the records name.
	newest map[ident.Worker]int64
	// ended are jobs that are over, with the time from which their state need not be kept.
	ended   map[ident.Job]time.Time
	cleaner cleaner
	// versions are those of the job rows that were taken in.
	versions map[ident.Job]store.Version
	events   chan event
	group    *errgroup.Group
	started  clock.Instant
	reported pool.Summary
	// summaryDue is when the next summary is made.
	summaryDue clock.Instant
	// decideAfter is when the next decision may be made.
	decideAfter clock.Instant
}

// Run schedules until ctx ends or the lease is lost.
func Run(ctx context.Context, lease Lease, config Config) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	s := &Scheduler{
		config:   config,
		lease:    lease,
		sessions: map[ident.Worker]*session{},
		recorded: map[ident.Job]*work.Progress{},
		newest:   map[ident.Worker]int64{},
		ended:    map[ident.Job]time.Time{},
		cleaner:  cleaner{waits: map[string][]store.Key{}, counted: map[ident.Job]bool{}},
		versions: map[ident.Job]store.Version{},
		events:   make(chan event, eventBuffer),
		group:    group,
		started:  clock.Now(),
	}
	if config.Metrics == nil {
		s.config.Metrics = NewMetrics(nil)
	}
	s.config.Metrics.held(true)
	defer s.config.Metrics.held(false)
	s.engine = pool.New(pool.Config{QueueSettings: s.terms, Guarantee: s.guarantee})
	group.Go(func() error {
		defer cancel()
		return s.run(ctx)
	})
	return group.Wait()
}

func (s *Scheduler) run(ctx context.Context) error {
	if err := s.load(ctx); err != nil {
		return err
	}
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case ev := <-s.events:
			s.handle(ctx, ev)
			s.drain(ctx)
		}
		if err := s.step(ctx); err != nil {
			return err
		}
	}
}

// drain handles the events that wait already, so that one decision serves them all.
func (s *Scheduler) drain(ctx context.Context) {
	for range eventBuffer {
		select {
		case ev := <-s.events:
			s.handle(ctx, ev)
		default:
			return
		}
	}
}

// step does what is due: decisions, records, and calls to workers.
func (s *Scheduler) step(ctx context.Context) error {
	err := s.lease.Check()
	if fault.Is(err, fault.Fenced) {
		return err
	}
	s.lapse()
	if err == nil {
		s.decide(ctx)
		s.commit(ctx)
		s.clean(ctx)
	}
	s.hold(ctx)
	s.summarize()
	return nil
}

// decide has the engine decide and sends the stops; starts wait for their record. Decisions take a bounded share of
// the processor.
func (s *Scheduler) decide(ctx context.Context) {
	began := clock.Now()
	if began.Before(s.decideAfter) {
		return
	}
	defer func() {
		s.decideAfter = clock.Now().Add(min(clock.Since(began)*decideSpacing, tickPeriod))
	}()
	now := time.Now()
	decisions := s.engine.Decide(now, now.UnixMilli())
	observe(s.config.Metrics.decides, now)
	s.reportBreaches()
	for _, d := range decisions {
		switch d := d.(type) {
		case pool.Start:
			s.journal.starts = append(s.journal.starts, d)
		case pool.Stop:
			s.stop(ctx, d)
		}
	}
}

// reportBreaches logs and counts decisions that the engine refused as they would have broken a promise.
func (s *Scheduler) reportBreaches() {
	for _, b := range s.engine.Violations() {
		s.config.Metrics.breaches.WithLabelValues(b.Invariant).Inc()
		s.config.Logger.Error("decision refused, it would have broken a promise", "job", b.Job, "promise", b.Invariant)
	}
}

// post gives an event to the loop.
func (s *Scheduler) post(ctx context.Context, ev event) {
	select {
	case s.events <- ev:
	case <-ctx.Done():
	}
}

// start runs f in the background; the event that it returns is given to the loop.
func (s *Scheduler) start(ctx context.Context, f func() event) {
	s.group.Go(func() error {
		s.post(ctx, f())
		return nil
	})
}

func (s *Scheduler) terms(j *work.Job) work.QueueSettings {
	if p := s.config.Policy(); p != nil {
		if q := p.Queue(j.Queue); q != nil {
			return q.Settings
		}
	}
	return j.Terms
}

func (s *Scheduler) guarantee(account ident.Account) ident.Accelerators {
	if p := s.config.Policy(); p != nil {
		return p.Guarantee(account)
	}
	return 0
}

// summarize tells from time to time what the pool holds.
func (s *Scheduler) summarize() {
	if clock.Now().Before(s.summaryDue) {
		return
	}
	s.summaryDue = clock.Now().Add(summaryPeriod)
	summary := s.engine.Summary()
	s.config.Metrics.show(summary)
	if summary == s.reported {
		return
	}
	s.reported = summary
	s.config.Logger.Info("pool", "jobs", summary.Jobs, "waiting_parts", summary.Waiting, "placed_parts", summary.Placed,
		"workers", summary.Workers, "used", summary.Used, "accelerators", summary.Total)
}
