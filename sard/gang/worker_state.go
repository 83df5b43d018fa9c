package gang

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
	"github.com/sardineline/sardineline/sard/worker"
)

// workerState is the scheduler's view of one worker. It is guarded by Scheduler.mu.
type workerState struct {
	name    ident.Worker
	address string
	client  worker.Client
	// listed is set if the worker is in the topology.
	listed bool
	// polling is set while the worker's poll loop is running.
	polling bool
	// fenced is set once the worker has accepted this epoch and reported its parts.
	fenced bool
	// lost is set while the engine regards the worker as lost.
	lost bool
	// acceptedAt is when the last call that the worker accepted under this epoch was sent; heardAt is when its response
	// arrived.
	acceptedAt, heardAt time.Time
	// lastSequence is the sequence number of the last report; 0 requests a full report.
	lastSequence uint64
	// parts are the attempt parts placed on this worker.
	parts map[*attemptPart]struct{}
	// lastPollFailed is set after a failed poll. The next poll then asks the worker to respond at once.
	lastPollFailed bool
	// forget are ended parts of finished attempts. The next poll tells the worker that it need not report them any
	// more.
	forget []worker.Part
	// stoppingStrays are parts that the worker reports although they belong to no known attempt, and that are being
	// stopped.
	stoppingStrays map[worker.Part]bool
}

// addWorker adds or updates a listed worker and, if the domain has recovered, starts its poll loop. The caller holds mu.
func (s *Scheduler) addWorker(fleetWorker fleet.Worker) {
	w, ok := s.workers[fleetWorker.Name]
	if !ok {
		w = &workerState{name: fleetWorker.Name, heardAt: time.Now(), parts: map[*attemptPart]struct{}{}, stoppingStrays: map[worker.Part]bool{}}
		s.workers[fleetWorker.Name] = w
	}
	if w.client == nil || w.address != fleetWorker.Address {
		w.address = fleetWorker.Address
		w.client = s.config.WorkerClient(fleetWorker.Name, fleetWorker.Address)
	}
	w.listed = true
	if s.ready {
		s.startPolling(w)
	}
}

// lookUpWorker returns the state of a worker and creates it if needed, since records may refer to a worker that is no
// longer listed. The caller holds mu.
func (s *Scheduler) lookUpWorker(name ident.Worker) *workerState {
	w, ok := s.workers[name]
	if !ok {
		w = &workerState{name: name, heardAt: time.Now(), parts: map[*attemptPart]struct{}{}, stoppingStrays: map[worker.Part]bool{}}
		s.workers[name] = w
	}
	return w
}

// startPolling starts a worker's poll loop. The caller holds mu.
func (s *Scheduler) startPolling(w *workerState) {
	if w.polling || w.client == nil {
		return
	}
	w.polling = true
	s.goTask(func(ctx context.Context) { s.pollWorker(ctx, w) })
}

// pollWorker fences a worker, then repeatedly renews the leases of its parts and processes its reports, until the worker
// is neither listed nor used by an attempt.
func (s *Scheduler) pollWorker(ctx context.Context, w *workerState) {
	for ctx.Err() == nil && s.keepPolling(w) {
		if err := s.pollOnce(ctx, w); err != nil {
			s.handlePollError(w, err)
			clock.Sleep(ctx, callRetryInterval)
		}
	}
}

// keepPolling reports whether the worker is still listed or used. Otherwise it marks the poll loop as ended.
func (s *Scheduler) keepPolling(w *workerState) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if w.listed || len(w.parts) > 0 {
		return true
	}
	w.polling, w.fenced = false, false
	return false
}

// pollOnce fences the worker if needed, or else renews its parts and waits for its report.
func (s *Scheduler) pollOnce(ctx context.Context, w *workerState) error {
	s.mu.Lock()
	client, fenced := w.client, w.fenced
	s.mu.Unlock()
	if !fenced {
		return s.fenceWorker(ctx, w, client)
	}
	// Limit the rate of polls if the worker responds immediately although nothing changed.
	answeredEarly := false
	defer func() {
		if answeredEarly {
			clock.Sleep(ctx, callRetryInterval)
		}
	}()
	req, renewed := s.newRenewRequest(w)
	sent := time.Now()
	report, err := client.Renew(ctx, req)
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, p := range renewed {
		p.grantReturned(err, longLease)
	}
	if err != nil {
		return err
	}
	answeredEarly = report.Sequence == req.Seen && time.Since(sent) < callRetryInterval
	s.handleReport(w, sent, report)
	return nil
}

// fenceWorker tells a worker the epoch of this holder, after which it rejects calls of earlier holders, and processes
// the worker's report.
func (s *Scheduler) fenceWorker(ctx context.Context, w *workerState, client worker.Client) error {
	sent := time.Now()
	report, err := client.Fence(ctx, worker.FenceRequest{Domain: s.config.DataCentre, Epoch: s.config.Lease.Epoch()})
	if err != nil {
		return err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	w.fenced = true
	for p := range w.parts {
		p.workerFenced(sent)
	}
	s.handleReport(w, sent, report)
	return nil
}

// newRenewRequest returns the next poll of a worker and the parts whose leases it renews: all confirmed parts if
// mayRenew allows it, otherwise none.
func (s *Scheduler) newRenewRequest(w *workerState) (worker.RenewRequest, []*attemptPart) {
	s.mu.Lock()
	defer s.mu.Unlock()
	req := worker.RenewRequest{
		Domain: s.config.DataCentre,
		Epoch:  s.config.Lease.Epoch(),
		Lease:  ident.Duration(longLease),
		Seen:   w.lastSequence,
		Wait:   ident.Duration(maxPollWait),
		Forget: w.forget,
	}
	if w.lastPollFailed {
		req.Wait = 0
	}
	if !s.mayRenew() {
		return req, nil
	}
	var renewed []*attemptPart
	for p := range w.parts {
		if p.attempt.phase == phaseConfirmed && !p.ended() {
			req.Parts = append(req.Parts, p.id)
			renewed = append(renewed, p)
			p.grantSent()
		}
	}
	return req, renewed
}

// mayRenew reports whether leases of parts may be renewed, because no later holder can be waiting for them to expire yet.
// While the domain lease is expired, a majority of workers must have accepted this epoch within maxMajorityAge: a later
// holder starts to wait only after it has fenced a majority, and any two majorities share a worker. The caller holds mu.
func (s *Scheduler) mayRenew() bool {
	err := s.config.Lease.Check()
	if err == nil {
		return true
	}
	return !fault.Is(err, fault.Fenced) && s.majority(func(w *workerState) bool {
		return w.fenced && time.Since(w.acceptedAt) < maxMajorityAge
	})
}

// majority reports whether more than half of the listed workers satisfy the condition. The caller holds mu.
func (s *Scheduler) majority(condition func(*workerState) bool) bool {
	listed, count := 0, 0
	for _, w := range s.workers {
		if !w.listed {
			continue
		}
		listed++
		if condition(w) {
			count++
		}
	}
	return 2*count > listed
}

// handleReport updates the states of a worker and its parts from a report of the worker, given in response to a call
// sent at the given time. The caller holds mu.
func (s *Scheduler) handleReport(w *workerState, sent time.Time, report worker.Report) {
	w.acceptedAt, w.heardAt, w.lastPollFailed = sent, time.Now(), false
	w.lastSequence = report.Sequence
	if s.majorityFencedAt.IsZero() && s.majority(func(w *workerState) bool { return w.fenced }) {
		s.majorityFencedAt = time.Now()
	}
	if w.lost {
		w.lost = false
		s.log.Info("worker back", "Worker", w.name)
		s.applyEvent(place.WorkerRecovered{Worker: w.name})
	}
	w.forget = nil
	if report.Unchanged {
		return
	}
	reportedParts := map[worker.Part]worker.PartReport{}
	for _, reported := range report.Parts {
		reportedParts[reported.Part] = reported
	}
	for p := range w.parts {
		if !p.applyReport(sent, reportedParts) {
			// Request a full report next.
			w.lastSequence = 0
		}
	}
	for id, reported := range reportedParts {
		switch {
		case s.belongsToAttempt(w, id):
		case reported.State <= ident.PartRunning:
			s.stopStray(w, id)
		default:
			w.forget = append(w.forget, id)
		}
	}
}

// belongsToAttempt reports whether a part on a worker belongs to a current attempt. The caller holds mu.
func (s *Scheduler) belongsToAttempt(w *workerState, id worker.Part) bool {
	for p := range w.parts {
		if p.id == id {
			return true
		}
	}
	return false
}

// stopStray stops a part that belongs to no current attempt. The caller holds mu.
func (s *Scheduler) stopStray(w *workerState, id worker.Part) {
	if w.stoppingStrays[id] {
		return
	}
	w.stoppingStrays[id] = true
	client := w.client
	s.log.Warn("stray part stopped", "Worker", w.name, "Job", id.Job, "Attempt", id.Attempt)
	s.goTask(func(ctx context.Context) {
		req := worker.StopRequest{Domain: s.config.DataCentre, Epoch: s.config.Lease.Epoch(), Part: id}
		if _, err := client.Stop(ctx, req); err != nil {
			s.handleCallError("stop stray part", err)
		}
		s.mu.Lock()
		defer s.mu.Unlock()
		delete(w.stoppingStrays, id)
		w.lastSequence = 0
	})
}

// handlePollError records a failed poll and declares the worker lost after unreachableTimeout.
func (s *Scheduler) handlePollError(w *workerState, err error) {
	s.handleCallError("poll worker", err)
	s.mu.Lock()
	defer s.mu.Unlock()
	w.lastPollFailed = true
	if w.lost || time.Since(w.heardAt) < unreachableTimeout {
		return
	}
	w.lost, w.fenced = true, false
	s.log.Warn("worker lost", "Worker", w.name, "Error", err)
	for p := range w.parts {
		p.attempt.requestEnd(termination{result: place.Requeued, reason: "worker " + string(w.name) + " was lost"})
	}
	s.applyEvent(place.WorkerLost{Worker: w.name})
}

// handleCallError counts and logs a failed worker call. If the worker rejected the epoch, the lease is marked as lost.
func (s *Scheduler) handleCallError(step string, err error) {
	s.metrics.callFailed(step)
	if fault.Is(err, fault.Fenced) {
		s.log.Warn("epoch superseded, domain lease marked as lost", "Step", step, "Error", err)
		s.config.Lease.MarkLost()
		return
	}
	s.log.Debug("worker call failed", "Step", step, "Error", err)
}
