// Package shifter keeps the effective region weights of each service and moves
// them towards their target no faster than the service's cap allows.
//
// A host calls Install for each plan, SetHealth when the state of regions
// changes, OnPeer for each vector it hears, and Step every Tick:
//
//	s := shifter.New(now)
//	s.Install(plan, now)
//	s.Step(now)
//	weights := s.Weights(service)
//
// The bound: on one host, the mass moved plus the part of requests that crossed
// to another region, over any window of cap.every, is at most cap.fraction. The
// rate is chosen so that the window's first tick, a clock that is 1% fast and a
// skew of a few steps between hosts are all inside the cap.
package shifter

import (
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

const (
	// Tick is the period of Step.
	Tick = 250 * time.Millisecond

	// lagSteps is how far a host may be ahead of the slowest peer. A peer's
	// vector is up to one tick and one link delay old when it is read, so a
	// limit of one step would halve the speed of every shift.
	lagSteps = 2

	// reserveSteps is subtracted from the cap. When a host stops, its traffic
	// moves to hosts that may be lagSteps ahead, and both sides may have taken
	// one step that the other has not heard of.
	reserveSteps = lagSteps + 2

	// clockRate is the largest relative difference of a clock's rate.
	clockRate = 1.01

	// fresh is how long a peer's vector counts. A peer that is paused for
	// longer is not waited for, and adopts a vector when it resumes.
	fresh = 4 * Tick

	// patience bounds the wait for a peer that does not come closer to this
	// host's target, because it may have a different target.
	patience = 2 * time.Second

	// alone is how long a host that starts waits for a peer's vector.
	alone = 2 * time.Second

	// crossPart is the part of the cap that single requests may use, so that
	// retries cannot keep a shift from finishing.
	crossPart = 0.25

	// forget bounds the memory of peers that are gone.
	forget = time.Minute

	epsilon = 1e-12
)

// Shifter holds the weights. All methods are safe for concurrent use; Weights
// and Count take no lock.
type Shifter struct {
	mu       sync.Mutex
	plan     *planner.Plan
	services map[string]*state
	peers    map[string]*peer
	last     time.Time
	rejoin   time.Time
	ready    bool
	snapshot atomic.Pointer[snapshot]

	// adoptSlowest restores the rule that a returning host takes the slowest
	// peer's vector; the tests show why the median is used instead.
	adoptSlowest bool
	// uncapped lets a step go all the way to the target.
	uncapped bool
}

// state is what the Shifter keeps for one service. The weights add up to at
// most 1; what is missing belonged to regions that the plan no longer has, and
// is refused until it has moved.
type state struct {
	service *planner.Service
	weights []float64
	target  []float64
	health  []float64
	ring    ring
	counted atomic.Uint64
	taken   uint64
}

type snapshot struct {
	plan     *planner.Plan
	weights  [][]float64
	states   []*state
	previous *snapshot
}

// New returns a Shifter that is not ready.
func New(now time.Time) *Shifter {
	return &Shifter{services: make(map[string]*state), peers: make(map[string]*peer), last: now, rejoin: now}
}

// Ready reports whether the host has a vector that new work may use. It is
// false after a start and after a pause, until the vectors of the peers have
// been adopted or no peer was heard for 2 s.
func (s *Shifter) Ready() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.ready
}

// Install makes the weights follow a new plan. Weights that a service has
// already are kept by region name; only the target and the cap change. Call it
// before requests see the plan.
func (s *Shifter) Install(p *planner.Plan, now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	old := s.plan
	s.plan = p
	services := make(map[string]*state, len(p.Services()))
	for _, svc := range p.Services() {
		st := s.services[svc.Name()]
		if st == nil {
			// A service without traffic has nothing to shift.
			st = &state{weights: append([]float64(nil), svc.Shares()...), health: ones(len(svc.Shares()))}
			st.ring.start(svc.ShiftCapWindow(), now)
		} else {
			st.weights = remap(st.weights, old, p, 0)
			st.health = remap(st.health, old, p, 1)
			if st.service.ShiftCapWindow() != svc.ShiftCapWindow() {
				st.ring.resize(svc.ShiftCapWindow(), now)
			}
		}
		st.service = svc
		st.retarget()
		services[svc.Name()] = st
	}
	s.services = services
	s.publish(s.snapshot.Load())
}

func ones(n int) []float64 {
	v := make([]float64, n)
	for i := range v {
		v[i] = 1
	}
	return v
}

func remap(v []float64, from, to *planner.Plan, missing float64) []float64 {
	out := make([]float64, len(to.Regions()))
	for i, r := range to.Regions() {
		out[i] = missing
		if old := from.Region(r.Name()); old != nil {
			out[i] = v[old.Index()]
		}
	}
	return out
}

// SetHealth sets the factor from 0 to 1 by which the operator's share of a
// region is multiplied in the target: its health, headroom and drain state.
func (s *Shifter) SetHealth(service, region string, factor float64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.services[service]
	if st == nil || s.plan.Region(region) == nil || math.IsNaN(factor) {
		return
	}
	st.health[s.plan.Region(region).Index()] = min(max(factor, 0), 1)
	st.retarget()
}

// retarget multiplies the operator's shares by the health. If no region is
// left, the shares stay the target: there is nowhere to move to.
func (st *state) retarget() {
	shares := st.service.Shares()
	st.target = make([]float64, len(shares))
	sum := 0.0
	for i, share := range shares {
		st.target[i] = share * st.health[i]
		sum += st.target[i]
	}
	if sum < epsilon {
		copy(st.target, shares)
		return
	}
	for i := range st.target {
		st.target[i] /= sum
	}
}

// distance returns the mass that differs: half the L1 distance between vectors
// whose missing mass is counted as one more region.
func distance(a, b []float64) float64 {
	sum, rest := 0.0, 0.0
	for i := range a {
		sum += math.Abs(a[i] - b[i])
		rest += a[i] - b[i]
	}
	return (sum + math.Abs(rest)) / 2
}

// rate returns the mass per second that a step may move.
func rate(svc *planner.Service) float64 {
	window := clockRate*svc.ShiftCapWindow().Seconds() + (1+reserveSteps)*Tick.Seconds()
	return svc.ShiftCapFraction() / window
}

// budget returns the mass that may move or cross in one window.
func budget(svc *planner.Service) float64 {
	return rate(svc) * (clockRate*svc.ShiftCapWindow().Seconds() + Tick.Seconds())
}

// Step moves the weights of every service towards their target. Time beyond
// one Tick since the call before is not made up; after a pause of more than 1 s
// the host adopts its peers' vectors first.
func (s *Shifter) Step(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	dt := now.Sub(s.last)
	if dt <= 0 {
		return
	}
	s.last = now
	if s.ready && dt > fresh {
		s.ready, s.rejoin = false, now
	}
	if !s.ready && !s.adopt(now) {
		return
	}
	for host, p := range s.peers {
		if now.Sub(p.heard) > forget {
			delete(s.peers, host)
		}
	}
	for _, st := range s.services {
		s.stepService(st, min(dt, Tick), now)
	}
	s.publish(s.snapshot.Load().before())
}

func (s *Shifter) stepService(st *state, dt time.Duration, now time.Time) {
	st.count(now)
	d := distance(st.weights, st.target)
	if d < epsilon {
		return
	}
	step := rate(st.service) * dt.Seconds()
	if s.ahead(st, d, rate(st.service)*Tick.Seconds(), now) {
		return
	}
	moved, crossed := st.ring.used()
	move := min(d, step, budget(st.service)-moved-crossed)
	if s.uncapped {
		move = d
	}
	if move <= 0 {
		return
	}
	next := make([]float64, len(st.weights))
	for i, w := range st.weights {
		// Rounding may bring a weight slightly below 0.
		next[i] = max(w+(st.target[i]-w)*move/d, 0)
	}
	st.weights = next
	st.ring.add(slot{moved: move})
}

// count takes over the requests counted since the last call.
func (st *state) count(now time.Time) {
	st.ring.advance(now)
	n := st.counted.Load()
	st.ring.add(slot{requests: n - st.taken})
	st.taken = n
}

// publish stores the weights for readers. Requests that still hold the plan
// before find its weights in previous.
func (s *Shifter) publish(previous *snapshot) {
	if s.plan == nil {
		return
	}
	next := &snapshot{plan: s.plan}
	if previous != nil {
		next.previous = &snapshot{plan: previous.plan, weights: previous.weights, states: previous.states}
	}
	for _, svc := range s.plan.Services() {
		st := s.services[svc.Name()]
		next.weights = append(next.weights, st.weights)
		next.states = append(next.states, st)
	}
	s.snapshot.Store(next)
}

func (n *snapshot) before() *snapshot {
	if n == nil {
		return nil
	}
	return n.previous
}

func (n *snapshot) find(svc *planner.Service) (*snapshot, int) {
	i := svc.Index()
	for ; n != nil; n = n.previous {
		if all := n.plan.Services(); i < len(all) && all[i] == svc {
			return n, i
		}
	}
	return nil, 0
}

// Weights returns the effective weight of each region, by region index, or nil
// if the service belongs to neither of the last two plans. Weights may add up
// to less than 1: the rest is refused. Do not change the slice.
func (s *Shifter) Weights(svc *planner.Service) []float64 {
	n, i := s.snapshot.Load().find(svc)
	if n == nil {
		return nil
	}
	return n.weights[i]
}

// Target returns the weights that the service moves towards, by region index of
// the plan last installed, or nil if the service is not known.
func (s *Shifter) Target(service string) []float64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	if st := s.services[service]; st != nil {
		return slices.Clone(st.target)
	}
	return nil
}

// Count records that a request of the service arrived. It is called once for
// each request, before its first attempt.
func (s *Shifter) Count(svc *planner.Service) {
	if n, i := s.snapshot.Load().find(svc); n != nil {
		n.states[i].counted.Add(1)
	}
}

// Spend reports whether one request may run in another region than its weight
// gave, and draws it from the cap: the requests that crossed in the trailing
// window, as a part of all requests in it, plus the mass moved stay within the
// cap. Requests that cross use at most a quarter of the cap, in the window and
// in its latest part, so that they do not arrive elsewhere all at once.
func (s *Shifter) Spend(svc *planner.Service, now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.services[svc.Name()]
	if st == nil {
		return false
	}
	st.count(now)
	moved, crossed := st.ring.with(1)
	total := budget(st.service)
	if crossed > total*crossPart || moved+crossed > total || st.ring.bursts(total*crossPart) {
		return false
	}
	st.ring.add(slot{crossed: 1})
	return true
}
