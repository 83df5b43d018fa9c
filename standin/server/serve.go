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

// Response is the body of an answer.
type Response struct {
	Request ident.Request
	Server  ident.Server
	Method  string
	Path    string
	// Received is the size of the request's body in bytes, and Sha256 its digest in hexadecimal.
	Received int64
	Sha256   string
	// Padding fills the answer up to the size that the query asks for.
	Padding string
}

// answer is an encoded Answer with the id that it was made for.
type answer struct {
	request ident.Request
	body    []byte
}

const (
	headerKey  = "Idempotency-Key"
	maxBody    = 64 << 20
	maxPadding = 64 << 20
	retryAfter = "1"
)

// ServeHTTP runs one request. The query may name its work (work=20ms) and the size of the answer (size=1000).
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.config.Faults.Has(s.place, faults.Die) {
		faults.Abort()
	}
	s.config.Faults.Delay(r.Context(), s.place)
	if _, ok := s.config.Faults.Trigger(s.place, faults.Cut); ok {
		faults.Abort()
	}
	if s.config.Faults.Has(s.place, faults.Leave) {
		s.refuse(w, wire.RefusedDraining)
		return
	}
	if !s.take() {
		s.refuse(w, wire.RefusedBusy)
		return
	}
	defer s.release()
	s.run(w, r)
}

func (s *Server) refuse(w http.ResponseWriter, reason string) {
	s.config.Ledger.RecordRefusal(reason)
	w.Header().Set(wire.HeaderRefused, reason)
	w.Header().Set(wire.HeaderFreeSlots, strconv.Itoa(s.free()))
	w.Header().Set("Retry-After", retryAfter)
	if reason == wire.RefusedDraining {
		w.Header().Set("Connection", "close")
	}
	w.WriteHeader(http.StatusServiceUnavailable)
}

func (s *Server) run(w http.ResponseWriter, r *http.Request) {
	work, size, err := parseQuery(r)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	request := ident.Request(r.Header.Get(wire.HeaderRequest))
	s.config.Ledger.RecordRequest(s.config.Name, request, ident.IdempotencyKey(r.Header.Get(headerKey)), r.URL.Path)
	digest := sha256.New()
	received, err := io.Copy(digest, http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		faults.Abort()
	}
	time.Sleep(work)
	a := s.compose(r, request, received, hex.EncodeToString(digest.Sum(nil)), size)
	s.reply(r.Context(), w, a)
}

func parseQuery(r *http.Request) (work time.Duration, size int, err error) {
	query := r.URL.Query()
	if text := query.Get("work"); text != "" {
		if work, err = time.ParseDuration(text); err != nil {
			return 0, 0, err
		}
	}
	if text := query.Get("size"); text != "" {
		if size, err = strconv.Atoi(text); err != nil {
			return 0, 0, err
		}
	}
	return work, min(size, maxPadding), nil
}

func (s *Server) compose(r *http.Request, id ident.Request, received int64, digest string, size int) answer {
	full := Response{
		Request:  id,
		Server:   s.config.Name,
		Method:   r.Method,
		Path:     r.URL.Path,
		Received: received,
		Sha256:   digest,
	}
	body, _ := json.Marshal(full)
	if len(body) < size {
		full.Padding = strings.Repeat("x", size-len(body))
		body, _ = json.Marshal(full)
	}
	return answer{request: id, body: body}
}

// reply sends the answer as the faults say.
func (s *Server) reply(ctx context.Context, w http.ResponseWriter, a answer) {
	draw := func(kind faults.Kind) bool {
		_, ok := s.config.Faults.Trigger(s.place, kind)
		return ok
	}
	before := s.exchange(a)
	if s.config.Faults.Has(s.place, faults.Die) || draw(faults.LoseAnswer) {
		faults.Abort()
	}
	if f, ok := s.config.Faults.Trigger(s.place, faults.Late); ok {
		time.Sleep(f.Delay.Std())
	}
	s.config.Faults.WaitWhileFrozen(ctx, s.place)
	switch {
	case draw(faults.Stall):
		<-ctx.Done()
		faults.Abort()
	case draw(faults.FailAll):
		s.write(w, http.StatusInternalServerError, a.request, []byte("{}"))
	case draw(faults.Cross) && before.request != "":
		s.write(w, http.StatusOK, before.request, before.body)
	case draw(faults.Truncate):
		s.truncate(w, a)
	case draw(faults.Twice):
		s.twice(w, a)
	default:
		s.write(w, http.StatusOK, a.request, a.body)
	}
}

func (s *Server) header(w http.ResponseWriter, id ident.Request, length int) {
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(length))
	w.Header().Set(wire.HeaderRequest, string(id))
	w.Header().Set(wire.HeaderFreeSlots, strconv.Itoa(s.free()+1))
}

func (s *Server) write(w http.ResponseWriter, status int, id ident.Request, body []byte) {
	s.header(w, id, len(body))
	w.WriteHeader(status)
	_, _ = w.Write(body)
}

// truncate sends half of the body that the header tells.
func (s *Server) truncate(w http.ResponseWriter, a answer) {
	s.header(w, a.request, len(a.body))
	w.WriteHeader(http.StatusOK)
	_, _ = w.Write(a.body[:len(a.body)/2])
	_ = http.NewResponseController(w).Flush()
	faults.Abort()
}

// twice sends two answers for one request on the connection and keeps it open for a while.
func (s *Server) twice(w http.ResponseWriter, a answer) {
	conn, buffer, err := http.NewResponseController(w).Hijack()
	if err != nil {
		faults.Abort()
	}
	for range 2 {
		_, _ = buffer.WriteString("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
		_, _ = buffer.WriteString(wire.HeaderRequest + ": " + string(a.request) + "\r\n")
		_, _ = buffer.WriteString("Content-Length: " + strconv.Itoa(len(a.body)) + "\r\n\r\n")
		_, _ = buffer.Write(a.body)
	}
	_ = buffer.Flush()
	time.AfterFunc(lingerTwice, func() { _ = conn.Close() })
}

// lingerTwice is how long a connection with two answers stays open.
const lingerTwice = time.Second
