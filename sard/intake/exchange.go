package intake

import (
	"net/http"
	"time"
)

const (
	// smallBody is the size of a body, in bytes, that usually has arrived with its header.
	smallBody = 16 << 10
	// smallBodyWait is how long an early response waits for the rest of a small body, so that the connection can be kept.
	smallBodyWait = 20 * time.Millisecond
)

// exchange is a request with a body and its response.
type exchange struct {
	http.ResponseWriter
	body Body
	// wroteHeader is set once the header of the response was written.
	wroteHeader bool
}

// newExchange returns the exchange of a request, which becomes its body.
func newExchange(c *conn, w http.ResponseWriter, r *http.Request) *exchange {
	e := &exchange{ResponseWriter: w}
	e.body = Body{source: r.Body, request: r, guard: c.guard, conn: c, exchange: e}
	r.Body = &e.body
	return e
}

// Unwrap returns the writer of the server, for http.ResponseController.
func (e *exchange) Unwrap() http.ResponseWriter {
	return e.ResponseWriter
}

// Flush sends what was written.
func (e *exchange) Flush() {
	e.beforeHeader()
	_ = http.NewResponseController(e.ResponseWriter).Flush()
}

// WriteHeader writes the header of the response.
func (e *exchange) WriteHeader(status int) {
	if status >= http.StatusOK {
		e.beforeHeader()
	}
	e.ResponseWriter.WriteHeader(status)
}

// Write writes a part of the response.
func (e *exchange) Write(p []byte) (int, error) {
	e.beforeHeader()
	return e.ResponseWriter.Write(p)
}

// beforeHeader makes the server close the connection after a response that is sent before the request has arrived whole.
// Without that, the server would wait for the rest of the body before it sends the response.
func (e *exchange) beforeHeader() {
	if e.wroteHeader {
		return
	}
	e.wroteHeader = true
	if !e.body.isComplete() && !e.body.skip() {
		e.Header().Set("Connection", "close")
	}
}

// end ends the exchange when its handler has returned.
func (e *exchange) end() {
	e.beforeHeader()
	e.body.end()
}
