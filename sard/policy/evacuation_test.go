package policy

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/store"
)

// evacuationKey returns the key of the row that requests the evacuation of a data centre.
func evacuationKey(dc string) store.Key {
	return store.Key{Table: rowKey.Table, Name: "evacuate/" + dc}
}

// evacuate requests the evacuation of a data centre.
func (h *harness) evacuate(dc string) {
	h.t.Helper()
	_, err := h.store.Apply(h.t.Context(), store.Tx{Put: []store.Put{{Key: evacuationKey(dc), Value: []byte("{}")}}})
	assert.NilError(h.t, err)
}

// takeBack removes the request to evacuate a data centre.
func (h *harness) takeBack(dc string) {
	h.t.Helper()
	_, err := h.store.Apply(h.t.Context(), store.Tx{Delete: []store.Key{evacuationKey(dc)}})
	assert.NilError(h.t, err)
}

// TestEvacuationsFollowTheStore checks that evacuations and their removal are in force within a second, whether the feed
// or only the poll tells of them.
func TestEvacuationsFollowTheStore(t *testing.T) {
	tests := []struct {
		name     string
		feedDown bool
		wait     time.Duration
	}{
		{"by the feed", false, 10 * time.Millisecond},
		{"by the poll", true, listPeriod + time.Millisecond},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			runWithSource(t, func(h *harness) {
				h.feedDown.Store(test.feedDown)
				h.evacuate("akl")
				time.Sleep(2 * time.Second)
				assert.DeepEqual(t, h.source.Evacuations().List(), []ident.DataCentre{"akl"})
				h.evacuate("hlz")
				time.Sleep(test.wait)
				assert.DeepEqual(t, h.source.Evacuations().List(), []ident.DataCentre{"akl", "hlz"})
				h.takeBack("akl")
				time.Sleep(test.wait)
				assert.DeepEqual(t, h.source.Evacuations().List(), []ident.DataCentre{"hlz"})
			})
		})
	}
}

// TestEvacuationsAreUnknownBeforeTheFirstRead checks that every data centre counts as evacuated until the store answers.
func TestEvacuationsAreUnknownBeforeTheFirstRead(t *testing.T) {
	takeStoreDown := func(h *harness) { h.storeDown.Store(true) }
	runPrepared(t, takeStoreDown, func(h *harness) {
		time.Sleep(time.Second)
		assert.Assert(t, h.source.Evacuations().Contains("akl"))
		h.storeDown.Store(false)
		time.Sleep(time.Second)
		assert.Assert(t, !h.source.Evacuations().Contains("akl"))
	})
}

// TestOlderStateOfAnEvacuationIsIgnored applies changes and listings out of order.
func TestOlderStateOfAnEvacuationIsIgnored(t *testing.T) {
	rows := evacuationRows{}
	assert.Assert(t, rows.change("akl", evacuationRow{version: 5}))
	assert.Assert(t, !rows.change("akl", evacuationRow{version: 4, removed: true}))
	assert.Assert(t, !rows.removeMissing(map[ident.DataCentre]bool{}, 4))
	assert.DeepEqual(t, rows.set().List(), []ident.DataCentre{"akl"})
	assert.Assert(t, rows.removeMissing(map[ident.DataCentre]bool{}, 9))
	assert.Assert(t, !rows.change("akl", evacuationRow{version: 5}))
	assert.DeepEqual(t, rows.set().List(), []ident.DataCentre{})
}
