package inmem

import (
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// Server serves a handler on a Network until it is closed.
type Server struct {
	server *http.Server
	group  errgroup.Group
}

const headerTimeout = time.Minute

// Serve serves a handler at an address of the network. wrap, when given, is put around the listener.
func (n *Network) Serve(address string, handler http.Handler, wrap ...func(net.Listener) net.Listener) (*Server, error) {
	l, err := n.Listen(address)
	if err != nil {
		return nil, err
	}
	for _, w := range wrap {
		l = w(l)
	}
	s := &Server{server: &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}}
	s.group.Go(func() error { return s.server.Serve(l) })
	return s, nil
}

// Close closes the listener and all connections.
func (s *Server) Close() error {
	if err := s.server.Close(); err != nil {
		return err
	}
	if err := s.group.Wait(); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}

// Client returns an HTTP client on the network.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.DialContext}}
}
