package main

import (
	"net/http"
	"strings"
	"time"
)

func init() { cases["withdrawn"] = playWithdrawn }

// Figures of the case "withdrawn".
const (
	withdrawnID = "00000000000000d0"
	// withdrawnWindow is how long answers are lost, at most the 4.5 s of the site file.
	withdrawnWindow   = 2 * time.Second
	withdrawnPatience = 2 * time.Second
	// cancelLimit is cancel_ms.
	cancelLimit = 3 * time.Second
)

// playWithdrawn lets the answers to all writes of a submission be lost, and these writes be executed late. The client, which
// does not know the outcome, cancels the job.
func playWithdrawn(r *rig) bool {
	r.startStore()
	for range 4 {
		r.addExecutor(capacity{CPU: 128000, MemMB: 262144, GPU: 8}, "a", "r1-1")
	}
	r.startInstances(3)
	time.Sleep(2 * time.Second)
	loss := &submissionLoss{id: withdrawnID, late: refusedLate, until: time.Now().Add(withdrawnWindow), refusals: true}
	if r.trouble {
		r.store.fate = loss.fate
	}
	path := "/recal/" + withdrawnID
	r.instances[0].call(http.MethodPost, path, job("run=1000", map[string]any{"count": 2, "cpu": 11000, "mem_mb": 16000, "gpu": 1, "estimated_ms": 1000}), withdrawnPatience)
	var cancelled time.Time
	for n := range 3 {
		got := r.instances[n].call(http.MethodDelete, path, nil, withdrawnPatience)
		if got.status == http.StatusOK || got.status == http.StatusGone {
			cancelled = time.Now()
			break
		}
	}
	writes, lost := loss.counts()
	note("store", "writes in the window: %d, of which not answered: %d", writes, lost)
	time.Sleep(refusedLate + 4*time.Second)
	late := 0
	for _, e := range r.executors {
		for _, s := range e.History().Starts {
			if !strings.HasPrefix(s.Task, withdrawnID) {
				continue
			}
			after := s.At.Sub(cancelled)
			note(e.id, "started %s run %d at %.3f, %.3f s after the answer to the cancelling", s.Task, s.Run, s.At.Sub(record.started).Seconds(), after.Seconds())
			if !cancelled.IsZero() && after > cancelLimit {
				late++
			}
		}
	}
	note("rig", "work units started later than cancel_ms after the cancelling was acknowledged: %d", late)
	note("client", "the job is shown as %s", r.state(path))
	return late > 0
}
