// Package worker is a stand-in for an upstream: it has a number of slots, takes
// a time for each request, and answers with a body of a given size.
package worker

import (
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"
)

// Worker is an http.Handler. It serves /health and /load and answers every
// other path.
type Worker struct {
	name  string
	slots int
	mu    sync.Mutex
	busy  int
	peak  int
	runs  map[string]int
	time  time.Duration
	size  int
}

// New returns a Worker with the given number of slots, that takes the time for
// each request and answers with size bytes.
func New(name string, slots int, serviceTime time.Duration, size int) *Worker {
	return &Worker{name: name, slots: slots, time: serviceTime, size: size, runs: make(map[string]int)}
}

// Peak returns the largest number of requests that ran at once.
func (w *Worker) Peak() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.peak
}

// Runs returns how often the request with this key or id ran.
func (w *Worker) Runs(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[key]
}

// ServeHTTP runs one request.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	switch r.URL.Path {
	case "/health":
		_, _ = io.WriteString(rw, "ready")
		return
	case "/load":
		w.mu.Lock()
		load := map[string]int{"flight": w.busy, "slots": w.slots}
		w.mu.Unlock()
		_ = json.NewEncoder(rw).Encode(load)
		return
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	w.start(r)
	defer w.end()
	select {
	case <-time.After(w.time):
	case <-r.Context().Done():
		return
	}
	rw.Header().Set("Request-Id", r.Header.Get("Request-Id"))
	rw.Header().Set("Content-Length", strconv.Itoa(w.size))
	rw.Header().Set("Served-By", w.name)
	chunk := make([]byte, 32<<10)
	for left := w.size; left > 0; {
		n, err := rw.Write(chunk[:min(left, len(chunk))])
		if err != nil {
			return
		}
		left -= n
	}
}

func (w *Worker) start(r *http.Request) {
	key := r.Header.Get("Idempotency-Key")
	if key == "" {
		key = r.Header.Get("Request-Id")
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy++
	w.peak = max(w.peak, w.busy)
	w.runs[key]++
}

func (w *Worker) end() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.busy--
}
