package gang_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/place"
)

// reclaimLimit is the checkpoint grace and 2 s.
const reclaimLimit = 7 * time.Second

func TestReclaim(t *testing.T) {
	tests := []struct {
		name string
		// mute tells that no checkpoint is ever written.
		mute bool
		want string
	}{
		{"with checkpoint", false, "checkpoint/"},
		{"checkpoint not written", true, ""},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 1, 8)
				if test.mute {
					for _, w := range s.workers {
						w.mute = true
					}
				}
				h := s.hold("i1").serving()
				h.domain.Configure(place.Configure{
					CheckpointGrace: 5 * time.Second,
					Accounts: []place.Account{
						{Name: "acme", Weight: 1},
						{Name: "beta", Weight: 1, Guarantees: []place.Guarantee{{Accelerators: 64, Count: 1}}},
					},
				})
				borrower := h.submit(t, "", job(64, "1h"))
				time.Sleep(time.Minute)
				assert.Equal(t, h.get(t, borrower.ID).State, ident.Running)
				owner, err := h.domain.Submit(t.Context(), "beta", "", job(64, "1h"))
				assert.NilError(t, err)
				time.Sleep(reclaimLimit)
				view, err := h.domain.Get(t.Context(), "beta", owner.ID)
				assert.NilError(t, err)
				assert.Equal(t, view.State, ident.Running)
				time.Sleep(90 * time.Minute)
				assert.Equal(t, h.get(t, borrower.ID).Attempt, ident.Attempt(2))
				resumed := s.workers["r0-w0"].checkpoint(borrower.ID)
				assert.Equal(t, resumed[:min(len(resumed), len("checkpoint/"))], test.want)
				time.Sleep(time.Hour)
				assert.Equal(t, h.get(t, borrower.ID).State, ident.Succeeded)
				s.end(h)
			})
		})
	}
}

// checkpoint returns the checkpoint from which the worker's last attempt of a job was started.
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
