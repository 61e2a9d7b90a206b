//go:build !race

package ranker_test

import (
	"os"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// check returns the highest number of arrivals at an upstream in a window that begins at
// from or later, as a fraction of the bound. A lower limit counts from rateWindow after the
// change.
func (f *fleet) check(arrivals [][]time.Time, from time.Duration) (worst float64) {
	limit := f.load.factor * f.load.perSecond / float64(f.load.upstreams)
	for _, times := range arrivals {
		first := 0
		for i, at := range times {
			for at.Sub(times[first]) >= rateWindow || times[first].Sub(f.start) < from && first < i {
				first++
			}
			since, stated := at.Sub(f.start), limit
			if since < limitsBegin+rateSettleTime || since > limitsEnd {
				continue
			}
			if since >= limitsChange+rateWindow {
				stated = limit / 2
			}
			worst = max(worst, float64(i-first+1)/(rateFactor*stated*rateWindow.Seconds()+rateSlack))
		}
	}
	return worst
}

// mostInWindow returns the highest number of arrivals in any window of the given length.
func mostInWindow(times []time.Time, window time.Duration) (most int) {
	first := 0
	for i, at := range times {
		for at.Sub(times[first]) >= window {
			first++
		}
		most = max(most, i-first+1)
	}
	return most
}

// Guards against hosts that together exceed the limit of cold upstreams while they restart,
// freeze and are cut off from each other at the same time.
func TestFleetStaysWithinColdLimitUnderFaults(t *testing.T) {
	for name, load := range map[string]fleetLoad{
		"12 hosts": {hosts: 12, carriers: 12, upstreams: 20, perSecond: 450, limited: 0.2, coldRate: 16, faults: true},
		"84 hosts": {hosts: 84, carriers: 18, upstreams: 224, perSecond: 1375, limited: 0.1, coldRate: 3.9, faults: true},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range uint64(5) {
				f := newFleet(load, seed)
				f.run()
				most := 0
				for _, times := range f.cold {
					most = max(most, mostInWindow(times, time.Second))
				}
				t.Logf("seed %d: served %d, refused %d, at most %d in a second", seed, f.served, f.refused, most)
				assert.Check(t, float64(most) <= load.coldRate*coldLimit.Factor+coldLimit.Slack && most > 0, "seed %d: %d in a second", seed, most)
			}
		})
	}
}

// Guards against hosts that know the rate limit of an upstream and together exceed it: when
// each uses it as its own, when callers move between hosts, and when hosts restart, freeze
// or are cut off from each other at the same time.
func TestFleetStaysWithinRateLimits(t *testing.T) {
	small := fleetLoad{hosts: 12, carriers: 12, upstreams: 20, perSecond: 450, limited: 0.1, factor: 0.35}
	grown := fleetLoad{hosts: 84, carriers: 18, upstreams: 224, perSecond: 1375, limited: 0.1, factor: 0.35}
	large := fleetLoad{hosts: 295, carriers: 295, upstreams: 297, perSecond: 1032, limited: 0.1, factor: 0.35}
	// FLEET=all also plays this fleet with all its upstreams, which takes a minute.
	if os.Getenv("FLEET") == "all" {
		large.upstreams, large.perSecond = 891, 3097
	}
	with := func(l fleetLoad, change func(l *fleetLoad)) fleetLoad {
		change(&l)
		return l
	}
	for name, c := range map[string]struct {
		load  fleetLoad
		seeds uint64
		// endsLate says that hosts send the upstreams so few requests that they may not
		// notice the end of the limits in the time that is left.
		endsLate bool
		settle   time.Duration // until the hosts that were not told count too, rateSettleTime by default
	}{
		"12 hosts":                   {small, 5, false, 0},
		"12 hosts, faults":           {with(small, func(l *fleetLoad) { l.faults = true }), 10, false, 0},
		"12 hosts, low limit":        {with(small, func(l *fleetLoad) { l.factor = 0.02 }), 5, true, 0},
		"12 hosts, spread, faults":   {with(small, func(l *fleetLoad) { l.faults, l.spread = true, true }), 10, false, 0},
		"12 hosts, all are limited":  {with(small, func(l *fleetLoad) { l.limited = 1 }), 5, false, 0},
		"12 hosts, a region":         {with(small, func(l *fleetLoad) { l.region = true }), 5, false, 0},
		"84 hosts":                   {grown, 2, false, 0},
		"84 hosts, faults":           {with(grown, func(l *fleetLoad) { l.faults = true }), 4, false, 0},
		"295 hosts, all are limited": {with(large, func(l *fleetLoad) { l.limited = 1 }), 1, true, changeSpreadTime},
		"295 hosts, faults":          {with(large, func(l *fleetLoad) { l.faults = true }), 1, true, 0},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			for seed := range c.seeds {
				f := newFleet(c.load, seed)
				f.run()
				worst, worstAll := f.check(f.told, limitsBegin), f.check(f.all, limitsBegin+max(c.settle, rateSettleTime))
				sum, limited := 0, 0
				for u, times := range f.all {
					if f.states(u) {
						sum += len(times)
						limited++
					}
				}
				limit := c.load.factor * c.load.perSecond / float64(c.load.upstreams)
				allowed := float64(limited) * limit * ((limitsChange - limitsBegin).Seconds() + (limitsEnd-limitsChange).Seconds()/2)
				after := float64(f.afterEnd) / (float64(limited) * limit * endCheckTime.Seconds())
				t.Logf("seed %d: served %d, refused %d, worst %.2f of the bound, %.2f with hosts that were not told, upstreams with a limit got %.2f of it, and %.2f after its end", seed, f.served, f.refused, worst, worstAll, float64(sum)/allowed, after)
				assert.Check(t, !c.load.region || float64(f.refused) <= maxRefused*float64(f.served), "seed %d: %d refused, %d served", seed, f.refused, f.served)
				assert.Check(t, c.endsLate || after > 1, "seed %d: upstreams get %.2f of the limit after its end", seed, after)
				assert.Check(t, worst <= 1, "seed %d: %.2f of the bound", seed, worst)
				assert.Check(t, c.load.faults || worstAll <= 1, "seed %d: %.2f of the bound with hosts that were not told", seed, worstAll)
			}
		})
	}
}
