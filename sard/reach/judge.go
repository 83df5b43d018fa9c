// Package reach judges from the calls of one process whether it reaches a store. It performs no calls itself.
//
// A store can fail as a whole or in parts, for all processes or for some of them. Each scope is judged by itself: it
// serves until a call goes unanswered for too long or fails, is then suspect, and counts as closed once a probe has failed
// too. Any answer, or a part of one that arrives, makes it serve again. Probes are single cheap reads: one for each scope
// that becomes suspect, and a paced sequence for all scopes that are closed.
//
// A pause of the process itself makes scopes suspect, but does not close them, because the probe is sent after the pause.
// The timeout of a probe must leave out the time in which the process can't run.
package reach

import (
	"time"

	"github.com/sardineline/sardineline/sard/clock"
)

//go:generate go tool stringer -type=State,Reason,Outcome -output=enums_string.go

// Scope names a part of a store that can fail by itself.
type Scope string

// State is what is known of a scope.
type State int

// States of a scope.
const (
	// Serving is the state of a scope that answers, as far as is known.
	Serving State = iota
	// Suspect is the state of a scope whose failure was not confirmed by a probe yet. Calls are still made.
	Suspect
	// Closed is the state of a scope that does not serve this process.
	Closed
)

// Reason says why a scope is not Serving.
type Reason int

// Reasons why a scope is not Serving.
const (
	// NoReason is the reason of a scope that serves.
	NoReason Reason = iota
	// Silent means that calls are not answered.
	Silent
	// Broken means that calls end without an answer, for example because their connections are reset.
	Broken
	// Refusing means that the store refuses calls, or connections to it.
	Refusing
	// Busy means that the store rejects calls because of load.
	Busy
)

// Outcome is how a call to the store ended.
type Outcome int

// Outcomes of calls.
const (
	// Answered means that the store served the call; a failed precondition is an answer too.
	Answered Outcome = iota
	// Unanswered means that the call ended without an answer.
	Unanswered
	// Refused means that the store refused the call or the connection.
	Refused
	// Throttled means that the store rejected the call because of load.
	Throttled
	// GivenUp means that the caller ended the call, so that it tells no more than the time for which it was unanswered.
	GivenUp
)

// Parameters of the judgement.
const (
	// SuspicionDelay is the time without an answer after which a scope is probed. NextProbe must be called then.
	SuspicionDelay = 400 * time.Millisecond
	// confirmTimeout is how long the probe of a suspect scope waits for its answer. Together with SuspicionDelay it stays
	// below the time after which callers give a call up, so that an answer they would still take in is not missed.
	confirmTimeout = 350 * time.Millisecond
	// closedTimeout is how long the probe of a closed scope waits, so that a slow store is noticed too.
	closedTimeout = 800 * time.Millisecond
	// minProbePause and maxProbePause limit the time between probes of closed scopes, which grows with each of them. They
	// are sent whether or not earlier ones were answered, so that the store's return is noticed after one pause.
	minProbePause = 100 * time.Millisecond
	maxProbePause = 250 * time.Millisecond
	// quietTime is the time without any answer from which on a store with a closed scope counts as unreachable as a whole.
	// It exceeds the time for which feeds wait for a change.
	quietTime = time.Second
	// minRetryAfter and maxRetryAfter limit the time after which a caller is told to come back.
	minRetryAfter = time.Second
	maxRetryAfter = 5 * time.Second
	// maxScopes bounds the number of scopes; others are not judged.
	maxScopes = 64
)

// CallID identifies a call that is under way.
type CallID uint64

// call is a call that is under way.
type call struct {
	scope *scope
	sent  clock.Instant
	// due is when the answer may be expected; it is later than sent for calls that wait for a change.
	due   clock.Instant
	probe bool
	// feed says that the call follows changes; the store may answer it while it does not serve any scope.
	feed bool
}

// Judge holds what is known of a store. It is not safe for concurrent use. The zero value is not ready; use New.
type Judge struct {
	// main is the scope that all processes use all the time.
	main       Scope
	scopes     map[Scope]*scope
	calls      map[CallID]call
	lastCall   CallID
	lastAnswer clock.Instant
	// nextProbe is when the next probe of a closed scope is sent, and pause the time from the last one to it.
	nextProbe clock.Instant
	pause     time.Duration
	changes   []Change
}

// Change is a change of the state of a scope.
type Change struct {
	Scope    Scope
	From, To State
	Reason   Reason
	// Lasted is the time since the last sign that the scope served, or since the failure began.
	Lasted time.Duration
}

// New returns a Judge that knows of no trouble. A failure of the scope main makes it probe all others.
func New(main Scope) *Judge {
	return &Judge{main: main, scopes: map[Scope]*scope{}, calls: map[CallID]call{}}
}

// Sent takes note of a call to a scope that is sent now.
func (j *Judge) Sent(now clock.Instant, name Scope) CallID {
	return j.add(name, call{sent: now, due: now})
}

// FeedSent takes note of a call that is sent now and waits for a change before it is answered. Its failure makes the main
// scope suspect, but its answer does not show that the main scope serves.
func (j *Judge) FeedSent(now clock.Instant, wait time.Duration) CallID {
	return j.add(j.main, call{sent: now, due: now.Add(wait), feed: true})
}

// add adds a call to a scope.
func (j *Judge) add(name Scope, c call) CallID {
	j.lastCall++
	if c.scope = j.scope(name); c.scope != nil {
		j.calls[j.lastCall] = c
	}
	return j.lastCall
}

// scope returns the record of a scope, or nil if there are too many.
func (j *Judge) scope(name Scope) *scope {
	s, ok := j.scopes[name]
	if !ok && len(j.scopes) < maxScopes {
		s = &scope{name: name}
		j.scopes[name] = s
	}
	return s
}

// Ended takes note of the end of a call. A call that is not known is ignored.
func (j *Judge) Ended(now clock.Instant, id CallID, outcome Outcome) {
	j.findSilence(now)
	c, ok := j.calls[id]
	if !ok {
		return
	}
	delete(j.calls, id)
	switch {
	case outcome == Answered && c.feed:
		j.lastAnswer = now
	case outcome == Answered:
		j.answered(now, c.scope)
	case c.probe && outcome != GivenUp:
		j.probeFailed(now, c, outcome)
	case outcome != GivenUp && c.scope.state == Serving && now.Sub(c.scope.lastProbe) >= minProbePause:
		j.change(now, c.scope, Suspect, failureReason(outcome, now.Sub(c.due) >= SuspicionDelay), max(c.sent, c.scope.lastAnswer))
	}
	if c.probe {
		c.scope.probed = false
	}
}

// Arrived takes note of a part of the answer to a call that has not ended. Its scope serves, and is silent only when no
// further part arrives.
func (j *Judge) Arrived(now clock.Instant, id CallID) {
	c, ok := j.calls[id]
	if !ok {
		return
	}
	c.due = max(c.due, now)
	j.calls[id] = c
	if c.feed {
		j.lastAnswer = now
		return
	}
	j.answered(now, c.scope)
}

// failureReason returns what a call without an answer, that had waited for long or not, says of its scope.
func failureReason(outcome Outcome, waited bool) Reason {
	switch {
	case outcome == Refused:
		return Refusing
	case outcome == Throttled:
		return Busy
	case waited:
		return Silent
	default:
		return Broken
	}
}

// Verdict is the decision on a call that would be sent now.
type Verdict struct {
	// Refuse says that the call would not be answered. The other fields are set only then.
	Refuse bool
	Reason Reason
	// Lasted is the time since the trouble began, and RetryAfter when a caller may come back.
	Lasted, RetryAfter time.Duration
}

// Decide says whether a call to a scope may be sent.
func (j *Judge) Decide(now clock.Instant, name Scope) Verdict {
	if s, ok := j.scopes[name]; ok && s.state == Closed {
		return s.refusal(now)
	}
	if j.Reachable(now) {
		return Verdict{}
	}
	return j.firstClosed().refusal(now)
}

// Reachable reports whether the store answers at all. It is not reachable when a scope is closed and no call of any kind
// was answered for quietTime.
func (j *Judge) Reachable(now clock.Instant) bool {
	return j.firstClosed() == nil || now.Sub(j.lastAnswer) < quietTime
}

// SinceAnswer returns the time since a call was last answered.
func (j *Judge) SinceAnswer(now clock.Instant) time.Duration {
	return now.Sub(j.lastAnswer)
}

// TakeChanges returns the changes of state since the last call of TakeChanges, in order.
func (j *Judge) TakeChanges() []Change {
	changes := j.changes
	j.changes = nil
	return changes
}
