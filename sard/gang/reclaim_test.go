package gang_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// reclaimLimit bounds the time from the submission of a job within a guarantee until it runs, if another account's job
// must be stopped for it: the checkpoint grace and 2 s.
const reclaimLimit = 7 * time.Second

// TestReclaim checks that guaranteed accelerators are reclaimed in time from a borrowing job, and that the borrower
// resumes later from its checkpoint if it wrote one within the grace period.
func TestReclaim(t *testing.T) {
	tests := []struct {
		name string
		// withholdCheckpoints makes checkpoint requests time out.
		withholdCheckpoints bool
		// want is the prefix of the checkpoint from which the borrower resumes.
		want string
	}{
		{"with checkpoint", false, "checkpoint/"},
		{"checkpoint not written", true, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c := newTestCluster(t, 1, 8)
				if test.withholdCheckpoints {
					for _, w := range c.workers {
						w.withholdCheckpoints = true
					}
				}
				inst := c.startInstance("i1").awaitReady()
				inst.scheduler.Configure(place.Configure{
					CheckpointGrace: 5 * time.Second,
					Accounts: []place.Account{
						{Name: "acme", Weight: 1},
						{Name: "beta", Weight: 1, Guarantees: []place.Guarantee{{Accelerators: 64, Count: 1}}},
					},
				})
				borrower := inst.submit(t, "", jobSpec(64, "1h"))
				time.Sleep(time.Minute)
				assert.Equal(t, inst.get(t, borrower.ID).State, ident.Running)
				owner, err := inst.scheduler.Submit(t.Context(), "beta", "", jobSpec(64, "1h"))
				assert.NilError(t, err)
				time.Sleep(reclaimLimit)
				view, err := inst.scheduler.Get(t.Context(), "beta", owner.ID)
				assert.NilError(t, err)
				assert.Equal(t, view.State, ident.Running)
				time.Sleep(90 * time.Minute)
				assert.Equal(t, inst.get(t, borrower.ID).Attempt, ident.Attempt(2))
				checkpoint := c.workers["r0-w0"].checkpoint(borrower.ID)
				assert.Equal(t, checkpoint[:min(len(checkpoint), len("checkpoint/"))], test.want)
				time.Sleep(time.Hour)
				assert.Equal(t, inst.get(t, borrower.ID).State, ident.Succeeded)
				c.shutDown(inst)
			})
		})
	}
}

// checkpoint returns the checkpoint from which a job's last attempt on the worker was started.
func (w *fakeWorker) checkpoint(id ident.Job) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	name, last := "", ident.Attempt(0)
	for part, p := range w.parts {
		if part.Job == id && part.Attempt > last {
			name, last = p.spec.Checkpoint, part.Attempt
		}
	}
	return name
}
