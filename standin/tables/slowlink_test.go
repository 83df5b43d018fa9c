package tables_test

import (
	"context"
	"fmt"
	"net"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	is "gotest.tools/v3/assert/cmp"

	"github.com/sardineline/sardineline/sard/table"
)

// slowConn is a connection of which a part arrives every readPause.
type slowConn struct{ net.Conn }

const (
	// readPause is the time between the parts that arrive, and readBytes how much arrives at a time.
	readPause = 100 * time.Millisecond
	readBytes = 4 << 10
)

// Read reads the next part.
func (c slowConn) Read(b []byte) (int, error) {
	time.Sleep(readPause)
	return c.Conn.Read(b[:min(len(b), readBytes)])
}

// slowClient returns a client of a table service over slow connections.
func slowClient(t *testing.T, h *harness) *table.Client {
	t.Helper()
	c, err := table.New(table.Config{
		Endpoint: "http://" + address,
		Dial: func(ctx context.Context, network, address string) (net.Conn, error) {
			conn, err := h.network.DialContext(ctx, network, address)
			return slowConn{conn}, err
		},
	})
	assert.NilError(t, err)
	t.Cleanup(func() {
		c.Close()
		// The connections finish their reads.
		time.Sleep(2 * readPause)
	})
	return c
}

// TestLargeItemOverSlowLink guards against items that are never read, because they take longer to arrive than the service may
// be silent.
func TestLargeItemOverSlowLink(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h, c := startService(t)
		body := string(make([]byte, 100_000))
		assert.NilError(t, apply(t, c, put("a", body, table.Absent{})))
		item, err := slowClient(t, h).Get(t.Context(), table.DecisionPriority, table.Key{Partition: "p", Sort: "a"})
		assert.NilError(t, err)
		assert.Check(t, is.Len(item.Body, len(body)))
	})
}

// TestManyPagesOverSlowLink guards against partitions that are never listed, because their pages together take longer than one
// call may.
func TestManyPagesOverSlowLink(t *testing.T) {
	const pages = 80
	synctest.Test(t, func(t *testing.T) {
		h, c := startService(t)
		for i := range pages {
			assert.NilError(t, apply(t, c, put(fmt.Sprintf("%03d", i), string(make([]byte, 100)), table.Absent{})))
		}
		items, err := slowClient(t, h).List(t.Context(), table.BackgroundPriority, "p", "")
		assert.NilError(t, err)
		assert.Check(t, is.Len(items, pages))
	})
}
