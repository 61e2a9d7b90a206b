// Package registrar keeps the upstreams that registered themselves: what each
// said last, what this host found out about it, and which may get new work.
//
//	r := registrar.New()
//	r.Put(registration, now)
//	group := r.Group("catalog") // an immutable view for one decision
package registrar

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// suspectTime is how long a failed upstream is taken for cold if it says
// nothing of itself. It is above the longest time between two registrations
// that the platform names (1.5 s) and the delay of reading them (1 s).
const suspectTime = 3 * time.Second

// Registration is what an upstream says of itself.
type Registration struct {
	ID             string
	Service        string
	Address        string
	Zone           string
	Slots          int
	Draining       bool
	ColdRemaining  time.Duration // how much longer it stays cold
	StartUnixMilli int64         // Unix milliseconds of its start, 0 if unknown
	RowVersion     uint64        // of the row; a later row has a higher one
}

// Group is the upstreams of one service that may get new work.
type Group struct {
	upstreams []*Upstream
	byRegion  map[string][]*Upstream
	slots     map[string]int
}

// Upstreams returns the upstreams by ID. It must not be changed.
func (g *Group) Upstreams() []*Upstream {
	if g == nil {
		return nil
	}
	return g.upstreams
}

// InRegion returns the upstreams in a region. It must not be changed.
func (g *Group) InRegion(region string) []*Upstream {
	if g == nil {
		return nil
	}
	return g.byRegion[region]
}

// Slots returns the sum of the slots in a region.
func (g *Group) Slots(region string) int {
	if g == nil {
		return 0
	}
	return g.slots[region]
}

// Registrar keeps the upstreams. It is safe for concurrent use; readers take no
// lock.
type Registrar struct {
	regions map[string]string // zone to region

	mu        sync.Mutex
	upstreams map[string]*Upstream // by ID
	evacuated map[string]bool      // zones that get no new work
	onLeave   func(u *Upstream, sign string)
	held      int             // holds that are not released
	stale     map[string]bool // services whose group is to be built anew

	groups atomic.Pointer[map[string]*Group]
}

// New returns a Registrar for the given regions by zone.
func New(regions map[string]string) *Registrar {
	r := &Registrar{
		regions: regions, upstreams: make(map[string]*Upstream),
		evacuated: make(map[string]bool), stale: make(map[string]bool),
	}
	r.groups.Store(new(map[string]*Group))
	return r
}

// OnLeave registers f for upstreams that get no new work any more. It must be
// called before the first Put. f must not call the Registrar.
func (r *Registrar) OnLeave(f func(u *Upstream, sign string)) { r.onLeave = f }

// Group returns the upstreams of a service that may get new work, or nil.
func (r *Registrar) Group(service string) *Group { return (*r.groups.Load())[service] }

// Services returns the names of the services with an upstream.
func (r *Registrar) Services() []string {
	var out []string
	for name := range *r.groups.Load() {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Put records what an upstream said at a time. Older rows and equal ones have
// no effect. First is set for rows of the first read, whose upstreams did not
// start just now.
func (r *Registrar) Put(reg Registration, now time.Time, first bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[reg.ID]
	if u != nil && reg.RowVersion <= u.seen {
		return
	}
	changed := u == nil || u.leaving != reg.Draining
	if u == nil || u.address != reg.Address || u.service != reg.Service || u.zone != reg.Zone || u.slots != reg.Slots {
		old := u
		u = newUpstream(reg, r.regions[reg.Zone])
		if old != nil {
			u.inherit(old)
		}
		if old != nil {
			r.stale[old.service] = true
		}
		r.upstreams[reg.ID] = u
		changed = true
	}
	u.seen = reg.RowVersion
	leaves := reg.Draining && !u.leaving
	u.leaving = reg.Draining
	u.report(reg, now, first)
	if changed {
		r.stale[u.service] = true
		r.publish()
	}
	if leaves {
		r.tell(u, "registered as draining")
	}
}

// Remove forgets an upstream whose registration is gone.
func (r *Registrar) Remove(id string, version uint64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[id]
	if u == nil || version < u.seen {
		return
	}
	delete(r.upstreams, id)
	r.stale[u.service] = true
	r.publish()
	r.tell(u, "registration removed")
}

// SetEvacuated says that the upstreams of a zone get no new work, or may get some
// again. A zone that returns is taken for cold until its upstreams report.
func (r *Registrar) SetEvacuated(zone string, on bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evacuated[zone] == on {
		return
	}
	if on {
		r.evacuated[zone] = true
	} else {
		delete(r.evacuated, zone)
	}
	for _, u := range r.upstreams {
		if u.zone != zone {
			continue
		}
		r.stale[u.service] = true
		if !on {
			u.MarkSuspect(now)
		}
	}
	r.publish()
}

// BeginBatch keeps the view of readers as it is until release is called, so that many
// changes cost one new view.
func (r *Registrar) BeginBatch() (release func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.held++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.held--
		r.publish()
	}
}

func (r *Registrar) tell(u *Upstream, sign string) {
	if r.onLeave != nil {
		r.onLeave(u, sign)
	}
}

// publish builds the groups that changed anew, unless the view is held. Called with
// mu held.
func (r *Registrar) publish() {
	if r.held > 0 || len(r.stale) == 0 {
		return
	}
	groups := maps.Clone(*r.groups.Load())
	if groups == nil {
		groups = make(map[string]*Group)
	}
	for service := range r.stale {
		groups[service] = nil
	}
	for _, u := range r.upstreams {
		if !r.stale[u.service] {
			continue
		}
		g := groups[u.service]
		if g == nil {
			g = &Group{byRegion: make(map[string][]*Upstream), slots: make(map[string]int)}
			groups[u.service] = g
		}
		if !u.leaving && !r.evacuated[u.zone] {
			g.upstreams = append(g.upstreams, u)
		}
	}
	for service := range r.stale {
		if g := groups[service]; g != nil {
			g.arrange()
		} else {
			delete(groups, service)
		}
	}
	clear(r.stale)
	r.groups.Store(&groups)
}

// arrange sorts the upstreams and sums them up by region.
func (g *Group) arrange() {
	slices.SortFunc(g.upstreams, func(a, b *Upstream) int { return strings.Compare(a.id, b.id) })
	for _, u := range g.upstreams {
		g.byRegion[u.region] = append(g.byRegion[u.region], u)
		g.slots[u.region] += u.slots
	}
}
