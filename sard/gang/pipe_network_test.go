package gang_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/worker"
)

// pipeNetwork connects HTTP clients to workers through in-memory pipes and counts the bytes transferred.
type pipeNetwork struct {
	bytes     atomic.Int64
	transport *http.Transport
	servers   []*http.Server
	group     errgroup.Group

	mu        sync.Mutex
	listeners map[string]*pipeListener
}

// serveHTTP makes the cluster's instances call the workers over HTTP.
func (c *testCluster) serveHTTP() *pipeNetwork {
	network := &pipeNetwork{transport: worker.NewTransport(), listeners: map[string]*pipeListener{}}
	network.transport.DialContext = network.dial
	for name, fake := range c.workers {
		listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{Handler: fake}
		network.listeners[string(name)+":80"] = listener
		network.servers = append(network.servers, server)
		network.group.Go(func() error { return server.Serve(listener) })
	}
	client := &http.Client{Transport: network.transport}
	c.client = func(name ident.Worker, address string) worker.Client {
		return worker.New(worker.Config{Worker: name, Address: address, HTTP: client})
	}
	return network
}

// dial connects to the listener of a worker through a pipe.
func (n *pipeNetwork) dial(_ context.Context, _, address string) (net.Conn, error) {
	near, far := net.Pipe()
	n.mu.Lock()
	listener := n.listeners[address]
	n.mu.Unlock()
	select {
	case listener.conns <- far:
		return &countingConn{Conn: near, bytes: &n.bytes}, nil
	case <-listener.closed:
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
}

// close closes the connections and the servers and waits for their goroutines.
func (n *pipeNetwork) close() {
	n.transport.CloseIdleConnections()
	for _, server := range n.servers {
		_ = server.Close()
	}
	_ = n.group.Wait()
}

// countingConn counts the bytes transferred in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

// Read reads and counts the bytes read.
func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

// Write writes and counts the bytes written.
func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// pipeListener accepts the server ends of pipes.
type pipeListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

// Accept waits for the next connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes Accept and dial fail.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns a placeholder address.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }
