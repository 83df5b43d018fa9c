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

// TestEndedJobIsArchivedBeforeItIsPruned has the object store down for an hour after the retention has passed.
func TestEndedJobIsArchivedBeforeItIsPruned(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, 2)
		archive := &object.Memory{}
		var down atomic.Bool
		archive.InjectError = func(string, bool) error {
			if down.Load() {
				return fault.New(fault.Unavailable, "put", "object store", "down")
			}
			return nil
		}
		s.archive = archive
		h := s.hold("i1").serving()
		view := h.submit(t, "k1", job(8, "run 1s"))
		time.Sleep(time.Minute)
		assert.Equal(t, h.get(t, view.ID).State, ident.Succeeded)

		down.Store(true)
		time.Sleep(gang.DefaultRetention + time.Hour)
		items, err := s.store.List(t.Context(), table.BackgroundPriority, "jobs/"+string(dc), "")
		assert.NilError(t, err)
		assert.Equal(t, len(items), 1)
		assert.Equal(t, h.get(t, view.ID).State, ident.Succeeded)

		down.Store(false)
		time.Sleep(5 * time.Minute)
		items, err = s.store.List(t.Context(), table.BackgroundPriority, "jobs/"+string(dc), "")
		assert.NilError(t, err)
		assert.Equal(t, len(items), 0)
		assert.Equal(t, h.get(t, view.ID).State, ident.Succeeded)
		_, err = h.domain.Get(t.Context(), "other", view.ID)
		assert.Equal(t, fault.KindOf(err), fault.NotFound)
		s.end(h)
	})
}
