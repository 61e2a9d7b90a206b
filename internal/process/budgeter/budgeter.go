// Package budgeter limits how many requests are sent to a second upstream, so
// that failures do not multiply the load of a service.
//
// The limit holds for all hosts together over a sliding window: a fraction of
// the requests plus a fixed number. Each host uses the fraction of its own
// requests and an equal part of the fixed number, so no host has to ask another.
package budgeter

import (
	"sync"
	"time"
)

const (
	// buckets is how many parts the window has. One more is counted, so that any
	// span of the window's length lies within what is counted.
	buckets = 10
	// margin is the part of the limit that is used, since a request counts for
	// callers and upstreams at slightly different times.
	margin = 0.85
)

// Limit is what all hosts together may send beyond the first attempt of each
// request.
type Limit struct {
	Ratio  float64 // of the requests in the window
	Fixed  float64 // in the window, whatever the number of requests
	Window time.Duration
}

// Budgeter counts the requests and second attempts of one host. It is safe for
// concurrent use.
type Budgeter struct {
	hosts func() int
	start time.Time

	mu       sync.Mutex
	limit    Limit
	services map[string]*service
}

type service struct {
	slot     int64 // number of the newest bucket
	requests [buckets + 1]float64
	extras   [buckets + 1]float64
}

// New returns a Budgeter. Hosts returns how many hosts share the fixed number.
func New(l Limit, hosts func() int) *Budgeter {
	return &Budgeter{limit: l, hosts: hosts, start: time.Now(), services: make(map[string]*service)}
}

// SetLimit changes the limit. The window stays, because the counts are kept in
// parts of it.
func (b *Budgeter) SetLimit(l Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.Window = b.limit.Window
	b.limit = l
}

// at returns the counts of a service with the window moved to now. Called with
// mu held.
func (b *Budgeter) at(name string, now time.Time) *service {
	s := b.services[name]
	slot := int64(now.Sub(b.start) / (b.limit.Window / buckets)) // monotonic
	if s == nil {
		s = &service{slot: slot}
		b.services[name] = s
	}
	if slot-s.slot > buckets {
		*s = service{slot: slot}
	}
	for s.slot < slot {
		s.slot++
		i := s.slot % (buckets + 1)
		s.requests[i], s.extras[i] = 0, 0
	}
	return s
}

// CountRequest counts a request for a service. It is called once for each.
func (b *Budgeter) CountRequest(name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.at(name, now)
	s.requests[s.slot%(buckets+1)]++
}

// AllowExtraAttempt reports whether one more attempt may be sent, and counts it.
func (b *Budgeter) AllowExtraAttempt(name string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.at(name, now)
	var requests, extras float64
	for i := range s.requests {
		requests += s.requests[i]
		extras += s.extras[i]
	}
	allowed := b.limit.Ratio*requests + b.limit.Fixed/float64(max(1, b.hosts()))
	if extras+1 > margin*allowed {
		return false
	}
	s.extras[s.slot%(buckets+1)]++
	return true
}
