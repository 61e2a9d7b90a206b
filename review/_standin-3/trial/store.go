package main

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"sort"
	"strconv"
	"sync"
	"time"
)

// storeRow is a row of the platform's store, as PROTOCOL.md writes it.
type storeRow struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     uint64
	Deleted bool `json:",omitempty"`
}

// store is a stand-in for the platform's store. It keeps its whole history, serves all calls
// at once and never fails.
type store struct {
	address string
	started time.Time

	mu      sync.Mutex
	version uint64
	rows    map[string]map[string]storeRow // by table and key
	log     []storeRow                     // all changes, in order
	changed chan struct{}                  // closed at the next change
}

// newStore serves a store on a free port.
func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{address: l.Addr().String(), started: time.Now(), rows: make(map[string]map[string]storeRow), changed: make(chan struct{})}
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.transact)
	go func() { _ = http.Serve(l, mux) }()
	return s, nil
}

// put writes a row, or deletes it if value is nil, and returns its version.
func (s *store) put(table, key string, value []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	r := storeRow{Table: table, Key: key, Value: value, Ver: s.version, Deleted: value == nil}
	if s.rows[table] == nil {
		s.rows[table] = make(map[string]storeRow)
	}
	if r.Deleted {
		delete(s.rows[table], key)
	} else {
		s.rows[table][key] = r
	}
	s.log = append(s.log, r)
	close(s.changed)
	s.changed = make(chan struct{})
	return s.version
}

// putJSON writes a row whose value is the JSON form of v.
func (s *store) putJSON(table, key string, v any) {
	raw, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	s.put(table, key, raw)
}

func (s *store) respond(w http.ResponseWriter, status int, fields map[string]any) {
	fields["Now"] = fmt.Sprintf("%dms", time.Since(s.started).Milliseconds())
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_ = json.NewEncoder(w).Encode(fields)
}

func (s *store) get(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit, err := strconv.Atoi(q.Get("Limit"))
	if err != nil || limit > 500 {
		limit = 500
	}
	s.mu.Lock()
	rows := []storeRow{}
	for key, row := range s.rows[q.Get("Table")] {
		if key >= q.Get("From") && (q.Get("Target") == "" || key < q.Get("Target")) {
			rows = append(rows, row)
		}
	}
	version := s.version
	s.mu.Unlock()
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	more := len(rows) > limit
	rows = rows[:min(len(rows), limit)]
	s.respond(w, http.StatusOK, map[string]any{"Rows": rows, "HasMore": more, "Ver": version})
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout := time.After(time.Duration(wait) * time.Millisecond)
	for {
		s.mu.Lock()
		rows := []storeRow{}
		for _, row := range s.log {
			if row.Ver > after && row.Table == q.Get("Table") {
				rows = append(rows, row)
			}
		}
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if len(rows) > 0 {
			s.respond(w, http.StatusOK, map[string]any{"Rows": rows, "Ver": version})
			return
		}
		select {
		case <-changed:
		case <-timeout:
			s.respond(w, http.StatusOK, map[string]any{"Rows": rows, "Ver": version})
			return
		case <-r.Context().Done():
			return
		}
	}
}

// transact applies a transaction without conditions, as the hosts send them.
func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	var tx struct{ Expected, Put, Remove []storeRow }
	if err := json.NewDecoder(r.Body).Decode(&tx); err != nil || len(tx.Expected) > 0 {
		http.Error(w, "this stand-in takes transactions without conditions only", http.StatusBadRequest)
		return
	}
	for _, row := range tx.Put {
		s.put(row.Table, row.Key, row.Value)
	}
	for _, row := range tx.Remove {
		s.put(row.Table, row.Key, nil)
	}
	s.mu.Lock()
	version := s.version
	s.mu.Unlock()
	s.respond(w, http.StatusOK, map[string]any{"Ver": version})
}
