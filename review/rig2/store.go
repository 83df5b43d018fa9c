package main

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	// txTime is how long a transaction takes.
	txTime = 3 * time.Millisecond
	// maxPageRows is the maximum number of rows in an answer.
	maxPageRows = 500
	// heartbeat is the period of the executors' heartbeats, and maxMissed the number of missed ones after which an entry is
	// removed.
	heartbeat = 1500 * time.Millisecond
	maxMissed = 3
)

// rowKey names a row.
type rowKey struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row in answers. A removed row is marked as deleted.
type row struct {
	rowKey
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// transaction is the body of a rows-tx call.
type transaction struct {
	Expected []struct {
		rowKey
		Ver uint64 `json:"ver"`
	} `json:"expected"`
	SetKeys []struct {
		rowKey
		Value []byte `json:"value"`
	} `json:"set_keys"`
	Remove []rowKey `json:"remove"`
	Across bool     `json:"across"`
}

// storeAnswer is the body of an answer of the store.
type storeAnswer struct {
	Rows    []row  `json:"rows"`
	Ver     uint64 `json:"ver"`
	HasMore bool   `json:"has_more"`
	NowMs   int64  `json:"now_ms"`
}

// tableStore is a stand-in of the platform's store, in memory. It loses nothing and its answers are linearizable.
type tableStore struct {
	mu      sync.Mutex
	started time.Time
	rows    map[rowKey]row
	log     []row
	version uint64
	changed chan struct{}
	// beats holds when each executor last registered.
	beats map[string]time.Time
	// refuseUntil is until when the store answers 503 to all calls of the instances.
	refuseUntil time.Time
	// lastWriter is the instance that last wrote under a condition on the table that all instances compete for.
	lastWriter int
}

// newTableStore returns an empty store.
func newTableStore() *tableStore {
	return &tableStore{started: time.Now(), rows: map[rowKey]row{}, changed: make(chan struct{}), beats: map[string]time.Time{}}
}

// handler serves the store to an instance, which is known by its number.
func (s *tableStore) handler(instance int) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /-/rows-tx", func(w http.ResponseWriter, r *http.Request) { s.serveTx(w, r, instance) })
	mux.HandleFunc("GET /-/rows-get", s.serveGet)
	mux.HandleFunc("GET /-/rows-feed", s.serveFeed)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.refuses() {
			w.WriteHeader(http.StatusServiceUnavailable)
			return
		}
		mux.ServeHTTP(w, r)
	})
}

// refuseFor makes the store answer 503 to all calls of the instances for a time.
func (s *tableStore) refuseFor(d time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.refuseUntil = time.Now().Add(d)
}

// refuses reports whether the store answers 503 now.
func (s *tableStore) refuses() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.refuseUntil)
}

// serveTx serves a transaction of an instance.
func (s *tableStore) serveTx(w http.ResponseWriter, r *http.Request, instance int) {
	var tx transaction
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	time.Sleep(txTime)
	parts := map[string]bool{}
	for _, p := range tx.SetKeys {
		parts[p.Part] = true
		if p.Table == "op" || p.Table == "servers" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, k := range tx.Remove {
		parts[k.Part] = true
	}
	for _, e := range tx.Expected {
		parts[e.Part] = true
	}
	if len(parts) > 1 && !tx.Across || len(tx.Expected)+len(tx.SetKeys)+len(tx.Remove) > 100 {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	answer, ok := s.apply(tx, instance)
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	writeJSON(w, status, answer)
}

// apply applies all entries of a transaction or none of them.
func (s *tableStore) apply(tx transaction, instance int) (storeAnswer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := storeAnswer{Rows: []row{}, NowMs: time.Since(s.started).Milliseconds()}
	ok := true
	for _, e := range tx.Expected {
		current, exists := s.rows[e.rowKey]
		if exists {
			answer.Rows = append(answer.Rows, current)
		}
		ok = ok && current.Ver == e.Ver
	}
	answer.Ver = s.version
	if !ok {
		return answer, false
	}
	s.version++
	for _, p := range tx.SetKeys {
		s.change(row{rowKey: p.rowKey, Value: p.Value, Ver: s.version})
		if p.Table == "lease" && instance > 0 {
			s.lastWriter = instance
		}
	}
	for _, k := range tx.Remove {
		if _, exists := s.rows[k]; exists {
			s.change(row{rowKey: k, Ver: s.version, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return storeAnswer{Rows: []row{}, Ver: s.version, NowMs: answer.NowMs}, true
}

// change records a changed row. The caller must hold mu.
func (s *tableStore) change(r row) {
	s.log = append(s.log, r)
	if r.Deleted {
		delete(s.rows, r.rowKey)
		return
	}
	s.rows[r.rowKey] = r
}

// put writes a row for the operator or an executor.
func (s *tableStore) put(key rowKey, value []byte) {
	var tx transaction
	tx.SetKeys = append(tx.SetKeys, struct {
		rowKey
		Value []byte `json:"value"`
	}{key, value})
	s.apply(tx, 0)
}

// remove removes a row.
func (s *tableStore) remove(key rowKey) { s.apply(transaction{Remove: []rowKey{key}}, 0) }

// serveGet serves a page of a range.
func (s *tableStore) serveGet(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("limit"))
	if err != nil || limit < 1 || limit > maxPageRows {
		limit = maxPageRows
	}
	s.mu.Lock()
	answer := storeAnswer{Rows: []row{}, Ver: s.version, NowMs: time.Since(s.started).Milliseconds()}
	for key, found := range s.rows {
		if key.Table == q.Get("table") && key.Part == q.Get("part") && key.Key >= q.Get("from") && (q.Get("target") == "" || key.Key < q.Get("target")) {
			answer.Rows = append(answer.Rows, found)
		}
	}
	s.mu.Unlock()
	slices.SortFunc(answer.Rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	if len(answer.Rows) > limit {
		answer.Rows, answer.HasMore = answer.Rows[:limit], true
	}
	writeJSON(w, http.StatusOK, answer)
}

// serveFeed serves the changes of a table after a version, and waits for the first one.
func (s *tableStore) serveFeed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseUint(q.Get("after"), 10, 64)
	if err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	wait, _ := strconv.Atoi(q.Get("wait_ms"))
	timer := time.NewTimer(time.Duration(wait) * time.Millisecond)
	defer timer.Stop()
	for {
		answer, changed := s.changesAfter(q.Get("table"), after)
		if len(answer.Rows) > 0 {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			writeJSON(w, http.StatusOK, answer)
			return
		case <-r.Context().Done():
			return
		}
	}
}

// changesAfter returns the changes of a table after a version, and a channel that the next change closes.
func (s *tableStore) changesAfter(table string, after uint64) (storeAnswer, <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	answer := storeAnswer{Rows: []row{}, Ver: s.version, NowMs: time.Since(s.started).Milliseconds()}
	first, _ := slices.BinarySearchFunc(s.log, after+1, func(r row, v uint64) int {
		if r.Ver < v {
			return -1
		}
		return 1
	})
	for _, r := range s.log[first:] {
		if r.Table == table {
			answer.Rows = append(answer.Rows, r)
		}
	}
	return answer, s.changed
}

// registry serves the executors, which register here under their ids.
func (s *tableStore) registry() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /servers/{id}", func(w http.ResponseWriter, r *http.Request) {
		var entry json.RawMessage
		if err := json.NewDecoder(r.Body).Decode(&entry); err != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		id := r.PathValue("id")
		s.mu.Lock()
		s.beats[id] = time.Now()
		s.mu.Unlock()
		s.put(rowKey{Table: "servers", Key: id}, entry)
	})
	return mux
}

// dropSilent removes the entries of executors that have been silent for maxMissed heartbeats.
func (s *tableStore) dropSilent() {
	s.mu.Lock()
	var silent []string
	for id, at := range s.beats {
		if time.Since(at) > maxMissed*heartbeat {
			silent = append(silent, id)
			delete(s.beats, id)
		}
	}
	s.mu.Unlock()
	for _, id := range silent {
		s.remove(rowKey{Table: "servers", Key: id})
	}
}

// leader returns the number of the instance that last wrote under the condition of being the one that leads.
func (s *tableStore) leader() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.lastWriter
}

// writeJSON writes an answer.
func writeJSON(w http.ResponseWriter, status int, body any) {
	encoded, err := json.Marshal(body)
	if err != nil {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(encoded)
}
