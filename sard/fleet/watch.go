package fleet

import (
	"context"
	"time"
)

// Watch polls the list until ctx ends and calls fn with each new snapshot. During an outage fn is not called, so that
// the last snapshot stays in use. A snapshot with a lower sequence is ignored as stale, unless several polls in a row
// return one: then the list was recreated.
func (c *Client) Watch(ctx context.Context, fn func(Snapshot)) error {
	w := watcher{client: c, onSnapshot: fn}
	for {
		w.poll(ctx)
		timer := time.NewTimer(c.nextPollDelay())
		select {
		case <-timer.C:
		case <-ctx.Done():
			timer.Stop()
			return ctx.Err()
		}
	}
}

// watcher is the state of one Watch.
type watcher struct {
	client       *Client
	onSnapshot   func(Snapshot)
	etag         string
	lastSequence uint64
	// lowerSequencePolls counts the polls in a row that returned a lower sequence.
	lowerSequencePolls int
	// failing is set while polls fail, so that only the first failure is logged.
	failing bool
}

// poll reads the list once and calls onSnapshot if it is new.
func (w *watcher) poll(ctx context.Context) {
	snapshot, etag, err := w.client.fetch(ctx, w.etag)
	w.recordPoll(ctx, err)
	if err != nil || etag != "" && etag == w.etag {
		return
	}
	if snapshot.Sequence < w.lastSequence {
		if w.lowerSequencePolls++; w.lowerSequencePolls < pollsBeforeSequenceReset {
			return
		}
	}
	w.lowerSequencePolls = 0
	w.etag = etag
	if snapshot.Sequence == w.lastSequence {
		return
	}
	w.lastSequence = snapshot.Sequence
	w.client.sequence.Set(float64(snapshot.Sequence))
	w.onSnapshot(snapshot)
}

// recordPoll counts a poll, and logs when polls start to fail and when they succeed again. It ignores polls that end
// after ctx.
func (w *watcher) recordPoll(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		w.client.polls.WithLabelValues("Failed").Inc()
		if !w.failing {
			w.client.config.Logger.Warn("fleet list can't be read, keeping the last snapshot", "Sequence", w.lastSequence, "Error", err)
		}
		w.failing = true
		return
	}
	w.client.polls.WithLabelValues("OK").Inc()
	if w.failing {
		w.client.config.Logger.Info("fleet list can be read again", "Sequence", w.lastSequence)
	}
	w.failing = false
}
