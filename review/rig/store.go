package main

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// Limits of the platform's store, from its settings.
const (
	maxRowBytes = 65536
	maxEntries  = 100
	maxPageRows = 500
	txTime      = 3 * time.Millisecond
)

// rowKey names a row of the store.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row with its value and version.
type row struct {
	rowKey
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// condition is the version that a row must have.
type condition struct {
	rowKey
	Ver uint64 `json:"ver"`
}

// transaction is the body of a write.
type transaction struct {
	Expected []condition `json:"expected"`
	SetKeys  []row       `json:"set_keys"`
	Remove   []rowKey    `json:"remove"`
	Across   bool        `json:"across"`
}

// writeFate says what happens to a write.
type writeFate struct {
	// late executes the write after this time, if its conditions still hold, and never answers it.
	late time.Duration
}

// Store is a stand-in of the platform's row store. Its zero value is ready for use.
type Store struct {
	mu      sync.Mutex
	rows    map[rowKey]row
	version uint64
	history []row
	changed chan struct{}
	started time.Time
	// fate decides what happens to a write, whose conditions hold at the moment or not, and busy refuses all calls; both are
	// nil without disruption.
	fate func(tx transaction, holds bool) writeFate
	busy func() bool
}

// NewStore returns an empty store.
func NewStore() *Store {
	return &Store{rows: map[rowKey]row{}, changed: make(chan struct{}), started: time.Now()}
}

// Put writes a row as the operator and the executors do.
func (s *Store) Put(table, key string, value any) {
	data, err := json.Marshal(value)
	must(err)
	s.apply(transaction{SetKeys: []row{{rowKey: rowKey{Table: table, Key: key}, Value: data}}})
}

// Remove deletes a row.
func (s *Store) Remove(table, key string) {
	s.apply(transaction{Remove: []rowKey{{Table: table, Key: key}}})
}

// apply executes a transaction. If a condition does not hold, it returns the current rows and false.
func (s *Store) apply(tx transaction) (current []row, version uint64, ok bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	ok = true
	for _, e := range tx.Expected {
		r, found := s.rows[e.rowKey]
		if found {
			current = append(current, r)
		}
		if r.Ver != e.Ver {
			ok = false
		}
	}
	if !ok {
		return current, s.version, false
	}
	s.version++
	for _, p := range tx.SetKeys {
		p.Ver, p.Deleted = s.version, false
		s.rows[p.rowKey] = p
		s.history = append(s.history, p)
	}
	for _, k := range tx.Remove {
		if _, found := s.rows[k]; found {
			delete(s.rows, k)
			s.history = append(s.history, row{rowKey: k, Ver: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil, s.version, true
}

// ServeHTTP serves the store's calls.
func (s *Store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if s.busy != nil && s.busy() {
		w.WriteHeader(http.StatusServiceUnavailable)
		return
	}
	switch r.URL.Path {
	case "/-/rows-tx":
		s.serveTx(w, r)
	case "/-/rows-get":
		s.serveGet(w, r)
	case "/-/rows-feed":
		s.serveFeed(w, r)
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// serveTx serves a write.
func (s *Store) serveTx(w http.ResponseWriter, r *http.Request) {
	var tx transaction
	if json.NewDecoder(r.Body).Decode(&tx) != nil || !tx.valid() {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	var fate writeFate
	if s.fate != nil {
		fate = s.fate(tx, s.holds(tx))
	}
	if fate.late > 0 {
		time.AfterFunc(fate.late, func() {
			_, _, ok := s.apply(tx)
			note("store", "late write of %s executed, its condition held: %v", tx.name(), ok)
		})
		// The channel delivers nothing further.
		<-r.Context().Done()
		panic(http.ErrAbortHandler)
	}
	time.Sleep(txTime)
	current, version, ok := s.apply(tx)
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	s.answer(w, status, map[string]any{"ver": version, "rows": notNil(current)})
}

// holds reports whether the conditions of a transaction hold.
func (s *Store) holds(tx transaction) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, e := range tx.Expected {
		if s.rows[e.rowKey].Ver != e.Ver {
			return false
		}
	}
	return true
}

// valid reports whether the transaction keeps the store's limits.
func (tx transaction) valid() bool {
	if len(tx.Expected)+len(tx.SetKeys)+len(tx.Remove) > maxEntries {
		return false
	}
	parts := map[string]bool{}
	for _, e := range tx.Expected {
		parts[e.Part] = true
	}
	for _, p := range tx.SetKeys {
		parts[p.Part] = true
		if len(p.Value) > maxRowBytes {
			noteOnce("store", fmt.Sprintf("refuses (400) the row %s/%s of %d bytes, the limit is %d", p.Table, p.Key, len(p.Value), maxRowBytes))
			return false
		}
	}
	for _, k := range tx.Remove {
		parts[k.Part] = true
	}
	return tx.Across || len(parts) <= 1
}

// name describes a transaction by the first row that it writes.
func (tx transaction) name() string {
	for _, p := range tx.SetKeys {
		return p.Table + "/" + p.Key
	}
	for _, k := range tx.Remove {
		return k.Table + "/" + k.Key
	}
	return "nothing"
}

// serveGet serves a page of rows.
func (s *Store) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit <= 0 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	page, version := []row{}, s.version
	for k, v := range s.rows {
		inRange := k.Key >= q.Get("from") && (q.Get("target") == "" || k.Key < q.Get("target"))
		if k.Table == q.Get("table") && k.Part == q.Get("part") && inRange {
			page = append(page, v)
		}
	}
	s.mu.Unlock()
	sort.Slice(page, func(i, j int) bool { return page[i].Key < page[j].Key })
	more := len(page) > limit
	if more {
		page = page[:limit]
	}
	s.answer(w, http.StatusOK, map[string]any{"rows": page, "has_more": more, "ver": version})
}

// serveFeed serves the changes of a table, and waits for one if there are none.
func (s *Store) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	waitMs, waitErr := strconv.Atoi(q.Get("wait_ms"))
	if err != nil || waitErr != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	timeout := time.After(time.Duration(waitMs) * time.Millisecond)
	for {
		s.mu.Lock()
		changes, version, changed := []row{}, s.version, s.changed
		for i := len(s.history) - 1; i >= 0 && s.history[i].Ver > after; i-- {
			if s.history[i].Table == q.Get("table") {
				changes = append(changes, s.history[i])
			}
		}
		s.mu.Unlock()
		sort.SliceStable(changes, func(i, j int) bool { return changes[i].Ver < changes[j].Ver })
		if len(changes) > 0 {
			s.answer(w, http.StatusOK, map[string]any{"rows": changes, "ver": version})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.answer(w, http.StatusOK, map[string]any{"rows": changes, "ver": version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// answer sends a response.
func (s *Store) answer(w http.ResponseWriter, status int, body map[string]any) {
	body["now_ms"] = time.Since(s.started).Milliseconds()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}

// notNil returns rows as a list that is encoded as such even if it is empty.
func notNil(rows []row) []row {
	if rows == nil {
		return []row{}
	}
	return rows
}
