package main

import (
	"cmp"
	"encoding/json"
	"io"
	"slices"
	"strings"
	"time"

	"github.com/sardineline/sardineline/sard/pool"
)

// Messages of the scheduler's log lines from which the analysis takes its data.
const (
	messageJobAdmitted = "job taken in"
	messagePartStarted = "part started"
	messagePartStopped = "part is stopped"
	messagePartEnded   = "part ended"
	messageJobEnded    = "job ended"
	messageLongWait    = "part waits though the pool has room"
)

// Causes of late jobs, and results of jobs that were not late. Other causes are the reasons for which the logs say that
// a part was stopped, and those of endCauses.
const (
	causeInTime         = "in time"
	causeNotEnded       = "not ended"
	causeJobFailed      = "job failed"
	causeStartDelay     = "waited for the first start"
	causeUnderestimated = "work longer than estimated"
	// causeHeldBack is the prefix of the cause of a job that waited for its first start in a pool with room.
	causeHeldBack = "held back: "
)

// endCauses lists, for each way in which a part ends too early without a stop, the name of the cause.
var endCauses = []struct {
	end   pool.End
	cause string
}{
	{end: pool.Failed, cause: "part failed"},
	{end: pool.Broken, cause: string(pool.ReasonGangEnded)},
	{end: pool.Alone, cause: "gang not complete in time"},
	{end: pool.Lapsed, cause: "worker lease expired"},
}

// endCause returns the cause for the way in which a part ended, or false if it is none.
func endCause(how string) (string, bool) {
	for _, c := range endCauses {
		if c.end.String() == how {
			return c.cause, true
		}
	}
	return "", false
}

// Parameters of the analysis of causes.
const (
	// minStartDelay is the shortest time from admission to first start that can be the cause of a late job.
	minStartDelay = 500 * time.Millisecond
	// coresPerAccelerator is the number of processor cores that count as equivalent to one accelerator.
	coresPerAccelerator = 8
	milliCoresPerCore   = 1000
)

// causesCommand implements "sardctl causes".
type causesCommand struct {
	Args struct {
		Files []string `positional-arg-name:"FILE"`
	} `positional-args:"yes"`
	session *session
}

// Execute reads the logs of all instances and prints why jobs were late, and for which reasons how much work was lost.
func (c *causesCommand) Execute([]string) error {
	var events []logEvent
	err := forEachLog(c.Args.Files, c.session.stdin, func(in io.Reader) error {
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
	h := logHistory{jobs: map[string]*jobHistory{}, lostWork: map[string]*lostWorkRow{}}
	for _, e := range events {
		h.add(e)
	}
	report := h.report()
	return c.session.print(report, func(w *tableWriter) {
		w.writeRow("PRIORITY", "CAUSE", "JOBS", "MEAN WAIT", "MEAN OVER OBJECTIVE")
		for _, r := range report.Jobs {
			w.writeRow(r.Priority, r.Cause, r.Jobs, r.MeanWait, r.MeanOver)
		}
		w.startSection()
		w.writeRow("LOST WORK", "CORE SECONDS", "PARTS", "EXAMPLE", "SAVED")
		for _, r := range report.Lost {
			w.writeRow(r.Reason, int64(r.CoreSeconds), r.Parts, r.Example, int64(r.Saved))
		}
	})
}

// logEvent holds the fields of a scheduler log line that the analysis uses.
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
	Checkpoints bool `json:"checkpoints"`
}

// attemptKey identifies an attempt by the part of a job and the number of the attempt.
type attemptKey struct {
	part   string
	number int
}

// jobHistory is what the logs say about one job.
type jobHistory struct {
	admitted, firstStart time.Time
	priority             int
	coreEquivalents      float64
	// checkpoints is set if a stop saves the progress of the parts of the job's first step.
	checkpoints   bool
	attemptStarts map[attemptKey]time.Time
	// interruptions holds the number of interruptions of the job's parts, by the reason of a stop or the kind of a
	// failed end.
	interruptions map[string]int
	// heldBack is the reason for which parts of the job waited in a pool with room; empty if none did.
	heldBack string
	end      *logEvent
}

// logHistory is what the logs say about all jobs.
type logHistory struct {
	jobs map[string]*jobHistory
	// lostWork is the work of interrupted attempts, by the reason of the interruption.
	lostWork map[string]*lostWorkRow
}

// add updates the history with a log line. It ignores jobs whose admission is not in the logs.
func (h *logHistory) add(e logEvent) {
	id, _, _ := strings.Cut(cmp.Or(e.Job, e.Part), ".")
	j := h.jobs[id]
	if j == nil {
		if e.Message != messageJobAdmitted {
			return
		}
		j = &jobHistory{
			admitted: e.Time, priority: e.Priority, attemptStarts: map[attemptKey]time.Time{}, interruptions: map[string]int{},
			coreEquivalents: float64(e.Need.CPU)/milliCoresPerCore + float64(e.Need.Accelerators*coresPerAccelerator),
			checkpoints:     e.Checkpoints,
		}
		h.jobs[id] = j
	}
	key := attemptKey{part: e.Part, number: e.Attempt}
	switch e.Message {
	case messagePartStarted:
		if j.firstStart.IsZero() {
			j.firstStart = e.Time
		}
		j.attemptStarts[key] = e.Time
	case messageLongWait:
		j.heldBack = e.Reason
	case messagePartStopped:
		h.recordLostWork(j, key, e.Reason, e.Time, j.checkpoints)
	case messagePartEnded:
		if cause, ok := endCause(e.How); ok {
			h.recordLostWork(j, key, cause, e.Time, false)
		}
	case messageJobEnded:
		j.end = &e
	}
}

// recordLostWork counts an interruption of a part, and adds the work since the start of the attempt to the lost work. The
// work may be saved by a checkpoint.
func (h *logHistory) recordLostWork(j *jobHistory, key attemptKey, reason string, at time.Time, saved bool) {
	j.interruptions[reason]++
	started, ok := j.attemptStarts[key]
	if !ok {
		return
	}
	delete(j.attemptStarts, key)
	row := h.lostWork[reason]
	if row == nil {
		row = &lostWorkRow{Reason: reason}
		h.lostWork[reason] = row
	}
	work := at.Sub(started).Seconds() * j.coreEquivalents
	row.add(key.part, work)
	if saved {
		row.Saved += work
	}
}

// cause returns why the job was late. That is the wait for its first start if it took longer than minStartDelay and
// more than half of the delay, with the reason if it was held back in a pool with room, otherwise the most frequent interruption, or causeUnderestimated without interruptions.
func (j *jobHistory) cause() string {
	switch {
	case j.end == nil:
		return causeNotEnded
	case j.end.State == "Failed":
		return causeJobFailed
	case j.overObjective() <= 0:
		return causeInTime
	case j.waitedForStart() && j.heldBack != "":
		return causeHeldBack + j.heldBack
	case j.waitedForStart():
		return causeStartDelay
	}
	mostFrequent := causeUnderestimated
	for reason, count := range j.interruptions {
		if highest := j.interruptions[mostFrequent]; count > highest || count == highest && reason < mostFrequent {
			mostFrequent = reason
		}
	}
	return mostFrequent
}

// waitedForStart reports whether the job is late mostly by the wait for its first start.
func (j *jobHistory) waitedForStart() bool {
	return j.startDelay() > minStartDelay && 2*j.startDelay() > j.overObjective()
}

// overObjective returns by how much the job's completion time exceeded its objective; negative if the job ended
// earlier.
func (j *jobHistory) overObjective() time.Duration {
	if j.end == nil {
		return 0
	}
	return time.Duration(j.end.TookMs-j.end.ObjectiveMs) * time.Millisecond
}

// startDelay returns the time from the admission of the job to the first start of one of its parts.
func (j *jobHistory) startDelay() time.Duration {
	if j.firstStart.IsZero() {
		return 0
	}
	return j.firstStart.Sub(j.admitted)
}

// causeRow is the number of jobs that have the same priority and the same cause of delay, with the means of their waits
// for the first start and of the times by which they exceeded their objectives.
type causeRow struct {
	Priority           int
	Cause              string
	Jobs               int
	MeanWait, MeanOver time.Duration
}

// lostWorkRow is the work, in core-seconds, that was lost to interruptions for one reason, the number of interrupted parts
// and the part that lost most.
type lostWorkRow struct {
	Reason      string
	CoreSeconds float64
	// Saved is the part of CoreSeconds that was done by parts whose progress their stop has saved.
	Saved   float64
	Parts   int
	Example string
	// mostLost is the work, in core-seconds, that the example lost.
	mostLost float64
}

// add adds the work, in core-seconds, that a part lost.
func (r *lostWorkRow) add(part string, lost float64) {
	r.CoreSeconds += lost
	r.Parts++
	if r.Example == "" || lost > r.mostLost {
		r.Example, r.mostLost = part, lost
	}
}

// causeReport is the output of "sardctl causes".
type causeReport struct {
	Jobs []causeRow
	Lost []lostWorkRow
}

// report groups the jobs by priority and cause. It leaves out cancelled jobs.
func (h *logHistory) report() causeReport {
	type key struct {
		priority int
		cause    string
	}
	rowsByKey := map[key]*causeRow{}
	for _, j := range h.jobs {
		if j.end != nil && j.end.State == "Cancelled" {
			continue
		}
		k := key{priority: j.priority, cause: j.cause()}
		if rowsByKey[k] == nil {
			rowsByKey[k] = &causeRow{Priority: k.priority, Cause: k.cause}
		}
		rowsByKey[k].Jobs++
		rowsByKey[k].MeanWait += j.startDelay()
		rowsByKey[k].MeanOver += j.overObjective()
	}
	var report causeReport
	for _, r := range rowsByKey {
		r.MeanWait = (r.MeanWait / time.Duration(r.Jobs)).Truncate(time.Millisecond)
		r.MeanOver = (r.MeanOver / time.Duration(r.Jobs)).Truncate(time.Millisecond)
		report.Jobs = append(report.Jobs, *r)
	}
	slices.SortFunc(report.Jobs, func(a, b causeRow) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Jobs, a.Jobs), cmp.Compare(a.Cause, b.Cause))
	})
	for _, row := range h.lostWork {
		report.Lost = append(report.Lost, *row)
	}
	slices.SortFunc(report.Lost, func(a, b lostWorkRow) int {
		return cmp.Or(cmp.Compare(b.CoreSeconds, a.CoreSeconds), cmp.Compare(a.Reason, b.Reason))
	})
	return report
}
