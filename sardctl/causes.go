package main

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"
)

// The messages of the scheduler's log from which causes are told.
const (
	messageTakenIn = "job taken in"
	messageStarted = "part started"
	messageStopped = "part is stopped"
	messageEnded   = "part ended"
	messageJobEnd  = "job ended"
)

// Causes that are no reason of a stop or kind of end.
const (
	causeNone     = "in time"
	causeOpen     = "not ended"
	causeFailed   = "failed"
	causeWait     = "waited for the first start"
	causeLongWork = "work longer than estimated"
)

const (
	// longWait is the least wait that counts as a cause.
	longWait = 500 * time.Millisecond
	// accelerator weighs an accelerator against processor cores.
	accelerator = 8
	milliCores  = 1000
)

type causesCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
	session *session
}

// Execute prints why jobs were late, and by what work was lost, from the logs of all instances.
func (c *causesCommand) Execute([]string) error {
	var events []logEvent
	err := eachLog(c.Args.Files, c.session.in, func(in io.Reader) error {
		return scanLog(in, "sched", func(text string) {
			var e logEvent
			if json.Unmarshal([]byte(text), &e) == nil {
				events = append(events, e)
			}
		})
	})
	if err != nil {
		return err
	}
	slices.SortStableFunc(events, func(a, b logEvent) int { return a.Time.Compare(b.Time) })
	h := history{jobs: map[string]*jobHistory{}, lost: map[string]float64{}}
	for _, e := range events {
		h.take(e)
	}
	found := h.causes()
	return c.session.print(found, func(w *rows) {
		w.row("PRIORITY", "CAUSE", "JOBS", "MEAN WAIT", "MEAN OVER OBJECTIVE")
		for _, r := range found.Jobs {
			w.row(r.Priority, r.Cause, r.Jobs, r.MeanWait, r.MeanOver)
		}
		w.section()
		w.row("LOST WORK", "CORE SECONDS")
		for _, r := range found.Lost {
			w.row(r.Reason, int64(r.CoreSeconds))
		}
	})
}

// logEvent is a line of the scheduler's log.
type logEvent struct {
	Time        time.Time `json:"@timestamp"`
	Message     string    `json:"@message"`
	Job         string    `json:"job"`
	Part        string    `json:"part"`
	Attempt     int       `json:"attempt"`
	Reason      string    `json:"reason"`
	How         string    `json:"how"`
	State       string    `json:"state"`
	Priority    int       `json:"priority"`
	TookMs      int64     `json:"took_ms"`
	ObjectiveMs int64     `json:"objective_ms"`
	Need        struct{ CPU, Accelerators int64 }
}

// attemptKey names an attempt of a part.
type attemptKey struct {
	part   string
	number int
}

// jobHistory is what the logs tell of a job.
type jobHistory struct {
	takenIn, first time.Time
	priority       int
	weight         float64
	starts         map[attemptKey]time.Time
	// troubles counts the reasons of stops and the ends that were not well.
	troubles map[string]int
	end      *logEvent
}

// history is what the logs tell of all jobs.
type history struct {
	jobs map[string]*jobHistory
	// lost is the work that was stopped or ended badly, by reason, in core-seconds.
	lost map[string]float64
}

func (h *history) take(e logEvent) {
	id, _, _ := strings.Cut(cmp.Or(e.Job, e.Part), ".")
	j := h.jobs[id]
	if j == nil {
		if e.Message != messageTakenIn {
			return
		}
		j = &jobHistory{
			takenIn: e.Time, priority: e.Priority, starts: map[attemptKey]time.Time{}, troubles: map[string]int{},
			weight: float64(e.Need.CPU)/milliCores + float64(e.Need.Accelerators*accelerator),
		}
		h.jobs[id] = j
	}
	key := attemptKey{part: e.Part, number: e.Attempt}
	switch e.Message {
	case messageStarted:
		if j.first.IsZero() {
			j.first = e.Time
		}
		j.starts[key] = e.Time
	case messageStopped:
		h.lose(j, key, e.Reason, e.Time)
	case messageEnded:
		if e.How != "Done" && e.How != "Stopped" {
			h.lose(j, key, e.How, e.Time)
		}
	case messageJobEnd:
		j.end = &e
	}
}

// lose counts the work of an attempt as lost.
func (h *history) lose(j *jobHistory, key attemptKey, reason string, at time.Time) {
	j.troubles[reason]++
	if began, ok := j.starts[key]; ok {
		h.lost[reason] += at.Sub(began).Seconds() * j.weight
		delete(j.starts, key)
	}
}

// cause tells why the job was late.
func (j *jobHistory) cause() string {
	switch {
	case j.end == nil:
		return causeOpen
	case j.end.State == "Failed":
		return causeFailed
	case j.over() <= 0:
		return causeNone
	case j.wait() > longWait && 2*j.wait() > j.over():
		return causeWait
	}
	most := causeLongWork
	for reason, count := range j.troubles {
		if best := j.troubles[most]; count > best || count == best && reason < most {
			most = reason
		}
	}
	return most
}

func (j *jobHistory) over() time.Duration {
	if j.end == nil {
		return 0
	}
	return time.Duration(j.end.TookMs-j.end.ObjectiveMs) * time.Millisecond
}

func (j *jobHistory) wait() time.Duration {
	if j.first.IsZero() {
		return 0
	}
	return j.first.Sub(j.takenIn)
}

// causeRow counts jobs of a priority with one cause.
type causeRow struct {
	Priority           int
	Cause              string
	Jobs               int
	MeanWait, MeanOver time.Duration
}

// lostRow is the work that was lost for a reason.
type lostRow struct {
	Reason      string
	CoreSeconds float64
}

// causeReport is what the command prints.
type causeReport struct {
	Jobs []causeRow
	Lost []lostRow
}

// causes sums the jobs up, by priority and cause; cancelled ones are left out.
func (h *history) causes() causeReport {
	type key struct {
		priority int
		cause    string
	}
	sums := map[key]*causeRow{}
	for _, j := range h.jobs {
		if j.end != nil && j.end.State == "Cancelled" {
			continue
		}
		k := key{priority: j.priority, cause: j.cause()}
		if sums[k] == nil {
			sums[k] = &causeRow{Priority: k.priority, Cause: k.cause}
		}
		sums[k].Jobs++
		sums[k].MeanWait += j.wait()
		sums[k].MeanOver += j.over()
	}
	var report causeReport
	for _, r := range sums {
		r.MeanWait = (r.MeanWait / time.Duration(r.Jobs)).Truncate(time.Millisecond)
		r.MeanOver = (r.MeanOver / time.Duration(r.Jobs)).Truncate(time.Millisecond)
		report.Jobs = append(report.Jobs, *r)
	}
	slices.SortFunc(report.Jobs, func(a, b causeRow) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Jobs, a.Jobs), cmp.Compare(a.Cause, b.Cause))
	})
	for reason, lost := range h.lost {
		report.Lost = append(report.Lost, lostRow{Reason: reason, CoreSeconds: lost})
	}
	slices.SortFunc(report.Lost, func(a, b lostRow) int {
		return cmp.Or(cmp.Compare(b.CoreSeconds, a.CoreSeconds), cmp.Compare(a.Reason, b.Reason))
	})
	return report
}
