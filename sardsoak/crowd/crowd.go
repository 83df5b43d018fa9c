// Package crowd plays clients that don't behave: many at once, which send requests in part, keep their connections open
// or don't read responses. It also measures what they make a process hold.
package crowd

import (
	"context"
	"io"
	"net"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/clock"
)

// Crowd is a number of clients that all do the same. Each opens a connection, sends its data and keeps the connection
// open, without reading.
type Crowd struct {
	// Address is the address of the instance.
	Address string
	Clients int
	// Data returns what client n sends, in parts that are sent one after the other.
	Data func(n int) net.Buffers
	// Piece is the number of bytes that a client sends at a time, with Pause between two pieces; 0 means all at once.
	Piece int
	Pause time.Duration
	// Reconnects makes a client whose connection was closed open another one and start again.
	Reconnects bool
}

// dialTimeout bounds the time to open a connection, and reconnectPause is the wait before another try.
const (
	dialTimeout    = 5 * time.Second
	reconnectPause = 10 * time.Millisecond
)

// Running is a crowd whose clients have been started.
type Running struct {
	stop    context.CancelFunc
	group   errgroup.Group
	settled sync.WaitGroup
}

// Start starts the clients of the crowd. They keep their connections open until Leave.
func (c Crowd) Start() *Running {
	ctx, stop := context.WithCancel(context.Background())
	r := &Running{stop: stop}
	r.settled.Add(c.Clients)
	for n := range c.Clients {
		r.group.Go(func() error {
			c.play(ctx, n, sync.OnceFunc(r.settled.Done))
			return nil
		})
	}
	return r
}

// Settle waits until each client has sent all that it sends, or has been refused, at most for a time.
func (r *Running) Settle(limit time.Duration) {
	settled := make(chan struct{})
	r.group.Go(func() error {
		r.settled.Wait()
		close(settled)
		return nil
	})
	select {
	case <-settled:
	case <-time.After(limit):
	}
}

// Leave closes the connections of all clients.
func (r *Running) Leave() {
	r.stop()
	_ = r.group.Wait()
}

// play plays a client until ctx ends. It calls settled when the client has sent its data for the first time, or failed to.
func (c Crowd) play(ctx context.Context, n int, settled func()) {
	defer settled()
	for ctx.Err() == nil {
		conn, err := net.DialTimeout("tcp", c.Address, dialTimeout)
		if err == nil {
			c.playConnection(ctx, conn, n, settled)
		}
		settled()
		if !c.Reconnects || !clock.Sleep(ctx, reconnectPause) {
			return
		}
	}
}

// playConnection sends the data of client n and keeps the connection open until ctx ends, or, if the client reconnects,
// until the connection is closed.
func (c Crowd) playConnection(ctx context.Context, conn net.Conn, n int, settled func()) {
	unblock := context.AfterFunc(ctx, func() { _ = conn.SetDeadline(time.Unix(1, 0)) })
	defer unblock()
	defer conn.Close()
	for _, part := range c.Data(n) {
		if err := c.send(ctx, conn, part); err != nil {
			return
		}
	}
	settled()
	if c.Reconnects {
		_, _ = io.Copy(io.Discard, conn)
		return
	}
	<-ctx.Done()
}

// send writes data to a connection, piece by piece.
func (c Crowd) send(ctx context.Context, conn net.Conn, data []byte) error {
	for len(data) > 0 {
		piece := data
		if c.Piece > 0 && c.Piece < len(data) {
			piece = data[:c.Piece]
		}
		if _, err := conn.Write(piece); err != nil {
			return err
		}
		data = data[len(piece):]
		if c.Piece > 0 && !clock.Sleep(ctx, c.Pause) {
			return ctx.Err()
		}
	}
	return nil
}
