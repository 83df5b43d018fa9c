package gang

import (
	"cmp"
	"context"
	"crypto/rand"
	"slices"
	"strings"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/table"
)

var _ JobService = (*Scheduler)(nil)

// takeoverRetryAfter is the retry delay returned to callers while the domain is being taken over.
const takeoverRetryAfter = 2 * time.Second

// Limits on the length of an idempotency key and of a job's command.
const (
	maxKeyBytes     = 256
	maxCommandBytes = 64 << 10
)

// Submit accepts a job. The job and its idempotency key are written in one batch, so that a key identifies the same job
// in every domain.
func (s *Scheduler) Submit(ctx context.Context, account ident.Account, key ident.IdempotencyKey, spec JobSpec) (JobView, error) {
	if err := s.validate(key, spec); err != nil {
		return JobView{}, err
	}
	if err := s.checkServing("submit job"); err != nil {
		return JobView{}, err
	}
	if view, ok, err := s.findSubmission(account, key, spec); ok || err != nil {
		return view, err
	}
	next := record{
		ID:             ident.Job(string(s.config.DataCentre) + dataCentreSeparator + strings.ToLower(rand.Text())),
		Account:        account,
		IdempotencyKey: key,
		Spec:           spec,
		State:          ident.Queued,
		Submitted:      time.Now().Round(0),
	}
	writes := []table.Write{s.putNew(jobKey(next.ID), encode(next))}
	if key != "" {
		writes = append(writes, s.putNew(submissionKey(account, key), encode(submission{Job: next.ID, Spec: spec})))
	}
	accepted := make(chan error, 1)
	s.mu.Lock()
	s.goTask(func(run context.Context) {
		err := s.writer.commit(run, false, writes...)
		if err == nil {
			s.addSubmitted(next)
		}
		accepted <- err
	})
	s.mu.Unlock()
	return s.awaitSubmission(ctx, next, accepted)
}

// awaitSubmission waits until the batch with a submission is written to the table. If the key was used before, it
// returns the earlier job.
func (s *Scheduler) awaitSubmission(ctx context.Context, next record, accepted <-chan error) (JobView, error) {
	var err error
	select {
	case err = <-accepted:
	case <-ctx.Done():
		return JobView{}, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "submit job", "table")
	case <-s.ctx.Done():
		return JobView{}, fault.New(fault.OutcomeUnknown, "submit job", "", "the domain is no longer held").WithRetryAfter(takeoverRetryAfter)
	}
	switch {
	case err == nil:
		return next.view(), nil
	case fault.Is(err, fault.Conflict) && next.IdempotencyKey != "":
		return s.readSubmission(ctx, next.Account, next.IdempotencyKey, next.Spec)
	case fault.Is(err, fault.OutcomeUnknown):
		return JobView{}, err
	default:
		return JobView{}, fault.Wrap(err, fault.Unavailable, "submit job", "table").WithRetryAfter(unavailableRetryAfter)
	}
}

// putNew returns a table write that creates an item and fails if it exists.
func (s *Scheduler) putNew(key table.Key, body []byte) table.Put {
	return table.Put{Key: key, Epoch: s.config.Lease.Epoch(), Body: body, If: table.Absent{}}
}

// addSubmitted adds a durable submission to memory and submits it to the engine.
func (s *Scheduler) addSubmitted(next record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.addJob(next, 1)
	s.metrics.stateReached(next.State)
	s.log.Info("job accepted", "Job", next.ID, "Account", next.Account, "Accelerators", next.Spec.Accelerators)
	s.applyEvent(place.Submit{Job: next.job()})
}

// addJob adds a job to memory. The caller holds mu.
func (s *Scheduler) addJob(r record, revision uint64) *job {
	j := &job{record: r, revision: revision, changed: make(chan struct{})}
	s.jobs[r.ID] = j
	if r.IdempotencyKey != "" {
		s.jobsByKey[submissionID{r.Account, r.IdempotencyKey}] = r.ID
	}
	return j
}

// validate checks that the values of a submission are in their allowed ranges, and that the job may run in this data
// centre.
func (s *Scheduler) validate(key ident.IdempotencyKey, spec JobSpec) error {
	const step = "check job"
	switch {
	case spec.Accelerators < 1 || spec.Accelerators > place.MaxGangSize:
		return fault.New(fault.Invalid, step, "", "Accelerators must be 1 to %d", place.MaxGangSize)
	case spec.Kind == "":
		return fault.New(fault.Invalid, step, "", "Kind must be given")
	case spec.RunTime < 0:
		return fault.New(fault.Invalid, step, "", "RunTime must not be negative")
	case len(key) > maxKeyBytes:
		return fault.New(fault.Invalid, step, "", "the idempotency key must have at most %d bytes", maxKeyBytes)
	case len(spec.Command) > maxCommandBytes:
		return fault.New(fault.Invalid, step, "", "Command must have at most %d bytes", maxCommandBytes)
	case spec.DataCentre != "" && spec.DataCentre != s.config.DataCentre:
		return fault.New(fault.Invalid, step, "", "the job must run in %s, not in %s", spec.DataCentre, s.config.DataCentre)
	}
	return nil
}

// checkServing fails if the domain is still being recovered or the domain lease may have expired, so that it can't
// accept calls that change its state.
func (s *Scheduler) checkServing(step string) error {
	s.mu.Lock()
	ready := s.ready
	s.mu.Unlock()
	if !ready {
		return fault.New(fault.Unavailable, step, "", "the domain is being recovered").WithRetryAfter(takeoverRetryAfter)
	}
	if err := s.config.Lease.Check(); err != nil {
		return fault.Wrap(err, fault.Unavailable, step, "").WithRetryAfter(unavailableRetryAfter)
	}
	return nil
}

// findSubmission looks up an earlier submission of the key in memory.
func (s *Scheduler) findSubmission(account ident.Account, key ident.IdempotencyKey, spec JobSpec) (JobView, bool, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, ok := s.jobs[s.jobsByKey[submissionID{account, key}]]
	if !ok || key == "" {
		return JobView{}, false, nil
	}
	if j.record.Spec != spec {
		return JobView{}, true, keyConflict(key)
	}
	return j.record.view(), true, nil
}

// readSubmission reads an earlier submission of the key from the table. Its job may belong to another domain.
func (s *Scheduler) readSubmission(ctx context.Context, account ident.Account, key ident.IdempotencyKey, spec JobSpec) (JobView, error) {
	item, err := s.config.Store.Get(ctx, table.DecisionPriority, submissionKey(account, key))
	if err != nil {
		return JobView{}, fault.Wrap(err, fault.Unavailable, "read submission", "table").WithRetryAfter(unavailableRetryAfter)
	}
	first, err := decode[submission](item)
	if err != nil {
		return JobView{}, err
	}
	if first.Spec != spec {
		return JobView{}, keyConflict(key)
	}
	item, err = s.config.Store.Get(ctx, table.DecisionPriority, jobKey(first.Job))
	if err != nil {
		return JobView{}, fault.Wrap(err, fault.Unavailable, "read job", "table").WithRetryAfter(unavailableRetryAfter)
	}
	r, err := decode[record](item)
	return r.view(), err
}

// keyConflict returns the error for an idempotency key that was used for a different job.
func keyConflict(key ident.IdempotencyKey) error {
	return fault.New(fault.Conflict, "submit job", "", "the idempotency key %q belongs to another submission", key)
}

// Get returns a job of the account from memory or from the archive.
func (s *Scheduler) Get(ctx context.Context, account ident.Account, id ident.Job) (JobView, error) {
	view, err := s.getInMemory(account, id)
	if fault.Is(err, fault.NotFound) {
		return s.getArchived(ctx, account, id)
	}
	return view, err
}

// getInMemory returns a job of the account that is in memory.
func (s *Scheduler) getInMemory(account ident.Account, id ident.Job) (JobView, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, err := s.findJob(account, id)
	if err != nil {
		return JobView{}, err
	}
	return j.record.view(), nil
}

// findJob returns a job in memory. An empty account grants access to all jobs. The caller holds mu.
func (s *Scheduler) findJob(account ident.Account, id ident.Job) (*job, error) {
	if !s.ready {
		return nil, fault.New(fault.Unavailable, "find job", "", "the domain is being recovered").WithRetryAfter(takeoverRetryAfter)
	}
	j, ok := s.jobs[id]
	if ok && (account == "" || j.record.Account == account) {
		return j, nil
	}
	if err := s.checkJobsKnown("find job"); err != nil {
		return nil, err
	}
	return nil, fault.New(fault.NotFound, "find job", "", "no job %s", id)
}

// checkJobsKnown fails if the lease may have expired, as another holder may then have accepted jobs unknown to this one.
func (s *Scheduler) checkJobsKnown(step string) error {
	if err := s.config.Lease.Check(); err != nil {
		return fault.Wrap(err, fault.Unavailable, step, "").WithRetryAfter(unavailableRetryAfter)
	}
	return nil
}

// List returns the account's jobs, newest first. An empty account lists the jobs of all accounts.
func (s *Scheduler) List(_ context.Context, account ident.Account) ([]JobView, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.ready {
		return nil, fault.New(fault.Unavailable, "list jobs", "", "the domain is being recovered").WithRetryAfter(takeoverRetryAfter)
	}
	if err := s.checkJobsKnown("list jobs"); err != nil {
		return nil, err
	}
	var views []JobView
	for _, j := range s.jobs {
		if account == "" || j.record.Account == account {
			views = append(views, j.record.view())
		}
	}
	slices.SortFunc(views, func(a, b JobView) int {
		return cmp.Or(b.Submitted.Compare(a.Submitted), cmp.Compare(a.ID, b.ID))
	})
	return views, nil
}

// Explain returns why a job is waiting, where it was placed or how it ended.
func (s *Scheduler) Explain(_ context.Context, account ident.Account, id ident.Job) (place.Explanation, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	j, err := s.findJob(account, id)
	if err != nil {
		return place.Explanation{}, err
	}
	if !j.record.State.Terminal() {
		return s.config.Engine.Explain(id), nil
	}
	last := j.record.State.String()
	if j.record.Reason != "" {
		last += ": " + j.record.Reason
	}
	return place.Explanation{Job: id, State: j.record.State.String(), Last: last}, nil
}
