package config

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineline/sardineline/sard/ident"
)

// Witness is an instance that was seen running a version. It travels as an array of two numbers.
type Witness struct {
	_ struct{} `cbor:",toarray"`
	// ID is a hash of the instance's name. Two instances of one hash count as one.
	ID uint32
	// AgoMs is how long ago the instance was seen, in milliseconds.
	AgoMs uint32
}

// witnesses holds when each instance was last seen running the version in force here, or a later one. Only
// instances whose own version was confirmed since they were started are in it: a fresh one knows nothing of
// what was accepted before.
type witnesses map[uint32]time.Time

func witnessID(name ident.Instance) uint32 {
	return uint32(xxhash.Sum64String(string(name)))
}

func (w witnesses) add(id uint32, at time.Time) {
	if at.After(w[id]) {
		w[id] = at
	}
}

// list returns the witnesses seen within bound, and forgets the others.
func (w witnesses) list(bound time.Duration) []Witness {
	var all []Witness
	for id, at := range w {
		ago := time.Since(at)
		if ago > bound {
			delete(w, id)
			continue
		}
		all = append(all, Witness{ID: id, AgoMs: uint32(ago.Milliseconds()) + 1})
	}
	return all
}

// count returns the number of witnesses seen since a moment.
func (w witnesses) count(since time.Time) int {
	n := 0
	for _, at := range w {
		if !at.Before(since) {
			n++
		}
	}
	return n
}

// attest takes in who runs the version in force here by a peer's report. asOf is no later than the report's making.
// The caller holds a.mu.
func (a *Agent) attest(r Report, asOf time.Time) {
	if r.Version != a.current.Version || r.Version == 0 {
		return
	}
	a.runs[witnessID(r.Instance)] = true
	if r.Established && r.Known == r.Version {
		a.witnesses.add(witnessID(r.Instance), asOf)
	}
	for _, w := range r.Witnesses {
		a.runs[w.ID] = true
		a.witnesses.add(w.ID, asOf.Add(-time.Duration(w.AgoMs)*time.Millisecond))
	}
	delete(a.witnesses, witnessID(a.cfg.Instance))
	delete(a.runs, witnessID(a.cfg.Instance))
}

// inForceAt counts the instances, this one included, that were seen within the bound running the version in force
// here. The caller holds a.mu.
func (a *Agent) inForceAt() int {
	return a.witnesses.count(a.oldest()) + 1
}

// oldest returns the earliest moment that still confirms anything.
func (a *Agent) oldest() time.Time {
	return time.Now().Add(-a.cfg.ConfirmationTimeout)
}

// quorum tells whether most of the listed instances were seen since a moment running the version in force here,
// and no later version is known. An acceptance is told only when most instances run the new version, so none was
// told before that moment that this quorum missed. The caller holds a.mu.
func (a *Agent) quorum(listed int, since time.Time) bool {
	others := a.witnesses.count(since)
	n := others
	if a.established {
		n++
	}
	return others > 0 && 2*n > listed && a.wanted <= a.current.Version
}

// asks tells whether this instance needs to know who runs its version: it is new, or the table does not confirm it.
func (a *Agent) asks() bool {
	if a.unconfirmedFor() > a.cfg.ConfirmationTimeout/2 {
		return true
	}
	listed := a.membership().Listed
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.recent(a.current.Since) && 2*(len(a.runs)+1) <= listed
}
