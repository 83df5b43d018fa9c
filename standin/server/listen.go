package server

import (
	"net"
	"sync"
)

// LimitListener holds a listener to the server's connection limit: a connection beyond it is closed at once.
func (s *Server) LimitListener(inner net.Listener) net.Listener {
	return &limited{Listener: inner, server: s}
}

// PeakConnections returns the most connections that were open at once.
func (s *Server) PeakConnections() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.peak
}

type limited struct {
	net.Listener
	server *Server
}

// Accept waits for the next connection within the limit.
func (l *limited) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.server.connect() {
			return &counted{Conn: conn, server: l.server}, nil
		}
		l.server.config.Ledger.RecordRefusal("Connections")
		_ = conn.Close()
	}
}

type counted struct {
	net.Conn
	server *Server
	once   sync.Once
}

// Close closes the connection and gives its place back.
func (c *counted) Close() error {
	c.once.Do(c.server.disconnect)
	return c.Conn.Close()
}

func (s *Server) connect() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.connections >= s.config.Connections {
		return false
	}
	s.connections++
	s.peak = max(s.peak, s.connections)
	return true
}

func (s *Server) disconnect() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.connections--
}
