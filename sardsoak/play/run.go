package play

import (
	"context"
	"errors"
	"math/rand/v2"
	"os"
	"strings"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/work"
)

// Times and sizes of the phases of a run.
const (
	// readyTimeout is the time in which all instances must serve their first call.
	readyTimeout = 20 * time.Second
	// minFaultDuration and maxFaultDuration limit the duration of a fault.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 6 * time.Second
	// borrowerRunTime is the run time of the jobs that fill the pool at the end, claimantRunTime that of the jobs that
	// claim guarantees.
	borrowerRunTime = 8 * time.Second
	claimantRunTime = time.Second
	// drainJobCount is the number of jobs submitted while workers are drained.
	drainJobCount = 16
	// borrowerEstimate is the run time that the jobs that fill the pool claim to have.
	borrowerEstimate = 100 * time.Millisecond
)

// Run executes a run and returns its report. It returns an error if the run could not be completed.
func Run(ctx context.Context, config Config) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	started := time.Now()
	rng := rand.New(rand.NewPCG(config.Seed, 0))
	h, err := startHarness(ctx, group, config, rng)
	if err == nil {
		err = h.run(rng)
	}
	cancel()
	h.killAll()
	if err := errors.Join(err, group.Wait()); err != nil {
		return Report{}, err
	}
	return h.report(started), nil
}

// run submits jobs and injects faults, clears all faults, waits until all jobs have ended and makes the final checks.
func (h *harness) run(rng *rand.Rand) error {
	if err := h.waitForReady(); err != nil {
		return err
	}
	probing, stop := context.WithCancel(h.ctx)
	defer stop()
	probeRng, changeRng, jobRng, faultRng := forkRand(rng), forkRand(rng), forkRand(rng), forkRand(rng)
	h.group.Go(func() error { return h.probe(probing, probeRng) })
	h.group.Go(h.watchUsage)
	h.group.Go(func() error { return h.operator.run(probing, changeRng) })
	var load errgroup.Group
	load.Go(func() error { h.submitJobs(jobRng); return nil })
	load.Go(func() error { return h.injectFaults(faultRng) })
	if err := load.Wait(); err != nil {
		return err
	}
	h.config.Logger.Info("fault injection ended", "jobs", h.counters.jobs.Load())
	h.fleet.ForEachWorker((*fakes.Worker).ClearFaults)
	h.waitForClients()
	if h.config.CheckTiming && h.ctx.Err() == nil && !h.overdue.Load() {
		if err := h.checkWorkerDrain(rng); err != nil {
			return err
		}
		h.waitForClients()
		h.checkReclaim(rng)
		h.waitForClients()
	}
	if err := h.ctx.Err(); err != nil {
		// An interrupted run leaves jobs unfinished, which is not a violation.
		return fault.Wrap(err, fault.Internal, "play run", "")
	}
	h.checkIdle()
	if err := h.stopAll(); err != nil {
		return err
	}
	return h.checkLogs()
}

// waitForReady waits until all instances serve calls.
func (h *harness) waitForReady() error {
	deadline := time.Now().Add(h.config.scaleTimeout(readyTimeout))
	for _, i := range h.currentInstances() {
		for {
			reply, err := h.queryUnknownJob(i, queuePrefix(0), h.operator.oldestKey(0))
			if err == nil && reply.Status < 500 {
				break
			}
			if time.Now().After(deadline) {
				return fault.New(fault.Unavailable, "await instances", i.name, "not ready after %v: %v", readyTimeout, err)
			}
			if !clock.Sleep(h.ctx, retryDelay) {
				return h.ctx.Err()
			}
		}
	}
	return nil
}

// submitJobs submits jobs at random times for the duration of the run.
func (h *harness) submitJobs(rng *rand.Rand) {
	end := time.Now().Add(h.config.Duration)
	for time.Now().Before(end) {
		h.submitRandomJob(rng)
		pause := rng.ExpFloat64() / h.config.JobsPerSecond
		if !clock.Sleep(h.ctx, time.Duration(pause*float64(time.Second))) {
			return
		}
	}
}

// injectFaults injects random faults, which may overlap, for the duration of the run, and waits until they have ended.
func (h *harness) injectFaults(rng *rand.Rand) error {
	if h.config.FaultInterval == 0 {
		return nil
	}
	total := 0
	for _, kind := range faultKinds {
		total += kind.weight
	}
	end := time.Now().Add(h.config.Duration)
	var group errgroup.Group
	for {
		pause := time.Duration(rng.ExpFloat64() * float64(h.config.FaultInterval))
		if time.Now().Add(pause).After(end) || !clock.Sleep(h.ctx, pause) {
			return group.Wait()
		}
		kind := pickFault(rng, total)
		duration := randomDuration(rng, minFaultDuration, maxFaultDuration)
		ownRng := forkRand(rng)
		group.Go(func() error { return h.injectFault(kind, ownRng, duration) })
	}
}

// pickFault returns a random kind of fault. The argument total is the sum of all weights.
func pickFault(rng *rand.Rand, total int) faultKind {
	n := rng.IntN(total)
	for _, kind := range faultKinds {
		if n -= kind.weight; n < 0 {
			return kind
		}
	}
	return faultKinds[0]
}

// injectFault injects one fault and logs its start and end.
func (h *harness) injectFault(kind faultKind, rng *rand.Rand, duration time.Duration) error {
	h.config.Logger.Info("fault started", "kind", kind.name, "span_ms", duration.Milliseconds())
	h.counters.faults.Add(1)
	if !kind.harmless {
		h.faultTracker.faultStarted()
		defer h.faultTracker.faultEnded()
	}
	err := kind.inject(h, rng, duration)
	h.config.Logger.Info("fault ended", "kind", kind.name)
	return err
}

// waitForClients waits until all clients have seen their jobs end. After finishTimeout it makes them report what has
// not ended.
func (h *harness) waitForClients() {
	done := make(chan struct{})
	h.group.Go(func() error {
		h.runningClients.Wait()
		close(done)
		return nil
	})
	select {
	case <-done:
	case <-h.ctx.Done():
	case <-time.After(h.config.scaleTimeout(finishTimeout)):
		h.overdue.Store(true)
		<-done
	}
}

// checkWorkerDrain submits jobs while half of the workers are drained and no fault is active.
func (h *harness) checkWorkerDrain(rng *rand.Rand) error {
	clock.Sleep(h.ctx, 2*recoveryTime)
	var leaving errgroup.Group
	all := h.currentWorkers()
	for _, w := range all[:len(all)/2] {
		ownRng := forkRand(rng)
		leaving.Go(func() error { return h.drainAndReplaceWorker(w, ownRng) })
	}
	for range drainJobCount {
		h.submitRandomJob(rng)
		clock.Sleep(h.ctx, retryDelay)
	}
	return leaving.Wait()
}

// checkReclaim fills the pool with jobs that may be stopped, and then checks that each account gets its guarantee in
// time.
func (h *harness) checkReclaim(rng *rand.Rand) {
	clock.Sleep(h.ctx, recoveryTime)
	for range h.config.Workers {
		h.startClient(h.newBorrower(rng))
	}
	clock.Sleep(h.ctx, recoveryTime)
	for account := range accountCount {
		c := h.newClaimant(rng, account)
		h.startClient(c)
		h.group.Go(func() error {
			if !clock.Sleep(h.ctx, maxReclaimDelay+retryDelay) {
				return nil
			}
			if !h.fleet.Started(c.job.Spec.ID) {
				h.reportViolation("job %s: within the guarantee of account %d, but not started after %v", c.job.Spec.ID, account, maxReclaimDelay)
			}
			return nil
		})
	}
	clock.Sleep(h.ctx, maxReclaimDelay+2*retryDelay)
}

// newBorrower returns a client whose job takes a whole worker. Its estimate is so short that the job soon has no slack
// left and uses capacity that is kept free for guaranteed jobs.
func (h *harness) newBorrower(rng *rand.Rand) *client {
	c := h.newRandomClient(forkRand(rng))
	c.setFixedJob(1, borrowerRunTime, work.Step{Parts: 1})
	c.job.Spec.Steps[0].Estimate = borrowerEstimate
	return c
}

// newClaimant returns a client whose job takes the whole guarantee of an account.
func (h *harness) newClaimant(rng *rand.Rand, account int) *client {
	c := h.newRandomClient(forkRand(rng))
	c.account, c.job.Spec.Account = account, accountName(account)
	c.setFixedJob(work.Guaranteed, claimantRunTime, work.Step{Parts: accountGuarantee / int(workerCapacity.Accelerators), Gang: true})
	return c
}

// setFixedJob gives the client a job that succeeds and whose parts take whole workers, and makes it wait for the end of
// the job.
func (c *client) setFixedJob(priority work.Priority, runTime time.Duration, step work.Step) {
	c.prefix, c.maxAttempts, c.cancelAfter = queuePrefix(priority), maxSubmitAttempts, 0
	c.job.AlwaysFails, c.job.RunTime = false, runTime
	c.job.Spec.Terms, c.job.Spec.Repeat = queueSettings(priority), work.Repeat{}
	c.job.Spec.Steps = []work.Step{newStep(c.job, step, int(workerCapacity.Accelerators))}
}

// checkIdle checks that nothing runs after all jobs have ended. It is skipped if the outcome of a submission is unknown,
// since such a job may still run.
func (h *harness) checkIdle() {
	if h.counters.unknown.Load() > 0 {
		return
	}
	clock.Sleep(h.ctx, 2*recoveryTime)
	h.fleet.ForEachWorker(func(fake *fakes.Worker) {
		if fake.RunningCount() > 0 {
			h.reportViolation("worker %s still runs %d parts although all jobs have ended", fake.Entry.WorkerProcess.Worker, fake.RunningCount())
		}
	})
}

// stopAll stops all instances gracefully.
func (h *harness) stopAll() error {
	return h.forEachInstance(func(i *instance) error {
		i.retire()
		return i.stopAndRestart()
	})
}

// forbiddenLogTexts are texts that no log of an instance may contain.
var forbiddenLogTexts = []string{"panic: ", "fatal error: ", "would have broken a promise", "WARNING: DATA RACE", "learned state ignored"}

// checkLogs checks that the logs of the instances contain no forbidden text.
func (h *harness) checkLogs() error {
	for _, i := range h.allInstances() {
		text, err := os.ReadFile(i.logPath())
		if err != nil {
			return fault.Wrap(err, fault.Internal, "read log", i.name)
		}
		for _, forbidden := range forbiddenLogTexts {
			if n := strings.Count(string(text), forbidden); n > 0 {
				h.reportViolation("instance %s: its log contains %q %d times", i.name, forbidden, n)
			}
		}
	}
	return nil
}

// killAll kills the processes that are still running.
func (h *harness) killAll() {
	for _, i := range h.allInstances() {
		i.retire()
		if p := i.currentProcess(); p != nil && !p.Exited() {
			p.Kill()
		}
	}
}
