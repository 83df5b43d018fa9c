package sched

import (
	"fmt"
	"testing"
	"time"

	"github.com/hashicorp/go-hclog"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/work"
)

// newStartLister returns a scheduler that can write start lists, with some workers that have an attempt to start each.
func newStartLister(workers int) *Scheduler {
	s := &Scheduler{
		config: Config{Logger: hclog.NewNullLogger()}, starts: newStartList(), sessions: map[ident.Worker]*session{},
		fencer: NewFencer(NewMetrics(nil)),
	}
	for i := range workers {
		id := ident.Worker(fmt.Sprintf("worker-%036d", i))
		w := &session{attempts: map[work.Attempt]*attemptState{{}: {unrecorded: true}}}
		w.entry.WorkerProcess.Worker, w.entry.Address = id, "10.255.255.255:65535"
		s.sessions[id], s.starts.unsettled[id] = w, true
	}
	return s
}

// TestStartListFitsInRow guards against batches that the store refuses for good since the start list is too large for a row, and
// against workers with open starts that it leaves out.
func TestStartListFitsInRow(t *testing.T) {
	s := newStartLister(3000)
	open := ident.Worker(fmt.Sprintf("worker-%036d", 2999))
	delete(s.starts.unsettled, open)
	s.fencer.add(fenceTarget{worker: open, address: "10.255.255.255:65535", until: clock.Now().Add(maxOrderLateness)})
	var b batch
	s.addStartList(&b)
	assert.Equal(t, len(b.tx.Put), 1)
	assert.Check(t, len(b.tx.Put[0].Value) <= maxStartListBytes)
	assert.Check(t, len(b.listed) > 500 && len(b.listed) < 3000, "%d", len(b.listed))
	_, listed := b.listed[open]
	assert.Check(t, listed)
}

// TestStartListNamesWorkersForLongEnough guards against starts on workers that the stored list names for an older start only.
func TestStartListNamesWorkersForLongEnough(t *testing.T) {
	s := newStartLister(1)
	id := ident.Worker(fmt.Sprintf("worker-%036d", 0))
	s.starts.stored[id] = storedStart{remaining: time.Second, until: clock.Now().Add(time.Second)}
	assert.Check(t, !s.starts.names(id))
	var b batch
	s.addStartList(&b)
	s.starts.written(&b)
	assert.Check(t, s.starts.names(id))
}
