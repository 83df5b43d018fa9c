package main

import (
	"encoding/json"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// txTime is how long the store takes for a transaction.
const txTime = 3 * time.Millisecond

// maxPage is the number of rows that the store returns at a time.
const maxPage = 500

// rowID names a row of the store.
type rowID struct {
	Table string `json:"table"`
	Part  string `json:"part"`
	Key   string `json:"key"`
}

// row is a row of the store, as it is sent.
type row struct {
	rowID
	Value   []byte `json:"value"`
	Ver     uint64 `json:"ver"`
	Deleted bool   `json:"deleted,omitempty"`
}

// storeServer is a stand-in for the platform's store.
type storeServer struct {
	started time.Time

	mu      sync.Mutex
	rows    map[rowID]row
	log     []row
	ver     uint64
	changed chan struct{}
}

// newStore returns an empty store.
func newStore() *storeServer {
	return &storeServer{started: time.Now(), rows: map[rowID]row{}, changed: make(chan struct{})}
}

// expectation is a condition of a transaction.
type expectation struct {
	rowID
	Ver uint64 `json:"ver"`
}

// transaction is the body of a rows-tx call.
type transaction struct {
	Expected []expectation `json:"expected"`
	SetKeys  []row         `json:"set_keys"`
	Remove   []rowID       `json:"remove"`
}

// answer is the body of the store's responses about rows.
type answer struct {
	Rows    []row  `json:"rows"`
	HasMore bool   `json:"has_more"`
	Ver     uint64 `json:"ver"`
	NowMs   int64  `json:"now_ms"`
}

// apply runs a transaction. It returns the rows of the expectations if one of them does not hold.
func (s *storeServer) apply(t transaction) (answer, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var current []row
	holds := true
	for _, e := range t.Expected {
		found, ok := s.rows[e.rowID]
		if ok {
			current = append(current, found)
		}
		if found.Ver != e.Ver {
			holds = false
		}
	}
	if !holds {
		return s.answer(current), false
	}
	s.ver++
	for _, set := range t.SetKeys {
		set.Ver, set.Deleted = s.ver, false
		s.rows[set.rowID] = set
		s.log = append(s.log, set)
	}
	for _, id := range t.Remove {
		if _, ok := s.rows[id]; ok {
			delete(s.rows, id)
			s.log = append(s.log, row{rowID: id, Ver: s.ver, Deleted: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return s.answer(nil), true
}

// put writes a row as the operator or an executor does.
func (s *storeServer) put(table, key string, value any) {
	encoded, err := json.Marshal(value)
	check(err)
	s.apply(transaction{SetKeys: []row{{rowID: rowID{Table: table, Key: key}, Value: encoded}}})
}

// remove removes a row as the platform does.
func (s *storeServer) remove(table, key string) {
	s.apply(transaction{Remove: []rowID{{Table: table, Key: key}}})
}

// answer returns an answer with rows. The caller must hold mu.
func (s *storeServer) answer(rows []row) answer {
	if rows == nil {
		rows = []row{}
	}
	return answer{Rows: rows, Ver: s.ver, NowMs: time.Since(s.started).Milliseconds()}
}

// list returns the rows of a range.
func (s *storeServer) list(table, part, from, target string, limit int) answer {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	for id, r := range s.rows {
		if id.Table == table && id.Part == part && id.Key >= from && (target == "" || id.Key < target) {
			found = append(found, r)
		}
	}
	sort.Slice(found, func(a, b int) bool { return found[a].Key < found[b].Key })
	more := len(found) > limit
	if more {
		found = found[:limit]
	}
	a := s.answer(found)
	a.HasMore = more
	return a
}

// feed returns the changes of a table after a version, and waits for one.
func (s *storeServer) feed(r *http.Request, table string, after uint64, wait time.Duration) answer {
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		s.mu.Lock()
		var found []row
		for i := sort.Search(len(s.log), func(i int) bool { return s.log[i].Ver > after }); i < len(s.log); i++ {
			if s.log[i].Table == table {
				found = append(found, s.log[i])
			}
		}
		a, changed := s.answer(found), s.changed
		s.mu.Unlock()
		if len(found) > 0 {
			return a
		}
		select {
		case <-changed:
		case <-timer.C:
			return a
		case <-r.Context().Done():
			return a
		}
	}
}

// ServeHTTP serves the store's calls.
func (s *storeServer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	switch r.URL.Path {
	case "/-/rows-tx":
		var t transaction
		if json.NewDecoder(r.Body).Decode(&t) != nil {
			w.WriteHeader(http.StatusBadRequest)
			return
		}
		for _, set := range t.SetKeys {
			if set.Table == "op" || set.Table == "servers" {
				w.WriteHeader(http.StatusForbidden)
				return
			}
		}
		time.Sleep(txTime)
		a, ok := s.apply(t)
		status := http.StatusOK
		if !ok {
			status = http.StatusPreconditionFailed
		}
		reply(w, status, a)
	case "/-/rows-get":
		limit, err := strconv.Atoi(q.Get("limit"))
		if err != nil || limit <= 0 || limit > maxPage {
			limit = maxPage
		}
		reply(w, http.StatusOK, s.list(q.Get("table"), q.Get("part"), q.Get("from"), q.Get("target"), limit))
	case "/-/rows-feed":
		after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
		waitMs, _ := strconv.Atoi(q.Get("wait_ms"))
		reply(w, http.StatusOK, s.feed(r, q.Get("table"), after, time.Duration(waitMs)*time.Millisecond))
	default:
		w.WriteHeader(http.StatusNotFound)
	}
}

// reply sends a JSON response.
func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(body)
}
