// Package budgeter limits the extra attempts of requests, that is retries and hedges, so
// that failures do not multiply the load of a service.
//
// The limit applies to all hosts together over a sliding window: a fraction of the
// requests plus a fixed number. Each host may use that fraction of its own requests and
// an equal share of the fixed number, so that hosts need not communicate. An earlier process
// of the host may have used the share just before it ended, so a process has it only
// when one window has passed.
package budgeter

import (
	"sync"
	"time"
)

const (
	// windowBuckets is the number of buckets in the window. The counts cover one bucket
	// more, so that they include any span of the length of the window.
	windowBuckets = 10
	// usableFraction is the fraction of the limit that is used. The rest allows for
	// callers and upstreams that count a request at slightly different times.
	usableFraction = 0.85
)

// Limit is the number of extra attempts, beyond the first one of each request, that all
// hosts together may send to a service.
type Limit struct {
	Ratio  float64 // extra attempts per request in the window
	Fixed  float64 // extra attempts in the window on top of that
	Window time.Duration
}

// Budgeter counts the requests and extra attempts of one host. It is safe for
// concurrent use.
type Budgeter struct {
	hosts func() int
	start time.Time

	mu       sync.Mutex
	limit    Limit
	services map[string]*service
}

// service holds the counts of one service. Buckets form a ring.
type service struct {
	newest        int64 // index of the newest bucket, counted from the start
	requests      [windowBuckets + 1]float64
	extraAttempts [windowBuckets + 1]float64
}

// New returns a Budgeter for a process that started at the given time. Hosts returns the
// number of hosts that share the fixed number; a value below 1 counts as 1.
func New(l Limit, hosts func() int, start time.Time) *Budgeter {
	return &Budgeter{limit: l, hosts: hosts, start: start, services: make(map[string]*service)}
}

// SetLimit changes the limit except its window, whose length determines the buckets of
// the existing counts.
func (b *Budgeter) SetLimit(l Limit) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l.Window = b.limit.Window
	b.limit = l
}

// counts returns the counts of a service after it dropped the buckets that are no longer
// in the window. The caller holds mu.
func (b *Budgeter) counts(name string, now time.Time) *service {
	s := b.services[name]
	newest := int64(now.Sub(b.start) / (b.limit.Window / windowBuckets)) // on the monotonic clock
	if s == nil {
		s = &service{newest: newest}
		b.services[name] = s
	}
	if newest-s.newest > windowBuckets {
		*s = service{newest: newest}
	}
	for s.newest < newest {
		s.newest++
		i := s.newest % (windowBuckets + 1)
		s.requests[i], s.extraAttempts[i] = 0, 0
	}
	return s
}

// CountRequest counts a request for a service. It is called once per request.
func (b *Budgeter) CountRequest(name string, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.counts(name, now)
	s.requests[s.newest%(windowBuckets+1)]++
}

// AllowExtraAttempt reports whether one extra attempt may be sent, and counts it if so.
func (b *Budgeter) AllowExtraAttempt(name string, now time.Time) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	s := b.counts(name, now)
	var requests, extraAttempts float64
	for i := range s.requests {
		requests += s.requests[i]
		extraAttempts += s.extraAttempts[i]
	}
	allowed := b.limit.Ratio * requests
	if now.Sub(b.start) >= b.limit.Window {
		allowed += b.limit.Fixed / float64(max(1, b.hosts()))
	}
	if extraAttempts+1 > usableFraction*allowed {
		return false
	}
	s.extraAttempts[s.newest%(windowBuckets+1)]++
	return true
}
