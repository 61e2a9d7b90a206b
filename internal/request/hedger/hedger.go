// Package hedger decides when a request is also sent to a second upstream while its first
// attempt is in flight, and how much extra work such hedges may cause.
//
// A hedge starts when a response takes longer than most responses of the same route do. Hedges
// of a service may cause at most a fraction of the work of its requests on this host, so the
// same fraction holds for all hosts together without any communication. The state of upstreams
// and the time are arguments; the distribution of response times and the credit of each service
// are the only state.
//
//	h.Observe(now, key, took)
//	h.CountRequest(service, work)
//	delay, ok := h.Delay(now, key)
//	if h.Allow(service, hedgeWork) {
//		// send the hedge
//	}
package hedger

import (
	"sync"
	"time"
)

const (
	// delayQuantile is the fraction of responses that arrive before a hedge starts. With 0.95
	// at most one request in twenty is hedged while the distribution does not change.
	delayQuantile = 0.95
	// MinDelay prevents hedges of short requests because of scheduling delays.
	MinDelay = 100 * time.Millisecond
	// minSamples is the number of responses from which the quantile is used. With fewer, one
	// response decides about it.
	minSamples = 40
	// windowLength is the time after which the older half of the responses is dropped, so that
	// a distribution follows a change of the load within two windows.
	windowLength = 5 * time.Second
	// maxKeys bounds the distributions. Each takes 0.6 KB, so all take at most 1.2 MB.
	maxKeys = 2048
	// maxCreditHedges bounds the unused credit of a service, in hedges, so that a quiet time
	// does not allow a burst of hedges when the service becomes slow.
	maxCreditHedges = 10
)

// Key identifies a distribution of response times.
type Key struct {
	Service, Route string
	Warm           bool // the object was probably in the upstream's cache
}

// Hedger holds the distributions and credits of one host. It is safe for concurrent use.
type Hedger struct {
	mu            sync.Mutex
	fraction      float64
	distributions map[Key]*distribution
	credits       map[string]float64 // work in seconds that hedges may still cause, by service
}

// New returns a Hedger whose hedges cause at most a fraction of the work of a service; 0 turns
// hedges off.
func New(fraction float64) *Hedger {
	return &Hedger{fraction: fraction, distributions: make(map[Key]*distribution), credits: make(map[string]float64)}
}

// SetFraction changes the fraction.
func (h *Hedger) SetFraction(fraction float64) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.fraction = fraction
	if fraction <= 0 {
		clear(h.credits)
	}
}

// Observe records the time from dispatch to the response of an attempt that was not hedged, or
// after which it was given up.
func (h *Hedger) Observe(now time.Time, k Key, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fraction <= 0 {
		return
	}
	d := h.distributions[k]
	if d == nil {
		if len(h.distributions) >= maxKeys {
			clear(h.distributions)
		}
		d = new(distribution)
		h.distributions[k] = d
	}
	d.add(now, took)
}

// CountRequest counts a request for a service that is expected to keep a slot busy for the time
// work.
func (h *Hedger) CountRequest(service string, work time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fraction <= 0 {
		return
	}
	h.credits[service] = min(h.credits[service]+h.fraction*work.Seconds(), maxCreditHedges*work.Seconds())
}

// Delay returns the time after dispatch at which a request is hedged. ok is false if too few
// responses of its route are known to tell.
func (h *Hedger) Delay(now time.Time, k Key) (delay time.Duration, ok bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	d := h.distributions[k]
	if d == nil || h.fraction <= 0 {
		return 0, false
	}
	q, ok := d.quantile(now, delayQuantile)
	return max(q, MinDelay), ok
}

// Allow reports whether a hedge that keeps a slot busy for the time work may be sent, and takes
// it from the credit of the service if so.
func (h *Hedger) Allow(service string, work time.Duration) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.fraction <= 0 || h.credits[service] < work.Seconds() {
		return false
	}
	h.credits[service] -= work.Seconds()
	return true
}
