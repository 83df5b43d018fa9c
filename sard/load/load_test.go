package load_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/load"
)

// TestPrintMeasurements logs all measurements. It takes about a minute, so it runs only if SARD_LOAD is set.
func TestPrintMeasurements(t *testing.T) {
	if os.Getenv("SARD_LOAD") == "" {
		t.Skip("SARD_LOAD is not set")
	}
	added, err := load.MeasureOverhead()
	t.Logf("overhead: %+v", added)
	assert.NilError(t, err)
	failing, err := load.MeasureFailingServers()
	t.Logf("failing servers: %+v", failing)
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
	t.Logf("load 0.9 with lost instance and servers: %+v", offered)
	assert.NilError(t, err)
}
