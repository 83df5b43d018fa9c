package main

import (
	"fmt"
	"sort"
	"time"
)

func init() { cases["late"] = playLate }

// Figures of the case "late".
const (
	lateID = "00000000000000b1"
	// lateOthers is how many orders are carried out at once.
	lateOthers = 96
	// lateness is how long after they were sent orders are carried out that got no answer, 2 to 12 s.
	lateness = 6 * time.Second
	// lateDown is how long the executor is down, and lateUp how long before the first late order it is back.
	lateDown, lateUp = 500 * time.Millisecond, 400 * time.Millisecond
	// lateFirstBeat is how long after its start a lifetime writes its first entry, at most heartbeat_ms.
	lateFirstBeat = time.Second
)

// playLate lets an executor leave the starts of one work unit unanswered and carry them out late, in its next lifetime, as it
// crashes in between.
func playLate(r *rig) bool {
	r.startStore()
	for range 8 {
		r.addExecutor(capacity{CPU: 128000, MemMB: 262144, GPU: 8}, "a", "r1-1")
	}
	r.startInstances(3)
	time.Sleep(2 * time.Second)
	r.accepted("/fit/00000000000000b0", job("run=1000", map[string]any{"count": lateOthers, "cpu": 8000, "mem_mb": 1000, "estimated_ms": 1000}))
	waitFor("the other job has ended", 20*time.Second, func() bool { return r.endedUnits() == lateOthers })
	if r.trouble {
		for _, e := range r.executors {
			e.SetLateness(lateness)
		}
	}
	r.accepted("/recal/"+lateID, job("run=12000", map[string]any{"count": 1, "cpu": 52000, "mem_mb": 110000, "gpu": 8, "estimated_ms": 12000}))
	if !r.trouble {
		time.Sleep(20 * time.Second)
		return r.ranAtOnce()
	}
	var deaf *Executor
	waitFor("a start is unanswered", 5*time.Second, func() bool {
		for _, e := range r.executors {
			if e.lateCount() > 0 {
				deaf = e
			}
		}
		return deaf != nil
	})
	sent := time.Now()
	for _, e := range r.executors {
		if e != deaf {
			e.SetLateness(0)
		}
	}
	time.Sleep(time.Until(sent.Add(lateness - lateUp - lateDown)))
	deaf.SetLateness(0)
	deaf.firstBeatDelay = lateFirstBeat
	deaf.GoSilent()
	time.Sleep(lateDown)
	deaf.Up()
	time.Sleep(20 * time.Second)
	note("rig", "orders that were carried out late: %d, of %d", deaf.lateCount(), lateOthers+deaf.lateCount()+1)
	return r.ranAtOnce()
}

// endedUnits returns how many work units have ended.
func (r *rig) endedUnits() int {
	count := 0
	for _, e := range r.executors {
		count += len(e.History().Ends)
	}
	return count
}

// ranAtOnce reports whether two runs of a work unit were at work at the same time, each in a lifetime that had not ended.
func (r *rig) ranAtOnce() bool {
	type span struct {
		executor string
		run      int
		from, to time.Time
	}
	spans := map[string][]span{}
	for _, e := range r.executors {
		h := e.History()
		for _, s := range h.Starts {
			to := time.Now()
			for _, x := range h.Ends {
				if x.Task == s.Task && x.Run == s.Run && !x.At.Before(s.At) && x.At.Before(to) {
					to = x.At
				}
			}
			spans[s.Task] = append(spans[s.Task], span{e.id, s.Run, s.At, to})
		}
	}
	broken := false
	for task, list := range spans {
		sort.Slice(list, func(i, j int) bool { return list[i].from.Before(list[j].from) })
		for i, s := range list {
			at := func(t time.Time) string { return fmt.Sprintf("%.3f", t.Sub(record.started).Seconds()) }
			note(s.executor, "%s run %d from %s to %s", task, s.run, at(s.from), at(s.to))
			for _, other := range list[:i] {
				if s.from.Before(other.to) {
					note("rig", "at once: run %d on %s and run %d on %s", other.run, other.executor, s.run, s.executor)
					broken = true
				}
			}
		}
	}
	return broken
}
