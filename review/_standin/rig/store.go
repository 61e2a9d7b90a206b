package main

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, as in PROTOCOL.md.
const (
	maxPageRows  = 500
	maxPageBytes = 1 << 20
	maxWait      = 30 * time.Second
	storeLatency = 4 * time.Millisecond
)

// row is one row of the store. A deleted row has no value.
type row struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Version uint64 `json:"Ver"`
	Deleted bool   `json:",omitempty"`
}

type rowKey struct{ table, part, key string }

// store is a stand-in for the platform's metadata store. Its calls on rows follow
// PROTOCOL.md. It keeps all of its history.
type store struct {
	begun    time.Time
	listener net.Listener

	mu      sync.Mutex
	rows    map[rowKey]row
	version uint64
	era     uint64
	down    bool // all calls get 503
	changed chan struct{}
}

func newStore() (*store, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &store{begun: time.Now(), listener: l, rows: make(map[rowKey]row), changed: make(chan struct{})}
	go func() { _ = http.Serve(l, s) }()
	return s, nil
}

func (s *store) address() string { return s.listener.Addr().String() }

// setDown makes all calls get 503, or ends that.
func (s *store) setDown(down bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.down = down
	s.notify()
}

// put writes a row as a program outside the system does.
func (s *store) put(table, key string, value any) {
	raw, err := json.Marshal(value)
	if err != nil {
		panic(err)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Value: raw})
	s.notify()
}

// remove deletes a row.
func (s *store) remove(table, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.version++
	s.set(row{Table: table, Key: key, Deleted: true})
	s.notify()
}

// set stores a row with the current version. The caller must hold mu.
func (s *store) set(r row) {
	r.Version = s.version
	s.rows[rowKey{r.Table, r.Part, r.Key}] = r
}

// notify wakes the calls that wait for a change. The caller must hold mu.
func (s *store) notify() {
	close(s.changed)
	s.changed = make(chan struct{})
}

// selectRows returns the rows of a table that keep accepts, in ascending order of less. The
// caller must hold mu.
func (s *store) selectRows(keep func(r row) bool, compare func(a, b row) int) []row {
	var out []row
	for _, r := range s.rows {
		if keep(r) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, compare)
	return out
}

// page returns the first rows that fit into one response, and whether there are more.
func page(rows []row, limit int) ([]row, bool) {
	size := 0
	for i, r := range rows {
		if size += len(r.Value)*4/3 + len(r.Key) + 100; i >= limit || (i > 0 && size > maxPageBytes) {
			return rows[:i], true
		}
	}
	return rows, false
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(storeLatency)
	var status int
	var body map[string]any
	switch r.Method + " " + r.URL.Path {
	case "GET /-/rows-get":
		status, body = s.get(r)
	case "GET /-/rows-feed":
		status, body = s.feed(r)
	case "POST /-/rows-tx":
		status, body = s.transact(r)
	default:
		status = http.StatusNotFound
	}
	s.mu.Lock()
	w.Header().Set("Store-Era", strconv.FormatUint(s.era, 10))
	s.mu.Unlock()
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	if body != nil {
		body["Now"] = strconv.FormatInt(time.Since(s.begun).Milliseconds(), 10) + "ms"
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *store) get(r *http.Request) (int, map[string]any) {
	q := r.URL.Query()
	limit := maxPageRows
	if n, err := strconv.Atoi(q.Get("Limit")); err == nil && n > 0 {
		limit = min(n, limit)
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return http.StatusServiceUnavailable, nil
	}
	target := q.Get("Target")
	rows, more := page(s.selectRows(func(r row) bool {
		return !r.Deleted && r.Table == q.Get("Table") && r.Part == q.Get("part") && r.Key >= q.Get("From") && (target == "" || r.Key < target)
	}, func(a, b row) int { return strings.Compare(a.Key, b.Key) }), limit)
	return http.StatusOK, map[string]any{"Rows": emptyIfNil(rows), "HasMore": more, "Ver": s.version}
}

func (s *store) feed(r *http.Request) (int, map[string]any) {
	q := r.URL.Query()
	after, _ := strconv.ParseUint(q.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(q.Get("WaitMs"))
	timeout, cancel := context.WithTimeout(r.Context(), min(time.Duration(wait)*time.Millisecond, maxWait))
	defer cancel()
	for {
		s.mu.Lock()
		if s.down {
			s.mu.Unlock()
			return http.StatusServiceUnavailable, nil
		}
		if after > s.version {
			s.mu.Unlock()
			return http.StatusGone, nil
		}
		rows, more := page(s.selectRows(func(r row) bool { return r.Table == q.Get("Table") && r.Version > after },
			func(a, b row) int { return int(a.Version) - int(b.Version) }), maxPageRows)
		version, changed := s.version, s.changed
		s.mu.Unlock()
		if more {
			version = rows[len(rows)-1].Version
		}
		if len(rows) > 0 || timeout.Err() != nil {
			return http.StatusOK, map[string]any{"Rows": emptyIfNil(rows), "Ver": version}
		}
		select {
		case <-changed:
		case <-timeout.Done():
		}
	}
}

func emptyIfNil(rows []row) []row {
	if rows == nil {
		return []row{}
	}
	return rows
}

func (s *store) transact(r *http.Request) (int, map[string]any) {
	var tx struct{ Expected, Put, Remove []row }
	if json.NewDecoder(r.Body).Decode(&tx) != nil {
		return http.StatusBadRequest, nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.down {
		return http.StatusServiceUnavailable, nil
	}
	for _, change := range slices.Concat(tx.Put, tx.Remove) {
		if change.Table == "op" || change.Table == "servers" {
			return http.StatusForbidden, nil
		}
	}
	current, ok := []row{}, true
	for _, e := range tx.Expected {
		r := s.rows[rowKey{e.Table, e.Part, e.Key}]
		have := r.Version
		if r.Deleted {
			have = 0
		}
		if have != 0 {
			current = append(current, r)
		}
		ok = ok && have == e.Version
	}
	if !ok {
		return http.StatusPreconditionFailed, map[string]any{"Rows": current, "Ver": s.version}
	}
	s.version++
	for _, p := range tx.Put {
		s.set(row{Table: p.Table, Part: p.Part, Key: p.Key, Value: p.Value})
	}
	for _, p := range tx.Remove {
		s.set(row{Table: p.Table, Part: p.Part, Key: p.Key, Deleted: true})
	}
	s.notify()
	return http.StatusOK, map[string]any{"Ver": s.version}
}
