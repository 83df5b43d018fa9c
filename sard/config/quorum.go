package config

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineline/sardineline/sard/ident"
)

// Witness is an instance that was seen running the version of the Report that lists it. It is encoded as a CBOR array
// of two numbers.
type Witness struct {
	_ struct{} `cbor:",toarray"`
	// ID is a hash of the instance name. Instances with the same hash are counted once.
	ID uint32
	// AgoMs is how long ago the instance was last seen running the version, in milliseconds.
	AgoMs uint32
}

// witnesses holds the witnesses of the version in force here. It maps the Witness.ID of each to the time when the
// instance was last seen running that version or a later one. It contains only instances whose version was confirmed
// after they started: before that, an instance does not know which versions were accepted earlier, so it cannot count
// towards a quorum.
type witnesses map[uint32]time.Time

// witnessID returns the Witness.ID of an instance.
func witnessID(name ident.Instance) uint32 {
	return uint32(xxhash.Sum64String(string(name)))
}

// add records that an instance was seen running the version in force here at seenAt, unless it was also seen later. id
// is its Witness.ID.
func (w witnesses) add(id uint32, seenAt time.Time) {
	if seenAt.After(w[id]) {
		w[id] = seenAt
	}
}

// list returns the witnesses that were last seen at most maxAge ago, and deletes the others from w.
func (w witnesses) list(maxAge time.Duration) []Witness {
	var seen []Witness
	for id, at := range w {
		age := time.Since(at)
		if age > maxAge {
			delete(w, id)
			continue
		}
		seen = append(seen, Witness{ID: id, AgoMs: uint32(age.Milliseconds()) + 1})
	}
	return seen
}

// count returns the number of other instances that were last seen running the version in force here at or after since.
func (w witnesses) count(since time.Time) int {
	total := 0
	for _, at := range w {
		if !at.Before(since) {
			total++
		}
	}
	return total
}

// recordWitnesses updates the witnesses, which are the other instances that were seen running the version in force
// here, from a peer's report of that version. It adds the report's Witnesses. It also adds the peer itself if its
// report has Established set and the peer knows no later version. A report of another version is ignored. The report
// must have been made at asOf or later. The caller holds a.mu.
func (a *Agent) recordWitnesses(r Report, asOf time.Time) {
	if r.Version != a.current.Version || r.Version == 0 {
		return
	}
	a.runningPeers[witnessID(r.Instance)] = true
	if r.Established && r.Known == r.Version {
		a.witnesses.add(witnessID(r.Instance), asOf)
	}
	for _, w := range r.Witnesses {
		a.runningPeers[w.ID] = true
		a.witnesses.add(w.ID, asOf.Add(-time.Duration(w.AgoMs)*time.Millisecond))
	}
	delete(a.witnesses, witnessID(a.cfg.Instance))
	delete(a.runningPeers, witnessID(a.cfg.Instance))
}

// inForceCount returns the number of instances, including this one, that are known to have run the version in force
// here within the last ConfirmationTimeout. The caller holds a.mu.
func (a *Agent) inForceCount() int {
	return a.witnesses.count(a.confirmationCutoff()) + 1
}

// confirmationCutoff returns the time one ConfirmationTimeout ago; earlier confirmations have expired.
func (a *Agent) confirmationCutoff() time.Time {
	return time.Now().Add(-a.cfg.ConfirmationTimeout)
}

// hasQuorum reports whether more than half of the listed instances were seen running the version in force here at or
// after since, and this instance knows no later version. listed is the number of instances in the platform's list. This
// instance counts if its Report has Established set. The acceptance of a version is reported only when a majority runs
// it, and any two majorities overlap. Hence no version that was reported as accepted before since is unknown to the
// whole quorum. The caller holds a.mu.
func (a *Agent) hasQuorum(listed int, since time.Time) bool {
	others := a.witnesses.count(since)
	witnessed := others
	if a.established {
		witnessed++
	}
	return others > 0 && 2*witnessed > listed && a.latestKnown <= a.current.Version
}

// needsWitnesses reports whether this instance needs to know which other instances run its version. That is the case
// while the table does not confirm the version, and while a new version is not yet known to run on a majority.
func (a *Agent) needsWitnesses() bool {
	if a.confirmationAge() > a.cfg.ConfirmationTimeout/2 {
		return true
	}
	listed := a.membership().Listed
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.withinConfirmationTimeout(a.current.Since) && 2*(len(a.runningPeers)+1) <= listed
}
