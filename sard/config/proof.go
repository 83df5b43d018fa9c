package config

import (
	"context"
	"crypto/hmac"
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"strings"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// Survey holds the reports collected from all instances of an environment.
type Survey struct {
	// Reports are the reports of the instances that answered.
	Reports []Report
	// Missing are the listed instances that did not answer.
	Missing []ident.Instance
}

// Proof states that a document has been in force on all instances of an environment without invariant violations.
type Proof struct {
	// Digest is the digest of the proven document.
	Digest ident.Digest
	// Version is the version of the document in the environment that issued the proof.
	Version ident.Version
	// Accepted is when the version was accepted in that environment.
	Accepted time.Time
	// ProvenFor is how long the version had been in force on all instances when the reports were collected. An instance
	// that has run no other version since its process started does not shorten it.
	ProvenFor ident.Duration
	// Instances is the number of instances that were running the version.
	Instances int
	// Taken is when the reports were collected.
	Taken time.Time
	// Author is the operator who requested the proof.
	Author string
	// Signature is the HMAC-SHA256 of the proof without its signature, in hexadecimal; empty without a promotion key.
	Signature string
}

// Prove returns a proof that the document in force at this instance is in force on all instances, and for how long,
// without violations of invariants since it came into force. To check this, it collects the reports of all instances.
// author is the operator who requests the proof. The error is of kind NotFound if this instance has no document, and of
// kind Conflict if an instance does not answer, runs another version or has detected a violation.
func (a *Agent) Prove(ctx context.Context, author string) (Proof, error) {
	const step = "prove document"
	current := a.Current()
	if current.Version == 0 {
		return Proof{}, fault.New(fault.NotFound, step, "", "no document is in force")
	}
	survey, err := a.collectReports(ctx)
	if err != nil {
		return Proof{}, fault.Wrap(err, fault.KindOf(err), step, "")
	}
	stored, err := a.storedViolations(ctx, current.Version)
	if err != nil {
		return Proof{}, err
	}
	if problems := append(surveyProblems(survey, current.Head), stored...); len(problems) > 0 {
		return Proof{}, fault.New(fault.Conflict, step, "", "not proven: %s", strings.Join(problems, "; "))
	}
	now := time.Now().UTC().Round(0)
	p := Proof{
		Digest: current.Digest, Version: current.Version, Accepted: current.Accepted, Author: author, Taken: now,
		ProvenFor: ident.Duration(now.Sub(current.Accepted)), Instances: len(survey.Reports),
	}
	for _, r := range survey.Reports {
		if !r.First {
			p.ProvenFor = min(p.ProvenFor, r.InForceFor)
		}
	}
	p.Signature = p.sign(a.cfg.PromotionKey)
	return p, nil
}

// collectReports returns the reports of all instances, or only that of this instance if Config.Survey is nil.
func (a *Agent) collectReports(ctx context.Context) (Survey, error) {
	if a.cfg.Survey == nil {
		return Survey{Reports: []Report{a.Report()}}, nil
	}
	return a.cfg.Survey(ctx)
}

// surveyProblems returns the reasons why a survey does not prove that the version of head is in force on all instances
// without violations of invariants; empty if it proves that.
func surveyProblems(survey Survey, head Head) []string {
	var problems []string
	for _, missing := range survey.Missing {
		problems = append(problems, fmt.Sprintf("instance %s does not answer", missing))
	}
	for _, r := range survey.Reports {
		if r.Version != head.Version {
			problems = append(problems, fmt.Sprintf("instance %s runs version %d, not %d", r.Instance, r.Version, head.Version))
		}
		if r.Breaches > 0 {
			problems = append(problems, fmt.Sprintf("instance %s saw %d broken promises", r.Instance, r.Breaches))
		}
	}
	return problems
}

// Verify checks that p is signed with key, and that it states that the document with the given digest was in force on
// at least one instance, and on all, for at least the required duration. With an empty key it does not check the
// signature. Its errors are of kind Denied.
func (p Proof) Verify(digest ident.Digest, required ident.Duration, key []byte) error {
	const step = "check proof"
	switch {
	case len(key) > 0 && !hmac.Equal([]byte(p.Signature), []byte(p.sign(key))):
		return fault.New(fault.Denied, step, "", "the signature does not match the promotion key of this environment")
	case p.Digest != digest:
		return fault.New(fault.Denied, step, "", "the proof is of digest %.12s, but the document has digest %.12s", p.Digest, digest)
	case p.Instances < 1:
		return fault.New(fault.Denied, step, "", "the proof covers no instances")
	case p.ProvenFor < required:
		return fault.New(fault.Denied, step, "", "the document was in force for %v; %v is required", p.ProvenFor, required)
	}
	return nil
}

// sign returns the value of Signature for p under key; empty without a key.
func (p Proof) sign(key []byte) string {
	if len(key) == 0 {
		return ""
	}
	p.Signature = ""
	mac := hmac.New(sha256.New, key)
	body, _ := encode(p)
	mac.Write(body)
	return hex.EncodeToString(mac.Sum(nil))
}
