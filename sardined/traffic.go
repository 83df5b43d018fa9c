package main

import (
	"context"
	"net"

	"github.com/prometheus/client_golang/prometheus"
)

// traffic counts the bytes of control connections, without the headers of TCP and IP.
type traffic struct{ bytes *prometheus.CounterVec }

func newTraffic(registry prometheus.Registerer) *traffic {
	t := &traffic{bytes: prometheus.NewCounterVec(prometheus.CounterOpts{
		Name: "sardine_control_bytes_total",
		Help: "Bytes of control connections by peer (table, fleet, worker, instance) and direction (sent, received).",
	}, []string{"peer", "direction"})}
	registry.MustRegister(t.bytes)
	return t
}

// dialer returns a function that opens counted connections.
func (t *traffic) dialer(peer string) func(ctx context.Context, network, address string) (net.Conn, error) {
	var d net.Dialer
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		conn, err := d.DialContext(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return t.count(peer, conn), nil
	}
}

func (t *traffic) count(peer string, conn net.Conn) net.Conn {
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

func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.received.Add(float64(n))
	return n, err
}

func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.sent.Add(float64(n))
	return n, err
}

// countedListener accepts counted connections.
type countedListener struct {
	net.Listener
	traffic *traffic
	peer    string
}

func (l countedListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return l.traffic.count(l.peer, conn), nil
}
