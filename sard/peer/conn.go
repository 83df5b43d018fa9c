package peer

import (
	"context"
	"io"
	"sync"

	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/fault"
	"github.com/sardineline/sardineline/sard/store"
)

const (
	// maxFrameBytes is the maximum size of an encoded frame in bytes.
	maxFrameBytes = 4 << 20
	// maxReadBytes is how much of a frame is read at a time.
	maxReadBytes = 16 << 10
	// maxConcurrentCalls is the maximum number of calls that one connection serves concurrently.
	maxConcurrentCalls = 256
)

// conn is a WebSocket connection over which both sides may call each other.
type conn struct {
	peer    string
	ws      *websocket.Conn
	handler Handler

	mu     sync.Mutex
	nextID uint64
	// pending maps the ids of unanswered calls to the calls.
	pending map[uint64]pendingCall
	closed  bool
}

// pendingCall is a call whose reply has not arrived.
type pendingCall struct {
	// replies receives the reply.
	replies chan frame
	// arrived is called when a part of a frame arrives, which may be that of the reply.
	arrived func()
}

// newConn returns a connection to a peer, whose calls are served by handler.
func newConn(peer string, ws *websocket.Conn, handler Handler) *conn {
	ws.SetReadLimit(maxFrameBytes)
	return &conn{peer: peer, ws: ws, handler: handler, pending: map[uint64]pendingCall{}}
}

// run reads frames until the connection closes, and returns when all calls from the peer have been served.
func (c *conn) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxConcurrentCalls)
	err := c.readFrames(ctx, group)
	c.closePending()
	_ = c.ws.CloseNow()
	_ = group.Wait()
	return err
}

// readFrames reads frames until the connection fails. It delivers replies, and serves each call in a goroutine of the
// group.
func (c *conn) readFrames(ctx context.Context, group *errgroup.Group) error {
	for {
		data, err := c.readFrame(ctx)
		if err != nil {
			return err
		}
		f, err := decodeFrame(data)
		if err != nil {
			return err
		}
		if f.Reply {
			c.deliverReply(f)
			continue
		}
		accepted := group.TryGo(func() error {
			c.serveCall(ctx, f)
			return nil
		})
		if !accepted {
			c.rejectCall(ctx, f)
		}
	}
}

// readFrame reads the next frame, and tells the pending calls of each part that arrives.
func (c *conn) readFrame(ctx context.Context) ([]byte, error) {
	_, frame, err := c.ws.Reader(ctx)
	if err != nil {
		return nil, err
	}
	return io.ReadAll(arrivalReader{Reader: frame, conn: c})
}

// arrivalReader reads a frame of a connection.
type arrivalReader struct {
	io.Reader
	conn *conn
}

// Read reads the next part of the frame.
func (r arrivalReader) Read(b []byte) (int, error) {
	n, err := r.Reader.Read(b[:min(len(b), maxReadBytes)])
	r.conn.noteArrival()
	return n, err
}

// noteArrival tells the pending calls that a part of a frame has arrived.
func (c *conn) noteArrival() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, call := range c.pending {
		call.arrived()
	}
}

// rejectCall answers a call beyond maxConcurrentCalls with a Throttled fault.
func (c *conn) rejectCall(ctx context.Context, f frame) {
	c.sendReply(ctx, f, nil, fault.New(fault.Throttled, "serve call", c.peer, "more than %d concurrent calls", maxConcurrentCalls))
}

// serveCall passes the message of a call to the handler and sends the handler's reply.
func (c *conn) serveCall(ctx context.Context, f frame) {
	m, err := f.decodeMessage(c.peer)
	var reply Message = Done{}
	if err == nil {
		reply, err = c.handler.Serve(ctx, m)
	}
	c.sendReply(ctx, f, reply, err)
}

// sendReply answers a call with a message, or with a fault when callErr is set. Messages without an id get no reply.
// A failed write closes the connection.
func (c *conn) sendReply(ctx context.Context, f frame, m Message, callErr error) {
	if f.ID == 0 {
		return
	}
	var data []byte
	var err error
	if callErr != nil {
		data, err = encodeErrorFrame(f.ID, callErr)
	} else {
		data, err = encodeFrame(f.ID, true, m)
	}
	if err == nil {
		err = c.ws.Write(ctx, websocket.MessageBinary, data)
	}
	if err != nil {
		_ = c.ws.CloseNow()
	}
}

// deliverReply passes a reply to the pending call. A reply to a call that is no longer pending is dropped.
func (c *conn) deliverReply(f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if call, ok := c.pending[f.ID]; ok {
		delete(c.pending, f.ID)
		call.replies <- f
	}
}

// closePending fails all pending calls and rejects new ones.
func (c *conn) closePending() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for id, call := range c.pending {
		delete(c.pending, id)
		close(call.replies)
	}
}

// addPending allocates the id of a call with the context ctx and the channel for its reply. It returns false when the
// connection is closed. The channel holds one reply, so that deliverReply never blocks.
func (c *conn) addPending(ctx context.Context) (uint64, chan frame, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil, false
	}
	c.nextID++
	replies := make(chan frame, 1)
	c.pending[c.nextID] = pendingCall{replies: replies, arrived: func() { store.Arrived(ctx) }}
	return c.nextID, replies, true
}

// removePending drops a call that no longer waits for its reply.
func (c *conn) removePending(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.pending, id)
}

// call sends a message and waits for its reply, of which it tells store.WithSilenceLimit. Once the message may have been sent, a failure is OutcomeUnknown.
func (c *conn) call(ctx context.Context, m Message) (Message, error) {
	id, replies, ok := c.addPending(ctx)
	if !ok {
		return nil, fault.New(fault.Unavailable, "call", c.peer, "connection is closed")
	}
	defer c.removePending(id)
	data, err := encodeFrame(id, false, m)
	if err != nil {
		return nil, err
	}
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return nil, fault.Wrap(err, fault.OutcomeUnknown, "send call", c.peer)
	}
	select {
	case f, ok := <-replies:
		if !ok {
			return nil, fault.New(fault.OutcomeUnknown, "await reply", c.peer, "connection closed before the reply")
		}
		return f.decodeMessage(c.peer)
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "await reply", c.peer)
	}
}

// send sends a message that gets no reply.
func (c *conn) send(ctx context.Context, m Message) error {
	data, err := encodeFrame(0, false, m)
	if err != nil {
		return err
	}
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fault.Wrap(err, fault.OutcomeUnknown, "send message", c.peer)
	}
	return nil
}
