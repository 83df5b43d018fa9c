package config

import (
	"context"
	"fmt"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/table"
)

// Proposal is a document that an operator wants in force.
type Proposal struct {
	// Content is the document in YAML or JSON; empty with Restore.
	Content []byte
	// Restore takes the content of an earlier version again; 0 for none.
	Restore ident.Version
	// BasedOn is the version that the operator knew as the latest; 0 when there was none.
	BasedOn ident.Version
	Author  string
	// Token names the proposal. The same token proposed again gives the same result.
	Token ident.WriteToken
	// Proof is the trial's proof of the document; nil for none.
	Proof *Proof
}

// ProposalResult is what became of a proposal, or would become of it.
type ProposalResult struct {
	Head
	// Unchanged tells that the document was in force already, so that no version was made.
	Unchanged bool
	Changes   []envdoc.Change
	Plan      []DataCentreShare
}

// ConflictError tells that another document was accepted since the version on which a proposal was based.
type ConflictError struct {
	Winner Head
	// Changes lead from the winner to the document that was refused.
	Changes []envdoc.Change
}

// Error names the winner.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d by %s was accepted meanwhile; %d values differ from it", e.Winner.Version, e.Winner.Author, len(e.Changes))
}

// candidate is a proposal that was read and checked.
type candidate struct {
	Proposal
	doc       *envdoc.Document
	canonical []byte
	digest    ident.Digest
}

// Check tells what would become of a proposal without accepting it.
func (a *Agent) Check(ctx context.Context, p Proposal) (ProposalResult, error) {
	c, err := a.read(ctx, p)
	if err != nil {
		return ProposalResult{}, err
	}
	head, _, err := a.readHead(ctx)
	if err != nil {
		return ProposalResult{}, err
	}
	plan, err := a.plan(ctx, c.doc)
	if err != nil {
		return ProposalResult{}, err
	}
	changes, err := a.changesFrom(ctx, head, c)
	if err != nil {
		return ProposalResult{}, err
	}
	next := Head{Version: head.Version + 1, Digest: c.digest, Author: p.Author}
	if head.Digest == c.digest {
		next = head
	}
	return ProposalResult{Head: next, Unchanged: head.Digest == c.digest, Changes: changes, Plan: plan}, nil
}

// Propose accepts a document. Its errors are of kind Invalid (the document or its plan), Denied (no proof),
// Conflict over a *ConflictError, Throttled or Unavailable (surely not accepted), or OutcomeUnknown: propose
// again with the same token to learn it.
func (a *Agent) Propose(ctx context.Context, p Proposal) (ProposalResult, error) {
	if p.Token == "" {
		return ProposalResult{}, fault.New(fault.Invalid, "propose document", "", "a token is needed")
	}
	c, err := a.read(ctx, p)
	if err != nil {
		return ProposalResult{}, err
	}
	head, revision, err := a.readHead(ctx)
	if err != nil {
		return ProposalResult{}, err
	}
	if head.Version != p.BasedOn {
		return a.resolve(ctx, c)
	}
	if head.Digest == c.digest {
		return ProposalResult{Head: head, Unchanged: true}, nil
	}
	if err := a.admit(c); err != nil {
		return ProposalResult{}, err
	}
	plan, err := a.plan(ctx, c.doc)
	if err != nil {
		return ProposalResult{}, err
	}
	return a.commit(ctx, c, plan, revision)
}

// mostPause is the time between two looks at how many instances run a version.
const mostPause = 20 * time.Millisecond

// mostTimeout bounds the wait for most instances to run a version.
const mostTimeout = 8 * time.Second

// awaitMost returns when most instances run a version. Until then its acceptance is not told, since instances
// without the table could still go on under an earlier version.
func (a *Agent) awaitMost(ctx context.Context, version ident.Version) error {
	ctx, cancel := context.WithTimeout(ctx, mostTimeout)
	defer cancel()
	for {
		n, listed := a.running(version)
		if 2*n > listed {
			return nil
		}
		if ctx.Err() != nil {
			return fault.New(fault.OutcomeUnknown, "spread document", "", "version %d is written but only %d of %d instances are known to run it", version, n, listed)
		}
		clock.Sleep(ctx, mostPause)
	}
}

// running counts the instances that are known to run a version or a later one.
func (a *Agent) running(version ident.Version) (n, listed int) {
	listed = a.membership().Listed
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current.Version < version {
		return 0, listed
	}
	return len(a.runs) + 1, listed
}

// read parses a proposal's content or takes that of the version to restore.
func (a *Agent) read(ctx context.Context, p Proposal) (candidate, error) {
	if p.Restore != 0 {
		rec, err := a.readRecord(ctx, p.Restore)
		if err != nil {
			return candidate{}, err
		}
		p.Content = rec.Content
		p.Proof = rec.Proof
	}
	doc, canonical, digest, err := envdoc.Parse(p.Content)
	if err != nil {
		return candidate{}, err
	}
	return candidate{Proposal: p, doc: doc, canonical: canonical, digest: digest}, nil
}

// admit checks that the document may come into force here now.
func (a *Agent) admit(c candidate) error {
	if m := a.membership(); !m.most() {
		return fault.New(fault.Unavailable, "propose document", "", "only %d of %d instances are heard, so it could not come into force everywhere",
			m.Reachable, m.Listed)
	}
	if c.Proof != nil && c.Restore == 0 {
		return c.Proof.Verify(c.digest, c.doc.Promotion.ProvenFor, a.cfg.PromotionKey)
	}
	if a.cfg.RequireProof && c.Restore == 0 {
		return fault.New(fault.Denied, "propose document", "", "this environment takes only proven documents: prove it in trial and promote it")
	}
	return nil
}

func (a *Agent) plan(ctx context.Context, doc *envdoc.Document) ([]DataCentreShare, error) {
	if a.cfg.Plan == nil {
		return nil, nil
	}
	plan, err := a.cfg.Plan(ctx, PlacementAccounts(doc))
	if err != nil {
		return nil, fault.Wrap(err, fault.KindOf(err), "plan guarantees", "")
	}
	return plan, nil
}

// PlacementAccounts returns the accounts of a document as the placement takes them.
func PlacementAccounts(doc *envdoc.Document) []place.Account {
	accounts := make([]place.Account, len(doc.Accounts))
	for i, a := range doc.Accounts {
		accounts[i] = place.Account{Name: a.Name, Weight: a.Weight}
		for _, g := range a.Guarantees {
			accounts[i].Guarantees = append(accounts[i].Guarantees, place.Guarantee(g))
		}
	}
	return accounts
}

// commitAttempts bounds the writes of one proposal. They carry the same token and conditions, so that at most one
// of them takes effect.
const commitAttempts = 3

// commit writes the next version.
func (a *Agent) commit(ctx context.Context, c candidate, plan []DataCentreShare, revision uint64) (ProposalResult, error) {
	rec := Record{
		Head: Head{
			Version: c.BasedOn + 1, Digest: c.digest, Author: c.Author, Token: c.Token, Accepted: time.Now().UTC().Round(0),
		},
		BasedOn: c.BasedOn, Restored: c.Restore, Content: c.canonical, Plan: plan, Proof: c.Proof,
	}
	batch, err := writes(rec, revision)
	if err != nil {
		return ProposalResult{}, err
	}
	unknown, began := false, time.Now()
	for range commitAttempts {
		err = a.cfg.Store.Apply(ctx, table.DecisionPriority, batch...)
		switch {
		case err == nil:
			a.wrote(rec.Version, began)
			return a.accepted(ctx, rec)
		case fault.Is(err, fault.Conflict):
			return a.resolve(ctx, c)
		case fault.Is(err, fault.OutcomeUnknown):
			unknown = true
		case !unknown:
			return ProposalResult{}, fault.Wrap(err, fault.KindOf(err), "accept document", "table")
		}
		if v, settled, rerr := a.readBack(ctx, c); settled {
			return v, rerr
		}
	}
	return ProposalResult{}, fault.Wrap(err, fault.OutcomeUnknown, "accept document", "table")
}

// wrote takes in that a version was written after a moment, so that no later one had been accepted by then.
func (a *Agent) wrote(version ident.Version, after time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.confirm(confirmation{version: version, at: after})
}

func writes(rec Record, revision uint64) ([]table.Write, error) {
	head, err := encode(rec.Head)
	if err != nil {
		return nil, err
	}
	body, err := encode(rec)
	if err != nil {
		return nil, err
	}
	var unchanged table.Condition = table.Absent{}
	if revision > 0 {
		unchanged = table.AtRevision{Revision: revision}
	}
	return []table.Write{
		table.Put{Key: headKey, Body: head, If: unchanged},
		table.Put{Key: versionKey(rec.Version), Body: body, If: table.Absent{}},
	}, nil
}

// accepted puts a version in force here, from where it spreads.
func (a *Agent) accepted(ctx context.Context, rec Record) (ProposalResult, error) {
	a.prune(ctx, rec.Version)
	a.log.Info("document accepted", "version", rec.Version, "digest", rec.Digest, "author", rec.Author)
	if err := a.install(rec, "operator "+rec.Author); err != nil {
		return ProposalResult{}, err
	}
	return ProposalResult{Head: rec.Head, Plan: rec.Plan}, a.awaitMost(ctx, rec.Version)
}

// settle ends a proposal that turned out to have been accepted. When a later version was accepted since, that one
// is taken instead.
func (a *Agent) settle(ctx context.Context, rec Record, head Head) (ProposalResult, error) {
	if head.Version == rec.Version {
		return a.accepted(ctx, rec)
	}
	if err := a.fetchTable(ctx, head.Version); err != nil {
		return ProposalResult{}, fault.Wrap(err, fault.OutcomeUnknown, "propose document", "table")
	}
	return ProposalResult{Head: rec.Head, Plan: rec.Plan}, a.awaitMost(ctx, rec.Version)
}

// readBack looks whether a write whose result is unknown took effect. It is not settled while the version is free
// or can't be read.
func (a *Agent) readBack(ctx context.Context, c candidate) (ProposalResult, bool, error) {
	if _, err := a.readRecord(ctx, c.BasedOn+1); err != nil {
		return ProposalResult{}, false, err
	}
	v, err := a.resolve(ctx, c)
	return v, true, err
}

// resolve tells whether the version after the one that a proposal was based on is the proposal's own, or who won.
func (a *Agent) resolve(ctx context.Context, c candidate) (ProposalResult, error) {
	const step = "propose document"
	head, _, err := a.readHead(ctx)
	if err != nil {
		return ProposalResult{}, fault.Wrap(err, fault.OutcomeUnknown, step, "table")
	}
	if head.Version <= c.BasedOn {
		return ProposalResult{}, fault.New(fault.Conflict, step, "", "the latest version is %d, not %d", head.Version, c.BasedOn)
	}
	next, err := a.readRecord(ctx, c.BasedOn+1)
	if err != nil {
		return ProposalResult{}, fault.Wrap(err, fault.OutcomeUnknown, step, "table")
	}
	if next.Token == c.Token && next.Digest == c.digest {
		return a.settle(ctx, next, head)
	}
	changes, err := a.changesFrom(ctx, head, c)
	if err != nil {
		return ProposalResult{}, err
	}
	return ProposalResult{}, fault.Wrap(&ConflictError{Winner: head, Changes: changes}, fault.Conflict, step, "")
}

// changesFrom compares a candidate with the accepted document.
func (a *Agent) changesFrom(ctx context.Context, head Head, c candidate) ([]envdoc.Change, error) {
	if head.Version == 0 {
		return envdoc.Diff(nil, c.doc), nil
	}
	rec, err := a.readRecord(ctx, head.Version)
	if err != nil {
		return nil, err
	}
	doc, err := envdoc.Decode(rec.Content, rec.Digest)
	if err != nil {
		return nil, err
	}
	return envdoc.Diff(doc, c.doc), nil
}
