package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/worker"
)

// Expected holds the results that were reported to callers: the jobs that succeeded, the requests that were answered
// and the requests that did not run.
type Expected struct {
	Succeeded []ident.Job
	Answered  []ident.Request
	NotRun    []ident.Request
}

// Report is the content of a Ledger with the totals and violations derived from it.
type Report struct {
	Totals Totals
	// Attempts are all attempts of jobs for which a worker has reserved at least one part.
	Attempts []Attempt
	// Repeated are the request ids and idempotency keys that ran more than once.
	Repeated []Request
	// Refused is the number of requests and connections that backend servers refused, by reason.
	Refused map[string]uint64
}

// Totals holds the totals of a Report.
type Totals struct {
	// JobsStarted counts jobs of which at least one part ran. JobsCompleted counts those of them with an attempt in
	// which all parts of the gang succeeded.
	JobsStarted   int
	JobsCompleted int
	// Partly counts attempts in which some part ran without the whole gang for longer than the longest lease of the
	// attempt.
	Partly int
	// Overlapping counts jobs with two attempts that ran at the same time.
	Overlapping int
	// RequestsRun counts the request ids that ran. Runs counts all their runs, so it is larger if some ran again.
	RequestsRun int
	Runs        int
	// Lost counts jobs that were reported as succeeded but have no complete attempt, and requests that were reported as
	// answered but never ran.
	Lost int
	// Doubled counts jobs that ran again after an attempt was complete, and request ids and idempotency keys that ran
	// more than once although their path forbids it.
	Doubled int
	// NotRunButRan counts requests that ran although they were reported as not run.
	NotRunButRan int
}

// Attempt is the report of one attempt of a job.
type Attempt struct {
	Job     ident.Job
	Attempt ident.Attempt
	// Size is the number of parts in the gang: the number given in the reservations or, if larger, the number of
	// workers with a reservation.
	Size int
	// Lease is the duration of the longest lease among the reservations of the attempt.
	Lease    ident.Duration
	Complete bool
	// Partly is the longest period in which some part ran while another part of the gang had not started or had ended
	// without success.
	Partly ident.Duration
	Runs   []Run
}

// Run is one run of a part on a worker.
type Run struct {
	Worker  ident.Worker
	State   ident.PartState
	Started time.Time
	// Ended is zero while the part is running.
	Ended time.Time
}

// Report returns a report of the records as of now.
func (l *Ledger) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := Report{Refused: map[string]uint64{}}
	for reason, n := range l.refusals {
		report.Refused[reason] = n
	}
	now := time.Now()
	for part, a := range l.attempts {
		report.Attempts = append(report.Attempts, a.report(part, now))
	}
	slices.SortFunc(report.Attempts, func(a, b Attempt) int {
		return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Attempt, b.Attempt))
	})
	l.countJobs(&report, now)
	l.countRequests(&report)
	return report
}

// report returns the report of an attempt as of now.
func (a *attempt) report(part worker.Part, now time.Time) Attempt {
	report := Attempt{Job: part.Job, Attempt: part.Attempt, Size: a.gangSize, Lease: ident.Duration(a.longestLease)}
	done := map[ident.Worker]bool{}
	for _, r := range a.runs {
		report.Runs = append(report.Runs, Run{Worker: r.worker, State: r.state, Started: r.started, Ended: r.ended})
		if r.state == ident.PartDone {
			done[r.worker] = true
		}
	}
	report.Complete = a.gangSize > 0 && len(done) == a.gangSize
	report.Partly = ident.Duration(a.longestPartialRun(now))
	return report
}

// longestPartialRun returns the longest period in which some part ran while another part of the gang had not started or
// had ended without success.
func (a *attempt) longestPartialRun(now time.Time) time.Duration {
	boundaries := []time.Time{now}
	for _, r := range a.runs {
		boundaries = append(boundaries, r.started)
		if !r.ended.IsZero() {
			boundaries = append(boundaries, r.ended)
		}
	}
	slices.SortFunc(boundaries, time.Time.Compare)
	var longest, current time.Duration
	for i := 1; i < len(boundaries); i++ {
		if !a.runsPartiallyAt(boundaries[i-1]) {
			current = 0
			continue
		}
		current += boundaries[i].Sub(boundaries[i-1])
		longest = max(longest, current)
	}
	return longest
}

// runsPartiallyAt reports whether some part was running at the moment while another had not started, or had ended without
// success.
func (a *attempt) runsPartiallyAt(moment time.Time) bool {
	running := false
	runningOrDone := map[ident.Worker]bool{}
	for _, r := range a.runs {
		if r.started.After(moment) {
			continue
		}
		ended := !r.ended.IsZero() && !r.ended.After(moment)
		running = running || !ended
		runningOrDone[r.worker] = !ended || r.state == ident.PartDone
	}
	count := 0
	for _, ok := range runningOrDone {
		if ok {
			count++
		}
	}
	return running && count < a.gangSize
}

// countJobs adds to the report the totals that concern jobs.
func (l *Ledger) countJobs(report *Report, now time.Time) {
	jobs := map[ident.Job][]Attempt{}
	for _, a := range report.Attempts {
		jobs[a.Job] = append(jobs[a.Job], a)
		if a.Partly > a.Lease {
			report.Totals.Partly++
		}
	}
	complete := map[ident.Job]bool{}
	for job, attempts := range jobs {
		summary := summarizeJob(attempts, now)
		if summary.started {
			report.Totals.JobsStarted++
		}
		if summary.complete {
			report.Totals.JobsCompleted++
			complete[job] = true
		}
		if summary.overlapping {
			report.Totals.Overlapping++
		}
		if summary.doubled {
			report.Totals.Doubled++
		}
	}
	for _, job := range l.expected.Succeeded {
		if !complete[job] {
			report.Totals.Lost++
		}
	}
}

// jobSummary holds the properties of one job that Totals counts.
type jobSummary struct{ started, complete, overlapping, doubled bool }

// summarizeJob evaluates the attempts of one job, which must be in ascending order of their numbers.
func summarizeJob(attempts []Attempt, now time.Time) jobSummary {
	var summary jobSummary
	var lastEnd time.Time
	for _, a := range attempts {
		if len(a.Runs) == 0 {
			continue
		}
		begin, end := a.timeSpan(now)
		summary.overlapping = summary.overlapping || summary.started && begin.Before(lastEnd)
		summary.doubled = summary.doubled || summary.complete
		summary.started = true
		summary.complete = summary.complete || a.Complete
		lastEnd = end
	}
	return summary
}

// timeSpan returns the start of the first run of the attempt and the end of its last one, or now if one is running.
func (a Attempt) timeSpan(now time.Time) (begin, end time.Time) {
	begin = a.Runs[0].Started
	for _, r := range a.Runs {
		if r.Started.Before(begin) {
			begin = r.Started
		}
		ended := r.Ended
		if ended.IsZero() {
			ended = now
		}
		if ended.After(end) {
			end = ended
		}
	}
	return begin, end
}

// countRequests adds to the report the totals that concern requests. If all runs of an idempotency key had the same
// request id, it counts them only with that id.
func (l *Ledger) countRequests(report *Report) {
	report.Totals.RequestsRun = len(l.requests)
	for _, r := range l.requests {
		report.Totals.Runs += r.Runs
		l.countRepeated(report, r)
	}
	for _, byKey := range l.keys {
		if r := l.requests[byKey.Request]; r == nil || r.Runs != byKey.Runs {
			l.countRepeated(report, byKey)
		}
	}
	for _, id := range l.expected.Answered {
		if l.requests[id] == nil {
			report.Totals.Lost++
		}
	}
	for _, id := range l.expected.NotRun {
		if l.requests[id] != nil {
			report.Totals.NotRunButRan++
		}
	}
}

// countRepeated adds a request id or idempotency key that ran more than once to the report, and to Totals.Doubled if
// its path forbids that.
func (l *Ledger) countRepeated(report *Report, r *Request) {
	if r.Runs < 2 {
		return
	}
	report.Repeated = append(report.Repeated, *r)
	if l.mustRunOnce(r.Path) {
		report.Totals.Doubled++
	}
}
