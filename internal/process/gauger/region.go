package gauger

import (
	"math"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

const (
	// failBelow and serveFrom are the parts of a service's slots in a region
	// below which the region is failed and from which it serves again.
	failBelow = 1.0 / 8
	serveFrom = 1.0 / 4

	// factorSteps is the number of steps of a region's health factor, so that
	// one upstream more or less does not move the target of a shift.
	factorSteps = 8
)

// region is the state of one service in one region. Evaluate writes it.
type region struct {
	state  atomic.Uint32
	factor atomic.Uint64

	next       State
	nextFactor float64
	same       int
	since      int64
}

func newRegion() *region {
	r := new(region)
	r.factor.Store(math.Float64bits(1))
	return r
}

// region returns the state kept for a service and region of another plan.
func (t *table) region(s *planner.Service, r *planner.Region) *region {
	if t == nil {
		return newRegion()
	}
	svc, reg := t.plan.Service(s.Name()), t.plan.Region(r.Name())
	if svc == nil || reg == nil {
		return newRegion()
	}
	return t.regions[svc.Index()][reg.Index()]
}

// Evaluate derives the state of every region from its upstreams. Call it every
// 250 ms. A change needs three equal evaluations and 2 s.
func (g *Gauger) Evaluate(now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	t := g.table.Load()
	if t == nil {
		return
	}
	for i, s := range t.plan.Services() {
		for j, r := range t.regions[i] {
			r.evaluate(t, s.UpstreamsIn(j), g.at(now))
		}
	}
}

func (r *region) evaluate(t *table, ups []*planner.Upstream, now int64) {
	total, usable, measured := 0, 0, 0
	for _, u := range ups {
		e := t.entries[u.Index()]
		total += u.Slots()
		if e.current(now).Usable() {
			usable += u.Slots()
		}
		if e.measured(now) {
			measured++
		}
	}
	part := float64(usable) / float64(max(total, 1))
	before := State(r.state.Load())
	next, factor := Ready, math.Ceil(part*factorSteps)/factorSteps
	switch {
	case measured == 0:
		// Nothing is known: the weights stay what they were.
		next, factor = Unknown, math.Float64frombits(r.factor.Load())
	case part < failBelow || (before == Failed && part < serveFrom):
		next, factor = Failed, 0
	}
	if next != r.next || factor != r.nextFactor {
		r.next, r.nextFactor, r.same, r.since = next, factor, 0, now
	}
	r.same++
	if r.same >= equalReadings && now-r.since >= int64(settle) {
		r.state.Store(uint32(next))
		r.factor.Store(math.Float64bits(factor))
	}
}

// Region returns the state of a service in the region with this index of the
// service's plan: Ready, Failed if too few of its upstreams can be used, or
// Unknown if its measurements have stopped. It takes no lock.
func (g *Gauger) Region(s *planner.Service, index int) State {
	if r := g.regionOf(s, index); r != nil {
		return State(r.state.Load())
	}
	return Unknown
}

// Factor returns the part of the service's slots in a region that can be used,
// in steps of 1/8, for the target of a shift. While the measurements of the
// region have stopped it stays what it was.
func (g *Gauger) Factor(s *planner.Service, index int) float64 {
	if r := g.regionOf(s, index); r != nil {
		return math.Float64frombits(r.factor.Load())
	}
	return 1
}

func (g *Gauger) regionOf(s *planner.Service, index int) *region {
	t := g.table.Load()
	if t == nil || s.Index() >= len(t.regions) || t.plan.Services()[s.Index()] != s || index >= len(t.regions[s.Index()]) {
		return nil
	}
	return t.regions[s.Index()][index]
}
