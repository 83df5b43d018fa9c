package roster_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/roster"
)

// cluster runs rosters in lockstep and delivers their heartbeats.
type cluster struct {
	rosters map[ident.Instance]*roster.Roster
	order   []ident.Instance
	down    map[ident.Instance]bool
	// dropHeartbeat reports whether a heartbeat is lost; nil if none is.
	dropHeartbeat func(from, to ident.Instance) bool
	sentBytes     int
}

// newCluster creates n rosters that have the same list of instances from the platform.
func newCluster(n int) *cluster {
	c := &cluster{rosters: map[ident.Instance]*roster.Roster{}, down: map[ident.Instance]bool{}}
	var list []fleet.Instance
	for i := range n {
		name := ident.Instance(fmt.Sprintf("i%03d", i))
		c.order = append(c.order, name)
		list = append(list, fleet.Instance{Name: name, Address: "10.0.0.1:7000", DataCentre: "dc1"})
		c.rosters[name] = roster.New(roster.Config{Self: roster.Member{Name: name, Address: "10.0.0.1:7000", DataCentre: "dc1", Incarnation: 1}})
	}
	for _, r := range c.rosters {
		r.UpdateFleet(list)
	}
	return c
}

// runPeriod waits for a period and delivers the heartbeats of all live instances.
func (c *cluster) runPeriod() {
	time.Sleep(time.Second)
	for _, from := range c.order {
		if c.down[from] {
			continue
		}
		outgoing := c.rosters[from].Tick([]roster.DomainLoad{{DataCentre: "dc1", Epoch: 3, Total: 400, Free: 20, LargestFree: 8}})
		if len(outgoing) > 0 {
			data, _ := cbor.Marshal(outgoing[0].Heartbeat)
			c.sentBytes += len(data) * len(outgoing)
		}
		for _, d := range outgoing {
			if c.down[d.To.Name] || c.dropHeartbeat != nil && c.dropHeartbeat(from, d.To.Name) {
				continue
			}
			c.rosters[d.To.Name].HandleHeartbeat(d.Heartbeat)
		}
	}
}

// allAgree reports whether the member is alive in the view of every live roster or, if alive is false, in that of none.
func (c *cluster) allAgree(member ident.Instance, alive bool) bool {
	for name, r := range c.rosters {
		if c.down[name] {
			continue
		}
		found, ok := r.Lookup(member)
		if (ok && found.Status == roster.Alive) != alive {
			return false
		}
	}
	return true
}

// runUntil runs periods until the condition holds, and returns how many it ran, at most limit.
func (c *cluster) runUntil(limit int, condition func() bool) int {
	for i := range limit {
		if condition() {
			return i
		}
		c.runPeriod()
	}
	return limit
}

func TestLossIsKnownEverywhere(t *testing.T) {
	const limit = 20
	tests := []struct {
		name      string
		instances int
	}{
		{"full mesh", 9},
		{"partial mesh", 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(tt.instances)
				for range 3 {
					c.runPeriod()
				}
				c.down["i003"] = true
				periods := c.runUntil(limit, func() bool { return c.allAgree("i003", false) })
				assert.Assert(t, periods < limit)
				for _, name := range c.order[4:] {
					assert.Assert(t, c.allAgree(name, true), name)
				}
			})
		})
	}
}

func TestRestartedInstanceIsAliveAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(9)
		c.down["i001"] = true
		c.runUntil(20, func() bool { return c.allAgree("i001", false) })
		c.down["i001"] = false
		c.rosters["i001"] = roster.New(roster.Config{Self: roster.Member{Name: "i001", DataCentre: "dc1", Incarnation: 2}})
		c.rosters["i001"].UpdateFleet([]fleet.Instance{{Name: "i000"}, {Name: "i002"}})
		periods := c.runUntil(20, func() bool { return c.allAgree("i001", true) })
		assert.Assert(t, periods < 20)
	})
}

// TestFalseLossIsRefuted drops the heartbeats of a live instance until it counts as lost. When they arrive again, the
// instance must learn of the loss and refute it.
func TestFalseLossIsRefuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(9)
		c.runPeriod()
		c.dropHeartbeat = func(from, _ ident.Instance) bool { return from == "i004" }
		c.runUntil(20, func() bool { _, ok := c.rosters["i000"].Lookup("i004"); return !ok })
		c.dropHeartbeat = nil
		periods := c.runUntil(20, func() bool { return c.allAgree("i004", true) })
		assert.Assert(t, periods < 20)
		assert.Assert(t, c.rosters["i004"].Self().Incarnation > 1)
	})
}

// TestLostHeartbeatsCauseNoLastingLoss drops 20% of all heartbeats for two minutes. Afterwards each member that was
// marked as lost must be alive again everywhere.
func TestLostHeartbeatsCauseNoLastingLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(1, 1))
		c := newCluster(40)
		c.dropHeartbeat = func(_, _ ident.Instance) bool { return rnd.IntN(10) < 2 }
		for range 120 {
			c.runPeriod()
		}
		c.dropHeartbeat = nil
		periods := c.runUntil(30, func() bool {
			for _, name := range c.order {
				if !c.allAgree(name, true) {
					return false
				}
			}
			return true
		})
		assert.Assert(t, periods < 30)
	})
}

func TestSeedsGetHeartbeatsUntilKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := roster.New(roster.Config{Self: roster.Member{Name: "a", Address: "10.0.0.1:1", Incarnation: 1}, Seeds: []string{"10.0.0.1:1", "10.0.0.2:1"}})
		b := roster.New(roster.Config{Self: roster.Member{Name: "b", Address: "10.0.0.2:1", Incarnation: 1}})
		outgoing := a.Tick(nil)
		assert.Equal(t, len(outgoing), 1)
		assert.Equal(t, outgoing[0].To.Address, "10.0.0.2:1")
		b.HandleHeartbeat(outgoing[0].Heartbeat)
		for _, d := range b.Tick(nil) {
			a.HandleHeartbeat(d.Heartbeat)
		}
		assert.Equal(t, len(a.Alive()), 2)
		outgoing = a.Tick(nil)
		assert.Equal(t, len(outgoing), 1)
		assert.Equal(t, outgoing[0].To.Name, ident.Instance("b"))
	})
}

func TestLeavingServersSpreadAndExpire(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(9)
		c.runPeriod()
		assert.Assert(t, c.rosters["i000"].MarkServerLeaving("s1"))
		assert.Assert(t, !c.rosters["i000"].MarkServerLeaving("s1"))
		periods := c.runUntil(10, func() bool {
			for _, r := range c.rosters {
				if len(r.LeavingServers()) != 1 {
					return false
				}
			}
			return true
		})
		assert.Assert(t, periods <= 2)
		for range 120 {
			c.runPeriod()
		}
		for _, r := range c.rosters {
			assert.Equal(t, len(r.LeavingServers()), 0)
		}
	})
}

// TestMembershipTraffic logs and limits the heartbeat traffic of an instance without changes of membership, and the
// time until a loss is known everywhere.
func TestMembershipTraffic(t *testing.T) {
	const (
		warmUpPeriods   = 60
		measuredPeriods = 20
		// maxBytesPerSecond is the heartbeat traffic that an instance may send and receive.
		maxBytesPerSecond = 13_000
		// maxDetectionPeriods is how many periods of 1 s may pass until a loss is known everywhere.
		maxDetectionPeriods = 30
	)
	for _, n := range []int{9, 100, 400} {
		t.Run(fmt.Sprintf("instances=%d", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(n)
				for range warmUpPeriods {
					c.runPeriod()
				}
				c.sentBytes = 0
				for range measuredPeriods {
					c.runPeriod()
				}
				perInstance := c.sentBytes / measuredPeriods / n
				c.down["i003"] = true
				periods := c.runUntil(maxDetectionPeriods, func() bool { return c.allAgree("i003", false) })
				t.Logf("%d instances: %d bytes/s sent, loss known everywhere after %d s", n, perInstance, periods)
				assert.Assert(t, perInstance*2 < maxBytesPerSecond)
				assert.Assert(t, periods < maxDetectionPeriods)
			})
		})
	}
}
