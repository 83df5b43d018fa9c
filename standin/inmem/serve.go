package inmem

import (
	"errors"
	"net"
	"net/http"
	"time"

	"golang.org/x/sync/errgroup"
)

// Server is an HTTP server on a Network, which runs until it is closed.
type Server struct {
	server *http.Server
	group  errgroup.Group
}

// readHeaderTimeout is the time limit for reading the headers of a request.
const readHeaderTimeout = time.Minute

// Serve starts an HTTP server at an address of the network. Each wrap function is applied to the listener in turn.
func (n *Network) Serve(address string, handler http.Handler, wrap ...func(net.Listener) net.Listener) (*Server, error) {
	l, err := n.Listen(address)
	if err != nil {
		return nil, err
	}
	for _, w := range wrap {
		l = w(l)
	}
	s := &Server{server: &http.Server{Handler: handler, ReadHeaderTimeout: readHeaderTimeout}}
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

// Client returns an HTTP client that opens its connections on the network.
func (n *Network) Client() *http.Client {
	return &http.Client{Transport: &http.Transport{DialContext: n.DialContext}}
}
