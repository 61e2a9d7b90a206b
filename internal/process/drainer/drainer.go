// Package drainer holds the life cycle of a host: starting, ready, leaving,
// stopped. It counts the requests in flight and says what a start or a stop is
// waiting for.
package drainer

import (
	"sync"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// State is the state of a host.
type State uint8

// The states, in order.
const (
	Starting State = iota
	Ready
	Leaving
	Stopped
)

// String returns the name that status shows.
func (s State) String() string { return [...]string{"starting", "ready", "leaving", "stopped"}[s] }

// Condition is something that a start or a stop waits for.
type Condition string

// The conditions of a start.
const (
	PlanInstalled Condition = "a configuration"
	SharesGranted Condition = "shares of the limits"
	ShiftLoaded   Condition = "the shift in progress"
)

// Drainer is the life cycle of one host. It is safe for concurrent use.
type Drainer struct {
	flight atomic.Int64
	state  atomic.Uint32

	mu      sync.Mutex // guards what follows and changes of state
	missing map[Condition]bool
	begun   time.Time // of the stop
	serve   time.Time // until when a leaving host takes requests of cached look-ups
}

// New returns the life cycle of a host that starts and waits for all
// conditions.
func New() *Drainer {
	return &Drainer{missing: map[Condition]bool{PlanInstalled: true, SharesGranted: true, ShiftLoaded: true}}
}

// SetMet records that a condition of the start holds. It reports whether the
// host became ready by it.
func (d *Drainer) SetMet(c Condition) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.missing, c)
	if d.State() != Starting || len(d.missing) > 0 {
		return false
	}
	d.set(Ready)
	return true
}

// BeginStop begins a graceful stop at now. Requests are still taken until the end
// of the lifetime of cached look-ups. A second call changes nothing.
func (d *Drainer) BeginStop(now time.Time, lifetime time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.State() >= Leaving {
		return
	}
	d.begun, d.serve = now, now.Add(lifetime)
	d.set(Leaving)
}

// BeginRequest counts a request in. A host that is not ready, or that is past the
// lifetime of cached look-ups, refuses with kind NotReady or Stopping. After
// BeginRequest without an error the caller must call End.
func (d *Drainer) BeginRequest(now time.Time) error {
	// Counted first, so that a stop can't miss a request that is being let in.
	d.flight.Add(1)
	if err := d.admit(now); err != nil {
		d.EndRequest()
		return err
	}
	return nil
}

func (d *Drainer) admit(now time.Time) error {
	if d.State() == Ready {
		return nil
	}
	d.mu.Lock()
	defer d.mu.Unlock()
	switch state := d.State(); {
	case state == Starting:
		return classifier.NotReady.New("the host waits for %s", d.first())
	case state == Stopped, state == Leaving && now.After(d.serve):
		return classifier.Stopping.New("the host is stopping: use another host")
	}
	return nil
}

func (d *Drainer) first() Condition {
	for _, c := range []Condition{PlanInstalled, SharesGranted, ShiftLoaded} {
		if d.missing[c] {
			return c
		}
	}
	return ""
}

// EndRequest counts a request out.
func (d *Drainer) EndRequest() { d.flight.Add(-1) }

// InFlight returns the number of requests in flight.
func (d *Drainer) InFlight() int { return int(d.flight.Load()) }

// State returns the state.
func (d *Drainer) State() State { return State(d.state.Load()) }

func (d *Drainer) set(s State) { d.state.Store(uint32(s)) }

// UnmetConditions returns what a start waits for.
func (d *Drainer) UnmetConditions() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, c := range []Condition{PlanInstalled, SharesGranted, ShiftLoaded} {
		if d.missing[c] {
			out = append(out, string(c))
		}
	}
	return out
}

// EndStop ends the stop at now and returns how long it took.
func (d *Drainer) EndStop(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set(Stopped)
	return now.Sub(d.begun)
}
