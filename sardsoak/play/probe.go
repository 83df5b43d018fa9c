package play

import (
	"context"
	"math/rand/v2"
	"net/http"
	"time"

	"github.com/sardineline/sardineline/platform/front"
	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sardsoak/procs"
)

const (
	// probePause lies between two probes.
	probePause = 150 * time.Millisecond
	// rollbackSlack is how long after a version was seen at an instance calls may still be served by an older one.
	rollbackSlack = 250 * time.Millisecond
	// nobody is the id of no job.
	nobody = "0000000000000000"
)

// served is the newest added queue that a process was seen to know.
type served struct {
	queue int
	at    time.Time
}

// probe asks instances for what the configuration in force allows and forbids, until ctx ends.
func (w *world) probe(ctx context.Context, draw *rand.Rand) error {
	seen := map[*procs.Process]served{}
	for clock.Sleep(ctx, probePause) {
		i := w.some(draw)
		w.probeQueue(i, seen)
		w.probeDeadKey(i)
	}
	return nil
}

// probeQueue asks for the newest added queue: it must be known in time, and stay so.
func (w *world) probeQueue(i *instance, seen map[*procs.Process]served) {
	n, due := w.operator.newestQueue()
	if n < 0 {
		return
	}
	process, sent := i.current(), time.Now()
	last, knew := seen[process]
	key := w.operator.key(0)
	reply, err := w.ask(i, extraPrefix(n), key)
	if err != nil || w.operator.key(0) != key {
		return
	}
	switch reply.Status {
	case http.StatusGone:
		if !knew || n > last.queue {
			seen[process] = served{queue: n, at: time.Now()}
		}
	case http.StatusNotFound:
		if knew && n <= last.queue && sent.Sub(last.at) > rollbackSlack {
			w.breached("instance %s: queue %d was known %v ago and is not any more", i.name, n, sent.Sub(last.at))
		}
		if due && w.calm(0) {
			w.breached("instance %s: queue %d is not known in time", i.name, n)
		}
	case http.StatusUnauthorized:
		if w.calm(configTime) {
			w.breached("instance %s: a key in force is refused", i.name)
		}
	}
}

// probeDeadKey tries a key that was taken away.
func (w *world) probeDeadKey(i *instance) {
	key := w.operator.deadKey()
	if key == "" {
		return
	}
	reply, err := w.ask(i, queuePrefix(0), key)
	if err == nil && reply.Status < http.StatusInternalServerError && reply.Status != http.StatusUnauthorized {
		w.breached("instance %s: a call with a key that was taken away got %d", i.name, reply.Status)
	}
}

func (w *world) ask(i *instance, prefix, key string) (front.Reply, error) {
	return i.observe(func(ctx context.Context) (front.Reply, error) {
		return w.client.State(ctx, front.Target{Address: i.front(), Host: host, Prefix: prefix, APIKey: key}, nobody)
	})
}
