// Package ranker chooses the upstream for one attempt of a request.
//
// All hosts rank the upstreams of a service in the same order for one object, by
// rendezvous hashing, without asking each other. So an object goes to the same
// few upstreams, which answer faster because they remember it, and a change of
// the upstreams moves few objects. The first in the ranking is left for the next
// one when it is behind by more than remembering the object saves.
//
// A Ranker is pure but for its estimates of how long work and ways take: time and
// state come in as arguments.
package ranker

import (
	"math"
	"math/bits"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/request/estimator"
)

const (
	// near is how many upstreams of the planned region are compared.
	near = 4
	// far is how many upstreams of each other region are compared.
	far = 2
	// crossing is what leaving the planned region must save, so that small
	// differences do not move traffic between regions.
	crossing = 40 * time.Millisecond
	// wayStep is the part of an estimate of a way by which one connection moves it.
	wayStep = 0.1
	// wayQuantile is low, because a connection opens late for many reasons other
	// than distance.
	wayQuantile = 0.2
	// defaultWay is the assumed time to another region and back, before a
	// connection was opened there.
	defaultWay = 60 * time.Millisecond
	// failureCost is the time that a failed attempt costs the caller, in units
	// of cold work: detecting it and running again.
	failureCost = 2.0
	// shedCost is the time that a refused attempt costs, in units of cold work.
	// The budget of second attempts is spent on it.
	shedCost = 1.0
	// doubtBad and doubtSlow are the part of failed requests, and the factor of
	// slowness, from which an upstream's requests may leave the region at will.
	doubtBad  = 0.3
	doubtSlow = 3.0
	// idle is the part of an upstream's slots that may be busy when it gets an
	// object that it does not know. Teaching an object to an upstream costs
	// several times the work of a known one. A fleet that spreads its objects
	// while it has no room left keeps itself overloaded.
	idle = 0.7
	// patience is the part of the target that a request may wait in an upstream's
	// queue. Longer queues make every answer late, shorter ones refuse what a lull
	// could still serve.
	patience = 1.0
)

// Query describes one attempt.
type Query struct {
	Group         *registrar.Group
	Route         string        // of whose requests the time is estimated
	Regions       []string      // that may serve the request, in a fixed order
	Weights       []float64     // the planned part of each region
	Object        uint64        // hash of the object, 0 for none
	RandomKey     uint64        // random, used without an object
	Remaining     time.Duration // until the deadline
	LatencyTarget time.Duration // until the answer loses most of its worth
	Tried         []*registrar.Upstream
	ColdRate      func(u *registrar.Upstream) float64 // of this host, per second
	// AllowCrossRegion reports whether the request may leave its planned region, and counts
	// it if so. Failing means that upstreams of that region fail. Nil allows all.
	AllowCrossRegion func(failing bool) bool
}

// Choice is where an attempt goes.
type Choice struct {
	Upstream         *registrar.Upstream // nil if none can answer in time
	QueueWait        time.Duration       // expected in the upstream's queue
	UnloadedLatency  time.Duration       // expected from dispatch to the answer
	Warm             bool                // it probably remembers the object
	Rank             int                 // in the region, 0 is the first
	Planned          bool                // it is in the planned region
	Load             float64             // requests there, of all hosts
	UntilCapacity    time.Duration       // without an upstream: until one has room
	EarliestResponse time.Duration       // without an upstream: until the first answer expected
	Excluded         Excluded            // without an upstream: what excluded the candidates
}

// Excluded counts the candidates that were excluded, by reason.
type Excluded struct {
	QueueTooLong       int // the queue is longer than the target allows
	PastDeadline       int // no answer is expected before the deadline
	NoWarmUpCapacity   int // it does not know the object and is too busy to learn it
	ColdLimited        int // it is cold and got its part
	CrossRegionLimited int // too many requests left their planned region
}

// Ranker chooses. It is safe for concurrent use.
type Ranker struct {
	region string

	works *estimator.Estimator

	mu   sync.RWMutex
	ways map[string]float64 // to a region and back, in seconds
}

// New returns a Ranker for a host in a region.
func New(region string) *Ranker {
	return &Ranker{region: region, works: estimator.New(), ways: make(map[string]float64)}
}

// ObserveRTT records how long it took to open a connection to a region.
func (r *Ranker) ObserveRTT(region string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.ways[region]
	if !ok {
		old = took.Seconds()
	}
	if took.Seconds() > old {
		r.ways[region] = min(took.Seconds(), old*(1+wayStep*wayQuantile))
		return
	}
	r.ways[region] = max(took.Seconds(), old*(1-wayStep*(1-wayQuantile)))
}

// RTT returns the time to a region and back, and whether it was measured.
// The own region counts as none.
func (r *Ranker) RTT(region string) (way time.Duration, measured bool) {
	if region == r.region {
		return 0, true
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	if way, ok := r.ways[region]; ok {
		return seconds(way), true
	}
	return defaultWay, false
}

// way returns the time to a region and back, as far as it is known.
func (r *Ranker) way(region string) time.Duration {
	way, _ := r.RTT(region)
	return way
}

// ObserveResponse records how long an answer took that did not wait at its upstream.
func (r *Ranker) ObserveResponse(now time.Time, service, route string, warm bool, region string, took time.Duration) {
	r.works.ObserveResponse(now, service, route, warm, max(0, took-r.way(region)))
}

// ObserveTimeout records that no answer came within a time.
func (r *Ranker) ObserveTimeout(now time.Time, service, route, region string, took time.Duration) {
	r.works.ObserveTimeout(now, service, route, max(0, took-r.way(region)))
}

// ServiceTimes returns the estimates of work for a service, without the way there.
func (r *Ranker) ServiceTimes(service string) (cold, warm time.Duration) {
	return r.works.ForService(service)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// works are the estimates that one choice uses.
type works struct {
	estimator.ServiceTime
	mean time.Duration // of a request in a queue of the service
}

func (r *Ranker) estimate(now time.Time, service, route string) works {
	cold, warm := r.works.ForService(service)
	return works{r.works.ForRoute(now, service, route), (cold + warm) / 2}
}

// candidate is an upstream under comparison.
type candidate struct {
	Choice
	cost     time.Duration
	least    time.Duration // least time from dispatch to the answer that is likely enough
	doubtful bool          // it fails requests, is much slower than its peers, or cold
}

// Choose returns the upstream that probably answers first, or the time until one
// has room.
func (r *Ranker) Choose(now time.Time, service string, q *Query) Choice {
	home := q.home()
	w := r.estimate(now, service, q.Route)
	s := search{planned: candidate{cost: math.MaxInt64}, other: candidate{cost: math.MaxInt64}, room: math.MaxInt64, soonest: math.MaxInt64}
	for i, region := range q.Regions {
		n := far
		if i == home {
			n = near
		}
		for rank, u := range q.rank(region, n) {
			if u == nil || q.tried(u) {
				continue
			}
			c := r.examine(now, u, q.Object, rank, &w)
			c.Planned = i == home
			s.consider(now, q, &c)
		}
	}
	best := s.planned
	if s.other.Upstream != nil && s.other.cost+crossing < s.planned.cost && q.cross(s.failing || len(q.Tried) > 0 || home < 0) {
		best = s.other
	}
	if best.Upstream == nil {
		if s.other.Upstream != nil {
			s.excluded.CrossRegionLimited++
		}
		return Choice{UntilCapacity: max(0, s.room), EarliestResponse: s.soonest, Excluded: s.excluded}
	}
	if best.Upstream.Cold(now) && !best.Upstream.AdmitCold(now, q.ColdRate(best.Upstream)) {
		s.excluded.ColdLimited++
		return Choice{UntilCapacity: w.Warm, EarliestResponse: best.QueueWait + best.UnloadedLatency, Excluded: s.excluded}
	}
	return best.Choice
}

// search is the comparison of the candidates for one query.
type search struct {
	planned, other candidate     // the best in the planned region and elsewhere
	room           time.Duration // least time until a candidate has room
	soonest        time.Duration // least time until a candidate would answer
	failing        bool          // a candidate of the planned region is doubtful
	excluded       Excluded
}

// consider compares one more candidate with the best so far.
func (s *search) consider(now time.Time, q *Query, c *candidate) {
	best := &s.other
	if c.Planned {
		best = &s.planned
		s.failing = s.failing || c.doubtful
	}
	most := time.Duration(patience * float64(q.LatencyTarget))
	s.room = min(s.room, c.QueueWait-most)
	s.soonest = min(s.soonest, c.QueueWait+c.least)
	switch {
	case c.cost >= best.cost:
	case c.QueueWait > most:
		s.excluded.QueueTooLong++
	case c.QueueWait+c.least > q.Remaining:
		s.excluded.PastDeadline++
	case !c.taught(now, q.Object):
		s.excluded.NoWarmUpCapacity++
	case !admits(now, q, c.Upstream):
		s.excluded.ColdLimited++
	default:
		*best = *c
	}
}

// admits reports whether a cold upstream may get a request of this host at all.
func admits(now time.Time, q *Query, u *registrar.Upstream) bool {
	return !u.Cold(now) || (q.ColdRate(u) > 0 && u.CanAdmitCold(now))
}

// taught reports whether the upstream may get the object: it knows it, it is the
// one that learns it for all hosts, or it has room to learn it.
func (c *candidate) taught(now time.Time, object uint64) bool {
	if object == 0 || c.Warm || (c.Planned && c.Rank == 0) {
		return true
	}
	return c.roomy(now)
}

// roomy reports whether the upstream has room to learn an object.
func (c *candidate) roomy(now time.Time) bool {
	return c.Load+1 <= idle*float64(c.Upstream.Slots()) && !c.Upstream.RecentlyShed(now)
}

// examine estimates when the upstream would answer.
func (r *Ranker) examine(now time.Time, u *registrar.Upstream, object uint64, rank int, w *works) candidate {
	known := object != 0 && u.WarmFor(object, now)
	c := candidate{Choice: Choice{Upstream: u, Rank: rank, Warm: known, Load: u.EstimatedLoad(now), UnloadedLatency: w.Cold}}
	slow, bad := u.Quality(now)
	if known {
		c.UnloadedLatency = w.Warm
	}
	if over := c.Load + 1 - float64(u.Slots()); over > 0 {
		c.QueueWait = time.Duration(over * float64(w.mean) * slow / float64(u.Slots()))
	}
	// The first in the ranking learns the object for all hosts, so it counts as
	// if it knew it, even if cold work would take too long: another host has taught
	// it, or nobody would ever learn it.
	work := c.UnloadedLatency
	if rank == 0 && object != 0 {
		work = w.Warm
	}
	likely := work
	if !w.Recent {
		likely = 0 // other routes say nothing about this one's work
	}
	way := r.way(u.Region())
	c.UnloadedLatency = time.Duration(float64(c.UnloadedLatency)*slow) + way
	c.least = time.Duration(float64(likely)*slow) + way
	c.cost = time.Duration(float64(work)*slow) + way + c.QueueWait
	c.cost += time.Duration(bad * failureCost * float64(w.Cold))
	c.doubtful = bad > doubtBad || slow > doubtSlow || u.Cold(now)
	if u.RecentlyShed(now) {
		c.cost += time.Duration(shedCost * float64(w.Cold))
	}
	// A cold upstream takes twice its time, as far as is known.
	if u.Cold(now) {
		c.UnloadedLatency += w.Cold
		if w.Recent {
			c.least = c.UnloadedLatency
		}
	}
	return c
}

func (q *Query) cross(failing bool) bool {
	return q.AllowCrossRegion == nil || q.AllowCrossRegion(failing)
}

func (q *Query) tried(u *registrar.Upstream) bool {
	for _, t := range q.Tried {
		if t.ID() == u.ID() {
			return true
		}
	}
	return false
}

// home returns the index of the region that the plan gives the object, by
// weighted rendezvous hashing: changed weights move few objects.
func (q *Query) home() int {
	key := q.Object
	if key == 0 {
		key = q.RandomKey
	}
	best, at := math.Inf(-1), -1
	for i, region := range q.Regions {
		if q.Weights[i] <= 0 || len(q.Group.InRegion(region)) == 0 {
			continue
		}
		if s := score(mix(key, regionSeed+uint64(i)), q.Weights[i]); s > best {
			best, at = s, i
		}
	}
	return at
}

// regionSeed keeps the draws for regions apart from those for upstreams.
const regionSeed = 0x9e3779b97f4a7c15

// rank returns the first n upstreams of a region for the object.
func (q *Query) rank(region string, n int) []*registrar.Upstream {
	key := q.Object
	if key == 0 {
		key = q.RandomKey
	}
	top := make([]*registrar.Upstream, n)
	scores := make([]float64, n)
	for _, u := range q.Group.InRegion(region) {
		s := score(mix(key, u.Hash()), float64(u.Slots()))
		for i := range top {
			if top[i] == nil || s > scores[i] {
				copy(top[i+1:], top[i:])
				copy(scores[i+1:], scores[i:])
				top[i], scores[i] = u, s
				break
			}
		}
	}
	return top
}

// score is higher for a larger weight: with h uniform in (0, 1), -weight/ln(h)
// makes each candidate win with the probability of its part of all weights.
func score(h uint64, weight float64) float64 {
	u := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(u)
}

// mix combines two hashes into one that depends on all their bits.
func mix(a, b uint64) uint64 {
	hi, lo := bits.Mul64(a^0x2d358dccaa6c78a5, b^0x8bb84b93962eacc9)
	return hi ^ lo
}
