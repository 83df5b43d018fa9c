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
	report   worker.PartReport
	spec     worker.Spec
	leaseEnd time.Time
	runEnd   time.Time
	// forgotten is set if the part is omitted from reports.
	forgotten bool
}

// fakeWorker is an in-memory worker that enforces epochs and leases. The Command of a job is its run time, "fail" or
// "refuse".
type fakeWorker struct {
	name     ident.Worker
	recorder *runRecorder
	// intercept is called before each call and again before the response; an error replaces the response.
	intercept func(w *fakeWorker, step string, after bool) error

	mu           sync.Mutex
	epoch        ident.Epoch
	sequence     uint64
	parts        map[worker.Part]*fakePart
	changed      chan struct{}
	disconnected bool
	// withholdCheckpoints makes checkpoint requests time out. It must be set before the first call.
	withholdCheckpoints bool
}

// newFakeWorker returns a worker without parts that records its runs.
func newFakeWorker(name ident.Worker, recorder *runRecorder) *fakeWorker {
	return &fakeWorker{name: name, recorder: recorder, parts: map[worker.Part]*fakePart{}, changed: make(chan struct{})}
}

var _ worker.Client = (*fakeWorker)(nil)

// call checks the epoch, runs f under the worker's lock and applies the injected faults.
func (w *fakeWorker) call(ctx context.Context, step string, epoch ident.Epoch, f func() error) (worker.Report, error) {
	if err := w.injectedFault(step, false); err != nil {
		return worker.Report{}, err
	}
	w.mu.Lock()
	err := w.acceptEpoch(step, epoch)
	if err == nil {
		err = f()
	}
	report := w.reportLocked()
	w.mu.Unlock()
	if lost := w.injectedFault(step, true); lost != nil {
		return worker.Report{}, lost
	}
	if ctx.Err() != nil {
		return worker.Report{}, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, step, string(w.name))
	}
	return report, err
}

// injectedFault returns the error that replaces the response of a call, before or after the call takes effect.
func (w *fakeWorker) injectedFault(step string, after bool) error {
	w.mu.Lock()
	disconnected, intercept := w.disconnected, w.intercept
	w.mu.Unlock()
	if disconnected && (after || step == "renewed") {
		return fault.New(fault.OutcomeUnknown, step, string(w.name), "disconnected during the call")
	}
	if disconnected {
		return fault.New(fault.Unavailable, step, string(w.name), "disconnected")
	}
	if intercept == nil {
		return nil
	}
	return intercept(w, step, after)
}

// acceptEpoch rejects calls of earlier epochs. The caller holds mu.
func (w *fakeWorker) acceptEpoch(step string, epoch ident.Epoch) error {
	if epoch < w.epoch {
		return worker.ErrorFromReply(step, w.name, worker.ErrorReply{Code: worker.StaleEpoch, Epoch: w.epoch})
	}
	w.epoch = epoch
	w.expire()
	return nil
}

// expire ends the parts whose lease or run time has ended.
func (w *fakeWorker) expire() {
	now := time.Now()
	for _, p := range w.parts {
		switch {
		case p.report.State == ident.PartRunning && !now.Before(p.runEnd) && p.runEnd.Before(p.leaseEnd):
			w.end(p, ident.PartDone, p.runEnd)
		case p.report.State <= ident.PartRunning && !now.Before(p.leaseEnd):
			w.end(p, ident.PartStopped, p.leaseEnd)
		}
	}
}

// end moves a part to a final state and records the end of its run. The caller holds mu.
func (w *fakeWorker) end(p *fakePart, state ident.PartState, at time.Time) {
	if p.report.State == ident.PartRunning {
		w.recorder.recordEnd(w.name, p.report.Part, state, at)
	}
	p.report.State = state
	w.notifyChange()
}

// notifyChange increments the sequence number and wakes waiting polls. The caller holds mu.
func (w *fakeWorker) notifyChange() {
	w.sequence++
	close(w.changed)
	w.changed = make(chan struct{})
}

// scheduleExpiry calls expire when a part's lease or run time ends.
func (w *fakeWorker) scheduleExpiry(p *fakePart) {
	at := p.leaseEnd
	if p.report.State == ident.PartRunning && p.runEnd.Before(at) {
		at = p.runEnd
	}
	time.AfterFunc(time.Until(at), func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.expire()
	})
}

// reportLocked returns the worker's report. The caller holds mu.
func (w *fakeWorker) reportLocked() worker.Report {
	report := worker.Report{Worker: w.name, Epoch: w.epoch, Sequence: w.sequence}
	for _, p := range w.parts {
		if !p.forgotten {
			report.Parts = append(report.Parts, p.report)
		}
	}
	return report
}

// refusal returns the error of a rejected call.
func (w *fakeWorker) refusal(step string, code worker.ErrorCode) error {
	return worker.ErrorFromReply(step, w.name, worker.ErrorReply{Code: code, Epoch: w.epoch})
}

// Fence raises the epoch and reports the parts.
func (w *fakeWorker) Fence(ctx context.Context, req worker.FenceRequest) (worker.Report, error) {
	return w.call(ctx, "fence", req.Epoch, func() error { return nil })
}

// Reserve reserves accelerators for a part unless another part occupies them.
func (w *fakeWorker) Reserve(ctx context.Context, req worker.ReserveRequest) (worker.Report, error) {
	return w.call(ctx, "reserve", req.Epoch, func() error {
		if req.Spec.Command == "refuse" {
			return w.refusal("reserve", worker.BadRequest)
		}
		p, ok := w.parts[req.Part]
		if ok && p.report.State > ident.PartReserved {
			return nil
		}
		for _, other := range w.parts {
			if other != p && other.report.State <= ident.PartRunning && other.report.Accelerators&req.Accelerators != 0 {
				return w.refusal("reserve", worker.Occupied)
			}
		}
		if !ok {
			p = &fakePart{report: worker.PartReport{Part: req.Part, Accelerators: req.Accelerators}, spec: req.Spec}
			w.parts[req.Part] = p
			w.notifyChange()
		}
		p.leaseEnd = time.Now().Add(req.Lease.Std())
		w.recorder.recordReservation(w.name, req.Part)
		w.scheduleExpiry(p)
		return nil
	})
}

// Start starts a reserved part.
func (w *fakeWorker) Start(ctx context.Context, req worker.StartRequest) (worker.Report, error) {
	return w.call(ctx, "start", req.Epoch, func() error {
		p, ok := w.parts[req.Part]
		if !ok {
			return w.refusal("start", worker.UnknownPart)
		}
		if p.report.State != ident.PartReserved {
			return nil
		}
		p.report.State = ident.PartRunning
		w.recorder.recordStart(w.name, req.Part, p.spec)
		w.notifyChange()
		if p.spec.Command == "fail" {
			p.report.Message = "out of memory"
			w.end(p, ident.PartFailed, time.Now())
			return nil
		}
		run, err := time.ParseDuration(p.spec.Command)
		if err != nil {
			return w.refusal("start", worker.BadRequest)
		}
		p.runEnd = time.Now().Add(run)
		w.scheduleExpiry(p)
		return nil
	})
}

// Renew renews the leases of parts and then waits for a change, like a long poll.
func (w *fakeWorker) Renew(ctx context.Context, req worker.RenewRequest) (worker.Report, error) {
	var changed chan struct{}
	report, err := w.call(ctx, "renew", req.Epoch, func() error {
		for _, part := range req.Parts {
			if p, ok := w.parts[part]; ok && p.report.State <= ident.PartRunning {
				p.leaseEnd = time.Now().Add(req.Lease.Std())
				w.scheduleExpiry(p)
			}
		}
		for _, part := range req.Forget {
			p, ok := w.parts[part]
			if !ok || p.report.State <= ident.PartRunning {
				return w.refusal("renew", worker.BadRequest)
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

// Checkpoint returns the name of a checkpoint of a running part.
func (w *fakeWorker) Checkpoint(ctx context.Context, req worker.CheckpointRequest) (worker.CheckpointReply, error) {
	if w.withholdCheckpoints {
		<-ctx.Done()
		return worker.CheckpointReply{}, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "checkpoint", string(w.name))
	}
	_, err := w.call(ctx, "checkpoint", req.Epoch, func() error {
		if p, ok := w.parts[req.Part]; !ok || p.report.State != ident.PartRunning {
			return w.refusal("checkpoint", worker.UnknownPart)
		}
		return nil
	})
	return worker.CheckpointReply{Checkpoint: "checkpoint/" + string(req.Part.Job)}, err
}

// Throttle has no effect.
func (w *fakeWorker) Throttle(ctx context.Context, req worker.ThrottleRequest) (worker.Report, error) {
	return w.call(ctx, "throttle", req.Epoch, func() error { return nil })
}

// Stop stops a part.
func (w *fakeWorker) Stop(ctx context.Context, req worker.StopRequest) (worker.Report, error) {
	return w.call(ctx, "stop", req.Epoch, func() error {
		p, ok := w.parts[req.Part]
		if !ok {
			return w.refusal("stop", worker.UnknownPart)
		}
		if p.report.State <= ident.PartRunning {
			w.end(p, ident.PartStopped, time.Now())
		}
		return nil
	})
}

// setIntercept sets the function that can replace responses; nil removes it.
func (w *fakeWorker) setIntercept(intercept func(w *fakeWorker, step string, after bool) error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.intercept = intercept
}

// setDisconnected disconnects or reconnects the worker. Its parts continue until their leases expire.
func (w *fakeWorker) setDisconnected(disconnected bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.disconnected = disconnected
	w.recorder.recordFault(w.name)
}

// crash ends all parts and clears the worker's state, including its epoch.
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
	w.recorder.recordFault(w.name)
	w.notifyChange()
}

// ServeHTTP implements the worker protocol over HTTP.
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

// serve decodes a request, calls the worker and encodes the reply.
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
