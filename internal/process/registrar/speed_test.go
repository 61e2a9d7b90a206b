package registrar_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
)

// Guards against a reported speed that is trusted for too long, that is not valid, or that
// moves traffic between regions at once, and against one of an earlier process.
func TestReportedSpeed(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		percents []int // in reports at intervals of 100 ms up to now
		restart  bool
		after    time.Duration
		slowness float64
		speed    float64 // mean
	}{
		"none":               {nil, false, 0, 1, 1},
		"three figures":      {[]int{0, 0}, false, 0, 1, 1},
		"usual":              {[]int{100, 100}, false, time.Second, 1, 1},
		"slow":               {[]int{100, 300}, false, 0, 3, 0.99},
		"a while ago":        {[]int{100, 300}, false, 250 * time.Millisecond, 2.014, 0.99},
		"long ago":           {[]int{100, 300}, false, 5 * time.Second, 1.016, 0.99},
		"slow for a while":   {repeated(200, 300), false, 0, 2, 0.51},
		"slow, then silence": {repeated(200, 300), false, 20 * time.Second, 1.071, 0.735},
		"too slow":           {[]int{100, 10_001}, false, 0, 1, 1},
		"as slow as counts":  {[]int{100, 10_000}, false, 0, 100, 0.986},
		"too fast":           {repeated(1, 300), false, 0, 0.5, 1.988},
		"another process":    {repeated(500, 50), true, 0, 2.24, 0.587},
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(zones)
			r.Put(entry("x", 1), now, true)
			u := r.Group("s").Upstreams()[0]
			for i, percent := range c.percents {
				u.ReportLoad(registrar.Load{Slots: 4, SlownessPercent: percent}, now.Add(time.Duration(i+1-len(c.percents))*100*time.Millisecond))
			}
			if c.restart {
				e := entry("x", 2)
				e.StartUnixMilli = 2
				r.Put(e, now, false)
			}
			at := now.Add(c.after)
			assert.Check(t, math.Abs(u.State(0, at).Slowness-c.slowness) < 0.001, "%v", u.State(0, at))
			assert.Check(t, math.Abs(u.MeanSpeed(at)-c.speed) < 0.005, "%v", u.MeanSpeed(at))
			assert.Check(t, math.Abs(r.Group("s").UsableSlots("a", time.Second, at)-4*c.speed) < 0.02)
		})
	}
}

// Guards against an upstream that looks idle and fast because it didn't respond for a while,
// and against averages by which nothing gets requests any more, or which change the ranking of
// upstreams that report three figures.
func TestUpstreamIsExpectedToBeLikePeers(t *testing.T) {
	now := time.Now()
	for name, c := range map[string]struct {
		load, own                registrar.Load // of the peers, and of the upstream if it has slots
		after                    time.Duration
		minLoad, maxLoad         float64
		minSlowness, maxSlowness float64
	}{
		"no speed":          {load: registrar.Load{Running: 4, Slots: 4}, minSlowness: 1, maxSlowness: 1},
		"speed":             {load: registrar.Load{Running: 3, Slots: 4, SlownessPercent: 200}, minLoad: 2.9, maxLoad: 3, minSlowness: 1.5, maxSlowness: 2},
		"long ago":          {load: registrar.Load{Running: 4, Slots: 4, SlownessPercent: 200}, after: 20 * time.Second, maxLoad: 0.01, minSlowness: 1, maxSlowness: 1.1},
		"implausible":       {load: registrar.Load{Running: 1 << 30, Slots: 4, SlownessPercent: 10_000}, minLoad: 7.9, maxLoad: 8, minSlowness: 2, maxSlowness: 3},
		"own three figures": {load: registrar.Load{Running: 4, Slots: 4, SlownessPercent: 200}, own: registrar.Load{Slots: 4}, minSlowness: 1, maxSlowness: 1},
		"own invalid speed": {load: registrar.Load{Running: 3, Slots: 4, SlownessPercent: 200}, own: registrar.Load{Slots: 4, SlownessPercent: 20_000}, after: 500 * time.Millisecond, minLoad: 1.4, maxLoad: 1.6, minSlowness: 1.5, maxSlowness: 2},
		"own speed":         {load: registrar.Load{Running: 4, Slots: 4, SlownessPercent: 200}, own: registrar.Load{Slots: 4, SlownessPercent: 100}, minSlowness: 1, maxSlowness: 1.01},
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(zones)
			for _, id := range []string{"x", "y", "z"} {
				r.Put(entry(id, 1), now, true)
			}
			all := r.Group("s").Upstreams()
			for i := range 100 {
				all[i%2].ReportLoad(c.load, now.Add(time.Duration(i-99)*100*time.Millisecond))
			}
			if c.own.Slots > 0 {
				all[2].ReportLoad(c.own, now)
			}
			s := all[2].State(0, now.Add(c.after))
			assert.Check(t, s.ExpectedLoad >= c.minLoad && s.ExpectedLoad <= c.maxLoad, "%+v", s)
			assert.Check(t, s.Slowness >= c.minSlowness && s.Slowness <= c.maxSlowness && s.LeastSlowness <= 1 && s.Load == 0 && s.CautiousLoad <= 4, "%+v", s)
		})
	}
}

func repeated(percent, n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = percent
	}
	return out
}
