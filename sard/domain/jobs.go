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
	// comeBack is when a caller should try again after no holder of a domain was reached.
	comeBack = 2 * time.Second
	// lookUps is how often the holder of a domain that changes hands is looked up again, after lookUpPause each.
	lookUps     = 5
	lookUpPause = 300 * time.Millisecond
	// generatedKey starts the keys of submissions that came without one.
	generatedKey = "sardined/"
)

// Submit accepts a job in the domain that suits it best, or in the next one when that has no holder.
func (m *Manager) Submit(ctx context.Context, account ident.Account, key ident.IdempotencyKey, spec gang.JobSpec) (gang.JobView, error) {
	if err := m.admit(account, spec); err != nil {
		return gang.JobView{}, err
	}
	if key == "" {
		key = ident.IdempotencyKey(generatedKey + rand.Text())
	}
	var failure error
	for _, dc := range m.choices(account, spec) {
		reply, err := m.ask(ctx, dc, peer.Submit{Domain: dc, Account: account, Key: key, Spec: spec})
		if err == nil {
			m.cfg.Logger.Info("job routed", "job", reply.(peer.View).View.ID, "account", account, "domain", dc, "accelerators", spec.Accelerators)
			return reply.(peer.View).View, nil
		}
		failure = err
		if !fault.Is(err, fault.Unavailable) {
			break
		}
		m.cfg.Logger.Info("job not taken by domain", "account", account, "domain", dc, "error", err)
	}
	return gang.JobView{}, failure
}

// admit refuses submissions that no domain could take.
func (m *Manager) admit(account ident.Account, spec gang.JobSpec) error {
	const step = "admit job"
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.accepted.Version == 0 {
		return fault.New(fault.Unavailable, step, "", "no environment document is in force yet").WithRetryAfter(comeBack)
	}
	if !m.knows(account) {
		return fault.New(fault.Denied, step, "", "account %q is not in the environment document", account)
	}
	if _, ok := m.topology[spec.DataCentre]; spec.DataCentre != "" && !ok {
		return fault.New(fault.Invalid, step, "", "unknown data centre %q", spec.DataCentre)
	}
	if len(m.topology) == 0 {
		return fault.New(fault.Unavailable, step, "", "no workers are known yet").WithRetryAfter(comeBack)
	}
	if largest := m.largestGuarantee(account); !spec.Checkpointable && spec.Accelerators > largest {
		return fault.New(fault.Invalid, step, "", "a job that can't be checkpointed runs only within a guarantee; the largest of %s is %d, the gang needs %d",
			account, largest, spec.Accelerators)
	}
	if largest := m.largest(spec.DataCentre); spec.Accelerators > largest {
		return fault.New(fault.Invalid, step, "", "no data centre in question has more than %d accelerators, the gang needs %d", largest, spec.Accelerators)
	}
	return nil
}

// largestGuarantee is the size of the largest guarantee of an account. The caller holds the lock.
func (m *Manager) largestGuarantee(account ident.Account) ident.Accelerators {
	var most ident.Accelerators
	for _, a := range m.accepted.Document.Accounts {
		if a.Name != account {
			continue
		}
		for _, g := range a.Guarantees {
			most = max(most, g.Accelerators)
		}
	}
	return most
}

// largest is the number of accelerators of the largest domain, or of the one that is asked for. The caller holds the
// lock.
func (m *Manager) largest(dc ident.DataCentre) ident.Accelerators {
	var most ident.Accelerators
	for name := range m.topology {
		if dc == "" || dc == name {
			most = max(most, m.size(name))
		}
	}
	return most
}

// choices orders the domains for a submission.
func (m *Manager) choices(account ident.Account, spec gang.JobSpec) []ident.DataCentre {
	if spec.DataCentre != "" {
		return []ident.DataCentre{spec.DataCentre}
	}
	var all []candidate
	for _, load := range m.Loads() {
		all = append(all, candidate{load: load, guaranteed: m.guarantees(load.DataCentre, account, spec.Accelerators)})
	}
	if !spec.Checkpointable {
		all = firm(all)
	}
	chosen := choose(spec.Accelerators, all)
	if len(chosen) == 0 {
		return m.Domains()
	}
	return chosen
}

// Get returns a job of the account.
func (m *Manager) Get(ctx context.Context, account ident.Account, job ident.Job) (gang.JobView, error) {
	dc := gang.DataCentreOf(job)
	reply, err := m.ask(ctx, dc, peer.Get{Domain: dc, Account: account, Job: job})
	if err != nil {
		return gang.JobView{}, err
	}
	return reply.(peer.View).View, nil
}

// List returns the account's jobs of all domains, the newest first. It fails when a domain can't be asked, so that a
// list is never short.
func (m *Manager) List(ctx context.Context, account ident.Account) ([]gang.JobView, error) {
	domains := m.Domains()
	parts := make([][]gang.JobView, len(domains))
	group, ctx := errgroup.WithContext(ctx)
	for i, dc := range domains {
		group.Go(func() error {
			reply, err := m.ask(ctx, dc, peer.List{Domain: dc, Account: account})
			if err != nil {
				return err
			}
			parts[i] = reply.(peer.Views).Views
			return nil
		})
	}
	if err := group.Wait(); err != nil {
		return nil, err
	}
	views := slices.Concat(parts...)
	slices.SortStableFunc(views, func(a, b gang.JobView) int {
		return cmp.Or(b.Submitted.Compare(a.Submitted), cmp.Compare(a.ID, b.ID))
	})
	return views, nil
}

// Cancel ends jobs of the account, a domain at a time.
func (m *Manager) Cancel(ctx context.Context, account ident.Account, jobs []ident.Job) error {
	byDomain := map[ident.DataCentre][]ident.Job{}
	for _, job := range jobs {
		dc := gang.DataCentreOf(job)
		byDomain[dc] = append(byDomain[dc], job)
	}
	group, ctx := errgroup.WithContext(ctx)
	for dc, part := range byDomain {
		group.Go(func() error {
			_, err := m.ask(ctx, dc, peer.Cancel{Domain: dc, Account: account, Jobs: part})
			return err
		})
	}
	return group.Wait()
}

// Explain tells why a job waits or where it was placed.
func (m *Manager) Explain(ctx context.Context, account ident.Account, job ident.Job) (place.Explanation, error) {
	dc := gang.DataCentreOf(job)
	reply, err := m.ask(ctx, dc, peer.Explain{Domain: dc, Account: account, Job: job})
	if err != nil {
		return place.Explanation{}, err
	}
	return reply.(peer.Explanation).Explanation, nil
}

// ask has the holder of a domain serve a message: this instance itself or, over the peer link, another one. While
// the domain changes hands, the holder is looked up again a few times.
func (m *Manager) ask(ctx context.Context, dc ident.DataCentre, message peer.Message) (peer.Message, error) {
	reply, err := m.askHolder(ctx, dc, message, false)
	for range lookUps {
		if !fault.Is(err, fault.Fenced) {
			return reply, err
		}
		if !clock.Sleep(ctx, lookUpPause) {
			break
		}
		reply, err = m.askHolder(ctx, dc, message, true)
	}
	if fault.Is(err, fault.Fenced) {
		return nil, fault.New(fault.Unavailable, "find holder", "domain "+string(dc), "the domain is changing hands").WithRetryAfter(comeBack)
	}
	return reply, err
}

func (m *Manager) askHolder(ctx context.Context, dc ident.DataCentre, message peer.Message, fresh bool) (peer.Message, error) {
	if h := m.holding(dc); h != nil {
		return serve(ctx, h, message)
	}
	address, err := m.holderAddress(ctx, dc, fresh)
	if err != nil {
		return nil, err
	}
	return m.cfg.Peers.Call(ctx, address, message)
}

// Serve answers a peer's job call for a domain that this instance holds. The error is of kind Fenced when it does not.
func (m *Manager) Serve(ctx context.Context, message peer.Message) (peer.Message, error) {
	dc := domainOf(message)
	h := m.holding(dc)
	if h == nil {
		return nil, fault.New(fault.Fenced, "serve job call", "", "%s does not hold domain %q", m.cfg.Self.Name, dc)
	}
	return serve(ctx, h, message)
}

// domainOf returns the domain to which a job call goes.
func domainOf(message peer.Message) ident.DataCentre {
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

// serve answers a job call.
func serve(ctx context.Context, jobs gang.JobService, message peer.Message) (peer.Message, error) {
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
