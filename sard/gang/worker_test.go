package gang_test

import (
	"context"
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/worker"
)

// fakePart is a part on a fakeWorker.
type fakePart struct {
	report  worker.PartReport
	spec    worker.Spec
	expires time.Time
	ends    time.Time
	// forgotten parts are left out of reports.
	forgotten bool
}

// fakeWorker is a worker in memory that honours epochs and leases. A part's Command is its run time, "fail" or "refuse".
type fakeWorker struct {
	name   ident.Worker
	ledger *ledger
	// network is asked before each call, and again before its answer is given; an error replaces the answer.
	network func(w *fakeWorker, step string, after bool) error

	mu       sync.Mutex
	epoch    ident.Epoch
	sequence uint64
	parts    map[worker.Part]*fakePart
	changed  chan struct{}
	down     bool
	// mute tells that no checkpoint is ever written; set before the first call.
	mute bool
}

func newFakeWorker(name ident.Worker, l *ledger) *fakeWorker {
	return &fakeWorker{name: name, ledger: l, parts: map[worker.Part]*fakePart{}, changed: make(chan struct{})}
}

var _ worker.Client = (*fakeWorker)(nil)

// call runs f under the worker's lock and wraps it into the network's faults.
func (w *fakeWorker) call(ctx context.Context, step string, epoch ident.Epoch, f func() error) (worker.Report, error) {
	if err := w.fault(step, false); err != nil {
		return worker.Report{}, err
	}
	w.mu.Lock()
	err := w.admit(step, epoch)
	if err == nil {
		err = f()
	}
	report := w.reportLocked()
	w.mu.Unlock()
	if lost := w.fault(step, true); lost != nil {
		return worker.Report{}, lost
	}
	if ctx.Err() != nil {
		return worker.Report{}, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, step, string(w.name))
	}
	return report, err
}

func (w *fakeWorker) fault(step string, after bool) error {
	w.mu.Lock()
	down, network := w.down, w.network
	w.mu.Unlock()
	if down && (after || step == "renewed") {
		return fault.New(fault.OutcomeUnknown, step, string(w.name), "went down")
	}
	if down {
		return fault.New(fault.Unavailable, step, string(w.name), "down")
	}
	if network == nil {
		return nil
	}
	return network(w, step, after)
}

func (w *fakeWorker) admit(step string, epoch ident.Epoch) error {
	if epoch < w.epoch {
		return worker.ErrorFromReply(step, w.name, worker.ErrorReply{Code: worker.StaleEpoch, Epoch: w.epoch})
	}
	w.epoch = epoch
	w.expire()
	return nil
}

// expire ends parts whose lease or run time has passed.
func (w *fakeWorker) expire() {
	now := time.Now()
	for _, p := range w.parts {
		switch {
		case p.report.State == ident.PartRunning && !now.Before(p.ends) && p.ends.Before(p.expires):
			w.end(p, ident.PartDone, p.ends)
		case p.report.State <= ident.PartRunning && !now.Before(p.expires):
			w.end(p, ident.PartStopped, p.expires)
		}
	}
}

func (w *fakeWorker) end(p *fakePart, state ident.PartState, at time.Time) {
	if p.report.State == ident.PartRunning {
		w.ledger.ended(w.name, p.report.Part, state, at)
	}
	p.report.State = state
	w.change()
}

func (w *fakeWorker) change() {
	w.sequence++
	close(w.changed)
	w.changed = make(chan struct{})
}

// arm looks at a part again when its lease or run time ends.
func (w *fakeWorker) arm(p *fakePart) {
	at := p.expires
	if p.report.State == ident.PartRunning && p.ends.Before(at) {
		at = p.ends
	}
	time.AfterFunc(time.Until(at), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expire()
	})
}

func (w *fakeWorker) reportLocked() worker.Report {
	report := worker.Report{Worker: w.name, Epoch: w.epoch, Sequence: w.sequence}
	for _, p := range w.parts {
		if !p.forgotten {
			report.Parts = append(report.Parts, p.report)
		}
	}
	return report
}

func (w *fakeWorker) refuse(step string, code worker.ErrorCode) error {
	return worker.ErrorFromReply(step, w.name, worker.ErrorReply{Code: code, Epoch: w.epoch})
}

func (w *fakeWorker) Fence(ctx context.Context, req worker.FenceRequest) (worker.Report, error) {
	return w.call(ctx, "fence", req.Epoch, func() error { return nil })
}

func (w *fakeWorker) Reserve(ctx context.Context, req worker.ReserveRequest) (worker.Report, error) {
	return w.call(ctx, "reserve", req.Epoch, func() error {
		if req.Spec.Command == "refuse" {
			return w.refuse("reserve", worker.BadRequest)
		}
		p, ok := w.parts[req.Part]
		if ok && p.report.State > ident.PartReserved {
			return nil
		}
		for _, other := range w.parts {
			if other != p && other.report.State <= ident.PartRunning && other.report.Accelerators&req.Accelerators != 0 {
				return w.refuse("reserve", worker.Occupied)
			}
		}
		if !ok {
			p = &fakePart{report: worker.PartReport{Part: req.Part, Accelerators: req.Accelerators}, spec: req.Spec}
			w.parts[req.Part] = p
			w.change()
		}
		p.expires = time.Now().Add(req.Lease.Std())
		w.ledger.reserved(w.name, req.Part)
		w.arm(p)
		return nil
	})
}

func (w *fakeWorker) Start(ctx context.Context, req worker.StartRequest) (worker.Report, error) {
	return w.call(ctx, "start", req.Epoch, func() error {
		p, ok := w.parts[req.Part]
		if !ok {
			return w.refuse("start", worker.UnknownPart)
		}
		if p.report.State != ident.PartReserved {
			return nil
		}
		p.report.State = ident.PartRunning
		w.ledger.started(w.name, req.Part, p.spec)
		w.change()
		if p.spec.Command == "fail" {
			p.report.Message = "out of memory"
			w.end(p, ident.PartFailed, time.Now())
			return nil
		}
		run, err := time.ParseDuration(p.spec.Command)
		if err != nil {
			return w.refuse("start", worker.BadRequest)
		}
		p.ends = time.Now().Add(run)
		w.arm(p)
		return nil
	})
}

func (w *fakeWorker) Renew(ctx context.Context, req worker.RenewRequest) (worker.Report, error) {
	var changed chan struct{}
	report, err := w.call(ctx, "renew", req.Epoch, func() error {
		for _, part := range req.Parts {
			if p, ok := w.parts[part]; ok && p.report.State <= ident.PartRunning {
				p.expires = time.Now().Add(req.Lease.Std())
				w.arm(p)
			}
		}
		for _, part := range req.Forget {
			p, ok := w.parts[part]
			if !ok || p.report.State <= ident.PartRunning {
				return w.refuse("renew", worker.BadRequest)
			}
			p.forgotten = true
		}
		changed = w.changed
		return nil
	})
	if err != nil || req.Wait == 0 || report.Sequence != req.Seen {
		return report, err
	}
	timer := time.NewTimer(req.Wait.Std())
	defer timer.Stop()
	select {
	case <-timer.C:
	case <-changed:
	case <-ctx.Done():
	}
	report, err = w.call(ctx, "renewed", req.Epoch, func() error { return nil })
	if report.Sequence == req.Seen && req.Seen != 0 && err == nil {
		report.Unchanged, report.Parts = true, nil
	}
	return report, err
}

func (w *fakeWorker) Checkpoint(ctx context.Context, req worker.CheckpointRequest) (worker.CheckpointReply, error) {
	if w.mute {
		<-ctx.Done()
		return worker.CheckpointReply{}, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "checkpoint", string(w.name))
	}
	_, err := w.call(ctx, "checkpoint", req.Epoch, func() error {
		if p, ok := w.parts[req.Part]; !ok || p.report.State != ident.PartRunning {
			return w.refuse("checkpoint", worker.UnknownPart)
		}
		return nil
	})
	return worker.CheckpointReply{Checkpoint: "checkpoint/" + string(req.Part.Job)}, err
}

func (w *fakeWorker) Throttle(ctx context.Context, req worker.ThrottleRequest) (worker.Report, error) {
	return w.call(ctx, "throttle", req.Epoch, func() error { return nil })
}

func (w *fakeWorker) Stop(ctx context.Context, req worker.StopRequest) (worker.Report, error) {
	return w.call(ctx, "stop", req.Epoch, func() error {
		p, ok := w.parts[req.Part]
		if !ok {
			return w.refuse("stop", worker.UnknownPart)
		}
		if p.report.State <= ident.PartRunning {
			w.end(p, ident.PartStopped, time.Now())
		}
		return nil
	})
}

func (w *fakeWorker) setNetwork(network func(w *fakeWorker, step string, after bool) error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.network = network
}

// setDown cuts the worker off; its parts go on until their leases lapse.
func (w *fakeWorker) setDown(down bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.down = down
	w.ledger.faulted(w.name)
}

// crash ends all parts and forgets them and the epoch.
func (w *fakeWorker) crash() {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.parts {
		if p.report.State <= ident.PartRunning {
			w.end(p, ident.PartStopped, time.Now())
		}
	}
	w.parts = map[worker.Part]*fakePart{}
	w.epoch = 0
	w.ledger.faulted(w.name)
	w.change()
}

// ServeHTTP serves the calls of the worker's protocol.
func (w *fakeWorker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/v1/fence":
		serve(rw, r, w.Fence)
	case "/v1/reserve":
		serve(rw, r, w.Reserve)
	case "/v1/start":
		serve(rw, r, w.Start)
	case "/v1/renew":
		serve(rw, r, w.Renew)
	case "/v1/checkpoint":
		serve(rw, r, w.Checkpoint)
	case "/v1/stop":
		serve(rw, r, w.Stop)
	default:
		http.NotFound(rw, r)
	}
}

func serve[Request, Reply any](rw http.ResponseWriter, r *http.Request, call func(context.Context, Request) (Reply, error)) {
	var req Request
	_ = json.NewDecoder(r.Body).Decode(&req)
	reply, err := call(r.Context(), req)
	if err != nil {
		rw.WriteHeader(http.StatusConflict)
		_ = json.NewEncoder(rw).Encode(worker.ErrorReply{Code: worker.Broken, Message: err.Error()})
		return
	}
	_ = json.NewEncoder(rw).Encode(reply)
}
