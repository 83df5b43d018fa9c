package server

import (
	"net"
	"sync"
)

// LimitListener wraps a listener so that connections over the server's limit are closed immediately.
func (s *Server) LimitListener(inner net.Listener) net.Listener {
	return &limitedListener{Listener: inner, server: s}
}

// PeakConnections returns the highest number of connections that were open at the same time.
func (s *Server) PeakConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peakConnections
}

// limitedListener is a net.Listener that enforces the server's connection limit.
type limitedListener struct {
	net.Listener
	server *Server
}

// Accept returns the next connection within the limit. It closes and records those over it.
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

// countedConn is a net.Conn that counts as open on the server until it is closed.
type countedConn struct {
	net.Conn
	server    *Server
	closeOnce sync.Once
}

// Close closes the connection and, the first time, removes it from the server's count.
func (c *countedConn) Close() error {
	c.closeOnce.Do(c.server.releaseConnection)
	return c.Conn.Close()
}

// acquireConnection counts a new connection. It returns false if the limit is reached.
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
