// Package detector implements the membership protocol of the fleet: it tracks
// which hosts are members and detects the failure of hosts.
//
// It follows SWIM (Das, Gupta, Motivala 2002): direct and indirect probes, a
// suspicion period before a member is declared dead, incarnation numbers by
// which a member refutes a false suspicion, and updates that are piggybacked on
// other messages. A host that misses many acknowledgements lengthens its own
// timeouts by a local health multiplier, as in Lifeguard (Dadgar, Phillips,
// Currey 2018). Instead of random targets, a host probes its neighbours at
// distances 1, 2, 4 … in the list of hosts sorted by address, so that the number
// of open sessions per host grows with the logarithm of the fleet size.
//
// Failure detection is an optimisation: no limit and no claim depends on its
// accuracy.
//
// A Detector does no I/O and reads no clock: the owner passes the time, sends
// the returned probes and reports acknowledgements. It is not safe for
// concurrent use.
package detector

import (
	"slices"
	"strings"
	"time"

	"google.golang.org/protobuf/proto"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
)

// State is the state of a member. Of two updates with the same incarnation, the
// one with the higher state wins.
type State uint8

// The states of a member.
const (
	Alive   State = iota
	Suspect       // did not acknowledge a probe, and may refute the suspicion
	Left          // stopped on purpose
	Dead          // did not refute a suspicion in time
)

// String returns the name of the state.
func (s State) String() string { return [...]string{"alive", "suspect", "left", "dead"}[min(s, Dead)] }

const (
	// probePeriod is the length of a probe round, and ackTimeout the time in a round
	// after which indirect probes are sent. Both are scaled by the host's health.
	probePeriod = time.Second
	ackTimeout  = 500 * time.Millisecond
	// indirectProbeHelpers is the number of members that are requested to send an
	// indirect probe.
	indirectProbeHelpers = 3
	// suspicionTimeout is the time in which a suspect may refute the suspicion. It is
	// scaled by the observer's health.
	suspicionTimeout = 4 * time.Second
	// tombstoneTTL is how long dead and left members are kept, so that outdated
	// updates don't add them again.
	tombstoneTTL = 10 * time.Minute
	// maxHealthMultiplier bounds the local health multiplier.
	maxHealthMultiplier = 8
	// pauseThreshold is the least time between two steps that counts as a pause of
	// the process.
	pauseThreshold = 2 * time.Second
	// retransmitMultiplier times 2 + log2 of the fleet size is how often an update is
	// transmitted.
	retransmitMultiplier = 3
	// fullSyncPeriod is the time between two full state syncs with a neighbour. They
	// repair what lost updates left inconsistent.
	fullSyncPeriod = 5 * time.Minute
	// initialFullSyncDelay is the time to the second full state sync of a new host;
	// it doubles up to fullSyncPeriod. When many hosts start together, their updates
	// compete for room in the messages, and some don't reach every host.
	initialFullSyncDelay = 5 * time.Second
	// reconnectPeriod is how often a dead member is probed again, so that the two
	// sides of a partition merge after it ends.
	reconnectPeriod = 10 * time.Second
)

// Probe is a message that the owner has to send: a ping to the target or, if Via
// is not empty, a request to the helper at Via to ping the target. The owner
// reports the response with Detector.RecordAck.
type Probe struct {
	target, address, via string
	fullSync             bool
}

// FullSync reports whether the ping and its response carry Detector.FullState
// instead of Detector.Updates.
func (p Probe) FullSync() bool { return p.fullSync }

// Target returns the name of the probed member.
func (p Probe) Target() string { return p.target }

// Address returns the peer address of the target.
func (p Probe) Address() string { return p.address }

// Via returns the peer address of the helper, or "" for a direct probe.
func (p Probe) Via() string { return p.via }

// member is the record of another host.
type member struct {
	*framer.Member
	expiresAt     time.Time // end of the suspicion or of the tombstone
	transmissions int       // of the last update about this member
}

func (m *member) state() State { return State(m.State) }

// Detector holds the membership as one host sees it.
type Detector struct {
	self             *framer.Member
	members          map[string]*member
	liveOrder        []string // names of alive and suspect members, sorted by address; see liveNames
	liveOrderStale   bool     // liveOrder must be rebuilt
	nextNeighbour    int      // index of the next neighbour to probe
	healthMultiplier int
	round            probeRound
	lastStep         time.Time

	expiring       map[string]*member // members with an expiresAt
	changes        []*framer.Member   // not yet returned by TakeChanges
	fullSyncAt     time.Time
	fullSyncDelay  time.Duration // between the next full state sync and the one after it
	reconnectAt    time.Time
	reconnectCount int
}

// probeRound is the current probe round.
type probeRound struct {
	target       string
	acknowledged bool
	indirectSent bool
	indirectAt   time.Time
	end          time.Time
}

// New returns a Detector without members other than self. The incarnation of
// self should be higher than that of an earlier process of the same name. If it
// is not, the Detector raises it when an update reports the earlier process.
func New(self *framer.Member, now time.Time) *Detector {
	return &Detector{self: proto.CloneOf(self), members: make(map[string]*member), expiring: make(map[string]*member), lastStep: now, fullSyncAt: now, fullSyncDelay: initialFullSyncDelay, reconnectAt: now}
}

// Self returns a copy of the host's own member record.
func (d *Detector) Self() *framer.Member { return proto.CloneOf(d.self) }

// LocalHealthMultiplier returns the score by which the host lengthens its
// timeouts, from 0 (healthy) to 8: each timeout is multiplied by 1 plus the
// score. Missed acknowledgements and pauses of the process raise it.
func (d *Detector) LocalHealthMultiplier() int { return d.healthMultiplier }

// SetVersion sets the configuration version that the host reports.
func (d *Detector) SetVersion(v uint64) { d.self.Version = v }

// SetReady sets whether the host reports that it accepts new requests. A change
// increments the incarnation, so that it replaces older records at other hosts.
func (d *Detector) SetReady(ready bool) {
	if d.self.Ready != ready {
		d.self.Ready = ready
		d.self.Incarnation++
	}
}

// TakeChanges returns copies of the members whose state or readiness changed
// since the last call, in the order of the changes.
func (d *Detector) TakeChanges() []*framer.Member {
	changes := d.changes
	d.changes = nil
	return changes
}

// Leave makes the host report the state Left.
func (d *Detector) Leave() {
	d.self.State = uint32(Left)
	d.self.Ready = false
	d.self.Incarnation++
}

// Members returns copies of all known members except the host itself, sorted by
// name.
func (d *Detector) Members() []*framer.Member {
	all := make([]*framer.Member, 0, len(d.members))
	for _, m := range d.members {
		all = append(all, proto.CloneOf(m.Member))
	}
	slices.SortFunc(all, func(a, b *framer.Member) int { return strings.Compare(a.Name, b.Name) })
	return all
}

// Neighbours returns the live members at distances 1, 2, 4 … after the host in
// the list sorted by address, which wraps around. They are not copies and must not be
// changed.
func (d *Detector) Neighbours() []*framer.Member {
	var out []*framer.Member
	order := d.liveNames()
	n := len(order)
	at, _ := slices.BinarySearchFunc(order, d.self.Address, func(name, address string) int {
		return strings.Compare(d.members[name].Address, address)
	})
	for step := 1; step <= n; step *= 2 {
		out = append(out, d.members[order[(at+step-1)%n]].Member)
	}
	return out
}

// liveNames returns the names of the alive and suspect members, sorted by address.
// The list is rebuilt on demand, because a full state sync can change thousands of
// members at once.
func (d *Detector) liveNames() []string {
	if !d.liveOrderStale {
		return d.liveOrder
	}
	d.liveOrderStale = false
	d.liveOrder = d.liveOrder[:0]
	for name, m := range d.members {
		if m.state() <= Suspect {
			d.liveOrder = append(d.liveOrder, name)
		}
	}
	slices.SortFunc(d.liveOrder, func(a, b string) int {
		return strings.Compare(d.members[a].Address, d.members[b].Address)
	})
	return d.liveOrder
}

// Step advances the Detector to now and returns the probes to send.
func (d *Detector) Step(now time.Time) []Probe {
	if now.Sub(d.lastStep) >= pauseThreshold {
		d.resetAfterPause(now)
	}
	d.lastStep = now
	d.expire(now)
	if d.round.target != "" && now.Before(d.round.end) {
		return d.probeIndirectly(now)
	}
	d.finishRound(now)
	return append(d.startRound(now), d.reconnect(now)...)
}

// reconnect returns a probe of one of the dead members, in turn, when it is due.
func (d *Detector) reconnect(now time.Time) []Probe {
	if now.Before(d.reconnectAt) {
		return nil
	}
	d.reconnectAt = now.Add(reconnectPeriod)
	var dead []string
	for name, m := range d.expiring {
		if m.state() == Dead {
			dead = append(dead, name)
		}
	}
	if len(dead) == 0 {
		return nil
	}
	slices.Sort(dead)
	m := d.members[dead[d.reconnectCount%len(dead)]]
	d.reconnectCount++
	return []Probe{{target: m.Name, address: m.Address, fullSync: true}}
}

// resetAfterPause drops the round that was in progress before a pause and restarts
// the timers of suspicions: responses and refutations may have arrived while the
// process did not run.
func (d *Detector) resetAfterPause(now time.Time) {
	d.healthMultiplier = min(d.healthMultiplier+2, maxHealthMultiplier)
	d.round = probeRound{}
	for _, m := range d.expiring {
		if m.state() == Suspect {
			m.expiresAt = now.Add(d.scaledByHealth(suspicionTimeout))
		}
	}
}

// scaledByHealth multiplies a timeout by 1 plus the local health multiplier.
func (d *Detector) scaledByHealth(t time.Duration) time.Duration {
	return t * time.Duration(1+d.healthMultiplier)
}

// startRound starts a probe round with the next neighbour.
func (d *Detector) startRound(now time.Time) []Probe {
	neighbours := d.Neighbours()
	if len(neighbours) == 0 {
		return nil
	}
	target := neighbours[d.nextNeighbour%len(neighbours)]
	d.nextNeighbour++
	d.round = probeRound{target: target.Name, indirectAt: now.Add(d.scaledByHealth(ackTimeout)), end: now.Add(d.scaledByHealth(probePeriod))}
	fullSync := !now.Before(d.fullSyncAt)
	if fullSync {
		d.fullSyncAt = now.Add(d.fullSyncDelay)
		d.fullSyncDelay = min(2*d.fullSyncDelay, fullSyncPeriod)
	}
	return []Probe{{target: target.Name, address: target.Address, fullSync: fullSync}}
}

// probeIndirectly returns indirect probes of a target that did not acknowledge the
// direct probe within ackTimeout.
func (d *Detector) probeIndirectly(now time.Time) []Probe {
	p := &d.round
	m, ok := d.members[p.target]
	if p.acknowledged || p.indirectSent || !ok || now.Before(p.indirectAt) {
		return nil
	}
	p.indirectSent = true
	var out []Probe
	order := d.liveNames()
	for i := range order {
		name := order[(i+d.nextNeighbour*indirectProbeHelpers)%len(order)]
		if name != p.target && d.members[name].state() == Alive && len(out) < indirectProbeHelpers {
			out = append(out, Probe{target: p.target, address: m.Address, via: d.members[name].Address})
		}
	}
	return out
}

// finishRound ends the probe round. A target that did not acknowledge becomes
// Suspect.
func (d *Detector) finishRound(now time.Time) {
	p := d.round
	d.round = probeRound{}
	if p.target == "" || p.acknowledged {
		return
	}
	d.healthMultiplier = min(d.healthMultiplier+1, maxHealthMultiplier)
	m, ok := d.members[p.target]
	if !ok || m.state() != Alive {
		return
	}
	d.setState(m, &framer.Member{State: uint32(Suspect), Accuser: d.self.Name, Reason: "no response to direct and indirect probes"}, now)
}

// setState changes the state of a member and keeps its incarnation.
func (d *Detector) setState(m *member, change *framer.Member, now time.Time) {
	m.State, m.Accuser, m.Reason = change.State, change.Accuser, change.Reason
	d.recordChange(m, now)
}

// recordChange schedules a changed member for transmission and expiry.
func (d *Detector) recordChange(m *member, now time.Time) {
	m.transmissions = 0
	d.changes = append(d.changes, proto.CloneOf(m.Member))
	d.expiring[m.Name] = m
	switch m.state() {
	case Suspect:
		m.expiresAt = now.Add(d.scaledByHealth(suspicionTimeout))
	case Left, Dead:
		m.expiresAt = now.Add(tombstoneTTL)
	default:
		delete(d.expiring, m.Name)
	}
	d.liveOrderStale = true
}

// expire declares suspects dead that did not refute in time, and removes members
// whose tombstone has expired.
func (d *Detector) expire(now time.Time) {
	for name, m := range d.expiring {
		if now.Before(m.expiresAt) {
			continue
		}
		if m.state() == Suspect {
			d.setState(m, &framer.Member{State: uint32(Dead), Accuser: m.Accuser, Reason: m.Reason + "; suspicion not refuted in time"}, now)
			continue
		}
		delete(d.members, name)
		delete(d.expiring, name)
	}
}

// RecordAck records that a member acknowledged a probe, directly or through a
// helper.
func (d *Detector) RecordAck(name string, now time.Time) {
	if d.round.target == name && now.Before(d.round.end) {
		d.round.acknowledged = true
		d.healthMultiplier = max(d.healthMultiplier-1, 0)
	}
}

// MergeUpdates merges the updates that a message carried. It ignores updates that
// are incomplete, have an unknown state, or report that an unknown member left or
// is dead.
func (d *Detector) MergeUpdates(updates []*framer.Member, now time.Time) {
	for _, u := range updates {
		if u.Name == d.self.Name {
			d.refute(u)
			continue
		}
		d.mergeUpdate(u, now)
	}
}

// refute raises the host's incarnation above that of an update which reports
// another state of the host, or which comes from an earlier process of the same
// name.
func (d *Detector) refute(u *framer.Member) {
	if u.Incarnation > d.self.Incarnation || (u.Incarnation == d.self.Incarnation && u.State != d.self.State) {
		d.self.Incarnation = u.Incarnation + 1
	}
}

// mergeUpdate merges an update about another member. The higher incarnation wins,
// and at equal incarnations the higher state.
func (d *Detector) mergeUpdate(u *framer.Member, now time.Time) {
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
		// The update is outdated. Its sender may be the member itself after a pause, so
		// the current record is transmitted again.
		m.transmissions = 0
		return
	case u.Incarnation == m.Incarnation && u.State == m.State:
		if u.Version > m.Version {
			m.Version, m.transmissions = u.Version, 0
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
	d.recordChange(m, now)
}

// MergeFullState merges the records of a full state sync with the member named
// from. Members that it adds are known to other hosts already, so they are not
// transmitted further, except for the sender, which may be new to all.
func (d *Detector) MergeFullState(from string, members []*framer.Member, now time.Time) {
	var discovered []string
	for _, u := range members {
		if _, known := d.members[u.Name]; !known && u.Name != from {
			discovered = append(discovered, u.Name)
		}
	}
	d.MergeUpdates(members, now)
	for _, name := range discovered {
		if m, ok := d.members[name]; ok {
			m.transmissions = d.maxTransmissions()
		}
	}
}

// FullState returns copies of all members and of the host's own record, for a full
// state sync.
func (d *Detector) FullState() []*framer.Member { return append(d.Members(), d.Self()) }

// maxTransmissions returns how often an update is transmitted: it grows with the
// logarithm of the number of members.
func (d *Detector) maxTransmissions() int {
	limit := retransmitMultiplier
	for n := len(d.members) + 1; n > 0; n >>= 1 {
		limit += retransmitMultiplier
	}
	return limit
}

// Updates returns the updates to piggyback on a message: the host's own record and
// at most limit other members, those with the fewest transmissions first.
func (d *Detector) Updates(limit int) []*framer.Member {
	out := []*framer.Member{proto.CloneOf(d.self)}
	maxTransmissions := d.maxTransmissions()
	pending := make([]*member, 0, limit)
	for _, m := range d.members {
		if m.transmissions < maxTransmissions {
			pending = append(pending, m)
		}
	}
	slices.SortFunc(pending, func(a, b *member) int {
		if a.transmissions != b.transmissions {
			return a.transmissions - b.transmissions
		}
		return strings.Compare(a.Name, b.Name)
	})
	for _, m := range pending[:min(limit, len(pending))] {
		m.transmissions++
		out = append(out, proto.CloneOf(m.Member))
	}
	return out
}
