package sched

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/hashicorp/go-hclog"

	"github.com/sardineline/sardineline/sard/fcast"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/speed"
	"github.com/sardineline/sardineline/sard/work"
)

// learnedWith returns a learned state with the given number of kinds and workers.
func learnedWith(kinds, workers int) pool.Learned {
	var l pool.Learned
	for i := range kinds {
		l.RunTimes.Kinds = append(l.RunTimes.Kinds, fcast.KindSnapshot{
			Kind:    fcast.Kind{Queue: "queue", Account: ident.Account(fmt.Sprint("account", i)), Image: "registry/image:1"},
			RunTime: fcast.MomentsSnapshot{Mean: 1.5, Variance: 0.1, Weight: 20},
		})
	}
	for i := range workers {
		l.Speeds.Entries = append(l.Speeds.Entries, speed.Entry{Worker: ident.Worker(fmt.Sprint("worker-", i)), Mean: -700, Weight: 12000})
	}
	return l
}

// TestLearnedRowIsBounded checks the size of the row of a large pool, and that the entries that matter most are kept.
func TestLearnedRowIsBounded(t *testing.T) {
	value, err := encodeLearned(learnedWith(384, 2048), time.UnixMilli(1))
	assert.NilError(t, err)
	assert.Assert(t, len(value) <= maxLearnedBytes+100, "%d", len(value))
	var row learnedRow
	assert.NilError(t, work.Decode(value, &row))
	var state pool.Learned
	assert.NilError(t, work.Decode(row.State, &state))
	assert.Equal(t, state.RunTimes.Kinds[0].Kind.Account, ident.Account("account0"))
}

// TestRowsOfOtherVersionsAreIgnored checks that a row is taken over only if it is of this version and can be read.
func TestRowsOfOtherVersionsAreIgnored(t *testing.T) {
	state, err := work.Encode(learnedWith(3, 0))
	assert.NilError(t, err)
	tests := []struct {
		name  string
		row   any
		kinds int
	}{
		{"this version", learnedRow{Version: learnedVersion, State: state}, 3},
		{"an older version", learnedRow{Version: learnedVersion - 1, State: state}, 0},
		{"a later version", learnedRow{Version: learnedVersion + 1, State: []byte("?")}, 0},
		{"a state that can't be read", learnedRow{Version: learnedVersion, State: []byte("?")}, 0},
		{"something else", "text", 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			value, err := work.Encode(test.row)
			assert.NilError(t, err)
			s := &Scheduler{config: Config{Logger: hclog.NewNullLogger(), RunTimes: true}, engine: pool.New(pool.Config{RunTimes: true})}
			s.restoreLearned(value)
			assert.Equal(t, len(s.engine.Learned(time.Now()).RunTimes.Kinds), test.kinds)
		})
	}
}
