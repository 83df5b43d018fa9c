package ledger

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/worker"
)

// Expected is what callers were told: jobs that succeeded, requests that were answered and requests that did not run.
type Expected struct {
	Succeeded []ident.Job
	Answered  []ident.Request
	NotRun    []ident.Request
}

// Report is the content of a Ledger.
type Report struct {
	Totals Totals
	// Attempts are all attempts of jobs of which a part was reserved.
	Attempts []Attempt
	// Repeated are the requests and keys that ran more than once.
	Repeated []Request
	// Refused counts refusals of backend servers by reason.
	Refused map[string]uint64
}

// Totals sums a report up.
type Totals struct {
	// JobsStarted and JobsCompleted count jobs of which a part ran, and of which an attempt ran whole to its end.
	JobsStarted   int
	JobsCompleted int
	// Partly counts attempts that ran partly for longer than their short lease.
	Partly int
	// Overlapping counts jobs of which two attempts ran at the same time.
	Overlapping int
	// RequestsRun counts request ids that ran; Runs counts how often.
	RequestsRun int
	Runs        int
	// Lost counts jobs told Succeeded and requests told answered that never ran to their end.
	Lost int
	// Doubled counts jobs that ran after they were complete, and not-to-be-repeated ids and keys that ran again.
	Doubled int
	// NotRunButRan counts requests told as not run that ran.
	NotRunButRan int
}

// Attempt is what ran of one attempt of a job.
type Attempt struct {
	Job     ident.Job
	Attempt ident.Attempt
	// Size is the number of the gang's parts, as told or else as reserved.
	Size int
	// Lease is the longest lease of a reservation.
	Lease    ident.Duration
	Complete bool
	// Partly is the longest time for which some part ran without the whole gang.
	Partly ident.Duration
	Runs   []Run
}

// Run is one run of a part.
type Run struct {
	Worker  ident.Worker
	State   ident.PartState
	Started time.Time
	// Ended is zero while the part runs.
	Ended time.Time
}

// Report computes the report as of now.
func (l *Ledger) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	report := Report{Refused: map[string]uint64{}}
	for reason, n := range l.refused {
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

func (a *attempt) report(part worker.Part, now time.Time) Attempt {
	out := Attempt{Job: part.Job, Attempt: part.Attempt, Size: a.size, Lease: ident.Duration(a.lease)}
	done := map[ident.Worker]bool{}
	for _, r := range a.runs {
		out.Runs = append(out.Runs, Run{Worker: r.worker, State: r.state, Started: r.started, Ended: r.ended})
		if r.state == ident.PartDone {
			done[r.worker] = true
		}
	}
	out.Complete = a.size > 0 && len(done) == a.size
	out.Partly = ident.Duration(a.partly(now))
	return out
}

// partly returns the longest time for which a part ran without the whole gang.
func (a *attempt) partly(now time.Time) time.Duration {
	moments := []time.Time{now}
	for _, r := range a.runs {
		moments = append(moments, r.started)
		if !r.ended.IsZero() {
			moments = append(moments, r.ended)
		}
	}
	slices.SortFunc(moments, time.Time.Compare)
	var longest, current time.Duration
	for i := 1; i < len(moments); i++ {
		if !a.partlyAt(moments[i-1]) {
			current = 0
			continue
		}
		current += moments[i].Sub(moments[i-1])
		longest = max(longest, current)
	}
	return longest
}

func (a *attempt) partlyAt(when time.Time) bool {
	running := false
	whole := map[ident.Worker]bool{}
	for _, r := range a.runs {
		if r.started.After(when) {
			continue
		}
		ended := !r.ended.IsZero() && !r.ended.After(when)
		running = running || !ended
		whole[r.worker] = !ended || r.state == ident.PartDone
	}
	good := 0
	for _, ok := range whole {
		if ok {
			good++
		}
	}
	return running && good < a.size
}

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
		t := timeline(attempts, now)
		if t.started {
			report.Totals.JobsStarted++
		}
		if t.complete {
			report.Totals.JobsCompleted++
			complete[job] = true
		}
		if t.overlapping {
			report.Totals.Overlapping++
		}
		if t.doubled {
			report.Totals.Doubled++
		}
	}
	for _, job := range l.expected.Succeeded {
		if !complete[job] {
			report.Totals.Lost++
		}
	}
}

type jobLine struct{ started, complete, overlapping, doubled bool }

// timeline compares the attempts of one job, which are in their order.
func timeline(attempts []Attempt, now time.Time) jobLine {
	var line jobLine
	var lastEnd time.Time
	for _, a := range attempts {
		if len(a.Runs) == 0 {
			continue
		}
		begin, end := a.span(now)
		line.overlapping = line.overlapping || line.started && begin.Before(lastEnd)
		line.doubled = line.doubled || line.complete
		line.started = true
		line.complete = line.complete || a.Complete
		lastEnd = end
	}
	return line
}

func (a Attempt) span(now time.Time) (begin, end time.Time) {
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

func (l *Ledger) countRequests(report *Report) {
	report.Totals.RequestsRun = len(l.requests)
	for _, r := range l.requests {
		report.Totals.Runs += r.Runs
		l.countRepeated(report, r)
	}
	for _, k := range l.keys {
		if r := l.requests[k.Request]; r == nil || r.Runs != k.Runs {
			l.countRepeated(report, k)
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

func (l *Ledger) countRepeated(report *Report, r *Request) {
	if r.Runs < 2 {
		return
	}
	report.Repeated = append(report.Repeated, *r)
	if l.once(r.Path) {
		report.Totals.Doubled++
	}
}
