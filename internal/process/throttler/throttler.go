// Package throttler divides what a cold upstream bears among the hosts, without
// asking anyone.
//
// Few hosts feed a cold upstream, the first ones in an order by hash that all
// hosts share. A host that has just started may not know the others yet, so it
// counts those that are recorded in the store, and feeds nothing before it has
// read them.
package throttler

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// steady and burst are the parts of the limit that the even rate of all
	// feeders and one request of each take. Together they are half of it, so that
	// two groups of hosts that don't see each other stay within it.
	steady = 0.34
	burst  = 0.15
	// settle is how long a host takes to find the others: joining takes up to 2 s
	// after the first seed answers, and seeds may start as late as this host.
	settle = 6 * time.Second
	// unknown is the number of hosts that is assumed before any is known. It is
	// the size of the largest fleet in use, rounded up.
	unknown = 100
	// placesMost bounds the upstreams for which the place is kept.
	placesMost = 4096
)

// Limit is what all hosts together may send to a cold upstream in one second:
// Factor times what it bears, plus Slack requests.
type Limit struct {
	Factor, Slack float64
}

// Throttler is the view of one host. It is safe for concurrent use.
type Throttler struct {
	name  string
	start time.Time

	mu       sync.Mutex
	limit    Limit
	live     []string
	recorded []string
	unheard  []string // recorded, not live
	read     bool
	places   map[string]place // by upstream, since the hosts changed
}

// place counts the hosts before this one in the order for an upstream.
type place struct{ live, unheard int }

// New returns the view of a host that starts at the given time.
func New(name string, l Limit, start time.Time) *Throttler {
	return &Throttler{name: name, limit: l, start: start}
}

// SetLimit changes the limit.
func (f *Throttler) SetLimit(l Limit) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.limit = l
}

// Resume says that the process was paused until now. The hosts that it knew to
// answer may not be those that answer now, as after a start.
func (f *Throttler) Resume(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.start = now
}

// SetLive sets the other hosts that answer.
func (f *Throttler) SetLive(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !slices.Equal(names, f.live) {
		f.live = names
		f.compare()
	}
}

// SetRecorded sets the hosts that are recorded in the store.
func (f *Throttler) SetRecorded(names []string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.recorded, f.read = names, true
	f.compare()
}

// compare finds the other hosts that are recorded and do not answer. Called with
// mu held.
func (f *Throttler) compare() {
	live := make(map[string]bool, len(f.live))
	for _, name := range f.live {
		live[name] = true
	}
	clear(f.places)
	f.unheard = nil
	for _, name := range f.recorded {
		if name != f.name && !live[name] {
			f.unheard = append(f.unheard, name)
		}
	}
}

// FleetSize returns how many hosts share a limit, at least 1, given those that the
// membership knows.
func (f *Throttler) FleetSize(known int, now time.Time) int {
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case now.Sub(f.start) >= settle:
		return max(known, 1)
	case !f.read:
		return max(known, unknown)
	default:
		return max(known, len(f.recorded), 1)
	}
}

// Rate returns how many requests per second this host may send to a cold
// upstream that bears perSecond, evenly spaced; 0 for none.
func (f *Throttler) Rate(upstream string, perSecond float64, now time.Time) float64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	starting := now.Sub(f.start) < settle
	if starting && !f.read {
		return 0
	}
	most := perSecond*f.limit.Factor + f.limit.Slack
	feeders := max(1, int(burst*most))
	at := f.place(upstream)
	ahead := at.live
	if starting {
		ahead += at.unheard
	}
	if ahead >= feeders {
		return 0
	}
	return steady * most / float64(feeders)
}

// place returns the place of this host, which is kept until the hosts change. Called
// with mu held.
func (f *Throttler) place(upstream string) place {
	p, ok := f.places[upstream]
	if ok {
		return p
	}
	own := order(f.name, upstream)
	p = place{before(own, f.live, upstream), before(own, f.unheard, upstream)}
	if f.places == nil || len(f.places) >= placesMost {
		f.places = make(map[string]place)
	}
	f.places[upstream] = p
	return p
}

// before counts the hosts whose value for an upstream is above own.
func before(own uint64, hosts []string, upstream string) int {
	n := 0
	for _, name := range hosts {
		if order(name, upstream) > own {
			n++
		}
	}
	return n
}

// order returns the value by which hosts are ordered for an upstream.
func order(host, upstream string) uint64 {
	var room [128]byte // names of hosts and upstreams are shorter
	return xxhash.Sum64(append(append(append(room[:0], host...), '/'), upstream...))
}
