package play

import (
	"context"
	"os/exec"
	"path/filepath"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"
)

// TestShortRun executes a short run with a fixed seed against real processes. Invariants with a time limit are not
// checked, since the machine may be busy.
func TestShortRun(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "sardined")
	build := exec.Command("go", "build", "-o", program, "github.com/sardineline/sardineline/sardined")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, string(out))
	report, err := Run(context.Background(), Config{
		Seed: 1, Duration: 8 * time.Second, Program: program, Dir: dir, Instances: 3, Workers: 8,
		Features:      []string{"--pool.run-times", "--pool.worker-speeds", "--pool.worker-speeds-min-racks=1", "--pool.admission", "--pool.store-check"},
		JobsPerSecond: 2, FaultInterval: time.Second, Logger: hclog.NewNullLogger(),
	})
	assert.NilError(t, err)
	t.Log(report)
	assert.DeepEqual(t, report.Violations, []string(nil))
	assert.Assert(t, report.Accepted > 0 && report.Faults > 0, "%v", report)
	assert.Equal(t, report.Jobs, report.Accepted+report.Refused+report.Unknown)
	assert.Equal(t, report.Accepted, report.Completed+report.Failed+report.Cancelled, "each accepted job must have one final state")
}

// TestFaultTracker checks that stableFor is false during a fault and for recoveryTime after it.
func TestFaultTracker(t *testing.T) {
	c := newFaultTracker()
	assert.Assert(t, !c.stableFor(0), "the time before the tracker must count as disturbed")
	c.lastEnd = c.lastEnd.Add(-recoveryTime - time.Second)
	assert.Assert(t, c.stableFor(500*time.Millisecond))
	assert.Assert(t, !c.stableFor(2*time.Second))
	c.faultStarted()
	assert.Assert(t, !c.stableFor(0))
	c.faultEnded()
	assert.Assert(t, !c.stableFor(0), "must be stable only after recoveryTime")
}
