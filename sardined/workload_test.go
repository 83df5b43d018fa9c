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

// jobPollInterval is the time between two queries of a job's state by the caller that submitted it.
const jobPollInterval = 5 * time.Second

// workload submits jobs and sends requests to instances as client accounts do, and records the responses for the final
// checks.
type workload struct {
	*system
	group errgroup.Group

	mu             sync.Mutex
	jobCount       int
	requestCount   int
	pendingJobs    map[string]bool
	acceptedJobs   []gang.JobView
	jobsByEndState map[ident.JobState][]ident.Job
	outcomes       map[string]int
	notRunPaths    []string
	answeredPaths  []string
	claimPaths     []string
}

// newWorkload returns a workload for s that has no jobs and requests yet.
func newWorkload(s *system) *workload {
	return &workload{system: s, pendingJobs: map[string]bool{}, jobsByEndState: map[ident.JobState][]ident.Job{}, outcomes: map[string]int{}}
}

// startJob starts a goroutine that submits a gang until it is accepted, and then polls it until it has ended.
func (w *workload) startJob(spec gang.JobSpec) {
	w.mu.Lock()
	key := fmt.Sprintf("job-%d", w.jobCount)
	account := accounts[w.jobCount%len(accounts)]
	w.jobCount++
	w.pendingJobs[key] = true
	w.mu.Unlock()
	w.group.Go(func() error {
		id := w.submitUntilAccepted(account, key, spec)
		if id != "" {
			w.followJob(account, id)
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.pendingJobs, key)
		return nil
	})
}

// submitUntilAccepted submits a gang with an idempotency key until it is accepted, and sometimes once more, and returns
// the job's id. The id is empty if the gang can never run or the test is over.
func (w *workload) submitUntilAccepted(account, key string, spec gang.JobSpec) ident.Job {
	header := map[string]string{caller.HeaderIdempotencyKey: key}
	var first gang.JobView
	for !w.finished.Load() {
		r := w.call(w.randomInstance(), account, http.MethodPost, "/v1/jobs", header, spec)
		switch {
		case r.Status == http.StatusAccepted:
			var view gang.JobView
			assert.Check(w.t, json.Unmarshal(r.Body, &view))
			if first.ID != "" && view.ID != first.ID {
				w.t.Errorf("idempotency key %s created jobs %s and %s", key, first.ID, view.ID)
			}
			if first.ID != "" || w.intN(3) > 0 {
				w.addAccepted(view)
				return view.ID
			}
			first = view
		case r.Status == http.StatusBadRequest && spec.Accelerators > maxGangSize(account, spec):
			return ""
		case r.Status >= 400 && r.Status < 500 && r.Status != http.StatusTooManyRequests:
			w.t.Errorf("%s was refused: %d %s", key, r.Status, r.Body)
			return first.ID
		}
		time.Sleep(time.Second)
	}
	return ""
}

// maxGangSize returns the number of accelerators of the largest gang like spec that an account can run under the
// document of the tests.
func maxGangSize(account string, spec gang.JobSpec) ident.Accelerators {
	if spec.Checkpointable {
		return place.MaxGangSize
	}
	return map[string]ident.Accelerators{"pricing": 32, "claims": 8}[account]
}

// addAccepted records a job that an instance has accepted.
func (w *workload) addAccepted(view gang.JobView) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.acceptedJobs = append(w.acceptedJobs, view)
}

// followJob waits until a job has ended, and checks a minute later that its final state has not changed.
func (w *workload) followJob(account string, id ident.Job) {
	state := w.awaitEnd(account, id)
	time.Sleep(time.Minute)
	if again := w.awaitEnd(account, id); again != state {
		w.t.Errorf("job %s ended as %s and then as %s", id, state, again)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobsByEndState[state] = append(w.jobsByEndState[state], id)
}

// awaitEnd waits until a job has ended and returns its final state. It returns Queued if the job is unknown or the test
// is over.
func (w *workload) awaitEnd(account string, id ident.Job) ident.JobState {
	for !w.finished.Load() {
		var view gang.JobView
		r := w.call(w.randomInstance(), account, http.MethodGet, "/v1/jobs/"+string(id), nil, nil)
		if r.Status == http.StatusOK && assert.Check(w.t, json.Unmarshal(r.Body, &view)) && view.State.Terminal() {
			if view.State == ident.Failed {
				w.t.Logf("job %s (%s) failed after attempt %d: %s", id, view.Spec.Command, view.Attempt, view.Reason)
			}
			return view.State
		}
		if r.Status == http.StatusNotFound {
			w.t.Errorf("job %s is unknown", id)
			return ident.Queued
		}
		time.Sleep(jobPollInterval)
	}
	return ident.Queued
}

// cancelLastJob starts a goroutine that cancels the job that was accepted last.
func (w *workload) cancelLastJob() {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.acceptedJobs) == 0 {
		return
	}
	job := w.acceptedJobs[len(w.acceptedJobs)-1]
	w.group.Go(func() error {
		w.call(w.randomInstance(), string(job.Account), http.MethodDelete, "/v1/jobs/"+string(job.ID), nil, nil)
		return nil
	})
}

// startRequest starts a goroutine that sends a request up to three times with the same idempotency key, until it is
// answered. It records the request if each response says that the request did not run.
func (w *workload) startRequest(prefix string) {
	w.mu.Lock()
	path := fmt.Sprintf("%s/%d", prefix, w.requestCount)
	w.requestCount++
	if prefix == "/claims" {
		w.claimPaths = append(w.claimPaths, path)
	}
	w.mu.Unlock()
	w.group.Go(func() error {
		mayHaveRun := false
		for range 3 {
			outcome := w.sendRequest(path)
			mayHaveRun = mayHaveRun || outcome != ident.NotRun
			if outcome == ident.Answered {
				return nil
			}
			time.Sleep(time.Second)
		}
		if !mayHaveRun {
			w.mu.Lock()
			defer w.mu.Unlock()
			w.notRunPaths = append(w.notRunPaths, path)
		}
		return nil
	})
}

// sendRequest sends a request once and returns its outcome.
func (w *workload) sendRequest(path string) ident.Outcome {
	header := map[string]string{caller.HeaderIdempotencyKey: strings.ReplaceAll(path, "/", "-")}
	r := w.call(w.randomInstance(), accounts[0], http.MethodPost, "/r"+path+"?work=20ms", header, path)
	outcome := r.Header.Get(caller.HeaderOutcome)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.outcomes[outcome]++
	switch outcome {
	case ident.NotRun.String():
		return ident.NotRun
	case ident.Answered.String():
		if r.Status != http.StatusOK {
			return ident.Unknown
		}
		var echoed server.Response
		if assert.Check(w.t, json.Unmarshal(r.Body, &echoed), "response to %s", path) && !strings.HasPrefix(echoed.Path, path) {
			w.t.Errorf("%s got the response to %s", path, echoed.Path)
		}
		w.answeredPaths = append(w.answeredPaths, path)
		return ident.Answered
	}
	return ident.Unknown
}

// finish waits until all goroutines of the workload are done and all instances run the same version, and then compares
// the responses with the ledger of what ran. The test fails if that takes longer than limit.
func (w *workload) finish(limit time.Duration) {
	w.t.Helper()
	w.await(limit, "the end of all jobs", func() bool {
		w.mu.Lock()
		defer w.mu.Unlock()
		return len(w.pendingJobs) == 0
	})
	assert.Check(w.t, w.group.Wait())
	w.await(time.Minute, "the same version on all instances", w.versionsAgree)
	w.world.Ledger.AddExpected(ledger.Expected{Succeeded: w.jobsByEndState[ident.Succeeded]})
	report := w.world.Ledger.Report()
	totals := report.Totals
	w.t.Logf("jobs %d, ended %s, requests %d, outcomes %v, faults triggered %v, totals %+v",
		w.jobCount, w.formatEndStates(), w.requestCount, w.outcomes, w.world.Faults.TriggerCounts(), totals)
	if totals.Lost+totals.Doubled+totals.Partly+totals.Overlapping+totals.NotRunButRan > 0 {
		w.t.Errorf("the ledger reports violations: %+v", totals)
		w.logAttempts(report)
	}
	w.checkRequests()
	w.checkViolations()
}

// formatEndStates returns a text with the number of jobs in each final state.
func (w *workload) formatEndStates() string {
	var parts []string
	for state, jobs := range w.jobsByEndState {
		parts = append(parts, fmt.Sprintf("%s: %d", state, len(jobs)))
	}
	return strings.Join(parts, ", ")
}

// logAttempts logs the job attempts and requests in a report that may explain a violation.
func (w *workload) logAttempts(report ledger.Report) {
	for _, a := range report.Attempts {
		if a.Attempt > 1 || a.Partly > a.Lease {
			w.t.Logf("%+v", a)
		}
	}
	w.t.Logf("repeated: %+v", report.Repeated)
}

// checkRequests checks that requests reported as not run did not run and that answered ones did. Requests for claims,
// which must not be repeated, must have run at most once.
func (w *workload) checkRequests() {
	for _, path := range w.notRunPaths {
		if n := w.world.Ledger.RunCount(path); n > 0 {
			w.t.Errorf("%s was reported as not run and ran %d times", path, n)
		}
	}
	for _, path := range w.answeredPaths {
		if w.world.Ledger.RunCount(path) == 0 {
			w.t.Errorf("%s was answered and did not run", path)
		}
	}
	for _, path := range w.claimPaths {
		if n := w.world.Ledger.RunCount(path); n > 1 {
			w.t.Errorf("%s ran %d times", path, n)
		}
	}
}

// checkViolations checks that no instance, running or stopped, has detected a violation of an invariant.
func (w *workload) checkViolations() {
	violations := w.violations
	for _, i := range w.liveInstances() {
		violations += w.runningAt(i).violationCount()
	}
	if violations > 0 {
		w.t.Errorf("the instances detected %d invariant violations", violations)
	}
}

// versionsAgree reports whether all running instances have the same version of the document in force.
func (s *system) versionsAgree() bool {
	versions := map[ident.Version]bool{}
	for _, i := range s.liveInstances() {
		versions[s.runningAt(i).daemon.agent.Report().Version] = true
	}
	return len(versions) == 1
}
