package reach

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/clock"
)

const (
	tick = time.Millisecond
	// callerTimeout is how long the caller of a test waits for an answer.
	callerTimeout = 800 * time.Millisecond
	// start is the time at which a simulated run begins.
	start = clock.Instant(time.Hour)
)

// answer is how the store treats a call that is sent at some time. A call with no delay to its end is never answered.
type answer struct {
	after   time.Duration
	outcome Outcome
}

// Answers of the store in tests.
var (
	prompt = answer{10 * time.Millisecond, Answered}
	never  = answer{time.Hour, Answered}
)

// pending is a call or a probe under way in a run.
type pending struct {
	id      CallID
	endsAt  clock.Instant
	outcome Outcome
}

// run plays calls against a store.
type run struct {
	judge   *Judge
	now     clock.Instant
	pending []pending
	// answers says how the store treats the nth call, or probe, to a scope that is sent at a time since start.
	answers func(at time.Duration, scope Scope, n int, probe bool) answer
	sent    int
	probes  int
	// refused counts refused calls, and wronged those of them that the store would have answered.
	refused, wronged int
	lastRefusal      time.Duration
	firstRefusal     time.Duration
}

// call sends a call to a scope, unless it is refused.
func (r *run) call(scope Scope, timeout time.Duration) {
	at := r.now.Sub(start)
	a := r.answers(at, scope, r.sent, false)
	r.sent++
	if r.judge.Decide(r.now, scope).Refuse {
		r.refused++
		r.lastRefusal = at
		if r.firstRefusal == 0 {
			r.firstRefusal = at
		}
		if a.outcome == Answered && a.after < callerTimeout {
			r.wronged++
		}
		return
	}
	r.send(r.judge.Sent(r.now, scope), a, timeout)
}

// send adds a call that is given up after a timeout.
func (r *run) send(id CallID, a answer, timeout time.Duration) {
	p := pending{id: id, endsAt: r.now.Add(a.after), outcome: a.outcome}
	if a.after >= timeout {
		p = pending{id: id, endsAt: r.now.Add(timeout), outcome: Unanswered}
	}
	r.pending = append(r.pending, p)
}

// step lets a tick pass.
func (r *run) step() {
	r.now = r.now.Add(tick)
	var left []pending
	for _, p := range r.pending {
		if p.endsAt > r.now {
			left = append(left, p)
			continue
		}
		r.judge.Ended(r.now, p.id, p.outcome)
	}
	r.pending = left
	for {
		probe, due, _ := r.judge.NextProbe(r.now)
		if !due {
			return
		}
		r.send(probe.ID, r.answers(r.now.Sub(start), probe.Scope, r.probes, true), probe.Timeout)
		r.probes++
	}
}

// play makes a call to each scope every period, and a feed call every 600 ms, for some time.
func play(length, period time.Duration, scopes []Scope, answers func(time.Duration, Scope, int, bool) answer) *run {
	r := &run{judge: New("main"), now: start, answers: answers}
	for at := time.Duration(0); at < length; at += tick {
		if at%period == 0 {
			for _, scope := range scopes {
				r.call(scope, callerTimeout)
			}
		}
		if at%(600*time.Millisecond) == 0 {
			a := answers(at, "feed", 0, false)
			if a == prompt {
				a.after = 600 * time.Millisecond
			}
			r.send(r.judge.FeedSent(r.now, 600*time.Millisecond), a, 1500*time.Millisecond)
		}
		r.step()
	}
	return r
}

// during returns answers that are a between two times, to scope or to all if it is empty, and prompt otherwise.
func during(from, to time.Duration, scope Scope, a answer) func(time.Duration, Scope, int, bool) answer {
	return func(at time.Duration, s Scope, _ int, _ bool) answer {
		if at >= from && at < to && (scope == "" || s == scope) {
			return a
		}
		return prompt
	}
}

// TestPatternsOfFailure plays patterns of failure between 2 s and 6 s against an instance with a call every 100 ms.
func TestPatternsOfFailure(t *testing.T) {
	const from, to, soon = 2 * time.Second, 6 * time.Second, 300 * time.Millisecond
	tests := []struct {
		name    string
		answers func(time.Duration, Scope, int, bool) answer
		// closedBy is when calls are refused at the latest after the failure began; 0 means that none are refused.
		closedBy time.Duration
	}{
		{"store silent", during(from, to, "", never), 900 * time.Millisecond},
		{"one partition silent", during(from, to, "s0", never), 900 * time.Millisecond},
		{"store resets calls", during(from, to, "", answer{time.Millisecond, Unanswered}), 200 * time.Millisecond},
		{"store refuses the instance", during(from, to, "", answer{time.Millisecond, Refused}), 200 * time.Millisecond},
		{"store throttles the instance", during(from, to, "", answer{time.Millisecond, Throttled}), 200 * time.Millisecond},
		{"store slow, 0.3 s", during(from, to, "", answer{300 * time.Millisecond, Answered}), 0},
		{"store slow, 0.7 s", during(from, to, "", answer{700 * time.Millisecond, Answered}), 0},
		{"store slow, 2 s", during(from, to, "", answer{2 * time.Second, Answered}), 900 * time.Millisecond},
		{"every other answer lost", func(_ time.Duration, _ Scope, n int, probe bool) answer {
			if n%2 == 0 && !probe {
				return never
			}
			return prompt
		}, 0},
		{"silent on old connections", func(at time.Duration, _ Scope, _ int, probe bool) answer {
			if at >= from && at < to && !probe {
				return never
			}
			return prompt
		}, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			r := play(8*time.Second, 100*time.Millisecond, []Scope{"s0"}, test.answers)
			if test.closedBy == 0 {
				assert.Equal(t, r.refused, 0)
				return
			}
			assert.Assert(t, r.firstRefusal > from && r.firstRefusal-from <= test.closedBy, "first refused at %v", r.firstRefusal)
			assert.Assert(t, r.lastRefusal < to+soon, "last refused at %v", r.lastRefusal)
			assert.Assert(t, r.wronged <= int(soon/(100*time.Millisecond)), "%d calls refused that would have been answered", r.wronged)
			assert.Assert(t, r.probes < 40, "%d probes", r.probes)
		})
	}
}

// TestOnePartitionSilent checks that only calls to the silent partition are refused, and that the store stays reachable.
func TestOnePartitionSilent(t *testing.T) {
	for _, silent := range []Scope{"s0", "main"} {
		r := play(4*time.Second, 100*time.Millisecond, []Scope{"s0", "s1", "main"}, during(time.Second, time.Hour, silent, never))
		assert.Assert(t, r.judge.Decide(r.now, silent).Refuse)
		assert.Assert(t, !r.judge.Decide(r.now, "s1").Refuse)
		assert.Assert(t, !r.judge.Decide(r.now, "never used").Refuse)
		assert.Assert(t, r.judge.Reachable(r.now))
	}
}

// TestStoreAway checks that an instance that makes no calls for clients knows from its feed that the store is away and
// back, and that the time to try again grows with the outage.
func TestStoreAway(t *testing.T) {
	r := play(3*time.Second, time.Hour, nil, during(time.Second, time.Hour, "", never))
	assert.Assert(t, !r.judge.Reachable(r.now))
	first := r.judge.Decide(r.now, "s0")
	assert.Assert(t, first.Refuse && first.Reason == Silent && first.RetryAfter == time.Second, "%+v", first)
	r = play(8*time.Second, time.Hour, nil, during(time.Second, time.Hour, "", never))
	assert.Equal(t, r.judge.Decide(r.now, "s0").RetryAfter, 3*time.Second)
	r = play(4*time.Second, time.Hour, nil, during(time.Second, 3*time.Second, "", never))
	assert.Assert(t, r.judge.Reachable(r.now) && !r.judge.Decide(r.now, "s0").Refuse)
}

// TestPausedProcess checks that no call is refused after a pause of the process, in which the answers to its calls could
// not be read.
func TestPausedProcess(t *testing.T) {
	j := New("main")
	id, feed := j.Sent(start, "s0"), j.FeedSent(start, 600*time.Millisecond)
	awake := start.Add(5 * time.Second)
	assert.Assert(t, !j.Decide(awake, "s0").Refuse && j.Reachable(awake))
	probes := map[Scope]CallID{}
	for probe, due, _ := j.NextProbe(awake); due; probe, due, _ = j.NextProbe(awake) {
		probes[probe.Scope] = probe.ID
	}
	assert.Equal(t, len(probes), 2)
	// The call was cancelled at the end of the pause, and its answer comes too late.
	j.Ended(awake, id, Unanswered)
	j.Ended(awake, feed, Unanswered)
	assert.Assert(t, !j.Decide(awake, "s0").Refuse && j.Reachable(awake))
	for _, probe := range probes {
		j.Ended(awake.Add(10*time.Millisecond), probe, Answered)
	}
	_, due, _ := j.NextProbe(awake.Add(10 * time.Millisecond))
	assert.Assert(t, !due)
}

// TestArrivingAnswerIsNotSilence checks that a scope whose answer takes long to arrive counts as serving, and as silent when
// no further part arrives.
func TestArrivingAnswerIsNotSilence(t *testing.T) {
	const parts = 20
	j := New("")
	now := start
	id := j.Sent(now, "a")
	for range parts {
		now = now.Add(SuspicionDelay - tick)
		j.Arrived(now, id)
		_, due, _ := j.NextProbe(now)
		assert.Assert(t, !due)
	}
	probe, due, _ := j.NextProbe(now.Add(SuspicionDelay))
	assert.Assert(t, due)
	assert.Equal(t, probe.Reason, Silent)
}
