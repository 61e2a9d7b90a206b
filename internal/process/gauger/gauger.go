// Package gauger keeps what is known about the health and load of each
// upstream, how old it is, and which upstreams are leaving.
//
// Probes, answers, the host list, plans and peers report to the Gauger; for
// each request the router reads it without a lock:
//
//	g := gauger.New(now)
//	g.Install(plan, now)
//	g.OnHealth("este-1", gauger.Ready, at, now)
//	r := g.Read(upstream, now)
package gauger

import (
	"math"
	"sync"
	"sync/atomic"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

// State is the state of an upstream or of a region.
type State uint8

// The states. An Unknown upstream may be used: it is new, or its measurements
// have stopped.
const (
	Unknown State = iota
	Ready
	Starting
	Draining
	Failed
)

var stateNames = [...]string{"unknown", "ready", "starting", "draining", "failed"}

// String returns the state's name.
func (s State) String() string { return stateNames[s] }

// Usable reports whether new work may go to an upstream in this state.
func (s State) Usable() bool { return s == Ready || s == Unknown }

const (
	// equalReadings and settle are the hysteresis of a change of state.
	// toldWait is how long ready readings don't count after an answer has said
	// that the upstream drains: the health endpoint then lags or misleads. A
	// reading that agrees, or a refused connection, ends the wait.
	toldWait      = 5 * time.Minute
	equalReadings = 3
	settle        = 2 * time.Second

	// fullAge is the age up to which a measurement counts in full, and noAge
	// the age from which it counts for nothing.
	fullAge = 5 * time.Second
	noAge   = 15 * time.Second

	// ramp is how long a new or returning upstream takes to its full share, and
	// rampStart the part it starts with.
	ramp      = 30 * time.Second
	rampStart = 1.0 / 8

	// errorHalf is the time in which the error ratio loses half of its value
	// without new answers, so that an avoided upstream is tried again.
	errorHalf = 10 * time.Second

	// errorWeight is the weight of one answer in the error ratio.
	errorWeight = 1.0 / 16
)

// Sign is a reason to take an upstream for leaving.
type Sign uint8

// The signs that an upstream is leaving.
const (
	HealthSign  Sign = iota // the health endpoint says draining
	CloseSign               // an answer carried Connection: close
	RefusalSign             // a refusal 503 carried Draining
	ListSign                // the host list says leaving
	NoteSign                // a release note withdrew it
	PeerSign                // a peer's Leaving message
)

var signNames = [...]string{"health", "connection close", "refusal", "host list", "release note", "peer"}

// String returns the sign's name.
func (s Sign) String() string { return signNames[s] }

// Gauger holds the state of all upstreams. All methods are safe for concurrent
// use; Read and Region take no lock.
type Gauger struct {
	epoch time.Time
	mu    sync.Mutex
	table atomic.Pointer[table]
}

// table maps the indices of one plan to entries.
type table struct {
	plan    *planner.Plan
	entries []*entry
	regions [][]*region
	byName  map[string]*entry
	gone    map[string]*entry // withdrawn by this plan; requests may still hold the one before
}

// entry is the state of one upstream. Writers hold mu; readers use the atomics.
// Times are nanoseconds since the Gauger's epoch, 0 for never.
type entry struct {
	mu      sync.Mutex
	next    State
	same    int
	since   int64
	refused bool
	drained atomic.Bool // by an operator
	told    bool        // an answer said that the upstream drains, and its health has not agreed since

	state   atomic.Uint32
	health  atomic.Int64 // time of the last health reading
	loaded  atomic.Int64 // time of the last load reading
	load    atomic.Int64
	leaving atomic.Int64
	sign    atomic.Uint32
	warm    atomic.Int64 // start of the ramp
	shed    atomic.Int64 // end of the shedding
	errors  atomic.Uint64
	errorAt atomic.Int64
}

// New returns an empty Gauger.
func New(now time.Time) *Gauger {
	return &Gauger{epoch: now.Add(-time.Nanosecond)}
}

func (g *Gauger) at(t time.Time) int64 { return int64(t.Sub(g.epoch)) }

// Install makes the upstreams of a plan known. What is known about an upstream
// stays. An upstream that a later plan adds starts its ramp; those of the first
// plan do not, because the start of this host says nothing about them. An
// upstream that a plan no longer has is leaving. Call Install before requests
// see the plan.
func (g *Gauger) Install(p *planner.Plan, now time.Time) {
	g.mu.Lock()
	defer g.mu.Unlock()
	old := g.table.Load()
	next := &table{plan: p, byName: make(map[string]*entry, len(p.Upstreams())), gone: make(map[string]*entry)}
	for _, u := range p.Upstreams() {
		var e *entry
		if old != nil {
			e = old.byName[u.Name()]
		}
		if e == nil {
			e = new(entry)
			if old != nil {
				e.warm.Store(g.at(now))
			}
		}
		if e.drained.Store(u.Drained()); u.Drained() {
			e.leave(NoteSign, g.at(now))
		}
		next.byName[u.Name()] = e
		next.entries = append(next.entries, e)
	}
	if old != nil {
		for name, e := range old.byName {
			if next.byName[name] == nil {
				e.leave(NoteSign, g.at(now))
				next.gone[name] = e
			}
		}
	}
	for _, s := range p.Services() {
		row := make([]*region, len(p.Regions()))
		for i, r := range p.Regions() {
			row[i] = old.region(s, r)
		}
		next.regions = append(next.regions, row)
	}
	g.table.Store(next)
}

func (g *Gauger) named(name string) *entry {
	if t := g.table.Load(); t != nil {
		return t.byName[name]
	}
	return nil
}

// find returns the entry of an upstream of any plan.
func (g *Gauger) find(u *planner.Upstream) *entry {
	t := g.table.Load()
	if t == nil {
		return nil
	}
	i := u.Index()
	if all := t.plan.Upstreams(); i < len(all) && (all[i] == u || all[i].Name() == u.Name()) {
		return t.entries[i]
	}
	if e := t.byName[u.Name()]; e != nil {
		return e
	}
	return t.gone[u.Name()]
}

// OnHealth records what a probe found: Ready, Starting, Draining, or Failed if
// the probe got no answer. The time at is when the probe was sent. A state
// changes after three equal readings over at least 2 s; Draining acts at once.
func (g *Gauger) OnHealth(name string, s State, at, now time.Time) {
	e := g.named(name)
	if e == nil || s == Unknown {
		return
	}
	if s == Draining {
		e.leave(HealthSign, g.at(now))
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.health.Store(max(e.health.Load(), g.at(at)))
	if left := e.leaving.Load(); e.drained.Load() || left != 0 && g.at(at) <= left {
		// The operator keeps the upstream out, or the reading is older than the
		// sign.
		return
	}
	if s != Ready {
		e.told = false
	}
	if e.told && g.at(at)-e.leaving.Load() < int64(toldWait) {
		return
	}
	if s != e.next {
		e.next, e.same, e.since = s, 0, g.at(at)
	}
	e.same++
	if State(e.state.Load()) == s && !e.refused && e.leaving.Load() == 0 {
		return
	}
	if e.same < equalReadings || g.at(at)-e.since < int64(settle) {
		return
	}
	before := State(e.state.Swap(uint32(s)))
	if s != Ready {
		return
	}
	// Without a reading before, an upstream is taken for warm.
	if before != Unknown || e.refused || e.leaving.Load() != 0 {
		e.warm.Store(g.at(now))
	}
	e.refused, e.told = false, false
	e.leaving.Store(0)
}

// OnLoad records the number of requests in flight that the upstream reported.
// The time at is when the report was asked for.
func (g *Gauger) OnLoad(name string, flight int, at time.Time) {
	e := g.named(name)
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	if t := g.at(at); t > e.loaded.Load() {
		e.load.Store(int64(max(flight, 0)))
		e.loaded.Store(t)
	}
}

// OnAnswer records whether an answer to a request of ours was an error.
func (g *Gauger) OnAnswer(u *planner.Upstream, failed bool, now time.Time) {
	e := g.find(u)
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	ratio := e.ratio(g.at(now)) * (1 - errorWeight)
	if failed {
		ratio += errorWeight
	}
	e.errors.Store(math.Float64bits(ratio))
	e.errorAt.Store(g.at(now))
}

// OnRefused records that the upstream refused a connection. It is taken for
// failed at once, until three ready readings or until its measurements stop.
func (g *Gauger) OnRefused(u *planner.Upstream, now time.Time) {
	e := g.find(u)
	if e == nil {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	e.state.Store(uint32(Failed))
	e.refused, e.told = true, false
	e.next, e.same, e.since = Failed, 1, g.at(now)
	e.health.Store(max(e.health.Load(), g.at(now)))
}

// OnShed records that the upstream refused a request and wants no more until
// the given time.
func (g *Gauger) OnShed(u *planner.Upstream, until time.Time) {
	if e := g.find(u); e != nil {
		e.mu.Lock()
		defer e.mu.Unlock()
		e.shed.Store(max(e.shed.Load(), g.at(until)))
	}
}

// OnLeaving records a sign that the upstream is leaving. It acts at once. The
// result says whether it is the first sign, which must be told to the peers.
func (g *Gauger) OnLeaving(name string, s Sign, now time.Time) bool {
	e := g.named(name)
	return e != nil && e.leave(s, g.at(now))
}

func (e *entry) leave(s Sign, now int64) bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	// Ready readings have to start again after every sign.
	e.next, e.same = Unknown, 0
	e.told = e.told || s == RefusalSign
	if e.leaving.Load() != 0 {
		return false
	}
	e.sign.Store(uint32(s))
	e.leaving.Store(now)
	return true
}

// ratio returns the error ratio at a time.
func (e *entry) ratio(now int64) float64 {
	ratio := math.Float64frombits(e.errors.Load())
	if ratio == 0 {
		return 0
	}
	age := float64(now-e.errorAt.Load()) / float64(errorHalf)
	return ratio * math.Exp2(-max(age, 0))
}
