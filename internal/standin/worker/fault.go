package worker

import (
	"context"
	"encoding/json"
	"net/http"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/version/noter"
)

// Faults is what is wrong with a Worker. The zero Faults is a Worker in order.
type Faults struct {
	// Slow multiplies the service time; zero means 1.
	Slow float64 `json:"slow,omitempty"`
	// Fail answers every request at once with status 500.
	Fail bool `json:"fail,omitempty"`
	// Shed refuses every request.
	Shed bool `json:"shed,omitempty"`
	// Crossed answers with another request's Request-Id.
	Crossed bool `json:"crossed,omitempty"`
	// Short ends every answer after this many bytes of its body.
	Short int64 `json:"short,omitempty"`
	// Late is how long a finished answer is held back.
	Late noter.Duration `json:"late,omitempty"`
	// CloseRequest closes the connection after this many bytes of the
	// request's body, CloseAnswer after the run and before the answer.
	CloseRequest int64 `json:"closerequest,omitempty"`
	CloseAnswer  bool  `json:"closeanswer,omitempty"`
	// Silent stops every byte on the connections that are open when the fault
	// is set. Connections opened later work.
	Silent bool `json:"silent,omitempty"`
	// Lag is how old the readings of /health and /load are.
	Lag noter.Duration `json:"lag,omitempty"`
	// Mislead makes /load report zero and /health report ready.
	Mislead bool `json:"mislead,omitempty"`
	// Draining announces that the Worker leaves. It still serves.
	Draining bool `json:"draining,omitempty"`
}

const (
	ready    = "ready"
	draining = "draining"
	// silentCheck is how often a request on a silent connection looks whether
	// the fault was taken back.
	silentCheck = 100 * time.Millisecond
)

// reading is what /health and /load report at one time.
type reading struct {
	at     time.Time
	health string
	busy   int
}

// Faults returns the faults that are set.
func (w *Worker) Faults() Faults {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.faults
}

// SetFaults replaces all faults.
func (w *Worker) SetFaults(f Faults) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.setFaults(f)
}

// ChangeFaults changes some faults and leaves the others.
func (w *Worker) ChangeFaults(change func(*Faults)) {
	w.mu.Lock()
	defer w.mu.Unlock()
	f := w.faults
	change(&f)
	w.setFaults(f)
}

func (w *Worker) setFaults(f Faults) {
	if f.Draining && !w.faults.Draining {
		w.drained = time.Now()
		w.counts.Late, w.counts.Lag = 0, 0
	}
	switch {
	case !f.Silent:
		w.silenced = 0
	case !w.faults.Silent:
		w.silenced = w.connections
	}
	w.faults = f
	w.record()
}

// record notes a change of what /health and /load report. The caller holds the
// lock.
func (w *Worker) record() {
	now := reading{at: time.Now(), health: ready, busy: len(w.slots)}
	if w.faults.Draining {
		now.health = draining
	}
	// The newest reading that is old enough to be reported stays first.
	edge := now.at.Add(-time.Duration(w.faults.Lag))
	for len(w.history) > 1 && !w.history[1].at.After(edge) {
		w.history = w.history[1:]
	}
	w.history = append(w.history, now)
}

// reading returns what /health and /load report.
func (w *Worker) reading(now time.Time) reading {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.faults.Mislead {
		return reading{at: now, health: ready}
	}
	edge := now.Add(-time.Duration(w.faults.Lag))
	found := w.history[0]
	for _, r := range w.history {
		if r.at.After(edge) {
			break
		}
		found = r
	}
	return found
}

// waitIfSilent holds a request on a silent connection until its caller leaves
// or the fault is taken back.
func (w *Worker) waitIfSilent(ctx context.Context) {
	number, ok := ctx.Value(connectionKey{}).(uint64)
	for ok {
		w.mu.Lock()
		silent := number <= w.silenced
		w.mu.Unlock()
		if !silent {
			return
		}
		if !wait(ctx, silentCheck) {
			panic(http.ErrAbortHandler)
		}
	}
}

func (w *Worker) serveFaults(rw http.ResponseWriter, r *http.Request) {
	if r.Method == http.MethodPut {
		var f Faults
		dec := json.NewDecoder(http.MaxBytesReader(rw, r.Body, 64<<10))
		dec.DisallowUnknownFields()
		if err := dec.Decode(&f); err != nil {
			http.Error(rw, err.Error(), http.StatusBadRequest)
			return
		}
		w.SetFaults(f)
	}
	respond(rw, w.Faults())
}
