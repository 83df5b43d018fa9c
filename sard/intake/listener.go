package intake

import (
	"crypto/tls"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// receiveBuffer and sendBuffer are the sizes of the operating system's buffers of a connection, in bytes.
	receiveBuffer = 32 << 10
	sendBuffer    = 64 << 10
	// minBacklog is the least number of connections that may wait to be accepted.
	minBacklog = 512
)

// ListenConfig returns the configuration for listeners whose connections are to be guarded: it bounds the buffers that the
// operating system fills before the process reads. A system that refuses that keeps its own sizes.
func ListenConfig() net.ListenConfig {
	return net.ListenConfig{Control: func(_, _ string, socket syscall.RawConn) error {
		return socket.Control(func(fd uintptr) {
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBuffer)
			_ = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_SNDBUF, sendBuffer)
		})
	}}
}

// Listener returns a listener that accepts the connections of l, with TLS unless the configuration is nil. At the limit, it
// closes another connection first.
func (g *Guard) Listener(l net.Listener, encryption *tls.Config) net.Listener {
	g.limitBacklog(l)
	if encryption != nil {
		l = tls.NewListener(l, encryption)
	}
	return &listener{Listener: l, guard: g}
}

// limitBacklog bounds the number of connections that wait to be accepted, as they hold received bytes too.
func (g *Guard) limitBacklog(l net.Listener) {
	tcp, ok := l.(*net.TCPListener)
	if !ok {
		return
	}
	socket, err := tcp.SyscallConn()
	if err != nil {
		return
	}
	_ = socket.Control(func(fd uintptr) { _ = unix.Listen(int(fd), max(g.config.Limits.Connections, minBacklog)) })
}

// listener is the listener that Guard.Listener returns.
type listener struct {
	net.Listener
	guard *Guard
}

// Accept waits for a connection that is admitted.
func (l *listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		c := newConn(accepted, l.guard)
		if l.guard.admit(c) {
			return c, nil
		}
		_ = accepted.Close()
	}
}

// admit adds a connection, in place of another one if there are too many. It waits for maxAdmission at most until that is
// possible, and returns false if requests are being served on all connections.
func (g *Guard) admit(c *conn) bool {
	deadline := time.Now().Add(maxAdmission)
	for {
		a := g.conns.add(c)
		if a.victim != nil {
			g.note(TooManyConnections)
			a.victim.abort()
		}
		if a.added {
			return true
		}
		if a.wait == 0 || !time.Now().Before(deadline) {
			g.note(AllServing)
			g.conns.refused()
			return false
		}
		timer := time.NewTimer(a.wait)
		select {
		case <-timer.C:
		case <-a.changed:
		}
		timer.Stop()
	}
}
