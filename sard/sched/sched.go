// Package sched runs the scheduler of a pool in the instance that holds the scheduler lease. It watches jobs and
// workers, makes decisions with package pool, records each decision in the store, and only then sends it to the
// workers.
//
// The package uses these terms:
//
//   - A part is the unit of a job that runs on a worker. An attempt is one run of a part. A worker process is one
//     process of a worker; a restarted worker is another process.
//   - The scheduler lease lets one instance at a time schedule the pool. Each holder has a higher epoch, and workers
//     refuse requests with an epoch lower than the highest that they have seen. A holder uses a higher epoch for each later
//     process of a worker, so that the process refuses late requests that were sent to a former one. A worker is fenced
//     once it has responded under the epoch of its process.
//   - A worker lease lets a worker run its attempts until a deadline, which requests extend. A worker stops its
//     attempts at the deadline, so that after the lease has expired they can be started elsewhere.
//   - A report is a worker's response to a lease renewal. It lists the running attempts and the ended ones. Each end
//     has a sequence number; it is confirmed when its consequences are recorded in the store, and reported until a
//     renewal acknowledges it.
//   - A command is a start or stop request, which is queued until it is sent. A command in flight is active while it
//     counts towards the limits on commands.
//   - A host is the computer that a worker runs on. It runs one worker process at a time, so a worker has ended once a later
//     one is listed on its host.
//   - The worker list is a table in which the platform that operates the workers has a row for each of them. A worker
//     is listed while it has a row.
//   - A feed call (Store.Feed) reads the changes to a table after a version, and waits for one if there are none.
//   - The journal writes the progress records of jobs to the store, in batches.
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
	"github.com/sardineline/sardineline/sard/stall"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// Lease is the lease that lets this instance schedule the pool.
type Lease interface {
	Epoch() ident.Epoch
	// LatestEpoch returns the highest number that belongs to this holder for certain. It is at least Epoch, lower than the
	// epoch of each later holder, and increases with the renewals of the lease and with WriteApplied. All numbers from Epoch on
	// belong to the holder.
	LatestEpoch() ident.Epoch
	// WriteApplied records that a transaction with the precondition Fence was applied. There must be one under way at a time.
	WriteApplied()
	// Fence returns a precondition that holds until another instance takes the lease.
	Fence() store.Precondition
	// Check returns an error if the lease is not known to be held. It must be called immediately before each decision
	// or request.
	Check() error
	// LapsedFor returns for how long Check has failed because the lease was not renewed.
	LapsedFor() time.Duration
	// MarkLost records that another instance has taken the lease.
	MarkLost()
}

// Config configures a scheduler.
type Config struct {
	Store store.Store
	// Watched is the Store by which jobs and workers are observed; nil means Store.
	Watched store.Store
	// WorkerTable is the table that holds the platform's list of workers.
	WorkerTable string
	// DecodeWorker decodes a row of WorkerTable.
	DecodeWorker func(store.Row) (ListedWorker, error)
	// NewClient returns the client that sends requests to a worker.
	NewClient func(ListedWorker) WorkerClient
	// Policy returns the operator's current configuration of queues and accounts, or nil if there is none.
	Policy func() *policy.Policy
	// Evacuations returns the data centres whose workers must get no new parts; nil if they are not known yet, in
	// which case no worker gets any. It returns the same pointer until the set changes.
	Evacuations func() *policy.Evacuations
	// WorkerLease is how long a worker keeps running its parts without contact with the scheduler.
	WorkerLease time.Duration
	// MaxWorkerLease is the longest lease that a worker grants if a request asks for a longer one.
	MaxWorkerLease time.Duration
	// MaxStopTime is the maximum time that a worker takes to stop a part.
	MaxStopTime time.Duration
	// JobRetention is how long the records of an ended job are kept.
	JobRetention time.Duration
	// Cores is the processor time that the instance has, in cores.
	Cores float64
	// RunTimes switches on forecasts of run times from work that has ended.
	RunTimes bool
	// WorkerSpeeds switches on placement by the learned speeds of workers.
	WorkerSpeeds bool
	// MinSpeedRacks is the number of racks from which on work is placed by the speeds of workers.
	MinSpeedRacks int
	// Admission switches on the summary of the pool's load by which instances refuse submissions.
	Admission bool
	// Announce tells all instances of the pool's load; nil announces nothing.
	Announce func(summary []byte)
	// StartLimit is the time limit on the start of a guaranteed job that its account's guarantee covers; 0 for none.
	StartLimit time.Duration
	// ThrottleDelay is how long a worker takes to apply a throttle request; 0 means defaultThrottleDelay.
	ThrottleDelay time.Duration
	// HarmLimit is how long the tail of a part may exceed its target because of what fills beside it; 0 means defaultHarmLimit.
	HarmLimit time.Duration
	// Fencer sends fencing renewals, for longer than the scheduler runs; nil means one that ends with the scheduler.
	Fencer *Fencer
	// Inspector answers operators' questions; nil answers none.
	Inspector *Inspector
	Metrics   *Metrics
	Logger    hclog.Logger
}

const (
	// tickPeriod is the maximum time between iterations of the scheduler loop.
	tickPeriod = 100 * time.Millisecond
	// summaryPeriod is the time between updates of the metrics and the log with a summary of the pool.
	summaryPeriod = 5 * time.Second
	// eventBuffer is the number of events that can be queued for the scheduler loop.
	eventBuffer = 256
	// leaseGrace is how long worker leases are still renewed after the scheduler lease has lapsed.
	leaseGrace = 3 * time.Second
	// maxClockSlowPercent is by how many percent a worker's clock may run slow.
	maxClockSlowPercent = 2
	// expiryMargin is added to the time after which a worker's lease is considered to have certainly expired.
	expiryMargin = 100 * time.Millisecond
)

// Scheduler schedules the pool while the instance holds the scheduler lease.
type Scheduler struct {
	config   Config
	lease    Lease
	engine   *pool.Engine
	sessions map[ident.Worker]*session
	fencer   *Fencer
	starts   startList
	// latestOnHost holds the session with the latest worker of each host.
	latestOnHost map[ident.Host]*session
	// renewalDue holds sessions whose renewal has become due since the last check, and nextRenewalScan is when the
	// renewals of all sessions are checked next.
	renewalDue      []*session
	nextRenewalScan clock.Instant
	// unconfirmed holds the sessions that may have processed ends of attempts whose consequences are not recorded yet.
	unconfirmed map[ident.Worker]*session
	// nextExpiry is when the worker leases are checked for expiry next.
	nextExpiry clock.Instant
	// workersReadAt is when the worker list was last read.
	workersReadAt clock.Instant
	journal       journal
	pressure      pressure
	learned       learnedState
	commands      commandQueue
	// evacuations is the set of evacuated data centres of which the engine knows.
	evacuations *policy.Evacuations
	// stalls measures for how long this process could not run.
	stalls stall.Meter
	waits  waits
	// loadedProgress holds the progress records read at the start, until their jobs are added to the engine.
	loadedProgress map[ident.Job]*work.Progress
	// latestStartedMs holds the start time of the latest process of each worker in the progress records.
	latestStartedMs map[ident.Worker]int64
	// ended holds the ended jobs, with the time until which their records are kept.
	ended   map[ident.Job]time.Time
	cleaner cleaner
	// refusals holds the refused submissions whose rows are in the store.
	refusals refusals
	// jobVersions holds the version of the last processed row of each job.
	jobVersions map[ident.Job]store.Version
	events      chan event
	group       *errgroup.Group
	started     clock.Instant
	lastSummary pool.Summary
	// stuck holds the jobs without a way on that were reported.
	stuck map[ident.Job]bool
	// nextSummary is when the next summary is due.
	nextSummary clock.Instant
	rounds      rounds
	raises      raiseBudget
}

// Run runs the scheduler of the pool until ctx ends or the scheduler lease is lost.
func Run(ctx context.Context, lease Lease, config Config) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	s := &Scheduler{
		config:          config,
		lease:           lease,
		sessions:        map[ident.Worker]*session{},
		latestOnHost:    map[ident.Host]*session{},
		unconfirmed:     map[ident.Worker]*session{},
		starts:          newStartList(),
		loadedProgress:  map[ident.Job]*work.Progress{},
		latestStartedMs: map[ident.Worker]int64{},
		ended:           map[ident.Job]time.Time{},
		cleaner:         cleaner{waitingRows: map[string][]store.Key{}, scheduled: map[ident.Job]bool{}},
		refusals:        refusals{},
		stuck:           map[ident.Job]bool{},
		journal:         journal{furtherRows: furtherRows{}, rejected: newRejectedRecords()},
		jobVersions:     map[ident.Job]store.Version{},
		events:          make(chan event, eventBuffer),
		group:           group,
		started:         clock.Now(),
	}
	if config.Watched == nil {
		s.config.Watched = config.Store
	}
	if config.Metrics == nil {
		s.config.Metrics = NewMetrics(nil)
	}
	s.config.Metrics.setHolding(true)
	defer s.config.Metrics.setHolding(false)
	s.engine = pool.New(pool.Config{
		QueueSettings: s.queueSettings, Guarantee: s.guarantee, RunTimes: config.RunTimes, WorkerSpeeds: config.WorkerSpeeds, MinSpeedRacks: config.MinSpeedRacks,
		CostOrder: config.Admission, StartLimit: config.StartLimit,
	})
	if s.fencer = config.Fencer; s.fencer == nil {
		s.fencer = NewFencer(s.config.Metrics)
		group.Go(func() error { return s.fencer.Run(ctx) })
	}
	s.fencer.attach(fenceHolder{done: func(result fenceResult) { s.post(ctx, result) }, stalls: &s.stalls})
	defer s.fencer.detach()
	defer config.Inspector.attach(s)()
	group.Go(func() error { return s.stalls.Run(ctx) })
	group.Go(func() error {
		defer cancel()
		return s.run(ctx)
	})
	return group.Wait()
}

// run loads the records from the store and runs the scheduler loop, which handles events and calls step.
func (s *Scheduler) run(ctx context.Context) error {
	if err := s.load(ctx); err != nil {
		return err
	}
	tick := time.NewTicker(tickPeriod)
	defer tick.Stop()
	wake := time.NewTimer(tickPeriod)
	defer wake.Stop()
	for {
		if err := s.step(ctx); err != nil {
			return err
		}
		if d, ok := s.rounds.wakeIn(clock.Now()); ok {
			wake.Reset(d)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-tick.C:
		case <-wake.C:
		case ev := <-s.events:
			s.rounds.undecided = true
			s.handle(ctx, ev)
			s.handleQueued(ctx)
		}
	}
}

// handleQueued processes the events that are already queued, so that a single decision covers all of them.
func (s *Scheduler) handleQueued(ctx context.Context) {
	for range eventBuffer {
		select {
		case ev := <-s.events:
			s.handle(ctx, ev)
		default:
			return
		}
	}
}

// step makes decisions, records changes and sends requests to workers, as far as they are due.
func (s *Scheduler) step(ctx context.Context) error {
	err := s.lease.Check()
	if fault.Is(err, fault.Fenced) {
		return err
	}
	s.expireLeases()
	s.applyEvacuations()
	s.renewLeases(ctx)
	if err == nil {
		s.retryRejected()
		s.decide()
		s.commit(ctx)
		s.cleanUp(ctx)
		s.saveLearned(ctx)
	}
	s.sendCommands(ctx)
	if err == nil && s.starts.unlisted {
		s.commit(ctx)
	}
	s.reportSummary()
	s.reportWaits()
	s.announceLoad()
	return nil
}

// decide makes decisions and queues stop requests, if a round is due; start requests wait until the decision is recorded.
func (s *Scheduler) decide() {
	started := clock.Now()
	if !s.rounds.due(started) {
		return
	}
	defer func() { s.rounds.end(started, clock.Now()) }()
	now := time.Now()
	decisions := s.engine.Decide(now, now.UnixMilli())
	observeSince(s.config.Metrics.decideSeconds, now)
	s.reportViolations()
	s.reportLongWaits()
	for _, d := range decisions {
		switch d := d.(type) {
		case pool.Start:
			s.journal.pendingStarts = append(s.journal.pendingStarts, d)
			s.trackStart(d)
		case pool.Stop:
			s.stopAttempt(d)
		}
	}
}

// reportViolations logs and counts decisions that the engine rejected because they would have violated an invariant.
func (s *Scheduler) reportViolations() {
	for _, violation := range s.engine.Violations() {
		s.config.Metrics.violations.WithLabelValues(violation.Invariant).Inc()
		s.config.Logger.Error("decision refused, it would have broken a promise", "job", violation.Job, "promise", violation.Invariant)
	}
}

// reportStuck logs and counts the jobs without a way on, each once.
func (s *Scheduler) reportStuck() {
	for _, found := range s.engine.Stuck() {
		if s.stuck[found.Job] {
			continue
		}
		s.stuck[found.Job] = true
		s.config.Metrics.violations.WithLabelValues("an open job has a way on").Inc()
		s.config.Logger.Error("job has no way on", "job", found.Job, "reason", string(found.Reason))
	}
}

// post sends an event to the scheduler loop, unless ctx ends first.
func (s *Scheduler) post(ctx context.Context, ev event) {
	select {
	case s.events <- ev:
	case <-ctx.Done():
	}
}

// runAsync runs f in the background and posts the event that it returns.
func (s *Scheduler) runAsync(ctx context.Context, f func() event) {
	s.group.Go(func() error {
		s.post(ctx, f())
		return nil
	})
}

// queueSettings returns the current settings of a job's queue, or those at its submission if the queue is not
// configured.
func (s *Scheduler) queueSettings(job *work.Job) work.QueueSettings {
	if p := s.config.Policy(); p != nil {
		if q := p.Queue(job.Queue); q != nil {
			return q.Settings
		}
	}
	return job.Terms
}

// guarantee returns the number of accelerators guaranteed to an account.
func (s *Scheduler) guarantee(account ident.Account) ident.Accelerators {
	if p := s.config.Policy(); p != nil {
		return p.Guarantee(account)
	}
	return 0
}

// reportSummary periodically updates the metrics of the pool and logs its summary if it has changed.
func (s *Scheduler) reportSummary() {
	if clock.Now().Before(s.nextSummary) {
		return
	}
	s.nextSummary = clock.Now().Add(summaryPeriod)
	summary := s.engine.Summary()
	s.config.Metrics.setSummary(summary)
	s.config.Metrics.groupWaits.set(s.engine.Waits())
	s.config.Metrics.fences.workers.Set(float64(len(s.fencer.current())))
	s.reportRounds(summary)
	s.reportSharing()
	s.reportStuck()
	s.reportLearned()
	if summary == s.lastSummary {
		return
	}
	s.lastSummary = summary
	s.config.Logger.Info("pool", "jobs", summary.Jobs, "waiting_parts", summary.Waiting, "placed_parts", summary.Placed,
		"workers", summary.Workers, "used", summary.Used, "accelerators", summary.Total)
	s.reportSpeeds()
}

// reportRounds updates the metrics of the rounds of decisions, and logs if they take long.
func (s *Scheduler) reportRounds(summary pool.Summary) {
	stats := s.rounds.take(clock.Now())
	s.config.Metrics.setRounds(stats)
	if stats.longest < longRound {
		return
	}
	s.config.Logger.Warn("decisions take long", "longest_ms", stats.longest.Milliseconds(), "share_percent", int(stats.share*100), "rounds", stats.count,
		"jobs", summary.Jobs, "waiting_parts", summary.Waiting, "workers", summary.Workers)
}
