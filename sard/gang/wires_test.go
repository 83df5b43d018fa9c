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

// wires connects HTTP clients and workers by pipes and counts the bytes.
type wires struct {
	bytes     atomic.Int64
	transport *http.Transport
	servers   []*http.Server
	group     errgroup.Group

	mu        sync.Mutex
	listeners map[string]*pipeListener
}

// overHTTP puts the site's workers behind their HTTP protocol.
func (s *site) overHTTP() *wires {
	w := &wires{transport: worker.NewTransport(), listeners: map[string]*pipeListener{}}
	w.transport.DialContext = w.dial
	for name, fake := range s.workers {
		listener := &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
		server := &http.Server{Handler: fake}
		w.listeners[string(name)+":80"] = listener
		w.servers = append(w.servers, server)
		w.group.Go(func() error { return server.Serve(listener) })
	}
	client := &http.Client{Transport: w.transport}
	s.client = func(name ident.Worker, address string) worker.Client {
		return worker.New(worker.Config{Worker: name, Address: address, HTTP: client})
	}
	return w
}

func (w *wires) dial(_ context.Context, _, address string) (net.Conn, error) {
	near, far := net.Pipe()
	w.mu.Lock()
	listener := w.listeners[address]
	w.mu.Unlock()
	select {
	case listener.conns <- far:
		return &countingConn{Conn: near, bytes: &w.bytes}, nil
	case <-listener.closed:
		return nil, &net.OpError{Op: "dial", Err: net.ErrClosed}
	}
}

func (w *wires) close() {
	w.transport.CloseIdleConnections()
	for _, server := range w.servers {
		_ = server.Close()
	}
	_ = w.group.Wait()
}

// countingConn counts the bytes in both directions.
type countingConn struct {
	net.Conn
	bytes *atomic.Int64
}

func (c *countingConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.bytes.Add(int64(n))
	return n, err
}

func (c *countingConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.bytes.Add(int64(n))
	return n, err
}

// pipeListener hands out the far ends of pipes.
type pipeListener struct {
	conns  chan net.Conn
	once   sync.Once
	closed chan struct{}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case conn := <-l.conns:
		return conn, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }
