package throttler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/throttler"
)

// Guards against hosts that together exceed the limit of a cold upstream: after all of
// them had lost power at once, each took itself for the only host, and a cold upstream got
// 16 requests in a second where 13.8 were allowed.
func TestFleetStaysWithinColdLimit(t *testing.T) {
	start := time.Now()
	limit := throttler.Limit{Factor: 1.5, Slack: 8}
	const perSecond = 3.9
	for name, c := range map[string]struct {
		hosts int
		view  func(th *throttler.Throttler, i int, names []string)
		after time.Duration
		sends bool
	}{
		"all known":                {84, func(th *throttler.Throttler, _ int, names []string) { th.SetLive(names) }, time.Minute, true},
		"all start, recorded":      {84, func(th *throttler.Throttler, _ int, names []string) { th.SetRecorded(names) }, time.Second, true},
		"all start, nothing known": {84, func(*throttler.Throttler, int, []string) {}, time.Second, false},
		"two sides of a partition": {84, func(th *throttler.Throttler, i int, names []string) { th.SetLive(half(names, i%2)) }, time.Minute, true},
		"8 hosts":                  {8, func(th *throttler.Throttler, _ int, names []string) { th.SetLive(names) }, time.Minute, true},
		"300 hosts":                {300, func(th *throttler.Throttler, _ int, names []string) { th.SetLive(names) }, time.Minute, true},
		"recorded, some live": {84, func(th *throttler.Throttler, i int, names []string) {
			th.SetRecorded(names)
			th.SetLive(half(names, i%2))
		}, time.Second, true},
		"one host for a long time":  {1, func(*throttler.Throttler, int, []string) {}, time.Minute, true},
		"store down, a minute late": {1, func(th *throttler.Throttler, _ int, _ []string) { th.SetLive(nil) }, time.Minute, true},
	} {
		t.Run(name, func(t *testing.T) {
			var names []string
			for i := range c.hosts {
				names = append(names, fmt.Sprintf("host-%d", i))
			}
			for u := range 20 {
				sum := 0.0
				for i, name := range names {
					th := throttler.New(name, limit, start)
					c.view(th, i, names)
					if r := th.Rate(fmt.Sprintf("u%d", u), perSecond, start.Add(c.after)); r > 0 {
						sum += r + 1 // evenly spaced requests: any second holds at most one more
					}
				}
				assert.Assert(t, sum <= perSecond*limit.Factor+limit.Slack, "%v", sum)
				assert.Equal(t, sum > 0, c.sends)
			}
		})
	}
}

func half(names []string, n int) (out []string) {
	for i, name := range names {
		if i%2 == n {
			out = append(out, name)
		}
	}
	return out
}

// Guards against a host that takes a shared limit for itself before it has discovered the
// other hosts.
func TestFleetSizeBeforeHostsAreKnown(t *testing.T) {
	start := time.Now()
	th := throttler.New("a", throttler.Limit{}, start)
	assert.Assert(t, th.FleetSize(1, start) >= 84)
	th.SetRecorded([]string{"a", "b", "c"})
	assert.Equal(t, th.FleetSize(1, start), 3)
	assert.Equal(t, th.FleetSize(5, start), 5)
	assert.Equal(t, th.FleetSize(1, start.Add(time.Minute)), 1)
}

// Guards against a host that takes shared limits for itself because it was cut off from the
// other hosts and from their records since its start.
func TestFleetSizeOfIsolatedHost(t *testing.T) {
	start := time.Now()
	th := throttler.New("a", throttler.Limit{Factor: 1.5, Slack: 5}, start)
	assert.Assert(t, th.FleetSize(1, start.Add(time.Minute)) >= 84)
	assert.Equal(t, th.FleetSize(3, start.Add(time.Minute)), 3)
	th.SetRecorded([]string{"a"})
	assert.Equal(t, th.FleetSize(1, start.Add(time.Minute)), 1)
}

// Guards against a cached rank that outlives a change of the hosts: when the sender to a
// cold upstream is gone, no host takes over its share, or two do.
func TestRankFollowsTheHosts(t *testing.T) {
	start := time.Now()
	later := start.Add(time.Minute)
	limit := throttler.Limit{Factor: 1, Slack: 0}
	a, b := throttler.New("a", limit, start), throttler.New("b", limit, start)
	a.SetLive([]string{"b"})
	b.SetLive([]string{"a"})
	first, second := a, b
	if b.Rate("u", 4, later) > 0 {
		first, second = b, a
	}
	assert.Assert(t, first.Rate("u", 4, later) > 0)
	assert.Equal(t, second.Rate("u", 4, later), 0.0)
	second.SetLive(nil)
	assert.Assert(t, second.Rate("u", 4, later) > 0)
}

// BenchmarkRate measures one call with 12 hosts, as in current deployments, with 298, the
// largest fleet tested, and with 5500, the size aimed at.
func BenchmarkRate(b *testing.B) {
	for _, n := range []int{12, 298, 5500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Now()
			th := throttler.New("self", throttler.Limit{Factor: 1.5, Slack: 5}, now.Add(-time.Hour))
			var names []string
			for i := range n {
				names = append(names, fmt.Sprintf("host-%d", i))
			}
			th.SetLive(names)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				th.Rate(fmt.Sprintf("u%d", i%40), 19, now)
			}
		})
	}
}
