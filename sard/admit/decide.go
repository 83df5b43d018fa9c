package admit

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

//go:generate go tool stringer -type=Reason -output=reason_string.go

// Reason says why a submission is accepted or refused.
type Reason int

// Reasons for which a submission is accepted, and TooLate, for which it is refused.
const (
	// NoSummary means that no summary was seen since the instance has started to follow the current holder.
	NoSummary Reason = iota
	// Unreadable means that the summary has another format or is impossible.
	Unreadable
	// Stale means that the summary is too old.
	Stale
	// FormerHolder means that the summary was written by another holder of the scheduler lease than the current one.
	FormerHolder
	// NoPressure means that there is room, as far as is known.
	NoPressure
	// Guaranteed means that the job has the priority that is never refused for want of room.
	Guaranteed
	// Unbounded means that the job is due later, or runs until it is cancelled.
	Unbounded
	// InTime means that the job may end while its result is of use.
	InTime
	// TooLate means that the job surely can't end while its result is of use.
	TooLate
)

// View is what an instance knows of the load of the pool.
type View struct {
	// Summary is the last summary, or nil if there is none. Unreadable is set if it could not be decoded.
	Summary    *Summary
	Unreadable bool
	// Age is the time since the summary was read, shortly after it was written.
	Age time.Duration
	// Holder is the epoch of the current holder of the scheduler lease.
	Holder ident.Epoch
}

// Request is a submission as far as its admission depends on it.
type Request struct {
	ID       ident.Job
	Account  ident.Account
	Priority work.Priority
	Service  work.Service
	// Objective is the time in which the job should complete, and Path its run time without waits, by the submitter's
	// estimate.
	Objective, Path time.Duration
	// Unbounded is set if the job is due later, or runs until it is cancelled.
	Unbounded bool
}

// NewRequest returns the request for a job.
func NewRequest(job *work.Job) Request {
	r := Request{ID: job.ID, Account: job.Account, Priority: job.Terms.Priority, Service: job.Terms.Service, Unbounded: job.Repeat.Count > 0}
	r.Path = job.CriticalPath()
	r.Objective = time.Duration(float64(r.Path)*job.Terms.Stretch) + job.Terms.Target
	for i := range job.Steps {
		r.Unbounded = r.Unbounded || job.Steps[i].Lasting
	}
	return r
}

// Verdict is the decision on a submission.
type Verdict struct {
	Reason Reason
	// Wait is the least time that the job would wait, and Age that of the summary from which this follows.
	Wait, Age time.Duration
	// RetryAfter is when the client should submit again if it is refused.
	RetryAfter time.Duration
}

// Refused reports whether the submission is refused.
func (v Verdict) Refused() bool {
	return v.Reason == TooLate
}

const (
	// maxAge is the age from which on a summary is too old. It is written once a second.
	maxAge = 3 * time.Second
	// surePercent is the share of the least wait that is taken as certain, since waiting work may be cancelled or need less
	// time than forecast.
	surePercent = 50
	// leastRunPercent is the share of the estimated run time that a job surely needs.
	leastRunPercent = 40
)

// Decide returns whether a submission is accepted. It depends on nothing but its arguments, so that all instances with the
// same summary decide alike.
func Decide(v View, r Request) Verdict {
	verdict := Verdict{Reason: v.reason(r), Age: v.Age}
	if verdict.Reason != InTime {
		return verdict
	}
	load := v.Summary.load(r.Service)
	verdict.Wait = load.wait(r)
	useful := ExpiryObjectives*r.Objective - r.Path*leastRunPercent/100
	if verdict.Wait*surePercent/100 <= useful {
		return verdict
	}
	verdict.Reason = TooLate
	verdict.RetryAfter = retryAfter(r, verdict.Wait-useful)
	return verdict
}

// reason returns why a submission is accepted whatever the wait, or InTime if the wait decides.
func (v View) reason(r Request) Reason {
	switch {
	case r.Priority == work.Guaranteed:
		return Guaranteed
	case r.Unbounded:
		return Unbounded
	case v.Unreadable:
		return Unreadable
	case v.Summary == nil:
		return NoSummary
	case v.Summary.Epoch != v.Holder:
		return FormerHolder
	case v.Age > maxAge:
		return Stale
	case v.Summary.Over || v.Summary.load(r.Service) == nil:
		return NoPressure
	}
	return InTime
}

// load returns the load of a service, or nil if the summary does not say it.
func (s *Summary) load(service work.Service) *ServiceLoad {
	for i := range s.Services {
		if s.Services[i].Service == service {
			return &s.Services[i]
		}
	}
	return nil
}

// wait returns the least time until a job starts: all work that is more urgent must have started before. An account waits
// no longer than if all accounts with waiting work had equal shares of the capacity, so that the backlog of one account
// leads to no refusal of another one.
func (l *ServiceLoad) wait(r Request) time.Duration {
	ahead, own := l.Running, Amount{}
	accounts := map[ident.Account]bool{r.Account: true}
	for i := range l.Waiting {
		b := &l.Waiting[i]
		accounts[b.Account] = true
		amount := b.ahead(r)
		ahead = ahead.Plus(amount)
		if b.Account == r.Account {
			own = own.Plus(amount)
		}
	}
	fair := l.Running.Plus(own.Times(len(accounts)))
	return max(0, min(ahead.least(l.Capacity), fair.least(l.Capacity))-l.TypicalRun)
}

// ahead returns the work of a backlog that is surely more urgent than a job: that of guaranteed jobs, and that with less
// slack.
func (b *Backlog) ahead(r Request) Amount {
	sum := Amount{}
	for class, amount := range b.BySlack {
		if b.Priority == work.Guaranteed || class < slackClass(max(0, r.Objective-r.Path)) {
			sum = sum.Plus(amount)
		}
	}
	return sum
}

const (
	// minRetryAfter and maxRetryAfter limit the time until a client should submit again.
	minRetryAfter, maxRetryAfter = time.Second, time.Minute
	// retrySpreadPercent is the share of the time until room is expected over which clients are spread.
	retrySpreadPercent = 50
)

// retryAfter returns when a client should submit a refused job again: when room is expected, later for priorities whose
// delay costs less, and spread by the ID of the job. It is in whole seconds.
func retryAfter(r Request, room time.Duration) time.Duration {
	wait := time.Duration(float64(room) * (1 + 1/(2*weight(r.Priority))))
	seconds := int64(min(max(wait, minRetryAfter), maxRetryAfter) / time.Second)
	spread := seconds*retrySpreadPercent/100 + 1
	seconds += int64(xxhash.Sum64String(string(r.ID)) % uint64(spread+1))
	return time.Duration(seconds) * time.Second
}
