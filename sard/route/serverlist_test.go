package route_test

import (
	"io"
	"net/http"
	"testing"
	"testing/synctest"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/route"
)

// TestSetServersDuringRequests updates the server list while requests are forwarded, for the race detector.
func TestSetServersDuringRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cluster := newTestCluster(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "priced") })
		r := cluster.newRouter(route.Config{Instance: "a"})
		waitForJoin()
		var group errgroup.Group
		group.Go(func() error {
			for range 200 {
				r.SetServers(cluster.servers)
			}
			return nil
		})
		for range 200 {
			result, _ := post(r, "/price", "", "x")
			assert.Check(t, result.Outcome() == ident.Answered)
		}
		assert.NilError(t, group.Wait())
		cluster.stop(t, r)
	})
}
