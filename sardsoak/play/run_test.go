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

// TestShortRun plays a short run of a fixed seed against real processes. Promises that name a time are left out, as
// the machine may be busy.
func TestShortRun(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "sardined")
	build := exec.Command("go", "build", "-o", program, "github.com/sardineline/sardineline/sardined")
	out, err := build.CombinedOutput()
	assert.NilError(t, err, string(out))
	report, err := Run(context.Background(), Config{
		Seed: 1, Duration: 8 * time.Second, Program: program, Dir: dir, Instances: 3, Workers: 8,
		JobsPerSecond: 2, FaultInterval: time.Second, Logger: hclog.NewNullLogger(),
	})
	assert.NilError(t, err)
	t.Log(report)
	assert.DeepEqual(t, report.Violations, []string(nil))
	assert.Assert(t, report.Accepted > 0 && report.Faults > 0, "%v", report)
	assert.Equal(t, report.Jobs, report.Accepted+report.Refused+report.Unknown)
	assert.Equal(t, report.Accepted, report.Completed+report.Failed+report.Cancelled, "each accepted job has one end")
}

// TestCalendar tells disturbed times from calm ones.
func TestCalendar(t *testing.T) {
	c := newCalendar()
	assert.Assert(t, !c.calm(0), "nothing is known of the time before")
	c.lastEnd = c.lastEnd.Add(-stableTime - time.Second)
	assert.Assert(t, c.calm(500*time.Millisecond))
	assert.Assert(t, !c.calm(2*time.Second))
	c.begin()
	assert.Assert(t, !c.calm(0))
	c.end()
	assert.Assert(t, !c.calm(0), "stable only after stableTime")
}
