package router

import (
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/gauger"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

const (
	// maxRandomDraws bounds the random draws of an upstream before the list is
	// scanned in order.
	maxRandomDraws = 8

	// maxScannedUpstreams bounds the scan of the list. Under overload most upstreams
	// are full, and examining 345 of them for each request would exceed the target
	// of 2 µs. A request that misses a free slot waits.
	maxScannedUpstreams = 64

	// maxZoneScoreGap is how much the score of the best upstream drawn from the host's
	// availability zone may exceed that of one in another zone. With two units at
	// an upstream, one request in flight uses half of them.
	maxZoneScoreGap = 0.5

	// errorRatePenalty multiplies the score by up to 1+errorRatePenalty. An upstream
	// that fails quickly always has few requests in flight, so its score must
	// exceed that of a busy one. Squaring the error rate makes single errors
	// negligible.
	errorRatePenalty = 32
)

// candidate is an upstream that can take the request now.
type candidate struct {
	upstream *planner.Upstream
	reading  gauger.Reading
	flight   int
	units    int // units of this host, free and in use
}

// score estimates how loaded the upstream is: the used fraction of this host's own
// units, plus weight times the reported used fraction of all slots. The reported
// load counts as at least this host's own requests. Both terms are fractions: in
// absolute requests, the load reported for the whole fleet would outweigh this
// host's count, which is the only one without delay.
func (c *candidate) score(weight float64) float64 {
	e := c.reading.Errors()
	if c.reading.Warm() <= 0 {
		// No gauge or capacity is set, so all upstreams are equal.
		return 0
	}
	own := float64(1+c.flight) / float64(c.units)
	all := float64(max(c.reading.Load(), c.flight)) / float64(c.upstream.Slots())
	return (own + weight*all) / c.reading.Warm() * (1 + errorRatePenalty*e*e)
}

// weight returns the weight of the reported load in the score. A report of zero
// is ignored: a faulty endpoint that always reports zero would receive up to twice
// an equal share, and the requests of one host are too few to correct that when
// many hosts use the upstream.
func (c *candidate) weight() float64 {
	if c.reading.Load() == 0 {
		return 0
	}
	return c.reading.LoadWeight()
}

// better returns the candidate with the lower score and its score. Both reported
// loads use the weight of the older report, so that an upstream without recent
// reports is not mistaken for an idle one.
func better(a, b candidate) (candidate, float64) {
	switch {
	case a.upstream == nil && b.upstream == nil:
		return a, 0
	case b.upstream == nil:
		return a, a.score(a.weight())
	case a.upstream == nil:
		return b, b.score(b.weight())
	}
	w := min(a.weight(), b.weight())
	x, y := a.score(w), b.score(w)
	if y < x {
		return b, y
	}
	return a, x
}

// pick returns an upstream of the region. If there is none, full reports
// whether an upstream lacks nothing but a free slot.
func (r *Router) pick(now time.Time, q *Query, region *planner.Region, rng *stream) (u *planner.Upstream, full bool) {
	ownZone, otherZones := r.zones(q, region.Index())
	a, score, ownFull := r.pair(now, q, ownZone, rng)
	if a.upstream != nil && (len(otherZones) == 0 || score <= maxZoneScoreGap) {
		return a.upstream, false
	}
	b, other, othersFull := r.pair(now, q, otherZones, rng)
	if a.upstream != nil && b.upstream != nil {
		w := min(a.weight(), b.weight())
		score, other = a.score(w), b.score(w)
	}
	switch {
	case b.upstream == nil || (a.upstream != nil && score <= other+maxZoneScoreGap):
		return a.upstream, ownFull || othersFull
	default:
		return b.upstream, false
	}
}

// pair draws two candidates and returns the better one with its score.
func (r *Router) pair(now time.Time, q *Query, ups []*planner.Upstream, rng *stream) (c candidate, score float64, full bool) {
	var first candidate
	n := len(ups)
	if n == 0 {
		return first, 0, false
	}
	for range maxRandomDraws {
		u := ups[rng.below(n)]
		if full && r.skips(q, u) {
			continue
		}
		found, lacks := r.examine(now, q, u, rng)
		full = full || lacks
		if found.upstream == nil {
			continue
		}
		if first.upstream == nil {
			first = found
			continue
		}
		if n > 1 && found.upstream == first.upstream {
			continue
		}
		c, score = better(first, found)
		return c, score, full
	}
	if first.upstream != nil {
		c, score = better(first, candidate{})
		return c, score, full
	}
	return r.search(now, q, ups, rng, full)
}

// search returns the first candidate in list order from a random offset. The
// argument full says whether pair found a full upstream.
func (r *Router) search(now time.Time, q *Query, ups []*planner.Upstream, rng *stream, full bool) (candidate, float64, bool) {
	n := len(ups)
	start := rng.below(n)
	for i := range min(n, maxScannedUpstreams) {
		u := ups[(start+i)%n]
		if full && r.skips(q, u) {
			continue
		}
		found, lacks := r.examine(now, q, u, rng)
		full = full || lacks
		if found.upstream != nil {
			c, score := better(found, candidate{})
			return c, score, full
		}
	}
	return candidate{}, 0, full
}

// skips reports whether the upstream need not be examined after a full one was
// found in the region. The health of another full upstream does not change the
// result. With a Trace each upstream is examined, so that its reason is recorded.
func (r *Router) skips(q *Query, u *planner.Upstream) bool {
	return q.Trace == nil && r.capacity != nil && r.capacity.Free(u) <= 0
}

// examine returns the upstream as a candidate if it can take the request now;
// otherwise lacks reports whether only a free slot is missing.
func (r *Router) examine(now time.Time, q *Query, u *planner.Upstream, rng *stream) (c candidate, lacks bool) {
	if q.excludes(u) {
		q.reject(u.Region(), u, "tried before")
		return candidate{}, false
	}
	if r.gauge == nil || r.capacity == nil {
		return candidate{upstream: u}, false
	}
	reading := r.gauge.Read(u, now)
	if !reading.Usable() {
		reason := reading.State().String()
		if reading.Shedding() {
			reason = "shedding"
		}
		q.reject(u.Region(), u, reason)
		return candidate{}, false
	}
	free, flight := r.capacity.Free(u), r.capacity.InFlight(u)
	if free <= 0 {
		q.reject(u.Region(), u, "no free slot")
		return candidate{}, true
	}
	// A fractional slot is granted in that fraction of the draws.
	if warm := reading.Warm(); warm < 1 && float64(flight)+rng.unit() > warm*float64(free+flight) {
		q.reject(u.Region(), u, "warming up")
		return candidate{}, true
	}
	return candidate{u, reading, flight, free + flight}, false
}
