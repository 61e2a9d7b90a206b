// Package recognizer recognizes requests that their callers send again after a refusal. Callers
// state the time that they still wait, and that of a returned request is shorter than the
// longest one that was seen on its route lately.
package recognizer

import (
	"sync"
	"time"
)

const (
	// expiry is the time after which a timeout no longer counts. Each is kept for one to two
	// times as long.
	expiry = 10 * time.Second
	// maxRoutes bounds the routes whose timeouts are kept. Requests of further ones are not
	// recognized.
	maxRoutes = 4096
	// tolerance is the difference between the timeouts of requests that are sent for the
	// first time, which the caller and the network cause. No refusal asks a caller to wait
	// for less.
	tolerance = 40 * time.Millisecond
)

// Recognizer keeps the longest timeout for each route. It is safe for concurrent use. The zero
// value is ready to use.
type Recognizer struct {
	mu      sync.Mutex
	begin   time.Time // of the current period
	longest map[string]timeouts
}

// timeouts are the longest timeouts of a route.
type timeouts struct{ current, previous time.Duration }

// Returned reports whether a request of the route with this timeout was probably refused before.
// Now must not decrease by more than a request takes.
func (r *Recognizer) Returned(route string, timeout time.Duration, now time.Time) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.roll(now)
	t, known := r.longest[route]
	longest := max(t.current, t.previous)
	if timeout > t.current && (known || len(r.longest) < maxRoutes) {
		t.current = timeout
		r.longest[route] = t
	}
	return timeout < longest-tolerance
}

// roll begins a new period if the current one has ended.
func (r *Recognizer) roll(now time.Time) {
	age := now.Sub(r.begin)
	if age < expiry {
		return
	}
	r.begin = now
	if r.longest == nil || age >= 2*expiry {
		r.longest = make(map[string]timeouts)
		return
	}
	for route, t := range r.longest {
		if t.current == 0 {
			delete(r.longest, route)
			continue
		}
		r.longest[route] = timeouts{previous: t.current}
	}
}
