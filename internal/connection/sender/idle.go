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
	// idleDoubling is the time in which the trusted idle time doubles again. It is
	// a few times the period of the requests to one upstream.
	idleDoubling = 2 * time.Second
	// earlyMargin is what a reset of a forgotten connection may take beyond the way
	// there and back. An upstream that fails at work does so later.
	earlyMargin = 20 * time.Millisecond
	// quorumSize is how many upstreams must have forgotten a connection within
	// quorumSpan until none of them is trusted with an older one.
	quorumSize = 3
	quorumSpan = 2 * time.Second
)

// idleBound bounds how long a connection may have been idle when it carries a request
// again. Upstreams, and what stands before them, may drop idle connections without
// a notice and reset what is sent next; a request that may run only once is lost
// then. Time comes in as an argument. The zero value has no bound.
type idleBound struct {
	mu    sync.Mutex
	bound time.Duration // 0 for none
	since time.Time
}

// reduce notes that a connection was forgotten within an idle time.
func (b *idleBound) reduce(rested time.Duration, now time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bound, b.since = min(b.at(now), rested/2), now
}

// most returns the longest trusted idle time.
func (b *idleBound) most(now time.Time) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.at(now)
}

func (b *idleBound) at(now time.Time) time.Duration {
	if b.bound == 0 {
		return math.MaxInt64
	}
	grown := float64(b.bound) * math.Exp2(float64(now.Sub(b.since))/float64(idleDoubling))
	if grown > float64(time.Minute) {
		b.bound = 0
		return math.MaxInt64
	}
	return time.Duration(grown)
}

// quorum finds out when several upstreams forget connections at the same time.
type quorum struct {
	mu   sync.Mutex
	seen map[string]time.Time // address to the last time
}

// reached notes an address and reports whether enough others were noted lately.
func (q *quorum) reached(address string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.seen == nil {
		q.seen = make(map[string]time.Time)
	}
	q.seen[address] = now
	for a, t := range q.seen {
		if now.Sub(t) > quorumSpan {
			delete(q.seen, a)
		}
	}
	return len(q.seen) >= quorumSize
}
