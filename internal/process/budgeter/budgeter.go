// Package budgeter limits the extra attempts of requests, that is retries and hedges, so
// that failures do not multiply the load of a service.
//
// The limit applies to all hosts together over a sliding window: a fraction of the
// requests plus a fixed number. Each host may use that fraction of its own requests and
// an equal share of the fixed number, so that hosts need not communicate.
//
// An earlier process of the host may have used all that it was allowed just before it ended. So
// a process has its share of the fixed number only when one window has passed, and of the
// fraction a part is for extra attempts right away, whenever the requests came in the window,
// and the rest is earned by the requests since. Until one window has passed, a process has only
// what is earned: that and the part for right away of the earlier process are together within
// the limit.
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
	// burstFraction is the part of what the requests in the window allow that extra attempts may
	// use up at once. The rest may only be used as far as the requests since the first of these
	// attempts allow it.
	burstFraction = 0.4
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
	if now.Sub(b.start) < b.limit.Window {
		return s.allowNew(b.limit.Ratio)
	}
	all, _ := s.sum(windowBuckets + 1)
	atOnce := burstFraction*b.limit.Ratio*all + b.limit.Fixed/float64(max(1, b.hosts()))
	for buckets := range windowBuckets + 1 {
		requests, extraAttempts := s.sum(buckets + 1)
		if extraAttempts+1 > usableFraction*(atOnce+(1-burstFraction)*b.limit.Ratio*requests) {
			return false
		}
	}
	s.countExtraAttempt()
	return true
}

// allowNew is AllowExtraAttempt for a process that is younger than the window.
func (s *service) allowNew(ratio float64) bool {
	requests, extraAttempts := s.sum(windowBuckets + 1)
	if extraAttempts+1 > usableFraction*(1-burstFraction)*ratio*requests {
		return false
	}
	s.countExtraAttempt()
	return true
}

func (s *service) countExtraAttempt() { s.extraAttempts[s.newest%(windowBuckets+1)]++ }

// sum returns the requests and the extra attempts in the newest buckets.
func (s *service) sum(buckets int) (requests, extraAttempts float64) {
	for i := range buckets {
		bucket := (s.newest + windowBuckets + 1 - int64(i)) % (windowBuckets + 1)
		requests += s.requests[bucket]
		extraAttempts += s.extraAttempts[bucket]
	}
	return requests, extraAttempts
}
