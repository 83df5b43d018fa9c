// Package tables plays the table service: the DynamoDB API (JSON 1.0) with the operations and condition forms that
// package table sends, and the API's own errors for all else.
package tables

import (
	"bytes"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/sardineline/sardineline/sard/ident"
	"github.com/sardineline/sardineline/sard/table"
	"github.com/sardineline/sardineline/standin/faults"
)

// Config makes a table service.
type Config struct {
	// Faults are asked before and after each call; nil for none.
	Faults *faults.Set
	// RecordWrites keeps all writes for Writes.
	RecordWrites bool
	// PageBytes is the size of a page of a query; 0 means 1 MiB.
	PageBytes int
}

// AppliedWrite is a write that took effect.
type AppliedWrite struct {
	Key      table.Key
	Revision uint64
	Token    ident.WriteToken
	Body     []byte
	// Deleted tells that the item was removed.
	Deleted bool
}

// Counts are the calls that were answered or failed, by operation.
type Counts map[string]uint64

// Service is the table service as an http.Handler.
type Service struct {
	config Config

	mu    sync.Mutex
	items map[table.Key]row
	done  map[string]transaction
	// order holds the transactions of done, the oldest first.
	order  []transaction
	writes []AppliedWrite
	counts Counts
}

// row is an item with what it was before its last write.
type row struct {
	now    *table.Item
	before *table.Item
}

// transaction is a batch that took effect, remembered for its ClientRequestToken.
type transaction struct {
	token   string
	payload [sha256.Size]byte
	at      time.Time
}

const (
	target        = "DynamoDB_20120810."
	tokenLifetime = 10 * time.Minute
	pageBytes     = 1 << 20
	maxItem       = 400 << 10
	maxCall       = 4 << 20
)

// New makes an empty table service.
func New(config Config) *Service {
	if config.Faults == nil {
		config.Faults = faults.New(0)
	}
	if config.PageBytes == 0 {
		config.PageBytes = pageBytes
	}
	return &Service{
		config: config,
		items:  map[table.Key]row{},
		done:   map[string]transaction{},
		counts: Counts{},
	}
}

// Writes returns all writes that took effect, in order, when the service records them.
func (s *Service) Writes() []AppliedWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]AppliedWrite(nil), s.writes...)
}

// Counts returns the number of calls by operation.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := Counts{}
	for op, n := range s.counts {
		counts[op] = n
	}
	return counts
}

// ServeHTTP answers one call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	at := faults.Component{Peer: faults.Table}
	op, ok := strings.CutPrefix(r.Header.Get("X-Amz-Target"), target)
	if !ok || r.Method != http.MethodPost {
		answer(w, 400, apiFailure(400, "UnknownOperationException", ""))
		return
	}
	var body bytes.Buffer
	if _, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, maxCall)); err != nil {
		answer(w, 400, apiFailure(400, "SerializationException", err.Error()))
		return
	}
	s.config.Faults.Delay(r.Context(), at)
	if failure := s.failure(at); failure != nil {
		answer(w, failure.status, failure)
		return
	}
	result, err := s.call(op, body.Bytes())
	if _, lost := s.config.Faults.Trigger(at, faults.LoseAnswer); lost {
		faults.Abort()
	}
	var failure *apiError
	if errors.As(err, &failure) {
		answer(w, failure.status, failure)
		return
	}
	answer(w, http.StatusOK, result)
}

func (s *Service) failure(at faults.Component) *apiError {
	if _, ok := s.config.Faults.Trigger(at, faults.Cut); ok {
		faults.Abort()
	}
	if _, ok := s.config.Faults.Trigger(at, faults.Down); ok {
		return apiFailure(500, "InternalServerError", "The service is down")
	}
	if _, ok := s.config.Faults.Trigger(at, faults.Throttle); ok {
		return apiFailure(400, "ProvisionedThroughputExceededException", "The throughput is exceeded")
	}
	return nil
}

func (s *Service) call(op string, body []byte) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[op]++
	switch op {
	case "GetItem":
		return decoded(body, s.get)
	case "PutItem":
		return decoded(body, s.put)
	case "Query":
		return decoded(body, s.query)
	case "TransactWriteItems":
		return decoded(body, s.transact)
	}
	return nil, apiFailure(400, "UnknownOperationException", op+" is not served")
}

// decoded reads a call strictly, so that a field that is not served is refused.
func decoded[In any](body []byte, call func(In) (any, error)) (any, error) {
	var in In
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&in); err != nil {
		return nil, invalid(err.Error())
	}
	return call(in)
}

func answer(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
