// Package ranker chooses the upstream for one attempt of a request.
//
// All hosts rank the upstreams of a service in the same order for an object, by
// rendezvous hashing and without communication. An object therefore goes to the
// same few upstreams, which respond faster once it is in their cache, and a change
// of the set of upstreams moves few objects. A lower-ranked upstream is chosen if
// the first one is slower by more than a warm cache saves.
//
// The only state of a Ranker is its estimates of service times and round-trip
// times (RTTs). The current time and the state of upstreams are arguments.
package ranker

import (
	"math"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/hasher"
	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/request/estimator"
)

const (
	// plannedRegionCandidates is the number of upstreams of the planned region that
	// are compared.
	plannedRegionCandidates = 4
	// otherRegionCandidates is the number of upstreams of each other region that are
	// compared.
	otherRegionCandidates = 2
	// minCrossRegionGain is the latency that leaving the planned region must save, so
	// that small differences do not move traffic between regions.
	minCrossRegionGain = 40 * time.Millisecond
	// rttStep is the fraction of an RTT estimate by which one sample moves it.
	rttStep = 0.1
	// rttQuantile is the quantile of connection set-up times that estimates an RTT. It
	// is low, because set-up is slow for many reasons other than distance.
	rttQuantile = 0.2
	// defaultRTT is the RTT assumed for another region before a connection to it was
	// opened.
	defaultRTT = 60 * time.Millisecond
	// failureCostFactor is the time that a failed attempt costs the caller, as a
	// multiple of the cold service time: detecting the failure and running again.
	failureCostFactor = 2.0
	// shedCostFactor is the time that an attempt refused by its upstream costs, as a
	// multiple of the cold service time. The retry budget is spent on it.
	shedCostFactor = 1.0
	// doubtfulFailureRatio and doubtfulSlowdown are the fraction of failed requests and
	// the slowdown above which the requests of an upstream may leave the region without
	// counting against the limit of cross-region requests.
	doubtfulFailureRatio = 0.3
	doubtfulSlowdown     = 3.0
	// maxBusyForWarmUp is the fraction of an upstream's slots that may be busy when it
	// gets an object that is not in its cache. Warming up an object takes several times
	// the service time of a cached one. A fleet that spreads its objects over more
	// upstreams without spare capacity keeps itself overloaded.
	maxBusyForWarmUp = 0.7
	// maxExpectedForWarmUp is the number of requests for each slot that may be expected of such
	// an upstream without a recent report. With 1, objects stay at busy upstreams also without
	// an overload, which made 77 hosts respond 15% slower in the mean in a simulation.
	maxExpectedForWarmUp = 1.5
	// maxQueueWaitFactor is the longest wait in an upstream's queue, as a fraction of
	// the latency target. Longer queues make every response late, shorter ones refuse
	// requests that could still be served after a short burst.
	maxQueueWaitFactor = 1.0
)

// Query describes one attempt.
type Query struct {
	Group         *registrar.Group
	Route         string        // whose service time is estimated
	Regions       []string      // allowed for the request, in a fixed order
	Weights       []float64     // planned fraction of the requests for each region
	Object        uint64        // hash of the object, 0 for none
	RandomKey     uint64        // takes the place of Object if that is 0
	Remaining     time.Duration // until the deadline
	LatencyTarget time.Duration // after which the response is of little use
	Tried         []*registrar.Upstream
	// ColdRate returns how many requests per second this host may send to a cold
	// upstream.
	ColdRate func(u *registrar.Upstream) float64
	// RateShare returns the part of the rate limit of an upstream that this host may use.
	// Nil means the whole limit.
	RateShare func(u *registrar.Upstream) registrar.RateShare
	// AllowCrossRegion reports whether the request may leave its planned region, and
	// counts it if so. Failing means that upstreams of that region fail. Nil allows all.
	AllowCrossRegion func(failing bool) bool
}

// Choice is the destination of an attempt.
type Choice struct {
	Upstream  *registrar.Upstream // nil if none can respond in time
	QueueWait time.Duration       // expected in the upstream's queue
	// UnloadedLatency is the expected time from dispatch to the response without
	// QueueWait: service time and RTT.
	UnloadedLatency  time.Duration
	Slowness         float64       // expected time of work as a multiple of the usual, by what the upstream reports
	Warm             bool          // the object is probably in the upstream's cache
	Rank             int           // in its region, from 0
	Planned          bool          // the upstream is in the planned region
	Load             float64       // requests at the upstream, of all hosts
	UntilCapacity    time.Duration // without an upstream: until one has capacity
	EarliestResponse time.Duration // without an upstream: until the earliest response expected
	Excluded         Excluded      // without an upstream: why candidates were excluded
}

// Excluded counts the candidates that were excluded, by reason.
type Excluded struct {
	QueueTooLong       int // the expected wait exceeds the latency target
	PastDeadline       int // no response is expected before the deadline
	NoWarmUpCapacity   int // the object is not cached, and the upstream is too busy to load it
	ColdLimited        int // the rate limit of the cold upstream is used up
	RateLimited        int // this host's part of the upstream's rate limit is used up
	CrossRegionLimited int // too many requests left their planned region
}

// Ranker chooses upstreams. It is safe for concurrent use.
type Ranker struct {
	region string

	estimates *estimator.Estimator

	mu   sync.RWMutex
	rtts map[string]float64 // by region, in seconds
}

// New returns a Ranker for a host in a region.
func New(region string) *Ranker {
	return &Ranker{region: region, estimates: estimator.New(), rtts: make(map[string]float64)}
}

// ObserveRTT records the time that opening a connection to a region took.
func (r *Ranker) ObserveRTT(region string, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old, ok := r.rtts[region]
	if !ok {
		old = took.Seconds()
	}
	if took.Seconds() > old {
		r.rtts[region] = min(took.Seconds(), old*(1+rttStep*rttQuantile))
		return
	}
	r.rtts[region] = max(took.Seconds(), old*(1-rttStep*(1-rttQuantile)))
}

// RTT returns the round-trip time to a region, and whether it was measured. It is 0
// for the own region.
func (r *Ranker) RTT(region string) (rtt time.Duration, measured bool) {
	if region == r.region {
		return 0, true
	}
	r.mu.RLock()
	defer r.mu.RUnlock()
	if rtt, ok := r.rtts[region]; ok {
		return seconds(rtt), true
	}
	return defaultRTT, false
}

// rtt returns the measured or default round-trip time to a region.
func (r *Ranker) rtt(region string) time.Duration {
	rtt, _ := r.RTT(region)
	return rtt
}

// ObserveResponse records the time from dispatch to the response of a request that did
// not wait in the upstream's queue.
func (r *Ranker) ObserveResponse(now time.Time, service, route string, warm bool, region string, took time.Duration) {
	r.estimates.ObserveResponse(now, service, route, warm, max(0, took-r.rtt(region)))
}

// UsualTime returns the time from dispatch to the response that a request to a region would
// have taken if work took the usual time. slowness is the time that it took as a multiple of
// the usual.
func (r *Ranker) UsualTime(region string, took time.Duration, slowness float64) time.Duration {
	if slowness == 1 {
		return took
	}
	rtt := r.rtt(region)
	return time.Duration(float64(max(0, took-rtt))/slowness) + rtt
}

// ExpectedTime returns the time from dispatch to the response that the choice stands for if
// the slowness of the upstream was another one than expected.
func (r *Ranker) ExpectedTime(c *Choice, slowness float64) time.Duration {
	expected := c.QueueWait + c.UnloadedLatency
	if slowness == c.Slowness {
		return expected
	}
	rtt := r.rtt(c.Upstream.Region())
	return time.Duration(float64(max(0, expected-rtt))*slowness/c.Slowness) + rtt
}

// ObserveTimeout records that no response arrived within the time took.
func (r *Ranker) ObserveTimeout(now time.Time, service, route, region string, took time.Duration) {
	r.estimates.ObserveTimeout(now, service, route, max(0, took-r.rtt(region)))
}

// ServiceTimes returns the estimated service times of a service, without the RTT.
func (r *Ranker) ServiceTimes(service string) (cold, warm time.Duration) {
	return r.estimates.ForService(service)
}

func seconds(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

// serviceTimes are the service time estimates for one choice.
type serviceTimes struct {
	estimator.ServiceTime
	queueMean time.Duration // mean over the queued requests of the service
}

// estimateServiceTimes returns the estimates for a request of a route.
func (r *Ranker) estimateServiceTimes(now time.Time, service, route string) serviceTimes {
	cold, warm := r.estimates.ForService(service)
	return serviceTimes{r.estimates.ForRoute(now, service, route), (cold + warm) / 2}
}

// candidate is an upstream under comparison.
type candidate struct {
	Choice
	state      registrar.State
	cost       time.Duration
	minWait    time.Duration // QueueWait that is certain enough to refuse a request
	minLatency time.Duration // smallest plausible time from dispatch to the response
	rateWait   time.Duration // until the rate limit of the upstream allows a request
	leading    bool          // the first of its region for the object, or those before it have a rate limit or failed
	doubtful   bool          // the upstream fails requests, is much slower than its peers, or is cold
}

// maxAdmissionTries bounds how often Choose looks for another upstream because concurrent
// requests used up the rate limit of the one that it found.
const maxAdmissionTries = 3

// Choose returns the upstream with the earliest expected response, or the time until
// one has capacity.
func (r *Ranker) Choose(now time.Time, service string, q *Query) Choice {
	times := r.estimateServiceTimes(now, service, q.Route)
	var c Choice
	var excluded Excluded
	for range maxAdmissionTries {
		c = r.find(now, q, &times)
		switch u := c.Upstream; {
		case u == nil:
			return c
		case u.Cold(now) && !u.AdmitCold(now, q.ColdRate(u)):
			excluded.ColdLimited++
		case u.RateLimited(now) && !u.AdmitRateLimited(now, q.rateShare(u)):
			excluded.RateLimited++
		default:
			return c
		}
	}
	return Choice{UntilCapacity: times.Warm, EarliestResponse: c.QueueWait + c.UnloadedLatency, Excluded: excluded}
}

// find returns the upstream with the earliest expected response, without counting the
// request against its rate limits.
func (r *Ranker) find(now time.Time, q *Query, times *serviceTimes) Choice {
	plannedIndex := q.plannedRegion()
	s := search{planned: candidate{cost: math.MaxInt64}, other: candidate{cost: math.MaxInt64}, untilCapacity: math.MaxInt64, earliestResponse: math.MaxInt64}
	if plannedIndex >= 0 {
		r.considerRegion(now, q, &s, q.Regions[plannedIndex], true, times)
	}
	for i, region := range q.Regions {
		if i == plannedIndex {
			continue
		}
		// The RTT is part of the cost of all upstreams of the region.
		if s.planned.Upstream != nil && s.planned.cost <= r.rtt(region)+minCrossRegionGain {
			continue
		}
		r.considerRegion(now, q, &s, region, false, times)
	}
	best := s.planned
	if s.other.Upstream != nil && s.other.cost+minCrossRegionGain < s.planned.cost && q.allowCrossRegion(s.failing || len(q.Tried) > 0 || plannedIndex < 0) {
		best = s.other
	}
	if best.Upstream == nil {
		if s.other.Upstream != nil {
			s.excluded.CrossRegionLimited++
		}
		return Choice{UntilCapacity: max(0, s.untilCapacity), EarliestResponse: s.earliestResponse, Excluded: s.excluded}
	}
	return best.Choice
}

// considerRegion compares the candidates of a region with the best so far.
func (r *Ranker) considerRegion(now time.Time, q *Query, s *search, region string, planned bool, times *serviceTimes) {
	n := otherRegionCandidates
	if planned {
		n = plannedRegionCandidates
	}
	index := q.Group.Index(region)
	if index == nil {
		return
	}
	var top hasher.Ranking
	if q.Object != 0 {
		top = index.TopCached(q.Object, n)
	} else {
		top = index.Top(q.RandomKey, n)
	}
	upstreams, rtt := q.Group.InRegion(region), r.rtt(region)
	leading := true
	for rank, position := range top[:n] {
		if position < 0 {
			return
		}
		u := upstreams[position]
		limited, tried := u.RateLimited(now), q.tried(u)
		if !tried {
			c := evaluate(now, u, q.Object, leading, times, rtt)
			c.Rank, c.Planned = rank, planned
			if limited {
				c.rateWait = u.RateLimitWait(now, q.rateShare(u))
			}
			s.consider(q, &c)
		}
		// Where the load of all upstreams is expected, those that rank next are often too busy to
		// warm up an object, so the next one leads in place of one that has failed the request.
		leading = leading && (limited || (tried && u.ResemblesPeers(now)))
	}
}

// search holds the state of the comparison of candidates for one query.
type search struct {
	planned, other   candidate     // best in the planned region and elsewhere
	untilCapacity    time.Duration // shortest time until a candidate has capacity
	earliestResponse time.Duration // shortest time until a candidate would respond
	failing          bool          // a candidate of the planned region is doubtful
	excluded         Excluded
}

// consider compares a candidate with the best so far.
func (s *search) consider(q *Query, c *candidate) {
	best := &s.other
	if c.Planned {
		best = &s.planned
		s.failing = s.failing || c.doubtful
	}
	maxWait := time.Duration(maxQueueWaitFactor * float64(q.LatencyTarget))
	s.untilCapacity = min(s.untilCapacity, max(c.minWait-maxWait, c.rateWait))
	s.earliestResponse = min(s.earliestResponse, c.minWait+c.minLatency)
	switch {
	case c.cost >= best.cost:
	case c.minWait > maxWait:
		s.excluded.QueueTooLong++
	case c.minWait+c.minLatency > q.Remaining:
		s.excluded.PastDeadline++
	case !c.allowsObject(q.Object):
		s.excluded.NoWarmUpCapacity++
	case !c.coldLimitAllows(q):
		s.excluded.ColdLimited++
	case c.rateWait > 0:
		s.excluded.RateLimited++
	default:
		*best = *c
	}
}

// coldLimitAllows reports whether the upstream is not cold, or this host may send it a
// request now.
func (c *candidate) coldLimitAllows(q *Query) bool {
	return !c.state.Cold || (q.ColdRate(c.Upstream) > 0 && c.state.CanAdmitCold)
}

// allowsObject reports whether the upstream may get the object: the object is in its
// cache, or it is the one that warms it up for all hosts, or it has capacity to do so.
func (c *candidate) allowsObject(object uint64) bool {
	if object == 0 || c.Warm || (c.Planned && c.leading) {
		return true
	}
	return c.hasWarmUpCapacity()
}

// hasWarmUpCapacity reports whether the upstream can warm up an object without exceeding
// maxBusyForWarmUp. Without a recent report, what is expected of it may not exceed
// maxExpectedForWarmUp.
// In an overload of the region, objects otherwise spread to upstreams that look idle.
func (c *candidate) hasWarmUpCapacity() bool {
	slots := float64(c.Upstream.Slots())
	return c.Load+1 <= maxBusyForWarmUp*slots && c.state.ExpectedLoad+1 <= maxExpectedForWarmUp*slots && !c.state.RecentlyShed
}

// evaluate estimates when the upstream would respond.
func evaluate(now time.Time, u *registrar.Upstream, object uint64, leading bool, times *serviceTimes, rtt time.Duration) candidate {
	state := u.State(object, now)
	c := candidate{
		Choice: Choice{Upstream: u, Warm: state.Warm, Load: state.Load, Slowness: state.Slowness, UnloadedLatency: times.Cold},
		state:  state, leading: leading,
	}
	slowdown := state.Slowdown * state.Slowness
	if c.Warm {
		c.UnloadedLatency = times.Warm
	}
	c.QueueWait = queueWait(u, state.ExpectedLoad, slowdown, times)
	c.minWait = queueWait(u, state.CautiousLoad, slowdown, times)
	// The leading upstream warms up the object for all hosts, so it is rated as if
	// the object were cached, even if the cold service time exceeds the deadline. Either
	// a request of another host has warmed it up, or otherwise no upstream ever would.
	rankingTime := c.UnloadedLatency
	if leading && object != 0 {
		rankingTime = times.Warm
	}
	minTime := rankingTime
	if !times.Recent {
		minTime = 0 // the service times of other routes do not apply to this one
	}
	c.UnloadedLatency = time.Duration(float64(c.UnloadedLatency)*slowdown) + rtt
	c.minLatency = time.Duration(float64(minTime)*state.Slowdown*state.LeastSlowness) + rtt
	c.cost = time.Duration(float64(rankingTime)*slowdown) + rtt + c.QueueWait
	c.cost += time.Duration(state.FailureRate * failureCostFactor * float64(times.Cold))
	// The reported slowness is left out: it changes many times a second, and the requests of a
	// region may not move that fast.
	c.doubtful = state.FailureRate > doubtfulFailureRatio || state.Slowdown > doubtfulSlowdown || state.Cold
	if state.RecentlyShed {
		c.cost += time.Duration(shedCostFactor * float64(times.Cold))
	}
	// A cold upstream is assumed to take one cold service time longer.
	if state.Cold {
		c.UnloadedLatency += times.Cold
		if times.Recent {
			c.minLatency = c.UnloadedLatency
		}
	}
	return c
}

// queueWait returns the expected wait in the queue of an upstream with a load.
func queueWait(u *registrar.Upstream, load, slowdown float64, times *serviceTimes) time.Duration {
	excess := load + 1 - float64(u.Slots())
	if excess <= 0 {
		return 0
	}
	return time.Duration(excess * float64(times.queueMean) * slowdown / float64(u.Slots()))
}

func (q *Query) allowCrossRegion(failing bool) bool {
	return q.AllowCrossRegion == nil || q.AllowCrossRegion(failing)
}

func (q *Query) rateShare(u *registrar.Upstream) registrar.RateShare {
	if q.RateShare == nil {
		return registrar.RateShare{Fraction: 1}
	}
	return q.RateShare(u)
}

func (q *Query) tried(u *registrar.Upstream) bool {
	for _, t := range q.Tried {
		if t.ID() == u.ID() {
			return true
		}
	}
	return false
}

// plannedRegion returns the index of the region that the plan assigns to the object,
// or -1 if there is none. It uses weighted rendezvous hashing, so that a change of the
// weights moves few objects.
func (q *Query) plannedRegion() int {
	key := q.Object
	if key == 0 {
		key = q.RandomKey
	}
	best, at := math.Inf(-1), -1
	for i, region := range q.Regions {
		if q.Weights[i] <= 0 || len(q.Group.InRegion(region)) == 0 {
			continue
		}
		if s := hasher.Score(hasher.Mix(key, regionSeed+uint64(i)), q.Weights[i]); s > best {
			best, at = s, i
		}
	}
	return at
}

// regionSeed makes the hashes of regions independent of those of upstreams.
const regionSeed = 0x9e3779b97f4a7c15
