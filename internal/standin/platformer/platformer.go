// Package platformer is a stand-in for the platform: a transactional table
// service, an object store and a list of hosts, in memory and over HTTP. Its
// faults are set while it runs, by methods or by PUT /faults: an outage, slow
// answers, answers that are lost after their write took effect, and a list of
// hosts that lags.
package platformer

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
)

const (
	// maxBody bounds a row or an object in bytes.
	maxBody = 64 << 20
	// maxListed bounds the remembered lists of hosts.
	maxListed = 1024
)

// Platformer is an http.Handler. The zero Platformer is empty, has no faults
// and can be used.
type Platformer struct {
	mu      sync.Mutex
	rows    map[string]adapter.Row
	objects map[string][]byte
	next    uint64
	reads   uint64
	writes  uint64

	faults Faults
	listed []listing
}

// Faults is what is wrong with a Platformer. The zero Faults is a platform in
// order.
type Faults struct {
	// Down answers every request with status 503 and no effect.
	Down bool `json:"down,omitempty"`
	// Delay is the time that every request takes before its effect.
	Delay noter.Duration `json:"delay,omitempty"`
	// Lose is how many of the next writes take effect and lose their answers.
	Lose int `json:"lose,omitempty"`
	// Lag is how old the list of hosts is.
	Lag noter.Duration `json:"lag,omitempty"`
}

// listing is the list of hosts from a time on.
type listing struct {
	at    time.Time
	hosts []adapter.HostEntry
}

// Faults returns the faults that are set. Lose is what is left of it.
func (p *Platformer) Faults() Faults {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.faults
}

// SetFaults replaces all faults.
func (p *Platformer) SetFaults(f Faults) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults = f
}

// SetDown starts or ends an outage, in which every request is answered with
// status 503 and no effect.
func (p *Platformer) SetDown(down bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.Down = down
}

// SetDelay sets the time that every request takes before its effect.
func (p *Platformer) SetDelay(d time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.Delay = noter.Duration(d)
}

// LoseAnswers makes the next n writes take effect and lose their answers.
func (p *Platformer) LoseAnswers(n int) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.faults.Lose = n
}

// SetHosts replaces the list of hosts.
func (p *Platformer) SetHosts(entries []adapter.HostEntry) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if len(p.listed) == maxListed {
		p.listed = slices.Delete(p.listed, 1, 2)
	}
	p.listed = append(p.listed, listing{time.Now(), slices.Clone(entries)})
}

// hosts returns the list that is as old as the lag. The caller holds the lock.
func (p *Platformer) hosts() []adapter.HostEntry {
	entries := []adapter.HostEntry{}
	edge := time.Now().Add(-time.Duration(p.faults.Lag))
	for i, l := range p.listed {
		// The first list counts from the beginning.
		if i > 0 && l.at.After(edge) {
			break
		}
		entries = l.hosts
	}
	return entries
}

// Reads returns how many reads were served.
func (p *Platformer) Reads() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.reads
}

// Writes returns how many writes took effect.
func (p *Platformer) Writes() uint64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.writes
}

// ServeHTTP serves /table, /objects and /hosts.
func (p *Platformer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		return
	}
	if r.URL.Path == "/faults" {
		p.serveFaults(w, r, body)
		return
	}
	p.mu.Lock()
	delay := time.Duration(p.faults.Delay)
	p.mu.Unlock()
	if delay > 0 {
		select {
		case <-time.After(delay):
		case <-r.Context().Done():
			return
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.faults.Down {
		http.Error(w, "outage", http.StatusServiceUnavailable)
		return
	}
	before := p.writes
	p.serve(w, r, body)
	if p.writes > before && p.faults.Lose > 0 {
		p.faults.Lose--
		panic(http.ErrAbortHandler)
	}
	if p.writes == before {
		p.reads++
	}
}

func (p *Platformer) serve(w http.ResponseWriter, r *http.Request, body []byte) {
	switch path := r.URL.Path; {
	case path == "/table":
		answer(w, p.list(r.URL.Query().Get("prefix")))
	case strings.HasPrefix(path, "/table/"):
		p.serveRow(w, r, strings.TrimPrefix(path, "/table/"), body)
	case path == "/objects":
		answer(w, p.keys(r.URL.Query().Get("prefix")))
	case strings.HasPrefix(path, "/objects/"):
		p.serveObject(w, r, strings.TrimPrefix(path, "/objects/"), body)
	case path == "/hosts":
		answer(w, p.hosts())
	default:
		http.NotFound(w, r)
	}
}

func (p *Platformer) serveFaults(w http.ResponseWriter, r *http.Request, body []byte) {
	if r.Method == http.MethodPut {
		var f Faults
		dec := json.NewDecoder(bytes.NewReader(body))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		p.SetFaults(f)
	}
	answer(w, p.Faults())
}

func answer(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	// An error here means that the client is gone.
	_ = json.NewEncoder(w).Encode(v)
}

func (p *Platformer) list(prefix string) []adapter.Row {
	rows := []adapter.Row{}
	for key, row := range p.rows {
		if strings.HasPrefix(key, prefix) {
			rows = append(rows, row)
		}
	}
	slices.SortFunc(rows, func(a, b adapter.Row) int { return strings.Compare(a.Key, b.Key) })
	return rows
}

func (p *Platformer) keys(prefix string) []string {
	keys := []string{}
	for key := range p.objects {
		if strings.HasPrefix(key, prefix) {
			keys = append(keys, key)
		}
	}
	slices.Sort(keys)
	return keys
}

func (p *Platformer) serveRow(w http.ResponseWriter, r *http.Request, key string, body []byte) {
	row, ok := p.rows[key]
	if r.Method == http.MethodGet {
		if !ok {
			http.NotFound(w, r)
			return
		}
		w.Header().Set("ETag", row.Revision)
		_, _ = w.Write(row.Value)
		return
	}
	match := r.Header.Get("If-Match")
	if (r.Header.Get("If-None-Match") == "*" && ok) || (match != "" && (!ok || match != row.Revision)) {
		http.Error(w, "revision has changed", http.StatusPreconditionFailed)
		return
	}
	p.writes++
	if r.Method == http.MethodDelete {
		delete(p.rows, key)
		w.WriteHeader(http.StatusNoContent)
		return
	}
	p.next++
	row = adapter.Row{Key: key, Revision: strconv.Quote(strconv.FormatUint(p.next, 10)), Value: body}
	if p.rows == nil {
		p.rows = make(map[string]adapter.Row)
	}
	p.rows[key] = row
	w.Header().Set("ETag", row.Revision)
	w.WriteHeader(http.StatusNoContent)
}

func (p *Platformer) serveObject(w http.ResponseWriter, r *http.Request, key string, body []byte) {
	if r.Method == http.MethodGet {
		raw, ok := p.objects[key]
		if !ok {
			http.NotFound(w, r)
			return
		}
		_, _ = w.Write(raw)
		return
	}
	p.writes++
	if r.Method == http.MethodDelete {
		delete(p.objects, key)
	} else {
		if p.objects == nil {
			p.objects = make(map[string][]byte)
		}
		p.objects[key] = body
	}
	w.WriteHeader(http.StatusNoContent)
}
