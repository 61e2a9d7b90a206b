package rig

import (
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Row is a row of the store, with the fields that the pages name.
type Row struct {
	Table   string
	Part    string `json:"part"`
	Key     string
	Value   []byte `json:",omitempty"`
	Ver     uint64
	Deleted bool `json:",omitempty"`
}

// Store is the platform's metadata store: rows in tables, transactions and the feed.
type Store struct {
	Address string

	rig     *Rig
	mu      sync.Mutex
	rows    map[[3]string]Row // by table, part and key; dropped ones stay, marked
	ver     uint64
	changed chan struct{} // closed at the next change
	mode    string        // trouble: "" for none, see SetMode
}

func newStore(r *Rig) *Store {
	s := &Store{rig: r, rows: make(map[[3]string]Row), changed: make(chan struct{})}
	l, err := net.Listen("tcp", "127.77.200.1:0")
	if err != nil {
		r.fail("store: %v", err)
	}
	s.Address = l.Addr().String()
	mux := http.NewServeMux()
	mux.HandleFunc("GET /-/rows-get", s.get)
	mux.HandleFunc("GET /-/rows-feed", s.feed)
	mux.HandleFunc("POST /-/rows-tx", s.tx)
	go func() {
		_ = http.Serve(l, http.HandlerFunc(func(w http.ResponseWriter, q *http.Request) {
			s.mu.Lock()
			mode := s.mode
			s.mu.Unlock()
			switch {
			case mode == "busy":
				w.WriteHeader(http.StatusServiceUnavailable)
			case mode == "silent":
				<-q.Context().Done()
			case mode == "gone" && strings.HasSuffix(q.URL.Path, "/rows-feed"):
				w.WriteHeader(http.StatusGone)
			default:
				if mode == "slow" {
					time.Sleep(240 * time.Millisecond)
				}
				mux.ServeHTTP(w, q)
			}
		}))
	}()
	return s
}

// SetMode sets the trouble of the store: "busy" (503), "silent" (no answer), "gone" (its history
// is dropped), "slow" (240 ms an answer) or "" for none.
func (s *Store) SetMode(mode string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.mode = mode
}

// Put writes a row as its writer would, and returns when the store has acknowledged it.
func (s *Store) Put(table, part, key string, value []byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Row{Table: table, Part: part, Key: key, Value: value})
}

// Remove drops a row.
func (s *Store) Remove(table, part, key string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.write(Row{Table: table, Part: part, Key: key, Deleted: true})
}

func (s *Store) write(rows ...Row) {
	s.ver++
	for _, r := range rows {
		r.Ver = s.ver
		s.rows[[3]string{r.Table, r.Part, r.Key}] = r
	}
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Store) answer(w http.ResponseWriter, rows []Row, more bool) {
	if rows == nil {
		rows = []Row{}
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"Rows": rows, "HasMore": more, "Ver": s.ver, "Now": strconv.FormatInt(time.Since(s.rig.start).Milliseconds(), 10) + "ms",
	})
}

func (s *Store) get(w http.ResponseWriter, q *http.Request) {
	time.Sleep(4 * time.Millisecond)
	s.mu.Lock()
	defer s.mu.Unlock()
	v := q.URL.Query()
	var out []Row
	for _, r := range s.rows {
		if r.Table == v.Get("Table") && r.Part == v.Get("part") && !r.Deleted && r.Key >= v.Get("From") && (v.Get("Target") == "" || r.Key < v.Get("Target")) {
			out = append(out, r)
		}
	}
	slices.SortFunc(out, func(a, b Row) int { return strings.Compare(a.Key, b.Key) })
	limit, _ := strconv.Atoi(v.Get("Limit"))
	if limit <= 0 || limit > 500 {
		limit = 500
	}
	s.answer(w, out[:min(limit, len(out))], len(out) > limit)
}

func (s *Store) feed(w http.ResponseWriter, q *http.Request) {
	time.Sleep(4 * time.Millisecond)
	v := q.URL.Query()
	after, _ := strconv.ParseUint(v.Get("after"), 10, 64)
	wait, _ := strconv.Atoi(v.Get("WaitMs"))
	timeout := time.After(time.Duration(min(wait, 30000)) * time.Millisecond)
	for waiting := true; ; {
		s.mu.Lock()
		var out []Row
		for _, r := range s.rows {
			if r.Table == v.Get("Table") && r.Ver > after {
				out = append(out, r)
			}
		}
		if len(out) > 0 || !waiting {
			slices.SortFunc(out, func(a, b Row) int { return int(a.Ver) - int(b.Ver) })
			s.answer(w, out, false)
			s.mu.Unlock()
			return
		}
		changed := s.changed
		s.mu.Unlock()
		select {
		case <-changed:
		case <-timeout:
			waiting = false
		case <-q.Context().Done():
			return
		}
	}
}

func (s *Store) tx(w http.ResponseWriter, q *http.Request) {
	time.Sleep(10 * time.Millisecond)
	var in struct{ Expected, Put, Remove []Row }
	if err := json.NewDecoder(q.Body).Decode(&in); err != nil {
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, r := range append(slices.Clone(in.Put), in.Remove...) {
		if r.Table == "servers" || r.Table == "op" {
			w.WriteHeader(http.StatusForbidden)
			return
		}
	}
	for _, r := range in.Expected {
		have := s.rows[[3]string{r.Table, r.Part, r.Key}]
		if have.Deleted {
			have.Ver = 0
		}
		if have.Ver != r.Ver {
			w.WriteHeader(http.StatusPreconditionFailed)
			s.answer(w, []Row{have}, false)
			return
		}
	}
	for i := range in.Remove {
		in.Remove[i].Deleted = true
	}
	s.write(append(in.Put, in.Remove...)...)
	s.answer(w, nil, false)
}

// Limits of a configuration.
type Limits struct {
	MaxHeaderBytes             int
	MaxBodyBytes               int64
	HeaderTimeout, IdleTimeout string
}

// DefaultLimits are those of the small deployments.
var DefaultLimits = Limits{MaxHeaderBytes: 16384, MaxBodyBytes: 67108864, HeaderTimeout: "3000ms", IdleTimeout: "15000ms"}

// PutConfig writes op/config as the operator does.
func (s *Store) PutConfig(version int, l Limits) {
	route := func(name, prefix, kind, service string, timeout, target string, priority int) map[string]any {
		return map[string]any{
			"Name": name, "Host": HostName, "Prefix": prefix, "RouteType": kind, "Timeout": timeout, "TargetLatency": target, "Priority": priority,
			"Service": service, "MaxAttempts": 2, "Sticky": true, "AllowedRegions": []string{},
		}
	}
	service := func(name string) map[string]any {
		return map[string]any{"Name": name, "HealthPath": "/healthz", "MaxConns": 330, "Protocol": "h1", "Tls": false, "ColdStart": "3s", "ColdPerS": 16.0}
	}
	raw, _ := json.Marshal(map[string]any{
		"Version": "r" + strconv.Itoa(version), "BaseVersion": "r" + strconv.Itoa(version-2),
		"Routes": []any{
			route("r-lookup", LookupPath, "safe", Catalog, "2000ms", "400ms", 2),
			route("r-order", OrderPath, "unsafe", Orderbook, "2500ms", "400ms", 1),
			route("r-pack", PackPath, "download", Docvault, "2500ms", "300ms", 2),
		},
		"Services": []any{service(Catalog), service(Orderbook), service(Docvault)}, "Limits": l,
	})
	s.Put("op", "", "config", raw)
	s.rig.Record("operator: version r%d is acknowledged, limits %+v", version, l)
}
