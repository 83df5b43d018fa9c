package fakes

import (
	"context"
	"slices"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/work"
)

// renewalPollPeriod is how often a waiting lease renewal checks for ended attempts.
const renewalPollPeriod = 50 * time.Millisecond

// MaxLease is the longest lease that workers grant, counted from the arrival of the request.
const MaxLease = 6 * time.Second

// Worker simulates a worker process. It implements sched.WorkerClient. Its exported fields must only be changed within
// Fleet.Update.
type Worker struct {
	fleet *Fleet
	// Entry is the worker's entry in the platform's list of workers.
	Entry sched.ListedWorker
	// Unreachable makes calls time out without executing them.
	Unreachable bool
	// DropReplies executes calls but makes them time out.
	DropReplies bool
	// LostStartReplies is the number of start requests to come that are executed but time out.
	LostStartReplies int
	// MaxReportedEnds is the number of ends up to which a report lists them; 0 means no limit.
	MaxReportedEnds int
	// StopDelay is how long it takes to stop an attempt.
	StopDelay time.Duration
	// Failing makes all runs fail immediately; Stalled makes new runs make no progress.
	Failing, Stalled bool
	// Slowdown is the factor by which runs take longer because of a fault; 0 means 1. UsualSlowdown is the same for a worker
	// that is always slow.
	Slowdown, UsualSlowdown float64
	// ClockSlowPercent is by how many percent the worker's clock runs slow.
	ClockSlowPercent int
	// DrainingSince is when the worker reported that it is draining; zero if it is not.
	DrainingSince time.Time
	// EvacuatedSince is when the evacuation of the worker's data centre was requested; zero if it is not being evacuated.
	EvacuatedSince time.Time
	// RenamedByCrashes gives the worker another name, at the same address, whenever a part crashes it.
	RenamedByCrashes bool
	// IgnoresOrders leaves starts and stops unanswered. They are executed after OrderLateness if that isn't 0, else never.
	IgnoresOrders bool
	OrderLateness time.Duration
	// LaterProcessExecutes makes a later process of the worker execute the late orders to the former one.
	LaterProcessExecutes bool
	// RefuseRenewals, if not nil, is the cause with which all lease renewals are refused.
	RefuseRenewals *sched.Cause
	// Busyness is the factor by which the load of serving runs raises their tails; 0 means 1.
	Busyness float64
	// RefuseThrottles makes all throttle requests fail as invalid, without effect.
	RefuseThrottles bool
	// IgnoresThrottles leaves throttle requests unanswered. They are executed after OrderLateness if that isn't 0, else never.
	IgnoresThrottles bool
	// RefuseStarts, if not nil, is the cause with which all start requests are refused.
	RefuseStarts *sched.Cause

	// formerCapacities holds the capacities that the worker had since Entry.Capacity was first changed.
	formerCapacities []formerCapacity
	startedAt        time.Time
	// downUntil is when the process that follows a crash by a part starts.
	downUntil time.Time
	// epoch is the highest epoch of a scheduler that called the worker.
	epoch ident.Epoch
	// deadline is when the worker's lease expires and its runs end; 0 if it has none yet.
	deadline sched.WorkerClock
	runs     map[work.Part]*run
	// finished holds the highest attempt of each part that was stopped or has ended. Start requests up to it are refused.
	finished    map[work.Part]ident.Attempt
	unackedEnds []sched.EndedAttempt
	lastEnd     sched.EndSequence
	// lastExpiredEnd is the last end when the lease expired. The parts of ends up to it may be started again.
	lastExpiredEnd sched.EndSequence
	// changed is closed when a run starts or ends, or the process restarts.
	changed chan struct{}
}

// formerCapacity is a capacity that a worker had until a moment.
type formerCapacity struct {
	capacity work.Resources
	until    time.Time
}

// SetCapacity changes the worker's capacity while it runs, which changes none of its runs.
func (w *Worker) SetCapacity(capacity work.Resources) {
	w.formerCapacities = append(w.formerCapacities, formerCapacity{capacity: w.Entry.Capacity, until: time.Now()})
	w.Entry.Capacity = capacity
}

// Crash simulates a crash and restart of the worker: all runs end without being reported, and a new process starts.
func (w *Worker) Crash() {
	for part := range w.runs {
		w.fleet.runCounts[part]--
	}
	w.reset()
	w.Entry.StartedMs = time.Now().UnixMilli()
}

// CrashFor simulates a crash after which the worker accepts no connections for a time. Its next process starts then.
func (w *Worker) CrashFor(down time.Duration) {
	w.Crash()
	w.downUntil = time.Now().Add(down)
	w.startedAt, w.Entry.StartedMs = w.downUntil, w.downUntil.UnixMilli()
}

// reset sets the worker's state to that of a newly started process.
func (w *Worker) reset() {
	w.runs, w.finished = map[work.Part]*run{}, map[work.Part]ident.Attempt{}
	w.unackedEnds, w.lastEnd, w.lastExpiredEnd, w.epoch, w.deadline = nil, 0, 0, 0, 0
	w.startedAt = time.Now()
	w.notifyChange()
}

// RunningCount returns the number of attempts that run on the worker.
func (w *Worker) RunningCount() int {
	return len(w.runs)
}

// EndedCount returns the number of attempts that have ended in this process.
func (w *Worker) EndedCount() int {
	return int(w.lastEnd)
}

// UnackedCount returns the number of ends that no lease holder has acknowledged.
func (w *Worker) UnackedCount() int {
	return len(w.unackedEnds)
}

// ClearFaults clears all faults of the worker, including those of its current runs.
func (w *Worker) ClearFaults() {
	w.Unreachable, w.DropReplies, w.Failing, w.Stalled, w.Slowdown, w.RefuseStarts = false, false, false, false, 0, nil
	w.IgnoresOrders, w.IgnoresThrottles, w.RefuseRenewals, w.RefuseThrottles, w.Busyness = false, false, nil, false, 0
	for _, r := range w.runs {
		r.stalled = false
	}
}

// Clock returns the current time on the worker's clock.
func (w *Worker) Clock() sched.WorkerClock {
	elapsed := time.Since(w.startedAt) * time.Duration(100-w.ClockSlowPercent) / 100
	return sched.WorkerClock(elapsed.Milliseconds()) + 1
}

func (w *Worker) hasLabel(label string) bool {
	return slices.Contains(w.Entry.Labels, label)
}

// reply returns what all responses have in common. Only reports name the process.
func (w *Worker) reply() sched.Reply {
	return sched.Reply{Clock: w.Clock()}
}

func (w *Worker) refusal(cause sched.Cause) error {
	return &sched.RefusalError{Cause: cause, Worker: w.Entry.WorkerProcess.Worker, Reply: w.reply()}
}

// call executes f under the lock of the fleet, subject to the faults Unreachable and DropReplies.
func (w *Worker) call(ctx context.Context, process work.WorkerProcess, epoch ident.Epoch, f func() error) error {
	w.fleet.mu.Lock()
	unreachable, dropReply := w.Unreachable, w.DropReplies
	err := w.connect(process.Worker)
	w.fleet.mu.Unlock()
	if err != nil && !unreachable {
		return err
	}
	if unreachable {
		return waitForCancel(ctx, process)
	}
	w.fleet.mu.Lock()
	err = w.runChecked(process, epoch, f)
	w.fleet.mu.Unlock()
	if dropReply {
		return waitForCancel(ctx, process)
	}
	return err
}

// waitForCancel blocks until ctx ends and returns OutcomeUnknown.
func waitForCancel(ctx context.Context, process work.WorkerProcess) error {
	<-ctx.Done()
	return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "call", string(process.Worker))
}

// runChecked calls f after checking that the request is for this worker and that its epoch is not outdated.
func (w *Worker) runChecked(process work.WorkerProcess, epoch ident.Epoch, f func() error) error {
	if process.Worker != w.Entry.WorkerProcess.Worker {
		return w.refusal(sched.OtherLife)
	}
	if epoch < w.epoch {
		return w.refusal(sched.Superseded)
	}
	w.epoch = epoch
	w.advance()
	return f()
}

// start handles a request to start an attempt of a part that is not ignored.
func (w *Worker) start(ctx context.Context, req sched.StartRequest) (sched.Reply, error) {
	var reply sched.Reply
	err := w.call(ctx, req.Worker, req.Epoch, func() error {
		reply = w.reply()
		return w.startAttempt(req, false)
	})
	if w.loseStartReply() {
		return sched.Reply{}, waitForCancel(ctx, req.Worker)
	}
	return reply, err
}

// loseStartReply reports whether the response to a start request is lost, and counts it.
func (w *Worker) loseStartReply() bool {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if w.LostStartReplies == 0 {
		return false
	}
	w.LostStartReplies--
	return true
}

// startAttempt starts the attempt of a start request, or returns a refusal. A repeated request has no further effect. Unfenced
// indicates that no scheduler could keep the worker from it.
func (w *Worker) startAttempt(req sched.StartRequest, unfenced bool) error {
	part := req.Attempt.Part
	if w.RefuseStarts != nil {
		return w.refusal(*w.RefuseStarts)
	}
	if req.Deadline != 0 && req.Deadline <= w.Clock() {
		return w.refusal(sched.Expired)
	}
	w.extendLease(req.Deadline)
	if r := w.runs[part]; r != nil && r.attempt == req.Attempt {
		return nil
	}
	if req.Attempt.Number <= w.finished[part] {
		return w.refusal(sched.Outdated)
	}
	w.fleet.advance()
	j := w.fleet.findJob(part)
	if j == nil {
		return w.refusal(sched.Outdated)
	}
	if !unfenced {
		w.fleet.checkStart(w, j, req)
	}
	j.started[part] = max(j.started[part], req.Attempt.Number)
	w.fleet.startCount++
	w.fleet.runCounts[part]++
	w.runs[part] = newRun(w, req)
	w.runs[part].unfenced = unfenced
	w.crashSoon(w.runs[part])
	if !unfenced {
		w.checkCapacity()
	}
	w.notifyChange()
	return nil
}

// extendLease extends the lease until a deadline, but by no more than MaxLease from now.
func (w *Worker) extendLease(deadline sched.WorkerClock) {
	w.deadline = max(w.deadline, min(deadline, w.Clock()+sched.WorkerClock(MaxLease.Milliseconds())))
}

// checkCapacity records a violation if the runs, which a start has just added to, need more resources than the worker
// has, and than it had at any time within Fleet.ShrinkGrace.
func (w *Worker) checkCapacity() {
	var total work.Resources
	for _, r := range w.runs {
		if !r.unknown() {
			total = total.Plus(r.step().Demand())
		}
	}
	if total.Fits(w.Entry.Capacity) {
		return
	}
	grace := w.fleet.ShrinkGrace
	if !w.fleet.undisturbedFor(grace) {
		grace += w.fleet.LateStarts
	}
	for _, former := range w.formerCapacities {
		if time.Since(former.until) <= grace && total.Fits(former.capacity) {
			return
		}
	}
	w.fleet.addViolation("runs on worker %s exceed the capacity: %+v of %+v", w.Entry.WorkerProcess.Worker, total, w.Entry.Capacity)
}

// stop handles a request to stop an attempt of a part that is not ignored.
func (w *Worker) stop(ctx context.Context, req sched.StopRequest) (sched.Reply, error) {
	var reply sched.Reply
	err := w.call(ctx, req.Worker, req.Epoch, func() error {
		reply = w.reply()
		part := req.Attempt.Part
		w.finished[part] = max(w.finished[part], req.Attempt.Number)
		if r := w.runs[part]; r != nil && r.attempt == req.Attempt && r.stopDue.IsZero() {
			r.stopDue = time.Now().Add(w.StopDelay)
		}
		w.advance()
		return nil
	})
	return reply, err
}

// RenewLease extends the lease and returns the running and ended attempts. It waits up to MaxWait for an ended attempt.
func (w *Worker) RenewLease(ctx context.Context, req sched.RenewLeaseRequest) (sched.WorkerReport, error) {
	deadline := time.Now().Add(req.MaxWait)
	startedMs := w.startedMs()
	for {
		if w.startedMs() != startedMs {
			return sched.WorkerReport{}, fault.New(fault.OutcomeUnknown, "renew lease", string(req.Worker.Worker), "connection lost")
		}
		var report sched.WorkerReport
		var changed chan struct{}
		err := w.call(ctx, req.Worker, req.Epoch, func() error {
			if w.RefuseRenewals != nil {
				return w.refusal(*w.RefuseRenewals)
			}
			w.extendLease(req.Deadline)
			w.ackEnds(req.AckedEnd)
			report = w.newReport()
			w.noteListed(req.Epoch)
			changed = w.changed
			return nil
		})
		if err != nil || len(report.Ended) > 0 || !time.Now().Before(deadline) {
			return report, err
		}
		select {
		case <-changed:
		case <-time.After(min(time.Until(deadline), renewalPollPeriod)):
		case <-ctx.Done():
			return report, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "renew lease", string(req.Worker.Worker))
		}
	}
}

// startedMs returns the start time of the current process, which identifies the process.
func (w *Worker) startedMs() int64 {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.Entry.StartedMs
}

// ackEnds discards the ended attempts up to last, which the scheduler has acknowledged. It records them in the fleet,
// except for those up to lastExpiredEnd.
func (w *Worker) ackEnds(last sched.EndSequence) {
	for len(w.unackedEnds) > 0 && w.unackedEnds[0].Sequence <= last {
		if w.unackedEnds[0].Sequence > w.lastExpiredEnd {
			w.fleet.endAcknowledged(w.unackedEnds[0])
		}
		w.unackedEnds = w.unackedEnds[1:]
	}
}

// newReport returns the running attempts and the ends that are not acknowledged yet.
func (w *Worker) newReport() sched.WorkerReport {
	report := sched.WorkerReport{Reply: w.reply()}
	report.StartedMs = w.Entry.StartedMs
	report.Ended = append(report.Ended, w.unackedEnds...)
	if w.MaxReportedEnds > 0 && len(report.Ended) >= w.MaxReportedEnds {
		report.Ended, report.EndsOmitted = report.Ended[:w.MaxReportedEnds], true
	}
	for _, r := range w.runs {
		report.Running = append(report.Running, sched.RunningAttempt{
			Attempt: r.attempt, Percent: r.percent(), Checkpoint: r.checkpoint(), Measured: r.measured(),
		})
	}
	return report
}

// advance updates all runs of the worker and ends those that are due.
func (w *Worker) advance() {
	w.checkTails()
	expired := w.deadline != 0 && w.Clock() > w.deadline
	if expired {
		w.lastExpiredEnd = w.lastEnd
	}
	for _, r := range w.runs {
		r.updateWork()
		switch {
		case !r.stopDue.IsZero() && !time.Now().Before(r.stopDue):
			w.endRun(r, pool.Stopped)
		case expired:
			w.endRun(r, pool.Lapsed)
		case w.Failing || r.job().AlwaysFails || r.failsByItself():
			w.endGangRuns(r, pool.Failed, pool.Broken)
		case !r.gangComplete() && r.gangWasComplete:
			// Another part of the gang has ended, or its worker was lost.
			w.endRun(r, pool.Broken)
		case !r.gangComplete() && time.Since(r.startedAt) > gangTimeout:
			w.checkGangTimeout(r)
			w.endRun(r, pool.Alone)
		case r.finished():
			w.endGangRuns(r, pool.Done, pool.Done)
		}
	}
}

// notifyChange wakes up waiting lease renewals.
func (w *Worker) notifyChange() {
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}
