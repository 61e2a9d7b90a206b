// Package spreader distributes accepted configuration versions to all hosts by
// gossip. Hosts send their neighbours a digest of the version in force, push new
// notes and pull missing ones. The store is polled rarely, only for versions
// that no neighbour has.
package spreader

import (
	"bytes"
	"math/rand/v2"
	"slices"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/process/snapshotter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

const (
	digestInterval = time.Second
	// digestFanout bounds the digests of a host per period, so its traffic doesn't
	// grow with the number of its neighbours.
	digestFanout = 3
	// collectTimeout bounds how long a new host that cannot read the store waits
	// for digests of all its neighbours before it pulls from one of them.
	collectTimeout = 2 * time.Second
	// pullBackoff is how long a neighbour is not asked for notes after a failed pull.
	pullBackoff = 2 * time.Second
	// viewTTL is how long the last digest of a neighbour counts as current.
	viewTTL = 10 * time.Second
	// pushGracePeriod is how long a host that learns of a newer version waits
	// for the push that follows before it pulls.
	pushGracePeriod = 250 * time.Millisecond
	// maxInFlightPerNeighbour bounds the requests in flight to one neighbour.
	maxInFlightPerNeighbour = 2
	// maxPushBytes bounds the notes that are pushed before the neighbour has
	// confirmed that they are missing there.
	maxPushBytes = 32 << 10

	minPollPeriod  = 5 * time.Second
	maxPollBackoff = time.Minute
	// fleetPollsPerSecond is how many reads per second of the head all hosts together
	// make. The store allows 20; the rest is left for reading the notes found.
	fleetPollsPerSecond = 16
)

// Action is an operation that the Driver performs for the Spreader: a request to
// a neighbour, or a read of the store if Poll is set.
type Action struct {
	To      string
	Request *framer.Envelope
	Poll    bool
}

// view is the last known state of a neighbour.
type view struct {
	version     uint64
	chain       planner.Chain
	heard       time.Time
	noPullUntil time.Time // no pulls before this time
	inFlight    int
	responded   bool // sent a digest since the start
}

// Spreader decides which requests a host sends and handles those of others. It
// uses no clock, socket or goroutine, and is not safe for concurrent use.
type Spreader struct {
	holder     *holder.Holder
	rng        *rand.Rand
	neighbours []string
	members    int
	views      map[string]*view

	started    time.Time
	collecting bool
	announced  uint64
	nextDigest time.Time
	rotation   int

	pulling   bool
	full      bool
	nextPull  time.Time
	staged    *planner.Plan // newer than the plan in force, older than the highest seen
	entries   []holder.Entry
	assembler snapshotter.Assembler
	splitter  snapshotter.Splitter

	polling       bool
	pollSucceeded bool // a read of the store succeeded
	pollFailures  int
	nextPoll      time.Time
	pollHastened  bool // nextPoll was moved forward
}

// New returns the Spreader of a host that starts now.
func New(h *holder.Holder, rng *rand.Rand, now time.Time) *Spreader {
	return &Spreader{
		holder: h, rng: rng, views: make(map[string]*view), members: 1,
		started: now, collecting: true, nextDigest: now, nextPoll: now,
	}
}

// SetPeers replaces the addresses of the neighbours and the number of members.
func (s *Spreader) SetPeers(neighbours []string, members int) {
	s.neighbours = slices.Clone(neighbours)
	s.members = max(1, members)
	for address := range s.views {
		if !slices.Contains(neighbours, address) {
			delete(s.views, address)
		}
	}
	for _, address := range neighbours {
		if s.views[address] == nil {
			s.views[address] = new(view)
		}
	}
}

// Ready reports whether the host has a version that it may serve: read from the
// store, or the highest of its neighbours.
func (s *Spreader) Ready() bool {
	return s.pollSucceeded || (!s.collecting && s.holder.Plan().Version() > 0)
}

// PollPeriod returns the time between two reads of the store by this host.
func (s *Spreader) PollPeriod() time.Duration {
	return max(minPollPeriod, time.Duration(s.members)*time.Second/fleetPollsPerSecond)
}

// NextTick returns when Tick is due again.
func (s *Spreader) NextTick() time.Time {
	next := s.nextDigest
	// A host that still collects does not pull; a time in the past would make
	// the driver busy-loop.
	if !s.pulling && !s.collecting && !s.nextPull.IsZero() && s.nextPull.Before(next) {
		next = s.nextPull
	}
	if !s.polling && s.nextPoll.Before(next) {
		next = s.nextPoll
	}
	return next
}

// Tick returns the actions that are due.
func (s *Spreader) Tick(now time.Time) []Action {
	actions := s.announce(now)
	if !now.Before(s.nextDigest) {
		// Intervals missed while the process was paused are skipped.
		s.nextDigest = s.nextDigest.Add(digestInterval)
		if !s.nextDigest.After(now) {
			s.nextDigest = now.Add(digestInterval)
		}
		actions = append(actions, s.digests()...)
	}
	s.endCollecting(now)
	actions = append(actions, s.pullMissing(now)...)
	if !s.polling && !now.Before(s.nextPoll) {
		s.polling = true
		actions = append(actions, Action{Poll: true})
	}
	return actions
}

func (s *Spreader) endCollecting(now time.Time) {
	if !s.collecting {
		return
	}
	responded := 0
	for _, v := range s.views {
		if v.responded {
			responded++
		}
	}
	late := now.Sub(s.started) >= collectTimeout
	switch {
	case responded > 0 && (late || responded == len(s.neighbours)):
		s.collecting = false
	case late:
		// No neighbour has responded: restart the collection timeout.
		s.started = now
	}
}

func (s *Spreader) digest() *framer.Envelope {
	p := s.holder.Plan()
	chain := p.Chain()
	return &framer.Envelope{Body: &framer.Envelope_Digest{Digest: &framer.Digest{Version: p.Version(), Chain: chain[:]}}}
}

// send returns the action, or none if maxInFlightPerNeighbour requests to the
// neighbour are in flight.
func (s *Spreader) send(to string, e *framer.Envelope) []Action {
	v := s.views[to]
	if v == nil || v.inFlight >= maxInFlightPerNeighbour {
		return nil
	}
	v.inFlight++
	return []Action{{To: to, Request: e}}
}

// digests sends the digest to the next digestFanout neighbours in rotation, or to
// all while the host collects.
func (s *Spreader) digests() []Action {
	count := min(digestFanout, len(s.neighbours))
	if s.collecting {
		count = len(s.neighbours)
	}
	var actions []Action
	for range count {
		s.rotation = (s.rotation + 1) % len(s.neighbours)
		actions = append(actions, s.send(s.neighbours[s.rotation], s.digest())...)
	}
	return actions
}

// announce sends a version that was installed since the last call to all
// neighbours: its notes where they are small and the neighbour's version is
// known, the digest otherwise.
func (s *Spreader) announce(now time.Time) []Action {
	p := s.holder.Plan()
	if p.Version() <= s.announced {
		return nil
	}
	s.announced = p.Version()
	var actions []Action
	for _, address := range s.neighbours {
		v := s.views[address]
		if v.version >= p.Version() {
			continue
		}
		e := s.digest()
		if list, ok := s.holder.After(v.version, v.chain, maxPushBytes); ok && now.Sub(v.heard) < viewTTL && size(list) <= maxPushBytes {
			e = notes(list)
		}
		actions = append(actions, s.send(address, e)...)
	}
	return actions
}

func size(list []holder.Entry) int {
	total := 0
	for _, e := range list {
		total += len(e.Note)
	}
	return total
}

// pullMissing pulls from a neighbour with the highest version what is missing here.
func (s *Spreader) pullMissing(now time.Time) []Action {
	have := s.base().Version()
	if s.pulling || s.collecting || now.Before(s.nextPull) {
		return nil
	}
	s.nextPull = time.Time{}
	var best []string
	highest := have
	for _, address := range s.neighbours {
		v := s.views[address]
		if v.version <= have || v.version < highest || now.Before(v.noPullUntil) || now.Sub(v.heard) > viewTTL || v.inFlight >= maxInFlightPerNeighbour {
			continue
		}
		if v.version > highest {
			best = best[:0]
		}
		highest = v.version
		best = append(best, address)
	}
	if len(best) == 0 {
		return nil
	}
	s.pulling = true
	return s.send(best[s.rng.IntN(len(best))], s.pull())
}

// base returns the newest version that is verified here, in force or staged.
func (s *Spreader) base() *planner.Plan {
	p := s.holder.Plan()
	if s.staged != nil && s.staged.Version() > p.Version() {
		return s.staged
	}
	s.staged, s.entries = nil, nil
	return p
}

func (s *Spreader) pull() *framer.Envelope {
	p := s.base()
	chain := p.Chain()
	return &framer.Envelope{Body: &framer.Envelope_Pull{Pull: &framer.Pull{
		Version: p.Version(), Chain: chain[:], Full: s.full,
		Snapshot: s.assembler.Version(), Offset: s.assembler.Offset(),
	}}}
}

// HandlePollResult records the result of a read of the store and schedules
// the next one.
func (s *Spreader) HandlePollResult(now time.Time, err error) {
	s.polling, s.pollHastened = false, false
	period := s.PollPeriod()
	if err == nil {
		s.pollSucceeded, s.collecting, s.pollFailures, s.full = true, false, 0, false
		s.nextPoll = now.Add(period*4/5 + s.random(period*2/5))
		return
	}
	// The mean wait is never below the period, so a store that is down gets no
	// more reads than one that works. Full jitter spreads the reads after it
	// has recovered.
	s.pollFailures++
	span := min(maxPollBackoff, period<<min(s.pollFailures, 8))
	s.nextPoll = now.Add(s.random(max(span, 2*period)))
}

func (s *Spreader) random(span time.Duration) time.Duration {
	return time.Duration(s.rng.Int64N(int64(span) + 1))
}

// pollSoon asks for a read of the store within one period, because the
// neighbours can't supply what is missing here.
func (s *Spreader) pollSoon(now time.Time) {
	if s.pollHastened || s.pollFailures > 0 {
		return
	}
	s.pollHastened = true
	if at := now.Add(s.random(s.PollPeriod())); at.Before(s.nextPoll) {
		s.nextPoll = at
	}
}

// updateView records the version that a neighbour reports.
func (s *Spreader) updateView(now time.Time, v *view, d *framer.Digest) {
	s.holder.Observe(d.GetVersion())
	v.version, v.heard, v.responded = d.GetVersion(), now, true
	copy(v.chain[:], d.GetChain())
	p := s.holder.Plan()
	if chain := p.Chain(); d.GetVersion() == p.Version() && !bytes.Equal(chain[:], d.GetChain()) {
		s.pollSoon(now)
	}
}
