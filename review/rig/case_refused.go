package main

import (
	"net/http"
	"strings"
	"sync"
	"time"
)

func init() { cases["refused"] = playRefused }

// Figures of the case "refused".
const (
	refusedID = "00000000000000b0"
	// refusedWindow is how long answers are lost, at most the 4.5 s of the site file.
	refusedWindow = 4500 * time.Millisecond
	// refusedLate is how much later the store executes a write whose answer is lost, 1 to 6 s.
	refusedLate = 5900 * time.Millisecond
	// refusedPatience is how long the client waits for an answer.
	refusedPatience = 2 * time.Second
)

// playRefused lets the answers of the store to some writes of a submission be lost, and these writes be executed late.
func playRefused(r *rig) bool {
	r.startStore()
	for range 4 {
		r.addExecutor(capacity{CPU: 128000, MemMB: 262144, GPU: 8}, "a", "r1-1")
	}
	r.startInstances(3)
	time.Sleep(2 * time.Second)
	loss := &submissionLoss{id: refusedID, late: refusedLate, until: time.Now().Add(refusedWindow)}
	if r.trouble {
		r.store.fate = loss.fate
	}
	path := "/recal/" + refusedID
	body := job("run=1000", map[string]any{"count": 2, "cpu": 11000, "mem_mb": 16000, "gpu": 1, "estimated_ms": 1000})
	var answers []string
	rejected := true
	// The client tries three times at most, each time at another instance, and as soon as it may.
	for n := range 3 {
		got := r.instances[n].call(http.MethodPost, path, body, refusedPatience)
		answers = append(answers, got.String())
		rejected = rejected && (got.status == http.StatusServiceUnavailable || got.status == http.StatusTooManyRequests)
		if got.status == http.StatusOK || time.Now().After(loss.until.Add(-refusedPatience)) {
			break
		}
		time.Sleep(time.Second)
	}
	writes, lost := loss.counts()
	note("store", "writes in the window: %d, of which not answered: %d", writes, lost)
	time.Sleep(refusedLate + 4*time.Second)
	starts := 0
	for _, e := range r.executors {
		for _, s := range e.History().Starts {
			if strings.HasPrefix(s.Task, refusedID) {
				starts++
				note(e.id, "started %s run %d at %.3f", s.Task, s.Run, s.At.Sub(record.started).Seconds())
			}
		}
	}
	note("rig", "the client's answers: %s; all rejections: %v; work units started: %d", strings.Join(answers, ", "), rejected, starts)
	note("client", "the job is shown as %s", r.state(path))
	return rejected && starts > 0
}

// submissionLoss loses the store's answers to the writes that store one job, and makes these writes late.
type submissionLoss struct {
	id    string
	late  time.Duration
	until time.Time
	// refusals makes the writes of refusals late too.
	refusals bool

	mu           sync.Mutex
	writes, lost int
}

// fate loses the answers to the writes that store the job, and those of refusals if that is asked for. All others are answered.
func (l *submissionLoss) fate(tx transaction, holds bool) writeFate {
	l.mu.Lock()
	defer l.mu.Unlock()
	if time.Now().After(l.until) {
		return writeFate{}
	}
	l.writes++
	if tx.name() != "job/"+l.id {
		return writeFate{}
	}
	what := "a refusal"
	if len(tx.SetKeys) > 1 {
		what = "the job"
	}
	note("store", "write of %s under the id on condition of version %d, which holds: %v", what, tx.Expected[0].Ver, holds)
	if what != "the job" && !l.refusals || !holds {
		return writeFate{}
	}
	l.lost++
	note("store", "the answer to it is lost, it is executed %v later", l.late)
	return writeFate{late: l.late}
}

// counts returns the number of writes in the window, and of those that were not answered.
func (l *submissionLoss) counts() (writes, lost int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.writes, l.lost
}
