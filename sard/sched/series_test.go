package sched_test

import (
	"context"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/elect"
	"github.com/sardineline/sardineline/sard/store"
	"github.com/sardineline/sardineline/sard/work"
)

// maxIdle is how long a job may have nothing running while there is room for it.
const maxIdle = 3 * time.Second

// holder returns the name of the instance that holds the scheduler lease, or that held it last.
func (r *harness) holder() string {
	r.t.Helper()
	listing, err := r.store.List(r.ctx, store.Range{Table: elect.TableName, Partition: work.MainPartition})
	assert.NilError(r.t, err)
	for _, row := range listing.Rows {
		if row.Key.Name == "owner" {
			name, _, _ := strings.Cut(string(row.Value), "@")
			return name
		}
	}
	return ""
}

// killHolder kills the instance that holds the scheduler lease, and waits until another one does.
func (r *harness) killHolder(kill map[string]context.CancelFunc) {
	r.t.Helper()
	former := r.holder()
	kill[former]()
	for r.holder() == former {
		r.sleep(time.Millisecond)
	}
}

// TestHoldersLostInSeries guards against jobs that have nothing running for 3 s, although there is room, because one lease holder
// is lost and the next one before its first start.
func TestHoldersLostInSeries(t *testing.T) {
	for phase := range 10 {
		runTest(t, 2, func(r *harness) {
			r.disturbed.Store(true)
			kill := map[string]context.CancelFunc{}
			for _, name := range []string{"i1", "i2", "i3"} {
				kill[name] = r.startInstance(name)
			}
			r.sleep(5*time.Second + time.Duration(phase)*37*time.Millisecond)
			lostAt := time.Now()
			r.submit("w1", time.Second, work.Step{Parts: 1})
			r.killHolder(kill)
			r.killHolder(kill)
			for r.fleet.StartCount() == 0 && time.Since(lostAt) < 2*maxIdle {
				r.sleep(time.Millisecond)
			}
			idle := time.Since(lostAt)
			assert.Check(t, idle < maxIdle, "phase %d: nothing runs for %v", phase, idle)
		})
	}
}
