package domain

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/fleet"
	"github.com/sardineline/sardineline/sard/ident"
)

func workers(names string) []fleet.Worker {
	var list []fleet.Worker
	for _, name := range strings.Fields(names) {
		list = append(list, fleet.Worker{Name: ident.Worker(name), Accelerators: 8})
	}
	return list
}

// names writes workers as their names, with a "-" before those that are leaving.
func names(list []fleet.Worker) string {
	var words []string
	for _, w := range list {
		word := string(w.Name)
		if w.State == ident.Leaving {
			word = "-" + word
		}
		words = append(words, word)
	}
	return strings.Join(words, " ")
}

func TestMemoryKeepsMissingWorkersInPlace(t *testing.T) {
	tests := []struct {
		name, before, after string
		wait                time.Duration
		want                string
	}{
		{"all there", "a b c", "a b c", time.Minute, "a b c"},
		{"one missing", "a b c", "a c", time.Minute, "a -b c"},
		{"first missing", "a b c", "b c", time.Minute, "-a b c"},
		{"a whole rack missing", "a b c d", "a d", time.Minute, "a -b -c d"},
		{"gone for good", "a b c", "a c", goneAfter + time.Minute, "a c"},
		{"replaced", "a b c", "a x c", time.Minute, "a -b x c"},
		{"all missing", "a b", "", time.Minute, "-a -b"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			var m memory
			start := time.Unix(0, 0)
			m.merge(start, workers(tt.before))
			assert.Equal(t, names(m.merge(start.Add(tt.wait), workers(tt.after))), tt.want)
			assert.Equal(t, names(m.merge(start.Add(tt.wait+time.Second), workers(tt.before))[:1]), "a")
		})
	}
}
