package table

import (
	"context"
	"io"
	"net/http"

	"github.com/sardineline/sardineline/sard/store"
)

// maxReadBytes limits a read of a body. A read of a chunked body returns only when it has filled its buffer, which takes too
// long with a large buffer and a slow link.
const maxReadBytes = 16 << 10

// arrivalTransport tells of each part of an answer that arrives, for store.WithSilenceLimit.
type arrivalTransport struct{ base http.RoundTripper }

// RoundTrip sends a request. The answer has arrived in part when it returns.
func (t arrivalTransport) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := t.base.RoundTrip(req)
	if err != nil {
		return nil, err
	}
	store.Arrived(req.Context())
	resp.Body = &arrivalReader{ReadCloser: resp.Body, ctx: req.Context()}
	return resp, nil
}

// arrivalReader is the body of an answer to a call with the context ctx.
type arrivalReader struct {
	io.ReadCloser
	ctx context.Context
}

// Read reads the next part of the body.
func (r *arrivalReader) Read(b []byte) (int, error) {
	n, err := r.ReadCloser.Read(b[:min(len(b), maxReadBytes)])
	if n > 0 {
		store.Arrived(r.ctx)
	}
	return n, err
}
