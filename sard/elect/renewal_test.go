package elect

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/hashicorp/go-hclog"
	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/clock"
	"github.com/sardineline/sardineline/sard/store"
)

// slowStore is a store whose transactions take a while.
type slowStore struct {
	store.Store
	delay time.Duration
}

// Apply runs a transaction after the delay.
func (s slowStore) Apply(ctx context.Context, tx store.Tx) (store.Result, error) {
	if !clock.Sleep(ctx, s.delay) {
		return store.Result{}, ctx.Err()
	}
	return s.Store.Apply(ctx, tx)
}

// TestHolderKeepsLeaseOverOneRenewalWithoutAnswer guards against holders that lose the lease because one renewal has no answer.
func TestHolderKeepsLeaseOverOneRenewalWithoutAnswer(t *testing.T) {
	const slowAnswer = 50 * time.Millisecond
	next := DefaultTerm/renewalsPerTerm + callTimeout + retryInterval + slowAnswer
	assert.Assert(t, next < DefaultTerm)
}

// TestSlowStoreHasHolder guards against pools that nobody schedules, because each transaction of the store takes long.
func TestSlowStoreHasHolder(t *testing.T) {
	for _, delay := range []time.Duration{240, 400, 500, 650} {
		delay *= time.Millisecond
		synctest.Test(t, func(t *testing.T) {
			ctx, stop := context.WithCancel(t.Context())
			c := New(Config{Store: slowStore{&store.Memory{}, delay}, Instance: "a", ProcessID: "1", Logger: hclog.NewNullLogger()})
			var group errgroup.Group
			looks, held := 0, 0
			group.Go(func() error {
				return c.Run(ctx, func(ctx context.Context, l *Lease) error {
					for clock.Sleep(ctx, 10*time.Millisecond) {
						looks++
						if l.Check() == nil {
							held++
						}
					}
					return nil
				})
			})
			time.Sleep(20 * time.Second)
			stop()
			assert.NilError(t, group.Wait())
			assert.Check(t, looks > 1000 && held*3 >= looks, "transactions take %v: may act in %d of %d looks", delay, held, looks)
		})
	}
}
