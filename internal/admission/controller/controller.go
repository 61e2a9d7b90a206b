// Package controller decides how long each request may wait in the queues of a service that is
// short of capacity, by its priority and its client account.
//
//	d := c.Admit(&request, now)
//	// Choose an upstream whose expected queue wait is within d.QueueShare of the usual limit, or
//	// refuse the request with c.RetryAfter if there is none.
//	c.Observe(&request, controller.Outcome{Event: controller.Started, QueueWait: wait, MaxQueueWait: limit}, now)
//
// Each host decides alone, by what happened to its own requests. The state of a service is one
// threshold: levels of less urgent requests are closed one after the other while more urgent
// requests are refused or queue for long, and opened again when they are not. A level that closes
// loses its place in the queues of upstreams; it still gets slots that are free.
// The page docs/design/admission.md gives the reasons.
package controller

import (
	"maps"
	"math/rand/v2"
	"slices"
	"sync/atomic"
	"time"
)

// Request is what the decision depends on.
type Request struct {
	Service  string
	Urgency  int    // 0 is the most urgent
	Account  string // "" without one
	Returned bool   // the caller sends it again after a refusal
	Timeout  time.Duration
}

// Reason says which rule decided.
type Reason uint8

// The reasons of a decision.
const (
	Open       Reason = iota // the level is open
	Short                    // admitted with a shorter queue, because the level is closing
	Guaranteed               // admitted as part of the minimum share of the level or account
)

// String returns the name used in logs and metrics.
func (r Reason) String() string {
	return [...]string{"open", "short", "guaranteed"}[min(r, Guaranteed)]
}

// Decision says how long a request may wait for its turn.
type Decision struct {
	Reason     Reason
	QueueShare float64 // of the usual limit of the queue wait that the request may wait
}

// Event is what happened to an admitted request.
type Event uint8

// The events. A request has one of Started and NoCapacity for each choice of an upstream that
// follows its admission or the event Shed.
const (
	Started    Event = iota // an upstream was chosen, with the expected QueueWait
	NoCapacity              // no upstream could be chosen
	Shed                    // the upstream refused the started request because its queue is full
	Waited                  // the started request had the QueueWait in fact
)

// Outcome describes an event.
type Outcome struct {
	Event Event
	// QueueWait is the shortest wait at an upstream after NoCapacity if it only exceeds the
	// QueueShare of the request, and otherwise 0.
	QueueWait    time.Duration
	MaxQueueWait time.Duration // longest queue wait that is useful
}

// Controller decides about the requests of one host. It is safe for concurrent use.
type Controller struct {
	seed     uint64
	services atomic.Pointer[map[string]*service]
}

// New returns a Controller to which all services have capacity. Controllers of different hosts have
// different seeds, so that their thresholds do not move together.
func New(seed uint64, _ time.Time) *Controller {
	c := &Controller{seed: seed}
	c.services.Store(&map[string]*service{})
	return c
}

// SetUrgencies sets the urgencies of the requests that each service may get, in ascending order.
// The state of services whose urgencies do not change is kept. Calls must not overlap.
func (c *Controller) SetUrgencies(byService map[string][]int) {
	old := *c.services.Load()
	services := make(map[string]*service, len(byService))
	for _, name := range slices.Sorted(maps.Keys(byService)) {
		urgencies := byService[name]
		if s := old[name]; s != nil && slices.Equal(s.urgencies, urgencies) {
			services[name] = s
			continue
		}
		services[name] = newService(urgencies, rand.New(rand.NewPCG(c.seed, uint64(len(services)))))
	}
	c.services.Store(&services)
}

func (c *Controller) service(name string) *service { return (*c.services.Load())[name] }

// Admit decides about a request. It gives all requests of an unknown service, and of one with a
// single urgency, the whole queue.
func (c *Controller) Admit(r *Request, now time.Time) Decision {
	s := c.service(r.Service)
	if s == nil || !s.multilevel {
		return Decision{QueueShare: 1}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.admit(r, now)
}

// Observe records an event of an admitted request.
func (c *Controller) Observe(r *Request, o Outcome, now time.Time) {
	if s := c.service(r.Service); s != nil && s.multilevel {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.observe(r, &o, now)
	}
}

// RetryAfter returns when the caller of a refused request should send it again. UntilCapacity is
// the estimated time until an upstream has capacity, 0 if there is no estimate.
func (c *Controller) RetryAfter(r *Request, untilCapacity time.Duration, now time.Time) time.Duration {
	s := c.service(r.Service)
	if s == nil {
		wait := min(max(untilCapacity, minRetryAfter), maxRetryAfter)
		return wait + time.Duration(rand.Float64()*openJitter*float64(wait))
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.multilevel {
		return s.openRetryAfter(untilCapacity)
	}
	return s.retryAfter(r, untilCapacity, now)
}

// LevelReport is the state of the requests of one urgency.
type LevelReport struct {
	Urgency  int
	Closure  float64 // 0 is open, 1 is closed
	Pressure float64 // fraction of the requests that were refused for lack of capacity or wait long
	Requests int64   // since the host started
}

// State returns what happens to most requests of the level.
func (l *LevelReport) State() Reason {
	if l.Closure > 0 {
		return Short
	}
	return Open
}

// ServiceReport is the state of a service, with the levels by urgency.
type ServiceReport struct {
	Service string
	Levels  []LevelReport
}

// Report returns the state of all services by name.
func (c *Controller) Report(now time.Time) []ServiceReport {
	services := *c.services.Load()
	var out []ServiceReport
	for _, name := range slices.Sorted(maps.Keys(services)) {
		out = append(out, ServiceReport{Service: name, Levels: services[name].report(now)})
	}
	return out
}
