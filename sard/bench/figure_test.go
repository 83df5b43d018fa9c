package bench

import (
	"os"
	"path/filepath"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
)

func TestBoundHolds(t *testing.T) {
	tests := []struct {
		bound Bound
		value float64
		holds bool
	}{
		{UpperBound(2), 2, true},
		{UpperBound(2), 2.1, false},
		{LowerBound(2), 1.9, false},
		{LowerBound(2), 2, true},
		{Bound{}, 1e9, true},
	}
	for _, tt := range tests {
		assert.Equal(t, tt.bound.Holds(tt.value), tt.holds, "%s %g", tt.bound, tt.value)
	}
}

func TestKnownFailuresArePrinted(t *testing.T) {
	path := filepath.Join(t.TempDir(), "KNOWN-RED.txt")
	text := "# comment\nTestOther | go test | red | issue 1\nbench slow.figure | sardbench | 3 over 2 | issue 4\n"
	assert.NilError(t, os.WriteFile(path, []byte(text), 0o600))
	known, err := ReadKnownFailures(path)
	assert.NilError(t, err)
	var out strings.Builder
	assert.DeepEqual(t, known.Unlisted(&out, []string{"slow.figure", "new.figure"}), []string{"new.figure"})
	assert.Equal(t, out.String(), "known: bench slow.figure | sardbench | 3 over 2 | issue 4\n")
}
