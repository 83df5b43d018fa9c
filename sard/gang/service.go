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

// takeoverRetryAfter is what callers are told while a domain recovers.
const takeoverRetryAfter = 2 * time.Second

// maxKey bounds an idempotency key, maxCommand a job's command, in bytes.
const (
	maxKey     = 256
	maxCommand = 64 << 10
)

// Submit accepts a job. The job and its idempotency key are written in one batch, so that the same key gives the
// same job in every domain.
func (d *Scheduler) Submit(ctx context.Context, account ident.Account, key ident.IdempotencyKey, spec JobSpec) (JobView, error) {
	if err := d.validate(key, spec); err != nil {
		return JobView{}, err
	}
	if err := d.serving("submit job"); err != nil {
		return JobView{}, err
	}
	if view, ok, err := d.known(account, key, spec); ok || err != nil {
		return view, err
	}
	next := record{
		ID:             ident.Job(string(d.config.DataCentre) + domainMark + strings.ToLower(rand.Text())),
		Account:        account,
		IdempotencyKey: key,
		Spec:           spec,
		State:          ident.Queued,
		Submitted:      time.Now().Round(0),
	}
	writes := []table.Write{d.firstPut(jobKey(next.ID), encode(next))}
	if key != "" {
		writes = append(writes, d.firstPut(submissionKey(account, key), encode(submission{Job: next.ID, Spec: spec})))
	}
	accepted := make(chan error, 1)
	d.mu.Lock()
	d.start(func(run context.Context) {
		err := d.journal.commit(run, false, writes...)
		if err == nil {
			d.accept(next)
		}
		accepted <- err
	})
	d.mu.Unlock()
	return d.answer(ctx, next, accepted)
}

// answer waits for the result of a submission's batch.
func (d *Scheduler) answer(ctx context.Context, next record, accepted <-chan error) (JobView, error) {
	var err error
	select {
	case err = <-accepted:
	case <-ctx.Done():
		return JobView{}, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "submit job", "table")
	case <-d.ctx.Done():
		return JobView{}, fault.New(fault.OutcomeUnknown, "submit job", "", "the domain was given up").WithRetryAfter(takeoverRetryAfter)
	}
	switch {
	case err == nil:
		return next.view(), nil
	case fault.Is(err, fault.Conflict) && next.IdempotencyKey != "":
		return d.earlier(ctx, next.Account, next.IdempotencyKey, next.Spec)
	case fault.Is(err, fault.OutcomeUnknown):
		return JobView{}, err
	default:
		return JobView{}, fault.Wrap(err, fault.Unavailable, "submit job", "table").WithRetryAfter(outageRetryAfter)
	}
}

func (d *Scheduler) firstPut(key table.Key, body []byte) table.Put {
	return table.Put{Key: key, Epoch: d.config.Lease.Epoch(), Body: body, If: table.Absent{}}
}

// accept takes a durable submission into memory and tells the engine.
func (d *Scheduler) accept(next record) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.remember(next, 1)
	d.metrics.became(next.State)
	d.log.Info("job accepted", "Job", next.ID, "Account", next.Account, "Accelerators", next.Spec.Accelerators)
	d.apply(place.Submit{Job: next.job()})
}

// remember adds a job to memory. The caller holds mu.
func (d *Scheduler) remember(r record, revision uint64) *job {
	j := &job{record: r, revision: revision, changed: make(chan struct{})}
	d.jobs[r.ID] = j
	if r.IdempotencyKey != "" {
		d.keys[keyOf{r.Account, r.IdempotencyKey}] = r.ID
	}
	return j
}

func (d *Scheduler) validate(key ident.IdempotencyKey, spec JobSpec) error {
	const step = "check job"
	switch {
	case spec.Accelerators < 1 || spec.Accelerators > place.MaxGangSize:
		return fault.New(fault.Invalid, step, "", "Accelerators must be 1 to %d", place.MaxGangSize)
	case spec.Kind == "":
		return fault.New(fault.Invalid, step, "", "Kind must be given")
	case spec.RunTime < 0:
		return fault.New(fault.Invalid, step, "", "RunTime must not be negative")
	case len(key) > maxKey:
		return fault.New(fault.Invalid, step, "", "the idempotency key must have at most %d bytes", maxKey)
	case len(spec.Command) > maxCommand:
		return fault.New(fault.Invalid, step, "", "Command must have at most %d bytes", maxCommand)
	case spec.DataCentre != "" && spec.DataCentre != d.config.DataCentre:
		return fault.New(fault.Invalid, step, "", "the job must run in %s, not in %s", spec.DataCentre, d.config.DataCentre)
	}
	return nil
}

// serving fails when the domain can't take calls that change something.
func (d *Scheduler) serving(step string) error {
	d.mu.Lock()
	ready := d.ready
	d.mu.Unlock()
	if !ready {
		return fault.New(fault.Unavailable, step, "", "the domain is being recovered").WithRetryAfter(takeoverRetryAfter)
	}
	if err := d.config.Lease.Check(); err != nil {
		return fault.Wrap(err, fault.Unavailable, step, "").WithRetryAfter(outageRetryAfter)
	}
	return nil
}

// known finds an earlier submission of the key in memory.
func (d *Scheduler) known(account ident.Account, key ident.IdempotencyKey, spec JobSpec) (JobView, bool, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j, ok := d.jobs[d.keys[keyOf{account, key}]]
	if !ok || key == "" {
		return JobView{}, false, nil
	}
	if j.record.Spec != spec {
		return JobView{}, true, keyConflict(key)
	}
	return j.record.view(), true, nil
}

// earlier reads an earlier submission of the key from the table; it may be of another domain.
func (d *Scheduler) earlier(ctx context.Context, account ident.Account, key ident.IdempotencyKey, spec JobSpec) (JobView, error) {
	item, err := d.config.Store.Get(ctx, table.DecisionPriority, submissionKey(account, key))
	if err != nil {
		return JobView{}, fault.Wrap(err, fault.Unavailable, "read submission", "table").WithRetryAfter(outageRetryAfter)
	}
	first, err := decode[submission](item)
	if err != nil {
		return JobView{}, err
	}
	if first.Spec != spec {
		return JobView{}, keyConflict(key)
	}
	item, err = d.config.Store.Get(ctx, table.DecisionPriority, jobKey(first.Job))
	if err != nil {
		return JobView{}, fault.Wrap(err, fault.Unavailable, "read job", "table").WithRetryAfter(outageRetryAfter)
	}
	r, err := decode[record](item)
	return r.view(), err
}

func keyConflict(key ident.IdempotencyKey) error {
	return fault.New(fault.Conflict, "submit job", "", "the idempotency key %q belongs to another submission", key)
}

// Get returns a job of the account, also one that was archived.
func (d *Scheduler) Get(ctx context.Context, account ident.Account, id ident.Job) (JobView, error) {
	view, err := d.recent(account, id)
	if fault.Is(err, fault.NotFound) {
		return d.archived(ctx, account, id)
	}
	return view, err
}

// recent returns a job of the account that is in memory.
func (d *Scheduler) recent(account ident.Account, id ident.Job) (JobView, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j, err := d.find(account, id)
	if err != nil {
		return JobView{}, err
	}
	return j.record.view(), nil
}

// find returns a job; the empty account may see all. The caller holds mu.
func (d *Scheduler) find(account ident.Account, id ident.Job) (*job, error) {
	if !d.ready {
		return nil, fault.New(fault.Unavailable, "find job", "", "the domain is being recovered").WithRetryAfter(takeoverRetryAfter)
	}
	j, ok := d.jobs[id]
	if ok && (account == "" || j.record.Account == account) {
		return j, nil
	}
	if err := d.complete("find job"); err != nil {
		return nil, err
	}
	return nil, fault.New(fault.NotFound, "find job", "", "no job %s", id)
}

// complete fails when another holder may have accepted jobs that this one does not know.
func (d *Scheduler) complete(step string) error {
	if err := d.config.Lease.Check(); err != nil {
		return fault.Wrap(err, fault.Unavailable, step, "").WithRetryAfter(outageRetryAfter)
	}
	return nil
}

// List returns the account's jobs, the newest first.
func (d *Scheduler) List(_ context.Context, account ident.Account) ([]JobView, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if !d.ready {
		return nil, fault.New(fault.Unavailable, "list jobs", "", "the domain is being recovered").WithRetryAfter(takeoverRetryAfter)
	}
	if err := d.complete("list jobs"); err != nil {
		return nil, err
	}
	var views []JobView
	for _, j := range d.jobs {
		if account == "" || j.record.Account == account {
			views = append(views, j.record.view())
		}
	}
	slices.SortFunc(views, func(a, b JobView) int {
		return cmp.Or(b.Submitted.Compare(a.Submitted), cmp.Compare(a.ID, b.ID))
	})
	return views, nil
}

// Explain tells why a job waits or where it was placed.
func (d *Scheduler) Explain(_ context.Context, account ident.Account, id ident.Job) (place.Explanation, error) {
	d.mu.Lock()
	defer d.mu.Unlock()
	j, err := d.find(account, id)
	if err != nil {
		return place.Explanation{}, err
	}
	if !j.record.State.Terminal() {
		return d.config.Engine.Explain(id), nil
	}
	last := j.record.State.String()
	if j.record.Reason != "" {
		last += ": " + j.record.Reason
	}
	return place.Explanation{Job: id, State: j.record.State.String(), Last: last}, nil
}
