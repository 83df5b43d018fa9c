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

// Constants of the probes, which are calls that show whether an instance uses the current configuration.
const (
	// probeInterval is the time between two probes.
	probeInterval = 150 * time.Millisecond
	// rollbackSlack is the time after an instance first served a version in which it may still serve calls by an older
	// one.
	rollbackSlack = 250 * time.Millisecond
	// unknownJob is an id that no job has.
	unknownJob = "0000000000000000"
)

// knownQueue is the newest added queue that a process has been observed to know, and when.
type knownQueue struct {
	queue int
	at    time.Time
}

// probe checks at random instances that added queues are known and revoked keys are refused, until ctx ends.
func (h *harness) probe(ctx context.Context, rng *rand.Rand) error {
	seen := map[*procs.Process]knownQueue{}
	for clock.Sleep(ctx, probeInterval) {
		i := h.randomInstance(rng)
		h.probeQueue(i, seen)
		h.probeRevokedKey(i)
	}
	return nil
}

// probeQueue checks that an instance knows the newest added queue in time and does not forget it.
func (h *harness) probeQueue(i *instance, seen map[*procs.Process]knownQueue) {
	n, due := h.operator.newestQueue()
	if n < 0 {
		return
	}
	process, sent := i.currentProcess(), time.Now()
	last, knew := seen[process]
	key := h.operator.oldestKey(0)
	reply, err := h.queryUnknownJob(i, addedQueuePrefix(n), key)
	if err != nil || h.operator.oldestKey(0) != key {
		return
	}
	switch reply.Status {
	case http.StatusGone:
		if !knew || n > last.queue {
			seen[process] = knownQueue{queue: n, at: time.Now()}
		}
	case http.StatusNotFound:
		if knew && n <= last.queue && sent.Sub(last.at) > rollbackSlack {
			h.reportViolation("instance %s: queue %d was known %v ago and is unknown now", i.name, n, sent.Sub(last.at))
		}
		if due && h.timingHolds(0) {
			h.reportViolation("instance %s: queue %d is still unknown after the time allowed", i.name, n)
		}
	case http.StatusUnauthorized:
		if h.timingHolds(maxConfigDelay) {
			h.reportViolation("instance %s: a valid key was refused", i.name)
		}
	}
}

// probeRevokedKey checks that an instance refuses a revoked key.
func (h *harness) probeRevokedKey(i *instance) {
	key := h.operator.revokedKey()
	if key == "" {
		return
	}
	reply, err := h.queryUnknownJob(i, queuePrefix(0), key)
	if err == nil && reply.Status < http.StatusInternalServerError && reply.Status != http.StatusUnauthorized {
		h.reportViolation("instance %s: a call with a revoked key got status %d", i.name, reply.Status)
	}
}

// queryUnknownJob queries the state of a job that does not exist. The status of the reply shows whether the queue and the
// key are known.
func (h *harness) queryUnknownJob(i *instance, prefix, key string) (front.Reply, error) {
	return i.checkedCall(func(ctx context.Context) (front.Reply, error) {
		return h.frontClient.State(ctx, front.Target{Address: i.clientAddress(), Host: host, Prefix: prefix, APIKey: key}, unknownJob)
	})
}
