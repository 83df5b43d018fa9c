package intake

import (
	"errors"
	"io"
	"net/http"

	"github.com/sardineline/sardineline/sard/ident"
)

// firstBufferBytes is the size of the first buffer for a body whose length is larger or not known. What a client announces
// costs nothing before it arrives.
const firstBufferBytes = 4 << 10

// ReadAll reads the whole body of a request, which must not exceed limit bytes. The memory counts for the account until the
// request has ended or Release is called.
func ReadAll(r *http.Request, account ident.Account, limit int64) ([]byte, error) {
	if r.ContentLength > limit {
		return nil, ErrTooLarge
	}
	body, err := ReadPrefix(r.Body, Hold(r.Body, account), r.ContentLength, limit+1)
	switch {
	case int64(len(body)) > limit:
		return nil, ErrTooLarge
	case errors.Is(err, io.EOF):
		return body, nil
	}
	return nil, err
}

// Hold makes the memory of a body count for an account. It returns nil if its connection is not guarded.
func Hold(body io.Reader, account ident.Account) *Body {
	b, ok := body.(*Body)
	if !ok {
		return nil
	}
	b.account = account
	return b
}

// ReadPrefix reads at most size bytes of a body whose length is contentLength, or -1 if that is not known. It returns io.EOF
// with what it has read if the body ends before. The memory counts for held, unless that is nil.
func ReadPrefix(source io.Reader, held *Body, contentLength, size int64) ([]byte, error) {
	if contentLength >= 0 {
		// One byte more than the length, so that the end is seen without a larger buffer.
		size = min(size, contentLength+1)
	}
	reader := prefixReader{held: held}
	if err := reader.grow(min(size, firstBufferBytes)); err != nil {
		return nil, err
	}
	for {
		n, err := source.Read(reader.buffer[len(reader.buffer):cap(reader.buffer)])
		reader.buffer = reader.buffer[:len(reader.buffer)+n]
		if err != nil {
			return reader.buffer, err
		}
		if int64(len(reader.buffer)) == size {
			return reader.buffer, nil
		}
		if len(reader.buffer) < cap(reader.buffer) {
			continue
		}
		if err := reader.grow(min(size, 2*int64(cap(reader.buffer)))); err != nil {
			return nil, err
		}
	}
}

// prefixReader holds what was read of a body.
type prefixReader struct {
	// held is the body whose memory counts; nil if it does not.
	held   *Body
	buffer []byte
}

// grow replaces the buffer by one of a size. Both count while the one is copied to the other.
func (r *prefixReader) grow(size int64) error {
	if r.held != nil && !r.held.guard.bodies.charge(r.held, size) {
		return ErrGivenUp
	}
	former := int64(cap(r.buffer))
	grown := make([]byte, len(r.buffer), size)
	copy(grown, r.buffer)
	r.buffer = grown
	if r.held != nil && former > 0 {
		r.held.guard.bodies.refund(r.held, former)
	}
	return nil
}

// Release says that a body that was read is no longer needed.
func Release(r *http.Request) {
	if b, ok := r.Body.(*Body); ok {
		b.release()
	}
}
