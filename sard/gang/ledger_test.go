package gang_test

import (
	"fmt"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/worker"
)

// run is one run of a part on a worker.
type run struct {
	worker     ident.Worker
	begun, end time.Time
	state      ident.PartState
}

// ledger is what the fake workers saw, apart from what the domain believes.
type ledger struct {
	mu sync.Mutex
	// reservations counts the workers of an attempt, runs are its parts that were started.
	reservations map[worker.Part]map[ident.Worker]bool
	runs         map[worker.Part]map[ident.Worker]*run
	// faults is when each worker was last cut off, joined or crashed.
	faults   map[ident.Worker]time.Time
	breaches []string
}

func newLedger() *ledger {
	return &ledger{reservations: map[worker.Part]map[ident.Worker]bool{}, runs: map[worker.Part]map[ident.Worker]*run{}, faults: map[ident.Worker]time.Time{}}
}

func (l *ledger) breach(format string, args ...any) {
	l.breaches = append(l.breaches, fmt.Sprintf(format, args...))
}

func (l *ledger) reserved(w ident.Worker, part worker.Part) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.reservations[part] == nil {
		l.reservations[part] = map[ident.Worker]bool{}
	}
	l.reservations[part][w] = true
}

// started notes a start and checks that no other attempt of the job runs.
func (l *ledger) started(w ident.Worker, part worker.Part, spec worker.Spec) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for other, runs := range l.runs {
		if other.Job != part.Job || other == part {
			continue
		}
		if spec.Kind == "once" {
			l.breach("attempts %d and %d of %s started, which is not to be repeated", other.Attempt, part.Attempt, part.Job)
		}
		for _, r := range runs {
			if r.end.IsZero() {
				l.breach("attempt %d of %s started while attempt %d ran on %s", part.Attempt, part.Job, other.Attempt, r.worker)
			}
		}
	}
	if l.runs[part] == nil {
		l.runs[part] = map[ident.Worker]*run{}
	}
	if l.runs[part][w] != nil {
		l.breach("%v started twice on %s", part, w)
	}
	l.runs[part][w] = &run{worker: w, begun: time.Now()}
}

func (l *ledger) ended(w ident.Worker, part worker.Part, state ident.PartState, at time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := l.runs[part][w]
	r.end, r.state = at, state
}

// partial checks at the end of a test that no part ran longer than limit before the whole gang ran, nor longer than
// broken after a part had ended early.
func (l *ledger) partial(limit, brokenLimit time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for part, runs := range l.runs {
		whole := len(runs) == len(l.reservations[part])
		var last, broken time.Time
		for _, r := range runs {
			if r.begun.After(last) {
				last = r.begun
			}
			if r.state != ident.PartDone && !r.end.IsZero() && (broken.IsZero() || r.end.Before(broken)) {
				broken = r.end
			}
		}
		for _, r := range runs {
			end := r.end
			if end.IsZero() {
				end = time.Now()
			}
			if !whole && end.Sub(r.begun) > limit {
				l.breach("%v ran on %s for %v without the whole gang", part, r.worker, end.Sub(r.begun))
			}
			if whole && last.Sub(r.begun) > limit {
				l.breach("%v ran on %s for %v before the whole gang", part, r.worker, last.Sub(r.begun))
			}
			if !broken.IsZero() && end.Sub(broken) > brokenLimit {
				l.breach("%v ran on %s for %v after the gang had broken", part, r.worker, end.Sub(broken))
			}
		}
	}
}

// faulted notes that a worker was cut off or crashed now.
func (l *ledger) faulted(w ident.Worker) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.faults[w] = time.Now()
}

// succeeded counts the attempts of a job of which all parts were done. Sure are those of which no worker was cut
// off or crashed after the start, so that the holder must have learnt of the end.
func (l *ledger) succeeded(job ident.Job) (all, sure int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for part, runs := range l.runs {
		done, heard := 0, 0
		for _, r := range runs {
			if r.state != ident.PartDone {
				continue
			}
			done++
			if l.faults[r.worker].Before(r.begun) {
				heard++
			}
		}
		if part.Job != job || done != len(l.reservations[part]) {
			continue
		}
		all++
		if heard == done {
			sure++
		}
	}
	return all, sure
}

func (l *ledger) found() []string {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.breaches
}
