package gang_test

import (
	"context"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
)

// maxCalls is up to which call of a holder, counted from a submission on, each fate is played.
const maxCalls = 32

// Each call of a holder to the table and the workers is lost before and after its effect, repeated, delayed, and
// the holder crashes before and after it, one call and one fate at a time.
func TestEachStep(t *testing.T) {
	fates := []struct {
		name string
		fate fate
	}{
		{"lost before", lostBefore},
		{"lost after", lostAfter},
		{"repeated", repeated},
		{"delayed", delayed},
		{"crash before", crashBefore},
		{"crash after", crashAfter},
	}
	for _, test := range fates {
		t.Run(test.name, func(t *testing.T) {
			for n := 1; n <= maxCalls; n++ {
				for _, once := range []bool{false, true} {
					found := playFate(t, test.fate, n, once)
					assert.Assert(t, len(found) == 0, "call %d, once %v: %v", n, once, found)
				}
			}
		})
	}
}

// playFate runs two jobs whose holder's n-th call from now on has a fate.
func playFate(t *testing.T, planned fate, n int, once bool) []string {
	var found []string
	synctest.Test(t, func(t *testing.T) {
		c := newContest(t, 1)
		holds, _ := c.holder()
		holds.link.mu.Lock()
		holds.link.at, holds.link.planned = holds.link.calls+n, planned
		holds.link.mu.Unlock()
		spec := gang.JobSpec{Kind: "often", Accelerators: 24, Command: "40s", Checkpointable: true}
		if once {
			spec.Kind, spec.NotRepeated = "once", true
		}
		c.submitUntil("k1", spec)
		c.submitUntil("k2", spec)
		c.settle()
		found = c.end()
	})
	return found
}

// submitUntil repeats a submission until it is accepted.
func (c *contest) submitUntil(key ident.IdempotencyKey, spec gang.JobSpec) {
	for c.accepted[key] == "" {
		c.submit(key, spec)
		delete(c.refused, key)
		time.Sleep(time.Second)
	}
}

// A renewal that was given up still arrives, right before the lease that it renews has lapsed.
func TestLateRenewal(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newContest(t, 2)
		holds, _ := c.holder()
		c.submit("k", gang.JobSpec{Kind: "often", Accelerators: 16, Command: "10m", Checkpointable: true})
		time.Sleep(time.Second)
		w := c.view(t, holds, "k").Parts[0].Worker
		holds.link.hold(w, 25*time.Second)
		time.Sleep(15 * time.Second)
		holds.link.setCut(w, true)
		time.Sleep(5 * time.Minute)
		assert.Equal(t, c.view(t, holds, "k").Attempt, ident.Attempt(2))
		c.settle()
		assert.DeepEqual(t, c.end(), []string(nil))
	})
}

// A write that an old holder has sent arrives after a takeover.
func TestLateWrite(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newContest(t, 2)
		old, next := c.holder()
		spec := gang.JobSpec{Kind: "often", Accelerators: 16, Command: "1m", Checkpointable: true}
		old.link.hold("", 20*time.Second)
		c.group.Go(func() error {
			ctx, cancel := context.WithTimeout(context.Background(), time.Second)
			defer cancel()
			_, err := old.current().Submit(ctx, "acme", "k", spec)
			return ignore(err)
		})
		time.Sleep(time.Second)
		old.link.die()
		time.Sleep(time.Minute)
		assert.Assert(t, next.current().Ready())
		c.submitUntil("k", spec)
		c.settle()
		assert.DeepEqual(t, c.end(), []string(nil))
	})
}

// The holder starts one part, can't reach the other worker and crashes; nobody takes over for a while.
func TestPartialStart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newContest(t, 2)
		holds, _ := c.holder()
		var mu sync.Mutex
		var begun ident.Worker
		network := func(w *fakeWorker, step string, after bool) error {
			mu.Lock()
			defer mu.Unlock()
			if step != "start" {
				return nil
			}
			if begun == "" {
				begun = w.name
			}
			if begun != w.name {
				return fault.New(fault.Unavailable, step, string(w.name), "not reached")
			}
			if after {
				holds.link.die()
				for _, k := range c.instances {
					k.link.set(false, true)
				}
			}
			return nil
		}
		for _, w := range c.workers {
			w.setNetwork(network)
		}
		c.submit("k", gang.JobSpec{Kind: "often", Accelerators: 16, Command: "10m", Checkpointable: true})
		time.Sleep(time.Minute)
		mu.Lock()
		assert.Assert(t, begun != "")
		mu.Unlock()
		for _, w := range c.workers {
			w.setNetwork(nil)
		}
		c.settle()
		assert.DeepEqual(t, c.end(), []string(nil))
	})
}
