package domain

import (
	"cmp"
	"context"
	"crypto/rand"
	"slices"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/peer"
	"github.com/sardineline/sardineline/sard/place"
)

const (
	// retryAfter is when a caller should retry after an Unavailable error.
	retryAfter = 2 * time.Second
	// holderLookupRetries is how often the holder of a domain is looked up again while the domain changes its holder,
	// each time after holderLookupDelay.
	holderLookupRetries = 5
	holderLookupDelay   = 300 * time.Millisecond
	// generatedKeyPrefix is the prefix of the idempotency keys of submissions without one.
	generatedKeyPrefix = "sardined/"
)

// Submit submits a job to the domain that domainsForJob ranks best for it. If the holder of that domain is unavailable,
// it tries the next domain.
func (m *Manager) Submit(ctx context.Context, account ident.Account, key ident.IdempotencyKey, spec gang.JobSpec) (gang.JobView, error) {
	if err := m.admit(account, spec); err != nil {
		return gang.JobView{}, err
	}
	if key == "" {
		key = ident.IdempotencyKey(generatedKeyPrefix + rand.Text())
	}
	var lastErr error
	for _, dc := range m.domainsForJob(account, spec) {
		reply, err := m.callHolder(ctx, dc, peer.Submit{Domain: dc, Account: account, Key: key, Spec: spec})
		if err == nil {
			m.cfg.Logger.Info("job routed to domain", "job", reply.(peer.View).View.ID, "account", account, "domain", dc, "accelerators", spec.Accelerators)
			return reply.(peer.View).View, nil
		}
		lastErr = err
		if !fault.Is(err, fault.Unavailable) {
			break
		}
		m.cfg.Logger.Info("domain unavailable for job", "account", account, "domain", dc, "error", err)
	}
	return gang.JobView{}, lastErr
}

// admit rejects a job that no domain could accept, such as one of an unknown account or larger than the largest domain.
func (m *Manager) admit(account ident.Account, spec gang.JobSpec) error {
	const step = "admit job"
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.activeDocument.Version == 0 {
		return fault.New(fault.Unavailable, step, "", "no environment document is in force yet").WithRetryAfter(retryAfter)
	}
	if !m.hasAccount(account) {
		return fault.New(fault.Denied, step, "", "account %q is not in the environment document", account)
	}
	if _, ok := m.topology[spec.DataCentre]; spec.DataCentre != "" && !ok {
		return fault.New(fault.Invalid, step, "", "unknown data centre %q", spec.DataCentre)
	}
	if len(m.topology) == 0 {
		return fault.New(fault.Unavailable, step, "", "no workers are known yet").WithRetryAfter(retryAfter)
	}
	if largest := m.largestGuarantee(account); !spec.Checkpointable && spec.Accelerators > largest {
		return fault.New(fault.Invalid, step, "", "a job that can't be checkpointed runs only within a guarantee; the largest of %s is %d, the gang needs %d",
			account, largest, spec.Accelerators)
	}
	if largest := m.largestDomain(spec.DataCentre); spec.Accelerators > largest {
		return fault.New(fault.Invalid, step, "", "the largest data centre that the job may use has %d accelerators, the gang needs %d", largest, spec.Accelerators)
	}
	return nil
}

// largestGuarantee returns the size of the largest guarantee of an account. The caller holds m.mu.
func (m *Manager) largestGuarantee(account ident.Account) ident.Accelerators {
	var largest ident.Accelerators
	for _, a := range m.activeDocument.Document.Accounts {
		if a.Name != account {
			continue
		}
		for _, g := range a.Guarantees {
			largest = max(largest, g.Accelerators)
		}
	}
	return largest
}

// largestDomain returns the number of accelerators of a domain, or of the largest domain if dc is empty. The caller
// holds m.mu.
func (m *Manager) largestDomain(dc ident.DataCentre) ident.Accelerators {
	var accelerators ident.Accelerators
	for name := range m.topology {
		if dc == "" || dc == name {
			accelerators = max(accelerators, m.totalAccelerators(name))
		}
	}
	return accelerators
}

// domainsForJob returns the domains to which a job may be submitted, best first. It returns all domains if none is
// known to be large enough, so that a holder rejects the job.
func (m *Manager) domainsForJob(account ident.Account, spec gang.JobSpec) []ident.DataCentre {
	if spec.DataCentre != "" {
		return []ident.DataCentre{spec.DataCentre}
	}
	var candidates []candidate
	for _, load := range m.Loads() {
		candidates = append(candidates, candidate{load: load, hasGuarantee: m.hasGuarantee(load.DataCentre, account, spec.Accelerators)})
	}
	if !spec.Checkpointable {
		candidates = preferGuaranteed(candidates)
	}
	ranked := rankDomains(spec.Accelerators, candidates)
	if len(ranked) == 0 {
		return m.Domains()
	}
	return ranked
}

// Get returns a job of the account from the holder of its domain.
func (m *Manager) Get(ctx context.Context, account ident.Account, job ident.Job) (gang.JobView, error) {
	dc := gang.DataCentreOf(job)
	reply, err := m.callHolder(ctx, dc, peer.Get{Domain: dc, Account: account, Job: job})
	if err != nil {
		return gang.JobView{}, err
	}
	return reply.(peer.View).View, nil
}

// List returns the account's jobs in all domains, newest first. It fails if the holder of a domain can't be called, so
// that a list is never incomplete.
func (m *Manager) List(ctx context.Context, account ident.Account) ([]gang.JobView, error) {
	domains := m.Domains()
	viewsByDomain := make([][]gang.JobView, len(domains))
	group, ctx := errgroup.WithContext(ctx)
	for i, dc := range domains {
		group.Go(func() error {
			reply, err := m.callHolder(ctx, dc, peer.List{Domain: dc, Account: account})
			if err != nil {
				return err
			}
			viewsByDomain[i] = reply.(peer.Views).Views
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	views := slices.Concat(viewsByDomain...)
	slices.SortStableFunc(views, func(a, b gang.JobView) int {
		return cmp.Or(b.Submitted.Compare(a.Submitted), cmp.Compare(a.ID, b.ID))
	})
	return views, nil
}

// Cancel cancels jobs of the account with one call per domain.
func (m *Manager) Cancel(ctx context.Context, account ident.Account, jobs []ident.Job) error {
	jobsByDomain := map[ident.DataCentre][]ident.Job{}
	for _, job := range jobs {
		dc := gang.DataCentreOf(job)
		jobsByDomain[dc] = append(jobsByDomain[dc], job)
	}
	group, ctx := errgroup.WithContext(ctx)
	for dc, domainJobs := range jobsByDomain {
		group.Go(func() error {
			_, err := m.callHolder(ctx, dc, peer.Cancel{Domain: dc, Account: account, Jobs: domainJobs})
			return err
		})
	}
	return group.Wait()
}

// Explain returns why a job waits or where it was placed.
func (m *Manager) Explain(ctx context.Context, account ident.Account, job ident.Job) (place.Explanation, error) {
	dc := gang.DataCentreOf(job)
	reply, err := m.callHolder(ctx, dc, peer.Explain{Domain: dc, Account: account, Job: job})
	if err != nil {
		return place.Explanation{}, err
	}
	return reply.(peer.Explanation).Explanation, nil
}

// callHolder sends a job call to the holder of a domain, which is this instance or another one over the peer link. If
// that instance no longer holds the domain, it looks the holder up in the lease and retries, up to
// holderLookupRetries times.
func (m *Manager) callHolder(ctx context.Context, dc ident.DataCentre, message peer.Message) (peer.Message, error) {
	reply, err := m.callHolderOnce(ctx, dc, message, false)
	for range holderLookupRetries {
		if !fault.Is(err, fault.Fenced) {
			return reply, err
		}
		if !clock.Sleep(ctx, holderLookupDelay) {
			break
		}
		reply, err = m.callHolderOnce(ctx, dc, message, true)
	}
	if fault.Is(err, fault.Fenced) {
		return nil, fault.New(fault.Unavailable, "find holder", "domain "+string(dc), "the domain is changing its holder").WithRetryAfter(retryAfter)
	}
	return reply, err
}

// callHolderOnce sends a job call to the holder of a domain once. The error is of kind Fenced if the instance that was
// called does not hold the domain or no instance does.
func (m *Manager) callHolderOnce(ctx context.Context, dc ident.DataCentre, message peer.Message, readLease bool) (peer.Message, error) {
	if h := m.heldDomain(dc); h != nil {
		return serveJobCall(ctx, h, message)
	}
	address, err := m.holderAddress(ctx, dc, readLease)
	if err != nil {
		return nil, err
	}
	return m.cfg.Peers.Call(ctx, address, message)
}

// Serve handles a job call of another instance for a domain that this instance holds. The error is of kind Fenced if
// this instance does not hold the domain.
func (m *Manager) Serve(ctx context.Context, message peer.Message) (peer.Message, error) {
	dc := targetDomain(message)
	h := m.heldDomain(dc)
	if h == nil {
		return nil, fault.New(fault.Fenced, "serve job call", "", "%s does not hold domain %q", m.cfg.Self.Name, dc)
	}
	return serveJobCall(ctx, h, message)
}

// targetDomain returns the domain that a job call is for, or "" for other messages.
func targetDomain(message peer.Message) ident.DataCentre {
	switch call := message.(type) {
	case peer.Submit:
		return call.Domain
	case peer.Get:
		return call.Domain
	case peer.List:
		return call.Domain
	case peer.Cancel:
		return call.Domain
	case peer.Explain:
		return call.Domain
	}
	return ""
}

// serveJobCall passes a job call, such as peer.Submit, to the corresponding method of jobs and returns the result as a
// message.
func serveJobCall(ctx context.Context, jobs gang.JobService, message peer.Message) (peer.Message, error) {
	switch call := message.(type) {
	case peer.Submit:
		view, err := jobs.Submit(ctx, call.Account, call.Key, call.Spec)
		return peer.View{View: view}, err
	case peer.Get:
		view, err := jobs.Get(ctx, call.Account, call.Job)
		return peer.View{View: view}, err
	case peer.List:
		views, err := jobs.List(ctx, call.Account)
		return peer.Views{Views: views}, err
	case peer.Cancel:
		return peer.Done{}, jobs.Cancel(ctx, call.Account, call.Jobs)
	case peer.Explain:
		explanation, err := jobs.Explain(ctx, call.Account, call.Job)
		return peer.Explanation{Explanation: explanation}, err
	}
	return nil, fault.New(fault.Invalid, "serve job call", "", "unexpected message %T", message)
}
