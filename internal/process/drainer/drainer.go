// Package drainer implements the life cycle of a host: starting, ready, leaving,
// stopped. It counts the requests in flight and lists the conditions that a
// start waits for.
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

// Condition is a prerequisite of the transition from Starting to Ready.
type Condition string

// The conditions of a start.
const (
	PlanInstalled Condition = "a configuration"
	SharesGranted Condition = "shares of the limits"
	ShiftLoaded   Condition = "the shift in progress"
)

// Drainer is the life cycle of one host. It is safe for concurrent use.
type Drainer struct {
	inFlight atomic.Int64
	state    atomic.Uint32

	mu          sync.Mutex // guards what follows and changes of state
	unmet       map[Condition]bool
	stopBegun   time.Time // of the stop
	acceptUntil time.Time // a leaving host accepts requests of cached lookups until then
}

// New returns the life cycle of a host that starts and waits for all
// conditions.
func New() *Drainer {
	return &Drainer{unmet: map[Condition]bool{PlanInstalled: true, SharesGranted: true, ShiftLoaded: true}}
}

// SetMet records that a condition of the start holds. It reports whether the
// host became ready by it.
func (d *Drainer) SetMet(c Condition) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.unmet, c)
	if d.State() != Starting || len(d.unmet) > 0 {
		return false
	}
	d.set(Ready)
	return true
}

// BeginStop begins a graceful stop at now. Requests are still accepted for
// acceptDuration, the TTL of cached lookups. A second call changes nothing.
func (d *Drainer) BeginStop(now time.Time, acceptDuration time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.State() >= Leaving {
		return
	}
	d.stopBegun, d.acceptUntil = now, now.Add(acceptDuration)
	d.set(Leaving)
}

// BeginRequest counts a request as in flight. It returns an error of kind NotReady
// before the host is ready, and Stopping after the accept duration of a stop. After
// BeginRequest without an error the caller must call EndRequest.
func (d *Drainer) BeginRequest(now time.Time) error {
	// Counted first, so that a stop can't miss a request that is being admitted.
	d.inFlight.Add(1)
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
		return classifier.NotReady.New("the host waits for %s", d.firstUnmet())
	case state == Stopped, state == Leaving && now.After(d.acceptUntil):
		return classifier.Stopping.New("the host is stopping: use another host")
	}
	return nil
}

func (d *Drainer) firstUnmet() Condition {
	for _, c := range []Condition{PlanInstalled, SharesGranted, ShiftLoaded} {
		if d.unmet[c] {
			return c
		}
	}
	return ""
}

// EndRequest ends a request that BeginRequest admitted.
func (d *Drainer) EndRequest() { d.inFlight.Add(-1) }

// InFlight returns the number of requests in flight.
func (d *Drainer) InFlight() int { return int(d.inFlight.Load()) }

// State returns the state.
func (d *Drainer) State() State { return State(d.state.Load()) }

func (d *Drainer) set(s State) { d.state.Store(uint32(s)) }

// UnmetConditions returns the conditions that a start still waits for.
func (d *Drainer) UnmetConditions() []string {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []string
	for _, c := range []Condition{PlanInstalled, SharesGranted, ShiftLoaded} {
		if d.unmet[c] {
			out = append(out, string(c))
		}
	}
	return out
}

// EndStop enters the state Stopped at now and returns how long the stop took.
func (d *Drainer) EndStop(now time.Time) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.set(Stopped)
	return now.Sub(d.stopBegun)
}
