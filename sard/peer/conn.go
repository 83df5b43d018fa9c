package peer

import (
	"context"
	"sync"

	"github.com/coder/websocket"
	"golang.org/x/sync/errgroup"

	"github.com/sardineline/sardineline/sard/fault"
)

const (
	// maxFrame bounds a frame in bytes.
	maxFrame = 4 << 20
	// maxServing bounds the calls of one connection that are served at a time.
	maxServing = 256
)

// conn is one connection, over which both sides may call.
type conn struct {
	peer    string
	ws      *websocket.Conn
	handler Handler

	mu      sync.Mutex
	nextID  uint64
	waiting map[uint64]chan frame
	closed  bool
}

func newConn(peer string, ws *websocket.Conn, handler Handler) *conn {
	ws.SetReadLimit(maxFrame)
	return &conn{peer: peer, ws: ws, handler: handler, waiting: map[uint64]chan frame{}}
}

// run reads frames until the connection ends.
func (c *conn) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.SetLimit(maxServing)
	err := c.read(ctx, group)
	c.shut()
	_ = c.ws.CloseNow()
	_ = group.Wait()
	return err
}

func (c *conn) read(ctx context.Context, group *errgroup.Group) error {
	for {
		_, data, err := c.ws.Read(ctx)
		if err != nil {
			return err
		}
		f, err := decode(data)
		if err != nil {
			return err
		}
		if f.Reply {
			c.deliver(f)
			continue
		}
		started := group.TryGo(func() error {
			c.serve(ctx, f)
			return nil
		})
		if !started {
			c.refuse(ctx, f)
		}
	}
}

// refuse answers a call that is one too many.
func (c *conn) refuse(ctx context.Context, f frame) {
	c.reply(ctx, f, nil, fault.New(fault.Throttled, "serve call", c.peer, "more than %d calls at a time", maxServing))
}

// serve answers a call.
func (c *conn) serve(ctx context.Context, f frame) {
	m, err := f.message(c.peer)
	var reply Message = Done{}
	if err == nil {
		reply, err = c.handler.Serve(ctx, m)
	}
	c.reply(ctx, f, reply, err)
}

// reply sends a reply, if one is wanted. A failed write ends the connection.
func (c *conn) reply(ctx context.Context, f frame, m Message, failure error) {
	if f.ID == 0 {
		return
	}
	var data []byte
	var err error
	if failure != nil {
		data, err = encodeError(f.ID, failure)
	} else {
		data, err = encode(f.ID, true, m)
	}
	if err == nil {
		err = c.ws.Write(ctx, websocket.MessageBinary, data)
	}
	if err != nil {
		_ = c.ws.CloseNow()
	}
}

// deliver hands a reply to its caller. A reply that nobody waits for any more is dropped.
func (c *conn) deliver(f frame) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if waiter, ok := c.waiting[f.ID]; ok {
		delete(c.waiting, f.ID)
		waiter <- f
	}
}

func (c *conn) shut() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.closed = true
	for id, waiter := range c.waiting {
		delete(c.waiting, id)
		close(waiter)
	}
}

func (c *conn) register() (uint64, chan frame, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return 0, nil, false
	}
	c.nextID++
	waiter := make(chan frame, 1)
	c.waiting[c.nextID] = waiter
	return c.nextID, waiter, true
}

func (c *conn) forget(id uint64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.waiting, id)
}

// call sends a message and waits for its reply.
func (c *conn) call(ctx context.Context, m Message) (Message, error) {
	id, waiter, ok := c.register()
	if !ok {
		return nil, fault.New(fault.Unavailable, "call", c.peer, "connection is closed")
	}
	defer c.forget(id)
	data, err := encode(id, false, m)
	if err != nil {
		return nil, err
	}
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return nil, fault.Wrap(err, fault.OutcomeUnknown, "send call", c.peer)
	}
	select {
	case f, ok := <-waiter:
		if !ok {
			return nil, fault.New(fault.OutcomeUnknown, "await reply", c.peer, "connection ended")
		}
		return f.message(c.peer)
	case <-ctx.Done():
		return nil, fault.Wrap(ctx.Err(), fault.OutcomeUnknown, "await reply", c.peer)
	}
}

// send sends a message that wants no reply.
func (c *conn) send(ctx context.Context, m Message) error {
	data, err := encode(0, false, m)
	if err != nil {
		return err
	}
	if err := c.ws.Write(ctx, websocket.MessageBinary, data); err != nil {
		return fault.Wrap(err, fault.OutcomeUnknown, "send message", c.peer)
	}
	return nil
}
