package config_test

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// The time within which an accepted document must be in force at all instances.
const (
	// propagationLimit9 applies to 9 instances.
	propagationLimit9 = 2 * time.Second
	// propagationLimit400 applies to 400 instances.
	propagationLimit400 = 10 * time.Second
)

// An accepted document must be in force at all instances within the limit for their number, even when messages between
// them are lost and only polling the table remains.
func TestDocumentReachesAllInstancesInTime(t *testing.T) {
	tests := []struct {
		name  string
		n     int
		loss  float64
		bound time.Duration
		// rounds is the number of documents, proposed one after the other.
		rounds int
		// reported is whether Propose learns that a majority runs the document, and so reports its acceptance.
		reported bool
	}{
		{"9 instances", 9, 0, propagationLimit9, 5, true},
		{"9 instances, a third of the messages lost", 9, 0.33, propagationLimit9, 5, true},
		{"9 instances, all messages lost", 9, 1, propagationLimit9, 5, false},
		{"400 instances", 400, 0, propagationLimit400, 2, true},
		{"400 instances, a third of the messages lost", 400, 0.33, propagationLimit400, 2, true},
		{"400 instances, all messages lost", 400, 1, propagationLimit400, 2, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newCluster(t, tt.n, 1)
				defer c.stop()
				c.update(func() { c.lossRate = tt.loss })
				time.Sleep(propagationLimit9)
				for i := range tt.rounds {
					var err error
					c.group.Go(func() error {
						_, err = c.propose(i, i+1)
						return nil
					})
					time.Sleep(tt.bound)
					c.checkReady()
					assert.Equal(t, c.readyCount(ident.Version(i+1)), tt.n)
					time.Sleep(propagationLimit400 - tt.bound)
					synctest.Wait()
					assert.Equal(t, err == nil, tt.reported, "%v", err)
				}
				assert.Equal(t, len(c.failures), 0, "%v", c.failures)
			})
		})
	}
}

// newRunningCluster returns a cluster of nine instances that are ready with version 1.
func newRunningCluster(t *testing.T) *cluster {
	t.Helper()
	c := newCluster(t, 9, 1)
	_, err := c.propose(0, 1)
	assert.NilError(t, err)
	time.Sleep(propagationLimit9)
	assert.Equal(t, c.readyCount(1), 9)
	return c
}

// An instance that reaches neither its peers nor the table must become unready, since it cannot learn of later
// versions.
func TestIsolatedInstanceBecomesUnready(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRunningCluster(t)
		defer c.stop()
		c.update(func() { c.partitions[8], c.tableCut[8] = 1, true })
		_, err := c.propose(0, 2)
		assert.NilError(t, err)
		time.Sleep(11 * time.Second)
		assert.ErrorContains(t, c.currentNodes()[8].agent.Ready(), "was not confirmed for 10s")
		assert.Equal(t, c.readyCount(2), 8)
		c.heal()
		time.Sleep(propagationLimit9)
		assert.Equal(t, c.readyCount(2), 9)
	})
}

// While the table is unavailable, instances must stay ready by confirming the version among themselves, and a restarted
// instance must become ready again.
func TestStoreOutageKeepsInstancesReady(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRunningCluster(t)
		defer c.stop()
		c.cutAllFromTable()
		for range 60 {
			time.Sleep(time.Minute)
			assert.Equal(t, c.readyCount(1), 9)
		}
		c.restart(3)
		time.Sleep(propagationLimit400)
		assert.Equal(t, c.readyCount(1), 9)
	})
}

// A minority that is cut off from the table and from the majority must not stay ready with the earlier version after
// the majority accepted a later one.
func TestMinorityWithoutTableBecomesUnready(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRunningCluster(t)
		defer c.stop()
		c.update(func() { c.isolateFrom(5) })
		_, err := c.propose(0, 2)
		assert.NilError(t, err)
		time.Sleep(11 * time.Second)
		assert.Equal(t, c.readyCount(2), 5)
		assert.Equal(t, c.readyCount(1), 0)
	})
}

// An instance that reaches only a minority must not accept a document, even if it reaches the table.
func TestMinorityAcceptsNoDocument(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 9, 1)
		defer c.stop()
		c.update(func() { c.isolateFrom(5) })
		c.update(func() { clear(c.tableCut) })
		_, err := c.propose(8, 1)
		assert.ErrorContains(t, err, "only 4 of 9 instances are heard")
	})
}

// Instances that were restarted while the table is unavailable do not know which versions were accepted before, so they
// must not count towards the quorum that confirms a version.
func TestFreshInstancesAreNoWitnesses(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 9, 1)
		defer c.stop()
		for i := range 2 {
			_, err := c.propose(0, i+1)
			assert.NilError(t, err)
			time.Sleep(propagationLimit9)
		}
		c.cutAllFromTable()
		for i := 1; i < 9; i++ {
			c.restart(i)
		}
		time.Sleep(time.Minute)
		assert.Equal(t, c.readyCount(2), 0)
		assert.ErrorContains(t, c.currentNodes()[0].agent.Ready(), "only")
		c.heal()
		time.Sleep(propagationLimit9)
		assert.Equal(t, c.readyCount(2), 9)
	})
}

// A read of the table that gets no answer must not delay the next one: the table was back for over two seconds before an
// instance became ready.
func TestLostReadDoesNotDelayNextPoll(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 1, 1)
		defer c.stop()
		_, err := c.propose(0, 1)
		assert.NilError(t, err)
		c.cutAllFromTable()
		time.Sleep(time.Minute)
		agent := c.currentNodes()[0].agent
		for reads := agent.Counts().HeadReads; agent.Counts().HeadReads == reads; {
			time.Sleep(10 * time.Millisecond)
		}
		// The next read has begun by then, and is lost.
		time.Sleep(1900 * time.Millisecond)
		assert.Equal(t, c.readyCount(1), 0)
		c.heal()
		time.Sleep(propagationLimit9)
		assert.Equal(t, c.readyCount(1), 1)
	})
}

// If the network is partitioned when a document is written, its acceptance must not be reported, since the majority
// still runs the earlier version. The document must come into force everywhere after the partition heals.
func TestPartitionDuringAcceptance(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRunningCluster(t)
		defer c.stop()
		c.update(func() {
			c.injectError = func(op string, after bool) error {
				if op == "apply" && after {
					c.isolateFrom(4)
				}
				return nil
			}
		})
		_, err := c.propose(0, 2)
		assert.Assert(t, fault.Is(err, fault.OutcomeUnknown), "%v", err)
		time.Sleep(11 * time.Second)
		assert.Equal(t, c.readyCount(2), 4)
		assert.Equal(t, c.readyCount(1), 5)
		c.heal()
		time.Sleep(propagationLimit9)
		assert.Equal(t, c.readyCount(2), 9)
	})
}

// The acceptance of the first document must be reported to the operator even if no instance polls the table in between
// and a third of the messages is lost.
func TestFirstDocumentIsConfirmedToOperator(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newCluster(t, 400, 1)
		defer c.stop()
		c.update(func() { c.lossRate = 0.33 })
		time.Sleep(time.Second)
		_, err := c.propose(0, 1)
		assert.NilError(t, err)
	})
}

// The push alone must bring a document into force at instances that cannot read the table, before their next periodic
// exchange.
func TestPushReachesAllInstances(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRunningCluster(t)
		defer c.stop()
		c.cutAllFromTable()
		c.update(func() { c.tableCut[0] = false })
		c.group.Go(func() error {
			_, err := c.propose(0, 2)
			return err
		})
		time.Sleep(100 * time.Millisecond)
		assert.Equal(t, c.readyCount(2), 9)
	})
}

// A peer that does not answer must not delay the push of the next document to the others.
func TestUnreachablePeerDoesNotDelayPush(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newRunningCluster(t)
		defer c.stop()
		c.cutAllFromTable()
		c.update(func() { c.tableCut[0], c.partitions[8] = false, 1 })
		_, err := c.propose(0, 2)
		assert.NilError(t, err)
		c.group.Go(func() error {
			_, err := c.propose(0, 3)
			return err
		})
		time.Sleep(50 * time.Millisecond)
		assert.Equal(t, c.readyCount(3), 8)
	})
}

// TestVersionArrivesOverSlowLink guards against instances that never run a large version, because it takes longer to arrive, from
// a peer or from the table, than their source may be silent.
func TestVersionArrivesOverSlowLink(t *testing.T) {
	for _, fromTable := range []bool{false, true} {
		t.Run(fmt.Sprintf("from the table %v", fromTable), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newRunningCluster(t)
				defer c.stop()
				c.update(func() {
					c.slow[8], c.tableCut[8] = true, !fromTable
					if fromTable {
						c.partitions[8] = 1
					}
				})
				_, err := c.propose(0, 2)
				assert.NilError(t, err)
				time.Sleep(5 * time.Second)
				assert.Equal(t, c.currentNodes()[8].agent.Current().Version, ident.Version(2))
			})
		})
	}
}
