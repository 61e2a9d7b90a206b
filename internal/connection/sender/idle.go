package sender

import (
	"math"
	"sync"
	"time"
)

const (
	// minDroppedIdleTime is the least idle time after which a reset counts as a dropped
	// connection. A connection that was in use just before is reset for another reason.
	minDroppedIdleTime = 100 * time.Millisecond
	// idleLimitDoublingTime is the time in which an idle limit doubles again. It is a few
	// times the interval between requests to one upstream.
	idleLimitDoublingTime = 2 * time.Second
	// dropResetMargin is how long the reset of a dropped connection may take in addition
	// to the round-trip time. An upstream that fails while it runs a request takes longer.
	dropResetMargin = 20 * time.Millisecond
	// quorumUpstreams is the number of upstreams that must have dropped a connection
	// within quorumWindow before the idle time is limited for all upstreams.
	quorumUpstreams = 3
	quorumWindow    = 2 * time.Second
)

// idleLimit limits how long a connection may have been idle when it is reused. Upstreams
// and middleboxes may drop idle connections without notice and reset what is sent next,
// which loses a request that must not run twice. The limit falls with each dropped
// connection and grows exponentially afterwards. Callers pass the current time. The
// zero value is unlimited.
type idleLimit struct {
	mu    sync.Mutex
	limit time.Duration // 0 for unlimited
	setAt time.Time
}

// reduce lowers the limit to half the idle time after which a connection was dropped.
func (l *idleLimit) reduce(idleTime time.Duration, now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.limit, l.setAt = min(l.valueAt(now), idleTime/2), now
}

// current returns the limit in force.
func (l *idleLimit) current(now time.Time) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.valueAt(now)
}

func (l *idleLimit) valueAt(now time.Time) time.Duration {
	if l.limit == 0 {
		return math.MaxInt64
	}
	grown := float64(l.limit) * math.Exp2(float64(now.Sub(l.setAt))/float64(idleLimitDoublingTime))
	if grown > float64(time.Minute) {
		l.limit = 0
		return math.MaxInt64
	}
	return time.Duration(grown)
}

// quorum detects that several upstreams drop connections at the same time.
type quorum struct {
	mu    sync.Mutex
	drops map[string]time.Time // time of the last drop by address
}

// reached records a drop by an upstream and reports whether quorumUpstreams have dropped a
// connection within quorumWindow.
func (q *quorum) reached(address string, now time.Time) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.drops == nil {
		q.drops = make(map[string]time.Time)
	}
	q.drops[address] = now
	for a, t := range q.drops {
		if now.Sub(t) > quorumWindow {
			delete(q.drops, a)
		}
	}
	return len(q.drops) >= quorumUpstreams
}
