package server

import (
	"net"
	"sync"
)

// LimitListener wraps a listener so that it closes new connections immediately while the server has its maximum number
// of connections open.
func (s *Server) LimitListener(inner net.Listener) net.Listener {
	return &limitedListener{Listener: inner, server: s}
}

// PeakConnections returns the highest number of connections that were open at the same time.
func (s *Server) PeakConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakConnections
}

// limitedListener is a net.Listener that enforces the connection limit of a Server.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection that is within the limit. It closes those over the limit and records them in the
// ledger as refusals.
func (l *limitedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.acquireConnection() {
			return &countedConn{Conn: conn, server: l.server}, nil
		}
		l.server.config.Ledger.RecordRefusal("Connections")
		_ = conn.Close()
	}
}

// countedConn is a net.Conn that counts as an open connection of the server until it is closed.
type countedConn struct {
	net.Conn
	server    *Server
	closeOnce sync.Once
}

// Close closes the connection. The first call also removes it from the server's number of open connections.
func (c *countedConn) Close() error {
	c.closeOnce.Do(c.server.releaseConnection)
	return c.Conn.Close()
}

// acquireConnection counts a new connection as open. It returns false, and does not count it, if the limit is reached.
func (s *Server) acquireConnection() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.openConnections >= s.config.Connections {
		return false
	}
	s.openConnections++
	s.peakConnections = max(s.peakConnections, s.openConnections)
	return true
}

func (s *Server) releaseConnection() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openConnections--
}
