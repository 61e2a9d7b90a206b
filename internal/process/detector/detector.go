// Package detector tracks which hosts are members of the fleet and which of
// them seem to have failed.
//
// It follows SWIM (Das, Gupta, Motivala 2002): direct and indirect probes,
// suspicion before death, incarnations by which a host refutes a false
// suspicion, and updates that ride on other messages. A host that misses many
// answers doubts itself first and waits longer, as in Lifeguard (Dadgar,
// Phillips, Currey 2018). Instead of random targets a host probes the
// neighbours at distances 1, 2, 4 … in the list of hosts sorted by address, so
// that the number of open sessions grows with the logarithm of the fleet.
//
// Detection serves speed only: no limit and no claim depends on it.
//
// A Detector is pure: the owner passes the time in, carries out the returned
// probes, and reports acknowledgements. It is not safe for concurrent use.
package detector

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
)

// State is what the fleet believes of a member. At equal incarnations the
// higher state wins.
type State uint8

// The states of a member.
const (
	Alive State = iota
	Suspect
	Left
	Dead
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"alive", "suspect", "left", "dead"}[min(s, Dead)] }

const (
	period     = time.Second
	ackTimeout = 500 * time.Millisecond
	// helpers is the number of members asked for an indirect probe.
	helpers = 3
	// suspicion is how long a suspect may refute, before it is multiplied by
	// the observer's doubt in itself.
	suspicion = 4 * time.Second
	// tombstone is how long dead and left members are remembered, so that old
	// updates don't bring them back.
	tombstone = 10 * time.Minute
	maxDoubt  = 8
	// pauseGap is the time between two steps from which the observer takes
	// itself to have been paused.
	pauseGap = 2 * time.Second
	// repeats times log2 of the fleet's size is how often an update is passed
	// on.
	repeats = 3
	// fullPeriod is how often all members are exchanged with one neighbour,
	// which repairs what updates missed.
	fullPeriod = 5 * time.Minute
	// firstFull is the time to the second full exchange of a new host; it
	// doubles up to fullPeriod. Updates about many hosts that start together
	// crowd each other out.
	firstFull = 5 * time.Second
	// reconnectPeriod is how often a host that is taken for dead is tried
	// again, so that the two sides of a partition find each other.
	reconnectPeriod = 10 * time.Second
)

// Probe is a message that the owner sends: a ping to the target, or a request
// to the helper to ping the target if Via is not empty. The owner reports the
// answer by Detector.RecordAck.
type Probe struct {
	target, address, via string
	full                 bool
}

// FullSync reports whether the ping carries Detector.FullState instead of
// Detector.Updates and asks for the same.
func (p Probe) FullSync() bool { return p.full }

// Target returns the name of the member to be probed.
func (p Probe) Target() string { return p.target }

// Address returns the peer address of the target.
func (p Probe) Address() string { return p.address }

// Via returns the peer address of the helper, or "" for a direct probe.
func (p Probe) Via() string { return p.via }

type member struct {
	*framer.Member
	deadline time.Time // end of a suspicion or of a tombstone
	sent     int       // how often the last update was passed on
}

func (m *member) state() State { return State(m.State) }

// Detector is the view of one host.
type Detector struct {
	self    *framer.Member
	members map[string]*member
	order   []string // live members but self, by address; see live
	stale   bool     // order has to be built anew
	next    int      // index of the next neighbour to probe
	doubt   int
	probe   probe
	last    time.Time

	timed       map[string]*member // those with a deadline
	news        []*framer.Member   // changes that Drain has not returned yet
	fullAt      time.Time
	fullWait    time.Duration // to the full exchange after the next one
	reconnectAt time.Time
	retried     int
}

// probe is the round under way.
type probe struct {
	target   string
	acked    bool
	indirect bool
	helpAt   time.Time
	end      time.Time
}

// New returns the view of a host that knows only itself. The incarnation of
// self should be higher than that of an earlier process of the same name; if it
// is not, the host raises it when it hears of the earlier one.
func New(self *framer.Member, now time.Time) *Detector {
	return &Detector{self: proto.CloneOf(self), members: make(map[string]*member), timed: make(map[string]*member), last: now, fullAt: now, fullWait: firstFull, reconnectAt: now}
}

// Self returns a copy of what the host says of itself.
func (d *Detector) Self() *framer.Member { return proto.CloneOf(d.self) }

// LocalHealthMultiplier returns how much the host doubts its own observations, from 0 to 8.
func (d *Detector) LocalHealthMultiplier() int { return d.doubt }

// SetVersion changes the configuration version that the host reports.
func (d *Detector) SetVersion(v uint64) { d.self.Version = v }

// SetReady changes whether the host reports that it takes new work. The
// incarnation rises, so that the change replaces what others know.
func (d *Detector) SetReady(ready bool) {
	if d.self.Ready != ready {
		d.self.Ready = ready
		d.self.Incarnation++
	}
}

// TakeChanges returns copies of the members whose state or readiness changed since
// the last call, in order.
func (d *Detector) TakeChanges() []*framer.Member {
	news := d.news
	d.news = nil
	return news
}

// Leave makes the host report that it stops on purpose.
func (d *Detector) Leave() {
	d.self.State = uint32(Left)
	d.self.Ready = false
	d.self.Incarnation++
}

// Members returns copies of all known members but the host itself, by name.
func (d *Detector) Members() []*framer.Member {
	all := make([]*framer.Member, 0, len(d.members))
	for _, m := range d.members {
		all = append(all, proto.CloneOf(m.Member))
	}
	slices.SortFunc(all, func(a, b *framer.Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Neighbours returns the members at distances 1, 2, 4 … after the host in the
// order of addresses.
func (d *Detector) Neighbours() []*framer.Member {
	var out []*framer.Member
	order := d.live()
	n := len(order)
	at, _ := slices.BinarySearchFunc(order, d.self.Address, func(name, address string) int {
		return strings.Compare(d.members[name].Address, address)
	})
	for step := 1; step <= n; step *= 2 {
		out = append(out, d.members[order[(at+step-1)%n]].Member)
	}
	return out
}

// live returns the names of the live members by address. The list is built when
// it is needed, because a full exchange changes thousands of members at once.
func (d *Detector) live() []string {
	if !d.stale {
		return d.order
	}
	d.stale = false
	d.order = d.order[:0]
	for name, m := range d.members {
		if m.state() <= Suspect {
			d.order = append(d.order, name)
		}
	}
	slices.SortFunc(d.order, func(a, b string) int {
		return strings.Compare(d.members[a].Address, d.members[b].Address)
	})
	return d.order
}

// Step advances to now and returns the probes to send.
func (d *Detector) Step(now time.Time) []Probe {
	if now.Sub(d.last) >= pauseGap {
		d.resume(now)
	}
	d.last = now
	d.expire(now)
	if d.probe.target != "" && now.Before(d.probe.end) {
		return d.help(now)
	}
	d.finishRound(now)
	return append(d.startRound(now), d.reconnect(now)...)
}

// reconnect tries one of the members that are taken for dead.
func (d *Detector) reconnect(now time.Time) []Probe {
	if now.Before(d.reconnectAt) {
		return nil
	}
	d.reconnectAt = now.Add(reconnectPeriod)
	var dead []string
	for name, m := range d.timed {
		if m.state() == Dead {
			dead = append(dead, name)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	slices.Sort(dead)
	m := d.members[dead[d.retried%len(dead)]]
	d.retried++
	return []Probe{{target: m.Name, address: m.Address, full: true}}
}

// resume drops what was under way before a pause: the answers may have come
// while the host did not run.
func (d *Detector) resume(now time.Time) {
	d.doubt = min(d.doubt+2, maxDoubt)
	d.probe = probe{}
	for _, m := range d.timed {
		if m.state() == Suspect {
			m.deadline = now.Add(d.scaled(suspicion))
		}
	}
}

func (d *Detector) scaled(t time.Duration) time.Duration { return t * time.Duration(1+d.doubt) }

func (d *Detector) startRound(now time.Time) []Probe {
	neighbours := d.Neighbours()
	if len(neighbours) == 0 {
		return nil
	}
	target := neighbours[d.next%len(neighbours)]
	d.next++
	d.probe = probe{target: target.Name, helpAt: now.Add(d.scaled(ackTimeout)), end: now.Add(d.scaled(period))}
	full := !now.Before(d.fullAt)
	if full {
		d.fullAt = now.Add(d.fullWait)
		d.fullWait = min(2*d.fullWait, fullPeriod)
	}
	return []Probe{{target: target.Name, address: target.Address, full: full}}
}

// help asks others to probe a target that did not answer in time.
func (d *Detector) help(now time.Time) []Probe {
	p := &d.probe
	m, ok := d.members[p.target]
	if p.acked || p.indirect || !ok || now.Before(p.helpAt) {
		return nil
	}
	p.indirect = true
	var out []Probe
	order := d.live()
	for i := range order {
		name := order[(i+d.next*helpers)%len(order)]
		if name != p.target && d.members[name].state() == Alive && len(out) < helpers {
			out = append(out, Probe{target: p.target, address: m.Address, via: d.members[name].Address})
		}
	}
	return out
}

func (d *Detector) finishRound(now time.Time) {
	p := d.probe
	d.probe = probe{}
	if p.target == "" || p.acked {
		return
	}
	d.doubt = min(d.doubt+1, maxDoubt)
	m, ok := d.members[p.target]
	if !ok || m.state() != Alive {
		return
	}
	d.set(m, &framer.Member{State: uint32(Suspect), Accuser: d.self.Name, Reason: "no answer to direct and indirect probes"}, now)
}

// set changes the state of a member at its present incarnation.
func (d *Detector) set(m *member, change *framer.Member, now time.Time) {
	m.State, m.Accuser, m.Reason = change.State, change.Accuser, change.Reason
	d.changed(m, now)
}

func (d *Detector) changed(m *member, now time.Time) {
	m.sent = 0
	d.news = append(d.news, proto.CloneOf(m.Member))
	d.timed[m.Name] = m
	switch m.state() {
	case Suspect:
		m.deadline = now.Add(d.scaled(suspicion))
	case Left, Dead:
		m.deadline = now.Add(tombstone)
	default:
		delete(d.timed, m.Name)
	}
	d.stale = true
}

func (d *Detector) expire(now time.Time) {
	for name, m := range d.timed {
		if now.Before(m.deadline) {
			continue
		}
		if m.state() == Suspect {
			d.set(m, &framer.Member{State: uint32(Dead), Accuser: m.Accuser, Reason: m.Reason + "; not refuted in time"}, now)
			continue
		}
		delete(d.members, name)
		delete(d.timed, name)
	}
}

// RecordAck records that a member answered a probe, directly or through a helper.
func (d *Detector) RecordAck(name string, now time.Time) {
	if d.probe.target == name && now.Before(d.probe.end) {
		d.probe.acked = true
		d.doubt = max(d.doubt-1, 0)
	}
}

// MergeUpdates merges updates that came with a message.
func (d *Detector) MergeUpdates(updates []*framer.Member, now time.Time) {
	for _, u := range updates {
		if u.Name == d.self.Name {
			d.refute(u)
			continue
		}
		d.merge(u, now)
	}
}

// refute raises the host's incarnation above a claim that it has failed, or
// above that of an earlier process of the same name.
func (d *Detector) refute(u *framer.Member) {
	if u.Incarnation > d.self.Incarnation || (u.Incarnation == d.self.Incarnation && u.State != d.self.State) {
		d.self.Incarnation = u.Incarnation + 1
	}
}

func (d *Detector) merge(u *framer.Member, now time.Time) {
	if u.Name == "" || u.Address == "" || u.State > uint32(Dead) {
		return
	}
	m, known := d.members[u.Name]
	switch {
	case !known && State(u.State) > Suspect:
		return
	case !known:
		m = &member{Member: proto.CloneOf(u)}
		d.members[u.Name] = m
	case u.Incarnation < m.Incarnation,
		u.Incarnation == m.Incarnation && u.State < m.State:
		// The sender is behind, and may be the member itself after a pause.
		m.sent = 0
		return
	case u.Incarnation == m.Incarnation && u.State == m.State:
		if u.Version > m.Version {
			m.Version, m.sent = u.Version, 0
		}
		return
	default:
		version := max(m.Version, u.Version)
		if u.Incarnation > m.Incarnation {
			version = u.Version
		}
		m.Member = proto.CloneOf(u)
		m.Version = version
	}
	d.changed(m, now)
}

// MergeFullState merges a full probe of a member, or the answer to one. What it brings is
// known to others and is not passed on again, but for the sender itself, which
// may be new to all.
func (d *Detector) MergeFullState(from string, members []*framer.Member, now time.Time) {
	var fresh []string
	for _, u := range members {
		if _, known := d.members[u.Name]; !known && u.Name != from {
			fresh = append(fresh, u.Name)
		}
	}
	d.MergeUpdates(members, now)
	for _, name := range fresh {
		if m, ok := d.members[name]; ok {
			m.sent = d.budget()
		}
	}
}

// FullState returns the host's own state and copies of all members, for a full probe
// or the answer to one.
func (d *Detector) FullState() []*framer.Member { return append(d.Members(), d.Self()) }

// budget returns how often an update is passed on.
func (d *Detector) budget() int {
	budget := repeats
	for n := len(d.members) + 1; n > 0; n >>= 1 {
		budget += repeats
	}
	return budget
}

// Updates returns at most limit updates to send with a message: the host's own
// state and what was passed on least often.
func (d *Detector) Updates(limit int) []*framer.Member {
	out := []*framer.Member{proto.CloneOf(d.self)}
	budget := d.budget()
	fresh := make([]*member, 0, limit)
	for _, m := range d.members {
		if m.sent < budget {
			fresh = append(fresh, m)
		}
	}
	slices.SortFunc(fresh, func(a, b *member) int {
		if a.sent != b.sent {
			return a.sent - b.sent
		}
		return strings.Compare(a.Name, b.Name)
	})
	for _, m := range fresh[:min(limit, len(fresh))] {
		m.sent++
		out = append(out, proto.CloneOf(m.Member))
	}
	return out
}
