package runner

import (
	"context"
	"slices"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/process/allotter"
	"dandeliontrack.example/dandeliontrack/internal/process/detector"
	"dandeliontrack.example/dandeliontrack/internal/process/drainer"
	"dandeliontrack.example/dandeliontrack/internal/process/gauger"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/request/finder"
	"dandeliontrack.example/dandeliontrack/internal/sleeper"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	// listPeriod is how often the platform's list of hosts is read.
	listPeriod  = 10 * time.Second
	listTimeout = 5 * time.Second
	tellTimeout = time.Second
	// listWait is how long a start waits for the list of hosts.
	listWait = 2 * time.Second
	// startTime is how long hosts on the list may take to start.
	startTime = 30 * time.Second
	// meshSize is the largest fleet in which a host talks to all others.
	meshSize = 16
)

const stateLeaving = "leaving"

// handle answers an envelope of another host.
func (p *parts) handle(ctx context.Context, e *framer.Envelope) (*framer.Envelope, error) {
	p.gossiper.MergeUpdates(e)
	answer, err := p.answer(ctx, e)
	if err != nil {
		return nil, err
	}
	return p.gossiper.AttachUpdates(e, answer), nil
}

func (p *parts) answer(ctx context.Context, e *framer.Envelope) (*framer.Envelope, error) {
	switch b := e.Body.(type) {
	case *framer.Envelope_Ping, *framer.Envelope_PingRequest:
		return p.gossiper.Handle(ctx, e)
	case *framer.Envelope_Digest, *framer.Envelope_Pull, *framer.Envelope_Notes:
		return p.spreader.Handle(ctx, e)
	case *framer.Envelope_Borrow, *framer.Envelope_Return, *framer.Envelope_Ledger:
		return p.granter.Handle(e)
	case *framer.Envelope_Shifts:
		return p.weigher.Handle(e, time.Now())
	case *framer.Envelope_Leaving:
		sign := gauger.PeerSign
		if b.Leaving.Reason == gauger.RefusalSign.String() {
			sign = gauger.RefusalSign
		}
		for _, name := range b.Leaving.Upstreams {
			p.leaving(name, sign)
		}
		return &framer.Envelope{Body: &framer.Envelope_Ack{Ack: new(framer.Ack)}}, nil
	default:
		return nil, classifier.BadRequest.New("message of an unknown kind")
	}
}

// leaving takes an upstream out of new work, and tells the peers on the first
// sign.
func (p *parts) leaving(upstream string, sign gauger.Sign) {
	if p.gauger.OnLeaving(upstream, sign, time.Now()) {
		p.log.Event(logger.UpstreamLeaving).Str("upstream", upstream).Stringer("sign", sign).Send()
		p.tellLeaving(upstream, sign)
	}
}

// tellLeaving tells the peers at once. Each of them passes the first sign on,
// so that it reaches a fleet of any size in a few hops.
func (p *parts) tellLeaving(upstream string, sign gauger.Sign) {
	for _, address := range p.peers() {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), tellTimeout)
			defer cancel()
			e := &framer.Envelope{Body: &framer.Envelope_Leaving{Leaving: &framer.Leaving{Upstreams: []string{upstream}, Reason: sign.String()}}}
			// A peer that misses the message sees the health endpoint itself.
			_, _ = p.gossiper.Call(ctx, address, e)
		}()
	}
}

// peers returns the peer addresses of the live members, or only those of the
// neighbours in a large fleet.
func (p *parts) peers() []string {
	var out []string
	for _, m := range p.gossiper.Members() {
		if detector.State(m.State) == detector.Alive {
			out = append(out, m.Address)
		}
	}
	if len(out) > meshSize {
		return p.gossiper.Neighbours()
	}
	return out
}

// expected returns how many hosts share the limits: the live members and, while
// the fleet may be starting, those on the platform's list. Before the list is
// known the host takes as little as it can, so that hosts that start together
// need not pass shares on.
func (p *parts) expected() int {
	hosts := map[string]bool{p.settings.Peer.Listen: true}
	for _, m := range p.gossiper.Members() {
		if detector.State(m.State) == detector.Alive {
			hosts[m.Address] = true
		}
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	age := time.Since(p.began)
	if !p.read && age < listWait {
		return allotter.S
	}
	if age < startTime {
		for _, e := range p.listed {
			hosts[e.Address] = hosts[e.Address] || e.State != stateLeaving
		}
	}
	n := 0
	for _, live := range hosts {
		if live {
			n++
		}
	}
	return min(n, allotter.S)
}

func (p *parts) memberNames() []string {
	names := []string{p.settings.Name}
	for _, m := range p.gossiper.Members() {
		if detector.State(m.State) == detector.Alive {
			names = append(names, m.Name)
		}
	}
	return names
}

// seeds returns the addresses that may be hosts.
func (p *parts) seeds() []string {
	p.mu.Lock()
	defer p.mu.Unlock()
	out := slices.Clone(p.settings.Seeds)
	for _, e := range p.listed {
		if e.State != stateLeaving {
			out = append(out, e.Address)
		}
	}
	return out
}

// changed follows the membership.
func (p *parts) changed(m *framer.Member) {
	p.log.Event(logger.MemberChanged).Str("member", m.Name).Stringer("state", detector.State(m.State)).
		Bool("ready", m.Ready).Str("accuser", m.Accuser).Str("reason", m.Reason).Send()
	if detector.State(m.State) >= detector.Left {
		p.shifter.Forget(m.Name)
	}
	p.scheduleRefresh()
}

// scheduleRefresh makes refreshHosts run soon. It can be called with locks held.
func (p *parts) scheduleRefresh() {
	select {
	case p.dirty <- struct{}{}:
	default:
	}
}

// refresh runs refreshHosts when it is due.
func (p *parts) refresh(ctx context.Context) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-p.dirty:
			p.refreshHosts()
		}
	}
}

// refreshHosts rebuilds what look-ups answer and who the neighbours are.
func (p *parts) refreshHosts() {
	members := p.gossiper.Members()
	p.spreader.SetPeers(p.gossiper.Neighbours(), len(members)+1)
	if p.drainer.State() == drainer.Ready {
		self := p.gossiper.Self()
		self.Ready = true
		members = append(members, self)
	}
	plan := p.holder.Plan()
	now := time.Now()
	p.mu.Lock()
	defer p.mu.Unlock()
	var hosts []finder.Host
	for _, m := range members {
		if detector.State(m.State) != detector.Alive || !m.Ready {
			// A host that comes back takes load along the ramp again.
			delete(p.seen, m.Name)
			continue
		}
		if plan.Drained(planner.DrainHost, m.Name) || p.listedLeaving(m.Address) {
			continue
		}
		since, ok := p.seen[m.Name]
		if !ok {
			since = now
			p.seen[m.Name] = since
		}
		hosts = append(hosts, finder.Host{Name: m.Name, Address: m.Caller, Region: m.Region, Zone: m.Zone, ReadySince: since})
	}
	p.finder.Install(hosts)
}

func (p *parts) listedLeaving(address string) bool {
	return slices.ContainsFunc(p.listed, func(e adapter.HostEntry) bool { return e.Address == address && e.State == stateLeaving })
}

// watchHosts reads the platform's list, which may name hosts of ours and of
// upstreams.
func (p *parts) watchHosts(ctx context.Context) {
	for ctx.Err() == nil {
		p.readHosts(ctx)
		sleeper.Sleep(ctx, listPeriod)
	}
}

func (p *parts) readHosts(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, listTimeout)
	defer cancel()
	entries, err := p.store.Hosts(ctx)
	p.storeUp.Store(err == nil)
	if err != nil {
		return
	}
	p.mu.Lock()
	p.listed, p.read = entries, true
	p.mu.Unlock()
	plan := p.holder.Plan()
	for _, e := range entries {
		if e.State == stateLeaving && plan.Upstream(e.Name) != nil {
			p.leaving(e.Name, gauger.ListSign)
		}
	}
	p.scheduleRefresh()
}
