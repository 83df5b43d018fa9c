package load_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/load"
)

// TestFigures prints the figures. It runs only when SARD_LOAD is set, because it takes a minute.
func TestFigures(t *testing.T) {
	if os.Getenv("SARD_LOAD") == "" {
		t.Skip("SARD_LOAD is not set")
	}
	added, err := load.MeasureOverhead()
	t.Logf("added: %+v", added)
	assert.NilError(t, err)
	failing, err := load.MeasureFailingServers()
	t.Logf("failing: %+v", failing)
	assert.NilError(t, err)
	waiting, err := load.MeasureWaitingMemory()
	t.Logf("2,000 waiting requests: %d bytes", waiting)
	assert.NilError(t, err)
	for _, share := range []float64{0.5, 0.9, 2} {
		offered, err := load.Run(share, false)
		t.Logf("load %v: %+v", share, offered)
		assert.NilError(t, err)
	}
	offered, err := load.Run(0.9, true)
	t.Logf("load 0.9 with losses: %+v", offered)
	assert.NilError(t, err)
}
