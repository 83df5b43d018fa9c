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

// summary sums up the two measures.
type summary struct {
	// Ended counts the ended jobs by state.
	Ended map[string]int
	// Open counts the jobs that have not ended.
	Open int
	// MeanCompletion and P99Completion are of the jobs that succeeded, from submission to end.
	MeanCompletion ident.Duration
	P99Completion  ident.Duration
	Domains        []domainReport
}

// domainReport is a domain's fragmentation now.
type domainReport struct {
	DataCentre    ident.DataCentre
	Accelerators  ident.Accelerators
	Free          ident.Accelerators
	Fragmentation float64
	Stranded      float64
}

type reportCommand struct{ session *session }

// Execute prints completion time and fragmentation.
func (c *reportCommand) Execute([]string) error {
	jobs, err := fetch[caller.JobList](c.session, get(oper.PathJobs))
	if err != nil {
		return err
	}
	status, err := fetch[oper.StatusView](c.session, get(oper.PathStatus))
	if err != nil {
		return err
	}
	r := newSummary(jobs.Jobs, status)
	return c.session.print(r, r.rows)
}

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
	r.MeanCompletion, r.P99Completion = summarise(times)
	for _, d := range status.Domains {
		r.Domains = append(r.Domains, domainReport{
			DataCentre: d.DataCentre, Accelerators: d.Summary.Accelerators, Free: d.Summary.Free,
			Fragmentation: d.Summary.Fragmentation, Stranded: d.Summary.Stranded,
		})
	}
	return r
}

// summarise returns the mean and the 99th percentile of times, by nearest rank; 0 for none.
func summarise(times []time.Duration) (mean, p99 ident.Duration) {
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

func (r summary) rows(w *rows) {
	w.row("JOBS", "COUNT")
	for state := ident.Succeeded; state <= ident.Cancelled; state++ {
		w.row(state, r.Ended[state.String()])
	}
	w.row("not ended", r.Open)
	w.row("COMPLETION TIME", "MEAN", "P99")
	w.row("of those succeeded", r.MeanCompletion.Std().Round(time.Millisecond), r.P99Completion.Std().Round(time.Millisecond))
	w.row("DOMAIN", "ACCELERATORS", "FREE", "FRAGMENTATION", "STRANDED")
	for _, d := range r.Domains {
		w.row(d.DataCentre, d.Accelerators, d.Free, d.Fragmentation, d.Stranded)
	}
}
