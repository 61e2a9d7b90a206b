// Package admitter admits requests to the units that this host may use: slots
// of an upstream and slots of its region. A request that finds no unit waits in
// a bounded queue of its service and class, ordered by deadline.
//
// A request is admitted like this:
//
//	wait := a.Queued(service, class) > 0 // behind the requests that wait already
//	for {
//		if wait {
//			if err := a.Wait(ctx, service, class, deadline); err != nil {
//				return err // Overloaded or Expired: not run
//			}
//		}
//		if ticket, ok := a.Try(now, upstream, class, deadline); ok {
//			defer ticket.Release()
//			break
//		}
//		wait = true
//	}
//
// Try takes no lock: the rights are an immutable table behind an atomic pointer
// and each limit counts its requests in two atomic numbers.
package admitter

import (
	"sync"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/allotter"
	"dandeliontrack.example/dandeliontrack/internal/process/lender"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

// gate counts what is in use of one limit. It outlives plans. The padding keeps
// gates that different cores use out of one cache line.
type gate struct {
	own  atomic.Int64 // requests on own units, and units lent
	loan atomic.Int64 // requests on borrowed units
	lent atomic.Int64
	_    [40]byte
}

// loan is a number of units up to a time. Loans of a level are sorted by time,
// the latest first, and units adds up those up to it.
type loan struct {
	units int64
	until time.Time
}

// level is one limit under the rights in force.
type level struct {
	name    string
	gate    *gate
	units   allotter.Units
	own     int64
	until   time.Time
	loans   []loan
	reserve int64 // last own units that only look-ups take
}

// place is an upstream with the levels of its path.
type place struct {
	upstream *planner.Upstream
	level    *level
	region   *level
	room     *room
}

// table is everything that Try reads.
type table struct {
	plan    *planner.Plan
	places  []place
	byName  map[string]*place
	regions []*level
	levels  map[string]*level
	rooms   [][]*room // by region index
}

// Admitter holds the units and the queues of one host. It is safe for concurrent
// use.
type Admitter struct {
	table   atomic.Pointer[table]
	bound   int
	waiting atomic.Int64

	mu    sync.Mutex // installs, and loans to other hosts
	gates map[string]*gate
	rooms map[string]*room
}

// New returns an Admitter without units, whose queues hold up to bound requests
// for each service and class.
func New(bound int) *Admitter {
	a := &Admitter{bound: bound, gates: make(map[string]*gate), rooms: make(map[string]*room)}
	a.table.Store(&table{plan: new(planner.Plan), levels: make(map[string]*level)})
	return a
}

// Install puts a plan and rights in force. Requests in flight stay counted at
// the upstream or region of the same name. The caller installs again whenever
// shares, leases or loans change.
func (a *Admitter) Install(plan *planner.Plan, rights allotter.Rights) {
	a.mu.Lock()
	defer a.mu.Unlock()
	t := &table{plan: plan, levels: make(map[string]*level), byName: make(map[string]*place, len(plan.Upstreams()))}
	loans := make(map[string][]lender.Held)
	for _, l := range rights.Loans {
		loans[l.Limit] = append(loans[l.Limit], l)
	}
	for _, r := range plan.Regions() {
		l := a.level(t, allotter.RegionLimit(r.Name()), allotter.Slots(r.Slots(), 0), rights.Regions[r.Name()], loans)
		if looksUp(plan, r) {
			l.reserve = reserve(l.own)
		}
		t.regions = append(t.regions, l)
	}
	t.rooms = make([][]*room, len(t.regions))
	t.places = make([]place, len(plan.Upstreams()))
	for i, u := range plan.Upstreams() {
		l := a.level(t, allotter.UpstreamLimit(u.Name()), allotter.Slots(u.Slots(), u.SlotOffset()), rights.Regions[u.Region().Name()], loans)
		t.places[i] = place{u, l, t.regions[u.Region().Index()], a.room(u.Service().Name())}
		t.byName[u.Name()] = &t.places[i]
	}
	a.furnish(t)
	a.table.Store(t)
	a.sweep(t)
}

func (a *Admitter) level(t *table, name string, units allotter.Units, right allotter.Right, loans map[string][]lender.Held) *level {
	g, ok := a.gates[name]
	if !ok {
		g = new(gate)
		a.gates[name] = g
	}
	l := &level{name: name, gate: g, units: units, own: units.In(right.Shares), until: right.Until}
	held := loans[name]
	// The loans are sorted by end; sums go from the latest to the earliest.
	for i := len(held) - 1; i >= 0; i-- {
		n := held[i].Units
		if len(l.loans) > 0 {
			n += l.loans[len(l.loans)-1].units
		}
		l.loans = append(l.loans, loan{n, held[i].Until})
	}
	t.levels[name] = l
	return l
}

// sweep forgets counts of limits that the plan doesn't name any more once
// nothing is in flight there.
func (a *Admitter) sweep(t *table) {
	for name, g := range a.gates {
		if _, ok := t.levels[name]; !ok && g.own.Load() == 0 && g.loan.Load() == 0 {
			delete(a.gates, name)
		}
	}
}

// reserve returns how many of a region's units at this host only look-ups may
// take. Downloads hold a unit for up to half an hour and once-requests can't be
// sent elsewhere, so without it a few of them would keep all look-ups of the
// region out for that long. Look-ups are short, so they give units back soon
// and need no reserve against themselves. An eighth, and at least one unit,
// keeps look-ups going at a rate of units/8 per mean service time. A host with
// one unit reserves none, or nothing else could ever run there.
func reserve(units int64) int64 {
	if units < 2 {
		return 0
	}
	return max(units/8, 1)
}

// looksUp reports whether a look-up service has an upstream in the region.
func looksUp(plan *planner.Plan, r *planner.Region) bool {
	for _, s := range plan.Services() {
		if s.Class() == planner.Idempotent && len(s.UpstreamsIn(r.Index())) > 0 {
			return true
		}
	}
	return false
}

// find returns the place of an upstream, which may be of an earlier plan, or
// nil if the plan in force has none of this name at this service and region.
func (t *table) find(u *planner.Upstream) *place {
	if i := u.Index(); i < len(t.places) && t.places[i].upstream == u {
		return &t.places[i]
	}
	p, ok := t.byName[u.Name()]
	if !ok || p.upstream.Address() != u.Address() || p.upstream.Region().Name() != u.Region().Name() {
		return nil
	}
	return p
}

// bound returns the units of own shares that a class may fill.
func (l *level) bound(class planner.Class) int64 {
	if class == planner.Idempotent {
		return l.own
	}
	return l.own - l.reserve
}

// borrowed returns the borrowed units that last beyond the deadline.
func (l *level) borrowed(deadline time.Time) int64 {
	for i := len(l.loans) - 1; i >= 0; i-- {
		if deadline.Before(l.loans[i].until) {
			return l.loans[i].units
		}
	}
	return 0
}

// open reports whether take would find a unit.
func (l *level) open(class planner.Class, deadline time.Time) bool {
	return deadline.Before(l.until) && l.gate.own.Load() < l.bound(class) ||
		len(l.loans) > 0 && l.gate.loan.Load() < l.borrowed(deadline)
}

// take takes one unit whose right lasts beyond the deadline, own units first.
func (l *level) take(class planner.Class, deadline time.Time) (c *atomic.Int64, ok bool) {
	if deadline.Before(l.until) && add(&l.gate.own, l.bound(class)) {
		return &l.gate.own, true
	}
	if len(l.loans) > 0 && add(&l.gate.loan, l.borrowed(deadline)) {
		return &l.gate.loan, true
	}
	return nil, false
}

// add adds one unless the count would exceed the bound.
func add(c *atomic.Int64, bound int64) bool {
	for {
		n := c.Load()
		if n >= bound {
			return false
		}
		if c.CompareAndSwap(n, n+1) {
			return true
		}
	}
}

// Ticket is the right to one request in flight. Release must be called once.
type Ticket struct {
	a        *Admitter
	place    *place
	upstream *atomic.Int64
	region   *atomic.Int64
}

// Try takes one unit of the upstream and one of its region, or neither. The
// deadline of the request must lie after now and before the end of the rights
// to both units, so that nothing is in flight on a right that has ended.
func (a *Admitter) Try(now time.Time, u *planner.Upstream, class planner.Class, deadline time.Time) (Ticket, bool) {
	if !now.Before(deadline) {
		return Ticket{}, false
	}
	for {
		ticket, ok, again := a.attempt(a.table.Load(), u, class, deadline)
		if !again {
			return ticket, ok
		}
	}
}

// attempt is Try under one table. Again tells that another table was installed
// meanwhile. It may allow less, and Used may have been asked before the unit
// was taken, so the unit is given back.
func (a *Admitter) attempt(t *table, u *planner.Upstream, class planner.Class, deadline time.Time) (ticket Ticket, ok, again bool) {
	p := t.find(u)
	if p == nil {
		return Ticket{}, false, false
	}
	up, ok := p.level.take(class, deadline)
	if !ok {
		return Ticket{}, false, false
	}
	region, ok := p.region.take(class, deadline)
	if !ok {
		up.Add(-1)
		return Ticket{}, false, false
	}
	if a.table.Load() != t {
		up.Add(-1)
		region.Add(-1)
		return Ticket{}, false, true
	}
	return Ticket{a, p, up, region}, true, false
}

// Release gives the units back and lets the next request try.
func (t Ticket) Release() {
	t.upstream.Add(-1)
	t.region.Add(-1)
	if t.a.waiting.Load() > 0 {
		t.a.wake(t.place)
	}
}

// left returns the units that nothing uses and that the class may take. A
// download outlasts every loan.
func (l *level) left(class planner.Class) int64 {
	n := max(l.bound(class)-l.gate.own.Load(), 0)
	if len(l.loans) > 0 && class != planner.Download {
		n += max(l.loans[len(l.loans)-1].units-l.gate.loan.Load(), 0)
	}
	return n
}

// Free returns how many units this host may start at the upstream: the least of
// the upstream and its region, under the rights last installed. It is never
// negative. Try decides by time and class as well.
func (a *Admitter) Free(u *planner.Upstream) int { return a.FreeFor(u, planner.Idempotent) }

// FreeFor is Free for a request of the class.
func (a *Admitter) FreeFor(u *planner.Upstream, class planner.Class) int {
	p := a.table.Load().find(u)
	if p == nil {
		return 0
	}
	return int(min(p.level.left(class), p.region.left(class)))
}

// Owns reports whether a unit of the upstream can become free for the class at
// all: a download outlasts every loan, so it needs one of the host's own.
func (a *Admitter) Owns(u *planner.Upstream, class planner.Class) bool {
	p := a.table.Load().find(u)
	if p == nil {
		return false
	}
	for _, l := range []*level{p.level, p.region} {
		own := l.bound(class) > l.gate.lent.Load()
		if !own && (class == planner.Download || len(l.loans) == 0) {
			return false
		}
	}
	return true
}

// InFlight returns how many requests of this host are in flight at the upstream.
func (a *Admitter) InFlight(u *planner.Upstream) int {
	p := a.table.Load().find(u)
	if p == nil {
		return 0
	}
	g := p.level.gate
	return int(max(g.own.Load()-g.lent.Load()+g.loan.Load(), 0))
}
