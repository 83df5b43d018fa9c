package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/caller"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/standin/ledger"
	"github.com/sardineline/sardineline/standin/server"
)

// pollPause is the time between two looks of a caller at its job.
const pollPause = 5 * time.Second

// load is what callers do, and what they were told.
type load struct {
	*system
	group errgroup.Group

	mu       sync.Mutex
	jobs     int
	requests int
	waiting  map[string]bool
	known    []gang.JobView
	ended    map[ident.JobState][]ident.Job
	outcomes map[string]int
	notRun   []string
	answered []string
	claims   []string
}

func newLoad(s *system) *load {
	return &load{system: s, waiting: map[string]bool{}, ended: map[ident.JobState][]ident.Job{}, outcomes: map[string]int{}}
}

// submit has a caller submit a gang until it is accepted, and follow it to its end.
func (l *load) submit(spec gang.JobSpec) {
	l.mu.Lock()
	key := fmt.Sprintf("job-%d", l.jobs)
	account := accounts[l.jobs%len(accounts)]
	l.jobs++
	l.waiting[key] = true
	l.mu.Unlock()
	l.group.Go(func() error {
		id := l.accepted(account, key, spec)
		if id != "" {
			l.follow(account, id)
		}
		l.mu.Lock()
		defer l.mu.Unlock()
		delete(l.waiting, key)
		return nil
	})
}

// accepted submits a gang under one key until it is accepted, and now and then once more.
func (l *load) accepted(account, key string, spec gang.JobSpec) ident.Job {
	header := map[string]string{caller.HeaderIdempotencyKey: key}
	var first gang.JobView
	for !l.over.Load() {
		r := l.call(l.some(), account, http.MethodPost, "/v1/jobs", header, spec)
		switch {
		case r.Status == http.StatusAccepted:
			var view gang.JobView
			assert.Check(l.t, json.Unmarshal(r.Body, &view))
			if first.ID != "" && view.ID != first.ID {
				l.t.Errorf("%s gave jobs %s and %s", key, first.ID, view.ID)
			}
			if first.ID != "" || l.intN(3) > 0 {
				l.know(view)
				return view.ID
			}
			first = view
		case r.Status == http.StatusBadRequest && spec.Accelerators > holds(account, spec):
			return ""
		case r.Status >= 400 && r.Status < 500 && r.Status != http.StatusTooManyRequests:
			l.t.Errorf("%s was refused: %d %s", key, r.Status, r.Body)
			return first.ID
		}
		time.Sleep(time.Second)
	}
	return ""
}

// holds is the size of the largest gang like spec that an account can ever run, by the document of the rig.
func holds(account string, spec gang.JobSpec) ident.Accelerators {
	if spec.Checkpointable {
		return place.MaxGangSize
	}
	return map[string]ident.Accelerators{"pricing": 32, "claims": 8}[account]
}

func (l *load) know(view gang.JobView) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.known = append(l.known, view)
}

// follow looks at a job until it has ended, and a while later that its end stands.
func (l *load) follow(account string, id ident.Job) {
	state := l.end(account, id)
	time.Sleep(time.Minute)
	if again := l.end(account, id); again != state {
		l.t.Errorf("job %s ended as %s and then as %s", id, state, again)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.ended[state] = append(l.ended[state], id)
}

func (l *load) end(account string, id ident.Job) ident.JobState {
	for !l.over.Load() {
		var view gang.JobView
		r := l.call(l.some(), account, http.MethodGet, "/v1/jobs/"+string(id), nil, nil)
		if r.Status == http.StatusOK && assert.Check(l.t, json.Unmarshal(r.Body, &view)) && view.State.Terminal() {
			if view.State == ident.Failed {
				l.t.Logf("job %s (%s) failed after attempt %d: %s", id, view.Spec.Command, view.Attempt, view.Reason)
			}
			return view.State
		}
		if r.Status == http.StatusNotFound {
			l.t.Errorf("job %s is not known", id)
			return ident.Queued
		}
		time.Sleep(pollPause)
	}
	return ident.Queued
}

// cancel cancels a job that was accepted.
func (l *load) cancel() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if len(l.known) == 0 {
		return
	}
	job := l.known[len(l.known)-1]
	l.group.Go(func() error {
		l.call(l.some(), string(job.Account), http.MethodDelete, "/v1/jobs/"+string(job.ID), nil, nil)
		return nil
	})
}

// request has a caller send a request, and again under the same key until it is answered or outcomes are unknown.
func (l *load) request(prefix string) {
	l.mu.Lock()
	path := fmt.Sprintf("%s/%d", prefix, l.requests)
	l.requests++
	if prefix == "/claims" {
		l.claims = append(l.claims, path)
	}
	l.mu.Unlock()
	l.group.Go(func() error {
		ran := false
		for range 3 {
			outcome := l.send(path)
			ran = ran || outcome != ident.NotRun
			if outcome == ident.Answered {
				return nil
			}
			time.Sleep(time.Second)
		}
		if !ran {
			l.mu.Lock()
			defer l.mu.Unlock()
			l.notRun = append(l.notRun, path)
		}
		return nil
	})
}

// send sends a request once.
func (l *load) send(path string) ident.Outcome {
	header := map[string]string{caller.HeaderIdempotencyKey: strings.ReplaceAll(path, "/", "-")}
	r := l.call(l.some(), accounts[0], http.MethodPost, "/r"+path+"?work=20ms", header, path)
	outcome := r.Header.Get(caller.HeaderOutcome)
	l.mu.Lock()
	defer l.mu.Unlock()
	l.outcomes[outcome]++
	switch outcome {
	case ident.NotRun.String():
		return ident.NotRun
	case ident.Answered.String():
		if r.Status != http.StatusOK {
			return ident.Unknown
		}
		var answer server.Response
		if assert.Check(l.t, json.Unmarshal(r.Body, &answer), "answer to %s", path) && !strings.HasPrefix(answer.Path, path) {
			l.t.Errorf("%s got the answer of %s", path, answer.Path)
		}
		l.answered = append(l.answered, path)
		return ident.Answered
	}
	return ident.Unknown
}

// settle waits until all callers are done and all instances agree, and compares what callers were told with what ran.
func (l *load) settle(limit time.Duration) {
	l.t.Helper()
	l.await(limit, "the end of all jobs", func() bool {
		l.mu.Lock()
		defer l.mu.Unlock()
		return len(l.waiting) == 0
	})
	assert.Check(l.t, l.group.Wait())
	l.await(time.Minute, "one version everywhere", l.agreed)
	l.world.Ledger.AddExpected(ledger.Expected{Succeeded: l.ended[ident.Succeeded]})
	report := l.world.Ledger.Report()
	totals := report.Totals
	l.t.Logf("jobs %d, ended %s, requests %d, outcomes %v, faults drawn %v, totals %+v",
		l.jobs, l.ends(), l.requests, l.outcomes, l.world.Faults.TriggerCounts(), totals)
	if totals.Lost+totals.Doubled+totals.Partly+totals.Overlapping+totals.NotRunButRan > 0 {
		l.t.Errorf("the ledger tells of breaches: %+v", totals)
		l.showAttempts(report)
	}
	l.checkRequests()
	l.checkBreaches()
}

func (l *load) ends() string {
	var words []string
	for state, jobs := range l.ended {
		words = append(words, fmt.Sprintf("%s: %d", state, len(jobs)))
	}
	return strings.Join(words, ", ")
}

func (l *load) showAttempts(report ledger.Report) {
	for _, a := range report.Attempts {
		if a.Attempt > 1 || a.Partly > a.Lease {
			l.t.Logf("%+v", a)
		}
	}
	l.t.Logf("repeated: %+v", report.Repeated)
}

func (l *load) checkRequests() {
	for _, path := range l.notRun {
		if n := l.world.Ledger.RunCount(path); n > 0 {
			l.t.Errorf("%s was told as not run and ran %d times", path, n)
		}
	}
	for _, path := range l.answered {
		if l.world.Ledger.RunCount(path) == 0 {
			l.t.Errorf("%s was answered and did not run", path)
		}
	}
	for _, path := range l.claims {
		if n := l.world.Ledger.RunCount(path); n > 1 {
			l.t.Errorf("%s ran %d times", path, n)
		}
	}
}

func (l *load) checkBreaches() {
	broken := l.breaches
	for _, i := range l.live() {
		broken += l.at(i).broken()
	}
	if broken > 0 {
		l.t.Errorf("the instances saw %d broken promises", broken)
	}
}

// agreed tells whether all instances run the same version.
func (s *system) agreed() bool {
	versions := map[ident.Version]bool{}
	for _, i := range s.live() {
		versions[s.at(i).daemon.agent.Report().Version] = true
	}
	return len(versions) == 1
}
