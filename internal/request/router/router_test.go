package router

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/gauger"
	"dandeliontrack.example/dandeliontrack/internal/process/shifter"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

var now = time.Unix(1e9, 0)

type units map[string][2]int // free and in flight

func (c units) Free(u *planner.Upstream) int {
	if v, ok := c[u.Name()]; ok {
		return v[0]
	}
	return 2
}
func (c units) InFlight(u *planner.Upstream) int { return c[u.Name()][1] }

type links string

func (l links) Failing(r *planner.Region) bool { return r.Name() == string(l) }

// plan returns regions r0, r1 … with n upstreams each, in two zones.
func plan(t testing.TB, regions, n int) *planner.Plan {
	note := &noter.Note{ID: "first"}
	s := noter.Service{Name: "catalog", Class: "lookup", Shares: map[string]int{}, Cap: noter.Cap{Fraction: 0.1, Every: noter.Duration(time.Minute)}, Timeout: noter.Duration(time.Second)}
	for i := range regions {
		r := fmt.Sprint("r", i)
		s.Shares[r] = 1
		note.Added.Regions = append(note.Added.Regions, noter.Region{Name: r, Zones: []string{r + "-a", r + "-b"}, Slots: 100})
		for j := range regions {
			if i != j {
				note.Added.Links = append(note.Added.Links, noter.Link{From: r, To: fmt.Sprint("r", j), Rate: 1})
			}
		}
		for j := range n {
			note.Added.Upstreams = append(note.Added.Upstreams, noter.Upstream{Name: fmt.Sprintf("%s-u%d", r, j), Service: "catalog", Region: r, Zone: r + "-" + "ab"[j%2:j%2+1], Address: fmt.Sprintf("127.%d.%d.1:%d", i, j>>8, 1000+j&255), Slots: 9, Connections: 30})
		}
	}
	note.Added.Services = []noter.Service{s}
	note.Added.ClientAccounts = []noter.ClientAccount{{Name: "stays", Hold: "stay"}}
	p, err := new(planner.Plan).Apply(note)
	assert.NilError(t, err)
	return p
}

func build(p *planner.Plan, c Capacity) (*Router, *gauger.Gauger, *shifter.Shifter) {
	g, s := gauger.New(now.Add(-time.Minute)), shifter.New(now)
	g.Install(p, now)
	s.Install(p, now)
	r := New(c, s, g, Location{"r0", "r0-a"})
	r.Install(p)
	return r, g, s
}

// failRegion marks every upstream of r0 except keep as failed.
func failRegion(g *gauger.Gauger, p *planner.Plan, keep string) {
	for i := range 20 {
		at := now.Add(time.Duration(i-20) * time.Second / 2)
		for _, u := range p.Services()[0].UpstreamsIn(0) {
			if u.Name() != keep {
				g.OnHealth(u.Name(), gauger.Failed, at, at)
			}
		}
		g.Evaluate(at)
	}
}

// Guards against a request that leaves its home region beyond the shift cap, waits
// in a failed region, or is rejected although its region can serve it.
func TestRegionOfRequest(t *testing.T) {
	full := units{}
	for i := range 12 {
		full[fmt.Sprint("r0-u", i)] = [2]int{0, 2}
	}
	for name, c := range map[string]struct {
		capacity units
		failed   bool
		link     links
		query    Query
		counted  int
		region   string
		wait     bool
		err      classifier.Kind
	}{
		"served at home":               {region: "r0"},
		"full: waits":                  {capacity: full, region: "r0", wait: true},
		"full and late, no allowance":  {capacity: full, query: Query{WaitExceedsDeadline: true}, err: classifier.Overloaded},
		"full and late, allowance":     {capacity: full, query: Query{WaitExceedsDeadline: true}, counted: 1000, region: "r1"},
		"failed, no allowance":         {failed: true, err: classifier.Shifting},
		"failed, allowance":            {failed: true, counted: 1000, region: "r1"},
		"failed, account stays":        {failed: true, query: Query{ClientAccount: &planner.ClientAccount{}}, region: "r0"},
		"link failing, no allowance":   {link: "r0", err: classifier.Shifting},
		"link failing, with allowance": {link: "r0", counted: 1000, region: "r1"},
	} {
		p := plan(t, 2, 12)
		r, g, s := build(p, c.capacity)
		if c.failed {
			failRegion(g, p, "r0-u0")
		}
		r.UseLinks(c.link)
		for range c.counted {
			s.Count(p.Services()[0])
		}
		q := c.query
		q.Plan, q.Service = p, p.Services()[0]
		if q.ClientAccount != nil {
			q.ClientAccount = p.ClientAccount("stays")
		}
		// The first hash whose point lies in r0, the first half of the weights.
		for rng := stream(q.Hash); rng.unit() >= 0.5; rng = stream(q.Hash) {
			q.Hash++
		}
		got, err := r.Choose(now, &q)
		if c.region == "" {
			assert.Check(t, classifier.Of(err) == c.err, "%s: %v", name, err)
			continue
		}
		assert.NilError(t, err, name)
		assert.Check(t, got.Region().Name() == c.region, name)
		assert.Check(t, (got.Upstream() == nil) == c.wait, name)
		assert.Check(t, got.CrossRegion() == (c.region == "r1"), name)
	}
}

// Guards against choosing an upstream that is excluded, draining, failed, shedding
// or full. Each case has one such upstream, and the trace must give its reason.
func TestUpstreamsPassedOver(t *testing.T) {
	for reason, spoil := range map[string]func(*gauger.Gauger, units, *Query, *planner.Upstream){
		"draining": func(g *gauger.Gauger, _ units, _ *Query, u *planner.Upstream) {
			g.OnLeaving(u.Name(), gauger.PeerSign, now)
		},
		"failed":       func(g *gauger.Gauger, _ units, _ *Query, u *planner.Upstream) { g.OnRefused(u, now) },
		"shedding":     func(g *gauger.Gauger, _ units, _ *Query, u *planner.Upstream) { g.OnShed(u, now.Add(time.Second)) },
		"no free slot": func(_ *gauger.Gauger, c units, _ *Query, u *planner.Upstream) { c[u.Name()] = [2]int{0, 2} },
		"tried before": func(_ *gauger.Gauger, _ units, q *Query, u *planner.Upstream) { q.Exclude(u) },
	} {
		p, c, seen := plan(t, 1, 4), units{}, 0
		r, g, _ := build(p, c)
		bad := p.Upstreams()[2]
		q := Query{Plan: p, Service: p.Services()[0]}
		spoil(g, c, &q, bad)
		q.Trace = func(s Rejection) {
			assert.Check(t, s.Upstream() == bad && s.Region() == bad.Region() && s.Reason() == reason, "%s: %v", reason, s.Reason())
			seen++
		}
		for q.Hash = range 500 {
			got, err := r.Choose(now, &q)
			assert.NilError(t, err)
			assert.Check(t, got.Upstream() != bad, reason)
		}
		assert.Check(t, seen > 0, reason)
	}
}

// Guards against requests that leave the host's availability zone while it has
// little load, and against preferring that zone while it is loaded.
func TestZonePreference(t *testing.T) {
	for name, c := range map[string]struct{ load, want int }{"idle": {0, 1000}, "own zone loaded": {9, 0}} {
		p, own := plan(t, 1, 8), 0
		r, g, _ := build(p, units{})
		for _, u := range p.Upstreams() {
			if u.Zone() == "r0-a" {
				g.OnLoad(u.Name(), c.load, now)
			} else {
				g.OnLoad(u.Name(), 1, now)
			}
		}
		q := Query{Plan: p, Service: p.Services()[0]}
		for q.Hash = range 1000 {
			got, err := r.Choose(now, &q)
			assert.NilError(t, err)
			if got.Upstream().Zone() == "r0-a" {
				own++
			}
		}
		assert.Check(t, own == c.want, "%s: %d of 1000 in the own zone", name, own)
	}
}

// Guards against allocations in Choose, which runs for each attempt.
func TestChooseDoesNotAllocate(t *testing.T) {
	p := plan(t, 3, 14)
	r, _, _ := build(p, units{})
	q := Query{Plan: p, Service: p.Services()[0]}
	assert.Equal(t, testing.AllocsPerRun(1000, func() { q.Hash++; _, _ = r.Choose(now, &q) }), 0.0)
}

// Guards against data races of Choose with Install, shift steps and new readings.
func TestChooseWhileStateChanges(t *testing.T) {
	p := plan(t, 3, 6)
	r, g, s := build(p, units{})
	var wg sync.WaitGroup
	for n := range 4 {
		wg.Go(func() {
			for i := range 500 {
				at := now.Add(time.Duration(i) * 250 * time.Millisecond)
				u := p.Upstreams()[i%len(p.Upstreams())]
				switch q := (Query{Plan: p, Service: p.Services()[0], Hash: uint64(i)}); n {
				case 0:
					g.Install(p, at)
					s.Install(p, at)
					r.Install(p)
				case 1:
					g.OnHealth(u.Name(), gauger.Ready, at, at)
					g.Evaluate(at)
					s.Step(at)
				default:
					c, err := r.Choose(at, &q)
					assert.Check(t, err == nil && c.Region() != nil)
					g.OnAnswer(u, i%2 == 0, at)
				}
			}
		})
	}
	wg.Wait()
}

// same gives every upstream the same free and used units.
type same [2]int

func (c same) Free(*planner.Upstream) int     { return c[0] }
func (c same) InFlight(*planner.Upstream) int { return c[1] }

func BenchmarkChoose(b *testing.B) {
	for name, c := range map[string]struct {
		regions, n int
		capacity   same
	}{"today": {3, 14, same{1, 1}}, "target": {58, 345, same{1, 1}}, "target, all full": {58, 345, same{0, 2}}} {
		b.Run(name, func(b *testing.B) {
			p := plan(b, c.regions, c.n)
			r, g, _ := build(p, c.capacity)
			for i, u := range p.Upstreams() {
				g.OnLoad(u.Name(), i%9, now)
				g.OnAnswer(u, i%7 == 0, now)
			}
			q := Query{Plan: p, Service: p.Services()[0]}
			b.ReportAllocs()
			for b.Loop() {
				q.Hash += 0x9e3779b97f4a7c15
				if _, err := r.Choose(now, &q); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}
