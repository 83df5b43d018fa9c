package config

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
)

const (
	// maxHeadReadsPerSecond bounds the rate at which all instances together read the head of the table.
	maxHeadReadsPerSecond = 50
	// minPollInterval is the poll interval in small environments, which stay below maxHeadReadsPerSecond with it.
	minPollInterval = 1500 * time.Millisecond
	// pollTimeout bounds one read of the head of the table.
	pollTimeout = 2 * time.Second
	// maxPendingPolls bounds the polls of one instance that are pending at the same time.
	maxPendingPolls = 2
	// jitterFraction is the maximum deviation of a jittered interval, as a fraction of the interval.
	jitterFraction = 0.2
)

// pollInterval returns the mean interval at which each of n instances reads the head of the table.
func pollInterval(n int) time.Duration {
	return max(minPollInterval, time.Duration(n)*time.Second/maxHeadReadsPerSecond)
}

// jitter returns d, randomly lengthened or shortened by up to jitterFraction.
func jitter(d time.Duration) time.Duration {
	return time.Duration(float64(d) * (1 - jitterFraction + 2*jitterFraction*rand.Float64()))
}

// pollLoop polls the head of the table at once and then periodically until ctx is done. A poll that is still pending does
// not delay the next one, since its request may have been lost.
func (a *Agent) pollLoop(ctx context.Context) error {
	var group errgroup.Group
	group.SetLimit(maxPendingPolls)
	start := func(ctx context.Context) {
		group.TryGo(func() error {
			a.poll(ctx)
			return nil
		})
	}
	start(ctx)
	if err := runPeriodically(ctx, func() time.Duration { return pollInterval(a.membership().Listed) }, start); err != nil {
		return err
	}
	return group.Wait()
}

// runPeriodically calls f after each jittered interval until ctx is done, and then returns nil.
func runPeriodically(ctx context.Context, interval func() time.Duration, f func(context.Context)) error {
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

// poll reads the head of the table once. If the head names a later version than the one in force, poll wakes fetchLoop;
// otherwise the read confirms the version in force. After a successful read it also stores the violation record of this
// instance, if one is due.
func (a *Agent) poll(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, pollTimeout)
	defer cancel()
	start := time.Now()
	previousVersion := a.Current().Version
	head, _, err := a.readHead(ctx)
	a.updateCounts(func(c *Counts) { c.HeadReads++ })
	if err != nil {
		a.logger.Debug("head not read", "error", err)
		return
	}
	if err := a.checkHead(head, previousVersion); err != nil {
		return
	}
	a.applyReport(Report{Version: head.Version, Digest: head.Digest, Confirmed: true}, "", start)
	a.storeViolations(ctx)
}

// checkHead checks the head of the table after a read: the read is strongly consistent, so its version must not be
// earlier than previousVersion, which was in force here before the read. Otherwise InvariantNoRevert is violated.
func (a *Agent) checkHead(head Head, previousVersion ident.Version) error {
	if err := a.checkDigest(head.Version, head.Digest, "table"); err != nil {
		return err
	}
	if head.Version >= previousVersion {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.violationError(fmt.Sprintf("the table holds version %d, but version %d was in force before", head.Version, previousVersion))
}

// readHead reads the head of the table and the revision of its item. Both are zero if no document has been accepted
// yet.
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

// readRecord reads the record of an accepted version from the table.
func (a *Agent) readRecord(ctx context.Context, version ident.Version) (Record, error) {
	item, err := a.cfg.Store.Get(ctx, table.DecisionPriority, versionKey(version))
	a.updateCounts(func(c *Counts) { c.RecordReads++ })
	if err != nil {
		return Record{}, fault.Wrap(err, fault.KindOf(err), fmt.Sprintf("read version %d", version), "table")
	}
	return decode[Record](item.Body, "table")
}
