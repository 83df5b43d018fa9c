package reach

import (
	"time"

	"github.com/sardineline/sardineline/sard/clock"
)

// scope is what is known of a part of the store.
type scope struct {
	name   Scope
	state  State
	reason Reason
	// since is the last sign that the scope served before it was suspected.
	since clock.Instant
	// lastAnswer is when a call was last answered, and lastProbe when a probe was last sent.
	lastAnswer, lastProbe clock.Instant
	// probed is set while a probe is under way; suspect scopes have one at a time.
	probed bool
}

// refusal returns the Verdict of a closed scope.
func (s *scope) refusal(now clock.Instant) Verdict {
	lasted := now.Sub(s.since)
	// The longer a failure has lasted, the longer it may be expected to last.
	retryAfter := (lasted / 2).Truncate(time.Second)
	return Verdict{Refuse: true, Reason: s.reason, Lasted: lasted, RetryAfter: min(max(retryAfter, minRetryAfter), maxRetryAfter)}
}

// firstClosed returns the scope that has been closed for longest, or nil.
func (j *Judge) firstClosed() *scope {
	var first *scope
	for _, s := range j.scopes {
		if s.state == Closed && (first == nil || s.since < first.since || s.since == first.since && s.name < first.name) {
			first = s
		}
	}
	return first
}

// change puts a scope in another state. The trouble began at since.
func (j *Judge) change(now clock.Instant, s *scope, to State, reason Reason, since clock.Instant) {
	from := s.state
	s.state, s.reason, s.since = to, reason, since
	j.changes = append(j.changes, Change{Scope: s.name, From: from, To: to, Reason: reason, Lasted: now.Sub(since)})
}

// answered takes note of an answer. Since the store serves again, all other scopes are probed at once.
func (j *Judge) answered(now clock.Instant, s *scope) {
	j.lastAnswer = now
	s.lastAnswer = now
	if s.state == Serving {
		return
	}
	j.change(now, s, Serving, NoReason, s.since)
	j.nextProbe, j.pause = now, 0
}

// findSilence makes the scopes suspect whose calls have gone unanswered for SuspicionDelay.
func (j *Judge) findSilence(now clock.Instant) {
	for _, c := range j.calls {
		if silent, ok := j.silentSince(c); ok && now.Sub(silent) >= SuspicionDelay {
			j.change(now, c.scope, Suspect, Silent, silent)
		}
	}
}

// silentSince returns since when a call that is under way shows that its scope may be silent.
func (j *Judge) silentSince(c call) (clock.Instant, bool) {
	if c.probe || c.scope.state != Serving {
		return 0, false
	}
	if c.feed {
		return max(c.due, j.lastAnswer), true
	}
	return max(c.due, c.scope.lastAnswer), true
}

// probeFailed takes note of a probe without an answer.
func (j *Judge) probeFailed(now clock.Instant, c call, outcome Outcome) {
	s := c.scope
	if s.lastAnswer >= c.sent {
		// Another call has shown meanwhile that the scope serves.
		return
	}
	if s.state == Suspect {
		j.change(now, s, Closed, failureReason(outcome, now.Sub(c.sent) >= confirmTimeout), s.since)
		j.suspectOthers(now, s)
	}
}

// suspectOthers makes all scopes suspect that gave no answer since the main one failed.
func (j *Judge) suspectOthers(now clock.Instant, failed *scope) {
	if failed.name != j.main {
		return
	}
	for _, s := range j.scopes {
		if s.state == Serving && s.lastAnswer <= failed.since {
			j.change(now, s, Suspect, failed.reason, failed.since)
		}
	}
}

// Probe is a cheap read that shall be sent now.
type Probe struct {
	ID    CallID
	Scope Scope
	// Reason is why the scope is probed.
	Reason Reason
	// Timeout is how long to wait for the answer.
	Timeout time.Duration
}

// NextProbe returns the probe to send now, if any, and else the time until NextProbe shall be called again; 0 means when
// another call is sent or ends.
func (j *Judge) NextProbe(now clock.Instant) (probe Probe, due bool, wait time.Duration) {
	j.findSilence(now)
	wait = j.untilSuspicion(now)
	s := j.toProbe()
	if s == nil {
		return Probe{}, false, wait
	}
	untilProbe := j.nextProbe.Sub(now)
	if s.state == Closed && untilProbe > 0 {
		if wait == 0 || untilProbe < wait {
			wait = untilProbe
		}
		return Probe{}, false, wait
	}
	return j.probe(now, s), true, 0
}

// probe starts a probe of a scope.
func (j *Judge) probe(now clock.Instant, s *scope) Probe {
	j.lastCall++
	j.calls[j.lastCall] = call{scope: s, sent: now, due: now, probe: true}
	s.probed, s.lastProbe = true, now
	p := Probe{ID: j.lastCall, Scope: s.name, Reason: s.reason, Timeout: confirmTimeout}
	if s.state == Closed {
		p.Timeout = closedTimeout
		j.pause = min(max(2*j.pause, minProbePause), maxProbePause)
		j.nextProbe = now.Add(j.pause)
	}
	return p
}

// toProbe returns the scope that is to be probed next: a suspect one first, else the closed one not probed for longest; nil
// if there is none.
func (j *Judge) toProbe() *scope {
	var next *scope
	for _, s := range j.scopes {
		if s.state == Serving || s.state == Suspect && s.probed {
			continue
		}
		if next == nil || s.probedBefore(next) {
			next = s
		}
	}
	return next
}

// probedBefore reports whether s is probed before another scope.
func (s *scope) probedBefore(other *scope) bool {
	if s.state != other.state {
		return s.state == Suspect
	}
	if s.lastProbe != other.lastProbe {
		return s.lastProbe < other.lastProbe
	}
	return s.name < other.name
}

// untilSuspicion returns the time until a call that is under way makes its scope suspect, at least a millisecond, or 0 if
// there is none.
func (j *Judge) untilSuspicion(now clock.Instant) time.Duration {
	next := time.Duration(0)
	for _, c := range j.calls {
		silent, ok := j.silentSince(c)
		if !ok {
			continue
		}
		if wait := max(silent.Add(SuspicionDelay).Sub(now), time.Millisecond); next == 0 || wait < next {
			next = wait
		}
	}
	return next
}
