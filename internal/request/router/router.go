// Package router chooses the region and the upstream for one request.
//
// The region follows from a hash of the request and the effective weights. In
// the region, the better of two upstreams drawn at random is taken. A request
// leaves the region of its weight only within the cap of the service's shifts.
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

// Capacity gives this host's own units of upstreams.
type Capacity interface {
	// Free returns how many more requests this host may start at the upstream.
	Free(u *planner.Upstream) int
	// InFlight returns how many requests of this host run at the upstream.
	InFlight(u *planner.Upstream) int
}

// Weights gives the effective weights under the cap.
type Weights interface {
	Weights(s *planner.Service) []float64
	Count(s *planner.Service)
	Spend(s *planner.Service, now time.Time) bool
}

// Gauge gives the health and load of upstreams and regions.
type Gauge interface {
	Read(u *planner.Upstream, now time.Time) gauger.Reading
	Region(s *planner.Service, index int) gauger.State
}

// Links says whether the link to a region fails, as seen from this host.
type Links interface {
	Failing(region *planner.Region) bool
}

// Location says where this host runs.
type Location struct {
	Region, Zone string
}

// MaxExcluded is the largest number of upstreams that a query excludes.
const MaxExcluded = 4

// crossRegions bounds how many other regions are examined for one request.
const crossRegions = 3

// Query describes one attempt of a request. Hash is the xxhash of the request
// id; all attempts of a request have the same.
type Query struct {
	Plan          *planner.Plan
	Service       *planner.Service
	Class         planner.Class
	ClientAccount *planner.ClientAccount
	Hash          uint64

	// WaitExceedsDeadline means that waiting for a unit in the region of the weight would pass
	// the deadline.
	WaitExceedsDeadline bool

	// Trace, if not nil, is told why each region and upstream was passed over.
	Trace func(Rejection)

	tried [MaxExcluded]*planner.Upstream
	count int
}

// Try excludes an upstream from later attempts. Beyond MaxTried the oldest is
// forgotten.
func (q *Query) Try(u *planner.Upstream) {
	q.tried[q.count%MaxExcluded] = u
	q.count++
}

// Tried returns how many upstreams were excluded.
func (q *Query) Tried() int { return q.count }

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

// Rejection says why a region, or an upstream in it, was passed over.
type Rejection struct {
	region   *planner.Region
	upstream *planner.Upstream
	reason   string
}

// Region returns the region considered, nil if the weights gave none.
func (p Rejection) Region() *planner.Region { return p.region }

// Upstream returns the upstream considered, nil if the region was passed over.
func (p Rejection) Upstream() *planner.Upstream { return p.upstream }

// Reason returns the reason in a few words.
func (p Rejection) Reason() string { return p.reason }

func (q *Query) pass(r *planner.Region, u *planner.Upstream, reason string) {
	if q.Trace != nil {
		q.Trace(Rejection{r, u, reason})
	}
}

// Choice is where an attempt goes.
type Choice struct {
	region   *planner.Region
	upstream *planner.Upstream
	crossed  bool
}

// NewChoice returns the Choice of an upstream, for other choosers than the Router.
func NewChoice(u *planner.Upstream) Choice { return Choice{region: u.Region(), upstream: u} }

// Region returns the region.
func (c Choice) Region() *planner.Region { return c.region }

// Upstream returns the upstream, or nil if the request must wait for a unit in
// the region.
func (c Choice) Upstream() *planner.Upstream { return c.upstream }

// Crossed reports whether the region is another than the weights gave.
func (c Choice) Crossed() bool { return c.crossed }

// The refusals are made once, so that refusing under overload costs nothing.
var (
	errShifting   = classifier.Shifting.New("no region can take the request within the cap of the shift")
	errOverloaded = classifier.Overloaded.New("no upstream of the region has a free slot before the deadline")
)

// Router chooses. All methods are safe for concurrent use. The zero Router
// knows no weights, limits or health: it chooses by the operator's shares.
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

// Watch makes the Router pass over regions behind failing links. Call it before
// the first Choose.
func (r *Router) Watch(l Links) { r.links = l }

// layout divides the upstreams of the host's own region by zone.
type layout struct {
	plan   *planner.Plan
	region int
	near   [][]*planner.Upstream
	far    [][]*planner.Upstream
}

// Install prepares the preference for the host's own availability zone. With a
// plan that is not installed, all zones of the region are equal.
func (r *Router) Install(p *planner.Plan) {
	l := &layout{plan: p, region: -1}
	if own := p.Region(r.place.Region); own != nil {
		l.region = own.Index()
		l.near = make([][]*planner.Upstream, len(p.Services()))
		l.far = make([][]*planner.Upstream, len(p.Services()))
		for i, s := range p.Services() {
			for _, u := range s.UpstreamsIn(l.region) {
				if u.Zone() == r.place.Zone {
					l.near[i] = append(l.near[i], u)
				} else {
					l.far[i] = append(l.far[i], u)
				}
			}
		}
	}
	r.layout.Store(l)
}

func (r *Router) zones(q *Query, region int) (near, far []*planner.Upstream) {
	if l := r.layout.Load(); l != nil && l.plan == q.Plan && l.region == region {
		return l.near[q.Service.Index()], l.far[q.Service.Index()]
	}
	return q.Service.UpstreamsIn(region), nil
}

// Choose returns where an attempt goes. A Choice without an upstream means that
// the request waits in the Choice's region. Errors are of kind Shifting, if the
// request is held back by the cap, or Overloaded, if the query is Late and no
// other region may take it; in both cases nothing ran.
func (r *Router) Choose(now time.Time, q *Query) (Choice, error) {
	weights := q.Service.Shares()
	if r.weights != nil {
		if q.count == 0 && !q.WaitExceedsDeadline {
			r.weights.Count(q.Service)
		}
		weights = r.weights.Weights(q.Service)
	}
	rng := stream(q.Hash)
	home := draw(weights, rng.unit())
	rng += stream(q.count) << 32
	if home < 0 {
		q.pass(nil, nil, "weight not moved yet")
		return Choice{}, errShifting
	}
	region := q.Plan.Regions()[home]
	if r.serves(q, region) {
		u, full := r.pick(now, q, region, &rng)
		if u != nil {
			return Choice{region: region, upstream: u}, nil
		}
		if full && !q.WaitExceedsDeadline {
			q.pass(region, nil, "no free slot: waiting")
			return Choice{region: region}, nil
		}
		q.pass(region, nil, "no usable upstream")
		if full {
			return r.cross(now, q, weights, home, &rng, errOverloaded)
		}
	}
	return r.cross(now, q, weights, home, &rng, errShifting)
}

// serves reports whether the region may take the request. A client account that stays
// uses a failed region while single upstreams there can be used.
func (r *Router) serves(q *Query, region *planner.Region) bool {
	if r.links != nil && r.links.Failing(region) {
		q.pass(region, nil, "link failing")
		return false
	}
	if r.gauge == nil || r.gauge.Region(q.Service, region.Index()) != gauger.Failed {
		return true
	}
	if q.ClientAccount != nil && q.ClientAccount.Stays() {
		return true
	}
	q.pass(region, nil, "region failed")
	return false
}

// cross looks for another region and draws the request from the cap.
func (r *Router) cross(now time.Time, q *Query, weights []float64, home int, rng *stream, refusal error) (Choice, error) {
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
		// The second round takes what lies before the drawn region.
		if point -= weights[i]; point >= 0 && n < len(weights) {
			continue
		}
		if seen++; seen > crossRegions {
			break
		}
		region := q.Plan.Regions()[i]
		if !r.serves(q, region) {
			continue
		}
		u, _ := r.pick(now, q, region, rng)
		if u == nil {
			q.pass(region, nil, "no usable upstream")
			continue
		}
		if r.weights == nil || !r.weights.Spend(q.Service, now) {
			q.pass(region, nil, "cap used up")
			return Choice{}, refusal
		}
		return Choice{region: region, upstream: u, crossed: true}, nil
	}
	return Choice{}, refusal
}

// draw returns the region at a point from 0 to 1 of the weights, or -1.
func draw(weights []float64, point float64) int {
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
	// Rounding may leave a sum just below 1.
	if sum < 1-1e-9 {
		return -1
	}
	return last
}

// stream is SplitMix64: the numbers follow from the request alone, so that
// `explain` can repeat a choice.
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
