package conductor

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/gossiper"
	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
	"dandeliontrack.example/dandeliontrack/internal/process/throttler"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
)

// Guards against lookups that return weak hosts beside strong ones. With callers spread
// over many hosts, most with a fifth of the processor of the others, each host uses each
// upstream so rarely that every request opens a connection.
func TestLookupsLeaveOutWeakHosts(t *testing.T) {
	for name, c := range map[string]struct {
		powers []uint32
		want   int
	}{
		"equal":              {[]uint32{320, 320, 320}, 3},
		"alone":              {[]uint32{160}, 1},
		"none":               {nil, 0},
		"few strong":         {[]uint32{160, 800, 160, 800, 160, 800, 160, 800, 160}, 4},
		"one strong":         {[]uint32{160, 800, 160, 160, 160}, 3},
		"half as strong":     {[]uint32{800, 400, 400, 400}, 4},
		"only weak are left": {[]uint32{160, 160, 160, 160}, 4},
	} {
		t.Run(name, func(t *testing.T) {
			var members []*framer.Member
			for i, p := range c.powers {
				members = append(members, &framer.Member{Name: fmt.Sprint(i), Power: p})
			}
			got := strongestHosts(members)
			assert.Equal(t, len(got), c.want)
			for i := 1; i < len(got); i++ {
				assert.Assert(t, got[i].Power <= got[i-1].Power)
			}
		})
	}
}

// Guards against objects that are warmed up in distant regions because the RTT to a region
// was assumed to be short before a connection there was timed.
func TestObjectsSpreadOnlyOverMeasuredRTTs(t *testing.T) {
	table, err := matcher.New(1, []matcher.Route{{
		Name: "r", Host: "a.example", Prefix: "/a/", Class: matcher.Idempotent, LatencyTarget: 400 * time.Millisecond,
		Timeout: time.Second, AttemptLimit: 1, Backends: []matcher.Backend{{Service: "s", Weight: 1}},
	}}, []matcher.Service{{Name: "s"}}, matcher.Limits{})
	assert.NilError(t, err)
	for name, c := range map[string]struct {
		rtts []time.Duration
		want bool
	}{
		"not measured":  {nil, false},
		"one of two":    {[]time.Duration{10 * time.Millisecond}, false},
		"near":          {[]time.Duration{10 * time.Millisecond, 24 * time.Millisecond}, true},
		"one is remote": {[]time.Duration{10 * time.Millisecond, 110 * time.Millisecond}, false},
	} {
		t.Run(name, func(t *testing.T) {
			conductor := &Conductor{regions: []string{"own", "r0", "r1"}, ranker: ranker.New("own")}
			conductor.table.Store(table)
			var live []*framer.Member
			for i, rtt := range c.rtts {
				m := &framer.Member{Address: fmt.Sprint(i), Region: fmt.Sprint("r", i)}
				conductor.dialTimes.Store(m.Address, rtt)
				live = append(live, m)
			}
			conductor.recordDialTimes(live)
			assert.Equal(t, conductor.spreadsObjects("s"), c.want)
		})
	}
}

// Guards against a call rate at the store that grows with the fleet: 295 hosts made 20
// calls per second to read the recorded hosts, most of the calls of a day without load.
func TestHostsReadRateDoesNotGrowWithFleet(t *testing.T) {
	for _, hosts := range []int{1, 2, 9, 84, 295, 5500} {
		perSecond := float64(hosts) / hostsReadInterval(hosts-1, true).Seconds()
		assert.Assert(t, perSecond <= 0.21, "%d hosts: %v", hosts, perSecond)
	}
	assert.Equal(t, hostsReadInterval(5499, false), announceInterval)
}

// hostTable is a platform with a table of hosts. It counts the calls.
type hostTable struct {
	Platform
	hosts  []Host
	reads  int
	writes int
}

func (p *hostTable) Hosts(context.Context) ([]Host, error) {
	p.reads++
	return p.hosts, nil
}

func (p *hostTable) Announce(_ context.Context, h Host) error {
	p.writes++
	p.hosts = append(p.hosts, h)
	return nil
}

// Guards against a restarted fleet that writes all its rows to the store again, and
// against a host that is not recorded.
func TestOnlyUnrecordedHostsAreAnnounced(t *testing.T) {
	for name, c := range map[string]struct {
		hosts  []Host
		writes int
	}{
		"new":              {[]Host{{"other", "o:1"}}, 1},
		"returns":          {[]Host{{"other", "o:1"}, {"self", "s:1"}}, 0},
		"at a new address": {[]Host{{"self", "old:1"}}, 1},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				p := &hostTable{hosts: c.hosts}
				h := &Conductor{platform: p, settings: Settings{Name: "self", PeerAddress: "s:1"}, throttler: throttler.New("self", throttler.Limit{}, time.Now())}
				h.gossiper = gossiper.New(&framer.Member{Name: "self", Address: "s:1"}, nil, nil)
				ctx, cancel := context.WithTimeout(t.Context(), 2*time.Minute)
				defer cancel()
				h.announce(ctx)
				assert.Equal(t, p.writes, c.writes)
				assert.Assert(t, p.reads > 2)
			})
		})
	}
}

// Guards against hosts that start together and all become readers of the store because
// none has live peers yet: 295 hosts made 637 calls in their first two seconds.
func TestNewHostDoesNotBecomeReaderAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := &framer.Member{Name: "self", Address: "s:1", Region: "a", Power: 5}
		c := &Conductor{settings: Settings{Name: "self", Region: "a"}, started: time.Now()}
		c.gossiper = gossiper.New(self, nil, nil)
		c.electReaders(nil)
		assert.Assert(t, !c.isReader())
		c.electReaders([]*framer.Member{{Name: "weak", Region: "a", Power: 1}})
		assert.Assert(t, c.isReader())
		time.Sleep(2 * time.Second)
		c.electReaders(nil)
		assert.Assert(t, c.isReader())
	})
}

// Guards against rate limits that change on their way to another host, and against one that
// no later statement could replace.
func TestRateLimitsPassBetweenHosts(t *testing.T) {
	now := time.Now()
	host := func() *Conductor {
		c := &Conductor{registrar: registrar.New(map[string]string{"z": "r"})}
		c.registrar.Put(registrar.Registration{ID: "x", Service: "s", Zone: "z", Slots: 1, RowVersion: sequencer.New(0, 1), StartUnixMilli: 7}, now, true)
		return c
	}
	upstream := func(c *Conductor) *registrar.Upstream { return c.registrar.Group("s").Upstreams()[0] }
	a, b := host(), host()
	upstream(a).RecordRateLimit(2.5, now.Add(-3*time.Second))
	b.mergeRateLimits(a.rateLimits(now), now)
	assert.Equal(t, upstream(b).RateLimit(now), registrar.RateLimit(2.5))
	assert.Equal(t, b.registrar.RateLimits(now, 1, 1)[0].StatedAt, now.Add(-3*time.Second))
	b.mergeRateLimits([]*framer.RateLimit{{Upstream: "x", Start: 7, PerSecond: 9, AgeMilliseconds: -1000}}, now)
	assert.Equal(t, upstream(b).RateLimit(now), registrar.RateLimit(2.5))
}
