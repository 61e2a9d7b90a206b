// Package checker decides whether the eight promises of the design (1.1) were
// kept. It is fed plain events in the order of their times, and reports every
// breach with the number of the promise and the evidence. It uses no clock, no
// goroutine and no socket. Tests, `dev --tour` and `measure` share it.
package checker

import (
	"fmt"
	"maps"
	"math"
	"slices"
	"strings"
	"time"
)

// Promise is the number of a promise, 1 to 8.
type Promise int

// The promises of the design, section 1.1.
const (
	Cap       Promise = 1 // a shift never exceeds its cap
	Overload  Promise = 2 // no region, upstream or link is overloaded
	Complete  Promise = 3 // every caller gets the complete answer to its request
	NotRun    Promise = 4 // a request refused as not run did not run
	Once      Promise = 5 // what must not be repeated runs at most once
	Leaving   Promise = 6 // a leaving upstream gets no new work after 3 s
	Graceful  Promise = 7 // a planned stop cuts nothing off
	Effective Promise = 8 // an accepted version is soon in force everywhere, for good
)

// String returns "P1" to "P8".
func (p Promise) String() string { return fmt.Sprintf("P%d", int(p)) }

// Breach is one promise that was not kept.
type Breach struct {
	Promise  Promise
	At       time.Time
	Evidence string
}

// String returns the promise and the evidence.
func (b Breach) String() string { return b.Promise.String() + ": " + b.Evidence }

// Bounds are the times within which promises have to be kept.
type Bounds struct {
	// Leave is the time from the first sign of an upstream's leaving after
	// which it gets no new work.
	Leave time.Duration
	// Spread is the time from the acceptance of a version after which it is in
	// force on every host that runs.
	Spread time.Duration
}

// DefaultBounds are the bounds of the design: 3 s for P6 and 12 s for P8.
var DefaultBounds = Bounds{Leave: 3 * time.Second, Spread: 12 * time.Second}

// Checker collects events. It keeps every request, so it suits bounded runs. It
// is not safe for concurrent use.
type Checker struct {
	bounds   Bounds
	breaches []Breach
	requests map[string]*request
	keys     map[string]string
	moves    map[[2]string]*movement
	leaving  map[string]time.Time
	hosts    map[string]*host
	chains   map[uint64]string
	duties   []duty
	newest   uint64
}

// New returns a Checker without events.
func New(b Bounds) *Checker {
	return &Checker{
		bounds:   b,
		requests: make(map[string]*request),
		keys:     make(map[string]string),
		moves:    make(map[[2]string]*movement),
		leaving:  make(map[string]time.Time),
		hosts:    make(map[string]*host),
		chains:   make(map[uint64]string),
	}
}

// Breaches returns the breaches found so far, in the order in which they were
// found.
func (c *Checker) Breaches() []Breach { return slices.Clone(c.breaches) }

func (c *Checker) breach(p Promise, at time.Time, format string, args ...any) {
	c.breaches = append(c.breaches, Breach{Promise: p, At: at, Evidence: fmt.Sprintf(format, args...)})
}

// Weights are the effective weights of a service at one host, and the cap that
// the version in force there sets for them.
type Weights struct {
	At       time.Time
	Host     string
	Service  string
	Shares   map[string]float64
	Fraction float64
	Every    time.Duration
}

// movement is how far the weights of one service at one host moved.
type movement struct {
	last  Weights
	steps []step
}

type step struct {
	from time.Time
	mass float64
}

// rounding allows for the sums of many floating point steps.
const rounding = 1e-9

// Weights feeds the effective weights of a service at one host. What moved in
// any span of the cap's length, there and back added, must not exceed the cap.
func (c *Checker) Weights(w Weights) {
	key := [2]string{w.Host, w.Service}
	m, ok := c.moves[key]
	if !ok {
		c.moves[key] = &movement{last: w}
		return
	}
	mass := 0.0
	for region, share := range w.Shares {
		mass += max(0, share-m.last.Shares[region])
	}
	m.steps = append(m.steps, step{m.last.At, mass})
	// During a change of the cap the wider of the two applies.
	fraction, every := max(w.Fraction, m.last.Fraction), min(w.Every, m.last.Every)
	m.last = w
	allowed := fraction
	if last := w.At.Sub(m.steps[len(m.steps)-1].from); last > every {
		// Two readings that are further apart allow the cap for each span.
		allowed = fraction * math.Ceil(float64(last)/float64(every))
		m.steps = m.steps[len(m.steps)-1:]
	} else {
		edge := w.At.Add(-every)
		m.steps = slices.DeleteFunc(m.steps, func(s step) bool { return s.from.Before(edge) })
	}
	sum := 0.0
	for _, s := range m.steps {
		sum += s.mass
	}
	if sum > allowed+rounding {
		c.breach(Cap, w.At, "service %s at host %s: %.4f of the weight moved since %s, the cap allows %.4f", w.Service, w.Host, sum, m.steps[0].from.Format(time.StampMilli), allowed)
	}
}

// Flight is the number of requests in flight at something with a limit: an
// upstream or a region.
type Flight struct {
	At    time.Time
	Kind  string
	Name  string
	Count int
	Limit int
}

// Flight feeds a count of requests in flight.
func (c *Checker) Flight(f Flight) {
	if f.Count > f.Limit {
		c.breach(Overload, f.At, "%s %s: %d requests in flight, the limit is %d", f.Kind, f.Name, f.Count, f.Limit)
	}
}

// Window is what a link carried in one direction in the Length before At. Rate
// is its limit in bytes per second.
type Window struct {
	At     time.Time
	Length time.Duration
	From   string
	To     string
	Bytes  int64
	Rate   int64
}

// Window feeds the bytes that a link carried.
func (c *Checker) Window(w Window) {
	if limit := float64(w.Rate) * w.Length.Seconds(); float64(w.Bytes) > limit {
		c.breach(Overload, w.At, "link %s/%s: %d bytes in %v, the limit is %.0f", w.From, w.To, w.Bytes, w.Length, limit)
	}
}

// Draining feeds the first sign that an upstream leaves.
func (c *Checker) Draining(at time.Time, upstream string) {
	if _, ok := c.leaving[upstream]; !ok {
		c.leaving[upstream] = at
	}
}

// Returned feeds that an upstream takes work again.
func (c *Checker) Returned(upstream string) { delete(c.leaving, upstream) }

// CutOff feeds requests that the stop of a host ended. Only a planned stop
// without a hard deadline promises that there are none.
func (c *Checker) CutOff(at time.Time, host string, planned bool, ids ...string) {
	if planned && len(ids) > 0 {
		c.breach(Graceful, at, "the planned stop of host %s cut off %s", host, strings.Join(ids, ", "))
	}
}

// Finish feeds the end of the run: nothing is in flight any more. Requests that
// were never answered and versions that are not in force are breaches.
func (c *Checker) Finish(at time.Time) {
	c.Tick(at)
	for _, id := range slices.Sorted(maps.Keys(c.requests)) {
		if r := c.requests[id]; r.sent && !r.answered {
			c.breach(Complete, at, "request %s was sent at %s and never answered", id, r.at.Format(time.StampMilli))
		}
	}
}
