package fakes

import (
	"context"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/sched"
	"github.com/sardineline/sardineline/sard/share"
	"github.com/sardineline/sardineline/sard/work"
)

const (
	// ThrottleDelay is how long a worker takes to apply the share of a throttle request.
	ThrottleDelay = 100 * time.Millisecond
	// HarmLimit is how long the tail of a run may exceed its target because of what fills beside it.
	HarmLimit = 4 * time.Second
	// measuredSpan is the time over which tails are measured.
	measuredSpan = 500 * time.Millisecond
)

// shareChange is a change of a run's share at a time, which may be to come.
type shareChange struct {
	at    time.Time
	share share.Percent
}

// throttle handles a throttle request that is not ignored.
func (w *Worker) throttle(ctx context.Context, req sched.ThrottleRequest) (sched.Reply, error) {
	var reply sched.Reply
	err := w.call(ctx, req.Worker, req.Epoch, func() error {
		if w.RefuseThrottles {
			return fault.New(fault.Invalid, "throttle part", string(req.Worker.Worker), "not supported")
		}
		reply = w.reply()
		r := w.runs[req.Attempt.Part]
		if r == nil || r.attempt != req.Attempt {
			return w.refusal(sched.Outdated)
		}
		r.shares = append(r.shares, shareChange{at: time.Now().Add(ThrottleDelay), share: req.Share})
		return nil
	})
	return reply, err
}

// shareAt returns the share of the run at a time.
func (r *run) shareAt(at time.Time) share.Percent {
	current := share.Full
	for _, c := range r.shares {
		if c.at.After(at) {
			break
		}
		current = c.share
	}
	return current
}

// meanShare returns the mean share of the run in a span of time.
func (r *run) meanShare(from, to time.Time) float64 {
	if !to.After(from) {
		return float64(r.shareAt(to))
	}
	sum, at, current := 0.0, from, r.shareAt(from)
	for _, c := range r.shares {
		if c.at.After(at) && c.at.Before(to) {
			sum += float64(current) * c.at.Sub(at).Seconds()
			at, current = c.at, c.share
		}
	}
	sum += float64(current) * to.Sub(at).Seconds()
	return sum / to.Sub(from).Seconds()
}

// tail returns the tail of a serving run, if each filling run beside it has the share that shareOf returns.
func (r *run) tail(shareOf func(*run) float64) time.Duration {
	busyness := r.worker.Busyness
	if busyness == 0 {
		busyness = 1
	}
	tail := time.Duration(float64(r.job().BaseTail) * busyness)
	for _, other := range r.worker.runs {
		if other.step().Fills && other != r {
			tail += time.Duration(float64(other.job().Disturbs) * shareOf(other) / float64(share.Full))
		}
	}
	return tail
}

// measured returns the figure of the run in a report, for the last half second.
func (r *run) measured() int {
	if r.step().Latency == 0 {
		return int(r.step().Need.CPU)
	}
	now := time.Now()
	tail := r.tail(func(other *run) float64 {
		from := now.Add(-measuredSpan)
		if other.startedAt.After(from) {
			from = other.startedAt
		}
		return other.meanShare(from, now)
	})
	return int(tail.Milliseconds())
}

// checkTails records a violation for each tail that has exceeded its target for HarmLimit because of what fills beside it.
func (w *Worker) checkTails() {
	now := time.Now()
	for _, r := range w.runs {
		target := r.step().Latency
		if target == 0 {
			continue
		}
		alone := r.tail(func(*run) float64 { return 0 })
		beside := r.tail(func(other *run) float64 { return float64(other.shareAt(now)) })
		switch {
		case alone > target || beside <= target:
			r.harmedSince = time.Time{}
		case r.harmedSince.IsZero():
			r.harmedSince = now
		case now.Sub(r.harmedSince) > HarmLimit && w.fleet.undisturbedFor(HarmLimit):
			w.fleet.addViolation("%v: its tail of %v exceeds its target of %v by what fills beside it on %s, for %v",
				r.attempt.Part, beside, target, w.Entry.WorkerProcess.Worker, now.Sub(r.harmedSince))
			r.harmedSince = now
		}
	}
}

// RunsOn returns the worker on which each part of a job runs.
func (f *Fleet) RunsOn(id ident.Job) map[work.Part]ident.Worker {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.advance()
	found := map[work.Part]ident.Worker{}
	for name, w := range f.workers {
		for part := range w.runs {
			if part.Job == id {
				found[part] = name
			}
		}
	}
	return found
}

// Shares returns the present share of each run of a job.
func (f *Fleet) Shares(id ident.Job) map[work.Part]share.Percent {
	f.mu.Lock()
	defer f.mu.Unlock()
	found := map[work.Part]share.Percent{}
	for _, w := range f.workers {
		for part, r := range w.runs {
			if part.Job == id {
				found[part] = r.shareAt(time.Now())
			}
		}
	}
	return found
}

// SetShare sets the share of all runs of a job at once.
func (f *Fleet) SetShare(id ident.Job, percent share.Percent) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, w := range f.workers {
		for part, r := range w.runs {
			if part.Job == id {
				r.shares = append(r.shares, shareChange{at: time.Now(), share: percent})
			}
		}
	}
}
