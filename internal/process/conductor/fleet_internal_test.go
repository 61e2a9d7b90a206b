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
	"dandeliontrack.example/dandeliontrack/internal/process/throttler"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
	"dandeliontrack.example/dandeliontrack/internal/version/matcher"
)

// Guards against callers spread evenly over hosts of which most have a fifth of
// the others' processor: each host then uses each upstream so rarely that every
// request opens a connection.
func TestStrongest(t *testing.T) {
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
			got := strongest(members)
			assert.Equal(t, len(got), c.want)
			for i := 1; i < len(got); i++ {
				assert.Assert(t, got[i].Power <= got[i-1].Power)
			}
		})
	}
}

// Guards against objects that are learned far away because the way to a region
// was assumed to be short before a connection there had shown it.
func TestSpreadsOnlyOverMeasuredWays(t *testing.T) {
	table, err := matcher.New(1, []matcher.Route{{
		Name: "r", Host: "a.example", Prefix: "/a/", Class: matcher.Idempotent, LatencyTarget: 400 * time.Millisecond,
		Timeout: time.Second, AttemptLimit: 1, Backends: []matcher.Backend{{Service: "s", Weight: 1}},
	}}, []matcher.Service{{Name: "s"}}, matcher.Limits{})
	assert.NilError(t, err)
	for name, c := range map[string]struct {
		ways []time.Duration
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
			for i, way := range c.ways {
				m := &framer.Member{Address: fmt.Sprint(i), Region: fmt.Sprint("r", i)}
				conductor.opened.Store(m.Address, way)
				live = append(live, m)
			}
			conductor.approach(live)
			assert.Equal(t, conductor.spreads("s"), c.want)
		})
	}
}

// Guards against calls to the store that grow with the hosts: 295 hosts made 20 a second
// to read the rows of each other, the most of all calls of a quiet day.
func TestCallsDoNotGrowWithTheFleet(t *testing.T) {
	for _, hosts := range []int{1, 2, 9, 84, 295, 5500} {
		perSecond := float64(hosts) / announcePause(hosts-1, true).Seconds()
		assert.Assert(t, perSecond <= 0.21, "%d hosts: %v", hosts, perSecond)
	}
	assert.Equal(t, announcePause(5499, false), announcePeriod)
}

// recorded is a platform with a table of hosts, which counts the calls.
type recorded struct {
	Platform
	hosts  []Host
	reads  int
	writes int
}

func (p *recorded) Hosts(context.Context) ([]Host, error) {
	p.reads++
	return p.hosts, nil
}

func (p *recorded) Announce(_ context.Context, h Host) error {
	p.writes++
	p.hosts = append(p.hosts, h)
	return nil
}

// Guards against a fleet that writes all its rows again when it returns, and against a
// host that is not recorded.
func TestAnnounceOnce(t *testing.T) {
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
				p := &recorded{hosts: c.hosts}
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

// Guards against hosts that start together and all follow the store because each takes
// itself for the only one: 637 calls in the first two seconds of 295 hosts.
func TestNewHostLeavesReadingToOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		self := &framer.Member{Name: "self", Address: "s:1", Region: "a", Power: 5}
		c := &Conductor{settings: Settings{Name: "self", Region: "a"}, born: time.Now()}
		c.gossiper = gossiper.New(self, nil, nil)
		c.elect(nil)
		assert.Assert(t, !c.reads())
		c.elect([]*framer.Member{{Name: "weak", Region: "a", Power: 1}})
		assert.Assert(t, c.reads())
		time.Sleep(2 * time.Second)
		c.elect(nil)
		assert.Assert(t, c.reads())
	})
}
