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

// self describes the host to the others. A later start has a higher incarnation.
func (c *Conductor) self(now time.Time) *framer.Member {
	s := c.settings
	return &framer.Member{
		Name: s.Name, Address: s.PeerAddress, Caller: s.CallerAddress, Region: s.Region, Zone: s.Zone,
		Incarnation: uint64(now.UnixMilli()), Power: uint32(s.CPUShare * milli),
	}
}

func (c *Conductor) seedAddresses() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return slices.Clone(c.seeds)
}

// announce records the host in the store and learns of the others, in case that
// none of the seeds answers.
func (c *Conductor) announce(ctx context.Context) {
	self, announced := Host{Name: c.settings.Name, Peer: c.settings.PeerAddress}, false
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, announceWithin)
		hosts, err := c.platform.Hosts(call)
		if err != nil {
			c.log.Event(logger.StoreFailed).Str("call", "hosts").Err(err).Send()
		} else {
			c.addSeeds(hosts)
			// The row of an earlier process of this host is as good as a new one.
			announced = announced || slices.Contains(hosts, self)
		}
		if !announced {
			failure := c.platform.Announce(call, self)
			if announced = failure == nil; !announced {
				c.log.Event(logger.StoreFailed).Str("call", "announce").Err(failure).Send()
			}
		}
		cancel()
		pause := announcePause(len(c.live()), announced && err == nil)
		sleeper.Sleep(ctx, pause/2+rand.N(pause))
	}
}

// announcePause returns the mean time until a host that hears live others reads the
// recorded hosts again. Those that hear each other learn of new hosts by the
// membership, so the whole fleet makes about as many calls as two hosts would.
func announcePause(live int, done bool) time.Duration {
	if !done {
		return announcePeriod
	}
	return announcePeriod * time.Duration(max(1, (live+1)/2))
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

// changed follows the membership.
func (c *Conductor) changed(m *framer.Member) {
	c.changes.Add(1)
	c.log.Event(logger.MemberChanged).Str("member", m.Name).Stringer("state", detector.State(m.State)).
		Bool("ready", m.Ready).Str("accuser", m.Accuser).Str("reason", m.Reason).Send()
}

// view is what requests need of the membership. It is kept between changes, since
// copying a large membership for each request would take most of a weak host.
type view struct {
	changes int64            // of the membership, before the view was made
	live    []*framer.Member // that answer
	known   int              // that share what is summed over all hosts
}

// members returns the view of the membership, which must not be changed.
func (c *Conductor) members() *view {
	changes := c.changes.Load()
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
			v.known++ // it may still send
		}
	}
	c.view.Store(v)
	return v
}

// live returns the members that answer. The list must not be changed.
func (c *Conductor) live() []*framer.Member { return c.members().live }

// fleet returns how many hosts share what is summed over all of them. Hosts that
// do not answer count too, because they may still send.
func (c *Conductor) fleet() int { return c.throttler.FleetSize(c.members().known+1, time.Now()) }

// find returns the addresses that a caller may use: the hosts of its zone and
// region that take work, or all of them.
func (c *Conductor) find(zone, region string) []string {
	var near, all []*framer.Member
	for _, m := range c.live() {
		if m.Ready {
			all = append(all, m)
		}
	}
	if c.ready() {
		all = append(all, c.gossiper.Self())
	}
	for _, m := range all {
		if m.Region == region || (region == "" && m.Zone == zone) {
			near = append(near, m)
		}
	}
	if len(near) == 0 {
		near = all
	}
	out := make([]string, 0, len(near))
	for _, m := range strongest(near) {
		out = append(out, m.Caller)
	}
	rand.Shuffle(len(out), func(i, j int) { out[i], out[j] = out[j], out[i] })
	return out
}

// strongest leaves out the hosts that are much weaker than the strongest ones, as
// long as enough remain. Callers choose at random among the hosts named, so each
// one gets the same part of them. Fewer hosts also need fewer connections to
// upstreams.
func strongest(members []*framer.Member) []*framer.Member {
	slices.SortFunc(members, func(a, b *framer.Member) int {
		if stronger(a, b) {
			return -1
		}
		return 1
	})
	n := len(members)
	for n > namedLeast && members[n-1].Power*weakness < members[0].Power {
		n--
	}
	return members[:n]
}

// coldRate returns how many requests per second this host may send to a cold
// upstream.
func (c *Conductor) coldRate(u *registrar.Upstream, perSecond float64) float64 {
	return c.throttler.Rate(u.ID(), perSecond, time.Now())
}

// reads reports whether this host reads the store for the others of its region.
func (c *Conductor) reads() bool { return c.reader.Load() }

// elect finds the hosts that read the store, one in each region. Two hosts may
// both believe that they do; that costs calls and nothing else.
func (c *Conductor) elect(live []*framer.Member) {
	best := make(map[string]*framer.Member)
	for _, m := range append(slices.Clone(live), c.gossiper.Self()) {
		if old := best[m.Region]; old == nil || stronger(m, old) {
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
	c.readers.Store(&readers)
	// A host that has just started knows no other yet. It read the tables at its start
	// and reads again when they get old, so that 300 hosts that start together do not
	// all follow the store.
	settled := len(live) > 0 || time.Since(c.born) >= aloneTime
	c.reader.Store(settled && best[c.settings.Region].Name == c.settings.Name)
}

// stronger orders hosts that could do a duty, the same way on every host.
func stronger(a, b *framer.Member) bool {
	if a.Power != b.Power {
		return a.Power > b.Power
	}
	return xxhash.Sum64String(a.Name) > xxhash.Sum64String(b.Name)
}

// tick brings the demand and the plans forward.
func (c *Conductor) tick(ctx context.Context) {
	viewed := time.Now()
	for ctx.Err() == nil {
		now := time.Now()
		c.surveyor.Tick(now, func(service string) time.Duration {
			_, warm := c.ranker.ServiceTimes(service)
			return warm
		})
		if now.Sub(viewed) > viewPeriod {
			c.changes.Add(1) // members that are forgotten are not told
			viewed = now
		}
		var names []string
		live := c.live()
		for _, m := range live {
			names = append(names, m.Name)
		}
		c.elect(live)
		c.approach(live)
		c.throttler.SetLive(names)
		for _, service := range c.registrar.Services() {
			c.replan(now, service)
		}
		c.ready()
		sleeper.Sleep(ctx, tickPeriod)
	}
}

// replan moves the plan of a service towards the demand.
func (c *Conductor) replan(now time.Time, service string) {
	group := c.registrar.Group(service)
	slots := make([]float64, len(c.regions))
	for i, region := range c.regions {
		slots[i] = float64(group.Slots(region))
	}
	local := c.plan.LocalFirstWeights(c.surveyor.BusySlots(service, c.regions, c.reader.Load()), slots)
	c.plan.MoveToward(now, localPlan+service, local, slots)
	target := local
	if c.spreads(service) {
		target = apportioner.ProportionalWeights(slots)
	}
	c.plan.MoveToward(now, spreadPlan+service, target, slots)
}

// spreads reports whether all regions are so near that it pays to have each
// object learned once instead of once in each region.
func (c *Conductor) spreads(service string) bool {
	t := c.table.Load()
	if t == nil {
		return false
	}
	farthest := time.Duration(0)
	for _, region := range c.regions {
		way, measured := c.ranker.RTT(region)
		if !measured {
			return false
		}
		farthest = max(farthest, way)
	}
	return float64(farthest) <= spreadPart*float64(t.LatencyTarget(service))
}

// dialHost opens a connection to another host. The time that it takes is the way
// to the host's region and back, which is so known before the first request.
func (c *Conductor) dialHost(ctx context.Context, network, address string) (net.Conn, error) {
	begun := time.Now()
	conn, err := dialer(peerSilence).DialContext(ctx, network, address)
	if err == nil {
		c.opened.Store(address, time.Since(begun))
	}
	return conn, err
}

// approach records how long connections to members took. A seed's region is known
// only after it has answered.
func (c *Conductor) approach(live []*framer.Member) {
	for _, m := range live {
		if took, ok := c.opened.LoadAndDelete(m.Address); ok {
			c.ranker.ObserveRTT(m.Region, took.(time.Duration))
		}
	}
}

// CountRequest implements steerer.Planner.
func (c *Conductor) CountRequest(service string) {
	c.surveyor.Count(service)
	c.plan.CountRequest(time.Now())
}

// AllowCrossRegion implements steerer.Planner.
func (c *Conductor) AllowCrossRegion(failing bool) bool {
	return c.plan.AllowCrossRegion(time.Now(), failing)
}

// RegionWeights implements steerer.Planner. Downloads stay near, since their bytes cross
// the links between regions.
func (c *Conductor) RegionWeights(service string, class matcher.Class) []float64 {
	name := spreadPlan + service
	if class == matcher.Download {
		name = localPlan + service
	}
	if w := c.plan.Current(name); w != nil {
		return w
	}
	c.replan(time.Now(), service)
	return c.plan.Current(name)
}

// leaves closes the idle connections of an upstream that gets no new work.
func (c *Conductor) leaves(u *registrar.Upstream, sign string) {
	c.log.Event(logger.UpstreamLeaving).Str("upstream", u.ID()).Str("service", u.Service()).Str("sign", sign).Send()
	c.sender.Remove(u.Address())
}
