package main

import (
	"slices"
	"time"
)

func init() { cases["kind"] = playKind }

// Figures of the case "kind".
const (
	kindID = "00000000000000e0"
	// kindDown is how long the executor is down, and kindFirstBeat how long after its start it writes its first entry.
	kindDown, kindFirstBeat = 500 * time.Millisecond, 800 * time.Millisecond
	// kindWanted is the label that the job requires, and kindOther the kind of the executor's next lifetime.
	kindWanted, kindOther = "a", "b"
)

// playKind lets an executor crash and start again under its id as one of another kind.
func playKind(r *rig) bool {
	r.startStore()
	whole := capacity{CPU: 128000, MemMB: 262144, GPU: 8}
	for range 6 {
		r.addExecutor(whole, kindOther, "r1-1")
	}
	changing := r.addExecutor(whole, kindWanted, "r1-1")
	r.startInstances(3)
	time.Sleep(2 * time.Second)
	r.accepted("/recal/"+kindID, job("run=8000", map[string]any{"count": 1, "cpu": 52000, "mem_mb": 110000, "gpu": 8, "estimated_ms": 8000, "requires": kindWanted}))
	waitFor("the work unit runs", 10*time.Second, func() bool { return changing.Running() == 1 })
	time.Sleep(2 * time.Second)
	if r.trouble {
		changing.Crash()
		time.Sleep(kindDown)
		changing.mu.Lock()
		changing.labels, changing.firstBeatDelay = []string{kindOther, "r1-1"}, kindFirstBeat
		changing.mu.Unlock()
		changing.Up()
	}
	time.Sleep(15 * time.Second)
	wrong := 0
	for _, e := range r.executors {
		for _, s := range e.History().Starts {
			note(e.id, "started %s run %d at %.3f with the labels %v", s.Task, s.Run, s.At.Sub(record.started).Seconds(), s.Labels)
			if !slices.Contains(s.Labels, kindWanted) {
				wrong++
			}
		}
	}
	note("rig", "starts on an executor without the required label: %d", wrong)
	return wrong > 0
}
