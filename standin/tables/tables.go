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
	// Faults holds the simulated faults that are active, which apply before and after each call; nil for none.
	Faults *faults.Set
	// RecordWrites keeps a record of all applied writes, which Service.Writes returns.
	RecordWrites bool
	// PageBytes is the size in bytes at which a page of query results ends; 0 means 1 MiB.
	PageBytes int
}

// AppliedWrite records a write that was applied to an item of the table.
type AppliedWrite struct {
	Key      table.Key
	Revision uint64
	Token    ident.WriteToken
	Body     []byte
	// Deleted reports whether the write deleted the item; otherwise it stored the item with Revision, Token and Body.
	Deleted bool
}

// Counts holds the number of calls that were processed, successful or not, by the name of the API operation.
type Counts map[string]uint64

// Service simulates a table service with one table, which it keeps in memory. It implements http.Handler.
type Service struct {
	config Config

	mu           sync.Mutex
	items        map[table.Key]itemVersions
	transactions map[string]transaction
	// transactionOrder holds the same values as transactions, the one applied first at the front.
	transactionOrder []transaction
	writes           []AppliedWrite
	counts           Counts
}

// itemVersions holds an item (current) and its state before the last write (previous). Each is nil if the item does not
// or did not exist.
type itemVersions struct {
	current  *table.Item
	previous *table.Item
}

// transaction records an applied transaction, so that a repetition with the same ClientRequestToken has no effect.
type transaction struct {
	token     string
	digest    [sha256.Size]byte
	appliedAt time.Time
}

// Header prefix, limits and defaults of the DynamoDB API.
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

// Writes returns all applied writes in the order in which they were applied. It is empty unless Config.RecordWrites is
// set.
func (s *Service) Writes() []AppliedWrite {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]AppliedWrite(nil), s.writes...)
}

// Counts returns the number of calls that were processed so far, by operation.
func (s *Service) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	counts := Counts{}
	for op, n := range s.counts {
		counts[op] = n
	}
	return counts
}

// ServeHTTP handles one call of the DynamoDB API.
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

// injectedFailure returns the error for a call that an active Down or Throttle fault prevents, or nil. If a Cut fault
// is active, it closes the connection instead.
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

// call counts a call of the operation op and processes it under the service's lock.
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

// decodeAndCall decodes a request body and passes it to call. It rejects unknown fields, so that a parameter that is
// not implemented is never silently ignored.
func decodeAndCall[In any](body []byte, call func(In) (any, error)) (any, error) {
	var input In
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(&input); err != nil {
		return nil, validationError(err.Error())
	}
	return call(input)
}

// writeJSON writes body as a response of the DynamoDB API (JSON 1.0).
func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/x-amz-json-1.0")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
