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

const (
	// readyTime is how long the instances take at most to serve the first call.
	readyTime = 20 * time.Second
	// troubleLeast and troubleMost bound how long a trouble lasts.
	troubleLeast = 300 * time.Millisecond
	troubleMost  = 6 * time.Second
	// borrowTime and claimTime are how long the jobs work that fill the pool at the end and that claim guarantees.
	borrowTime = 8 * time.Second
	claimTime  = time.Second
	// leavingJobs is how many jobs are handed in while a worker leaves.
	leavingJobs = 16
	// borrowEstimate is what the former say of themselves.
	borrowEstimate = 100 * time.Millisecond
)

// Run plays a run and reports it. The error tells why it could not be played.
func Run(ctx context.Context, config Config) (Report, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	group, ctx := errgroup.WithContext(ctx)
	started := time.Now()
	draw := rand.New(rand.NewPCG(config.Seed, 0))
	w, err := open(ctx, group, config, draw)
	if err == nil {
		err = w.play(draw)
	}
	cancel()
	w.shut()
	if err := errors.Join(err, group.Wait()); err != nil {
		return Report{}, err
	}
	return w.report(started), nil
}

// play lets jobs and troubles come, heals everything and waits for all jobs to end.
func (w *world) play(draw *rand.Rand) error {
	if err := w.awaitReady(); err != nil {
		return err
	}
	probing, stop := context.WithCancel(w.ctx)
	defer stop()
	probes, changes, jobs, troubles := fork(draw), fork(draw), fork(draw), fork(draw)
	w.group.Go(func() error { return w.probe(probing, probes) })
	w.group.Go(func() error { return w.operator.work(probing, changes) })
	var playing errgroup.Group
	playing.Go(func() error { w.sendJobs(jobs); return nil })
	playing.Go(func() error { return w.disturb(troubles) })
	if err := playing.Wait(); err != nil {
		return err
	}
	w.config.Logger.Info("troubles are over", "jobs", w.tally.jobs.Load())
	w.fleet.ForEachWorker((*fakes.Worker).ClearFaults)
	w.awaitClients()
	if w.config.CheckTiming && w.ctx.Err() == nil && !w.late.Load() {
		if err := w.checkLeaving(draw); err != nil {
			return err
		}
		w.awaitClients()
		w.checkReclaim(draw)
		w.awaitClients()
	}
	if err := w.ctx.Err(); err != nil {
		// What an interrupted run left undone breaks no promise.
		return fault.Wrap(err, fault.Internal, "play run", "")
	}
	w.checkIdle()
	if err := w.stopAll(); err != nil {
		return err
	}
	return w.checkLogs()
}

// awaitReady waits until all instances serve.
func (w *world) awaitReady() error {
	limit := time.Now().Add(w.config.stretch(readyTime))
	for _, i := range w.all() {
		for {
			reply, err := w.ask(i, queuePrefix(0), w.operator.key(0))
			if err == nil && reply.Status < 500 {
				break
			}
			if time.Now().After(limit) {
				return fault.New(fault.Unavailable, "await instances", i.name, "not ready after %v: %v", readyTime, err)
			}
			if !clock.Sleep(w.ctx, retryPause) {
				return w.ctx.Err()
			}
		}
	}
	return nil
}

// sendJobs hands jobs in at random times.
func (w *world) sendJobs(draw *rand.Rand) {
	end := time.Now().Add(w.config.Duration)
	for time.Now().Before(end) {
		w.submitOne(draw)
		pause := draw.ExpFloat64() / w.config.JobsPerSecond
		if !clock.Sleep(w.ctx, time.Duration(pause*float64(time.Second))) {
			return
		}
	}
}

// disturb plays troubles, which overlap, until the span is over, and waits for their ends.
func (w *world) disturb(draw *rand.Rand) error {
	if w.config.FaultInterval == 0 {
		return nil
	}
	total := 0
	for _, t := range troubles {
		total += t.weight
	}
	end := time.Now().Add(w.config.Duration)
	var group errgroup.Group
	for {
		pause := time.Duration(draw.ExpFloat64() * float64(w.config.FaultInterval))
		if time.Now().Add(pause).After(end) || !clock.Sleep(w.ctx, pause) {
			return group.Wait()
		}
		t := pick(draw, total)
		span := between(draw, troubleLeast, troubleMost)
		own := fork(draw)
		group.Go(func() error { return w.trouble(t, own, span) })
	}
}

func pick(draw *rand.Rand, total int) trouble {
	n := draw.IntN(total)
	for _, t := range troubles {
		if n -= t.weight; n < 0 {
			return t
		}
	}
	return troubles[0]
}

// trouble plays one trouble.
func (w *world) trouble(t trouble, draw *rand.Rand, span time.Duration) error {
	w.config.Logger.Info("trouble begins", "kind", t.name, "span_ms", span.Milliseconds())
	w.tally.troubles.Add(1)
	if !t.harmless {
		w.calendar.begin()
		defer w.calendar.end()
	}
	err := t.play(w, draw, span)
	w.config.Logger.Info("trouble ends", "kind", t.name)
	return err
}

// awaitClients waits until all clients have seen their jobs end.
func (w *world) awaitClients() {
	done := make(chan struct{})
	w.group.Go(func() error {
		w.clients.Wait()
		close(done)
		return nil
	})
	select {
	case <-done:
	case <-w.ctx.Done():
	case <-time.After(w.config.stretch(finishTime)):
		w.late.Store(true)
		<-done
	}
}

// checkLeaving hands jobs in while half of the workers leave and nothing is disturbed.
func (w *world) checkLeaving(draw *rand.Rand) error {
	clock.Sleep(w.ctx, 2*stableTime)
	var leaving errgroup.Group
	all := w.workers()
	for _, m := range all[:len(all)/2] {
		own := fork(draw)
		leaving.Go(func() error { return w.exchange(m, own) })
	}
	for range leavingJobs {
		w.submitOne(draw)
		clock.Sleep(w.ctx, retryPause)
	}
	return leaving.Wait()
}

// checkReclaim fills the pool with jobs that may be stopped, and has each account ask for its guarantee.
func (w *world) checkReclaim(draw *rand.Rand) {
	clock.Sleep(w.ctx, stableTime)
	for range w.config.Workers {
		w.submitJob(w.borrower(draw))
	}
	clock.Sleep(w.ctx, stableTime)
	for account := range accounts {
		c := w.claimant(draw, account)
		w.submitJob(c)
		w.group.Go(func() error {
			if !clock.Sleep(w.ctx, reclaimTime+retryPause) {
				return nil
			}
			if !w.fleet.Started(c.job.Spec.ID) {
				w.breached("job %s: within the guarantee of account %d, not begun after %v", c.job.Spec.ID, account, reclaimTime)
			}
			return nil
		})
	}
	clock.Sleep(w.ctx, reclaimTime+2*retryPause)
}

// borrower is a client whose job takes a whole worker. It is estimated to be so short that it soon has no slack left
// and takes what is kept free for guaranteed jobs.
func (w *world) borrower(draw *rand.Rand) *client {
	c := w.newClient(fork(draw))
	c.steady(1, borrowTime, work.Step{Parts: 1})
	c.job.Spec.Steps[0].Estimate = borrowEstimate
	return c
}

// claimant is a client whose job takes the whole guarantee of an account.
func (w *world) claimant(draw *rand.Rand, account int) *client {
	c := w.newClient(fork(draw))
	c.account, c.job.Spec.Account = account, accountName(account)
	c.steady(work.Guaranteed, claimTime, work.Step{Parts: guarantee / int(capacity.Accelerators), Gang: true})
	return c
}

// steady gives the client a sound job whose parts take whole workers, and has it wait for the job's end.
func (c *client) steady(priority work.Priority, length time.Duration, step work.Step) {
	c.prefix, c.tries, c.cancelAfter = queuePrefix(priority), submitTries, 0
	c.job.AlwaysFails, c.job.RunTime = false, length
	c.job.Spec.Terms, c.job.Spec.Repeat = terms(priority), work.Repeat{}
	c.job.Spec.Steps = []work.Step{newStep(c.job, step, int(capacity.Accelerators))}
}

// checkIdle checks that nothing runs once all jobs have ended. Jobs whose submission was never answered may run on.
func (w *world) checkIdle() {
	if w.tally.unknown.Load() > 0 {
		return
	}
	clock.Sleep(w.ctx, 2*stableTime)
	w.fleet.ForEachWorker(func(f *fakes.Worker) {
		if f.RunningCount() > 0 {
			w.breached("worker %s runs %d parts though all jobs have ended", f.Entry.WorkerProcess.Worker, f.RunningCount())
		}
	})
}

// stopAll stops all instances by plan.
func (w *world) stopAll() error {
	return w.each(func(i *instance) error {
		i.retire()
		return i.stop()
	})
}

// alarms are what no log of an instance may hold.
var alarms = []string{"panic: ", "fatal error: ", "would have broken a promise", "WARNING: DATA RACE"}

// checkLogs looks for alarms in the instances' logs.
func (w *world) checkLogs() error {
	for _, i := range w.everyInstance() {
		text, err := os.ReadFile(i.logPath())
		if err != nil {
			return fault.Wrap(err, fault.Internal, "read log", i.name)
		}
		for _, alarm := range alarms {
			if n := strings.Count(string(text), alarm); n > 0 {
				w.breached("instance %s: its log tells %q %d times", i.name, alarm, n)
			}
		}
	}
	return nil
}

// shut kills the processes that still run.
func (w *world) shut() {
	for _, i := range w.everyInstance() {
		i.retire()
		if p := i.current(); p != nil && !p.Exited() {
			p.Kill()
		}
	}
}
