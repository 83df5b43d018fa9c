package logs

import (
	"bytes"
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// stuck is a reader that takes nothing until it is let go.
type stuck struct {
	letGo chan struct{}
	bytes.Buffer
}

func (s *stuck) Write(p []byte) (int, error) {
	<-s.letGo
	return s.Buffer.Write(p)
}

func TestStuckReaderCostsLinesOnly(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		out := &stuck{letGo: make(chan struct{})}
		w := NewWriter(out)
		ctx, stop := context.WithCancel(t.Context())
		var group errgroup.Group
		group.Go(func() error { return w.Run(ctx) })
		start := time.Now()
		for range 3 * bufferLines {
			_, err := w.Write([]byte("line\n"))
			assert.NilError(t, err)
		}
		assert.Equal(t, time.Since(start), time.Duration(0), "a stuck reader must not make the writer wait")
		assert.Assert(t, w.Dropped() >= 2*bufferLines-1)
		close(out.letGo)
		w.Flush()
		stop()
		assert.NilError(t, group.Wait())
		assert.Assert(t, strings.Contains(out.String(), "log lines dropped"))
	})
}
