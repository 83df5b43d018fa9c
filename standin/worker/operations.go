package worker

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	wire "github.com/sardineline/sardineline/sard/worker"
	"github.com/sardineline/sardineline/standin/faults"
)

// callError is an error response of the worker: its body and its HTTP status.
type callError struct {
	status int
	reply  wire.ErrorReply
}

// Error returns the code and message of the error response.
func (e *callError) Error() string { return string(e.reply.Code) + ": " + e.reply.Message }

func (w *Worker) newCallError(status int, code wire.ErrorCode, message string) *callError {
	return &callError{status: status, reply: wire.ErrorReply{Code: code, Message: message, Epoch: w.epoch}}
}

// acceptEpoch stores the epoch of a call. It returns an error if the worker has seen a higher one.
func (w *Worker) acceptEpoch(epoch ident.Epoch) *callError {
	if epoch < w.epoch {
		return w.newCallError(409, wire.StaleEpoch, "the epoch has been superseded")
	}
	w.epoch = epoch
	return nil
}

// fence stores the epoch of the call, so that the worker rejects calls with lower epochs, and returns a report. It also
// serves calls that only ask for a report.
func (w *Worker) fence(_ context.Context, request wire.FenceRequest) (any, *callError) {
	if callErr := w.acceptEpoch(request.Epoch); callErr != nil {
		return nil, callErr
	}
	return w.report(), nil
}

// reserve creates a part, which reserves accelerators, and starts its lease. A repeated call renews the lease of a part
// that was not started yet.
func (w *Worker) reserve(_ context.Context, request wire.ReserveRequest) (any, *callError) {
	if callErr := w.acceptEpoch(request.Epoch); callErr != nil {
		return nil, callErr
	}
	if p := w.parts[request.Part]; p != nil {
		if p.state == ident.PartReserved {
			w.extendLease(p, request.Lease.Std())
		}
		return w.report(), nil
	}
	p, callErr := w.newPart(request)
	if callErr != nil {
		return nil, callErr
	}
	w.parts[request.Part] = p
	w.config.Ledger.RecordReservation(w.config.Name, request.Part, request.Spec.Parts, request.Lease.Std())
	w.extendLease(p, request.Lease.Std())
	w.notifyChange(p)
	return w.report(), nil
}

// newPart validates a reservation and returns the new part.
func (w *Worker) newPart(request wire.ReserveRequest) (*part, *callError) {
	if request.Accelerators == 0 || request.Accelerators>>w.config.Accelerators != 0 {
		return nil, w.newCallError(400, wire.BadRequest, "the accelerators "+request.Accelerators.String()+" are not all here")
	}
	if request.Lease <= 0 {
		return nil, w.newCallError(400, wire.BadRequest, "a reservation needs a lease")
	}
	for _, other := range w.parts {
		if other.isActive() && other.accelerators&request.Accelerators != 0 {
			return nil, w.newCallError(409, wire.Occupied, "taken by job "+string(other.name.Job))
		}
	}
	parsedCommand, err := parseCommand(request.Spec.Command)
	if err != nil {
		return nil, w.newCallError(400, wire.BadRequest, err.Error())
	}
	checkpointed, err := checkpointWork(request.Spec.Checkpoint)
	if err != nil {
		return nil, w.newCallError(400, wire.BadRequest, err.Error())
	}
	p := &part{
		name:         request.Part,
		accelerators: request.Accelerators,
		spec:         request.Spec,
		command:      parsedCommand,
		workDone:     checkpointed,
		speedPercent: fullSpeedPercent,
	}
	return p, nil
}

// start runs a reserved part. It has no effect on a part that was already started or has ended.
func (w *Worker) start(_ context.Context, request wire.StartRequest) (any, *callError) {
	if callErr := w.acceptEpoch(request.Epoch); callErr != nil {
		return nil, callErr
	}
	p := w.parts[request.Part]
	if p == nil {
		return nil, w.newCallError(404, wire.UnknownPart, "the part was never reserved")
	}
	if p.state != ident.PartReserved {
		return w.report(), nil
	}
	p.state = ident.PartRunning
	p.started = time.Now()
	w.config.Ledger.RecordStart(w.config.Name, p.name)
	w.scheduleFinish(p)
	w.notifyChange(p)
	if _, ok := w.config.Faults.Trigger(w.component, faults.FailAll); ok {
		w.endPart(p, ident.PartFailed, "an accelerator failed", time.Now())
	}
	return w.report(), nil
}

// renew renews the leases of reserved and running parts, and leaves out of reports the ended parts that the caller
// names as forgotten. It returns a report as soon as it differs from the one that the caller has seen, or when the
// waiting time of the call is over.
func (w *Worker) renew(ctx context.Context, request wire.RenewRequest) (any, *callError) {
	if callErr := w.acceptEpoch(request.Epoch); callErr != nil {
		return nil, callErr
	}
	for _, name := range request.Parts {
		if p := w.parts[name]; p != nil && p.isActive() && request.Lease > 0 {
			w.extendLease(p, request.Lease.Std())
		}
	}
	for _, name := range request.Forget {
		if p := w.parts[name]; p != nil && !p.isActive() {
			p.forgotten = true
		}
	}
	w.waitForChange(ctx, request.Seen, request.Wait.Std())
	if w.dead {
		return nil, nil
	}
	if callErr := w.acceptEpoch(request.Epoch); callErr != nil {
		return nil, callErr
	}
	report := w.report()
	if request.Seen > 0 && request.Seen == report.Sequence {
		report.Unchanged, report.Parts = true, nil
	}
	return report, nil
}

// waitForChange blocks until the sequence number of the report differs from seen, the duration wait is over or ctx is
// cancelled. It releases the worker's lock in the meantime.
func (w *Worker) waitForChange(ctx context.Context, seen uint64, wait time.Duration) {
	if wait <= 0 || w.sequence != seen {
		return
	}
	changed := w.changed
	w.mu.Unlock()
	defer w.mu.Lock()
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// checkpoint writes a checkpoint of a running part and returns the checkpoint's name. It releases the worker's lock
// while it writes.
func (w *Worker) checkpoint(_ context.Context, request wire.CheckpointRequest) (any, *callError) {
	if callErr := w.acceptEpoch(request.Epoch); callErr != nil {
		return nil, callErr
	}
	p := w.parts[request.Part]
	if p == nil || p.state != ident.PartRunning {
		return nil, w.newCallError(404, wire.UnknownPart, "the part does not run")
	}
	if !p.spec.Checkpointable {
		return nil, w.newCallError(400, wire.BadRequest, "the part can't write checkpoints")
	}
	name := checkpointName(w.config.Name, p.name, p.workDoneAt(time.Now()))
	w.mu.Unlock()
	time.Sleep(w.config.CheckpointTime)
	w.mu.Lock()
	return wire.CheckpointReply{Checkpoint: name}, nil
}

// throttle changes the speed of a part, in percent of full speed.
func (w *Worker) throttle(_ context.Context, request wire.ThrottleRequest) (any, *callError) {
	if callErr := w.acceptEpoch(request.Epoch); callErr != nil {
		return nil, callErr
	}
	p := w.parts[request.Part]
	if p == nil {
		return nil, w.newCallError(404, wire.UnknownPart, "the part was never reserved")
	}
	if request.Percent < 1 || request.Percent > fullSpeedPercent {
		return nil, w.newCallError(400, wire.BadRequest, "Percent is not within 1 to 100")
	}
	if p.state == ident.PartRunning {
		p.workDone = p.workDoneAt(time.Now())
	}
	p.speedPercent = request.Percent
	if p.state == ident.PartRunning {
		w.scheduleFinish(p)
	}
	return w.report(), nil
}

// stop stops a part. An unknown part is recorded as stopped, so that a delayed reservation can't start it later.
func (w *Worker) stop(_ context.Context, request wire.StopRequest) (any, *callError) {
	if callErr := w.acceptEpoch(request.Epoch); callErr != nil {
		return nil, callErr
	}
	p := w.parts[request.Part]
	if p == nil {
		p = &part{name: request.Part, speedPercent: fullSpeedPercent}
		w.parts[request.Part] = p
	}
	w.endPart(p, ident.PartStopped, "stopped", time.Now())
	return w.report(), nil
}
