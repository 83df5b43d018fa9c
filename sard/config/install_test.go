package config

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
)

// The steps before the last one never offer an earlier version; the last one refuses it all the same.
func TestReplaceRefusesEarlierVersions(t *testing.T) {
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
			var broken []string
			a := New(Config{OnViolation: func(promise, _ string) { broken = append(broken, promise) }})
			a.current.Version = 5
			err := a.replace(ActiveDocument{Record: Record{Head: Head{Version: tt.next}}}, 0)
			if tt.ok {
				assert.NilError(t, err)
				return
			}
			assert.Assert(t, fault.Is(err, fault.Internal))
			assert.DeepEqual(t, broken, []string{InvariantNoRevert})
			assert.Equal(t, a.Current().Version, ident.Version(5))
			assert.Equal(t, a.Counts().Breaches, uint64(1))
		})
	}
}
