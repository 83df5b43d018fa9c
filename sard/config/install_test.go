package config

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// install never passes an earlier version to replaceCurrent, which must reject it all the same.
func TestReplaceRejectsEarlierVersions(t *testing.T) {
	tests := []struct {
		name string
		next ident.Version
		ok   bool
	}{
		{"later", 6, true},
		{"same", 5, false},
		{"earlier", 4, false},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var violated []string
			a := New(Config{OnViolation: func(invariant, _ string) { violated = append(violated, invariant) }})
			a.current.Version = 5
			err := a.replaceCurrent(ActiveDocument{Record: Record{Head: Head{Version: tt.next}}}, 0)
			if tt.ok {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, fault.Is(err, fault.Internal))
			assert.DeepEqual(t, violated, []string{InvariantNoRevert})
			assert.Equal(t, a.Current().Version, ident.Version(5))
			assert.Equal(t, a.Counts().Violations, uint64(1))
		})
	}
}
