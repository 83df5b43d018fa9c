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

const (
	// submitTries is how often a client tries to hand a job in at most; some give up sooner.
	submitTries = 5
	// retryPause lies between two tries, and pollPause between two questions about a job.
	retryPause = 300 * time.Millisecond
	pollPause  = 700 * time.Millisecond
	// repeatDelay is how late a copy of an answered submission comes.
	repeatDelay = 2 * time.Second
)

// The states as the wire spells them.
const (
	stateCompleted = "completed"
	stateFailed    = "failed"
	stateCancelled = "cancelled"
)

// client hands one job in and follows it to its end.
type client struct {
	world   *world
	draw    *rand.Rand
	job     *fakes.Job
	account int
	prefix  string
	// tries is how often the client tries to hand the job in.
	tries int
	// cancelAfter is when the job is cancelled, after its acceptance; 0 for never.
	cancelAfter time.Duration
	// repeat has the submission sent once more after it was answered.
	repeat bool

	// cancelled tells that a cancellation was sent.
	cancelled atomic.Bool
}

// submitOne starts a client with a new job.
func (w *world) submitOne(draw *rand.Rand) {
	w.submitJob(w.newClient(fork(draw)))
}

// submitJob starts a client.
func (w *world) submitJob(c *client) {
	w.fleet.AddJob(c.job)
	w.tally.jobs.Add(1)
	w.clients.Add(1)
	w.group.Go(func() error {
		defer w.clients.Done()
		c.run()
		return nil
	})
}

func (c *client) run() {
	switch accepted, refused := c.submit(); {
	case accepted:
		c.world.tally.accepted.Add(1)
		c.follow()
	case refused:
		c.world.tally.refused.Add(1)
		c.world.fleet.Update(func() { c.job.Refused = true })
	default:
		c.world.tally.unknown.Add(1)
	}
}

// call makes one call at an instance and checks that a planned stop does not cut it off.
func (c *client) call(send func(ctx context.Context, t front.Target) (front.Reply, error)) (front.Reply, error) {
	i := c.world.some(c.draw)
	t := front.Target{Address: i.front(), Host: host, Prefix: c.prefix, APIKey: c.world.operator.key(c.account)}
	return i.observe(func(ctx context.Context) (front.Reply, error) { return send(ctx, t) })
}

// submit hands the job in. It returns whether the job was accepted, or surely refused.
func (c *client) submit() (accepted, refused bool) {
	refused = true
	for range c.tries {
		reply, err := c.call(func(ctx context.Context, t front.Target) (front.Reply, error) {
			return c.world.client.Submit(ctx, t, c.job.Spec)
		})
		if err == nil && reply.Status == http.StatusOK {
			return true, false
		}
		refused = refused && notTaken(reply, err)
		c.checkAdvice(reply)
		if !clock.Sleep(c.world.ctx, retryPause) {
			return false, false
		}
	}
	return false, refused
}

// notTaken tells whether a submission that was not accepted surely had no effect.
func notTaken(reply front.Reply, err error) bool {
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

// checkAdvice checks that a refusal for the time being tells when to come again.
func (c *client) checkAdvice(reply front.Reply) {
	busy := reply.Status == http.StatusServiceUnavailable || reply.Status == http.StatusTooManyRequests
	if busy && !reply.RetryAfter {
		c.world.breached("job %s: refused with %d without telling when to come again", c.job.Spec.ID, reply.Status)
	}
}

// follow asks for the job's state until it has ended, cancels it in between, and sends it once more.
func (c *client) follow() {
	start := time.Now()
	repeatAt := start.Add(repeatDelay)
	for clock.Sleep(c.world.ctx, pollPause) {
		if c.world.late.Load() {
			c.world.breached("job %s: %s, accepted %v ago, has not ended", c.job.Spec.ID, c.describe(), time.Since(start))
			return
		}
		if c.cancelAfter > 0 && time.Since(start) > c.cancelAfter && !c.cancelled.Load() {
			c.cancel()
		}
		if c.repeat && time.Now().After(repeatAt) {
			c.repeat = false
			c.sendAgain()
		}
		state, known := c.state()
		if !known || !c.ended(state) {
			continue
		}
		c.stays(state)
		return
	}
}

func (c *client) describe() string {
	return fmt.Sprintf("%d steps, priority %d, poison %v, cancelled %v", len(c.job.Spec.Steps), c.job.Spec.Terms.Priority, c.job.AlwaysFails, c.cancelled.Load())
}

// state asks for the state, and whether there was an answer.
func (c *client) state() (string, bool) {
	reply, err := c.call(func(ctx context.Context, t front.Target) (front.Reply, error) {
		return c.world.client.State(ctx, t, c.job.Spec.ID)
	})
	if err == nil && reply.Status == http.StatusGone {
		c.world.breached("job %s: accepted, but told not to exist", c.job.Spec.ID)
	}
	return reply.State, err == nil && reply.Status == http.StatusOK
}

// ended checks a state and tells whether it is a last one.
func (c *client) ended(state string) bool {
	id := c.job.Spec.ID
	switch state {
	case stateCompleted:
		if !c.world.fleet.Completed(id) {
			c.world.breached("job %s: told completed, but parts have not ended well", id)
		}
	case stateFailed:
		if !c.world.fleet.FailuresExhausted(id) {
			c.world.breached("job %s: told failed, but no part has failed %d times", id, failures)
		}
	case stateCancelled:
		if !c.cancelled.Load() {
			c.world.breached("job %s: told cancelled, but nobody cancelled it", id)
		}
	default:
		return false
	}
	c.world.tally.end(state)
	return true
}

// stays checks that the last state of a job stays.
func (c *client) stays(last string) {
	if !clock.Sleep(c.world.ctx, pollPause) {
		return
	}
	if state, known := c.state(); known && state != last {
		c.world.breached("job %s: told %s, and then %s", c.job.Spec.ID, last, state)
	}
}

func (c *client) cancel() {
	c.cancelled.Store(true)
	reply, err := c.call(func(ctx context.Context, t front.Target) (front.Reply, error) {
		return c.world.client.Cancel(ctx, t, c.job.Spec.ID)
	})
	switch {
	case err == nil && reply.Status == http.StatusOK:
		c.world.fleet.Update(func() { c.job.Cancelled = time.Now() })
	case err == nil && reply.Status == http.StatusGone:
		c.world.breached("job %s: accepted, but told not to exist when it was cancelled", c.job.Spec.ID)
	default:
		c.cancelAgain()
	}
}

// cancelAgain repeats a cancellation that was not answered well.
func (c *client) cancelAgain() {
	c.world.clients.Add(1)
	c.world.group.Go(func() error {
		defer c.world.clients.Done()
		if clock.Sleep(c.world.ctx, retryPause) {
			c.cancel()
		}
		return nil
	})
}

// sendAgain sends a copy of the submission.
func (c *client) sendAgain() {
	reply, err := c.call(func(ctx context.Context, t front.Target) (front.Reply, error) {
		return c.world.client.Submit(ctx, t, c.job.Spec)
	})
	if err == nil && reply.Status == http.StatusConflict {
		c.world.breached("job %s: a copy of its submission was told to be another job", c.job.Spec.ID)
	}
}

// newClient draws a client with its job.
func (w *world) newClient(draw *rand.Rand) *client {
	c := &client{world: w, draw: draw, account: draw.IntN(accounts), repeat: draw.IntN(10) == 0, tries: 1 + draw.IntN(submitTries)}
	priority := work.Priority(draw.IntN(priorities))
	c.prefix = queuePrefix(priority)
	spec := &work.Job{
		ID: ident.Job(fmt.Sprintf("%016x", draw.Uint64())), Account: accountName(c.account), Terms: terms(priority),
	}
	spec.Payload = "payload of " + string(spec.ID)
	c.job = &fakes.Job{Spec: spec, AlwaysFails: draw.IntN(25) == 0}
	switch priority {
	case work.Guaranteed:
		c.job.RunTime = between(draw, 300*time.Millisecond, 2500*time.Millisecond)
		parts := 1 + draw.IntN(4)
		spec.Steps = []work.Step{newStep(c.job, work.Step{Parts: parts, Gang: true, SameRack: draw.IntN(2) == 0}, 1+draw.IntN(min(guarantee/parts, int(capacity.Accelerators))))}
	case 1:
		c.job.RunTime = between(draw, 2*time.Second, 6*time.Second)
		step := work.Step{Parts: 1 + draw.IntN(5), Gang: draw.IntN(2) == 0, Checkpoints: draw.IntN(2) == 0}
		spec.Steps = []work.Step{newStep(c.job, step, 1<<draw.IntN(4))}
	default:
		c.job.RunTime = between(draw, 500*time.Millisecond, 3*time.Second)
		spec.Steps = []work.Step{newStep(c.job, work.Step{Parts: 1 + draw.IntN(16), Checkpoints: draw.IntN(2) == 0}, 1)}
		if draw.IntN(3) == 0 {
			spec.Steps = append(spec.Steps, newStep(c.job, work.Step{Parts: 1 + draw.IntN(6), After: []int{0}}, 1))
		}
	}
	if draw.IntN(12) == 0 {
		c.cancelAfter = between(draw, time.Second, 6*time.Second)
	}
	switch {
	case priority == work.Guaranteed || c.job.AlwaysFails:
	case draw.IntN(20) == 0:
		c.lasts(draw)
	case draw.IntN(10) == 0:
		spec.Repeat = work.Repeat{
			Count: 2 + draw.IntN(3), Interval: between(draw, 500*time.Millisecond, 2*time.Second),
			StartMs: time.Now().Add(between(draw, 0, 2*time.Second)).UnixMilli(),
		}
	}
	return c
}

// lasts makes the job one that runs until it is cancelled.
func (c *client) lasts(draw *rand.Rand) {
	c.cancelAfter = between(draw, 2*time.Second, 8*time.Second)
	c.job.Spec.Steps = c.job.Spec.Steps[:1]
	c.job.Spec.Steps[0].Lasting, c.job.Spec.Steps[0].Gang = true, false
	c.job.Spec.Steps[0].Parts = 1 + draw.IntN(3)
}

// newStep completes a step with what its parts need and a rough estimate.
func newStep(j *fakes.Job, step work.Step, accelerators int) work.Step {
	step.Need = work.Resources{CPU: 11000, Memory: 20000 * work.MiB(accelerators), Accelerators: ident.Accelerators(accelerators)}
	step.Estimate = j.RunTime.Truncate(100 * time.Millisecond)
	return step
}

func between(draw *rand.Rand, low, high time.Duration) time.Duration {
	return low + time.Duration(draw.Int64N(int64(high-low)))
}
