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

// TestListComesWhileRequestsRun takes the platform's list while requests are forwarded. The race detector judges.
func TestListComesWhileRequestsRun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		site := newSite(t, func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, "priced") })
		r := site.instance(route.Config{Instance: "a"})
		joined()
		var group errgroup.Group
		group.Go(func() error {
			for range 200 {
				r.SetServers(site.servers)
			}
			return nil
		})
		for range 200 {
			result, _ := post(r, "/price", "", "x")
			assert.Check(t, result.Outcome() == ident.Answered)
		}
		assert.NilError(t, group.Wait())
		site.stop(t, r)
	})
}
