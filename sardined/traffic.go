package main

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// traffic counts the bytes that an instance exchanges with the platform's services, workers and other instances. It
// counts payload, without TCP and IP headers.
type traffic struct {
	network network
	bytes   *prometheus.CounterVec
}

// newTraffic creates a byte counter for connections that are opened through nw, and registers it as a metric.
func newTraffic(nw network, registry prometheus.Registerer) *traffic {
	t := &traffic{network: nw, bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sardine_control_bytes_total",
		Help: "Bytes of control connections by peer (table, fleet, worker, instance) and direction (sent, received).",
	}, []string{"peer", "direction"})}
	registry.MustRegister(t.bytes)
	return t
}

// dialer returns a function that opens connections whose bytes are counted. peer is the value of the metric's label
// peer.
func (t *traffic) dialer(peer string) func(ctx context.Context, network, address string) (net.Conn, error) {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := t.network.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return t.countConn(peer, conn), nil
	}
}

// countConn wraps a connection so that its bytes are counted under the label peer.
func (t *traffic) countConn(peer string, conn net.Conn) net.Conn {
	return &countedConn{
		Conn:     conn,
		sent:     t.bytes.WithLabelValues(peer, "sent"),
		received: t.bytes.WithLabelValues(peer, "received"),
	}
}

// countedConn is a connection whose bytes are counted.
type countedConn struct {
	net.Conn
	sent     prometheus.Counter
	received prometheus.Counter
}

// Read reads from the connection and counts the bytes received.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(float64(n))
	return n, err
}

// Write writes to the connection and counts the bytes sent.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(float64(n))
	return n, err
}

// countedListener is a listener that counts the bytes of the connections it accepts.
type countedListener struct {
	net.Listener
	traffic *traffic
	peer    string
}

// Accept accepts a connection and wraps it so that its bytes are counted.
func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.countConn(l.peer, conn), nil
}
