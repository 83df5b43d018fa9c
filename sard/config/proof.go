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

// Survey holds the reports of all instances.
type Survey struct {
	Reports []Report
	// Missing are the listed instances that did not answer.
	Missing []ident.Instance
}

// Proof tells that a document has been in force on all instances of an environment without a broken promise.
type Proof struct {
	Digest  ident.Digest
	Version ident.Version
	// Accepted is when the version was accepted there.
	Accepted time.Time
	// ProvenFor is how long the version has been in force on all instances.
	ProvenFor ident.Duration
	Instances int
	// Taken is when the instances were asked.
	Taken time.Time
	// Author is the operator who asked.
	Author string
	// Signature is the HMAC-SHA256 of the other fields in hexadecimal; empty without a key.
	Signature string
}

// Prove asks all instances and returns the proof of the document in force. Its error is of kind Conflict when the
// document is not in force everywhere or a promise was broken.
func (a *Agent) Prove(ctx context.Context, author string) (Proof, error) {
	const step = "prove document"
	current := a.Current()
	if current.Version == 0 {
		return Proof{}, fault.New(fault.NotFound, step, "", "no document is in force")
	}
	survey, err := a.survey(ctx)
	if err != nil {
		return Proof{}, fault.Wrap(err, fault.KindOf(err), step, "")
	}
	noted, err := a.notedBreaches(ctx, current.Version)
	if err != nil {
		return Proof{}, err
	}
	if flaws := append(flawsOf(survey, current.Head), noted...); len(flaws) > 0 {
		return Proof{}, fault.New(fault.Conflict, step, "", "not proven: %s", strings.Join(flaws, "; "))
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

func (a *Agent) survey(ctx context.Context) (Survey, error) {
	if a.cfg.Survey == nil {
		return Survey{Reports: []Report{a.Report()}}, nil
	}
	return a.cfg.Survey(ctx)
}

// flawsOf lists what keeps a document from being proven.
func flawsOf(s Survey, head Head) []string {
	var flaws []string
	for _, name := range s.Missing {
		flaws = append(flaws, fmt.Sprintf("instance %s does not answer", name))
	}
	for _, r := range s.Reports {
		if r.Version != head.Version {
			flaws = append(flaws, fmt.Sprintf("instance %s runs version %d, not %d", r.Instance, r.Version, head.Version))
		}
		if r.Breaches > 0 {
			flaws = append(flaws, fmt.Sprintf("instance %s saw %d broken promises", r.Instance, r.Breaches))
		}
	}
	return flaws
}

// Verify checks that p proves a document for at least a time. Its errors are of kind Denied.
func (p Proof) Verify(digest ident.Digest, need ident.Duration, key []byte) error {
	const step = "check proof"
	switch {
	case len(key) > 0 && !hmac.Equal([]byte(p.Signature), []byte(p.sign(key))):
		return fault.New(fault.Denied, step, "", "the signature does not fit this environment's promotion key")
	case p.Digest != digest:
		return fault.New(fault.Denied, step, "", "the proof is of digest %.12s, the document has %.12s", p.Digest, digest)
	case p.Instances < 1:
		return fault.New(fault.Denied, step, "", "the proof names no instances")
	case p.ProvenFor < need:
		return fault.New(fault.Denied, step, "", "the document was in force for %v; %v is needed", p.ProvenFor, need)
	}
	return nil
}

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
