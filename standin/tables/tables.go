// Package tables simulates the table service. It implements the operations and condition expressions of the DynamoDB API
// (JSON 1.0) that package table uses, and rejects all others with the errors of that API.
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

// Config configures a Service.
type Config struct {
	// Faults holds the active faults, which are applied before and after each call; nil for none.
	Faults *faults.Set
	// RecordWrites records all applied writes for Writes.
	RecordWrites bool
	// PageBytes is the size at which a page of query results ends; 0 means 1 MiB.
	PageBytes int
}

// AppliedWrite is a write that was applied to the table.
type AppliedWrite struct {
	Key      table.Key
	Revision uint64
	Token    ident.WriteToken
	Body     []byte
	// Deleted reports whether the write deleted the item.
	Deleted bool
}

// Counts holds the number of processed calls, successful or not, by operation.
type Counts map[string]uint64

// Service is a simulated table service. It implements http.Handler.
type Service struct {
	config Config

	mu           sync.Mutex
	items        map[table.Key]itemVersions
	transactions map[string]transaction
	// transactionOrder holds the values of transactions, oldest first.
	transactionOrder []transaction
	writes           []AppliedWrite
	counts           Counts
}

// itemVersions is an item and its state before the last write; nil if it does not exist.
type itemVersions struct {
	current  *table.Item
	previous *table.Item
}

// transaction is an applied transaction. It is kept so that a repetition with its ClientRequestToken has no effect.
type transaction struct {
	token     string
	digest    [sha256.Size]byte
	appliedAt time.Time
}

// Limits and constants of the DynamoDB API.
const (
	targetPrefix     = "DynamoDB_20120810."
	tokenLifetime    = 10 * time.Minute
	defaultPageBytes = 1 << 20
	maxItemBytes     = 400 << 10
	maxRequestBytes  = 4 << 20
)

// New creates a Service with an empty table.
func New(config Config) *Service {
	if config.Faults == nil {
		config.Faults = faults.New(0)
	}
	if config.PageBytes == 0 {
		config.PageBytes = defaultPageBytes
	}
	return &Service{
		config:       config,
		items:        map[table.Key]itemVersions{},
		transactions: map[string]transaction{},
		counts:       Counts{},
	}
}

// Writes returns all applied writes in order. It is empty unless Config.RecordWrites is set.
func (s *Service) Writes() []AppliedWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]AppliedWrite(nil), s.writes...)
}

// Counts returns the number of processed calls by operation.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := Counts{}
	for op, n := range s.counts {
		counts[op] = n
	}
	return counts
}

// ServeHTTP handles one API call.
func (s *Service) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	component := faults.Component{Peer: faults.Table}
	op, ok := strings.CutPrefix(r.Header.Get("X-Amz-Target"), targetPrefix)
	if !ok || r.Method != http.MethodPost {
		writeJSON(w, 400, newAPIError(400, "UnknownOperationException", ""))
		return
	}
	var body bytes.Buffer
	if _, err := body.ReadFrom(http.MaxBytesReader(w, r.Body, maxRequestBytes)); err != nil {
		writeJSON(w, 400, newAPIError(400, "SerializationException", err.Error()))
		return
	}
	s.config.Faults.Delay(r.Context(), component)
	if failure := s.injectedFailure(component); failure != nil {
		writeJSON(w, failure.status, failure)
		return
	}
	result, err := s.call(op, body.Bytes())
	if _, loseAnswer := s.config.Faults.Trigger(component, faults.LoseAnswer); loseAnswer {
		faults.Abort()
	}
	var failure *apiError
	if errors.As(err, &failure) {
		writeJSON(w, failure.status, failure)
		return
	}
	writeJSON(w, http.StatusOK, result)
}

// injectedFailure returns the error of a fault that prevents the call, or nil.
func (s *Service) injectedFailure(component faults.Component) *apiError {
	if _, ok := s.config.Faults.Trigger(component, faults.Cut); ok {
		faults.Abort()
	}
	if _, ok := s.config.Faults.Trigger(component, faults.Down); ok {
		return newAPIError(500, "InternalServerError", "The service is down")
	}
	if _, ok := s.config.Faults.Trigger(component, faults.Throttle); ok {
		return newAPIError(400, "ProvisionedThroughputExceededException", "The throughput is exceeded")
	}
	return nil
}

// call counts and processes one call under the lock.
func (s *Service) call(op string, body []byte) (any, error) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts[op]++
	switch op {
	case "GetItem":
		return decodeAndCall(body, s.getItem)
	case "PutItem":
		return decodeAndCall(body, s.putItem)
	case "Query":
		return decodeAndCall(body, s.query)
	case "TransactWriteItems":
		return decodeAndCall(body, s.transactWriteItems)
	}
	return nil, newAPIError(400, "UnknownOperationException", op+" is not served")
}

// decodeAndCall decodes a request body and processes it. It rejects unknown fields, so that a parameter that is not
// implemented is never silently ignored.
func decodeAndCall[In any](body []byte, call func(In) (any, error)) (any, error) {
	var input In
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&input); err != nil {
		return nil, validationError(err.Error())
	}
	return call(input)
}

// writeJSON writes body as a response of the JSON 1.0 protocol.
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
