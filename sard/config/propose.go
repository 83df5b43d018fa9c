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

// Proposal is a request by an operator to put a document in force.
type Proposal struct {
	// Content is the document in YAML or JSON; ignored with Restore.
	Content []byte
	// Restore is an earlier version whose content to propose again; 0 for none.
	Restore ident.Version
	// BasedOn is the latest version known to the operator; 0 for none. The proposal conflicts with any later version.
	BasedOn ident.Version
	// Author is the operator who proposes the document.
	Author string
	// Token identifies the proposal. Proposing the same document with the same token again gives the same result.
	Token ident.WriteToken
	// Proof is the proof of the document from the trial environment; nil for none.
	Proof *Proof
}

// ProposalResult is the accepted document that results from Agent.Propose, or the one that Agent.Check expects.
type ProposalResult struct {
	Head
	// Unchanged means that the latest accepted document is the same, so that no new version is created.
	Unchanged bool
	// Changes are the differences between the latest accepted document and the proposed one. Only Agent.Check sets
	// them.
	Changes []envdoc.Change
	// Plan distributes the guarantees over the data centres.
	Plan []DataCentreShare
}

// ConflictError reports that another document was accepted after the version on which a proposal was based.
type ConflictError struct {
	// Winner is the head of the latest accepted document.
	Winner Head
	// Changes are the differences between the latest accepted document and the rejected one.
	Changes []envdoc.Change
}

// Error formats the version and the author of the latest accepted document.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("version %d by %s was accepted in the meantime; %d values differ from it", e.Winner.Version, e.Winner.Author, len(e.Changes))
}

// candidate is a proposal with its parsed and validated document.
type candidate struct {
	Proposal
	doc       *envdoc.Document
	canonical []byte
	digest    ident.Digest
}

// Check validates a proposal and returns the result that Propose would have, without accepting the document.
func (a *Agent) Check(ctx context.Context, p Proposal) (ProposalResult, error) {
	c, err := a.readProposal(ctx, p)
	if err != nil {
		return ProposalResult{}, err
	}
	head, _, err := a.readHead(ctx)
	if err != nil {
		return ProposalResult{}, err
	}
	plan, err := a.planGuarantees(ctx, c.doc)
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

// Propose accepts a document as the next version and returns when a majority of the instances runs it. Its errors are
// of kind Invalid (the document is invalid or its guarantees do not fit), Denied (a valid proof is missing), Conflict
// (usually wrapping a *ConflictError), Throttled or Unavailable (definitely not accepted), or OutcomeUnknown. After
// OutcomeUnknown, proposing again with the same token returns the outcome.
func (a *Agent) Propose(ctx context.Context, p Proposal) (ProposalResult, error) {
	if p.Token == "" {
		return ProposalResult{}, fault.New(fault.Invalid, "propose document", "", "a token is needed")
	}
	c, err := a.readProposal(ctx, p)
	if err != nil {
		return ProposalResult{}, err
	}
	head, revision, err := a.readHead(ctx)
	if err != nil {
		return ProposalResult{}, err
	}
	if head.Version != p.BasedOn {
		return a.resolveOutcome(ctx, c)
	}
	if head.Digest == c.digest {
		return ProposalResult{Head: head, Unchanged: true}, nil
	}
	if err := a.checkAdmission(c); err != nil {
		return ProposalResult{}, err
	}
	plan, err := a.planGuarantees(ctx, c.doc)
	if err != nil {
		return ProposalResult{}, err
	}
	return a.commitRecord(ctx, c, plan, revision)
}

// majorityPollInterval is the interval at which awaitMajority counts the instances that run a version.
const majorityPollInterval = 20 * time.Millisecond

// majorityTimeout bounds the time that awaitMajority waits.
const majorityTimeout = 8 * time.Second

// awaitMajority waits until a majority of the listed instances is known to run a version or a later one. The acceptance
// of the version must not be reported earlier, because instances that cannot read the table could still be ready with
// an earlier version.
func (a *Agent) awaitMajority(ctx context.Context, version ident.Version) error {
	ctx, cancel := context.WithTimeout(ctx, majorityTimeout)
	defer cancel()
	for {
		running, listed := a.runningCount(version)
		if 2*running > listed {
			return nil
		}
		if ctx.Err() != nil {
			return fault.New(fault.OutcomeUnknown, "spread document", "", "version %d was written but only %d of %d instances are known to run it", version, running, listed)
		}
		clock.Sleep(ctx, majorityPollInterval)
	}
}

// runningCount returns the number of instances that are known to run a version or a later one, and the number of listed
// instances.
func (a *Agent) runningCount(version ident.Version) (running, listed int) {
	listed = a.membership().Listed
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.current.Version < version {
		return 0, listed
	}
	return len(a.runningPeers) + 1, listed
}

// readProposal parses the content of a proposal, or that of the version to restore.
func (a *Agent) readProposal(ctx context.Context, p Proposal) (candidate, error) {
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

// checkAdmission checks that a majority of the instances is reachable and that the required proof is valid. A restored
// document needs no proof.
func (a *Agent) checkAdmission(c candidate) error {
	if members := a.membership(); !members.hasMajority() {
		return fault.New(fault.Unavailable, "propose document", "", "only %d of %d instances are heard, so the document could not come into force everywhere",
			members.Reachable, members.Listed)
	}
	if c.Proof != nil && c.Restore == 0 {
		return c.Proof.Verify(c.digest, c.doc.Promotion.ProvenFor, a.cfg.PromotionKey)
	}
	if a.cfg.RequireProof && c.Restore == 0 {
		return fault.New(fault.Denied, "propose document", "", "this environment requires a proof: prove the document in trial and promote it")
	}
	return nil
}

// planGuarantees distributes the guarantees of a document over the data centres with Config.Plan; without it, the plan
// is nil.
func (a *Agent) planGuarantees(ctx context.Context, doc *envdoc.Document) ([]DataCentreShare, error) {
	if a.cfg.Plan == nil {
		return nil, nil
	}
	plan, err := a.cfg.Plan(ctx, PlacementAccounts(doc))
	if err != nil {
		return nil, fault.Wrap(err, fault.KindOf(err), "plan guarantees", "")
	}
	return plan, nil
}

// PlacementAccounts converts the accounts of a document to the types of package place.
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

// maxCommitAttempts is the maximum number of write attempts for one proposal. All attempts have the same token and
// conditions, so at most one of them takes effect.
const maxCommitAttempts = 3

// commitRecord writes the next version to the table and installs it. It retries and reads back writes whose outcome is
// unknown.
func (a *Agent) commitRecord(ctx context.Context, c candidate, plan []DataCentreShare, revision uint64) (ProposalResult, error) {
	rec := Record{
		Head: Head{
			Version: c.BasedOn + 1, Digest: c.digest, Author: c.Author, Token: c.Token, Accepted: time.Now().UTC().Round(0),
		},
		BasedOn: c.BasedOn, Restored: c.Restore, Content: c.canonical, Plan: plan, Proof: c.Proof,
	}
	batch, err := commitBatch(rec, revision)
	if err != nil {
		return ProposalResult{}, err
	}
	outcomeUnknown, startedAt := false, time.Now()
	for range maxCommitAttempts {
		err = a.cfg.Store.Apply(ctx, table.DecisionPriority, batch...)
		switch {
		case err == nil:
			a.confirmWritten(rec.Version, startedAt)
			return a.installAccepted(ctx, rec)
		case fault.Is(err, fault.Conflict):
			return a.resolveOutcome(ctx, c)
		case fault.Is(err, fault.OutcomeUnknown):
			outcomeUnknown = true
		case !outcomeUnknown:
			return ProposalResult{}, fault.Wrap(err, fault.KindOf(err), "accept document", "table")
		}
		if result, resolved, readErr := a.readBack(ctx, c); resolved {
			return result, readErr
		}
	}
	return ProposalResult{}, fault.Wrap(err, fault.OutcomeUnknown, "accept document", "table")
}

// confirmWritten records a confirmation for a version that this instance wrote after asOf: no later version had been
// accepted at that time.
func (a *Agent) confirmWritten(version ident.Version, asOf time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.recordConfirmation(confirmation{version: version, at: asOf})
}

// commitBatch returns the writes that accept a record, on condition that the head still has the given revision.
func commitBatch(rec Record, revision uint64) ([]table.Write, error) {
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

// installAccepted puts an accepted version in force here, from where it is pushed to the peers, and waits until a
// majority runs it.
func (a *Agent) installAccepted(ctx context.Context, rec Record) (ProposalResult, error) {
	a.prune(ctx, rec.Version)
	a.logger.Info("document accepted", "version", rec.Version, "digest", rec.Digest, "author", rec.Author)
	if err := a.install(rec, "operator "+rec.Author); err != nil {
		return ProposalResult{}, err
	}
	return ProposalResult{Head: rec.Head, Plan: rec.Plan}, a.awaitMajority(ctx, rec.Version)
}

// completeAccepted completes a proposal that turned out to have been accepted. If a later version has been accepted
// since, it installs that version instead.
func (a *Agent) completeAccepted(ctx context.Context, rec Record, head Head) (ProposalResult, error) {
	if head.Version == rec.Version {
		return a.installAccepted(ctx, rec)
	}
	if err := a.fetchFromTable(ctx, head.Version); err != nil {
		return ProposalResult{}, fault.Wrap(err, fault.OutcomeUnknown, "propose document", "table")
	}
	return ProposalResult{Head: rec.Head, Plan: rec.Plan}, a.awaitMajority(ctx, rec.Version)
}

// readBack determines whether a write with an unknown outcome took effect. The second result is false if the version
// does not exist or cannot be read.
func (a *Agent) readBack(ctx context.Context, c candidate) (ProposalResult, bool, error) {
	if _, err := a.readRecord(ctx, c.BasedOn+1); err != nil {
		return ProposalResult{}, false, err
	}
	result, err := a.resolveOutcome(ctx, c)
	return result, true, err
}

// resolveOutcome determines whether the version after BasedOn was written by this proposal. If another proposal wrote
// it, the error wraps a *ConflictError.
func (a *Agent) resolveOutcome(ctx context.Context, c candidate) (ProposalResult, error) {
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
		return a.completeAccepted(ctx, next, head)
	}
	changes, err := a.changesFrom(ctx, head, c)
	if err != nil {
		return ProposalResult{}, err
	}
	return ProposalResult{}, fault.Wrap(&ConflictError{Winner: head, Changes: changes}, fault.Conflict, step, "")
}

// changesFrom returns the differences between the accepted document that head names and a candidate.
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
