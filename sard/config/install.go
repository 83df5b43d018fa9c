package config

import (
	"fmt"
	"time"

	"github.com/sardineline/sardineline/sard/envdoc"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// InvariantNoRevert is the promise that an accepted document is never replaced by an earlier one.
const InvariantNoRevert = "ConfigurationNeverReverts"

// install puts a record in force and tells the subscribers. Records that are not later than the one in force are
// left alone. It fails with kind Invalid on a record that is not whole.
func (a *Agent) install(rec Record, from string) error {
	a.installing.Lock()
	defer a.installing.Unlock()
	if rec.Version <= a.Current().Version {
		return nil
	}
	doc, err := envdoc.Decode(rec.Content, rec.Digest)
	if err != nil {
		return fault.Wrap(err, fault.Invalid, "install document", from)
	}
	accepted := ActiveDocument{Record: rec, Document: doc, Since: time.Now()}
	if err := a.replace(accepted, a.breaches()); err != nil {
		return err
	}
	a.log.Info("document in force", "version", rec.Version, "digest", rec.Digest, "author", rec.Author, "from", from)
	for _, f := range a.subscribers {
		f(accepted)
	}
	notify(a.fresh)
	return nil
}

// replace holds the step from one document to the next to the promise.
func (a *Agent) replace(next ActiveDocument, breaches uint64) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if next.Version <= a.current.Version {
		return a.breach(fmt.Sprintf("version %d was to replace version %d", next.Version, a.current.Version))
	}
	a.first = a.current.Version == 0
	a.current = next
	a.breachesBefore = breaches
	a.witnesses = witnesses{}
	a.runs = map[uint32]bool{}
	a.confirm(a.pending)
	return nil
}

// checkDigest holds that a version has one content only.
func (a *Agent) checkDigest(version ident.Version, digest ident.Digest, from string) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	if version == 0 || version != a.current.Version || digest == a.current.Digest {
		return nil
	}
	return a.breach(fmt.Sprintf("%s has version %d with digest %.12s, not %.12s", from, version, digest, a.current.Digest))
}

// breach counts a broken promise and returns the error that refuses the step. The caller holds a.mu.
func (a *Agent) breach(detail string) error {
	a.counts.Breaches++
	a.log.Error("promise broken", "promise", InvariantNoRevert, "detail", detail)
	if a.cfg.OnViolation != nil {
		a.cfg.OnViolation(InvariantNoRevert, detail)
	}
	return fault.New(fault.Internal, "install document", "", "%s", detail)
}
