package spreader

import (
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// maxNotesBytes bounds the notes in one message, in bytes. A single note may be
// larger, up to framer.MaxNoteBytes.
const maxNotesBytes = 1 << 20

// notes returns a message with the entries, which are contiguous and at least
// one.
func notes(list []holder.Entry) *framer.Envelope {
	m := &framer.Notes{Version: list[0].Version, Previous: list[0].Previous[:]}
	for i := range list {
		m.Notes = append(m.Notes, list[i].Note)
		m.Chains = append(m.Chains, list[i].Chain[:])
	}
	return &framer.Envelope{Body: &framer.Envelope_Notes{Notes: m}}
}

// parse returns the entries of a message, or an error of kind Invalid if one is
// malformed or doesn't match its chain.
func parse(m *framer.Notes) ([]holder.Entry, error) {
	var previous planner.Chain
	if len(m.GetNotes()) == 0 || len(m.GetNotes()) != len(m.GetChains()) || len(m.GetPrevious()) != len(previous) {
		return nil, classifier.Invalid.New("message of %d notes and %d chains", len(m.GetNotes()), len(m.GetChains()))
	}
	previous = planner.Chain(m.GetPrevious())
	list := make([]holder.Entry, 0, len(m.GetNotes()))
	for i, raw := range m.GetNotes() {
		e := holder.Entry{Version: m.GetVersion() + uint64(i), Previous: previous, Note: raw}
		if len(m.GetChains()[i]) != len(e.Chain) {
			return nil, classifier.Invalid.New("chain of %d bytes", len(m.GetChains()[i]))
		}
		e.Chain = planner.Chain(m.GetChains()[i])
		if !e.Verify() {
			return nil, classifier.Invalid.New("the note of version %d doesn't match its chain", e.Version)
		}
		previous = e.Chain
		list = append(list, e)
	}
	return list, nil
}

// HandleRequest returns the response to a neighbour's message. A digest or notes
// are answered with the digest of this host, from which the sender derives what
// is missing here. The caller must call Tick afterwards.
func (s *Spreader) HandleRequest(now time.Time, e *framer.Envelope) (*framer.Envelope, error) {
	v := s.views[e.GetAddress()]
	if v == nil {
		// A host that isn't a neighbour gets a response too.
		v = new(view)
	}
	switch {
	case e.GetDigest() != nil:
		s.updateView(now, v, e.GetDigest())
		if e.GetDigest().GetVersion() > s.base().Version() && s.nextPull.IsZero() {
			s.nextPull = now.Add(pushGracePeriod)
		}
		return s.digest(), nil
	case e.GetNotes() != nil:
		list, err := parse(e.GetNotes())
		if err != nil {
			return nil, err
		}
		last := list[len(list)-1]
		s.updateView(now, v, &framer.Digest{Version: last.Version, Chain: last.Chain[:]})
		if !s.collecting {
			if err := s.apply(list); err != nil {
				return nil, err
			}
		}
		return s.digest(), nil
	case e.GetPull() != nil:
		return s.handlePull(e.GetPull())
	default:
		return nil, classifier.BadRequest.New("message without a digest, notes or a pull")
	}
}

func (s *Spreader) handlePull(m *framer.Pull) (*framer.Envelope, error) {
	var chain planner.Chain
	if len(m.GetChain()) != len(chain) {
		return nil, classifier.BadRequest.New("chain of %d bytes", len(m.GetChain()))
	}
	chain = planner.Chain(m.GetChain())
	known, ok := s.holder.Entry(m.GetVersion())
	if m.GetOne() {
		if !ok || known.Chain != chain {
			return nil, classifier.NotFound.New("version %d isn't in the kept history", m.GetVersion())
		}
		return notes([]holder.Entry{known}), nil
	}
	p := s.holder.Plan()
	if m.GetVersion() >= p.Version() {
		return s.digest(), nil
	}
	if list, ok := s.holder.After(m.GetVersion(), chain, maxNotesBytes); ok && !m.GetFull() && m.GetSnapshot() == 0 {
		return notes(list), nil
	}
	if ok && known.Chain != chain && !m.GetFull() {
		return nil, classifier.Conflict.New("version %d has another history here", m.GetVersion())
	}
	part, err := s.splitter.Part(p, m.GetSnapshot(), m.GetOffset())
	if err != nil {
		return nil, err
	}
	return &framer.Envelope{Body: &framer.Envelope_Snapshot{Snapshot: part}}, nil
}

// HandleResponse processes the response to a request, or its failure, and returns
// the actions that follow.
func (s *Spreader) HandleResponse(now time.Time, a Action, reply *framer.Envelope, err error) []Action {
	v := s.views[a.To]
	if v == nil {
		// The neighbour was replaced meanwhile; its notes are verified anyway.
		v = &view{inFlight: 1}
	}
	v.inFlight--
	wasPull := a.Request.GetPull() != nil
	if wasPull {
		s.pulling = false
	}
	switch {
	case err != nil:
		if wasPull {
			s.pullFailed(now, v, err)
		}
	case reply.GetDigest() != nil:
		s.updateView(now, v, reply.GetDigest())
		if wasPull {
			break
		}
		s.endCollecting(now)
		// A neighbour that has the base of the notes and didn't install them
		// still collects or stages them for a higher version: don't resend.
		var actions []Action
		if m := a.Request.GetNotes(); m == nil || v.version+1 != m.GetVersion() {
			actions = s.push(a.To, v)
		}
		return append(actions, s.pullMissing(now)...)
	case wasPull:
		if err := s.applyPullResponse(reply); err != nil {
			s.pullFailed(now, v, err)
		}
	}
	return append(s.announce(now), s.pullMissing(now)...)
}

// pullFailed backs off from the neighbour, so that the next pull goes to another
// one, and moves the next read of the store forward.
func (s *Spreader) pullFailed(now time.Time, v *view, err error) {
	v.noPullUntil = now.Add(pullBackoff)
	s.nextPull = now.Add(s.random(digestInterval))
	if classifier.Of(err) == classifier.Conflict {
		// The store knows which of two histories was accepted. Without it, a
		// full snapshot of the higher version is pulled.
		s.full = s.pollFailures > 0
		s.staged, s.entries = nil, nil
	}
	s.pollSoon(now)
}

// push sends the notes that a neighbour lacks if the kept history has them.
func (s *Spreader) push(to string, v *view) []Action {
	if v.version >= s.holder.Plan().Version() {
		return nil
	}
	list, ok := s.holder.After(v.version, v.chain, maxNotesBytes)
	if !ok {
		return nil
	}
	return s.send(to, notes(list))
}

// applyPullResponse applies the response to a pull. A response without progress
// is an error, so that the pull isn't repeated at once.
func (s *Spreader) applyPullResponse(reply *framer.Envelope) error {
	before := s.base().Version()
	if m := reply.GetNotes(); m != nil {
		list, err := parse(m)
		if err != nil {
			return err
		}
		if err := s.apply(list); err != nil {
			return err
		}
		return s.checkProgress(before)
	}
	if reply.GetSnapshot() == nil {
		return classifier.Invalid.New("response to a pull without notes or a snapshot")
	}
	p, err := s.assembler.Add(reply.GetSnapshot())
	if err != nil || p == nil {
		return err
	}
	s.full = false
	if p.Version() > s.base().Version() {
		s.install(p, nil)
	}
	return s.checkProgress(before)
}

func (s *Spreader) checkProgress(before uint64) error {
	if s.base().Version() <= before {
		return classifier.Invalid.New("the response to a pull after version %d doesn't continue it", before)
	}
	return nil
}

// apply installs the part of the list that follows the newest version here. A
// list that starts later changes nothing.
func (s *Spreader) apply(list []holder.Entry) error {
	p := s.base()
	if list[0].Version > p.Version()+1 || list[len(list)-1].Version <= p.Version() {
		return nil
	}
	list = list[p.Version()+1-list[0].Version:]
	if list[0].Previous != p.Chain() {
		return classifier.Conflict.New("version %d has another history here", p.Version())
	}
	for _, e := range list {
		next, err := e.Apply(p)
		if err != nil {
			return err
		}
		p = next
	}
	s.install(p, list)
	return nil
}

// install puts the version in force, or stages it while a neighbour has a
// higher one.
func (s *Spreader) install(p *planner.Plan, list []holder.Entry) {
	if list == nil {
		s.entries = nil
	}
	s.entries = append(s.entries, list...)
	s.staged = p
	if s.holder.Install(p, s.entries...) == nil {
		s.staged, s.entries = nil, nil
	}
}
