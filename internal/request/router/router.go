// Package router chooses the region and the upstream for one request.
//
// The home region is drawn by a hash of the request and the effective weights.
// Within a region the better of two upstreams drawn at random is chosen. A request
// leaves its home region only within the traffic shift cap of the service.
//
//	r := router.New(capacity, weights, gauge, router.Place{Region: "bkk", Zone: "bkk-a"})
//	r.Install(plan)
//	choice, err := r.Choose(now, &query)
package router

import (
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/gauger"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Capacity provides the units of upstreams that this host may use.
type Capacity interface {
	// Free returns how many more requests this host may start at the upstream.
	Free(u *planner.Upstream) int
	// InFlight returns how many requests of this host are in flight at the upstream.
	InFlight(u *planner.Upstream) int
}

// Weights provides the effective region weights of services under the shift cap.
// Count counts a request of the service, and Spend reports whether a cross-region
// request is within the cap and counts it.
type Weights interface {
	Weights(s *planner.Service) []float64
	Count(s *planner.Service)
	Spend(s *planner.Service, now time.Time) bool
}

// Gauge provides the health and load of upstreams and the health of regions.
type Gauge interface {
	Read(u *planner.Upstream, now time.Time) gauger.Reading
	Region(s *planner.Service, index int) gauger.State
}

// Links reports whether the link from this host to a region is failing.
type Links interface {
	Failing(region *planner.Region) bool
}

// Location is the region and availability zone of this host.
type Location struct {
	Region, Zone string
}

// MaxExcluded bounds the upstreams that a Query excludes.
const MaxExcluded = 4

// maxCrossRegions bounds the other regions that are examined for one attempt.
const maxCrossRegions = 3

// Query describes one attempt of a request. Hash is the xxhash of the request
// id, which is the same for all attempts of a request.
type Query struct {
	Plan          *planner.Plan
	Service       *planner.Service
	Class         planner.Class
	ClientAccount *planner.ClientAccount
	Hash          uint64

	// WaitExceedsDeadline says that the expected wait for a unit in the home region
	// exceeds the request deadline.
	WaitExceedsDeadline bool

	// Trace, if not nil, is called for each rejected region and upstream.
	Trace func(Rejection)

	tried [MaxExcluded]*planner.Upstream
	count int
}

// Exclude excludes an upstream from later attempts. Beyond MaxExcluded the oldest
// exclusion is dropped.
func (q *Query) Exclude(u *planner.Upstream) {
	q.tried[q.count%MaxExcluded] = u
	q.count++
}

// ExcludedCount returns how often Exclude was called.
func (q *Query) ExcludedCount() int { return q.count }

func (q *Query) excludes(u *planner.Upstream) bool {
	if q.count == 0 {
		return false
	}
	for _, t := range q.tried {
		if t == u {
			return true
		}
	}
	return false
}

// Rejection is the reason why a region, or an upstream in it, was not chosen.
type Rejection struct {
	region   *planner.Region
	upstream *planner.Upstream
	reason   string
}

// Region returns the region considered, nil if the weights gave none.
func (p Rejection) Region() *planner.Region { return p.region }

// Upstream returns the upstream considered, nil if the region was rejected.
func (p Rejection) Upstream() *planner.Upstream { return p.upstream }

// Reason returns a short text for traces.
func (p Rejection) Reason() string { return p.reason }

func (q *Query) reject(r *planner.Region, u *planner.Upstream, reason string) {
	if q.Trace != nil {
		q.Trace(Rejection{r, u, reason})
	}
}

// Choice is the destination of an attempt.
type Choice struct {
	region   *planner.Region
	upstream *planner.Upstream
	crossed  bool
}

// NewChoice returns the Choice of an upstream, for callers that choose without a
// Router.
func NewChoice(u *planner.Upstream) Choice { return Choice{region: u.Region(), upstream: u} }

// Region returns the region.
func (c Choice) Region() *planner.Region { return c.region }

// Upstream returns the upstream, or nil if the request must wait for a unit in
// the region.
func (c Choice) Upstream() *planner.Upstream { return c.upstream }

// CrossRegion reports whether the region differs from the home region.
func (c Choice) CrossRegion() bool { return c.crossed }

// The errors are allocated once, so that rejection under overload does not allocate.
var (
	errShifting   = classifier.Shifting.New("no region can take the request within the cap of the shift")
	errOverloaded = classifier.Overloaded.New("no upstream of the region has a free slot before the deadline")
)

// Router chooses the region and upstream of attempts. Install and Choose are safe
// for concurrent use. The zero Router uses the configured shares, without weights,
// limits or health.
type Router struct {
	capacity Capacity
	weights  Weights
	gauge    Gauge
	place    Location
	links    Links
	layout   atomic.Pointer[layout]
}

// New returns a Router for a host at the given place.
func New(c Capacity, w Weights, g Gauge, p Location) *Router {
	return &Router{capacity: c, weights: w, gauge: g, place: p}
}

// UseLinks makes the Router reject regions behind failing links. It must be called
// before the first Choose.
func (r *Router) UseLinks(l Links) { r.links = l }

// layout divides the upstreams of the host's region by availability zone.
type layout struct {
	plan       *planner.Plan
	region     int
	ownZone    [][]*planner.Upstream
	otherZones [][]*planner.Upstream
}

// Install prepares the preference for the host's availability zone. Queries with
// another plan treat all zones of the region as equal.
func (r *Router) Install(p *planner.Plan) {
	l := &layout{plan: p, region: -1}
	if own := p.Region(r.place.Region); own != nil {
		l.region = own.Index()
		l.ownZone = make([][]*planner.Upstream, len(p.Services()))
		l.otherZones = make([][]*planner.Upstream, len(p.Services()))
		for i, s := range p.Services() {
			for _, u := range s.UpstreamsIn(l.region) {
				if u.Zone() == r.place.Zone {
					l.ownZone[i] = append(l.ownZone[i], u)
				} else {
					l.otherZones[i] = append(l.otherZones[i], u)
				}
			}
		}
	}
	r.layout.Store(l)
}

func (r *Router) zones(q *Query, region int) (ownZone, otherZones []*planner.Upstream) {
	if l := r.layout.Load(); l != nil && l.plan == q.Plan && l.region == region {
		return l.ownZone[q.Service.Index()], l.otherZones[q.Service.Index()]
	}
	return q.Service.UpstreamsIn(region), nil
}

// Choose returns the destination of an attempt. If the Choice has no upstream, the
// request must wait for a unit in its region. The error is of kind Shifting if the
// shift cap rejects the request, or Overloaded if WaitExceedsDeadline is set and no
// other region may take it. In both cases nothing was sent.
func (r *Router) Choose(now time.Time, q *Query) (Choice, error) {
	weights := q.Service.Shares()
	if r.weights != nil {
		if q.count == 0 && !q.WaitExceedsDeadline {
			r.weights.Count(q.Service)
		}
		weights = r.weights.Weights(q.Service)
	}
	rng := stream(q.Hash)
	home := drawRegion(weights, rng.unit())
	rng += stream(q.count) << 32
	if home < 0 {
		q.reject(nil, nil, "weight not moved yet")
		return Choice{}, errShifting
	}
	region := q.Plan.Regions()[home]
	if r.serves(q, region) {
		u, full := r.pick(now, q, region, &rng)
		if u != nil {
			return Choice{region: region, upstream: u}, nil
		}
		if full && !q.WaitExceedsDeadline {
			q.reject(region, nil, "no free slot: waiting")
			return Choice{region: region}, nil
		}
		q.reject(region, nil, "no usable upstream")
		if full {
			return r.chooseOtherRegion(now, q, weights, home, &rng, errOverloaded)
		}
	}
	return r.chooseOtherRegion(now, q, weights, home, &rng, errShifting)
}

// serves reports whether the region may take the request. A client account with hold
// "stay" uses a failed region while some upstream there is usable.
func (r *Router) serves(q *Query, region *planner.Region) bool {
	if r.links != nil && r.links.Failing(region) {
		q.reject(region, nil, "link failing")
		return false
	}
	if r.gauge == nil || r.gauge.Region(q.Service, region.Index()) != gauger.Failed {
		return true
	}
	if q.ClientAccount != nil && q.ClientAccount.KeepsRegion() {
		return true
	}
	q.reject(region, nil, "region failed")
	return false
}

// chooseOtherRegion chooses an upstream in another region and counts the request against the
// shift cap. It returns the error refusal if there is none or the cap is used up.
func (r *Router) chooseOtherRegion(now time.Time, q *Query, weights []float64, home int, rng *stream, refusal error) (Choice, error) {
	total := 0.0
	for i, w := range weights {
		if i != home {
			total += w
		}
	}
	point := rng.unit() * total
	seen := 0
	for n := range 2 * len(weights) {
		i := n % len(weights)
		if i == home || weights[i] <= 0 {
			continue
		}
		// The second pass visits the regions before the drawn one.
		if point -= weights[i]; point >= 0 && n < len(weights) {
			continue
		}
		if seen++; seen > maxCrossRegions {
			break
		}
		region := q.Plan.Regions()[i]
		if !r.serves(q, region) {
			continue
		}
		u, _ := r.pick(now, q, region, rng)
		if u == nil {
			q.reject(region, nil, "no usable upstream")
			continue
		}
		if r.weights == nil || !r.weights.Spend(q.Service, now) {
			q.reject(region, nil, "cap used up")
			return Choice{}, refusal
		}
		return Choice{region: region, upstream: u, crossed: true}, nil
	}
	return Choice{}, refusal
}

// drawRegion returns the region at a point in [0, 1) of the cumulative weights, or -1 if
// the weights sum to less than 1 and the point lies beyond them.
func drawRegion(weights []float64, point float64) int {
	last, sum := -1, 0.0
	for i, w := range weights {
		if w <= 0 {
			continue
		}
		last = i
		sum += w
		if point < sum {
			return i
		}
	}
	// Rounding may leave the sum slightly below 1.
	if sum < 1-1e-9 {
		return -1
	}
	return last
}

// stream is a SplitMix64 generator. It is seeded by the request alone, so that
// `explain` can reproduce a choice.
type stream uint64

func (s *stream) next() uint64 {
	*s += 0x9e3779b97f4a7c15
	z := uint64(*s)
	z = (z ^ z>>30) * 0xbf58476d1ce4e5b9
	z = (z ^ z>>27) * 0x94d049bb133111eb
	return z ^ z>>31
}

func (s *stream) unit() float64 { return float64(s.next()>>11) / (1 << 53) }

func (s *stream) below(n int) int { return int(s.next() >> 32 * uint64(n) >> 32) }
