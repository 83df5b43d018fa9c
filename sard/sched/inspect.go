package sched

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// inspectTimeout limits how long a question waits for the scheduler loop.
	inspectTimeout = time.Second
	// maxWaitsShown limits the groups of a job in an answer.
	maxWaitsShown = 100
)

// Inspector answers operators' questions about the pool while this instance holds the scheduler lease. Its zero value holds
// none. It is safe for concurrent use.
type Inspector struct {
	mu sync.Mutex
	// ask passes a question to the scheduler loop; nil if the instance does not hold the lease.
	ask func(context.Context, waitsQuestion) error
}

// JobWaits tells why the groups of an open job wait.
type JobWaits struct {
	Job   ident.Job
	State string
	Epoch ident.Epoch
	// Running is the number of the job's parts that may be running.
	Running int
	// Waits holds the groups whose turn has come and which are not placed, up to maxWaitsShown, and More the number of others.
	Waits []GroupWait
	More  int
	// Orders holds the attempts that count as running and wait for an order or its result, up to maxWaitsShown.
	Orders []OrderWait
}

// GroupWait tells why a group waits, and what ends that.
type GroupWait struct {
	// Part is the first part of the group.
	Part     work.Part
	Reason   string
	WaitedMs int64
	EndedBy  string
	// LimitMs is after how long the wait ends at the latest if nothing of the job runs and the pool has room; 0 if there is no
	// limit.
	LimitMs int64
}

// OrderWait tells what an attempt waits for that counts as running.
type OrderWait struct {
	Part     work.Part
	Attempt  ident.Attempt
	Worker   ident.Worker
	Reason   string
	WaitedMs int64
}

// waitsQuestion asks the scheduler loop why the groups of a job wait.
type waitsQuestion struct {
	job ident.Job
	// answer receives the answer, or nil if the job is not open. It has room for one.
	answer chan<- *JobWaits
}

func (waitsQuestion) event() {}

// Waits returns why the groups of a job wait. The error is Unavailable if this instance does not hold the scheduler lease or
// is busy, and NotFound if the job is not open.
func (i *Inspector) Waits(ctx context.Context, job ident.Job) (JobWaits, error) {
	i.mu.Lock()
	ask := i.ask
	i.mu.Unlock()
	if ask == nil {
		return JobWaits{}, fault.New(fault.Unavailable, "look at job", string(job), "this instance does not schedule the pool")
	}
	ctx, cancel := context.WithTimeout(ctx, inspectTimeout)
	defer cancel()
	answer := make(chan *JobWaits, 1)
	if err := ask(ctx, waitsQuestion{job: job, answer: answer}); err != nil {
		return JobWaits{}, err
	}
	select {
	case found := <-answer:
		if found == nil {
			return JobWaits{}, fault.New(fault.NotFound, "look at job", string(job), "no such job is open")
		}
		return *found, nil
	case <-ctx.Done():
		return JobWaits{}, fault.Wrap(ctx.Err(), fault.Unavailable, "look at job", string(job))
	}
}

// attach makes the inspector ask a scheduler until the returned function is called.
func (i *Inspector) attach(s *Scheduler) (detach func()) {
	if i == nil {
		return func() {}
	}
	i.set(func(ctx context.Context, q waitsQuestion) error {
		select {
		case s.events <- q:
			return nil
		case <-ctx.Done():
			return fault.Wrap(ctx.Err(), fault.Unavailable, "look at job", string(q.job))
		}
	})
	return func() { i.set(nil) }
}

// set sets the function that passes questions on.
func (i *Inspector) set(ask func(context.Context, waitsQuestion) error) {
	i.mu.Lock()
	defer i.mu.Unlock()
	i.ask = ask
}

// handleQuestion answers a question about a job.
func (s *Scheduler) handleQuestion(q waitsQuestion) {
	status, open := s.engine.JobStatus(q.job)
	if !open {
		q.answer <- nil
		return
	}
	found := &JobWaits{Job: q.job, State: status.State.String(), Epoch: s.lease.Epoch(), Running: status.Attempts}
	for _, w := range s.engine.WaitsOf(q.job) {
		if len(found.Waits) == maxWaitsShown {
			found.More++
			continue
		}
		found.Waits = append(found.Waits, groupWait(w))
	}
	found.Orders = s.orderWaits(q.job)
	q.answer <- found
}

// orderWaits returns what the attempts of a job wait for, as of the last scan, the longest waits first.
func (s *Scheduler) orderWaits(job ident.Job) []OrderWait {
	var found []OrderWait
	for _, w := range s.sessions {
		for a, state := range w.attempts {
			if a.Part.Job != job || state.wait.reason == noWait {
				continue
			}
			found = append(found, OrderWait{
				Part: a.Part, Attempt: a.Number, Worker: w.id(), Reason: state.wait.reason.String(), WaitedMs: clock.Since(state.wait.since).Milliseconds(),
			})
		}
	}
	slices.SortFunc(found, func(a, b OrderWait) int {
		return cmp.Or(cmp.Compare(b.WaitedMs, a.WaitedMs), cmp.Compare(a.Part.String(), b.Part.String()))
	})
	return found[:min(len(found), maxWaitsShown)]
}

// groupWait returns a wait as it is shown to operators.
func groupWait(w pool.Wait) GroupWait {
	end := w.Reason.End()
	return GroupWait{
		Part: w.Part, Reason: w.Reason.String(), WaitedMs: w.For.Milliseconds(), EndedBy: end.By, LimitMs: end.Limit.Milliseconds(),
	}
}
