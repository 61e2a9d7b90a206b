package conductor

import (
	"context"
	"math/rand/v2"
	"net"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/apportioner"
	"dandeliontrack.example/dandeliontrack/internal/process/detector"
	"dandeliontrack.example/dandeliontrack/internal/process/logger"
	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/sleeper"
	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
)

// selfMember returns the membership entry of this host. Its incarnation is the start
// time, so that a restarted host supersedes its earlier entry.
func (c *Conductor) selfMember(now time.Time) *framer.Member {
	s := c.settings
	return &framer.Member{
		Name: s.Name, Address: s.PeerAddress, Caller: s.CallerAddress, Region: s.Region, Zone: s.Zone,
		Incarnation: uint64(now.UnixMilli()), Power: uint32(s.CPUShare * powerUnitsPerCPU),
	}
}

func (c *Conductor) seedAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.seeds)
}

// announce records the host in the store and adds the recorded hosts to the seeds, so
// that the host can join even if no configured seed responds.
func (c *Conductor) announce(ctx context.Context) {
	self, announced := Host{Name: c.settings.Name, Peer: c.settings.PeerAddress}, false
	for ctx.Err() == nil {
		callCtx, cancel := context.WithTimeout(ctx, announceTimeout)
		hosts, err := c.platform.Hosts(callCtx)
		if err != nil {
			c.log.Event(logger.StoreFailed).Str("call", "hosts").Err(err).Send()
		} else {
			c.addSeeds(hosts)
			// A row that an earlier process of this host wrote need not be written again. One
			// that is missing was lost by a store that came back from an older copy.
			announced = slices.Contains(hosts, self)
		}
		if !announced {
			failure := c.platform.Announce(callCtx, self)
			if announced = failure == nil; !announced {
				c.log.Event(logger.StoreFailed).Str("call", "announce").Err(failure).Send()
			}
		}
		cancel()
		delay := hostsReadInterval(len(c.liveMembers()), announced && err == nil)
		sleeper.Sleep(ctx, delay/2+rand.N(delay))
	}
}

// hostsReadInterval returns the mean interval at which a host with the given number of
// live peers reads the recorded hosts. Peers learn of new hosts by the membership, so the
// interval grows with the fleet and all hosts together make about as many calls as two.
// Until the host is recorded and a read succeeded, the interval is announceInterval.
func hostsReadInterval(live int, recorded bool) time.Duration {
	if !recorded {
		return announceInterval
	}
	return announceInterval * time.Duration(max(1, (live+1)/2))
}

func (c *Conductor) addSeeds(hosts []Host) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seeds = slices.Clone(c.settings.Seeds)
	var names []string
	for _, h := range hosts {
		names = append(names, h.Name)
		if h.Peer != c.settings.PeerAddress && !slices.Contains(c.seeds, h.Peer) {
			c.seeds = append(c.seeds, h.Peer)
		}
	}
	c.throttler.SetRecorded(names)
}

// memberChanged is called for each change of the membership.
func (c *Conductor) memberChanged(m *framer.Member) {
	c.membershipChanges.Add(1)
	c.log.Event(logger.MemberChanged).Str("member", m.Name).Stringer("state", detector.State(m.State)).
		Bool("ready", m.Ready).Str("accuser", m.Accuser).Str("reason", m.Reason).Send()
}

// view is an immutable summary of the membership for request handling. It is cached until
// the membership changes: copying a large membership for each request would use most of
// the processor of a weak host.
type view struct {
	changes int64            // membershipChanges when the view was made
	live    []*framer.Member // members that are alive
	known   int              // members that share the limits that hold over all hosts
}

// currentView returns the cached view, rebuilt if the membership changed. It must not be
// modified.
func (c *Conductor) currentView() *view {
	changes := c.membershipChanges.Load()
	if v := c.view.Load(); v != nil && v.changes == changes {
		return v
	}
	v := &view{changes: changes}
	for _, m := range c.gossiper.Members() {
		switch detector.State(m.State) {
		case detector.Alive:
			v.live = append(v.live, m)
			v.known++
		case detector.Left:
		default:
			v.known++ // suspect and dead hosts may still send requests
		}
	}
	c.view.Store(v)
	return v
}

// liveMembers returns the other hosts that are alive. The slice must not be modified.
func (c *Conductor) liveMembers() []*framer.Member { return c.currentView().live }

// fleetSize returns the number of hosts that share the limits that hold over all hosts.
// Unresponsive hosts count too, because they may still send requests.
func (c *Conductor) fleetSize() int {
	return c.throttler.FleetSize(c.currentView().known+1, time.Now())
}

// lookupHosts returns the addresses of the ready hosts in the region of a caller, or in
// its zone if no region is given. Without any, it returns ready hosts of all regions. The
// order is random.
func (c *Conductor) lookupHosts(zone, region string) []string {
	var local, all []*framer.Member
	for _, m := range c.liveMembers() {
		if m.Ready {
			all = append(all, m)
		}
	}
	if c.ready() {
		all = append(all, c.gossiper.Self())
	}
	for _, m := range all {
		if m.Region == region || (region == "" && m.Zone == zone) {
			local = append(local, m)
		}
	}
	if len(local) == 0 {
		local = all
	}
	out := make([]string, 0, len(local))
	for _, m := range strongestHosts(local) {
		out = append(out, m.Caller)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// strongestHosts sorts the members by descending power and leaves out those with less than
// 1/maxPowerRatio of the highest, as long as minLookupHosts remain. Callers choose at
// random among the returned hosts, so weak and strong ones get the same load. Fewer hosts
// also need fewer connections to upstreams.
func strongestHosts(members []*framer.Member) []*framer.Member {
	slices.SortFunc(members, func(a, b *framer.Member) int {
		if outranks(a, b) {
			return -1
		}
		return 1
	})
	n := len(members)
	for n > minLookupHosts && members[n-1].Power*maxPowerRatio < members[0].Power {
		n--
	}
	return members[:n]
}

// coldRate returns how many requests per second this host may send to a cold upstream
// with a capacity of perSecond requests per second.
func (c *Conductor) coldRate(u *registrar.Upstream, perSecond float64) float64 {
	return c.throttler.Rate(u.ID(), perSecond, time.Now())
}

// rateShare returns the part of the rate limit of an upstream that this host may use.
func (c *Conductor) rateShare(u *registrar.Upstream) registrar.RateShare {
	v := c.currentView()
	flow := 0.0
	if shares := c.flowShares.Load(); shares != nil {
		byRegion, region := (*shares)[u.Service()], slices.Index(c.regions, u.Region())
		if byRegion != nil && region >= 0 {
			flow = byRegion[region]
		}
	}
	return c.throttler.RateShare(u.ID(), flow, len(v.live)+1, v.known+1, time.Now())
}

// updateFlowShares updates the part of the requests to each service and region that comes
// from this host.
func (c *Conductor) updateFlowShares() {
	shares := make(map[string][]float64)
	now, own := time.Now(), slices.Index(c.regions, c.settings.Region)
	for _, service := range c.registrar.Services() {
		demand := c.surveyor.BusySlots(service, c.regions, c.readsStore.Load())
		slots := c.usableSlots(now, service)
		weights := make([][]float64, len(c.regions))
		for from := range weights {
			weights[from] = c.targetWeights(from, service, demand, slots)
		}
		shares[service] = apportioner.FlowShares(own, c.surveyor.OwnBusySlots(service), demand, weights)
	}
	c.flowShares.Store(&shares)
}

// isReader reports whether this host reads the store for its region.
func (c *Conductor) isReader() bool { return c.readsStore.Load() }

// electReaders determines the host in each region that reads the store. With different
// views of the membership two hosts may be readers at once, which only costs extra calls
// to the store.
func (c *Conductor) electReaders(live []*framer.Member) {
	best := make(map[string]*framer.Member)
	for _, m := range append(slices.Clone(live), c.gossiper.Self()) {
		if old := best[m.Region]; old == nil || outranks(m, old) {
			best[m.Region] = m
		}
	}
	var readers []string
	for region, m := range best {
		switch {
		case m.Name == c.settings.Name:
		case region == c.settings.Region:
			readers = slices.Insert(readers, 0, m.Address)
		default:
			readers = append(readers, m.Address)
		}
	}
	c.readerAddresses.Store(&readers)
	// A host that has just started has no live peers yet. It reads the tables once at its
	// start and again when they become stale. It does not become a reader at once, or 300
	// hosts that start together would all follow the store.
	joined := len(live) > 0 || time.Since(c.started) >= minSoloReaderDelay
	c.readsStore.Store(joined && best[c.settings.Region].Name == c.settings.Name)
}

// outranks orders the candidates for a role in the same way on every host.
func outranks(a, b *framer.Member) bool {
	if a.Power != b.Power {
		return a.Power > b.Power
	}
	return xxhash.Sum64String(a.Name) > xxhash.Sum64String(b.Name)
}

// tickLoop periodically updates the demand, the readers and the traffic plans.
func (c *Conductor) tickLoop(ctx context.Context) {
	viewed := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		c.surveyor.Tick(now, func(service string) time.Duration {
			_, warm := c.ranker.ServiceTimes(service)
			return warm
		})
		if now.Sub(viewed) > maxViewAge {
			c.membershipChanges.Add(1) // the removal of a member is not reported as a change
			viewed = now
		}
		var names []string
		live := c.liveMembers()
		for _, m := range live {
			names = append(names, m.Name)
		}
		c.electReaders(live)
		c.recordDialTimes(live)
		c.throttler.SetLive(names)
		c.limiter.SetFleet(len(live)+1, c.fleetSize(), now)
		c.logQuotas(now)
		for _, service := range c.registrar.Services() {
			c.movePlans(now, service)
		}
		c.updateFlowShares()
		for _, u := range c.registrar.ExpireRateLimits(now) {
			c.log.Event(logger.RateLimitChanged).Str("upstream", u.ID()).Str("service", u.Service()).Bool("limited", false).Send()
		}
		c.ready()
		sleeper.Sleep(ctx, tickInterval)
	}
}

// movePlans moves the traffic plans of a service toward the weights that its current
// demand calls for.
func (c *Conductor) movePlans(now time.Time, service string) {
	slots := c.usableSlots(now, service)
	demand := c.surveyor.BusySlots(service, c.regions, c.readsStore.Load())
	c.plan.MoveToward(now, localPlanPrefix+service, c.plan.LocalFirstWeights(demand, slots), slots)
	own := slices.Index(c.regions, c.settings.Region)
	c.plan.MoveToward(now, spreadPlanPrefix+service, c.targetWeights(own, service, demand, slots), slots)
}

// targetWeights returns the weights toward which the spread plan of the hosts of a region
// moves.
func (c *Conductor) targetWeights(region int, service string, demand, slots []float64) []float64 {
	if c.spreadsObjects(service) {
		return apportioner.ProportionalWeights(slots)
	}
	return apportioner.LocalFirstWeights(region, demand, slots)
}

// usableSlots returns the number of slots of a service in each region that requests can keep
// busy.
func (c *Conductor) usableSlots(now time.Time, service string) []float64 {
	group := c.registrar.Group(service)
	_, warm := c.ranker.ServiceTimes(service) // as for the demand
	slots := make([]float64, len(c.regions))
	for i, region := range c.regions {
		slots[i] = group.UsableSlots(region, warm, now)
	}
	return slots
}

// spreadsObjects reports whether the RTT to all regions is so short that each object of a
// service is better warmed up on one upstream than on one in each region. It is false
// until the RTT to every region was measured.
func (c *Conductor) spreadsObjects(service string) bool {
	t := c.table.Load()
	if t == nil {
		return false
	}
	maxRTT := time.Duration(0)
	for _, region := range c.regions {
		rtt, measured := c.ranker.RTT(region)
		if !measured {
			return false
		}
		maxRTT = max(maxRTT, rtt)
	}
	return float64(maxRTT) <= maxSpreadRTTFraction*float64(t.LatencyTarget(service))
}

// dialPeer opens a connection to another host and records how long it took. That is about
// one RTT, so the RTT to the region of the host is known before the first request.
func (c *Conductor) dialPeer(ctx context.Context, network, address string) (net.Conn, error) {
	begun := time.Now()
	conn, err := newDialer(peerAckTimeout, 0).DialContext(ctx, network, address)
	if err == nil {
		c.dialTimes.Store(address, time.Since(begun))
	}
	return conn, err
}

// recordDialTimes passes the recorded dial times to the ranker as RTTs of the regions. It
// cannot be done in dialPeer, because the region of a seed is unknown until it responds.
func (c *Conductor) recordDialTimes(live []*framer.Member) {
	for _, m := range live {
		if took, ok := c.dialTimes.LoadAndDelete(m.Address); ok {
			c.ranker.ObserveRTT(m.Region, took.(time.Duration))
		}
	}
}

// CountRequest implements steerer.Planner.
func (c *Conductor) CountRequest(service string) {
	c.surveyor.CountRequest(service)
	c.plan.CountRequest(time.Now())
}

// AllowCrossRegion implements steerer.Planner.
func (c *Conductor) AllowCrossRegion(failing bool) bool {
	return c.plan.AllowCrossRegion(time.Now(), failing)
}

// RegionWeights implements steerer.Planner. Downloads and uploads use the local plan even if
// objects are spread over all regions, because their bytes would cross the links between regions.
func (c *Conductor) RegionWeights(service string, class matcher.Class) []float64 {
	name := spreadPlanPrefix + service
	if class.Large() {
		name = localPlanPrefix + service
	}
	if w := c.plan.Current(name); w != nil {
		return w
	}
	c.movePlans(time.Now(), service)
	return c.plan.Current(name)
}

// upstreamLeaving closes the idle connections to an upstream that gets no new requests.
func (c *Conductor) upstreamLeaving(u *registrar.Upstream, reason string) {
	c.log.Event(logger.UpstreamLeaving).Str("upstream", u.ID()).Str("service", u.Service()).Str("sign", reason).Send()
	c.sender.Remove(u.Address())
}
