// Package gossiper runs the membership protocol of package detector over the links
// of a host to other hosts: it joins the fleet, sends and serves probes, and
// piggybacks membership updates on every message.
package gossiper

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/detector"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	// stepPeriod is the time between two steps of the detector.
	stepPeriod = 100 * time.Millisecond
	// joinPeriod is how often seeds that are not live members are probed.
	joinPeriod = 2 * time.Second
	// isolatedJoinPeriod replaces joinPeriod while no other live member is known.
	isolatedJoinPeriod = 500 * time.Millisecond
	// maxJoinProbes bounds the seeds that are probed at once. Each probe carries all
	// members both ways, and a successful one brings all members that the other host
	// has.
	maxJoinProbes = 8
	// probeTimeout bounds a ping and its response.
	probeTimeout = 900 * time.Millisecond
	// maxUpdatesPerMessage bounds the updates about other members on a message.
	maxUpdatesPerMessage = 8
)

// Caller sends an envelope to the host that listens on a peer address and returns
// its response.
type Caller interface {
	Call(ctx context.Context, address string, e *framer.Envelope) (*framer.Envelope, error)
}

// Gossiper maintains the membership of one host. It is safe for concurrent use.
type Gossiper struct {
	caller Caller
	seeds  func() []string
	guard  func(place string, f func()) bool

	mu       sync.Mutex
	detector *detector.Detector
	onChange []func(*framer.Member)

	wg sync.WaitGroup
}

// New returns a Gossiper for the host that self describes. Seeds returns the peer
// addresses of possible hosts, from the settings and from the platform's list.
func New(self *framer.Member, caller Caller, seeds func() []string) *Gossiper {
	return &Gossiper{
		caller: caller, seeds: seeds, detector: detector.New(self, time.Now()),
		guard: func(_ string, f func()) bool { f(); return false },
	}
}

// UseGuard makes the Gossiper run probes through guard, which recovers panics. It
// must be called before Run.
func (g *Gossiper) UseGuard(guard func(place string, f func()) bool) { g.guard = guard }

// OnChange registers f to be called for each member whose state or readiness
// changed. It must be called before Run. f must not call the Gossiper.
func (g *Gossiper) OnChange(f func(*framer.Member)) { g.onChange = append(g.onChange, f) }

// Members returns all known members except the host itself, sorted by name.
func (g *Gossiper) Members() []*framer.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Members()
}

// Self returns the host's own member record.
func (g *Gossiper) Self() *framer.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Self()
}

// Neighbours returns the peer addresses of the host's neighbours.
func (g *Gossiper) Neighbours() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	var out []string
	for _, m := range g.detector.Neighbours() {
		out = append(out, m.Address)
	}
	return out
}

// SetVersion sets the configuration version that the host reports.
func (g *Gossiper) SetVersion(v uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.SetVersion(v)
}

// SetReady sets whether the host reports that it accepts new requests.
func (g *Gossiper) SetReady(ready bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.SetReady(ready)
}

// Leave marks the host as left and reports this to its neighbours. It returns when
// they have responded, or when their probes have timed out.
func (g *Gossiper) Leave(ctx context.Context) {
	g.mu.Lock()
	g.detector.Leave()
	neighbours := g.detector.Neighbours()
	g.mu.Unlock()
	// g.wg can't be used here: Run may add probes to it at the same time.
	var wg sync.WaitGroup
	for _, m := range neighbours {
		wg.Go(func() { g.ping(ctx, m.Address, false) })
	}
	wg.Wait()
}

// attach adds the sender and membership updates to an envelope.
func (g *Gossiper) attach(e *framer.Envelope, fullSync bool) *framer.Envelope {
	g.mu.Lock()
	defer g.mu.Unlock()
	self := g.detector.Self()
	e.From, e.Incarnation = self.Name, self.Incarnation
	if fullSync {
		e.Members = g.detector.FullState()
	} else {
		e.Members = g.detector.Updates(maxUpdatesPerMessage)
	}
	return e
}

// Call sends an envelope with membership updates, and merges those of the response.
func (g *Gossiper) Call(ctx context.Context, address string, e *framer.Envelope) (*framer.Envelope, error) {
	response, err := g.caller.Call(ctx, address, g.attach(e, e.GetPing().GetFull()))
	if err != nil {
		return nil, err
	}
	g.mergeAndNotify(response, e.GetPing().GetFull())
	return response, nil
}

// mergeAndNotify merges the updates of an envelope and reports the changes to the
// functions registered by OnChange, without holding the lock.
func (g *Gossiper) mergeAndNotify(e *framer.Envelope, fullSync bool) { g.notify(g.apply(e, fullSync)) }

// apply merges the updates of an envelope and returns the members that changed.
func (g *Gossiper) apply(e *framer.Envelope, fullSync bool) []*framer.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if fullSync {
		g.detector.MergeFullState(e.From, e.Members, time.Now())
	} else {
		g.detector.MergeUpdates(e.Members, time.Now())
	}
	return g.detector.TakeChanges()
}

func (g *Gossiper) notify(changes []*framer.Member) {
	for _, m := range changes {
		for _, f := range g.onChange {
			f(m)
		}
	}
}

// MergeUpdates merges the membership updates of an incoming envelope. It must be
// called for every incoming envelope.
func (g *Gossiper) MergeUpdates(e *framer.Envelope) { g.mergeAndNotify(e, e.GetPing().GetFull()) }

// AttachUpdates adds the sender and membership updates to the response to an
// incoming envelope.
func (g *Gossiper) AttachUpdates(request, response *framer.Envelope) *framer.Envelope {
	return g.attach(response, request.GetPing().GetFull())
}

// Handle returns the response to a Ping or a PingRequest. If the target of a
// PingRequest does not respond, the error is of kind Unreachable.
func (g *Gossiper) Handle(ctx context.Context, e *framer.Envelope) (*framer.Envelope, error) {
	if r := e.GetPingRequest(); r != nil {
		if !g.ping(ctx, r.Address, false) {
			return nil, classifier.Unreachable.New("host %s did not respond to an indirect probe", r.Address)
		}
	}
	return &framer.Envelope{Body: &framer.Envelope_Ack{Ack: &framer.Ack{}}}, nil
}

// ping reports whether the host at a peer address responds within probeTimeout.
func (g *Gossiper) ping(ctx context.Context, address string, fullSync bool) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := g.Call(ctx, address, &framer.Envelope{Body: &framer.Envelope_Ping{Ping: &framer.Ping{Full: fullSync}}})
	return err == nil
}

// Run maintains the membership until ctx ends, and returns when all probes have
// ended.
func (g *Gossiper) Run(ctx context.Context) {
	ticker := time.NewTicker(stepPeriod)
	defer ticker.Stop()
	defer g.wg.Wait()
	var joinAt time.Time
	for {
		now := time.Now()
		if !now.Before(joinAt) {
			joinAt = now.Add(g.join(ctx))
		}
		g.probeDue(ctx, now)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// join starts full state syncs with some of the seeds that are not live members,
// chosen at random. It returns the time until the next attempt.
func (g *Gossiper) join(ctx context.Context) time.Duration {
	excluded, delay := make(map[string]bool), isolatedJoinPeriod
	excluded[g.Self().Address] = true
	for _, m := range g.Members() {
		if detector.State(m.State) <= detector.Suspect {
			excluded[m.Address], delay = true, joinPeriod
		}
	}
	var candidates []string
	for _, address := range g.seeds() {
		if !excluded[address] {
			excluded[address] = true
			candidates = append(candidates, address)
		}
	}
	rand.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })
	for _, address := range candidates[:min(len(candidates), maxJoinProbes)] {
		g.wg.Go(func() { _ = g.guard("join", func() { g.ping(ctx, address, true) }) })
	}
	return delay
}

// probeDue starts the probes that are due.
func (g *Gossiper) probeDue(ctx context.Context, now time.Time) {
	probes, changes := g.advance(now)
	g.notify(changes)
	for _, p := range probes {
		g.wg.Go(func() { _ = g.guard("probe", func() { g.probe(ctx, p) }) })
	}
}

// advance advances the detector to now, and returns the probes to send and the
// members that changed.
func (g *Gossiper) advance(now time.Time) ([]detector.Probe, []*framer.Member) {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Step(now), g.detector.TakeChanges()
}

func (g *Gossiper) probe(ctx context.Context, p detector.Probe) {
	ok := false
	if p.Via() == "" {
		ok = g.ping(ctx, p.Address(), p.FullSync())
	} else {
		ctx, cancel := context.WithTimeout(ctx, 2*probeTimeout)
		defer cancel()
		_, err := g.Call(ctx, p.Via(), &framer.Envelope{Body: &framer.Envelope_PingRequest{PingRequest: &framer.PingRequest{Address: p.Address()}}})
		ok = err == nil
	}
	if ok {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.detector.RecordAck(p.Target(), time.Now())
	}
}
