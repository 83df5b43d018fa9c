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

// holdPoll lies between two looks of a waiting hold at what has ended.
const holdPoll = 50 * time.Millisecond

// Worker is a worker process; it is a sched.Client. Its exported fields are changed within Fleet.Change.
type Worker struct {
	fleet *Fleet
	// Entry is what the worker reports of itself.
	Entry sched.ListedWorker
	// Unreachable makes calls hang until they time out, and are not carried out.
	Unreachable bool
	// DropReplies carries calls out and loses their answers.
	DropReplies bool
	// StopDelay is how long a stop takes.
	StopDelay time.Duration
	// Failing makes all runs fail at once; Stalled makes new ones stand still.
	Failing, Stalled bool
	// Slowdown is by how much runs take longer; 0 means 1.
	Slowdown float64
	// ClockSlowPercent is by how much the worker's clock is slow, in percent.
	ClockSlowPercent int
	// DrainingSince is when the worker has reported that it leaves; zero when it stays.
	DrainingSince time.Time
	// RefuseStarts is the cause for which all starts are refused; nil for none.
	RefuseStarts *sched.Cause

	start    time.Time
	epoch    ident.Epoch
	deadline sched.WorkerClock
	runs     map[work.Part]*run
	// barred is the highest attempt of each part that was stopped or has ended.
	barred map[work.Part]ident.Attempt
	ends   []sched.EndedAttempt
	number sched.EndSequence
	// excused is the last end that was listed when the lease lapsed: its part may run again.
	excused sched.EndSequence
	changed chan struct{}
}

// Crash ends all that runs, without a word, and starts another process.
func (w *Worker) Crash() {
	for part := range w.runs {
		w.fleet.running[part]--
	}
	w.reset()
	w.Entry.StartedMs = time.Now().UnixMilli()
}

func (w *Worker) reset() {
	w.runs, w.barred = map[work.Part]*run{}, map[work.Part]ident.Attempt{}
	w.ends, w.number, w.excused, w.epoch, w.deadline = nil, 0, 0, 0, 0
	w.start = time.Now()
	w.wake()
}

// RunningCount returns how many attempts run.
func (w *Worker) RunningCount() int {
	return len(w.runs)
}

// EndedCount returns how many attempts have ended in this process.
func (w *Worker) EndedCount() int {
	return int(w.number)
}

// ClearFaults ends all faults of the worker.
func (w *Worker) ClearFaults() {
	w.Unreachable, w.DropReplies, w.Failing, w.Stalled, w.Slowdown, w.RefuseStarts = false, false, false, false, 0, nil
	for _, r := range w.runs {
		r.stalled = false
	}
}

// Clock returns the time on the worker's clock.
func (w *Worker) Clock() sched.WorkerClock {
	passed := time.Since(w.start) * time.Duration(100-w.ClockSlowPercent) / 100
	return sched.WorkerClock(passed.Milliseconds()) + 1
}

func (w *Worker) labelled(label string) bool {
	return slices.Contains(w.Entry.Labels, label)
}

func (w *Worker) reply() sched.Reply {
	return sched.Reply{Clock: w.Clock(), StartedMs: w.Entry.StartedMs}
}

func (w *Worker) refusal(cause sched.Cause) error {
	return &sched.RefusalError{Cause: cause, Worker: w.Entry.WorkerProcess.Worker, Reply: w.reply()}
}

// call carries f out under the fleet's lock, with the worker's faults.
func (w *Worker) call(ctx context.Context, life work.WorkerProcess, epoch ident.Epoch, f func() error) error {
	w.fleet.mu.Lock()
	cut, mute := w.Unreachable, w.DropReplies
	w.fleet.mu.Unlock()
	if cut {
		return hang(ctx, life)
	}
	w.fleet.mu.Lock()
	err := w.checked(life, epoch, f)
	w.fleet.mu.Unlock()
	if mute {
		return hang(ctx, life)
	}
	return err
}

// hang waits until the caller gives up.
func hang(ctx context.Context, life work.WorkerProcess) error {
	<-ctx.Done()
	return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "call", string(life.Worker))
}

func (w *Worker) checked(life work.WorkerProcess, epoch ident.Epoch, f func() error) error {
	if life.Worker != w.Entry.WorkerProcess.Worker {
		return w.refusal(sched.OtherLife)
	}
	if epoch < w.epoch {
		return w.refusal(sched.Superseded)
	}
	w.epoch = epoch
	w.advance()
	return f()
}

// Start starts an attempt.
func (w *Worker) Start(ctx context.Context, o sched.StartRequest) (sched.Reply, error) {
	var reply sched.Reply
	err := w.call(ctx, o.Worker, o.Epoch, func() error {
		reply = w.reply()
		return w.begin(o)
	})
	return reply, err
}

func (w *Worker) begin(o sched.StartRequest) error {
	part := o.Attempt.Part
	if w.RefuseStarts != nil {
		return w.refusal(*w.RefuseStarts)
	}
	if o.Deadline != 0 && o.Deadline <= w.Clock() {
		return w.refusal(sched.Expired)
	}
	w.deadline = max(w.deadline, o.Deadline)
	if r := w.runs[part]; r != nil && r.attempt == o.Attempt {
		return nil
	}
	if o.Attempt.Number <= w.barred[part] {
		return w.refusal(sched.Outdated)
	}
	w.fleet.advance()
	j := w.fleet.expected(part)
	if j == nil {
		return w.refusal(sched.Outdated)
	}
	w.fleet.checkStart(w, j, o)
	j.begun[part] = max(j.begun[part], o.Attempt.Number)
	w.fleet.starts++
	w.fleet.running[part]++
	w.runs[part] = newRun(w, o)
	w.checkRoom()
	w.wake()
	return nil
}

// checkRoom notes when more runs than the worker has room for.
func (w *Worker) checkRoom() {
	var sum work.Resources
	for _, r := range w.runs {
		sum = sum.Plus(r.step().Demand())
	}
	if !sum.Fits(w.Entry.Capacity) {
		w.fleet.breached("worker %s runs %+v of %+v", w.Entry.WorkerProcess.Worker, sum, w.Entry.Capacity)
	}
}

// Stop stops an attempt.
func (w *Worker) Stop(ctx context.Context, o sched.StopRequest) (sched.Reply, error) {
	var reply sched.Reply
	err := w.call(ctx, o.Worker, o.Epoch, func() error {
		reply = w.reply()
		part := o.Attempt.Part
		w.barred[part] = max(w.barred[part], o.Attempt.Number)
		if r := w.runs[part]; r != nil && r.attempt == o.Attempt && r.stopAt.IsZero() {
			r.stopAt = time.Now().Add(w.StopDelay)
		}
		w.advance()
		return nil
	})
	return reply, err
}

// RenewLease extends the lease and lists.
func (w *Worker) RenewLease(ctx context.Context, o sched.RenewLeaseRequest) (sched.WorkerReport, error) {
	limit := time.Now().Add(o.MaxWait)
	born := w.born()
	for {
		if w.born() != born {
			return sched.WorkerReport{}, fault.New(fault.OutcomeUnknown, "hold", string(o.Worker.Worker), "connection lost")
		}
		var report sched.WorkerReport
		var changed chan struct{}
		err := w.call(ctx, o.Worker, o.Epoch, func() error {
			w.deadline = max(w.deadline, o.Deadline)
			w.ack(o.AckedEnd)
			report = w.report()
			changed = w.changed
			return nil
		})
		if err != nil || len(report.Ended) > 0 || !time.Now().Before(limit) {
			return report, err
		}
		select {
		case <-changed:
		case <-time.After(min(time.Until(limit), holdPoll)):
		case <-ctx.Done():
			return report, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "hold", string(o.Worker.Worker))
		}
	}
}

// born tells processes of the worker apart.
func (w *Worker) born() int64 {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	return w.Entry.StartedMs
}

func (w *Worker) ack(seen sched.EndSequence) {
	for len(w.ends) > 0 && w.ends[0].Sequence <= seen {
		if w.ends[0].Sequence > w.excused {
			w.fleet.acknowledged(w.ends[0])
		}
		w.ends = w.ends[1:]
	}
}

func (w *Worker) report() sched.WorkerReport {
	report := sched.WorkerReport{Reply: w.reply()}
	report.Ended = append(report.Ended, w.ends...)
	for _, r := range w.runs {
		report.Running = append(report.Running, sched.RunningAttempt{Attempt: r.attempt, Percent: r.percent(), Checkpoint: r.checkpoint()})
	}
	return report
}

// advance ends what is due on the worker.
func (w *Worker) advance() {
	lapsed := w.deadline != 0 && w.Clock() > w.deadline
	if lapsed {
		w.excused = w.number
	}
	for _, r := range w.runs {
		r.work()
		switch {
		case !r.stopAt.IsZero() && !time.Now().Before(r.stopAt):
			w.end(r, pool.Stopped)
		case lapsed:
			w.end(r, pool.Lapsed)
		case w.Failing || r.job().AlwaysFails:
			w.endGang(r, pool.Failed, pool.Broken)
		case !r.complete() && time.Since(r.began) > gangPatience:
			w.checkAlone(r)
			w.end(r, pool.Alone)
		case r.done():
			w.endGang(r, pool.Done, pool.Done)
		}
	}
}

// checkAlone notes a part of a gang that waited in vain for the others though nothing was disturbed.
func (w *Worker) checkAlone(r *run) {
	if r.job().Cancelled.IsZero() && w.fleet.isCalm(2*gangPatience) {
		w.fleet.breached("%v: attempt %d waited alone on %s", r.attempt.Part, r.attempt.Number, w.Entry.WorkerProcess.Worker)
	}
}

// endGang ends a run, and the others of its gang.
func (w *Worker) endGang(r *run, how, others pool.End) {
	for _, m := range r.members() {
		if m != r {
			m.worker.end(m, others)
		}
	}
	w.end(r, how)
}

func (w *Worker) end(r *run, how pool.End) {
	if r.ended {
		return
	}
	r.ended = true
	part := r.attempt.Part
	w.number++
	w.ends = append(w.ends, sched.EndedAttempt{Sequence: w.number, Attempt: r.attempt, Outcome: how, Checkpoint: r.checkpoint()})
	w.barred[part] = max(w.barred[part], r.attempt.Number)
	switch how {
	case pool.Done:
		r.job().done[part] = true
	case pool.Failed:
		r.job().failed.add(r.job().first(part), r.attempt.Number)
	}
	w.fleet.running[part]--
	delete(w.runs, part)
	w.wake()
}

func (w *Worker) wake() {
	if w.changed != nil {
		close(w.changed)
	}
	w.changed = make(chan struct{})
}
