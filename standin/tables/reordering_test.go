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

// overtaker lets the first copy of a transaction arrive after its second one was refused, just before the third call.
type overtaker struct {
	service http.Handler
	between func()
	calls   atomic.Int32
	release chan struct{}
	applied chan struct{}
}

func (o *overtaker) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, _ := io.ReadAll(r.Body)
	r.Body = io.NopCloser(bytes.NewReader(body))
	switch o.calls.Add(1) {
	case 1:
		<-o.release
		o.service.ServeHTTP(w, r)
		close(o.applied)
		return
	case 3:
		o.between()
		close(o.release)
		<-o.applied
	}
	o.service.ServeHTTP(w, r)
}

// A transaction that took effect after its second copy was refused is told as a success.
func TestCopyTakesEffectBeforeItIsRevoked(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r, other := start(t)
		o := &overtaker{service: r.service, release: make(chan struct{}), applied: make(chan struct{})}
		o.between = func() { assert.NilError(t, apply(t, other, put("a", "other", table.Absent{}))) }
		server, err := r.network.Serve("slow:1", o)
		assert.NilError(t, err)
		c, err := table.New(table.Config{Endpoint: "http://slow:1", Dial: r.network.DialContext})
		assert.NilError(t, err)
		assert.NilError(t, apply(t, c, put("a", "mine", table.AtEpoch{})))
		assert.Equal(t, len(r.service.Writes()), 2)
		assert.Equal(t, o.calls.Load(), int32(3))
		c.Close()
		assert.NilError(t, server.Close())
		time.Sleep(time.Minute)
	})
}
