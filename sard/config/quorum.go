package config

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineline/sardineline/sard/ident"
)

// Witness is an instance that was seen running a version. It is encoded as a CBOR array of two numbers.
type Witness struct {
	_ struct{} `cbor:",toarray"`
	// ID is a hash of the instance name. Instances with the same hash are counted once.
	ID uint32
	// AgoMs is how long ago the instance was seen, in milliseconds.
	AgoMs uint32
}

// witnesses maps the ID of each other instance to the time when it was last seen running the version in force here, or
// a later one. It contains only instances whose version was confirmed after they started: before that, an instance does
// not know which versions were accepted earlier, so it cannot count towards a quorum.
type witnesses map[uint32]time.Time

// witnessID returns the Witness.ID of an instance.
func witnessID(name ident.Instance) uint32 {
	return uint32(xxhash.Sum64String(string(name)))
}

// add records that an instance was seen at a time, unless it was seen later already.
func (w witnesses) add(id uint32, seenAt time.Time) {
	if seenAt.After(w[id]) {
		w[id] = seenAt
	}
}

// list returns the witnesses seen within maxAge and deletes the others.
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

// count returns the number of witnesses seen at or after since.
func (w witnesses) count(since time.Time) int {
	total := 0
	for _, at := range w {
		if !at.Before(since) {
			total++
		}
	}
	return total
}

// recordWitnesses records the sender of a report and the witnesses it lists, if it is about the version in force here.
// asOf must be no later than the time the report was made. The caller holds a.mu.
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

// inForceCount returns the number of instances, including this one, that were seen running the version in force here
// within ConfirmationTimeout. The caller holds a.mu.
func (a *Agent) inForceCount() int {
	return a.witnesses.count(a.confirmationCutoff()) + 1
}

// confirmationCutoff returns the time before which confirmations have expired.
func (a *Agent) confirmationCutoff() time.Time {
	return time.Now().Add(-a.cfg.ConfirmationTimeout)
}

// hasQuorum reports whether a majority of the listed instances was seen at or after since running the version in force
// here, and no later version is known. The acceptance of a version is reported only when a majority runs it, and any
// two majorities overlap. Hence no version that was reported as accepted before since is unknown to the whole quorum.
// The caller holds a.mu.
func (a *Agent) hasQuorum(listed int, since time.Time) bool {
	others := a.witnesses.count(since)
	witnessed := others
	if a.established {
		witnessed++
	}
	return others > 0 && 2*witnessed > listed && a.latestKnown <= a.current.Version
}

// needsWitnesses reports whether this instance needs to know which instances run its version. That is the case while
// the table does not confirm the version, and while a new version is not yet known to run on a majority.
func (a *Agent) needsWitnesses() bool {
	if a.confirmationAge() > a.cfg.ConfirmationTimeout/2 {
		return true
	}
	listed := a.membership().Listed
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.withinConfirmationTimeout(a.current.Since) && 2*(len(a.runningPeers)+1) <= listed
}
