// Package apportioner plans which fraction of a region's requests for a service goes to
// which region.
//
// A region keeps its own requests as long as its upstreams have capacity, because
// leaving the region costs latency and bandwidth. The excess goes to the other regions in
// proportion to their spare capacity. All hosts compute the same plan from the same
// demand, and a plan changes at a limited rate.
package apportioner

import (
	"sync"
	"time"
)

// maxLocalUtilization is the fraction of a region's slots that the requests of its own
// callers may use before some of them leave the region. Above it, every burst builds up
// queues.
const maxLocalUtilization = 0.7

// maxCrossRegionFraction is the fraction of a host's requests that may leave their planned
// region because another one responds sooner. Requests that cross in one moment and not
// in the next count as a traffic shift, as do changes of the plan.
const maxCrossRegionFraction = 0.02

// maxMoveInterval bounds the time between two moves of a plan that counts for the size of
// the step. Plans move four times a second; after a pause of the process a plan would
// otherwise make all missed steps at once.
const maxMoveInterval = time.Second

// Apportioner holds the traffic plans of one host. It is safe for concurrent use.
type Apportioner struct {
	own   int // index of the host's region
	start time.Time

	mu          sync.Mutex
	shiftRate   float64 // largest fraction of the requests that may change region per second
	plans       map[string]*plan
	requestSeen bool // CountRequest was called
	window      window
}

// plan is the weight of each region, and when it was last changed.
type plan struct {
	weights []float64
	movedAt time.Time
}

// New returns an Apportioner for a host in the region with the index own. ShiftRate is
// the largest fraction of the requests that may change region per second.
func New(own int, shiftRate float64) *Apportioner {
	return &Apportioner{own: own, shiftRate: shiftRate, start: time.Now(), plans: make(map[string]*plan)}
}

// SetShiftRate changes the largest fraction of the requests that may change region per
// second.
func (a *Apportioner) SetShiftRate(shiftRate float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.shiftRate = shiftRate
}

// LocalFirstWeights returns the fraction of the requests of region own that each region
// serves. Demand is the mean number of slots that the callers of each region keep busy;
// slots is the number of slots in each region. The fractions sum up to 1, or to 0 without
// any slots.
func LocalFirstWeights(own int, demand, slots []float64) []float64 {
	out := make([]float64, len(slots))
	var totalDemand, totalSlots float64
	for i := range slots {
		totalDemand += demand[i]
		totalSlots += slots[i]
	}
	if totalSlots <= 0 {
		return out
	}
	if demand[own] <= 0 {
		// The demand is unknown: assume the same demand in all regions, which together
		// uses maxLocalUtilization of the slots.
		demand = scaled(equalParts(len(slots)), maxLocalUtilization*totalSlots)
		totalDemand = maxLocalUtilization * totalSlots
	}
	utilization := max(totalDemand/totalSlots, maxLocalUtilization)
	kept := min(demand[own], utilization*slots[own])
	out[own] = kept / demand[own]
	var totalSpare float64
	for i := range slots {
		totalSpare += spare(i, demand, slots, utilization)
	}
	excess := 1 - out[own]
	if excess <= 0 {
		return out
	}
	if totalSpare <= 0 {
		out[own] = 1
		return out
	}
	for i := range slots {
		out[i] += excess * spare(i, demand, slots, utilization) / totalSpare
	}
	return out
}

// spare returns the slots of region i that its own demand leaves free at a utilization.
func spare(i int, demand, slots []float64, utilization float64) float64 {
	return max(0, utilization*slots[i]-demand[i])
}

func equalParts(n int) []float64 {
	out := make([]float64, n)
	for i := range out {
		out[i] = 1 / float64(n)
	}
	return out
}

func scaled(in []float64, by float64) []float64 {
	out := make([]float64, len(in))
	for i := range in {
		out[i] = in[i] * by
	}
	return out
}

// LocalFirstWeights returns the weights that keep the requests of the host's region there
// while it has capacity.
func (a *Apportioner) LocalFirstWeights(demand, slots []float64) []float64 {
	return LocalFirstWeights(a.own, demand, slots)
}

// FlowShares returns, for each region, the part of the requests to its upstreams that comes
// from one host. own is the region of the host and busy the number of slots that its callers
// keep busy, of the demand of that region. weights holds the planned weights for the
// callers of each region.
func FlowShares(own int, busy float64, demand []float64, weights [][]float64) []float64 {
	out := make([]float64, len(demand))
	for to := range out {
		flow := max(0, busy-demand[own]) * weights[own][to] // the known demand may lag behind
		for from := range demand {
			flow += demand[from] * weights[from][to]
		}
		if flow > 0 {
			out[to] = busy * weights[own][to] / flow
		}
	}
	return out
}

// ProportionalWeights returns weights in proportion to the slots of each region, which are
// the same for the callers of all regions. An object then goes to one upstream from all
// regions instead of one in each region, and only one cache has to warm up.
func ProportionalWeights(slots []float64) []float64 {
	totalSlots := sum(slots)
	if totalSlots <= 0 {
		return make([]float64, len(slots))
	}
	return scaled(slots, 1/totalSlots)
}

// MoveToward moves the plan with a name towards the target weights and returns its new
// weights. Before the first request of the host there is no traffic that could shift, so
// the plan becomes the target. The caller must not modify the result.
func (a *Apportioner) MoveToward(now time.Time, name string, target, slots []float64) []float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.plans[name]
	if p == nil || !a.requestSeen || len(p.weights) != len(target) || sum(p.weights) == 0 {
		a.plans[name] = &plan{weights: target, movedAt: now}
		return target
	}
	p.weights = stepToward(p.weights, target, slots, a.shiftRate*min(now.Sub(p.movedAt), maxMoveInterval).Seconds())
	p.movedAt = now
	return p.weights
}

// CountRequest counts a request towards the limit of AllowCrossRegion.
func (a *Apportioner) CountRequest(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.requestSeen = true
	a.advance(now)
	a.window.requests[a.window.newest%windowBuckets]++
}

// AllowCrossRegion reports whether one more request may leave its planned region, and
// counts it if so. With forced set it always may.
func (a *Apportioner) AllowCrossRegion(now time.Time, forced bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	requests, crossRegion := a.window.totals()
	if !forced && float64(crossRegion+1) > maxCrossRegionFraction*float64(requests) {
		return false
	}
	a.window.crossRegion[a.window.newest%windowBuckets]++
	return true
}

func (a *Apportioner) advance(now time.Time) {
	a.window.advance(int64(now.Sub(a.start) / (windowLength / windowBuckets)))
}

// Current returns the current weights of the plan with a name, or nil.
func (a *Apportioner) Current(name string) []float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.plans[name]; p != nil {
		return p.weights
	}
	return nil
}

// stepToward returns weights that are nearer to a target by at most step. The weight of a
// region without slots becomes 0 at once, because nothing can serve requests there.
func stepToward(from, to, slots []float64, step float64) []float64 {
	out := make([]float64, len(from))
	copy(out, from)
	freed := 0.0
	for i := range out {
		if slots[i] <= 0 {
			freed += out[i]
			out[i] = 0
		}
	}
	if freed > 0 {
		kept := sum(out)
		if kept <= 0 {
			return to
		}
		out = scaled(out, (kept+freed)/kept)
	}
	distance := 0.0
	for i := range out {
		distance += max(0, to[i]-out[i])
	}
	if distance <= step || distance == 0 {
		return to
	}
	for i := range out {
		out[i] += (to[i] - out[i]) * step / distance
	}
	return out
}

func sum(w []float64) float64 {
	total := 0.0
	for _, v := range w {
		total += v
	}
	return total
}
