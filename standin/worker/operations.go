package worker

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	wire "github.com/sardineline/sardineline/sard/worker"
	"github.com/sardineline/sardineline/standin/faults"
)

// refusal is an ErrorReply with its status.
type refusal struct {
	status int
	reply  wire.ErrorReply
}

func (r *refusal) Error() string { return string(r.reply.Code) + ": " + r.reply.Message }

func (w *Worker) refuse(status int, code wire.ErrorCode, message string) *refusal {
	return &refusal{status: status, reply: wire.ErrorReply{Code: code, Message: message, Epoch: w.epoch}}
}

// admit takes the epoch of a call, or refuses it.
func (w *Worker) admit(epoch ident.Epoch) *refusal {
	if epoch < w.epoch {
		return w.refuse(409, wire.StaleEpoch, "the epoch has been superseded")
	}
	w.epoch = epoch
	return nil
}

func (w *Worker) fence(_ context.Context, in wire.FenceRequest) (any, *refusal) {
	if r := w.admit(in.Epoch); r != nil {
		return nil, r
	}
	return w.report(), nil
}

func (w *Worker) reserve(_ context.Context, in wire.ReserveRequest) (any, *refusal) {
	if r := w.admit(in.Epoch); r != nil {
		return nil, r
	}
	if p := w.parts[in.Part]; p != nil {
		if p.state == ident.PartReserved {
			w.extend(p, in.Lease.Std())
		}
		return w.report(), nil
	}
	p, r := w.newPart(in)
	if r != nil {
		return nil, r
	}
	w.parts[in.Part] = p
	w.config.Ledger.RecordReservation(w.config.Name, in.Part, in.Spec.Parts, in.Lease.Std())
	w.extend(p, in.Lease.Std())
	w.change(p)
	return w.report(), nil
}

func (w *Worker) newPart(in wire.ReserveRequest) (*part, *refusal) {
	if in.Accelerators == 0 || in.Accelerators>>w.config.Accelerators != 0 {
		return nil, w.refuse(400, wire.BadRequest, "the accelerators "+in.Accelerators.String()+" are not all here")
	}
	if in.Lease <= 0 {
		return nil, w.refuse(400, wire.BadRequest, "a reservation needs a lease")
	}
	for _, other := range w.parts {
		if other.live() && other.accelerators&in.Accelerators != 0 {
			return nil, w.refuse(409, wire.Occupied, "taken by job "+string(other.name.Job))
		}
	}
	does, err := parseCommand(in.Spec.Command)
	if err != nil {
		return nil, w.refuse(400, wire.BadRequest, err.Error())
	}
	done, err := checkpointWork(in.Spec.Checkpoint)
	if err != nil {
		return nil, w.refuse(400, wire.BadRequest, err.Error())
	}
	p := &part{name: in.Part, accelerators: in.Accelerators, spec: in.Spec, command: does, done: done, percent: fullSpeed}
	return p, nil
}

func (w *Worker) start(_ context.Context, in wire.StartRequest) (any, *refusal) {
	if r := w.admit(in.Epoch); r != nil {
		return nil, r
	}
	p := w.parts[in.Part]
	if p == nil {
		return nil, w.refuse(404, wire.UnknownPart, "the part was never reserved")
	}
	if p.state != ident.PartReserved {
		return w.report(), nil
	}
	p.state = ident.PartRunning
	p.started = time.Now()
	w.config.Ledger.RecordStart(w.config.Name, p.name)
	w.run(p)
	w.change(p)
	if _, ok := w.config.Faults.Trigger(w.place, faults.FailAll); ok {
		w.end(p, ident.PartFailed, "an accelerator failed", time.Now())
	}
	return w.report(), nil
}

func (w *Worker) renew(ctx context.Context, in wire.RenewRequest) (any, *refusal) {
	if r := w.admit(in.Epoch); r != nil {
		return nil, r
	}
	for _, name := range in.Parts {
		if p := w.parts[name]; p != nil && p.live() && in.Lease > 0 {
			w.extend(p, in.Lease.Std())
		}
	}
	for _, name := range in.Forget {
		if p := w.parts[name]; p != nil && !p.live() {
			p.forgotten = true
		}
	}
	w.await(ctx, in.Seen, in.Wait.Std())
	if w.dead {
		return nil, nil
	}
	if r := w.admit(in.Epoch); r != nil {
		return nil, r
	}
	report := w.report()
	if in.Seen > 0 && in.Seen == report.Sequence {
		report.Unchanged, report.Parts = true, nil
	}
	return report, nil
}

// await holds a call until the report differs from the seen one or the wait is over. It lets go of the lock
// meanwhile.
func (w *Worker) await(ctx context.Context, seen uint64, wait time.Duration) {
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

func (w *Worker) checkpoint(_ context.Context, in wire.CheckpointRequest) (any, *refusal) {
	if r := w.admit(in.Epoch); r != nil {
		return nil, r
	}
	p := w.parts[in.Part]
	if p == nil || p.state != ident.PartRunning {
		return nil, w.refuse(404, wire.UnknownPart, "the part does not run")
	}
	if !p.spec.Checkpointable {
		return nil, w.refuse(400, wire.BadRequest, "the part can't write checkpoints")
	}
	name := checkpointName(w.config.Name, p.name, p.work(time.Now()))
	w.mu.Unlock()
	time.Sleep(w.config.CheckpointTime)
	w.mu.Lock()
	return wire.CheckpointReply{Checkpoint: name}, nil
}

func (w *Worker) throttle(_ context.Context, in wire.ThrottleRequest) (any, *refusal) {
	if r := w.admit(in.Epoch); r != nil {
		return nil, r
	}
	p := w.parts[in.Part]
	if p == nil {
		return nil, w.refuse(404, wire.UnknownPart, "the part was never reserved")
	}
	if in.Percent < 1 || in.Percent > fullSpeed {
		return nil, w.refuse(400, wire.BadRequest, "Percent is not within 1 to 100")
	}
	if p.state == ident.PartRunning {
		p.done = p.work(time.Now())
	}
	p.percent = in.Percent
	if p.state == ident.PartRunning {
		w.run(p)
	}
	return w.report(), nil
}

// stop ends a part. A part that is not known is remembered as stopped, so that a late reservation can't revive it.
func (w *Worker) stop(_ context.Context, in wire.StopRequest) (any, *refusal) {
	if r := w.admit(in.Epoch); r != nil {
		return nil, r
	}
	p := w.parts[in.Part]
	if p == nil {
		p = &part{name: in.Part, percent: fullSpeed}
		w.parts[in.Part] = p
	}
	w.end(p, ident.PartStopped, "stopped", time.Now())
	return w.report(), nil
}
