package tables_test

import (
	"bytes"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/sardineline/sardineline/sard/table"
)

// reorderingHandler delays the first call until the third one arrives. If the first call is a transaction, its first
// copy is applied after its second copy was refused and before the third call, with which the client revokes the first
// copy.
type reorderingHandler struct {
	service         http.Handler
	beforeThirdCall func()
	calls           atomic.Int32
	release         chan struct{}
	applied         chan struct{}
}

// ServeHTTP passes the calls to the service in the changed order.
func (h *reorderingHandler) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	switch h.calls.Add(1) {
	case 1:
		<-h.release
		h.service.ServeHTTP(w, r)
		close(h.applied)
		return
	case 3:
		h.beforeThirdCall()
		close(h.release)
		<-h.applied
	}
	h.service.ServeHTTP(w, r)
}

// The client must report success for a transaction whose delayed first copy is applied after its second copy was refused.
func TestCopyTakesEffectBeforeItIsRevoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, other := startService(t)
		reordering := &reorderingHandler{service: h.service, release: make(chan struct{}), applied: make(chan struct{})}
		reordering.beforeThirdCall = func() { assert.NilError(t, apply(t, other, put("a", "other", table.Absent{}))) }
		server, err := h.network.Serve("slow:1", reordering)
		assert.NilError(t, err)
		c, err := table.New(table.Config{Endpoint: "http://slow:1", Dial: h.network.DialContext})
		assert.NilError(t, err)
		assert.NilError(t, apply(t, c, put("a", "mine", table.AtEpoch{})))
		assert.Equal(t, len(h.service.Writes()), 2)
		assert.Equal(t, reordering.calls.Load(), int32(3))
		c.Close()
		assert.NilError(t, server.Close())
		time.Sleep(time.Minute)
	})
}
