package gang_test

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/object"
	"github.com/sardineline/sardineline/sard/table"
)

// TestEndedJobIsArchivedBeforeItIsPruned checks that an ended job stays in the table while the object store is
// unavailable, here for an hour after the retention, and can be read from the archive once it was pruned.
func TestEndedJobIsArchivedBeforeItIsPruned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		c := newTestCluster(t, 1, 2)
		archive := &object.Memory{}
		var down atomic.Bool
		archive.InjectError = func(string, bool) error {
			if down.Load() {
				return fault.New(fault.Unavailable, "put", "object store", "unavailable")
			}
			return nil
		}
		c.archive = archive
		inst := c.startInstance("i1").awaitReady()
		view := inst.submit(t, "k1", jobSpec(8, "run 1s"))
		time.Sleep(time.Minute)
		assert.Equal(t, inst.get(t, view.ID).State, ident.Succeeded)

		down.Store(true)
		time.Sleep(gang.DefaultRetention + time.Hour)
		items, err := c.store.List(t.Context(), table.BackgroundPriority, "jobs/"+string(dc), "")
		assert.NilError(t, err)
		assert.Equal(t, len(items), 1)
		assert.Equal(t, inst.get(t, view.ID).State, ident.Succeeded)

		down.Store(false)
		time.Sleep(5 * time.Minute)
		items, err = c.store.List(t.Context(), table.BackgroundPriority, "jobs/"+string(dc), "")
		assert.NilError(t, err)
		assert.Equal(t, len(items), 0)
		assert.Equal(t, inst.get(t, view.ID).State, ident.Succeeded)
		_, err = inst.scheduler.Get(t.Context(), "other", view.ID)
		assert.Equal(t, fault.KindOf(err), fault.NotFound)
		c.shutDown(inst)
	})
}
