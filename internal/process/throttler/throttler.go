// Package throttler divides the rate limits of upstreams among the hosts.
//
// A limit that an upstream states in its responses is divided in proportion to the requests
// that each host sends to the region of the upstream.
//
// The limit of a cold upstream is divided without communication. Only few hosts send to a
// cold upstream: the first ones in an order by hash that all hosts compute alike. A host
// that has just started may not have discovered the others yet, so it also counts those
// that are recorded in the store, and sends nothing to cold upstreams before it has read
// them.
package throttler

import (
	"math"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
)

const (
	// steadyFraction and burstFraction are the fractions of the limit for the evenly
	// spaced requests of all senders, and for one further request of each sender. Together
	// they are about half of the limit, so that two groups of hosts on the sides of a
	// network partition stay within it.
	steadyFraction = 0.34
	burstFraction  = 0.15
	// discoveryTime is the time that a host takes to discover the others: joining takes up
	// to 2 s after the first seed responds, and seeds may start as late as this host.
	discoveryTime = 6 * time.Second
	// usableRateFraction is the fraction of an upstream's rate limit that the hosts use.
	// The rest is for the time in which a change of the demand spreads among the hosts.
	usableRateFraction = 0.8
	// minFlowFactor is the least flow of a host that counts, as a fraction of the mean of
	// all hosts, so that a host with few callers still notices the end of a limit.
	minFlowFactor = 0.1
	// assumedHosts is the number of hosts that is assumed before any is known. It is the
	// size of the largest fleet in use, rounded up.
	assumedHosts = 100
	// maxRanks bounds the number of upstreams for which a rank is cached.
	maxRanks = 4096
)

// Limit bounds the requests that all hosts together may send to a cold upstream in any
// one second: Factor times the capacity of the upstream, plus Slack.
type Limit struct {
	Factor, Slack float64
}

// Throttler computes the share of one host. It is safe for concurrent use.
type Throttler struct {
	name  string
	start time.Time

	mu           sync.Mutex
	limit        Limit
	live         []string
	recorded     []string
	unresponsive []string // recorded, not live
	recordedRead bool
	ranks        map[string]rank // by upstream; cleared when the hosts change
}

// rank is the position of this host in the order for an upstream, as the number of hosts
// ahead of it.
type rank struct{ live, unresponsive int }

// New returns a Throttler for the host with the given name and start time.
func New(name string, l Limit, start time.Time) *Throttler {
	return &Throttler{name: name, limit: l, start: start}
}

// SetLimit changes the limit.
func (t *Throttler) SetLimit(l Limit) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.limit = l
}

// Resume records that the process was paused until now. As after a start, the live hosts
// have to be discovered again.
func (t *Throttler) Resume(now time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.start = now
}

// SetLive sets the names of the other hosts that respond. It keeps the slice.
func (t *Throttler) SetLive(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if !slices.Equal(names, t.live) {
		t.live = names
		t.compare()
	}
}

// SetRecorded sets the names of the hosts that are recorded in the store. It keeps the
// slice.
func (t *Throttler) SetRecorded(names []string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.recorded, t.recordedRead = names, true
	t.compare()
}

// compare updates the list of other hosts that are recorded but not live, and discards
// the ranks. The caller holds mu.
func (t *Throttler) compare() {
	live := make(map[string]bool, len(t.live))
	for _, name := range t.live {
		live[name] = true
	}
	clear(t.ranks)
	t.unresponsive = nil
	for _, name := range t.recorded {
		if name != t.name && !live[name] {
			t.unresponsive = append(t.unresponsive, name)
		}
	}
}

// FleetSize returns the number of hosts that share a limit, at least 1, given the number
// of hosts in the membership list.
func (t *Throttler) FleetSize(known int, now time.Time) int {
	t.mu.Lock()
	defer t.mu.Unlock()
	discovering := now.Sub(t.start) < discoveryTime
	switch {
	case !t.recordedRead && (discovering || known <= 1):
		return max(known, assumedHosts)
	case !discovering:
		return max(known, 1)
	default:
		return max(known, len(t.recorded), 1)
	}
}

// RateShare returns the part of an upstream's rate limit that this host may use. flow is
// the part of the requests to the upstream's region that comes from this host rather than
// from other live hosts. live is the number of live hosts, and known that of all hosts in
// the membership list. Hosts that do not respond may still send requests, so their part of
// the limit stays unused.
func (t *Throttler) RateShare(upstream string, flow float64, live, known int, now time.Time) registrar.RateShare {
	fleet := float64(t.FleetSize(known, now))
	fraction := max(min(flow, 1)*float64(live)/fleet, minFlowFactor/fleet)
	return registrar.RateShare{
		Fraction: usableRateFraction * fraction,
		Phase:    float64(hostScore(t.name, upstream)) / math.MaxUint64,
	}
}

// Rate returns how many requests per second, evenly spaced, this host may send to a cold
// upstream with a capacity of perSecond requests per second. It may be 0.
func (t *Throttler) Rate(upstream string, perSecond float64, now time.Time) float64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	discovering := now.Sub(t.start) < discoveryTime
	if discovering && !t.recordedRead {
		return 0
	}
	fleetRate := perSecond*t.limit.Factor + t.limit.Slack
	senders := max(1, int(burstFraction*fleetRate))
	own := t.rank(upstream)
	ahead := own.live
	if discovering {
		ahead += own.unresponsive
	}
	if ahead >= senders {
		return 0
	}
	return steadyFraction * fleetRate / float64(senders)
}

// rank returns the rank of this host for an upstream, which is cached until the hosts
// change. The caller holds mu.
func (t *Throttler) rank(upstream string) rank {
	r, ok := t.ranks[upstream]
	if ok {
		return r
	}
	own := hostScore(t.name, upstream)
	r = rank{countAhead(own, t.live, upstream), countAhead(own, t.unresponsive, upstream)}
	if t.ranks == nil || len(t.ranks) >= maxRanks {
		t.ranks = make(map[string]rank)
	}
	t.ranks[upstream] = r
	return r
}

// countAhead returns the number of hosts whose score for an upstream is above own.
func countAhead(own uint64, hosts []string, upstream string) int {
	n := 0
	for _, name := range hosts {
		if hostScore(name, upstream) > own {
			n++
		}
	}
	return n
}

// hostScore returns the score by which hosts are ordered for an upstream.
func hostScore(host, upstream string) uint64 {
	var buf [128]byte // names of hosts and upstreams are shorter
	return xxhash.Sum64(append(append(append(buf[:0], host...), '/'), upstream...))
}
