package entry

import (
	"context"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/store"
)

const (
	// questionPercent is the percentage of the caller's remaining time that is spent on a question. After that, its caller
	// has time left for another instance.
	questionPercent = 50
	// hedgeDelay is the time without an answer after which a read is sent once more, while the first one goes on.
	hedgeDelay = 400 * time.Millisecond
)

// limitTime returns a context that is limited to a percentage of the remaining time.
func limitTime(ctx context.Context, percent int) (context.Context, context.CancelFunc) {
	deadline, ok := ctx.Deadline()
	if !ok {
		return context.WithCancel(ctx)
	}
	return context.WithTimeout(ctx, time.Until(deadline)*time.Duration(percent)/100)
}

// withoutAnswer returns the error of a question. One that the store did not answer has changed nothing and may be repeated.
func withoutAnswer(err error) error {
	if fault.Is(err, fault.OutcomeUnknown) {
		return fault.Wrap(err, fault.Unavailable, "answer question", "store")
	}
	return err
}

// listing is the result of a read.
type listing struct {
	rows store.Listing
	err  error
}

// reads are the reads of one range that are under way.
type reads struct {
	group   errgroup.Group
	results chan listing
	// arrived holds a value when a part of an answer has arrived.
	arrived chan struct{}
}

// list reads a range. It sends the read again when it has failed or nothing of its answer has arrived for hedgeDelay, until
// one is answered or ctx ends, which is safe because reads have no side effects. It fails at once while the partition is
// closed.
func (j *Jobs) list(ctx context.Context, r store.Range) (store.Listing, error) {
	under := reads{results: make(chan listing), arrived: make(chan struct{}, 1)}
	defer func() { _ = under.group.Wait() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	var failure error
	for {
		if err := j.admit(r.Partition); err != nil {
			return store.Listing{}, err
		}
		under.group.Go(func() error { return j.listOnce(ctx, r, &under) })
		result, ended := under.await(ctx)
		if ended && (result.err == nil || fault.Is(result.err, fault.Invalid)) {
			return result.rows, result.err
		}
		if ended {
			failure = result.err
			clock.Sleep(ctx, retryDelay)
		}
		if ctx.Err() != nil {
			return store.Listing{}, unanswered(ctx, failure)
		}
	}
}

// unanswered returns the error of a read whose ctx ended: the last failure, if there was one.
func unanswered(ctx context.Context, failure error) error {
	if failure != nil {
		return failure
	}
	return fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "read rows", "store")
}

// listOnce reads a range and passes on the result, unless ctx ends.
func (j *Jobs) listOnce(ctx context.Context, r store.Range, under *reads) error {
	arriving := store.WithArrivals(ctx, func() {
		select {
		case under.arrived <- struct{}{}:
		default:
		}
	})
	rows, err := j.config.Store.List(arriving, r)
	select {
	case under.results <- listing{rows, err}:
	case <-ctx.Done():
	}
	return nil
}

// await returns the next result, or false if nothing has arrived for hedgeDelay or ctx ends.
func (u *reads) await(ctx context.Context) (listing, bool) {
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	for {
		select {
		case result := <-u.results:
			return result, true
		case <-u.arrived:
			timer.Reset(hedgeDelay)
		case <-timer.C:
			return listing{}, false
		case <-ctx.Done():
			return listing{}, false
		}
	}
}
