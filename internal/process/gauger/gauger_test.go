package gauger

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

var start = time.Unix(1e9, 0)

// plan returns a version with n upstreams u0, u1 … of 9 slots in one region.
func plan(t testing.TB, n int) *planner.Plan {
	note := &noter.Note{ID: "first"}
	note.Added.Regions = []noter.Region{{Name: "bkk", Zones: []string{"bkk-a"}, Slots: 100}}
	note.Added.Services = []noter.Service{{Name: "catalog", Class: "lookup", Shares: map[string]int{"bkk": 1}, Cap: noter.Cap{Fraction: 0.1, Every: noter.Duration(time.Minute)}, Timeout: noter.Duration(time.Second)}}
	for i := range n {
		note.Added.Upstreams = append(note.Added.Upstreams, noter.Upstream{Name: fmt.Sprint("u", i), Service: "catalog", Region: "bkk", Zone: "bkk-a", Address: fmt.Sprintf("127.0.0.1:%d", 9000+i), Slots: 9, Connections: 30})
	}
	p, err := new(planner.Plan).Apply(note)
	assert.NilError(t, err)
	return p
}

func installed(t testing.TB, n int) (*Gauger, *planner.Plan) {
	g, p := New(start), plan(t, n)
	g.Install(p, start)
	return g, p
}

func after(seconds float64) time.Time {
	return start.Add(time.Duration(seconds * float64(time.Second)))
}

type step struct {
	at    float64
	state State
}

// Guards against a state that changes on single readings, and against a leaving
// upstream that gets work because of a late or lagging ready reading.
func TestHealthHysteresis(t *testing.T) {
	for name, c := range map[string]struct {
		steps []step
		leave float64
		want  State
	}{
		"three readings in 2 s":        {steps: []step{{0, Ready}, {1, Ready}, {2, Ready}}, want: Ready},
		"three readings too quick":     {steps: []step{{0, Ready}, {0.1, Ready}, {0.2, Ready}}, want: Unknown},
		"one failure":                  {steps: []step{{0, Ready}, {1, Ready}, {2, Ready}, {3, Failed}}, want: Ready},
		"flapping":                     {steps: []step{{0, Ready}, {1, Ready}, {2, Ready}, {3, Failed}, {4, Ready}, {5, Failed}, {6, Failed}}, want: Ready},
		"three failures":               {steps: []step{{0, Ready}, {1, Ready}, {2, Ready}, {3, Failed}, {4, Failed}, {5, Failed}}, want: Failed},
		"draining at once":             {steps: []step{{0, Ready}, {1, Ready}, {2, Ready}, {3, Draining}}, want: Draining},
		"sign, then two ready":         {steps: []step{{0, Ready}, {4, Ready}, {5, Ready}}, leave: 3, want: Draining},
		"sign, then old ready":         {steps: []step{{0, Ready}, {1, Ready}, {2, Ready}, {3, Ready}}, leave: 3, want: Draining},
		"sign, then three ready":       {steps: []step{{0, Ready}, {4, Ready}, {5, Ready}, {6, Ready}}, leave: 3, want: Ready},
		"sign, then three quick ready": {steps: []step{{0, Ready}, {4, Ready}, {4.1, Ready}, {4.2, Ready}}, leave: 3, want: Draining},
	} {
		g, p := installed(t, 1)
		if c.leave > 0 {
			assert.Check(t, g.OnLeaving("u0", PeerSign, after(c.leave)), name)
			assert.Check(t, !g.OnLeaving("u0", CloseSign, after(c.leave)), name)
		}
		for _, s := range c.steps {
			g.OnHealth("u0", s.state, after(s.at), after(s.at))
		}
		last := after(c.steps[len(c.steps)-1].at)
		assert.Check(t, g.Read(p.Upstreams()[0], last).State() == c.want, "%s: %v", name, g.Read(p.Upstreams()[0], last).State())
	}
}

// Guards against a draining upstream that returns every 3 s because its health
// endpoint misleads or lags, and against one that never returns.
func TestHealthThatContradictsAnAnswer(t *testing.T) {
	for name, c := range map[string]struct {
		agree func(g *Gauger, u *planner.Upstream)
		until float64
		want  State
	}{
		"health misleads":    {func(*Gauger, *planner.Upstream) {}, 200, Draining},
		"health agrees":      {func(g *Gauger, _ *planner.Upstream) { g.OnHealth("u0", Draining, after(2), after(2)) }, 10, Ready},
		"process is gone":    {func(g *Gauger, u *planner.Upstream) { g.OnRefused(u, after(2)) }, 10, Ready},
		"ready for 5 min":    {func(*Gauger, *planner.Upstream) {}, 305, Ready},
		"another answer too": {func(g *Gauger, _ *planner.Upstream) { g.OnLeaving("u0", RefusalSign, after(2)) }, 200, Draining},
	} {
		g, p := installed(t, 1)
		g.OnLeaving("u0", RefusalSign, after(1))
		c.agree(g, p.Upstreams()[0])
		for at := 3.0; at <= c.until; at++ {
			g.OnHealth("u0", Ready, after(at), after(at))
		}
		got := g.Read(p.Upstreams()[0], after(c.until)).State()
		assert.Check(t, got == c.want, "%s: %v", name, got)
	}
}

// Guards against a returning or added upstream that gets its full share at
// once, and against a host start that makes every upstream cold.
func TestWarmRamp(t *testing.T) {
	g, p := installed(t, 1)
	u := p.Upstreams()[0]
	assert.Equal(t, g.Read(u, start).Warm(), 1.0)
	g.OnLeaving("u0", PeerSign, after(1))
	for _, at := range []float64{2, 3, 4} {
		g.OnHealth("u0", Ready, after(at), after(at))
	}
	for at, want := range map[float64]float64{4: 1.0 / 8, 19: 9.0 / 16, 34: 1, 99: 1} {
		assert.Check(t, g.Read(u, after(at)).Warm() == want, "%v s", at)
	}
	next := plan(t, 2)
	g.Install(next, after(50))
	assert.Equal(t, g.Read(next.Upstreams()[1], after(50)).Warm(), 1.0/8)
	assert.Equal(t, g.Read(u, after(50)).Warm(), 1.0)
	g.Install(plan(t, 1), after(60))
	// A request may still hold the plan that had the upstream.
	assert.Equal(t, g.Read(next.Upstreams()[1], after(60)).State(), Draining)
}

// Guards against old measurements that count, and against an error ratio that
// keeps an upstream out for ever.
func TestAges(t *testing.T) {
	g, p := installed(t, 1)
	u := p.Upstreams()[0]
	g.OnLoad("u0", 6, start)
	g.OnLoad("u0", 1, after(-1))
	for at, want := range map[float64]float64{0: 1, 5: 1, 10: 0.5, 15: 0, 60: 0} {
		assert.Check(t, g.Read(u, after(at)).LoadWeight() == want, "%v s", at)
	}
	assert.Equal(t, g.Read(u, start).Load(), 6)
	for range 32 {
		g.OnAnswer(u, true, start)
	}
	ratio := g.Read(u, start).Errors()
	assert.Assert(t, ratio > 0.8)
	assert.Equal(t, g.Read(u, after(10)).Errors(), ratio/2)
	g.OnShed(u, after(2))
	assert.Assert(t, !g.Read(u, after(1)).Usable() && g.Read(u, after(2)).Usable())
	g.OnRefused(u, after(20))
	assert.Equal(t, g.Read(u, after(20)).State(), Failed)
	assert.Equal(t, g.Read(u, after(40)).State(), Unknown)
}

// Guards against taking a region without measurements for a failed one.
func TestRegionWithoutMeasurementsIsNotFailed(t *testing.T) {
	for name, c := range map[string]struct {
		probe func(g *Gauger, at time.Time)
		want  State
		part  float64
	}{
		"measured": {func(g *Gauger, at time.Time) { probe(g, Ready, at, 0) }, Ready, 1},
		"failed":   {func(g *Gauger, at time.Time) { probe(g, Failed, at, 0) }, Failed, 0},
		"half":     {func(g *Gauger, at time.Time) { probe(g, Failed, at, 2) }, Ready, 0.5},
		"silent":   {func(*Gauger, time.Time) {}, Unknown, 1},
	} {
		g, p := installed(t, 4)
		s := p.Services()[0]
		for i := range 200 {
			at := after(float64(i) / 4)
			if i%4 == 0 {
				if i < 100 {
					probe(g, Ready, at, 0)
				} else {
					c.probe(g, at)
				}
			}
			g.Evaluate(at)
		}
		assert.Check(t, g.Region(s, 0) == c.want, "%s: %v", name, g.Region(s, 0))
		assert.Check(t, g.Factor(s, 0) == c.part, "%s: %v", name, g.Factor(s, 0))
	}
}

// probe gives upstreams from..3 one reading.
func probe(g *Gauger, s State, at time.Time, from int) {
	for i := from; i < 4; i++ {
		g.OnHealth(fmt.Sprint("u", i), s, at, at)
	}
}

func BenchmarkRead(b *testing.B) {
	g, p := installed(b, 64)
	b.ReportAllocs()
	for i := range b.N {
		_ = g.Read(p.Upstreams()[i%64], after(3))
	}
}
