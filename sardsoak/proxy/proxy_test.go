package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"

	"golang.org/x/sync/errgroup"
	"gotest.tools/v3/assert"
)

// echoServer sends back what it is sent.
func echoServer(t *testing.T, group *errgroup.Group) string {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = listener.Close() })
	group.Go(func() error {
		for {
			conn, err := listener.Accept()
			if errors.Is(err, net.ErrClosed) {
				return nil
			}
			if err != nil {
				return err
			}
			group.Go(func() error {
				_, _ = io.Copy(conn, conn)
				return conn.Close()
			})
		}
	})
	return listener.Addr().String()
}

func dial(t *testing.T, l *Link) net.Conn {
	conn, err := net.Dial("tcp", l.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// echoes tells whether a byte comes back within a while.
func echoes(t *testing.T, conn net.Conn, within time.Duration) bool {
	_, err := conn.Write([]byte{1})
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(within)))
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, err == nil || errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	return err == nil
}

const (
	// enough is far longer than an echo takes; short is waited for what must not come.
	enough = 10 * time.Second
	short  = 100 * time.Millisecond
)

func open(t *testing.T) *Link {
	ctx, cancel := context.WithCancel(context.Background())
	var group errgroup.Group
	t.Cleanup(func() {
		cancel()
		assert.NilError(t, group.Wait())
	})
	l, err := New(ctx, &group, echoServer(t, &group))
	assert.NilError(t, err)
	return l
}

func TestSilenceInOneDirection(t *testing.T) {
	tests := []struct {
		name    string
		trouble Faults
	}{
		{"there", Faults{HoldUpstream: true}},
		{"back", Faults{HoldDownstream: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := open(t)
			conn := dial(t, l)
			assert.Assert(t, echoes(t, conn, enough))
			l.SetFaults(test.trouble)
			assert.Assert(t, !echoes(t, conn, short))
			l.SetFaults(Faults{})
			assert.Assert(t, echoes(t, conn, enough), "what was held back is delivered")
		})
	}
}

func TestMuteConnectionsStaySilent(t *testing.T) {
	l := open(t)
	conn := dial(t, l)
	assert.Assert(t, echoes(t, conn, enough))
	l.BlackholeConns()
	assert.Assert(t, !echoes(t, conn, short))
	l.SetFaults(Faults{})
	assert.Assert(t, !echoes(t, conn, short))
	assert.Assert(t, echoes(t, dial(t, l), enough))
}

func TestResetAndRefusal(t *testing.T) {
	l := open(t)
	conn := dial(t, l)
	assert.Assert(t, echoes(t, conn, enough))
	l.ResetConns()
	_, err := conn.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	l.SetFaults(Faults{Refuse: true})
	// The reset may be seen while the connection is opened or afterwards.
	refused, err := net.Dial("tcp", l.Address())
	if err == nil {
		_, err = refused.Read(make([]byte, 1))
	}
	assert.ErrorContains(t, err, "reset by peer")
}
