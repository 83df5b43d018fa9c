package gang_test

import (
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/gang"
	"github.com/sardineline/sardineline/sard/ident"
)

// shortLease is the bound on a part's run without the whole gang, with a second for calls.
const shortLease = 6 * time.Second

// brokenLimit is the bound on a part's run after another part has ended early: a lease, for a worker that can't be
// reached, and one that was on its way, and the time to notice.
const brokenLimit = 100 * time.Second

func TestTakeover(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 2, 8)
		first := s.hold("i1").serving()
		running := first.submit(t, "k1", job(64, "10m"))
		waiting := first.submit(t, "k2", job(128, "1m"))
		time.Sleep(2 * time.Second)
		first.crash()
		<-first.done
		crashed := time.Now()
		second := s.hold("i2").serving()
		t.Logf("takeover after %v", time.Since(crashed))
		assert.Equal(t, second.held.Epoch(), first.held.Epoch()+1)
		assert.Equal(t, second.get(t, running.ID).Attempt, ident.Attempt(1))
		time.Sleep(20 * time.Minute)
		assert.Equal(t, second.get(t, running.ID).State, ident.Succeeded)
		assert.Equal(t, second.get(t, waiting.ID).State, ident.Succeeded)
		s.ranOnce(running.ID)
		again := second.submit(t, "k1", job(64, "10m"))
		assert.Equal(t, again.ID, running.ID)
		s.ledger.partial(shortLease, brokenLimit)
		s.end(first, second)
	})
}

func TestHandOver(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, 8)
		first := s.hold("i1").serving()
		view := first.submit(t, "k1", job(64, "10m"))
		time.Sleep(2 * time.Second)
		left := time.Now()
		assert.NilError(t, first.leave(t.Context()))
		second := s.hold("i2").serving()
		assert.Assert(t, time.Since(left) < time.Second)
		time.Sleep(10 * time.Minute)
		assert.Equal(t, second.get(t, view.ID).State, ident.Succeeded)
		assert.Equal(t, second.get(t, view.ID).Attempt, ident.Attempt(1))
		s.end(first, second)
	})
}

func TestMemberLost(t *testing.T) {
	tests := []struct {
		name string
		lose func(w *fakeWorker)
	}{
		{"cut off", func(w *fakeWorker) { w.setDown(true) }},
		{"crashed and back", func(w *fakeWorker) { w.crash() }},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 2, 8)
				h := s.hold("i1").serving()
				view := h.submit(t, "k1", job(64, "10m"))
				time.Sleep(2 * time.Second)
				test.lose(s.workers[h.get(t, view.ID).Parts[3].Worker])
				time.Sleep(15 * time.Minute)
				got := h.get(t, view.ID)
				assert.Equal(t, got.State, ident.Succeeded)
				assert.Equal(t, got.Attempt, ident.Attempt(2))
				s.ranOnce(view.ID)
				s.end(h)
			})
		})
	}
}

func TestNotRepeatedLost(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSite(t, 1, 8)
		h := s.hold("i1").serving()
		spec := job(16, "10m")
		spec.NotRepeated, spec.Kind = true, "once"
		view := h.submit(t, "k1", spec)
		time.Sleep(2 * time.Second)
		s.workers[h.get(t, view.ID).Parts[0].Worker].crash()
		time.Sleep(5 * time.Minute)
		got := h.get(t, view.ID)
		assert.Equal(t, got.State, ident.Failed)
		assert.Equal(t, got.Attempt, ident.Attempt(1))
		assert.Assert(t, got.Reason != "")
		s.end(h)
	})
}

func TestCancel(t *testing.T) {
	tests := []struct {
		name string
		// at is how long after the submission the job is cancelled.
		at time.Duration
	}{
		{"at once", 0},
		{"running", 2 * time.Second},
		{"ended", 2 * time.Minute},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 1, 8)
				h := s.hold("i1").serving()
				view := h.submit(t, "", job(64, "1m"))
				queued := h.submit(t, "", job(64, "1m"))
				time.Sleep(test.at)
				ids := []ident.Job{view.ID, queued.ID}
				assert.NilError(t, h.domain.Cancel(t.Context(), "acme", ids))
				assert.NilError(t, h.domain.Cancel(t.Context(), "acme", ids))
				time.Sleep(5 * time.Minute)
				want := ident.Cancelled
				if test.at > time.Minute {
					want = ident.Succeeded
				}
				assert.Equal(t, h.get(t, view.ID).State, want)
				assert.Assert(t, h.get(t, queued.ID).State.Terminal())
				s.end(h)
			})
		})
	}
}

func TestFailingJobEnds(t *testing.T) {
	tests := []struct{ name, command string }{
		{"fails at the start", "fail"},
		{"refused by every worker", "refuse"},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSite(t, 2, 8)
				h := s.hold("i1").serving()
				view := h.submit(t, "", gang.JobSpec{Kind: "pricing", Accelerators: 8, Command: test.command, Checkpointable: true})
				time.Sleep(time.Hour)
				got := h.get(t, view.ID)
				assert.Equal(t, got.State, ident.Failed)
				assert.Equal(t, got.Attempt, ident.Attempt(3))
				assert.Assert(t, got.Reason != "")
				s.end(h)
			})
		})
	}
}
