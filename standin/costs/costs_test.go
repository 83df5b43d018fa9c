package costs_test

import (
	"os"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/standin/costs"
)

// TestTable shows that each figure can be taken; with -v it prints them. TABLE_ENDPOINT names a stand-in in another
// process, and TABLE_CALLS=all makes the full number of calls.
func TestTable(t *testing.T) {
	config := costs.Config{Endpoint: os.Getenv("TABLE_ENDPOINT"), Calls: 20}
	if os.Getenv("TABLE_CALLS") == "all" {
		config.Calls = 0
	}
	figures, err := costs.Table(t.Context(), config)
	assert.NilError(t, err)
	for _, f := range figures {
		assert.Assert(t, f.Value >= 0, f.Name)
		t.Logf("%-40s %12.3f %s", f.Name, f.Value, f.Unit)
	}
}

// TestFleet prints the figures of the fleet list with -v.
func TestFleet(t *testing.T) {
	figures, err := costs.Fleet(t.Context())
	assert.NilError(t, err)
	for _, f := range figures {
		assert.Assert(t, f.Value >= 0, f.Name)
		t.Logf("%-40s %12.3f %s", f.Name, f.Value, f.Unit)
	}
}
