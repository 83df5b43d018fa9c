package route

import (
	"bytes"
	"errors"
	"io"
)

// bodyBufferBytes is the number of body bytes that are read before a server is selected. A request whose body fits
// can be sent again.
const bodyBufferBytes = 16 << 10

// errBodyTooLarge is returned for a request body over its limit.
var errBodyTooLarge = errors.New("request body exceeds the limit of the route")

// requestBody is the body of a request, at least partly buffered.
type requestBody struct {
	// prefix is the buffered start of the body.
	prefix []byte
	// remainder is what follows prefix; nil if prefix is the whole body.
	remainder io.Reader
	// length is the length of the body in bytes; -1 if not known.
	length int64
}

// readRequestBody reads the first buffer bytes of a body that must not exceed limit bytes.
func readRequestBody(body io.Reader, contentLength, limit int64, bufferBytes int) (*requestBody, error) {
	if contentLength > limit {
		return nil, errBodyTooLarge
	}
	if body == nil || contentLength == 0 {
		return &requestBody{}, nil
	}
	limited := &limitedReader{body: body, remaining: limit}
	prefix, err := readBodyPrefix(limited, contentLength, bufferBytes)
	if errors.Is(err, io.EOF) {
		return &requestBody{prefix: prefix, length: int64(len(prefix))}, nil
	}
	if err != nil {
		return nil, err
	}
	return &requestBody{prefix: prefix, remainder: limited, length: contentLength}, nil
}

// readBodyPrefix reads at most size bytes. It returns io.EOF if the body ended at contentLength, or if its length was
// not known.
func readBodyPrefix(body io.Reader, contentLength int64, size int) ([]byte, error) {
	if contentLength >= 0 && contentLength < int64(size) {
		size = int(contentLength) + 1
	}
	prefix := make([]byte, size)
	n := 0
	for n < size {
		m, err := body.Read(prefix[n:])
		n += m
		if errors.Is(err, io.EOF) && contentLength >= 0 && int64(n) != contentLength {
			return nil, io.ErrUnexpectedEOF
		}
		if err != nil {
			return prefix[:n:n], err
		}
	}
	return prefix, nil
}

// isBuffered reports whether the whole body is in memory, so that it can be sent again.
func (b *requestBody) isBuffered() bool {
	return b.remainder == nil
}

// reader returns a reader of the whole body, for use in one attempt.
func (b *requestBody) reader() io.ReadCloser {
	if b.isBuffered() {
		return io.NopCloser(bytes.NewReader(b.prefix))
	}
	return io.NopCloser(io.MultiReader(bytes.NewReader(b.prefix), b.remainder))
}

// limitedReader returns errBodyTooLarge once more than remaining bytes were read.
type limitedReader struct {
	body      io.Reader
	remaining int64
}

// Read reads from the body, up to the limit.
func (l *limitedReader) Read(p []byte) (int, error) {
	n, err := l.body.Read(p)
	l.remaining -= int64(n)
	if l.remaining < 0 {
		return 0, errBodyTooLarge
	}
	return n, err
}
