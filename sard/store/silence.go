package store

import (
	"context"
	"time"
)

// WithSilenceLimit returns a context for a single call, which ends with the cause context.DeadlineExceeded when no part of
// the answer arrives for limit. An answer that is arriving may take longer. The context must be cancelled after the call.
func WithSilenceLimit(ctx context.Context, limit time.Duration) (context.Context, context.CancelFunc) {
	ctx, cancel := context.WithCancelCause(ctx)
	timer := time.AfterFunc(limit, func() { cancel(context.DeadlineExceeded) })
	cancelCall := func() {
		timer.Stop()
		cancel(nil)
	}
	return WithArrivals(ctx, func() { timer.Reset(limit) }), cancelCall
}
