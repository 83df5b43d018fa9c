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

// echoServer starts a TCP server that sends back all data, and returns its address.
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

// dial opens a connection to a link.
func dial(t *testing.T, l *Link) net.Conn {
	conn, err := net.Dial("tcp", l.Address())
	assert.NilError(t, err)
	t.Cleanup(func() { _ = conn.Close() })
	return conn
}

// receivesEcho sends a byte on a connection and reports whether the byte comes back within the given time.
func receivesEcho(t *testing.T, conn net.Conn, within time.Duration) bool {
	_, err := conn.Write([]byte{1})
	assert.NilError(t, err)
	assert.NilError(t, conn.SetReadDeadline(time.Now().Add(within)))
	_, err = conn.Read(make([]byte, 1))
	assert.Assert(t, err == nil || errors.Is(err, os.ErrDeadlineExceeded), "%v", err)
	return err == nil
}

// Time limits for the return of a byte from the echo server.
const (
	// echoTimeout is far longer than an echo takes. silenceTimeout is how long a test waits for an echo that must not
	// come.
	echoTimeout    = 10 * time.Second
	silenceTimeout = 100 * time.Millisecond
)

// openLink opens a link to an echo server.
func openLink(t *testing.T) *Link {
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

// TestHeldDirectionIsDeliveredLater checks that data held back in one direction is delivered when the fault ends.
func TestHeldDirectionIsDeliveredLater(t *testing.T) {
	tests := []struct {
		name   string
		faults Faults
	}{
		{"upstream", Faults{HoldUpstream: true}},
		{"downstream", Faults{HoldDownstream: true}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			l := openLink(t)
			conn := dial(t, l)
			assert.Assert(t, receivesEcho(t, conn, echoTimeout))
			l.SetFaults(test.faults)
			assert.Assert(t, !receivesEcho(t, conn, silenceTimeout))
			l.SetFaults(Faults{})
			assert.Assert(t, receivesEcho(t, conn, echoTimeout), "held data must be delivered")
		})
	}
}

// TestBlackholedConnectionsStaySilent checks that clearing the faults does not revive blackholed connections, and that
// new connections work.
func TestBlackholedConnectionsStaySilent(t *testing.T) {
	l := openLink(t)
	conn := dial(t, l)
	assert.Assert(t, receivesEcho(t, conn, echoTimeout))
	l.BlackholeConns()
	assert.Assert(t, !receivesEcho(t, conn, silenceTimeout))
	l.SetFaults(Faults{})
	assert.Assert(t, !receivesEcho(t, conn, silenceTimeout))
	assert.Assert(t, receivesEcho(t, dial(t, l), echoTimeout))
}

// TestResetAndRefuse checks that clients see a reset of open connections and of refused ones.
func TestResetAndRefuse(t *testing.T) {
	l := openLink(t)
	conn := dial(t, l)
	assert.Assert(t, receivesEcho(t, conn, echoTimeout))
	l.ResetConns()
	_, err := conn.Read(make([]byte, 1))
	assert.Assert(t, err != nil)
	l.SetFaults(Faults{Refuse: true})
	// Dial may succeed before the reset arrives; then the read fails.
	refused, err := net.Dial("tcp", l.Address())
	if err == nil {
		_, err = refused.Read(make([]byte, 1))
	}
	assert.ErrorContains(t, err, "reset by peer")
}
