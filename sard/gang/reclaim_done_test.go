package gang_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// TestGangReclaimedWhenDoneIsNotRepeated reclaims a borrowing gang about when its parts are done, without and with a
// takeover at that time. A gang whose parts are all done was queued again.
func TestGangReclaimedWhenDoneIsNotRepeated(t *testing.T) {
	tests := []struct {
		name     string
		takeover bool
	}{{"one holder", false}, {"takeover", true}}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			for offset := -60 * time.Millisecond; offset <= 60*time.Millisecond; offset += 5 * time.Millisecond {
				synctest.Test(t, func(t *testing.T) { reclaimWhenDone(t, offset, test.takeover) })
			}
		})
	}
}

// reclaimWhenDone submits a job that reclaims a gang at an offset from the gang's end, and checks that it ran once.
func reclaimWhenDone(t *testing.T, offset time.Duration, takeover bool) {
	c := newTestCluster(t, 1, 8)
	configure := place.Configure{
		CheckpointGrace: 5 * time.Second,
		Accounts: []place.Account{
			{Name: "acme", Weight: 1},
			{Name: "beta", Weight: 1, Guarantees: []place.Guarantee{{Accelerators: 64, Count: 1}}},
		},
	}
	inst := c.startInstance("i1").awaitReady()
	inst.scheduler.Configure(configure)
	borrower := inst.submit(t, "", jobSpec(64, "10s"))
	started := time.Now()
	time.Sleep(10*time.Second + offset)
	_, err := inst.scheduler.Submit(t.Context(), "beta", "", jobSpec(64, "10s"))
	assert.NilError(t, err)
	last := inst
	if takeover {
		time.Sleep(time.Until(started.Add(10 * time.Second)))
		inst.crash()
		last = c.startInstance("i2").awaitReady()
		last.scheduler.Configure(configure)
	}
	time.Sleep(5 * time.Minute)
	assert.Equal(t, last.get(t, borrower.ID).State, ident.Succeeded)
	c.checkRanOnce(borrower.ID)
	c.shutDown(inst, last)
}
