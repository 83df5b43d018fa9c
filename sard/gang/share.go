package gang

import (
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/worker"
)

// share is one part of an attempt, on one worker. It is guarded by the domain's mu.
type share struct {
	attempt      *attempt
	member       *member
	part         worker.Part
	accelerators ident.AcceleratorSet
	// state only rises.
	state ident.PartState
	// reserved is when the worker has confirmed the reservation; zero before. Later reports without the part tell
	// that it has ended.
	reserved time.Time
	// gone tells that the part has ended without a state: its worker does not know it, or its leases have lapsed.
	gone bool
	// lapse is when the last lease that was confirmed has surely lapsed.
	lapse time.Time
	// late tells that a grant of a lease was not answered and may still arrive before lapse.
	late bool
	// flying counts the grants of leases that are on their way.
	flying int
	// foreign tells that an earlier holder may still renew the part, as its worker has not been fenced.
	foreign bool
	// message tells why the part failed.
	message string
}

// ended tells that the part surely does not run and never will.
func (s *share) ended() bool {
	return s.gone || s.state >= ident.PartDone
}

// sending notes that a grant of a lease is on its way.
func (s *share) sending() {
	s.flying++
}

// granted notes the result of a call that grants a lease.
func (s *share) granted(err error, lease time.Duration) {
	s.flying--
	switch {
	case err == nil:
		s.lapse = time.Now().Add(lease)
	case !fault.Is(err, fault.Unavailable):
		s.late = true
	}
}

// adopt notes that the worker was fenced by a call sent at a time: only this holder renews the part from now on.
func (s *share) adopt(sent time.Time) {
	if !s.foreign {
		return
	}
	s.foreign = false
	s.reserved = sent.Add(-1)
	s.lapse = time.Now().Add(longLease)
}

// lapsed tells whether all leases of the part have surely lapsed, also one that was sent and arrived late.
func (s *share) lapsed(now time.Time) bool {
	if s.foreign {
		since := s.attempt.domain.fencedSince
		return !since.IsZero() && now.After(since.Add(foreignLapse))
	}
	if s.late || s.flying > 0 {
		return now.After(s.lapse.Add(longLease))
	}
	return now.After(s.lapse)
}

// report takes in what the worker says of its parts in the answer to a call that was sent at a time. It tells
// whether the report is conclusive: the lack of a part is not when the part was reserved after the call was sent.
func (s *share) report(sent time.Time, said map[worker.Part]worker.PartReport) bool {
	before := s.ended()
	p, ok := said[s.part]
	switch {
	case ok:
		s.raise(p)
	case s.reserved.IsZero():
	case sent.After(s.reserved):
		s.gone = true
	default:
		return false
	}
	if s.ended() && !before {
		poke(s.attempt.wake)
	}
	return true
}

// raise takes in the part's own report.
func (s *share) raise(p worker.PartReport) {
	if p.State > s.state {
		s.state = p.State
		s.message = p.Message
	}
}

// reportOf finds a part in a report.
func reportOf(report worker.Report, part worker.Part) (worker.PartReport, bool) {
	for _, p := range report.Parts {
		if p.Part == part {
			return p, true
		}
	}
	return worker.PartReport{}, false
}
