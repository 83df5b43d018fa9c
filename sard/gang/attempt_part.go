package gang

import (
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/worker"
)

// attemptPart is the part of an attempt on one worker. It is guarded by Scheduler.mu.
type attemptPart struct {
	attempt      *attempt
	worker       *workerState
	id           worker.Part
	accelerators ident.AcceleratorSet
	// state is the furthest state that the worker has reported; it never decreases.
	state ident.PartState
	// reservedAt is when the worker confirmed the reservation; zero before. The part has ended if a later report lacks
	// it.
	reservedAt time.Time
	// gone is set when the part has ended without a final state: its worker doesn't know it, or its leases have expired.
	gone bool
	// leaseEnd is the time by which the last confirmed lease has expired on the worker.
	leaseEnd time.Time
	// grantUnanswered is set when the outcome of a lease grant is unknown. The grant may still arrive before leaseEnd.
	grantUnanswered bool
	// grantsInFlight counts the lease grants that were sent and haven't returned.
	grantsInFlight int
	// unfenced is set while an earlier holder may still renew the part because its worker hasn't been fenced.
	unfenced bool
	// message is the worker's explanation of a failure.
	message string
}

// ended reports whether the part is known not to be running and can't start any more.
func (p *attemptPart) ended() bool {
	return p.gone || p.state >= ident.PartDone
}

// grantSent records that a lease grant is being sent.
func (p *attemptPart) grantSent() {
	p.grantsInFlight++
}

// grantReturned records the result of a call that grants a lease.
func (p *attemptPart) grantReturned(err error, lease time.Duration) {
	p.grantsInFlight--
	switch {
	case err == nil:
		p.leaseEnd = time.Now().Add(lease)
	case !fault.Is(err, fault.Unavailable):
		p.grantUnanswered = true
	}
}

// workerFenced records that the worker was fenced by a call sent at the given time. From then on only this holder can
// renew the part.
func (p *attemptPart) workerFenced(sent time.Time) {
	if !p.unfenced {
		return
	}
	p.unfenced = false
	p.reservedAt = sent.Add(-1)
	p.leaseEnd = time.Now().Add(longLease)
}

// leasesLapsed reports whether all leases of the part must have expired, including a grant that arrived late.
func (p *attemptPart) leasesLapsed(now time.Time) bool {
	if p.unfenced {
		since := p.attempt.scheduler.majorityFencedAt
		return !since.IsZero() && now.After(since.Add(earlierHolderLapse))
	}
	if p.grantUnanswered || p.grantsInFlight > 0 {
		return now.After(p.leaseEnd.Add(longLease))
	}
	return now.After(p.leaseEnd)
}

// applyReport updates the part from a worker's report, given in response to a call sent at the given time. It returns
// false if the report is inconclusive: it lacks the part, but the part was reserved after the call was sent.
func (p *attemptPart) applyReport(sent time.Time, reportedParts map[worker.Part]worker.PartReport) bool {
	before := p.ended()
	reported, ok := reportedParts[p.id]
	switch {
	case ok:
		p.advance(reported)
	case p.reservedAt.IsZero():
	case sent.After(p.reservedAt):
		p.gone = true
	default:
		return false
	}
	if p.ended() && !before {
		notify(p.attempt.wake)
	}
	return true
}

// advance moves the part to the reported state unless it is already further.
func (p *attemptPart) advance(reported worker.PartReport) {
	if reported.State > p.state {
		p.state = reported.State
		p.message = reported.Message
	}
}

// findReport returns the entry of a part in a worker's report.
func findReport(report worker.Report, id worker.Part) (worker.PartReport, bool) {
	for _, reported := range report.Parts {
		if reported.Part == id {
			return reported, true
		}
	}
	return worker.PartReport{}, false
}
