package main

import (
	"cmp"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/caller"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/oper"
)

// summary is the output of "sardctl report": completion times of jobs and fragmentation of domains.
type summary struct {
	// Ended holds the number of jobs that have ended, by final state.
	Ended map[string]int
	// Open is the number of jobs that have not ended.
	Open int
	// MeanCompletion and P99Completion are the mean and the 99th percentile of the times from submission to end of the
	// jobs that succeeded.
	MeanCompletion ident.Duration
	P99Completion  ident.Duration
	Domains        []domainReport
}

// domainReport shows how many accelerators of a domain are free and how fragmented they are. Fragmentation and Stranded
// are shares from 0 to 1, which package place defines.
type domainReport struct {
	DataCentre    ident.DataCentre
	Accelerators  ident.Accelerators
	Free          ident.Accelerators
	Fragmentation float64
	Stranded      float64
}

// reportCommand implements "sardctl report".
type reportCommand struct{ session *session }

// Execute prints the completion times of jobs and the fragmentation of domains.
func (c *reportCommand) Execute([]string) error {
	jobs, err := fetch[caller.JobList](c.session, newGetCall(oper.PathJobs))
	if err != nil {
		return err
	}
	status, err := fetch[oper.StatusView](c.session, newGetCall(oper.PathStatus))
	if err != nil {
		return err
	}
	r := newSummary(jobs.Jobs, status)
	return c.session.print(r, r.writeTable)
}

// newSummary computes the summary of all jobs, and of the domains in status.
func newSummary(jobs []gang.JobView, status oper.StatusView) summary {
	r := summary{Ended: map[string]int{}}
	var times []time.Duration
	for _, job := range jobs {
		if !job.State.Terminal() {
			r.Open++
			continue
		}
		r.Ended[job.State.String()]++
		if job.State == ident.Succeeded {
			times = append(times, job.Ended.Sub(job.Submitted))
		}
	}
	r.MeanCompletion, r.P99Completion = meanAndP99(times)
	for _, d := range status.Domains {
		r.Domains = append(r.Domains, domainReport{
			DataCentre: d.DataCentre, Accelerators: d.Summary.Accelerators, Free: d.Summary.Free,
			Fragmentation: d.Summary.Fragmentation, Stranded: d.Summary.Stranded,
		})
	}
	return r
}

// meanAndP99 returns the mean and the 99th percentile (nearest rank) of times, or 0 if there are none. It sorts times.
func meanAndP99(times []time.Duration) (mean, p99 ident.Duration) {
	if len(times) == 0 {
		return 0, 0
	}
	slices.SortFunc(times, func(a, b time.Duration) int { return cmp.Compare(a, b) })
	var sum time.Duration
	for _, t := range times {
		sum += t
	}
	rank := (len(times)*99 + 99) / 100
	return ident.Duration(sum / time.Duration(len(times))), ident.Duration(times[rank-1])
}

// writeTable prints the summary as tables.
func (r summary) writeTable(w *tableWriter) {
	w.writeRow("JOBS", "COUNT")
	for state := ident.Succeeded; state <= ident.Cancelled; state++ {
		w.writeRow(state, r.Ended[state.String()])
	}
	w.writeRow("not ended", r.Open)
	w.writeRow("COMPLETION TIME", "MEAN", "P99")
	w.writeRow("of those succeeded", r.MeanCompletion.Std().Round(time.Millisecond), r.P99Completion.Std().Round(time.Millisecond))
	w.writeRow("DOMAIN", "ACCELERATORS", "FREE", "FRAGMENTATION", "STRANDED")
	for _, d := range r.Domains {
		w.writeRow(d.DataCentre, d.Accelerators, d.Free, d.Fragmentation, d.Stranded)
	}
}
