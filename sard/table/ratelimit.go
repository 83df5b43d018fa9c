package table

import (
	"context"
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/sardineline/sardineline/sard/fault"
)

// backgroundShare is the fraction of the permitted rate that calls with BackgroundPriority may use.
const backgroundShare = 0.5

// rateLimit limits the rate of calls by priority. Lease calls never wait but count against the limit. Background calls
// leave half of the rate to the calls that record decisions.
type rateLimit struct {
	all        *rate.Limiter
	background *rate.Limiter
}

// newRateLimit returns a rate limit with a burst of one second.
func newRateLimit(perSecond float64) *rateLimit {
	return &rateLimit{
		all:        rate.NewLimiter(rate.Limit(perSecond), burstSize(perSecond)),
		background: rate.NewLimiter(rate.Limit(perSecond*backgroundShare), burstSize(perSecond*backgroundShare)),
	}
}

// burstSize returns the number of calls within one second, at least 1.
func burstSize(perSecond float64) int {
	return max(1, int(math.Ceil(perSecond)))
}

// wait blocks until the rate allows n items. If that would be after the deadline of ctx, it fails at once with Throttled.
func (p *rateLimit) wait(ctx context.Context, priority Priority, n int) error {
	if priority == LeasePriority {
		p.all.ReserveN(time.Now(), min(n, p.all.Burst()))
		return nil
	}
	if priority == BackgroundPriority {
		if err := waitN(ctx, p.background, n); err != nil {
			return err
		}
	}
	return waitN(ctx, p.all, n)
}

// waitN waits until a limiter allows n items, or as many as its burst size if n is larger.
func waitN(ctx context.Context, limiter *rate.Limiter, n int) error {
	if err := limiter.WaitN(ctx, min(n, limiter.Burst())); err != nil {
		return fault.Wrap(err, fault.Throttled, "wait for table rate", "")
	}
	return nil
}
