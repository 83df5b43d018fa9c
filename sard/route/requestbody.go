package route

import (
	"bytes"
	"errors"
	"io"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/intake"
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
	// held is the body whose memory counts; nil if the connection of the caller is not guarded.
	held *intake.Body
}

// readRequestBody reads the first buffer bytes of a body that must not exceed limit bytes. Their memory counts for the account.
func readRequestBody(body io.Reader, account ident.Account, contentLength, limit int64, bufferBytes int) (*requestBody, error) {
	if contentLength > limit {
		return nil, errBodyTooLarge
	}
	if body == nil || contentLength == 0 {
		return &requestBody{}, nil
	}
	limited := &limitedReader{body: body, remaining: limit}
	held := intake.Hold(body, account)
	prefix, err := intake.ReadPrefix(limited, held, contentLength, int64(bufferBytes))
	switch {
	case errors.Is(err, io.EOF) && contentLength >= 0 && int64(len(prefix)) != contentLength:
		return nil, io.ErrUnexpectedEOF
	case errors.Is(err, io.EOF):
		return &requestBody{prefix: prefix, length: int64(len(prefix)), held: held}, nil
	case err != nil:
		return nil, err
	}
	return &requestBody{prefix: prefix, remainder: limited, length: contentLength, held: held}, nil
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
