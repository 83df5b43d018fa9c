package costs

import (
	"context"
	"net"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/sardineline/sardineline/sard/bench"
)

// microsecondsPerMillisecond converts measured microseconds into milliseconds, the unit of the figures.
const microsecondsPerMillisecond = 1000

// trafficMeter counts the bytes sent and received on the connections that its dial method opened.
type trafficMeter struct {
	sent     atomic.Int64
	received atomic.Int64
}

// measureCalls makes the given number of calls one after another and returns the mean processor time, elapsed time and
// bytes per call. name is the prefix of the figures' names; call gets the number of the call, from 0.
func (m *trafficMeter) measureCalls(name string, calls int, call func(n int) error) ([]bench.Figure, error) {
	started, cpuBefore := time.Now(), processCPUTime()
	sent, received := m.sent.Load(), m.received.Load()
	for n := range calls {
		if err := call(n); err != nil {
			return nil, err
		}
	}
	perCall := func(total float64) float64 { return total / float64(calls) }
	return []bench.Figure{
		{Name: name + ".cpu", Value: perCall(float64((processCPUTime() - cpuBefore).Microseconds()) / microsecondsPerMillisecond), Unit: "ms"},
		{Name: name + ".elapsed", Value: perCall(float64(time.Since(started).Microseconds()) / microsecondsPerMillisecond), Unit: "ms"},
		{Name: name + ".bytes", Value: perCall(float64(m.sent.Load() - sent + m.received.Load() - received)), Unit: "B"},
	}, nil
}

// countedConn is a net.Conn that adds the bytes it sends and receives to a trafficMeter.
type countedConn struct {
	net.Conn
	meter *trafficMeter
}

// dial opens a connection whose bytes the meter counts.
func (m *trafficMeter) dial(ctx context.Context, network, address string) (net.Conn, error) {
	conn, err := (&net.Dialer{}).DialContext(ctx, network, address)
	return &countedConn{Conn: conn, meter: m}, err
}

// Read reads from the connection and counts the bytes.
func (c *countedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.meter.received.Add(int64(n))
	return n, err
}

// Write writes to the connection and counts the bytes.
func (c *countedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.meter.sent.Add(int64(n))
	return n, err
}

// processCPUTime returns the processor time that this process has used so far in user and system mode; 0 if it cannot
// be read.
func processCPUTime() time.Duration {
	var rusage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &rusage); err != nil {
		return 0
	}
	return time.Duration(rusage.Utime.Nano() + rusage.Stime.Nano())
}
