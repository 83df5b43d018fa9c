package table

import (
	"context"
	"math"
	"time"

	"golang.org/x/time/rate"

	"github.com/sardineline/sardineline/sard/fault"
)

// backgroundShare is the share of the rate that background calls can use.
const backgroundShare = 0.5

// pace caps a rate by priority: lease calls never wait, and background calls leave half of the rate to decisions.
type pace struct {
	all        *rate.Limiter
	background *rate.Limiter
}

func newPace(perSecond float64) *pace {
	return &pace{
		all:        rate.NewLimiter(rate.Limit(perSecond), burstOf(perSecond)),
		background: rate.NewLimiter(rate.Limit(perSecond*backgroundShare), burstOf(perSecond*backgroundShare)),
	}
}

func burstOf(perSecond float64) int {
	return max(1, int(math.Ceil(perSecond)))
}

// wait waits until n items fit the rate. It fails at once with Throttled when ctx ends before that.
func (p *pace) wait(ctx context.Context, priority Priority, n int) error {
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

func waitN(ctx context.Context, limiter *rate.Limiter, n int) error {
	if err := limiter.WaitN(ctx, min(n, limiter.Burst())); err != nil {
		return fault.Wrap(err, fault.Throttled, "wait for table rate", "")
	}
	return nil
}
