package main

import (
	"fmt"
	"sort"
	"strings"
	"time"
)

func init() { cases["ends"] = playEnds }

// Figures of the case "ends".
const (
	endsJobs      = 4
	endsUnits     = 310
	endsExecutors = 2
	// endsOutage is how long the store is down, at most the 4.2 s of the site file.
	endsOutage = 4000 * time.Millisecond
	// endsFirst and endsSpread are the shortest run time and the span of the run times.
	endsFirst, endsSpread = 12 * time.Second, 3 * time.Second
)

// playEnds lets more work units than a hold lists at a time end on an executor while the store is down.
func playEnds(r *rig) bool {
	r.startStore()
	for range endsExecutors {
		r.addExecutor(capacity{CPU: 128000, MemMB: 262144, GPU: 8}, "a", "r1-1")
	}
	r.startInstances(3)
	time.Sleep(2 * time.Second)
	first := time.Now()
	for n := range endsJobs {
		length := endsFirst + endsSpread*time.Duration(n)/endsJobs
		body := job(fmt.Sprintf("run=%d", length.Milliseconds()), map[string]any{"count": endsUnits, "cpu": 200, "mem_mb": 256, "estimated_ms": length.Milliseconds()})
		r.accepted(fmt.Sprintf("/recal/%016x", 0xa0+n), body)
	}
	waitFor("all work units run", 10*time.Second, func() bool { return r.runningUnits() == endsJobs*endsUnits })
	note("rig", "all %d work units run, on executors: %s", endsJobs*endsUnits, r.perExecutor())
	time.Sleep(time.Until(first.Add(endsFirst - 300*time.Millisecond)))
	if r.trouble {
		over := time.Now().Add(endsOutage)
		r.store.busy = func() bool { return time.Now().Before(over) }
		note("store", "down (503) for %v", endsOutage)
	}
	peak := 0
	settled := holdsWithin(30*time.Second, func() bool {
		for _, e := range r.executors {
			peak = max(peak, e.Unnoted())
		}
		return time.Since(first) > endsFirst+endsSpread+endsOutage+3*time.Second && r.runningUnits() == 0 && r.unnotedEnds() == 0
	})
	note("rig", "most ends listed at once by an executor: %d; all noted: %v", peak, settled)
	for n := range endsJobs {
		note("client", "job %d is shown as %s", n, r.state(fmt.Sprintf("/recal/%016x", 0xa0+n)))
	}
	return r.startedAfterDone()
}

// runningUnits returns how many work units run.
func (r *rig) runningUnits() int {
	sum := 0
	for _, e := range r.executors {
		sum += e.Running()
	}
	return sum
}

// unnotedEnds returns how many ends are listed.
func (r *rig) unnotedEnds() int {
	sum := 0
	for _, e := range r.executors {
		sum += e.Unnoted()
	}
	return sum
}

// perExecutor tells how many work units run on each executor.
func (r *rig) perExecutor() string {
	var counts []string
	for _, e := range r.executors {
		counts = append(counts, fmt.Sprint(e.Running()))
	}
	return strings.Join(counts, ", ")
}

// startedAfterDone reports whether a work unit was started after a run of it had ended done, where that end was taken note
// of and no lease lapsed on its executor in between.
func (r *rig) startedAfterDone() bool {
	type doneEnd struct {
		executor string
		endRecord
	}
	done := map[string]doneEnd{}
	starts, ends, lapses := 0, map[string]int{}, map[string]bool{}
	for _, e := range r.executors {
		h := e.History()
		starts += len(h.Starts)
		for _, x := range h.Ends {
			ends[x.How]++
			if x.How == "lapsed" {
				lapses[e.id] = true
			}
			if first, found := done[x.Task]; x.How == "done" && !x.NotedAt.IsZero() && (!found || x.At.Before(first.At)) {
				done[x.Task] = doneEnd{e.id, x}
			}
		}
	}
	note("rig", "%d starts, ends %v, executors with lapsed leases: %d", starts, ends, len(lapses))
	var broken []string
	for _, e := range r.executors {
		for _, s := range e.History().Starts {
			if x, found := done[s.Task]; found && s.At.After(x.At) && !lapses[x.executor] {
				broken = append(broken, fmt.Sprintf("%s run %d ended done on %s at %.3f (noted at %.3f), run %d started on %s at %.3f", s.Task, x.Run, x.executor,
					x.At.Sub(record.started).Seconds(), x.NotedAt.Sub(record.started).Seconds(), s.Run, e.id, s.At.Sub(record.started).Seconds()))
			}
		}
	}
	sort.Strings(broken)
	note("rig", "work units started again after they were done: %d", len(broken))
	for _, line := range broken[:min(len(broken), 10)] {
		note("rig", "started again: %s", line)
	}
	return len(broken) > 0
}
