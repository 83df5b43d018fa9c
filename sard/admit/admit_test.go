package admit

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// request is a submission with an objective of 7 s, whose result is of use for 21 s.
func request() Request {
	return Request{ID: "j", Account: "a", Priority: 1, Service: "s", Objective: 7 * time.Second, Path: 2 * time.Second}
}

// loaded returns a summary of a pool of 100 accelerators in which accounts have urgent work for the given numbers of
// seconds of the whole pool.
func loaded(seconds map[ident.Account]int) *Summary {
	l := ServiceLoad{Service: "s", Capacity: work.Resources{Accelerators: 100}}
	for _, account := range []ident.Account{"a", "b", "c"} {
		if s := seconds[account]; s > 0 {
			l.Add(account, 2, time.Second, 1, NewAmount(work.Resources{Accelerators: 100}, time.Duration(s)*time.Second))
		}
	}
	return &Summary{Epoch: 7, Services: []ServiceLoad{l}}
}

// TestDecide names the load that a summary tells of, and checks whether a submission of account a is refused.
func TestDecide(t *testing.T) {
	guaranteed, later, patient := request(), request(), request()
	guaranteed.Priority, later.Unbounded, patient.Objective = work.Guaranteed, true, time.Minute
	former, over := loaded(map[ident.Account]int{"a": 500}), loaded(map[ident.Account]int{"a": 500})
	former.Epoch, over.Over = 6, true
	burst := map[ident.Account]int{"a": 100, "b": 100, "c": 100}
	cases := []struct {
		name    string
		summary *Summary
		age     time.Duration
		request Request
		want    Reason
	}{
		{"no summary yet", nil, 0, request(), NoSummary},
		{"burst of all accounts", loaded(burst), 0, request(), TooLate},
		{"burst of this account", loaded(map[ident.Account]int{"a": 100}), 0, request(), TooLate},
		{"burst of another account", loaded(map[ident.Account]int{"b": 900}), 0, request(), InTime},
		{"backlog that has drained so far that the result may be of use", loaded(map[ident.Account]int{"a": 40}), 0, request(), InTime},
		{"burst of work that is more patient", loaded(burst), 0, Request{Account: "a", Priority: 1, Service: "s", Objective: 2 * time.Second, Path: 2 * time.Second}, InTime},
		{"burst, and a patient job", loaded(burst), 0, patient, InTime},
		{"burst, and a guaranteed job", loaded(burst), 0, guaranteed, Guaranteed},
		{"burst, and a job that is due later", loaded(burst), 0, later, Unbounded},
		{"burst that is over", over, 0, request(), NoPressure},
		{"stale summary", loaded(burst), maxAge + 1, request(), Stale},
		{"summary of a former holder", former, 0, request(), FormerHolder},
		{"summary without the service", &Summary{Epoch: 7}, 0, request(), NoPressure},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			v := Decide(View{Summary: c.summary, Age: c.age, Holder: 7}, c.request)
			assert.Equal(t, v.Reason, c.want)
			assert.Equal(t, v.Refused(), v.RetryAfter > 0)
		})
	}
}

// TestImpossibleSummariesAreUnreadable checks that impossible summaries, and those of another format, are not decoded.
func TestImpossibleSummariesAreUnreadable(t *testing.T) {
	summary := loaded(map[ident.Account]int{"a": 5})
	value, err := summary.Encode()
	assert.NilError(t, err)
	read, err := DecodeSummary(value)
	assert.NilError(t, err)
	assert.DeepEqual(t, read, summary)
	for _, impossible := range []float32{-1, float32(math.NaN()), float32(math.Inf(1))} {
		summary.Services[0].Running.CPU = impossible
		value, err = summary.Encode()
		assert.NilError(t, err)
		_, err = DecodeSummary(value)
		assert.ErrorContains(t, err, "impossible load")
	}
	value, err = work.Encode(struct{ Format int }{format + 1})
	assert.NilError(t, err)
	_, err = DecodeSummary(value)
	assert.ErrorContains(t, err, "format 2 is not 1")
}

// TestSummaryOfManyAccountsFitsARow encodes the load of a burst of very many accounts. The accounts with most work must be
// kept, as the others are only thought to wait for less long.
func TestSummaryOfManyAccountsFitsARow(t *testing.T) {
	const accounts, rowBytes = 1000, 64 << 10
	l := ServiceLoad{Service: "s", Capacity: work.Resources{Accelerators: 100}}
	for i := range accounts {
		for class := range slackClasses {
			l.Add(ident.Account(fmt.Sprint("account-", i)), 2, firstSlack<<class, i+1, NewAmount(work.Resources{CPU: 1, Accelerators: 1}, time.Minute))
		}
	}
	value, err := (&Summary{Services: []ServiceLoad{l, l}}).Encode()
	assert.NilError(t, err)
	assert.Assert(t, len(value) <= rowBytes, "%d bytes", len(value))
	read, err := DecodeSummary(value)
	assert.NilError(t, err)
	for i := range read.Services {
		kept := read.Services[i].Waiting
		assert.Assert(t, len(kept) > 20)
		assert.Equal(t, kept[0].Account, ident.Account("account-999"))
	}
}

// TestRetriesAreSpread lets 1,000 jobs be refused at once. They must not come back at the same time, and the ones whose
// delay costs less must come back later.
func TestRetriesAreSpread(t *testing.T) {
	const jobs = 1000
	perSecond := map[time.Duration]int{}
	sums := map[work.Priority]time.Duration{}
	for i := range jobs {
		for _, p := range []work.Priority{1, 2} {
			r := request()
			r.ID, r.Priority = ident.Job(fmt.Sprint(i)), p
			v := Decide(View{Summary: loaded(map[ident.Account]int{"a": 60}), Holder: 7}, r)
			assert.Assert(t, v.Refused() && v.RetryAfter%time.Second == 0 && v.RetryAfter >= v.Wait-ExpiryObjectives*r.Objective)
			sums[p] += v.RetryAfter
			perSecond[v.RetryAfter]++
		}
	}
	for at, count := range perSecond {
		assert.Assert(t, count < jobs/5, "%d come back after %v", count, at)
	}
	assert.Assert(t, sums[2] > sums[1])
}

// TestDelayCost checks that a delay costs nothing to a job that has time or is hopeless, and more the more is at stake.
func TestDelayCost(t *testing.T) {
	at := func(slack time.Duration) Standing {
		return Standing{Priority: 2, Objective: 10 * time.Second, Slack: slack, Work: CoreTime(time.Minute)}
	}
	assert.Equal(t, at(5*time.Second).DelayCost(time.Second), CoreTime(0))
	assert.Assert(t, at(time.Second).DelayCost(2*time.Second) > at(-20*time.Second+time.Second).DelayCost(2*time.Second))
	assert.Equal(t, at(-5*time.Second).DelayCost(time.Second), CoreTime(0))
	assert.Assert(t, at(-25*time.Second).Hopeless())
	first := at(time.Second)
	first.Priority = 1
	assert.Assert(t, first.DelayCost(2*time.Second) > at(time.Second).DelayCost(2*time.Second))
}

// TestStake names loads in which two jobs wait, and checks which one has the higher stake.
func TestStake(t *testing.T) {
	base := Waiting{
		Standing: Standing{Priority: 2, Objective: 10 * time.Second, Slack: time.Second, Work: CoreTime(time.Minute)},
		Left:     CoreTime(time.Minute), Accounts: 2,
	}
	cases := []struct {
		name string
		// change makes the first job out of an equal one.
		change func(*Waiting)
		more   bool
	}{
		{"burst of two kinds", func(w *Waiting) { w.Priority = 1 }, true},
		{"one job is patient", func(w *Waiting) { w.Slack = 9 * time.Second }, false},
		{"one job is late anyway", func(w *Waiting) { w.Slack = -9 * time.Second }, false},
		{"one job is about to lose its use", func(w *Waiting) { w.Slack = -19 * time.Second }, false},
		{"one job is hopeless", func(w *Waiting) { w.Slack = -30 * time.Second }, false},
		{"one job is nearly done", func(w *Waiting) { w.Left /= 4 }, true},
		{"burst of one account", func(w *Waiting) { w.AccountShare = 0.9 }, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			changed := base
			c.change(&changed)
			assert.Equal(t, changed.Stake() > base.Stake(), c.more)
			assert.Assert(t, changed.Stake() != base.Stake())
		})
	}
	large := base
	large.Work, large.Left = 10*large.Work, 10*large.Left
	assert.Equal(t, large.Stake(), base.Stake(), "large jobs are not left behind")
}
