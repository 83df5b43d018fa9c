package config

import (
	"fmt"
	"time"

	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// InvariantNoRevert names the invariant that an accepted document is never replaced by an earlier one.
const InvariantNoRevert = "ConfigurationNeverReverts"

// install puts the document of a record in force at this instance and calls the subscribers. It ignores a record that
// is not later than the one in force. Its error is of kind Invalid if the content does not match the digest or cannot
// be decoded. from names the source of the record, a peer or the table.
func (a *Agent) install(rec Record, from string) error {
	a.installMu.Lock()
	defer a.installMu.Unlock()
	if rec.Version <= a.Current().Version {
		return nil
	}
	doc, err := envdoc.Decode(rec.Content, rec.Digest)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "install document", from)
	}
	active := ActiveDocument{Record: rec, Document: doc, Since: time.Now()}
	if err := a.replaceCurrent(active, a.violationCount()); err != nil {
		return err
	}
	a.logger.Info("document in force", "version", rec.Version, "digest", rec.Digest, "author", rec.Author, "from", from)
	for _, f := range a.subscribers {
		f(active)
	}
	notify(a.pushNeeded)
	return nil
}

// replaceCurrent makes next the document in force after checking that its version is later than the current one.
// violations is the number of invariant violations that this instance has detected so far.
func (a *Agent) replaceCurrent(next ActiveDocument, violations uint64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if next.Version <= a.current.Version {
		return a.violationError(fmt.Sprintf("version %d must not replace version %d", next.Version, a.current.Version))
	}
	a.currentIsFirst = a.current.Version == 0
	a.current = next
	a.violationsBefore = violations
	a.witnesses = witnesses{}
	a.runningPeers = map[uint32]bool{}
	a.recordConfirmation(a.pendingConfirmation)
	return nil
}

// checkDigest checks a version and digest received from a peer or the table, which from names: if it is the version in
// force here, it must have the same digest as here. A different digest violates InvariantNoRevert.
func (a *Agent) checkDigest(version ident.Version, digest ident.Digest, from string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version == 0 || version != a.current.Version || digest == a.current.Digest {
		return nil
	}
	return a.violationError(fmt.Sprintf("%s has version %d with digest %.12s, not %.12s", from, version, digest, a.current.Digest))
}

// violationError counts and reports a violation of InvariantNoRevert, and returns the error for the rejected step. The
// caller holds a.mu.
func (a *Agent) violationError(detail string) error {
	a.counts.Violations++
	a.logger.Error("promise broken", "promise", InvariantNoRevert, "detail", detail)
	if a.cfg.OnViolation != nil {
		a.cfg.OnViolation(InvariantNoRevert, detail)
	}
	return fault.New(fault.Internal, "install document", "", "%s", detail)
}
