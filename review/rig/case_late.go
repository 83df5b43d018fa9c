package main

import (
	"fmt"
	"sort"
	"time"
)

func init() { cases["late"] = playLate }

// lateWindow is how long before the late start the next lifetime begins.
const lateWindow = 30 * time.Millisecond

// playLate lets a repeated start be executed late, by the next lifetime of its executor, after its run has failed.
func playLate(r *rig) bool {
	r.startStore()
	for range 8 {
		r.addExecutor(capacity{CPU: 128000, MemMB: 262144, GPU: 8}, "a", "r1-1")
	}
	r.startInstances(3)
	time.Sleep(2 * time.Second)
	for _, e := range r.executors {
		e.mu.Lock()
		e.lateness = 2 * time.Second
		e.mu.Unlock()
	}
	r.accepted("/recal/00000000000000b1", job("run=10000", map[string]any{"count": 1, "cpu": 52000, "mem_mb": 110000, "gpu": 8, "estimated_ms": 10000}))
	begun := time.Now()
	waitFor("the late start is executed", 10*time.Second, func() bool { return r.runningUnits() == 1 })
	var first *Executor
	for _, e := range r.executors {
		if e.Running() == 1 {
			first = e
		}
		e.mu.Lock()
		e.lateness = 0
		e.mu.Unlock()
	}
	note("rig", "run 1 runs on %s, %.2f s after the confirmation", first.id, time.Since(begun).Seconds())
	time.Sleep(100 * time.Millisecond)
	first.Fail()
	if r.trouble {
		time.Sleep(150 * time.Millisecond)
		first.Crash()
		// The next late start is executed 2.6 s after the job came.
		time.Sleep(time.Until(begun.Add(2600*time.Millisecond - lateWindow)))
		first.Up()
	}
	time.Sleep(20 * time.Second)
	return r.ranAtOnce()
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
