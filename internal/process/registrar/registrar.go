// Package registrar keeps the registered upstreams: the last registration of each, the
// state that this host observed, and which of them may get new requests.
//
//	r := registrar.New(regions)
//	r.Put(registration, now, false)
//	group := r.Group("catalog") // an immutable view for one routing decision
package registrar

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/process/hasher"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
)

// maxSuspectTime bounds how long a suspect upstream counts as cold if no registration
// clears the suspicion. It exceeds the sum of the longest interval between two
// registrations that the platform allows (1.5 s) and the delay of reading them (1 s).
const maxSuspectTime = 3 * time.Second

// Registration is the registration of an upstream.
type Registration struct {
	ID             string
	Service        string
	Address        string
	Zone           string
	Slots          int // requests that it runs at once
	Draining       bool
	ColdRemaining  time.Duration // time until it is no longer cold
	StartUnixMilli int64         // start time of the process, 0 if unknown
	// Count is the number of registrations that the process had written with this one.
	Count      uint64
	RowVersion sequencer.Version // of the row in the store; later rows have later versions
}

// Group is an immutable view of the upstreams of one service that may get new requests.
type Group struct {
	upstreams []*Upstream
	byRegion  map[string]*regionGroup
}

// regionGroup holds the upstreams of a group in one region.
type regionGroup struct {
	upstreams []*Upstream
	index     *hasher.Index // weighted by their slots
}

// Upstreams returns the upstreams, sorted by ID. The slice must not be modified.
func (g *Group) Upstreams() []*Upstream {
	if g == nil {
		return nil
	}
	return g.upstreams
}

// InRegion returns the upstreams in a region, sorted by ID. The slice must not be modified.
func (g *Group) InRegion(region string) []*Upstream {
	if g == nil || g.byRegion[region] == nil {
		return nil
	}
	return g.byRegion[region].upstreams
}

// Index ranks the upstreams in a region by rendezvous hashing. Its positions are those in
// InRegion. It is nil if there are none.
func (g *Group) Index(region string) *hasher.Index {
	if g == nil || g.byRegion[region] == nil {
		return nil
	}
	return g.byRegion[region].index
}

// UsableSlots returns the sum of the slots of the upstreams of a region that requests can
// keep busy, each for serviceTime, within the rate limits of the upstreams. Slots of an upstream
// that reports its speed count as much as they do on average.
func (g *Group) UsableSlots(region string, serviceTime time.Duration, now time.Time) float64 {
	usable := 0.0
	for _, u := range g.InRegion(region) {
		slots := float64(u.slots) * u.MeanSpeed(now)
		if u.RateLimited(now) {
			slots = min(slots, max(float64(u.RateLimit(now)), minRateLimit)*serviceTime.Seconds())
		}
		usable += slots
	}
	return usable
}

// Registrar keeps the upstreams. It is safe for concurrent use. Group and Services take
// no lock.
type Registrar struct {
	regions map[string]string // zone to region

	mu            sync.Mutex
	upstreams     map[string]*Upstream        // by ID
	averages      map[string]*serviceAverages // by service
	departures    map[string]departure        // by ID, of upstreams without a registration
	evacuated     map[string]bool             // zones whose upstreams get no new requests
	onLeave       func(u *Upstream, reason string)
	openBatches   int             // batches that are not committed
	staleServices map[string]bool // services whose group is to be rebuilt

	groups atomic.Pointer[map[string]*Group]
}

// New returns an empty Registrar. regions maps availability zones to regions.
func New(regions map[string]string) *Registrar {
	r := &Registrar{
		regions: regions, upstreams: make(map[string]*Upstream), departures: make(map[string]departure),
		evacuated: make(map[string]bool), averages: make(map[string]*serviceAverages), staleServices: make(map[string]bool),
	}
	r.groups.Store(new(map[string]*Group))
	return r
}

// OnLeave sets the function that is called when an upstream begins to drain, says that it is
// leaving, or its registration is removed. It must be called before the first Put. f must not
// call the Registrar.
func (r *Registrar) OnLeave(f func(u *Upstream, reason string)) { r.onLeave = f }

// Group returns the upstreams of a service that may get new requests, or nil for an
// unknown service.
func (r *Registrar) Group(service string) *Group { return (*r.groups.Load())[service] }

// Services returns the sorted names of the services with a registered upstream.
func (r *Registrar) Services() []string {
	var out []string
	for name := range *r.groups.Load() {
		out = append(out, name)
	}
	slices.Sort(out)
	return out
}

// Put applies a registration that was read at now. A row version that is not above the
// last applied one has no effect. In a later era of the store, the first row of an upstream may
// be older than the one that was applied, and has no effect then. firstRead marks rows of the
// first read of the table, whose upstreams have not necessarily just started.
func (r *Registrar) Put(reg Registration, now time.Time, firstRead bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[reg.ID]
	if u != nil && !u.rowVersion.Before(reg.RowVersion) {
		return
	}
	if u != nil && u.isOutdated(&reg) {
		u.rowVersion = reg.RowVersion
		return
	}
	changed := u == nil || u.draining != reg.Draining
	if u == nil || u.address != reg.Address || u.service != reg.Service || u.zone != reg.Zone || u.slots != reg.Slots {
		old := u
		u = newUpstream(reg, r.regions[reg.Zone], r.peersOf(reg.Service, r.regions[reg.Zone]))
		if old != nil {
			u.inheritState(old)
			r.staleServices[old.service] = true
		} else if d, ok := r.departures[reg.ID]; ok {
			u.restore(d)
			delete(r.departures, reg.ID)
		}
		r.upstreams[reg.ID] = u
		changed = true
	}
	u.rowVersion, u.count = reg.RowVersion, reg.Count
	startsDraining := reg.Draining && !u.draining
	u.draining = reg.Draining
	if u.leaving && u.startUnixMilli != reg.StartUnixMilli {
		u.leaving, changed = false, true
	}
	u.applyRegistration(reg, now, firstRead)
	if changed {
		r.staleServices[u.service] = true
		r.publish()
	}
	if startsDraining {
		r.notifyLeaving(u, "registered as draining")
	}
}

// Remove removes an upstream whose registration was deleted at the given row version. It
// has no effect if a later row was applied.
func (r *Registrar) Remove(id string, version sequencer.Version) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[id]
	if u == nil || version.Before(u.rowVersion) {
		return
	}
	delete(r.upstreams, id)
	r.addDeparture(u.id, u.departure())
	r.staleServices[u.service] = true
	r.publish()
	r.notifyLeaving(u, "registration removed")
}

// MarkLeaving records that a process of an upstream, given by its start time, said in a
// response that it is leaving. It gets no new requests, whatever its registration says, until
// another process registers under its ID. MarkLeaving has no effect if another process has.
func (r *Registrar) MarkLeaving(id string, startUnixMilli int64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	u := r.upstreams[id]
	if u == nil {
		if d, ok := r.departures[id]; !ok || d.startUnixMilli == startUnixMilli {
			d.startUnixMilli, d.leaving = startUnixMilli, true
			r.addDeparture(id, d)
		}
		return
	}
	if u.leaving || u.startUnixMilli != startUnixMilli {
		return
	}
	u.leaving = true
	if u.draining {
		return
	}
	r.staleServices[u.service] = true
	r.publish()
	r.notifyLeaving(u, "said so in a response")
}

// HasSuccessor reports whether the upstream that is now removed was last registered by an
// earlier process than the one that started at the given time. It is false if either start
// time is unknown.
func (r *Registrar) HasSuccessor(id string, startUnixMilli int64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	d, ok := r.departures[id]
	return ok && d.startUnixMilli != 0 && d.startUnixMilli < startUnixMilli
}

// departure is what is kept of an upstream whose registration was removed. A registration may
// expire while the store fails, and is written again if the upstream still runs.
type departure struct {
	startUnixMilli int64
	leaving        bool
	limit          rateLimit
}

const (
	// maxDepartures bounds the number of departures that are kept, with 100 bytes each.
	maxDepartures = 4096
	// departureSamples is the number of departures of which the least useful one is dropped.
	departureSamples = 16
)

// saysMore reports whether the process said more of itself than its start time.
func (d departure) saysMore() bool { return d.leaving || !d.limit.statedAt.IsZero() }

// addDeparture keeps a departure. If there are too many, it takes the place of one of a few
// random ones, of one that says no more than its start time if there is any. The caller must
// hold mu.
func (r *Registrar) addDeparture(id string, d departure) {
	if _, kept := r.departures[id]; !kept && len(r.departures) >= maxDepartures {
		victim, looked := "", 0
		for other, o := range r.departures {
			victim = other
			if looked++; !o.saysMore() || looked == departureSamples {
				break
			}
		}
		delete(r.departures, victim)
	}
	r.departures[id] = d
}

// SetEvacuated sets whether an availability zone is evacuated. The upstreams of an
// evacuated zone get no new requests. When the evacuation ends, they count as cold until
// they register again.
func (r *Registrar) SetEvacuated(zone string, evacuated bool, now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.evacuated[zone] == evacuated {
		return
	}
	if evacuated {
		r.evacuated[zone] = true
	} else {
		delete(r.evacuated, zone)
	}
	for _, u := range r.upstreams {
		if u.zone != zone {
			continue
		}
		r.staleServices[u.service] = true
		if !evacuated {
			u.MarkSuspect(now)
		}
	}
	r.publish()
}

// BeginBatch defers the publication of changes until commit is called, so that the groups
// are rebuilt once for many changes.
func (r *Registrar) BeginBatch() (commit func()) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.openBatches++
	return func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		r.openBatches--
		r.publish()
	}
}

func (r *Registrar) notifyLeaving(u *Upstream, reason string) {
	if r.onLeave != nil {
		r.onLeave(u, reason)
	}
}

// publish rebuilds the groups that changed, unless a batch is open. The caller must hold
// mu.
func (r *Registrar) publish() {
	if r.openBatches > 0 || len(r.staleServices) == 0 {
		return
	}
	groups := maps.Clone(*r.groups.Load())
	if groups == nil {
		groups = make(map[string]*Group)
	}
	for service := range r.staleServices {
		groups[service] = nil
	}
	for _, u := range r.upstreams {
		if !r.staleServices[u.service] {
			continue
		}
		g := groups[u.service]
		if g == nil {
			g = &Group{byRegion: make(map[string]*regionGroup)}
			groups[u.service] = g
		}
		if !u.draining && !u.leaving && !r.evacuated[u.zone] {
			g.upstreams = append(g.upstreams, u)
		}
	}
	for service := range r.staleServices {
		if g := groups[service]; g != nil {
			g.index()
		} else {
			delete(groups, service)
			delete(r.averages, service)
		}
	}
	clear(r.staleServices)
	r.groups.Store(&groups)
}

// index sorts the upstreams by ID and groups them by region.
func (g *Group) index() {
	slices.SortFunc(g.upstreams, func(a, b *Upstream) int { return strings.Compare(a.id, b.id) })
	for _, u := range g.upstreams {
		rg := g.byRegion[u.region]
		if rg == nil {
			rg = new(regionGroup)
			g.byRegion[u.region] = rg
		}
		rg.upstreams = append(rg.upstreams, u)
	}
	for _, rg := range g.byRegion {
		hashes, slots := make([]uint64, len(rg.upstreams)), make([]float64, len(rg.upstreams))
		for i, u := range rg.upstreams {
			hashes[i], slots[i] = u.hash, float64(u.slots)
		}
		rg.index = hasher.New(hashes, slots)
	}
}
