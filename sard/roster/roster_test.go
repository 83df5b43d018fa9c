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

// mesh runs rosters in lock step and delivers their heartbeats.
type mesh struct {
	rosters map[ident.Instance]*roster.Roster
	order   []ident.Instance
	down    map[ident.Instance]bool
	// cut tells whether a heartbeat from one to another is lost.
	cut   func(from, to ident.Instance) bool
	bytes int
}

func newMesh(n int) *mesh {
	m := &mesh{rosters: map[ident.Instance]*roster.Roster{}, down: map[ident.Instance]bool{}}
	var list []fleet.Instance
	for i := range n {
		name := ident.Instance(fmt.Sprintf("i%03d", i))
		m.order = append(m.order, name)
		list = append(list, fleet.Instance{Name: name, Address: "10.0.0.1:7000", DataCentre: "dc1"})
		m.rosters[name] = roster.New(roster.Config{Self: roster.Member{Name: name, Address: "10.0.0.1:7000", DataCentre: "dc1", Incarnation: 1}})
	}
	for _, r := range m.rosters {
		r.UpdateFleet(list)
	}
	return m
}

// round lets a period pass and delivers the heartbeats that are due.
func (m *mesh) round() {
	time.Sleep(time.Second)
	for _, from := range m.order {
		if m.down[from] {
			continue
		}
		due := m.rosters[from].Tick([]roster.DomainLoad{{DataCentre: "dc1", Epoch: 3, Total: 400, Free: 20, LargestFree: 8}})
		if len(due) > 0 {
			data, _ := cbor.Marshal(due[0].Heartbeat)
			m.bytes += len(data) * len(due)
		}
		for _, d := range due {
			if m.down[d.To.Name] || m.cut != nil && m.cut(from, d.To.Name) {
				continue
			}
			m.rosters[d.To.Name].HandleHeartbeat(d.Heartbeat)
		}
	}
}

// agreed tells whether every live roster holds a member to be alive, or none does.
func (m *mesh) agreed(member ident.Instance, alive bool) bool {
	for name, r := range m.rosters {
		if m.down[name] {
			continue
		}
		found, ok := r.Lookup(member)
		if (ok && found.Status == roster.Alive) != alive {
			return false
		}
	}
	return true
}

// until runs rounds till a condition holds, and returns how many.
func (m *mesh) until(limit int, done func() bool) int {
	for i := range limit {
		if done() {
			return i
		}
		m.round()
	}
	return limit
}

func TestLossIsKnownEverywhere(t *testing.T) {
	const limit = 20
	tests := []struct {
		name      string
		instances int
	}{
		{"today", 9},
		{"sparse", 100},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(tt.instances)
				for range 3 {
					m.round()
				}
				m.down["i003"] = true
				rounds := m.until(limit, func() bool { return m.agreed("i003", false) })
				assert.Assert(t, rounds < limit)
				for _, name := range m.order[4:] {
					assert.Assert(t, m.agreed(name, true), name)
				}
			})
		})
	}
}

func TestRestartedInstanceIsAliveAgain(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(9)
		m.down["i001"] = true
		m.until(20, func() bool { return m.agreed("i001", false) })
		m.down["i001"] = false
		m.rosters["i001"] = roster.New(roster.Config{Self: roster.Member{Name: "i001", DataCentre: "dc1", Incarnation: 2}})
		m.rosters["i001"].UpdateFleet([]fleet.Instance{{Name: "i000"}, {Name: "i002"}})
		rounds := m.until(20, func() bool { return m.agreed("i001", true) })
		assert.Assert(t, rounds < 20)
	})
}

func TestFalseLossIsRefuted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(9)
		m.round()
		m.cut = func(from, _ ident.Instance) bool { return from == "i004" }
		m.until(20, func() bool { _, ok := m.rosters["i000"].Lookup("i004"); return !ok })
		m.cut = nil
		rounds := m.until(20, func() bool { return m.agreed("i004", true) })
		assert.Assert(t, rounds < 20)
		assert.Assert(t, m.rosters["i004"].Self().Incarnation > 1)
	})
}

func TestLostHeartbeatsCauseNoLastingLoss(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		rnd := rand.New(rand.NewPCG(1, 1))
		m := newMesh(40)
		m.cut = func(_, _ ident.Instance) bool { return rnd.IntN(10) < 2 }
		for range 120 {
			m.round()
		}
		m.cut = nil
		rounds := m.until(30, func() bool {
			for _, name := range m.order {
				if !m.agreed(name, true) {
					return false
				}
			}
			return true
		})
		assert.Assert(t, rounds < 30)
	})
}

func TestSeedsAreGreetedUntilKnown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		a := roster.New(roster.Config{Self: roster.Member{Name: "a", Address: "10.0.0.1:1", Incarnation: 1}, Seeds: []string{"10.0.0.1:1", "10.0.0.2:1"}})
		b := roster.New(roster.Config{Self: roster.Member{Name: "b", Address: "10.0.0.2:1", Incarnation: 1}})
		due := a.Tick(nil)
		assert.Equal(t, len(due), 1)
		assert.Equal(t, due[0].To.Address, "10.0.0.2:1")
		b.HandleHeartbeat(due[0].Heartbeat)
		for _, d := range b.Tick(nil) {
			a.HandleHeartbeat(d.Heartbeat)
		}
		assert.Equal(t, len(a.Alive()), 2)
		due = a.Tick(nil)
		assert.Equal(t, len(due), 1)
		assert.Equal(t, due[0].To.Name, ident.Instance("b"))
	})
}

func TestLeavingServerMarksSpreadAndEnd(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(9)
		m.round()
		assert.Assert(t, m.rosters["i000"].MarkServerLeaving("s1"))
		assert.Assert(t, !m.rosters["i000"].MarkServerLeaving("s1"))
		rounds := m.until(10, func() bool {
			for _, r := range m.rosters {
				if len(r.LeavingServers()) != 1 {
					return false
				}
			}
			return true
		})
		assert.Assert(t, rounds <= 2)
		for range 120 {
			m.round()
		}
		for _, r := range m.rosters {
			assert.Equal(t, len(r.LeavingServers()), 0)
		}
	})
}

// TestMembershipTraffic logs the traffic of an instance at rest and the time until a loss is known everywhere.
func TestMembershipTraffic(t *testing.T) {
	const (
		joinRounds = 60
		restRounds = 20
		// bytesBudget is the control traffic that an instance may cause, in bytes a second.
		bytesBudget = 13_000
		// detectBudget is how many seconds may pass until a loss is known everywhere.
		detectBudget = 30
	)
	for _, n := range []int{9, 100, 400} {
		t.Run(fmt.Sprintf("instances=%d", n), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(n)
				for range joinRounds {
					m.round()
				}
				m.bytes = 0
				for range restRounds {
					m.round()
				}
				perInstance := m.bytes / restRounds / n
				m.down["i003"] = true
				rounds := m.until(detectBudget, func() bool { return m.agreed("i003", false) })
				t.Logf("%d instances: %d bytes/s sent, loss known everywhere after %d s", n, perInstance, rounds)
				assert.Assert(t, perInstance*2 < bytesBudget)
				assert.Assert(t, rounds < detectBudget)
			})
		})
	}
}
