package play

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/sardineline/sardineline/platform/front"
	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fakes"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// Constants of the clients.
const (
	// maxSubmitAttempts is the highest number of attempts to submit a job. Some clients give up sooner.
	maxSubmitAttempts = 5
	// retryDelay is the time between two attempts, pollInterval the time between two queries of a job's state.
	retryDelay   = 300 * time.Millisecond
	pollInterval = 700 * time.Millisecond
	// duplicateDelay is the time between the acceptance of a job and a duplicate of its submission.
	duplicateDelay = 2 * time.Second
)

// States of ended jobs as the protocol spells them.
const (
	stateCompleted = "completed"
	stateFailed    = "failed"
	stateCancelled = "cancelled"
)

// client submits one job and polls its state until it has ended.
type client struct {
	harness *harness
	rng     *rand.Rand
	job     *fakes.Job
	account int
	prefix  string
	// maxAttempts is how often the client tries to submit the job.
	maxAttempts int
	// cancelAfter is the time from acceptance to cancellation; 0 for never.
	cancelAfter time.Duration
	// sendsDuplicate makes the client repeat the submission after the job was accepted.
	sendsDuplicate bool

	// cancelled reports whether a cancellation was sent.
	cancelled atomic.Bool
}

// submitRandomJob starts a client with a random job.
func (h *harness) submitRandomJob(rng *rand.Rand) {
	h.startClient(h.newRandomClient(forkRand(rng)))
}

// startClient registers the job of a client with the fleet and runs the client.
func (h *harness) startClient(c *client) {
	h.fleet.AddJob(c.job)
	h.counters.jobs.Add(1)
	h.runningClients.Add(1)
	h.group.Go(func() error {
		defer h.runningClients.Done()
		c.run()
		return nil
	})
}

// run submits the job and follows it if it was accepted.
func (c *client) run() {
	switch accepted, refused := c.submit(); {
	case accepted:
		c.harness.counters.accepted.Add(1)
		c.followJob()
	case refused:
		c.harness.counters.refused.Add(1)
		c.harness.fleet.Update(func() { c.job.Refused = true })
	default:
		c.harness.counters.unknown.Add(1)
	}
}

// callInstance calls a random instance and checks that a graceful stop does not abort the call.
func (c *client) callInstance(send func(ctx context.Context, target front.Target) (front.Reply, error)) (front.Reply, error) {
	i := c.harness.randomInstance(c.rng)
	target := front.Target{Address: i.clientAddress(), Host: host, Prefix: c.prefix, APIKey: c.harness.operator.oldestKey(c.account)}
	return i.checkedCall(func(ctx context.Context) (front.Reply, error) { return send(ctx, target) })
}

// submit submits the job. It returns whether the job was accepted, and whether it was refused for certain; neither if
// the outcome is unknown.
func (c *client) submit() (accepted, refused bool) {
	refused = true
	for range c.maxAttempts {
		reply, err := c.callInstance(func(ctx context.Context, target front.Target) (front.Reply, error) {
			return c.harness.frontClient.Submit(ctx, target, c.job.Spec)
		})
		if err == nil && reply.Status == http.StatusOK {
			return true, false
		}
		refused = refused && hadNoEffect(reply, err)
		c.checkRetryAfter(reply)
		if !clock.Sleep(c.harness.ctx, retryDelay) {
			return false, false
		}
	}
	return false, refused
}

// hadNoEffect reports whether a submission that was not accepted is certain to have had no effect.
func hadNoEffect(reply front.Reply, err error) bool {
	if err != nil {
		return fault.Is(err, fault.Unavailable)
	}
	switch reply.Status {
	case http.StatusServiceUnavailable, http.StatusTooManyRequests, http.StatusUnauthorized, http.StatusNotFound:
		return true
	default:
		return false
	}
}

// checkRetryAfter checks that a temporary refusal says when to retry.
func (c *client) checkRetryAfter(reply front.Reply) {
	busy := reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests
	if busy && !reply.RetryAfter {
		c.harness.reportViolation("job %s: refused with status %d without Retry-After", c.job.Spec.ID, reply.Status)
	}
}

// followJob polls the job's state until it has ended. Meanwhile it cancels the job and sends the duplicate submission,
// as the client is set up to.
func (c *client) followJob() {
	start := time.Now()
	repeatAt := start.Add(duplicateDelay)
	for clock.Sleep(c.harness.ctx, pollInterval) {
		if c.harness.overdue.Load() {
			c.harness.reportViolation("job %s (%s) was accepted %v ago and has not ended", c.job.Spec.ID, c.describe(), time.Since(start))
			return
		}
		if c.cancelAfter > 0 && time.Since(start) > c.cancelAfter && !c.cancelled.Load() {
			c.cancel()
		}
		if c.sendsDuplicate && time.Now().After(repeatAt) {
			c.sendsDuplicate = false
			c.submitDuplicate()
		}
		state, known := c.queryState()
		if !known || !c.checkFinalState(state) {
			continue
		}
		c.checkStateIsFinal(state)
		return
	}
}

// describe returns the properties of the job for messages.
func (c *client) describe() string {
	return fmt.Sprintf("%d steps, priority %d, always fails %v, cancelled %v", len(c.job.Spec.Steps), c.job.Spec.Terms.Priority, c.job.AlwaysFails, c.cancelled.Load())
}

// queryState returns the job's state, and whether the query succeeded.
func (c *client) queryState() (string, bool) {
	reply, err := c.callInstance(func(ctx context.Context, target front.Target) (front.Reply, error) {
		return c.harness.frontClient.State(ctx, target, c.job.Spec.ID)
	})
	if err == nil && reply.Status == http.StatusGone {
		c.harness.reportViolation("job %s: accepted, but reported as unknown", c.job.Spec.ID)
	}
	return reply.State, err == nil && reply.Status == http.StatusOK
}

// checkFinalState returns whether a state is final. It checks a final state against what the workers and the client did.
func (c *client) checkFinalState(state string) bool {
	id := c.job.Spec.ID
	switch state {
	case stateCompleted:
		if !c.harness.fleet.Completed(id) {
			c.harness.reportViolation("job %s: reported as completed, but not all parts have succeeded", id)
		}
	case stateFailed:
		if !c.harness.fleet.FailuresExhausted(id) {
			c.harness.reportViolation("job %s: reported as failed, but no part has failed %d times", id, maxFailures)
		}
	case stateCancelled:
		if !c.cancelled.Load() {
			c.harness.reportViolation("job %s: reported as cancelled, but its client has not cancelled it", id)
		}
	default:
		return false
	}
	c.harness.counters.countFinalState(state)
	return true
}

// checkStateIsFinal checks that the final state of a job does not change.
func (c *client) checkStateIsFinal(last string) {
	if !clock.Sleep(c.harness.ctx, pollInterval) {
		return
	}
	if state, known := c.queryState(); known && state != last {
		c.harness.reportViolation("job %s: reported as %s and later as %s", c.job.Spec.ID, last, state)
	}
}

// cancel cancels the job. It retries in the background if the call fails.
func (c *client) cancel() {
	c.cancelled.Store(true)
	reply, err := c.callInstance(func(ctx context.Context, target front.Target) (front.Reply, error) {
		return c.harness.frontClient.Cancel(ctx, target, c.job.Spec.ID)
	})
	switch {
	case err == nil && reply.Status == http.StatusOK:
		c.harness.fleet.Update(func() { c.job.Cancelled = time.Now() })
	case err == nil && reply.Status == http.StatusGone:
		c.harness.reportViolation("job %s: accepted, but reported as unknown when it was cancelled", c.job.Spec.ID)
	default:
		c.retryCancel()
	}
}

// retryCancel repeats a cancellation that failed.
func (c *client) retryCancel() {
	c.harness.runningClients.Add(1)
	c.harness.group.Go(func() error {
		defer c.harness.runningClients.Done()
		if clock.Sleep(c.harness.ctx, retryDelay) {
			c.cancel()
		}
		return nil
	})
}

// submitDuplicate repeats the submission and checks that it is recognised as the same job.
func (c *client) submitDuplicate() {
	reply, err := c.callInstance(func(ctx context.Context, target front.Target) (front.Reply, error) {
		return c.harness.frontClient.Submit(ctx, target, c.job.Spec)
	})
	if err == nil && reply.Status == http.StatusConflict {
		c.harness.reportViolation("job %s: a duplicate of its submission was refused as a conflict", c.job.Spec.ID)
	}
}

// newRandomClient returns a client with a random job.
func (h *harness) newRandomClient(rng *rand.Rand) *client {
	c := &client{harness: h, rng: rng, account: rng.IntN(accountCount), sendsDuplicate: rng.IntN(10) == 0, maxAttempts: 1 + rng.IntN(maxSubmitAttempts)}
	priority := work.Priority(rng.IntN(priorityCount))
	c.prefix = queuePrefix(priority)
	spec := &work.Job{
		ID: ident.Job(fmt.Sprintf("%016x", rng.Uint64())), Account: accountName(c.account), Terms: queueSettings(priority),
	}
	spec.Payload = "payload of " + string(spec.ID)
	c.job = &fakes.Job{Spec: spec, AlwaysFails: rng.IntN(25) == 0}
	switch priority {
	case work.Guaranteed:
		c.job.RunTime = randomDuration(rng, 300*time.Millisecond, 2500*time.Millisecond)
		parts := 1 + rng.IntN(4)
		spec.Steps = []work.Step{newStep(c.job, work.Step{Parts: parts, Gang: true, SameRack: rng.IntN(2) == 0}, 1+rng.IntN(min(accountGuarantee/parts, int(workerCapacity.Accelerators))))}
	case 1:
		c.job.RunTime = randomDuration(rng, 2*time.Second, 6*time.Second)
		step := work.Step{Parts: 1 + rng.IntN(5), Gang: rng.IntN(2) == 0, Checkpoints: rng.IntN(2) == 0}
		spec.Steps = []work.Step{newStep(c.job, step, 1<<rng.IntN(4))}
	default:
		c.job.RunTime = randomDuration(rng, 500*time.Millisecond, 3*time.Second)
		spec.Steps = []work.Step{newStep(c.job, work.Step{Parts: 1 + rng.IntN(16), Checkpoints: rng.IntN(2) == 0}, 1)}
		if rng.IntN(3) == 0 {
			spec.Steps = append(spec.Steps, newStep(c.job, work.Step{Parts: 1 + rng.IntN(6), After: []int{0}}, 1))
		}
	}
	if rng.IntN(12) == 0 {
		c.cancelAfter = randomDuration(rng, time.Second, 6*time.Second)
	}
	switch {
	case priority == work.Guaranteed || c.job.AlwaysFails:
	case rng.IntN(20) == 0:
		c.makeLongRunning(rng)
	case rng.IntN(12) == 0:
		c.makeLongRunning(rng)
		c.spreadOverWorkers(rng)
	case rng.IntN(10) == 0:
		spec.Repeat = work.Repeat{
			Count: 2 + rng.IntN(3), Interval: randomDuration(rng, 500*time.Millisecond, 2*time.Second),
			StartMs: time.Now().Add(randomDuration(rng, 0, 2*time.Second)).UnixMilli(),
		}
	}
	return c
}

// makeLongRunning turns the job into one that runs until it is cancelled.
func (c *client) makeLongRunning(rng *rand.Rand) {
	c.cancelAfter = randomDuration(rng, 2*time.Second, 8*time.Second)
	c.job.Spec.Steps = c.job.Spec.Steps[:1]
	c.job.Spec.Steps[0].Lasting, c.job.Spec.Steps[0].Gang = true, false
	c.job.Spec.Steps[0].Parts = 1 + rng.IntN(3)
}

const (
	// tailTarget is the target of the tails of parts that serve.
	tailTarget = 200 * time.Millisecond
	// minSpread and maxSpread bound the parts of a job that serves or fills, at most one on each worker. Several of them share workers.
	minSpread, maxSpread = 6, 14
)

// spreadOverWorkers turns a long-running job into one that serves, or that fills and disturbs those which serve on its workers.
func (c *client) spreadOverWorkers(rng *rand.Rand) {
	c.cancelAfter = randomDuration(rng, 5*time.Second, 15*time.Second)
	step := &c.job.Spec.Steps[0]
	step.Parts, step.MaxPerWorker, step.Image = minSpread+rng.IntN(maxSpread-minSpread), 1, string(c.job.Spec.ID)
	*step = newStep(c.job, *step, 1)
	if rng.IntN(2) == 0 {
		step.Latency, c.job.BaseTail = tailTarget, randomDuration(rng, 20*time.Millisecond, 150*time.Millisecond)
		return
	}
	step.Fills, c.job.Disturbs = true, randomDuration(rng, 0, time.Second)
}

// newStep adds the resources of each part and an estimate, rounded down to 100 ms, to a step.
func newStep(j *fakes.Job, step work.Step, accelerators int) work.Step {
	step.Need = work.Resources{CPU: 11000, Memory: 20000 * work.MiB(accelerators), Accelerators: ident.Accelerators(accelerators)}
	step.Estimate = j.RunTime.Truncate(100 * time.Millisecond)
	return step
}

// randomDuration returns a random duration from low to below high.
func randomDuration(rng *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(rng.Int64N(int64(high-low)))
}
