package route_test

import (
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/server"
)

// headerSize is the request header with the response size in bytes.
const headerSize = "X-Size"

// requestLog records which requests the servers received and ran.
type requestLog struct {
	mu          sync.Mutex
	runsByID    map[ident.Request]int
	received    map[ident.Request]int
	runsByToken map[string]int
}

// newRequestLog returns an empty requestLog.
func newRequestLog() *requestLog {
	return &requestLog{runsByID: map[ident.Request]int{}, received: map[ident.Request]int{}, runsByToken: map[string]int{}}
}

// recordReceived counts a request that arrived at a server.
func (l *requestLog) recordReceived(id ident.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received[id]++
}

// recordRun counts a request that a server ran.
func (l *requestLog) recordRun(id ident.Request, token string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.runsByID[id]++
	l.runsByToken[token]++
}

// backendFault is what a faulty server does with a request.
type backendFault int

const (
	// faultNone answers the request.
	faultNone backendFault = iota
	// faultServerError answers with status 500.
	faultServerError
	// faultRefuseBusy refuses the request as if no slot were free.
	faultRefuseBusy
	// faultRefuseDraining refuses the request as if the server were draining.
	faultRefuseDraining
	// faultLateResponse responds after the route's timeout.
	faultLateResponse
	// faultTruncated sends only part of the body.
	faultTruncated
	// faultTruncatedChunked sends a chunked body without its end.
	faultTruncatedChunked
	// faultDuplicateResponse sends the response twice.
	faultDuplicateResponse
	// faultPreviousResponse sends the response to an earlier request.
	faultPreviousResponse
	// faultMissingID omits the request ID.
	faultMissingID
	// faultTrailingBytes sends bytes after the end of the response.
	faultTrailingBytes
	// faultUnframed sends a body with neither a length nor chunked encoding.
	faultUnframed
	// faultResetBeforeRun closes the connection without running the request.
	faultResetBeforeRun
	// faultResetAfterRun runs the request and closes the connection.
	faultResetAfterRun
	// faultCount is the number of faults.
	faultCount
)

// faultyServer is a backend server with random faults that records which requests it ran.
type faultyServer struct {
	log *requestLog
	// faultRate is the fraction of requests with a fault.
	faultRate float64

	mu     sync.Mutex
	rand   *rand.Rand
	active int
	// previous is the last response that was sent.
	previous string
}

// faultySlots is the number of slots of a faultyServer.
const faultySlots = 4

// newFaultyServer returns a server whose faults are determined by the seed.
func newFaultyServer(l *requestLog, seed uint64, rate float64) *faultyServer {
	return &faultyServer{log: l, faultRate: rate, rand: rand.New(rand.NewPCG(seed, seed))}
}

// draw returns a random fault and service time.
func (f *faultyServer) draw() (backendFault, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	service := time.Millisecond + time.Duration(f.rand.IntN(5))*time.Millisecond
	if f.rand.Float64() >= f.faultRate {
		return faultNone, service
	}
	return backendFault(f.rand.IntN(int(faultCount))), service
}

// acquire takes a slot. It returns the number of slots that are left, or false if none was free.
func (f *faultyServer) acquire() (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.active >= faultySlots {
		return 0, false
	}
	f.active++
	return faultySlots - f.active, true
}

// release frees a slot.
func (f *faultyServer) release() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.active--
}

// swapPrevious stores a response and returns the one before it, for faultPreviousResponse.
func (f *faultyServer) swapPrevious(response string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	previous := f.previous
	f.previous = response
	return previous
}

// expectedBody returns the complete response body for a request with the token.
func expectedBody(token string, size int) string {
	return strings.Repeat(token+" ", size/(len(token)+1)+1)
}

// ServeHTTP runs a request or injects a fault.
func (f *faultyServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := ident.Request(r.Header.Get(server.HeaderRequest))
	f.log.recordReceived(id)
	injected, service := f.draw()
	w.Header().Set(server.HeaderRequest, string(id))
	free, ok := f.acquire()
	if ok {
		defer f.release()
	}
	switch {
	case !ok || injected == faultRefuseBusy:
		refuse(w, server.RefusedBusy)
		return
	case injected == faultRefuseDraining:
		refuse(w, server.RefusedDraining)
		return
	case injected == faultResetBeforeRun:
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(server.HeaderFreeSlots, strconv.Itoa(free))
	token, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f.log.recordRun(id, string(token))
	time.Sleep(service)
	size, _ := strconv.Atoi(r.Header.Get(headerSize))
	f.respond(w, injected, id, expectedBody(string(token), size))
}

// refuse responds that the request was not run.
func refuse(w http.ResponseWriter, reason string) {
	w.Header().Set(server.HeaderRefused, reason)
	w.WriteHeader(http.StatusServiceUnavailable)
}

// respond sends a response, with the injected fault.
func (f *faultyServer) respond(w http.ResponseWriter, injected backendFault, id ident.Request, body string) {
	previous := f.swapPrevious(responseHead(id, len(body)) + body)
	complete := responseHead(id, len(body)) + body
	switch injected {
	case faultServerError:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, body)
	case faultLateResponse:
		time.Sleep(3 * testTimeout)
		writeRaw(w, complete)
	case faultTruncated:
		writeRaw(w, complete[:len(complete)-len(body)/2-1])
	case faultTruncatedChunked:
		writeRaw(w, "HTTP/1.1 200 OK\r\n"+server.HeaderRequest+": "+string(id)+"\r\nTransfer-Encoding: chunked\r\n\r\n"+
			fmt.Sprintf("%x\r\n%s\r\n", len(body)/2, body[:len(body)/2]))
	case faultDuplicateResponse:
		writeRawKeepOpen(w, complete+complete)
	case faultPreviousResponse:
		writeRawKeepOpen(w, previous)
	case faultMissingID:
		writeRaw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	case faultTrailingBytes:
		writeRawKeepOpen(w, complete+"and more")
	case faultUnframed:
		writeRaw(w, "HTTP/1.1 200 OK\r\n"+server.HeaderRequest+": "+string(id)+"\r\n\r\n"+body[:len(body)/2])
	case faultResetAfterRun:
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, body)
	}
}

// responseHead returns the status line and header of a raw response.
func responseHead(id ident.Request, size int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", server.HeaderRequest, id, size)
}

// writeRaw writes text to the connection and closes it.
func writeRaw(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}

// writeRawKeepOpen writes text to the connection and closes it after 20 ms.
func writeRawKeepOpen(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, text)
	time.Sleep(20 * time.Millisecond)
	_ = conn.Close()
}

// pipeListener accepts in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

// newPipeListener returns an open listener.
func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

// dial opens a connection to the listener.
func (l *pipeListener) dial() (net.Conn, error) {
	client, peer := net.Pipe()
	select {
	case l.conns <- peer:
		return client, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Accept waits for a connection.
func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

// Close makes pending and later calls of Accept and dial fail.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns a placeholder address.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }
