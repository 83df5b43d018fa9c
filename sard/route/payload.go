package route

import (
	"bytes"
	"errors"
	"io"
)

// payloadBuffer is how many bytes of a request's body are read before a backend server is chosen. A body that
// fits can be sent again.
const payloadBuffer = 16 << 10

// errTooLarge is the error of a body over its limit.
var errTooLarge = errors.New("the body is larger than the route allows")

// payload is the body of a request.
type payload struct {
	head []byte
	// rest is what follows head; nil when head is the whole body.
	rest   io.Reader
	length int64
}

// readPayload reads the start of a body of at most limit bytes and waits for it.
func readPayload(body io.Reader, length, limit int64, buffer int) (*payload, error) {
	if length > limit {
		return nil, errTooLarge
	}
	if body == nil || length == 0 {
		return &payload{}, nil
	}
	capped := &cappedReader{body: body, left: limit}
	head, err := readUpTo(capped, length, buffer)
	if errors.Is(err, io.EOF) {
		return &payload{head: head, length: int64(len(head))}, nil
	}
	if err != nil {
		return nil, err
	}
	return &payload{head: head, rest: capped, length: length}, nil
}

// readUpTo reads at most size bytes. It returns io.EOF when the body has ended where it should.
func readUpTo(body io.Reader, length int64, size int) ([]byte, error) {
	if length >= 0 && length < int64(size) {
		size = int(length) + 1
	}
	head := make([]byte, size)
	n := 0
	for n < size {
		m, err := body.Read(head[n:])
		n += m
		if errors.Is(err, io.EOF) && length >= 0 && int64(n) != length {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return head[:n:n], err
		}
	}
	return head, nil
}

// whole tells whether the body is held in memory, so that it can be sent again.
func (p *payload) whole() bool {
	return p.rest == nil
}

// reader returns the body for one attempt.
func (p *payload) reader() io.ReadCloser {
	if p.whole() {
		return io.NopCloser(bytes.NewReader(p.head))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(p.head), p.rest))
}

// cappedReader fails once more than left bytes have been read.
type cappedReader struct {
	body io.Reader
	left int64
}

// Read reads from the body.
func (c *cappedReader) Read(p []byte) (int, error) {
	n, err := c.body.Read(p)
	c.left -= int64(n)
	if c.left < 0 {
		return 0, errTooLarge
	}
	return n, err
}
