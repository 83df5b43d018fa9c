package costs

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sardineline/sardineline/sard/bench"
)

const perMille = 1000

// meter counts the bytes of its connections.
type meter struct {
	sent atomic.Int64
	got  atomic.Int64
}

// costs runs calls one after another and gives the processor time, elapsed time and bytes of each.
func (m *meter) costs(name string, calls int, call func(n int) error) ([]bench.Figure, error) {
	begun, used := time.Now(), usage()
	sent, got := m.sent.Load(), m.got.Load()
	for n := range calls {
		if err := call(n); err != nil {
			return nil, err
		}
	}
	each := func(total float64) float64 { return total / float64(calls) }
	return []bench.Figure{
		{Name: name + ".cpu", Value: each(float64((usage() - used).Microseconds()) / perMille), Unit: "ms"},
		{Name: name + ".elapsed", Value: each(float64(time.Since(begun).Microseconds()) / perMille), Unit: "ms"},
		{Name: name + ".bytes", Value: each(float64(m.sent.Load() - sent + m.got.Load() - got)), Unit: "B"},
	}, nil
}

// counted counts the bytes of a connection.
type counted struct {
	net.Conn
	meter *meter
}

func (m *meter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &counted{Conn: conn, meter: m}, err
}

// Read reads and counts.
func (c *counted) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.got.Add(int64(n))
	return n, err
}

// Write writes and counts.
func (c *counted) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(int64(n))
	return n, err
}

// usage returns the processor time of this process so far.
func usage() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}
