package throttler_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/throttler"
)

// Guards against more than a cold upstream bears, summed over all hosts: after
// all of them lost power at once, each took itself for the only host, and a cold
// upstream got 16 requests in a second where 13.8 were allowed.
func TestFleetStaysWithinColdLimit(t *testing.T) {
	start := time.Now()
	limit := throttler.Limit{Factor: 1.5, Slack: 8}
	const perSecond = 3.9
	for name, c := range map[string]struct {
		hosts int
		view  func(f *throttler.Throttler, i int, names []string)
		after time.Duration
		fed   bool
	}{
		"all known":                 {84, func(f *throttler.Throttler, _ int, names []string) { f.SetLive(names) }, time.Minute, true},
		"all start, recorded":       {84, func(f *throttler.Throttler, _ int, names []string) { f.SetRecorded(names) }, time.Second, true},
		"all start, nothing known":  {84, func(*throttler.Throttler, int, []string) {}, time.Second, false},
		"two sides of a partition":  {84, func(f *throttler.Throttler, i int, names []string) { f.SetLive(half(names, i%2)) }, time.Minute, true},
		"8 hosts":                   {8, func(f *throttler.Throttler, _ int, names []string) { f.SetLive(names) }, time.Minute, true},
		"300 hosts":                 {300, func(f *throttler.Throttler, _ int, names []string) { f.SetLive(names) }, time.Minute, true},
		"recorded, some found":      {84, func(f *throttler.Throttler, i int, names []string) { f.SetRecorded(names); f.SetLive(half(names, i%2)) }, time.Second, true},
		"one host for a long time":  {1, func(*throttler.Throttler, int, []string) {}, time.Minute, true},
		"store down, a minute late": {1, func(f *throttler.Throttler, _ int, _ []string) { f.SetLive(nil) }, time.Minute, true},
	} {
		t.Run(name, func(t *testing.T) {
			var names []string
			for i := range c.hosts {
				names = append(names, fmt.Sprintf("host-%d", i))
			}
			for u := range 20 {
				sum := 0.0
				for i, name := range names {
					f := throttler.New(name, limit, start)
					c.view(f, i, names)
					if r := f.Rate(fmt.Sprintf("u%d", u), perSecond, start.Add(c.after)); r > 0 {
						sum += r + 1 // evenly spaced, so one more in any second
					}
				}
				assert.Assert(t, sum <= perSecond*limit.Factor+limit.Slack, "%v", sum)
				assert.Equal(t, sum > 0, c.fed)
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

// Guards against a host that takes the whole of a shared number before it knows
// the others.
func TestFleetSizeBeforeHostsAreKnown(t *testing.T) {
	start := time.Now()
	f := throttler.New("a", throttler.Limit{}, start)
	assert.Assert(t, f.FleetSize(1, start) >= 84)
	f.SetRecorded([]string{"a", "b", "c"})
	assert.Equal(t, f.FleetSize(1, start), 3)
	assert.Equal(t, f.FleetSize(5, start), 5)
	assert.Equal(t, f.FleetSize(1, start.Add(time.Minute)), 1)
}

// Guards against a place in the order that is kept although the hosts changed: the
// feeder of a cold upstream is gone and nobody takes its part, or two do.
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

// BenchmarkRate measures one look at a cold upstream with the hosts of today, of the
// largest sweep and of the target.
func BenchmarkRate(b *testing.B) {
	for _, n := range []int{12, 298, 5500} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Now()
			f := throttler.New("self", throttler.Limit{Factor: 1.5, Slack: 5}, now.Add(-time.Hour))
			var names []string
			for i := range n {
				names = append(names, fmt.Sprintf("host-%d", i))
			}
			f.SetLive(names)
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				f.Rate(fmt.Sprintf("u%d", i%40), 19, now)
			}
		})
	}
}
