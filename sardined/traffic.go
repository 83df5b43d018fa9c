package main

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// traffic counts the payload bytes of control connections, that is, without TCP and IP headers.
type traffic struct {
	network network
	bytes   *prometheus.CounterVec
}

// newTraffic creates the counter of the connections that nw opens and registers it.
func newTraffic(nw network, registry prometheus.Registerer) *traffic {
	t := &traffic{network: nw, bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sardine_control_bytes_total",
		Help: "Bytes of control connections by peer (table, fleet, worker, instance) and direction (sent, received).",
	}, []string{"peer", "direction"})}
	registry.MustRegister(t.bytes)
	return t
}

// dialer returns a dial function whose connections are counted under the name of peer.
func (t *traffic) dialer(peer string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := t.network.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return t.countConn(peer, conn), nil
	}
}

// countConn wraps a connection to count its bytes.
func (t *traffic) countConn(peer string, conn net.Conn) net.Conn {
	return &countedConn{
		Conn:     conn,
		sent:     t.bytes.WithLabelValues(peer, "sent"),
		received: t.bytes.WithLabelValues(peer, "received"),
	}
}

// countedConn counts the bytes of a connection.
type countedConn struct {
	net.Conn
	sent     prometheus.Counter
	received prometheus.Counter
}

// Read reads and counts the bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(float64(n))
	return n, err
}

// Write writes and counts the bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(float64(n))
	return n, err
}

// countedListener counts the bytes of the connections that it accepts.
type countedListener struct {
	net.Listener
	traffic *traffic
	peer    string
}

// Accept accepts a connection and wraps it to count its bytes.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.countConn(l.peer, conn), nil
}
