package fakes

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/work"
)

// lateTimeout limits the execution of an order that is executed late.
const lateTimeout = time.Second

// Start handles a request to start an attempt of a part.
func (w *Worker) Start(ctx context.Context, req sched.StartRequest) (sched.Reply, error) {
	if err := w.ignoreOrder(ctx, req.Worker, false, func(ctx context.Context) { _, _ = w.start(ctx, req) }); err != nil {
		return sched.Reply{}, err
	}
	return w.start(ctx, req)
}

// Stop handles a request to stop an attempt of a part, which takes StopDelay.
func (w *Worker) Stop(ctx context.Context, req sched.StopRequest) (sched.Reply, error) {
	if err := w.ignoreOrder(ctx, req.Worker, false, func(ctx context.Context) { _, _ = w.stop(ctx, req) }); err != nil {
		return sched.Reply{}, err
	}
	return w.stop(ctx, req)
}

// Throttle handles a request to set the share of a run, which takes effect after ThrottleDelay.
func (w *Worker) Throttle(ctx context.Context, req sched.ThrottleRequest) (sched.Reply, error) {
	if err := w.ignoreOrder(ctx, req.Worker, true, func(ctx context.Context) { _, _ = w.throttle(ctx, req) }); err != nil {
		return sched.Reply{}, err
	}
	return w.throttle(ctx, req)
}

// StartUnfenced executes a start request late, in a process that no scheduler could reach before. It may be a second run of its part,
// or follow an acknowledged end; a scheduler must take it into account once it has been told of it.
func (w *Worker) StartUnfenced(req sched.StartRequest) error {
	w.fleet.mu.Lock()
	defer w.fleet.mu.Unlock()
	if err := w.connect(req.Worker.Worker); err != nil {
		return err
	}
	return w.runChecked(req.Worker, req.Epoch, func() error { return w.startAttempt(req, true) })
}

// ignoreOrder returns an error once ctx ends if the worker leaves such orders unanswered now. It executes the order late if the
// worker does so.
func (w *Worker) ignoreOrder(ctx context.Context, process work.WorkerProcess, throttles bool, execute func(context.Context)) error {
	w.fleet.mu.Lock()
	ignored, lateness, startedMs := w.IgnoresOrders || throttles && w.IgnoresThrottles, w.OrderLateness, w.Entry.StartedMs
	w.fleet.mu.Unlock()
	if !ignored {
		return nil
	}
	if lateness > 0 {
		time.AfterFunc(lateness, func() {
			ctx, cancel := context.WithTimeout(context.Background(), lateTimeout)
			defer cancel()
			if w.LaterProcessExecutes || w.startedMs() == startedMs {
				execute(ctx)
			}
		})
	}
	return waitForCancel(ctx, process)
}
