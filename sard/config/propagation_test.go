package config_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// The time in which an accepted document is in force at 9 instances and at 400.
const (
	inForceSmall = 2 * time.Second
	inForceLarge = 10 * time.Second
)

func TestDocumentIsInForceEverywhereInTime(t *testing.T) {
	tests := []struct {
		name  string
		n     int
		loss  float64
		bound time.Duration
		// rounds is the number of documents, one after the other.
		rounds int
		// told tells whether the operator learns that the document is in force at most instances.
		told bool
	}{
		{"9 instances", 9, 0, inForceSmall, 5, true},
		{"9 instances, a third of the calls lost", 9, 0.33, inForceSmall, 5, true},
		{"9 instances, no peer heard", 9, 1, inForceSmall, 5, false},
		{"400 instances", 400, 0, inForceLarge, 2, true},
		{"400 instances, a third of the calls lost", 400, 0.33, inForceLarge, 2, true},
		{"400 instances, no peer heard", 400, 1, inForceLarge, 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				m := newMesh(t, tt.n, 1)
				defer m.stop()
				m.set(func() { m.loss = tt.loss })
				time.Sleep(inForceSmall)
				for i := range tt.rounds {
					var err error
					m.group.Go(func() error {
						_, err = m.propose(i, i+1)
						return nil
					})
					time.Sleep(tt.bound)
					m.checkReady()
					assert.Equal(t, m.settled(ident.Version(i+1)), tt.n)
					time.Sleep(inForceLarge - tt.bound)
					synctest.Wait()
					assert.Equal(t, err == nil, tt.told, "%v", err)
				}
				assert.Equal(t, len(m.errs), 0, "%v", m.errs)
			})
		})
	}
}

// newRunningMesh returns nine instances that run version 1.
func newRunningMesh(t *testing.T) *mesh {
	t.Helper()
	m := newMesh(t, 9, 1)
	_, err := m.propose(0, 1)
	assert.NilError(t, err)
	time.Sleep(inForceSmall)
	assert.Equal(t, m.settled(1), 9)
	return m
}

func TestCutOffInstanceStopsBeingReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRunningMesh(t)
		defer m.stop()
		m.set(func() { m.side[8], m.cut[8] = 1, true })
		_, err := m.propose(0, 2)
		assert.NilError(t, err)
		time.Sleep(11 * time.Second)
		assert.ErrorContains(t, m.all()[8].agent.Ready(), "was not confirmed for 10s")
		assert.Equal(t, m.settled(2), 8)
		m.heal()
		time.Sleep(inForceSmall)
		assert.Equal(t, m.settled(2), 9)
	})
}

func TestStoreOutageKeepsInstancesReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRunningMesh(t)
		defer m.stop()
		m.cutAll()
		for range 60 {
			time.Sleep(time.Minute)
			assert.Equal(t, m.settled(1), 9)
		}
		m.restart(3)
		time.Sleep(inForceLarge)
		assert.Equal(t, m.settled(1), 9)
	})
}

func TestHalfWithoutTheTableStopsBeingReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRunningMesh(t)
		defer m.stop()
		m.set(func() { m.divide(5) })
		_, err := m.propose(0, 2)
		assert.NilError(t, err)
		time.Sleep(11 * time.Second)
		assert.Equal(t, m.settled(2), 5)
		assert.Equal(t, m.settled(1), 0)
	})
}

func TestFewInstancesAcceptNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 9, 1)
		defer m.stop()
		m.set(func() { m.divide(5) })
		m.set(func() { clear(m.cut) })
		_, err := m.propose(8, 1)
		assert.ErrorContains(t, err, "only 4 of 9 instances are heard")
	})
}

func TestFreshInstancesAreNoWitnesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 9, 1)
		defer m.stop()
		for i := range 2 {
			_, err := m.propose(0, i+1)
			assert.NilError(t, err)
			time.Sleep(inForceSmall)
		}
		m.cutAll()
		for i := 1; i < 9; i++ {
			m.restart(i)
		}
		time.Sleep(time.Minute)
		assert.Equal(t, m.settled(2), 0)
		assert.ErrorContains(t, m.all()[0].agent.Ready(), "only")
		m.heal()
		time.Sleep(inForceSmall)
		assert.Equal(t, m.settled(2), 9)
	})
}

func TestPartitionAtAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRunningMesh(t)
		defer m.stop()
		m.set(func() {
			m.failure = func(op string, after bool) error {
				if op == "apply" && after {
					m.divide(4)
				}
				return nil
			}
		})
		_, err := m.propose(0, 2)
		assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v", err)
		time.Sleep(11 * time.Second)
		assert.Equal(t, m.settled(2), 4)
		assert.Equal(t, m.settled(1), 5)
		m.heal()
		time.Sleep(inForceSmall)
		assert.Equal(t, m.settled(2), 9)
	})
}

// A document that is accepted before any instance has polled again must still be told as accepted, also when a third
// of the calls are lost.
func TestFirstDocumentIsTold(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newMesh(t, 400, 1)
		defer m.stop()
		m.set(func() { m.loss = 0.33 })
		time.Sleep(time.Second)
		_, err := m.propose(0, 1)
		assert.NilError(t, err)
	})
}

// Eight of nine instances don't reach the table, and no exchange is due before the push.
func TestPushAloneSpreads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRunningMesh(t)
		defer m.stop()
		m.cutAll()
		m.set(func() { m.cut[0] = false })
		m.group.Go(func() error {
			_, err := m.propose(0, 2)
			return err
		})
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, m.settled(2), 9)
	})
}

// A peer that does not answer must not hold up the push of the next document to the others.
func TestLostPeerDoesNotDelayThePush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newRunningMesh(t)
		defer m.stop()
		m.cutAll()
		m.set(func() { m.cut[0], m.side[8] = false, 1 })
		_, err := m.propose(0, 2)
		assert.NilError(t, err)
		m.group.Go(func() error {
			_, err := m.propose(0, 3)
			return err
		})
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, m.settled(3), 8)
	})
}
