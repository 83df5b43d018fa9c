package peer_test

import (
	"context"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/peer"
	"github.com/sardineline/sardineline/sard/store"
)

// TestUnansweredCallEndsBesideOtherReplies guards against calls that last for as long as replies to other calls arrive from the
// peer, though nothing of their own reply does.
func TestUnansweredCallEndsBesideOtherReplies(t *testing.T) {
	client, addr, h := startServer(t, "", "")
	defer close(h.release)
	_, err := client.Call(t.Context(), addr, peer.Get{Job: "warm"})
	assert.NilError(t, err)
	ended := make(chan error, 1)
	var group errgroup.Group
	group.Go(func() error {
		ctx, cancel := store.WithSilenceLimit(t.Context(), 300*time.Millisecond)
		defer cancel()
		_, err := client.Call(ctx, addr, peer.Get{Job: "slow"})
		ended <- err
		return nil
	})
	for range 30 {
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		_, err := client.Call(ctx, addr, peer.Get{Job: "other"})
		cancel()
		assert.NilError(t, err)
		select {
		case err := <-ended:
			assert.Assert(t, err != nil)
			return
		case <-time.After(100 * time.Millisecond):
		}
	}
	t.Error("the call still waits after 3 s, ten times its limit")
}
