package gang_test

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
)

// awaitHolder waits until one of the two instances serves the domain and returns it and the other one.
func (c *failoverCluster) awaitHolder() (holder, standby *candidate) {
	for {
		for i, cand := range c.candidates {
			if scheduler := cand.currentScheduler(); scheduler != nil && scheduler.Ready() {
				return cand, c.candidates[1-i]
			}
		}
		time.Sleep(time.Second)
	}
}

// view returns the job accepted under a key, as shown by a candidate.
func (c *failoverCluster) view(t *testing.T, cand *candidate, key ident.IdempotencyKey) gang.JobView {
	view, err := cand.currentScheduler().Get(t.Context(), "acme", c.accepted[key])
	assert.NilError(t, err)
	return view
}

// TestTableOutageOfAnHour checks that running gangs continue and submissions are refused while no instance can reach the
// table.
func TestTableOutageOfAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFailoverCluster(t, 2)
		holder, _ := c.awaitHolder()
		long := gang.JobSpec{Kind: "long", Accelerators: 32, Command: "90m", Checkpointable: true}
		short := gang.JobSpec{Kind: "short", Accelerators: 32, Command: "30m", Checkpointable: true}
		c.submit("long", long)
		c.submit("short", short)
		c.submit("waiting", long)
		time.Sleep(5 * time.Second)
		for _, cand := range c.candidates {
			cand.network.setFaults(false, true)
		}
		time.Sleep(10 * time.Minute)
		_, err := holder.currentScheduler().Submit(t.Context(), "acme", "refused", short)
		assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
		assert.Assert(t, fault.RetryAfterOf(err) > 0)
		c.refused["refused"] = true
		time.Sleep(50 * time.Minute)
		all, _ := c.recorder.countSucceeded(c.accepted["short"])
		assert.Equal(t, all, 1, "a gang did not continue during the outage")
		for _, cand := range c.candidates {
			cand.network.setFaults(false, false)
		}
		time.Sleep(time.Minute)
		newHolder, _ := c.awaitHolder()
		assert.Equal(t, c.view(t, newHolder, "short").State, ident.Succeeded)
		assert.Equal(t, c.view(t, newHolder, "long").State, ident.Running)
		assert.Equal(t, c.view(t, newHolder, "long").Attempt, ident.Attempt(1))
		c.awaitJobsAndCheck()
		assert.DeepEqual(t, c.stop(), []string(nil))
	})
}

// TestOldHolderStopsRenewing checks that a holder that loses the table doesn't renew a part forever if it is the only
// instance that can reach the part's worker. The new holder then waits for the lease to expire and repeats the job.
func TestOldHolderStopsRenewing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFailoverCluster(t, 2)
		oldHolder, newHolder := c.awaitHolder()
		c.submit("k", gang.JobSpec{Kind: "long", Accelerators: 8, Command: "20m", Checkpointable: true})
		time.Sleep(5 * time.Second)
		partWorker := c.view(t, oldHolder, "k").Parts[0].Worker
		oldHolder.network.setFaults(false, true)
		newHolder.network.setDisconnected(partWorker, true)
		for name := range c.workers {
			if name != partWorker {
				oldHolder.network.setDisconnected(name, true)
			}
		}
		time.Sleep(5 * time.Minute)
		view := c.view(t, newHolder, "k")
		assert.Equal(t, view.State, ident.Running)
		assert.Equal(t, view.Attempt, ident.Attempt(2))
		assert.Assert(t, view.Parts[0].Worker != partWorker)
		c.awaitJobsAndCheck()
		assert.DeepEqual(t, c.stop(), []string(nil))
	})
}

// TestPausedHolder checks that a holder does no harm if it is paused immediately before sending a call and resumes after
// a takeover. The pause starts at six moments after a submission.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, pauseAt := range []time.Duration{0, time.Millisecond, 2 * time.Millisecond, 3 * time.Millisecond, 4 * time.Millisecond, time.Second} {
			c := newFailoverCluster(t, 2)
			oldHolder, _ := c.awaitHolder()
			spec := gang.JobSpec{Kind: "once", Accelerators: 32, Command: "2m", NotRepeated: true}
			c.group.Go(func() error {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				_, err := oldHolder.currentScheduler().Submit(ctx, "acme", "k", spec)
				return ignoreError(err)
			})
			time.Sleep(pauseAt)
			oldHolder.network.pause(time.Minute)
			time.Sleep(2 * time.Minute)
			c.awaitJobsAndCheck()
			assert.DeepEqual(t, c.stop(), []string(nil))
		}
	})
}

// TestLapsedHolderDeniesNoJob checks that a holder that is cut off from the table and all workers, and so can't know of
// a takeover, fails reads instead of reporting that a job accepted by the new holder doesn't exist.
func TestLapsedHolderDeniesNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newFailoverCluster(t, 2)
		oldHolder, newHolder := c.awaitHolder()
		oldScheduler := oldHolder.currentScheduler()
		oldHolder.network.setFaults(false, true)
		for name := range c.workers {
			oldHolder.network.setDisconnected(name, true)
		}
		time.Sleep(time.Minute)
		view, err := newHolder.currentScheduler().Submit(t.Context(), "acme", "k", gang.JobSpec{Kind: "short", Accelerators: 8, Command: "1m", Checkpointable: true})
		assert.NilError(t, err)
		c.accepted["k"] = view.ID
		_, err = oldScheduler.Get(t.Context(), "acme", view.ID)
		assert.Equal(t, fault.KindOf(err), fault.Unavailable)
		_, err = oldScheduler.List(t.Context(), "acme")
		assert.Equal(t, fault.KindOf(err), fault.Unavailable)
		c.awaitJobsAndCheck()
		assert.DeepEqual(t, c.stop(), []string(nil))
	})
}
