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

// list reads a range. It sends the read again when it has failed or has gone unanswered for hedgeDelay, until one is
// answered or ctx ends, which is safe because reads have no side effects. It fails at once while the partition is closed.
func (j *Jobs) list(ctx context.Context, r store.Range) (store.Listing, error) {
	var reads errgroup.Group
	defer func() { _ = reads.Wait() }()
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	results := make(chan listing)
	var failure error
	for {
		if err := j.admit(r.Partition); err != nil {
			return store.Listing{}, err
		}
		reads.Go(func() error { return j.listOnce(ctx, r, results) })
		result, ended := awaitListing(ctx, results)
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
func (j *Jobs) listOnce(ctx context.Context, r store.Range, results chan<- listing) error {
	callCtx, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()
	rows, err := j.config.Store.List(callCtx, r)
	select {
	case results <- listing{rows, err}:
	case <-ctx.Done():
	}
	return nil
}

// awaitListing returns the next result, or false if there is none within hedgeDelay or ctx ends.
func awaitListing(ctx context.Context, results <-chan listing) (listing, bool) {
	timer := time.NewTimer(hedgeDelay)
	defer timer.Stop()
	select {
	case result := <-results:
		return result, true
	case <-timer.C:
	case <-ctx.Done():
	}
	return listing{}, false
}
