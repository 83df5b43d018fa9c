package fleet

import (
	"context"
	"time"
)

// Watch polls the list until ctx ends and gives each new snapshot to fn. During an outage nothing is given, so
// that the last good snapshot stays in use. A list with a lower sequence is left out as stale, unless it stays:
// then the list has been made anew.
func (c *Client) Watch(ctx context.Context, fn func(Snapshot)) error {
	w := watcher{client: c, give: fn}
	for {
		w.poll(ctx)
		timer := time.NewTimer(c.wait())
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
	client *Client
	give   func(Snapshot)
	tag    string
	last   uint64
	// lower counts the polls in a row that showed a lower sequence.
	lower int
	down  bool
}

func (w *watcher) poll(ctx context.Context) {
	s, tag, err := w.client.get(ctx, w.tag)
	w.observe(ctx, err)
	if err != nil || tag != "" && tag == w.tag {
		return
	}
	if s.Sequence < w.last {
		if w.lower++; w.lower < restartPolls {
			return
		}
	}
	w.lower = 0
	w.tag = tag
	if s.Sequence == w.last {
		return
	}
	w.last = s.Sequence
	w.client.sequence.Set(float64(s.Sequence))
	w.give(s)
}

func (w *watcher) observe(ctx context.Context, err error) {
	if ctx.Err() != nil {
		return
	}
	if err != nil {
		w.client.polls.WithLabelValues("Failed").Inc()
		if !w.down {
			w.client.config.Logger.Warn("fleet list can't be read, the last one stays in use", "Sequence", w.last, "Error", err)
		}
		w.down = true
		return
	}
	w.client.polls.WithLabelValues("OK").Inc()
	if w.down {
		w.client.config.Logger.Info("fleet list can be read again", "Sequence", w.last)
	}
	w.down = false
}
