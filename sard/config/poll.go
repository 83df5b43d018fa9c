package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
)

const (
	// pollReadsPerSecond is what all instances together read of the head.
	pollReadsPerSecond = 50
	minPollInterval    = 1500 * time.Millisecond
	pollTimeout        = 2 * time.Second
	// jitterShare spreads periodic work by this share of its interval to either side.
	jitterShare = 0.2
)

// pollInterval returns the time between two reads of the head by one of n instances.
func pollInterval(n int) time.Duration {
	return max(minPollInterval, time.Duration(n)*time.Second/pollReadsPerSecond)
}

func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterShare + 2*jitterShare*rand.Float64()))
}

func (a *Agent) pollLoop(ctx context.Context) error {
	a.poll(ctx)
	return every(ctx, func() time.Duration { return pollInterval(a.membership().Listed) }, a.poll)
}

// every calls f after each jittered interval until ctx ends. It returns nil then.
func every(ctx context.Context, interval func() time.Duration, f func(context.Context)) error {
	timer := time.NewTimer(jitter(interval()))
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		f(ctx)
		timer.Reset(jitter(interval()))
	}
}

// poll reads the head and learns or confirms its version.
func (a *Agent) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	start := time.Now()
	held := a.Current().Version
	head, _, err := a.readHead(ctx)
	a.count(func(c *Counts) { c.HeadReads++ })
	if err != nil {
		a.log.Debug("head not read", "error", err)
		return
	}
	if err := a.checkHead(head, held); err != nil {
		return
	}
	a.learn(Report{Version: head.Version, Digest: head.Digest, Confirmed: true}, "", start)
	a.noteBreaches(ctx)
}

// checkHead holds the table to the promise: a strongly consistent read sees every version that was in force before.
func (a *Agent) checkHead(head Head, held ident.Version) error {
	if err := a.checkDigest(head.Version, head.Digest, "table"); err != nil {
		return err
	}
	if head.Version >= held {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.breach(fmt.Sprintf("the table went back to version %d from %d", head.Version, held))
}

// readHead reads the head and the revision of its item; both are zero when no document was accepted yet.
func (a *Agent) readHead(ctx context.Context) (Head, uint64, error) {
	item, err := a.cfg.Store.Get(ctx, table.DecisionPriority, headKey)
	if fault.Is(err, fault.NotFound) {
		return Head{}, 0, nil
	}
	if err != nil {
		return Head{}, 0, fault.Wrap(err, fault.KindOf(err), "read head", "table")
	}
	head, err := decode[Head](item.Body, "table")
	return head, item.Revision, err
}

// readRecord reads an accepted version from the table.
func (a *Agent) readRecord(ctx context.Context, version ident.Version) (Record, error) {
	item, err := a.cfg.Store.Get(ctx, table.DecisionPriority, versionKey(version))
	a.count(func(c *Counts) { c.RecordReads++ })
	if err != nil {
		return Record{}, fault.Wrap(err, fault.KindOf(err), fmt.Sprintf("read version %d", version), "table")
	}
	return decode[Record](item.Body, "table")
}
