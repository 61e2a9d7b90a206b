// Package apportioner plans which part of a region's requests for a service goes
// to which region.
//
// A region keeps its own requests as long as its upstreams have room, because
// leaving it costs time and bytes. What does not fit goes to the other regions
// by the room they have left. Every host plans alike from the same demand, and a
// plan moves in bounded steps.
package apportioner

import (
	"sync"
	"time"
)

// roomy is the part of a region's slots that its own callers fill before their
// requests leave the region. Above it, queues grow with every burst.
const roomy = 0.7

// crossing is the part of a host's requests that may leave their planned region
// because another one answers sooner. What crosses in one moment and not in the
// next counts as a shift, as do changes of the plan.
const crossing = 0.02

// moveMost bounds the time that counts between two moves of a plan. Plans move four
// times a second; after a pause a plan would otherwise jump by what it had not moved.
const moveMost = time.Second

// Apportioner keeps the plan of one host. It is safe for concurrent use.
type Apportioner struct {
	own   int // index of the host's region
	start time.Time

	mu     sync.Mutex
	step   float64 // largest part of the requests that changes region in a second
	plans  map[string]*plan
	served bool // a request was counted
	window window
}

type plan struct {
	weights []float64
	moved   time.Time
}

// New returns an Apportioner for a host in the region with the index own. Step
// is the largest part of the requests that changes region within a second.
func New(own int, step float64) *Apportioner {
	return &Apportioner{own: own, step: step, start: time.Now(), plans: make(map[string]*plan)}
}

// SetShiftRate changes the largest part of the requests that changes region within a
// second.
func (a *Apportioner) SetShiftRate(step float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.step = step
}

// LocalFirstWeights returns the parts of the requests of region own that each region
// serves. Demand is in slots that are busy on average, by the region of the
// callers, and slots by the region of the upstreams. The parts sum up to 1, or
// to 0 without any slots.
func LocalFirstWeights(own int, demand, slots []float64) []float64 {
	out := make([]float64, len(slots))
	var asked, have float64
	for i := range slots {
		asked += demand[i]
		have += slots[i]
	}
	if have <= 0 {
		return out
	}
	if demand[own] <= 0 {
		// Nothing is known: equal demand that fills the slots as planned for.
		demand = scaled(evenly(len(slots)), roomy*have)
		asked = roomy * have
	}
	level := max(asked/have, roomy)
	keeps := min(demand[own], level*slots[own])
	out[own] = keeps / demand[own]
	var room float64
	for i := range slots {
		room += spare(i, demand, slots, level)
	}
	left := 1 - out[own]
	if left <= 0 {
		return out
	}
	if room <= 0 {
		out[own] = 1
		return out
	}
	for i := range slots {
		out[i] += left * spare(i, demand, slots, level) / room
	}
	return out
}

func spare(i int, demand, slots []float64, level float64) float64 {
	return max(0, level*slots[i]-demand[i])
}

func evenly(n int) []float64 {
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

// LocalFirstWeights returns the parts that keep requests in their region while it has room.
func (a *Apportioner) LocalFirstWeights(demand, slots []float64) []float64 {
	return LocalFirstWeights(a.own, demand, slots)
}

// ProportionalWeights returns the parts that are the same for the callers of all regions: each
// region gets the part of its slots. An object then goes to one upstream from
// everywhere, instead of one in each region, and is learned once.
func ProportionalWeights(slots []float64) []float64 {
	have := sum(slots)
	if have <= 0 {
		return make([]float64, len(slots))
	}
	return scaled(slots, 1/have)
}

// MoveToward returns the plan with a name after it was moved towards a target. Before
// the first request of the host nothing shifts, so the plan is the target. The
// result must not be changed.
func (a *Apportioner) MoveToward(now time.Time, name string, target, slots []float64) []float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	p := a.plans[name]
	if p == nil || !a.served || len(p.weights) != len(target) || sum(p.weights) == 0 {
		a.plans[name] = &plan{weights: target, moved: now}
		return target
	}
	p.weights = toward(p.weights, target, slots, a.step*min(now.Sub(p.moved), moveMost).Seconds())
	p.moved = now
	return p.weights
}

// CountRequest adds a request to those of which a part may cross.
func (a *Apportioner) CountRequest(now time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.served = true
	a.advance(now)
	a.window.all[a.window.slot%buckets]++
}

// AllowCrossRegion reports whether one more request may leave its planned region, and
// counts it. With forced set it may in any case.
func (a *Apportioner) AllowCrossRegion(now time.Time, forced bool) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.advance(now)
	all, cross := a.window.sums()
	if !forced && float64(cross+1) > crossing*float64(all) {
		return false
	}
	a.window.cross[a.window.slot%buckets]++
	return true
}

func (a *Apportioner) advance(now time.Time) {
	a.window.advance(int64(now.Sub(a.start) / (span / buckets)))
}

// Current returns the plan with a name as it was moved last, or nil.
func (a *Apportioner) Current(name string) []float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	if p := a.plans[name]; p != nil {
		return p.weights
	}
	return nil
}

// toward moves at most step of the whole from one region to another. A region
// without slots is left at once, since nothing can run there.
func toward(from, to, slots []float64, step float64) []float64 {
	out := make([]float64, len(from))
	copy(out, from)
	lost := 0.0
	for i := range out {
		if slots[i] <= 0 {
			lost += out[i]
			out[i] = 0
		}
	}
	if lost > 0 {
		kept := sum(out)
		if kept <= 0 {
			return to
		}
		out = scaled(out, (kept+lost)/kept)
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
