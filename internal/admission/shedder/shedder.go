// Package shedder decides when the requests of a service may no longer wait in queues for so long
// that their responses arrive after the latency target.
//
// A short burst is best queued: its responses arrive late, and nothing is refused. A lasting
// overload is not: the queues stay full, and every response is late although as many requests are
// served as with short queues. The Shedder tells the two apart by how many requests of the last
// interval met a long queue, as controlled delay (CoDel) does by the shortest wait of an interval.
//
//	if s.Overloaded(now, service) {
//		// choose only upstreams that respond within the latency target
//	}
//	s.Observe(now, service, metLongQueue)
//
// All state is in memory of one host and concerns the requests of that host; hosts exchange
// nothing. Decisions are pure functions of the observations and of the time passed in.
package shedder

import (
	"sync"
	"time"
)

const (
	// interval is the span over which requests are counted. It is longer than an upstream that
	// shares its machine is usually slow, and a fraction of the time in which callers give up.
	interval = 500 * time.Millisecond
	// startFraction and endFraction are the fractions of requests that meet a long queue, or no
	// capacity, from which and below which a service counts as overloaded. The gap between them
	// keeps the state from changing in every interval.
	startFraction = 0.3
	endFraction   = 0.1
	// minRequests is the number of requests in an interval from which it counts. With fewer,
	// one busy upstream decides.
	minRequests = 8
	// maxQuiet is the time after which a service without enough requests is not overloaded.
	maxQuiet = 2 * interval
	// maxServices bounds the memory for services, 100 bytes each.
	maxServices = 4096
)

// Shedder holds the state of all services on one host. It is safe for concurrent use.
type Shedder struct {
	mu       sync.Mutex
	services map[string]*service
}

// service counts the requests of the current interval.
type service struct {
	end        time.Time // of the interval
	requests   int
	delayed    int // requests that met a long queue or no capacity
	overloaded bool
}

// New returns a Shedder to which no service is overloaded.
func New() *Shedder { return &Shedder{services: make(map[string]*service)} }

// Overloaded reports whether requests of the service should be refused rather than wait for
// longer than the latency target allows.
func (s *Shedder) Overloaded(now time.Time, name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[name]
	return v != nil && v.overloaded && now.Before(v.end.Add(maxQuiet))
}

// Observe records the outcome of one choice of an upstream: delayed means that the response was
// expected after the latency target because of a queue, or that no upstream had capacity. changed
// reports whether the service became overloaded, or no longer is.
func (s *Shedder) Observe(now time.Time, name string, delayed bool) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	v := s.services[name]
	if v == nil {
		if len(s.services) >= maxServices {
			clear(s.services)
		}
		v = &service{end: now.Add(interval)}
		s.services[name] = v
	}
	if !now.Before(v.end) {
		changed = v.finishInterval(now)
	}
	v.requests++
	if delayed {
		v.delayed++
	}
	return changed
}

// finishInterval judges the interval that has ended and starts the next one. An interval with too
// few requests is extended, but not beyond maxQuiet.
func (v *service) finishInterval(now time.Time) (changed bool) {
	before := v.overloaded
	quiet := !now.Before(v.end.Add(maxQuiet))
	switch {
	case v.requests < minRequests && !quiet:
		v.end = now.Add(interval)
		return false
	case quiet || v.requests < minRequests:
		v.overloaded = false
	case v.overloaded:
		v.overloaded = float64(v.delayed) >= endFraction*float64(v.requests)
	default:
		v.overloaded = float64(v.delayed) >= startFraction*float64(v.requests)
	}
	v.requests, v.delayed, v.end = 0, 0, now.Add(interval)
	return v.overloaded != before
}
