// Package gossiper runs the detector of a host over its links to other hosts:
// it joins the fleet, sends probes, answers those of others and adds membership
// updates to every message.
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
	stepPeriod = 100 * time.Millisecond
	// joinPeriod is how often addresses that are not members are tried.
	joinPeriod = 2 * time.Second
	// alonePeriod takes its place while no other host is known.
	alonePeriod = 500 * time.Millisecond
	// joinMost is how many of them are tried at once. Each try carries all members
	// both ways, and one that succeeds brings all that the other host knows.
	joinMost     = 8
	probeTimeout = 900 * time.Millisecond
	// updates is how many updates ride on a message.
	updates = 8
)

// Caller exchanges an envelope with the host that listens on an address.
type Caller interface {
	Call(ctx context.Context, address string, e *framer.Envelope) (*framer.Envelope, error)
}

// Gossiper is the membership of one host. It is safe for concurrent use.
type Gossiper struct {
	caller Caller
	seeds  func() []string
	guard  func(place string, f func()) bool

	mu       sync.Mutex
	detector *detector.Detector
	onChange []func(*framer.Member)

	wg sync.WaitGroup
}

// New returns the membership of the host that self describes. Seeds returns
// peer addresses that may be hosts: from the settings and the platform's list.
func New(self *framer.Member, caller Caller, seeds func() []string) *Gossiper {
	return &Gossiper{
		caller: caller, seeds: seeds, detector: detector.New(self, time.Now()),
		guard: func(_ string, f func()) bool { f(); return false },
	}
}

// UseGuard makes the Gossiper run probes with g, which recovers panics. It must be
// called before Run.
func (g *Gossiper) UseGuard(guard func(place string, f func()) bool) { g.guard = guard }

// OnChange registers f for members whose state or readiness changed. It must
// be called before Run. f must not call the Gossiper.
func (g *Gossiper) OnChange(f func(*framer.Member)) { g.onChange = append(g.onChange, f) }

// Members returns all known members but the host itself, by name.
func (g *Gossiper) Members() []*framer.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.detector.Members()
}

// Self returns what the host says of itself.
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

// SetVersion changes the configuration version that the host reports.
func (g *Gossiper) SetVersion(v uint64) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.SetVersion(v)
}

// SetReady changes whether the host reports that it takes new work.
func (g *Gossiper) SetReady(ready bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.detector.SetReady(ready)
}

// Leave reports that the host stops on purpose, to its neighbours at once.
func (g *Gossiper) Leave(ctx context.Context) {
	g.mu.Lock()
	g.detector.Leave()
	neighbours := g.detector.Neighbours()
	g.mu.Unlock()
	// Run may start probes of its own meanwhile.
	var wg sync.WaitGroup
	for _, m := range neighbours {
		wg.Go(func() { g.ping(ctx, m.Address, false) })
	}
	wg.Wait()
}

// stamp completes an envelope with the sender and membership updates.
func (g *Gossiper) stamp(e *framer.Envelope, full bool) *framer.Envelope {
	g.mu.Lock()
	defer g.mu.Unlock()
	self := g.detector.Self()
	e.From, e.Incarnation = self.Name, self.Incarnation
	if full {
		e.Members = g.detector.FullState()
	} else {
		e.Members = g.detector.Updates(updates)
	}
	return e
}

// Call exchanges an envelope, with membership updates both ways.
func (g *Gossiper) Call(ctx context.Context, address string, e *framer.Envelope) (*framer.Envelope, error) {
	answer, err := g.caller.Call(ctx, address, g.stamp(e, e.GetPing().GetFull()))
	if err != nil {
		return nil, err
	}
	g.merge(answer, e.GetPing().GetFull())
	return answer, nil
}

func (g *Gossiper) merge(e *framer.Envelope, full bool) { g.tell(g.learn(e, full)) }

// learn takes over updates and returns the members that changed.
func (g *Gossiper) learn(e *framer.Envelope, full bool) []*framer.Member {
	g.mu.Lock()
	defer g.mu.Unlock()
	if full {
		g.detector.MergeFullState(e.From, e.Members, time.Now())
	} else {
		g.detector.MergeUpdates(e.Members, time.Now())
	}
	return g.detector.TakeChanges()
}

func (g *Gossiper) tell(news []*framer.Member) {
	for _, m := range news {
		for _, f := range g.onChange {
			f(m)
		}
	}
}

// MergeUpdates takes the membership updates of an incoming envelope. Every incoming
// envelope passes through it.
func (g *Gossiper) MergeUpdates(e *framer.Envelope) { g.merge(e, e.GetPing().GetFull()) }

// AttachUpdates completes the answer to an incoming envelope.
func (g *Gossiper) AttachUpdates(request, answer *framer.Envelope) *framer.Envelope {
	return g.stamp(answer, request.GetPing().GetFull())
}

// Handle answers a Ping or a PingRequest.
func (g *Gossiper) Handle(ctx context.Context, e *framer.Envelope) (*framer.Envelope, error) {
	if r := e.GetPingRequest(); r != nil {
		if !g.ping(ctx, r.Address, false) {
			return nil, classifier.Unreachable.New("%s does not answer", r.Address)
		}
	}
	return &framer.Envelope{Body: &framer.Envelope_Ack{Ack: &framer.Ack{}}}, nil
}

func (g *Gossiper) ping(ctx context.Context, address string, full bool) bool {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	_, err := g.Call(ctx, address, &framer.Envelope{Body: &framer.Envelope_Ping{Ping: &framer.Ping{Full: full}}})
	return err == nil
}

// Run keeps the membership until ctx ends.
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
		g.step(ctx, now)
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
	}
}

// join tries some of the seeds that are not live members, and returns when to try
// again.
func (g *Gossiper) join(ctx context.Context) time.Duration {
	known, again := make(map[string]bool), alonePeriod
	known[g.Self().Address] = true
	for _, m := range g.Members() {
		if detector.State(m.State) <= detector.Suspect {
			known[m.Address], again = true, joinPeriod
		}
	}
	var unknown []string
	for _, address := range g.seeds() {
		if !known[address] {
			known[address] = true
			unknown = append(unknown, address)
		}
	}
	rand.Shuffle(len(unknown), func(i, j int) { unknown[i], unknown[j] = unknown[j], unknown[i] })
	for _, address := range unknown[:min(len(unknown), joinMost)] {
		g.wg.Go(func() { _ = g.guard("join", func() { g.ping(ctx, address, true) }) })
	}
	return again
}

func (g *Gossiper) step(ctx context.Context, now time.Time) {
	probes, news := g.advance(now)
	g.tell(news)
	for _, p := range probes {
		g.wg.Go(func() { _ = g.guard("probe", func() { g.probe(ctx, p) }) })
	}
}

// advance brings the detector forward and returns what to probe and what changed.
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
