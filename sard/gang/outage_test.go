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

// holder returns the instance that serves the domain and the other one.
func (c *contest) holder() (holds, waits *contender) {
	for {
		for i, k := range c.instances {
			if domain := k.current(); domain != nil && domain.Ready() {
				return k, c.instances[1-i]
			}
		}
		time.Sleep(time.Second)
	}
}

func (c *contest) view(t *testing.T, k *contender, key ident.IdempotencyKey) gang.JobView {
	view, err := k.current().Get(t.Context(), "acme", c.accepted[key])
	assert.NilError(t, err)
	return view
}

func TestTableOutageOfAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newContest(t, 2)
		holds, _ := c.holder()
		long := gang.JobSpec{Kind: "long", Accelerators: 32, Command: "90m", Checkpointable: true}
		short := gang.JobSpec{Kind: "short", Accelerators: 32, Command: "30m", Checkpointable: true}
		c.submit("long", long)
		c.submit("short", short)
		c.submit("waiting", long)
		time.Sleep(5 * time.Second)
		for _, k := range c.instances {
			k.link.set(false, true)
		}
		time.Sleep(10 * time.Minute)
		_, err := holds.current().Submit(t.Context(), "acme", "refused", short)
		assert.Assert(t, fault.Is(err, fault.Unavailable), "%v", err)
		assert.Assert(t, fault.RetryAfterOf(err) > 0)
		c.refused["refused"] = true
		time.Sleep(50 * time.Minute)
		all, _ := c.ledger.succeeded(c.accepted["short"])
		assert.Equal(t, all, 1, "a gang did not go on during the outage")
		for _, k := range c.instances {
			k.link.set(false, false)
		}
		time.Sleep(time.Minute)
		after, _ := c.holder()
		assert.Equal(t, c.view(t, after, "short").State, ident.Succeeded)
		assert.Equal(t, c.view(t, after, "long").State, ident.Running)
		assert.Equal(t, c.view(t, after, "long").Attempt, ident.Attempt(1))
		c.settle()
		assert.DeepEqual(t, c.end(), []string(nil))
	})
}

// The old holder loses the table but still reaches a worker that the new holder can't reach.
func TestOldHolderStopsRenewing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newContest(t, 2)
		old, next := c.holder()
		c.submit("k", gang.JobSpec{Kind: "long", Accelerators: 8, Command: "20m", Checkpointable: true})
		time.Sleep(5 * time.Second)
		part := c.view(t, old, "k").Parts[0].Worker
		old.link.set(false, true)
		next.link.setCut(part, true)
		for name := range c.workers {
			if name != part {
				old.link.setCut(name, true)
			}
		}
		time.Sleep(5 * time.Minute)
		view := c.view(t, next, "k")
		assert.Equal(t, view.State, ident.Running)
		assert.Equal(t, view.Attempt, ident.Attempt(2))
		assert.Assert(t, view.Parts[0].Worker != part)
		c.settle()
		assert.DeepEqual(t, c.end(), []string(nil))
	})
}

// The holder is paused right before each of its calls while another takes over.
func TestPausedHolder(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for _, at := range []time.Duration{0, time.Millisecond, 2 * time.Millisecond, 3 * time.Millisecond, 4 * time.Millisecond, time.Second} {
			c := newContest(t, 2)
			old, _ := c.holder()
			spec := gang.JobSpec{Kind: "once", Accelerators: 32, Command: "2m", NotRepeated: true}
			c.group.Go(func() error {
				ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
				defer cancel()
				_, err := old.current().Submit(ctx, "acme", "k", spec)
				return ignore(err)
			})
			time.Sleep(at)
			old.link.pause(time.Minute)
			time.Sleep(2 * time.Minute)
			c.settle()
			assert.DeepEqual(t, c.end(), []string(nil))
		}
	})
}

// The old holder loses the table and all workers, so that it does not learn of its successor.
func TestLapsedHolderDeniesNoJob(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newContest(t, 2)
		old, next := c.holder()
		domain := old.current()
		old.link.set(false, true)
		for name := range c.workers {
			old.link.setCut(name, true)
		}
		time.Sleep(time.Minute)
		view, err := next.current().Submit(t.Context(), "acme", "k", gang.JobSpec{Kind: "short", Accelerators: 8, Command: "1m", Checkpointable: true})
		assert.NilError(t, err)
		c.accepted["k"] = view.ID
		_, err = domain.Get(t.Context(), "acme", view.ID)
		assert.Equal(t, fault.KindOf(err), fault.Unavailable)
		_, err = domain.List(t.Context(), "acme")
		assert.Equal(t, fault.KindOf(err), fault.Unavailable)
		c.settle()
		assert.DeepEqual(t, c.end(), []string(nil))
	})
}
