// Package worker is a stand-in for an upstream: it has a number of slots and a
// bounded queue, takes a time for each request, and answers with a body of a
// given size. Its faults are set while it runs, by SetFaults or by PUT /faults.
package worker

import (
	"context"
	"encoding/json"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/version/noter"
)

// Settings describe one Worker.
//
// A queue of zero length means that requests above the slots are shed.
type Settings struct {
	Name string `json:"name"`
	// Slots is how many requests run at once, Queue how many more wait.
	// Requests above both are shed.
	Slots int `json:"slots"`
	Queue int `json:"queue,omitempty"`
	// Time is the service time. Jitter is the largest fraction by which a
	// request takes more or less time, drawn with the seed.
	Time   noter.Duration `json:"time"`
	Jitter float64        `json:"jitter,omitempty"`
	Seed   uint64         `json:"seed,omitempty"`
	// Size is the size of an answer in bytes, Rate the bytes per second at
	// which each answer is sent; zero means as fast as possible.
	Size   int64  `json:"size"`
	Rate   int64  `json:"rate,omitempty"`
	Cold   Cold   `json:"cold,omitzero"`
	Faults Faults `json:"faults,omitzero"`
}

// Cold describes a cold start. The first Requests requests, the requests in
// the first For after a start and, with Paths, the first request for each path
// take Factor times the service time.
type Cold struct {
	Requests int            `json:"requests,omitempty"`
	For      noter.Duration `json:"for,omitempty"`
	Paths    bool           `json:"paths,omitempty"`
	Factor   float64        `json:"factor,omitempty"`
}

// Worker is an http.Handler. It serves /health, /load, /faults and /counts, and
// answers every other path.
type Worker struct {
	settings Settings
	slots    chan struct{}

	mu      sync.Mutex
	jitter  *rand.Rand
	started time.Time
	served  int
	paths   map[string]bool
	faults  Faults
	drained time.Time
	history []reading
	waiting int
	counts  Counts
	runs    map[string]int
	older   map[string]int
	present int
	observe func(Run)
	flight  func(delta int)
	digests map[content]string

	connections uint64
	silenced    uint64
}

// Counts is what a Worker counted since it was made.
type Counts struct {
	// Peak is the largest number of requests that ran at once, Offered the
	// largest number that were there at once: running, waiting or to be shed.
	Peak    int `json:"peak"`
	Offered int `json:"offered"`
	// Ran counts requests that began to run, Shed those refused for want of
	// room, Expired those refused because their deadline had passed, and
	// Cancelled those whose caller left while they ran.
	Ran       int `json:"ran"`
	Shed      int `json:"shed"`
	Expired   int `json:"expired"`
	Cancelled int `json:"cancelled"`
	// Repeated counts runs whose Idempotency-Key had run before.
	Repeated int `json:"repeated"`
	// Late counts requests that began to run after the drain began. Lag is the
	// time from the beginning of the drain to the last of them.
	Late int            `json:"late"`
	Lag  noter.Duration `json:"lag"`
	// Bytes counts bytes of answer bodies.
	Bytes int64 `json:"bytes"`
}

// Run is one request that began to run.
type Run struct {
	At       time.Time
	Upstream string
	Request  string
	Key      string
}

// New returns a Worker with the given number of slots and a queue of the same
// length, that takes the time for each request and answers with size bytes.
func New(name string, slots int, serviceTime time.Duration, size int) *Worker {
	return NewFrom(Settings{Name: name, Slots: slots, Queue: slots, Time: noter.Duration(serviceTime), Size: int64(size)})
}

// NewFrom returns the Worker that the settings describe.
func NewFrom(s Settings) *Worker {
	w := &Worker{
		settings: s,
		slots:    make(chan struct{}, s.Slots),
		jitter:   rand.New(rand.NewPCG(s.Seed, 1)),
		runs:     make(map[string]int),
		digests:  make(map[content]string),
	}
	w.Restart()
	w.SetFaults(s.Faults)
	return w
}

// Name returns the upstream's name.
func (w *Worker) Name() string { return w.settings.Name }

// Restart makes the Worker cold again, as after a start of its process. What
// it counted stays.
func (w *Worker) Restart() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started, w.served, w.paths = time.Now(), 0, make(map[string]bool)
}

// OnRun registers f to be called with every request that begins to run. Set it
// before the Worker serves.
func (w *Worker) OnRun(f func(Run)) { w.observe = f }

// OnFlight registers f to be called with 1 when a request arrives and with -1
// when it ends. Set it before the Worker serves.
func (w *Worker) OnFlight(f func(delta int)) { w.flight = f }

// Counts returns what was counted so far.
func (w *Worker) Counts() Counts {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.counts
}

// Peak returns the largest number of requests that ran at once.
func (w *Worker) Peak() int { return w.Counts().Peak }

// Busy returns the number of requests that run now.
func (w *Worker) Busy() int { return len(w.slots) }

// Runs returns how often the request with this key or id ran. It remembers at
// least the last 2^18 keys and ids.
func (w *Worker) Runs(key string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.runs[key] + w.older[key]
}

type connectionKey struct{}

// ConnContext is the ConnContext function of the http.Server that serves the
// Worker. Without it the fault Silent has no effect.
func (w *Worker) ConnContext(ctx context.Context, _ net.Conn) context.Context {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.connections++
	return context.WithValue(ctx, connectionKey{}, w.connections)
}

// Server returns an http.Server that serves the Worker.
func (w *Worker) Server() *http.Server {
	return &http.Server{Handler: w, ConnContext: w.ConnContext, ReadHeaderTimeout: 5 * time.Second}
}

// ServeHTTP runs one request.
func (w *Worker) ServeHTTP(rw http.ResponseWriter, r *http.Request) {
	w.waitIfSilent(r.Context())
	switch r.URL.Path {
	case "/health":
		_, _ = io.WriteString(rw, w.reading(time.Now()).health)
	case "/load":
		now := w.reading(time.Now())
		respond(rw, map[string]int{"flight": now.busy, "slots": w.settings.Slots})
	case "/counts":
		respond(rw, w.Counts())
	case "/faults":
		w.serveFaults(rw, r)
	default:
		w.serve(rw, r)
	}
}

func respond(rw http.ResponseWriter, v any) {
	rw.Header().Set("Content-Type", "application/json")
	// An error here means that the client is gone.
	_ = json.NewEncoder(rw).Encode(v)
}

// refuse answers a request that did not run.
func refuse(rw http.ResponseWriter, status int, outcome, message string) {
	rw.Header().Set("Outcome", outcome)
	http.Error(rw, message, status)
}

func (w *Worker) serve(rw http.ResponseWriter, r *http.Request) {
	f := w.Faults()
	head := rw.Header()
	head.Set("Request-Id", r.Header.Get("Request-Id"))
	head.Set("Served-By", w.settings.Name)
	if f.Draining {
		head.Set("Draining", "1")
		head.Set("Connection", "close")
	}
	ctx, cancel, ok := withDeadline(r)
	defer cancel()
	if !ok {
		w.count(func(c *Counts) { c.Expired++ })
		refuse(rw, http.StatusGatewayTimeout, "not-run", "the deadline has passed")
		return
	}
	if f.CloseRequest > 0 {
		// The bytes are read and the connection ends, so an error is no matter.
		_, _ = io.CopyN(io.Discard, r.Body, f.CloseRequest)
		panic(http.ErrAbortHandler)
	}
	if _, err := io.Copy(io.Discard, r.Body); err != nil {
		return
	}
	v := w.arrive()
	defer v.leave()
	if f.Shed || !w.enter(ctx) {
		w.count(func(c *Counts) { c.Shed++ })
		v.leave()
		refuse(rw, http.StatusServiceUnavailable, "not-run", "no room")
		return
	}
	v.slot = true
	w.run(ctx, rw, r, v, w.begin(r))
}

// visit is one request that is in flight at a Worker.
type visit struct {
	worker *Worker
	slot   bool
	once   sync.Once
}

func (w *Worker) arrive() *visit {
	w.mu.Lock()
	w.present++
	w.counts.Offered = max(w.counts.Offered, w.present)
	w.mu.Unlock()
	if w.flight != nil {
		w.flight(1)
	}
	return &visit{worker: w}
}

// leave ends the visit. It has to be called before the last byte of the answer
// is sent, since the caller may use the slot for another request from then on.
func (v *visit) leave() {
	v.once.Do(func() {
		w := v.worker
		if w.flight != nil {
			w.flight(-1)
		}
		if v.slot {
			<-w.slots
		}
		w.mu.Lock()
		defer w.mu.Unlock()
		w.present--
		w.record()
	})
}

// enter takes a slot, waiting in the queue, and reports whether it got one.
func (w *Worker) enter(ctx context.Context) bool {
	select {
	case w.slots <- struct{}{}:
		return true
	default:
	}
	w.mu.Lock()
	full := w.waiting >= w.settings.Queue
	if !full {
		w.waiting++
	}
	w.mu.Unlock()
	if full {
		return false
	}
	defer func() {
		w.mu.Lock()
		w.waiting--
		w.mu.Unlock()
	}()
	select {
	case w.slots <- struct{}{}:
		return ctx.Err() == nil || w.release()
	case <-ctx.Done():
		return false
	}
}

// release gives back a slot that was taken too late. It returns false.
func (w *Worker) release() bool {
	<-w.slots
	return false
}

func (w *Worker) count(f func(*Counts)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f(&w.counts)
}

// maxRuns bounds each of the two generations of remembered keys and ids.
const maxRuns = 1 << 18

// begin counts a request that begins to run and returns its service time.
func (w *Worker) begin(r *http.Request) time.Duration {
	now := time.Now()
	run := Run{At: now, Upstream: w.settings.Name, Request: r.Header.Get("Request-Id"), Key: r.Header.Get("Idempotency-Key")}
	id := run.Key
	if id == "" {
		id = run.Request
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	if run.Key != "" && w.runs[id]+w.older[id] > 0 {
		w.counts.Repeated++
	}
	if len(w.runs) >= maxRuns {
		w.older, w.runs = w.runs, make(map[string]int)
	}
	w.runs[id]++
	w.counts.Ran++
	w.counts.Peak = max(w.counts.Peak, len(w.slots))
	if w.faults.Draining {
		w.counts.Late++
		w.counts.Lag = noter.Duration(now.Sub(w.drained))
	}
	w.record()
	if w.observe != nil {
		w.observe(run)
	}
	return w.serviceTime(now, r.URL.Path)
}

// maxPaths bounds the cache of paths; a full cache is emptied.
const maxPaths = 1 << 16

// serviceTime returns how long a request takes that begins now. The caller
// holds the lock.
func (w *Worker) serviceTime(now time.Time, path string) time.Duration {
	cold := w.settings.Cold
	factor := 1 + w.settings.Jitter*(2*w.jitter.Float64()-1)
	isCold := w.served < cold.Requests || now.Sub(w.started) < time.Duration(cold.For) || cold.Paths && !w.paths[path]
	if isCold && cold.Factor > 0 {
		factor *= cold.Factor
	}
	if w.faults.Slow > 0 {
		factor *= w.faults.Slow
	}
	w.served++
	if len(w.paths) >= maxPaths {
		clear(w.paths)
	}
	w.paths[path] = true
	return time.Duration(float64(w.settings.Time) * factor)
}

func (w *Worker) run(ctx context.Context, rw http.ResponseWriter, r *http.Request, v *visit, serviceTime time.Duration) {
	f := w.Faults()
	if f.Fail {
		v.leave()
		refuse(rw, http.StatusInternalServerError, "ran", "failed")
		return
	}
	if !wait(ctx, serviceTime) {
		if r.Context().Err() != nil {
			w.count(func(c *Counts) { c.Cancelled++ })
		}
		v.leave()
		refuse(rw, http.StatusGatewayTimeout, "may-have-run", "the deadline passed while the request ran")
		return
	}
	// A late answer arrives past the deadline, so only the caller's leaving
	// ends the wait.
	if !wait(r.Context(), time.Duration(f.Late)) {
		return
	}
	w.waitIfSilent(r.Context())
	if f.CloseAnswer {
		panic(http.ErrAbortHandler)
	}
	if f.Crossed {
		rw.Header().Set("Request-Id", "another-"+r.Header.Get("Request-Id"))
	}
	w.answer(rw, r, f, v)
}

func wait(ctx context.Context, d time.Duration) bool {
	if d <= 0 {
		return ctx.Err() == nil
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-ctx.Done():
		return false
	}
}

// withDeadline returns the request's context with the earliest deadline that
// its headers state, and whether that deadline lies ahead.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc, bool) {
	now := time.Now()
	var deadline time.Time
	if d, err := time.ParseDuration(r.Header.Get("Request-Timeout")); err == nil {
		deadline = now.Add(d)
	}
	if ms, err := strconv.ParseInt(r.Header.Get("Request-Deadline"), 10, 64); err == nil {
		if at := time.UnixMilli(ms); deadline.IsZero() || at.Before(deadline) {
			deadline = at
		}
	}
	if deadline.IsZero() {
		return r.Context(), func() {}, true
	}
	ctx, cancel := context.WithDeadline(r.Context(), deadline)
	return ctx, cancel, deadline.After(now)
}
