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

// headerSize tells a faulty server how large its answer is to be, in bytes.
const headerSize = "X-Size"

// ledger records which requests ran on the servers.
type ledger struct {
	mu       sync.Mutex
	byID     map[ident.Request]int
	received map[ident.Request]int
	byToken  map[string]int
}

func newLedger() *ledger {
	return &ledger{byID: map[ident.Request]int{}, received: map[ident.Request]int{}, byToken: map[string]int{}}
}

func (l *ledger) receive(id ident.Request) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.received[id]++
}

func (l *ledger) run(id ident.Request, token string) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.byID[id]++
	l.byToken[token]++
}

// backendFault is what a faulty server does with one request.
type backendFault int

const (
	noFault backendFault = iota
	failStatus
	refuseBusy
	refuseDraining
	answerLate
	cutAnswer
	cutChunked
	answerTwice
	answerCrossed
	answerWithoutID
	answerTooLong
	answerUndelimited
	resetBefore
	resetAfter
	backendFaults
)

// faulty is a backend server that misbehaves at random and records what it ran.
type faulty struct {
	ledger *ledger
	// rate is the share of requests that meet a fault.
	rate float64

	mu    sync.Mutex
	rand  *rand.Rand
	busy  int
	other string
}

const faultySlots = 4

func newFaulty(l *ledger, seed uint64, rate float64) *faulty {
	return &faulty{ledger: l, rate: rate, rand: rand.New(rand.NewPCG(seed, seed))}
}

// draw chooses a fault and a time of service.
func (f *faulty) draw() (backendFault, time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	service := time.Millisecond + time.Duration(f.rand.IntN(5))*time.Millisecond
	if f.rand.Float64() >= f.rate {
		return noFault, service
	}
	return backendFault(f.rand.IntN(int(backendFaults))), service
}

func (f *faulty) enter() (int, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.busy >= faultySlots {
		return 0, false
	}
	f.busy++
	return faultySlots - f.busy, true
}

func (f *faulty) leave() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.busy--
}

// swap keeps the last answer and returns the one before, for crossed answers.
func (f *faulty) swap(answer string) string {
	f.mu.Lock()
	defer f.mu.Unlock()
	before := f.other
	f.other = answer
	return before
}

// expected is the whole answer to a request with a token.
func expected(token string, size int) string {
	return strings.Repeat(token+" ", size/(len(token)+1)+1)
}

// ServeHTTP runs a request, or meets a fault.
func (f *faulty) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := ident.Request(r.Header.Get(server.HeaderRequest))
	f.ledger.receive(id)
	fault, service := f.draw()
	w.Header().Set(server.HeaderRequest, string(id))
	free, ok := f.enter()
	if ok {
		defer f.leave()
	}
	switch {
	case !ok || fault == refuseBusy:
		refuse(w, server.RefusedBusy)
		return
	case fault == refuseDraining:
		refuse(w, server.RefusedDraining)
		return
	case fault == resetBefore:
		panic(http.ErrAbortHandler)
	}
	w.Header().Set(server.HeaderFreeSlots, strconv.Itoa(free))
	token, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	f.ledger.run(id, string(token))
	time.Sleep(service)
	size, _ := strconv.Atoi(r.Header.Get(headerSize))
	f.answer(w, fault, id, expected(string(token), size))
}

func refuse(w http.ResponseWriter, sign string) {
	w.Header().Set(server.HeaderRefused, sign)
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (f *faulty) answer(w http.ResponseWriter, fault backendFault, id ident.Request, body string) {
	before := f.swap(head(id, len(body)) + body)
	whole := head(id, len(body)) + body
	switch fault {
	case failStatus:
		w.WriteHeader(http.StatusInternalServerError)
		_, _ = io.WriteString(w, body)
	case answerLate:
		time.Sleep(3 * testTimeout)
		raw(w, whole)
	case cutAnswer:
		raw(w, whole[:len(whole)-len(body)/2-1])
	case cutChunked:
		raw(w, "HTTP/1.1 200 OK\r\n"+server.HeaderRequest+": "+string(id)+"\r\nTransfer-Encoding: chunked\r\n\r\n"+
			fmt.Sprintf("%x\r\n%s\r\n", len(body)/2, body[:len(body)/2]))
	case answerTwice:
		rawKept(w, whole+whole)
	case answerCrossed:
		rawKept(w, before)
	case answerWithoutID:
		raw(w, fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body))
	case answerTooLong:
		rawKept(w, whole+"and more")
	case answerUndelimited:
		raw(w, "HTTP/1.1 200 OK\r\n"+server.HeaderRequest+": "+string(id)+"\r\n\r\n"+body[:len(body)/2])
	case resetAfter:
		panic(http.ErrAbortHandler)
	default:
		_, _ = io.WriteString(w, body)
	}
}

func head(id ident.Request, size int) string {
	return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\nContent-Length: %d\r\n\r\n", server.HeaderRequest, id, size)
}

// raw writes bytes to the connection and closes it.
func raw(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, text)
	_ = conn.Close()
}

// rawKept writes bytes to the connection and closes it after a while.
func rawKept(w http.ResponseWriter, text string) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(err)
	}
	_, _ = io.WriteString(conn, text)
	time.Sleep(20 * time.Millisecond)
	_ = conn.Close()
}

// pipeListener accepts the far ends of in-memory connections.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
	once   sync.Once
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) dial() (net.Conn, error) {
	near, far := net.Pipe()
	select {
	case l.conns <- far:
		return near, nil
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

// Close ends Accept.
func (l *pipeListener) Close() error {
	l.once.Do(func() { close(l.closed) })
	return nil
}

// Addr returns a name.
func (l *pipeListener) Addr() net.Addr { return &net.UnixAddr{Name: "pipe"} }
