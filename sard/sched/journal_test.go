package sched

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/pool"
	"github.com/sardineline/sardineline/sard/work"
)

// TestRecordConfirmsEndsOfItsProcessOnly guards against ends of a worker's later process that are acknowledged before their
// consequences are recorded, because the record of ends of the former process was written meanwhile.
func TestRecordConfirmsEndsOfItsProcessOnly(t *testing.T) {
	tests := []struct {
		name      string
		restarted bool
		confirmed EndSequence
	}{
		{"the same process", false, 1},
		{"a later process", true, 0},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			w := &session{
				entry:   ListedWorker{Worker: pool.Worker{WorkerProcess: work.WorkerProcess{Worker: "wa", StartedMs: 1}}},
				seenEnd: 1,
			}
			sessions := map[ident.Worker]*session{"wa": w}
			s := &Scheduler{sessions: sessions, unconfirmed: sessions}
			recorded := s.unconfirmedEnds()
			if test.restarted {
				w.entry.StartedMs = 2
			}
			s.confirmEnds(recorded)
			assert.Equal(t, w.confirmedEnd, test.confirmed)
		})
	}
}
