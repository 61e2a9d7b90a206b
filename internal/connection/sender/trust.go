package sender

import (
	"math"
	"sync"
	"time"
)

const (
	// restLeast is the least idle time after which a connection may have been
	// forgotten. One that was busy a moment ago is lost for another reason.
	restLeast = 100 * time.Millisecond
	// trustDoubling is the time in which the trusted idle time doubles again. It is
	// a few times the period of the requests to one upstream.
	trustDoubling = 2 * time.Second
	// earlyMargin is what a reset of a forgotten connection may take beyond the way
	// there and back. An upstream that fails at work does so later.
	earlyMargin = 20 * time.Millisecond
	// witnesses is how many upstreams must have forgotten a connection within
	// witnessSpan until none of them is trusted with an older one.
	witnesses   = 3
	witnessSpan = 2 * time.Second
)

// trust bounds how long a connection may have been idle when it carries a request
// again. Upstreams, and what stands before them, may drop idle connections without
// a notice and reset what is sent next; a request that may run only once is lost
// then. Time comes in as an argument. The zero trust has no bound.
type trust struct {
	mu    sync.Mutex
	bound time.Duration // 0 for none
	since time.Time
}

// reduce notes that a connection was forgotten within an idle time.
func (t *trust) reduce(rested time.Duration, now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.bound, t.since = min(t.at(now), rested/2), now
}

// most returns the longest trusted idle time.
func (t *trust) most(now time.Time) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.at(now)
}

func (t *trust) at(now time.Time) time.Duration {
	if t.bound == 0 {
		return math.MaxInt64
	}
	grown := float64(t.bound) * math.Exp2(float64(now.Sub(t.since))/float64(trustDoubling))
	if grown > float64(time.Minute) {
		t.bound = 0
		return math.MaxInt64
	}
	return time.Duration(grown)
}

// panel finds out when several upstreams forget connections at the same time.
type panel struct {
	mu   sync.Mutex
	seen map[string]time.Time // address to the last time
}

// agrees notes an address and reports whether enough others were noted lately.
func (p *panel) agrees(address string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.seen == nil {
		p.seen = make(map[string]time.Time)
	}
	p.seen[address] = now
	for a, t := range p.seen {
		if now.Sub(t) > witnessSpan {
			delete(p.seen, a)
		}
	}
	return len(p.seen) >= witnesses
}
