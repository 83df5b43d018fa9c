package server

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	wire "github.com/sardineline/sardineline/sard/server"
	"github.com/sardineline/sardineline/standin/faults"
)

// Response is the JSON body of a response. It describes the request, so that a test can check that the response belongs
// to it.
type Response struct {
	Request ident.Request
	Server  ident.Server
	Method  string
	Path    string
	// Received is the size of the request body in bytes; Sha256 is the SHA-256 digest of that body in hexadecimal.
	Received int64
	Sha256   string
	// Padding extends the encoded Response to the minimum size given by the query parameter size.
	Padding string
}

// encodedResponse is a Response encoded as JSON, and the id of the request that it answers.
type encodedResponse struct {
	requestID ident.Request
	body      []byte
}

// Header, size limits and time to retry, in seconds, of the HTTP interface.
const (
	headerIdempotencyKey = "Idempotency-Key"
	maxRequestBodyBytes  = 64 << 20
	maxPaddingBytes      = 64 << 20
	retryAfterSeconds    = "1"
)

// ServeHTTP processes one request. The query parameter work sets the processing time (work=20ms), and size the minimum
// size of the response body in bytes (size=1000).
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.config.Faults.Has(s.component, faults.Die) {
		faults.Abort()
	}
	s.config.Faults.Delay(r.Context(), s.component)
	if _, ok := s.config.Faults.Trigger(s.component, faults.Cut); ok {
		faults.Abort()
	}
	if s.config.Faults.Has(s.component, faults.Leave) {
		s.refuse(w, wire.RefusedDraining)
		return
	}
	if !s.acquireSlot() {
		s.refuse(w, wire.RefusedBusy)
		return
	}
	defer s.releaseSlot()
	s.runRequest(w, r)
}

// refuse rejects a request with status 503 before it runs, and counts the refusal by reason in the ledger.
func (s *Server) refuse(w http.ResponseWriter, reason string) {
	s.config.Ledger.RecordRefusal(reason)
	w.Header().Set(wire.HeaderRefused, reason)
	w.Header().Set(wire.HeaderFreeSlots, strconv.Itoa(s.freeSlots()))
	w.Header().Set("Retry-After", retryAfterSeconds)
	if reason == wire.RefusedDraining {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

// runRequest records the start of a request in the ledger, reads its body, waits for its processing time and sends the
// response.
func (s *Server) runRequest(w http.ResponseWriter, r *http.Request) {
	duration, minSize, err := parseQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	requestID := ident.Request(r.Header.Get(wire.HeaderRequest))
	s.config.Ledger.RecordRequest(s.config.Name, requestID, ident.IdempotencyKey(r.Header.Get(headerIdempotencyKey)), r.URL.Path)
	hash := sha256.New()
	received, err := io.Copy(hash, http.MaxBytesReader(w, r.Body, maxRequestBodyBytes))
	if err != nil {
		faults.Abort()
	}
	time.Sleep(duration)
	resp := s.encodeResponse(r, requestID, received, hex.EncodeToString(hash.Sum(nil)), minSize)
	s.sendResponse(r.Context(), w, resp)
}

// parseQuery reads the processing time from the query parameter work and the minimum size of the response body, in
// bytes, from size.
func parseQuery(r *http.Request) (duration time.Duration, minSize int, err error) {
	query := r.URL.Query()
	if value := query.Get("work"); value != "" {
		if duration, err = time.ParseDuration(value); err != nil {
			return 0, 0, err
		}
	}
	if value := query.Get("size"); value != "" {
		if minSize, err = strconv.Atoi(value); err != nil {
			return 0, 0, err
		}
	}
	return duration, min(minSize, maxPaddingBytes), nil
}

// encodeResponse encodes the response to a request, padded to at least minSize bytes. received is the size of the
// request body and digest its SHA-256 digest.
func (s *Server) encodeResponse(r *http.Request, id ident.Request, received int64, digest string, minSize int) encodedResponse {
	response := Response{
		Request:  id,
		Server:   s.config.Name,
		Method:   r.Method,
		Path:     r.URL.Path,
		Received: received,
		Sha256:   digest,
	}
	body, _ := json.Marshal(response)
	if len(body) < minSize {
		response.Padding = strings.Repeat("x", minSize-len(body))
		body, _ = json.Marshal(response)
	}
	return encodedResponse{requestID: id, body: body}
}

// sendResponse sends a response. Active faults can delay, replace, truncate, duplicate or drop it.
func (s *Server) sendResponse(ctx context.Context, w http.ResponseWriter, resp encodedResponse) {
	triggered := func(kind faults.Kind) bool {
		_, ok := s.config.Faults.Trigger(s.component, kind)
		return ok
	}
	previous := s.swapLastResponse(resp)
	if s.config.Faults.Has(s.component, faults.Die) || triggered(faults.LoseAnswer) {
		faults.Abort()
	}
	if f, ok := s.config.Faults.Trigger(s.component, faults.Late); ok {
		time.Sleep(f.Delay.Std())
	}
	s.config.Faults.WaitWhileFrozen(ctx, s.component)
	switch {
	case triggered(faults.Stall):
		<-ctx.Done()
		faults.Abort()
	case triggered(faults.FailAll):
		s.writeResponse(w, http.StatusInternalServerError, resp.requestID, []byte("{}"))
	case triggered(faults.Cross) && previous.requestID != "":
		s.writeResponse(w, http.StatusOK, previous.requestID, previous.body)
	case triggered(faults.Truncate):
		s.writeTruncated(w, resp)
	case triggered(faults.Twice):
		s.writeTwice(w, resp)
	default:
		s.writeResponse(w, http.StatusOK, resp.requestID, resp.body)
	}
}

// setHeaders sets the headers of a response with a body of length bytes. The reported number of free slots includes
// that of the request itself, which is about to end.
func (s *Server) setHeaders(w http.ResponseWriter, id ident.Request, length int) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(length))
	w.Header().Set(wire.HeaderRequest, string(id))
	w.Header().Set(wire.HeaderFreeSlots, strconv.Itoa(s.freeSlots()+1))
}

func (s *Server) writeResponse(w http.ResponseWriter, status int, id ident.Request, body []byte) {
	s.setHeaders(w, id, len(body))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// writeTruncated sends the headers and half of the body, which is less than Content-Length says, and closes the
// connection.
func (s *Server) writeTruncated(w http.ResponseWriter, resp encodedResponse) {
	s.setHeaders(w, resp.requestID, len(resp.body))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(resp.body[:len(resp.body)/2])
	_ = http.NewResponseController(w).Flush()
	faults.Abort()
}

// writeTwice sends the response twice on the connection and keeps it open for duplicateResponseLinger.
func (s *Server) writeTwice(w http.ResponseWriter, resp encodedResponse) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		faults.Abort()
	}
	for range 2 {
		_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
		_, _ = buffer.WriteString(wire.HeaderRequest + ": " + string(resp.requestID) + "\r\n")
		_, _ = buffer.WriteString("Content-Length: " + strconv.Itoa(len(resp.body)) + "\r\n\r\n")
		_, _ = buffer.Write(resp.body)
	}
	_ = buffer.Flush()
	time.AfterFunc(duplicateResponseLinger, func() { _ = conn.Close() })
}

// duplicateResponseLinger is how long a connection stays open after a response was sent twice.
const duplicateResponseLinger = time.Second
