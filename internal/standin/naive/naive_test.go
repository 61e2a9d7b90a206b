package naive

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/gauger"
	"dandeliontrack.example/dandeliontrack/internal/process/shifter"
	"dandeliontrack.example/dandeliontrack/internal/request/router"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

const (
	hosts    = 12
	slots    = 24
	requests = 60000
	service  = 60 // requests that arrive while one is served
	large    = 10 // times slots and service, in a large world
)

var start = time.Unix(1e9, 0)

func plan(t *testing.T, size int) *planner.Plan {
	note := &noter.Note{ID: "first"}
	names := []string{"bkk", "cnx", "hdy"}
	s := noter.Service{Name: "catalog", Class: "lookup", Shares: map[string]int{"bkk": 3, "cnx": 2, "hdy": 1}, Cap: noter.Cap{Fraction: 0.1, Every: noter.Duration(20 * time.Second)}, Timeout: noter.Duration(time.Second)}
	for i, r := range names {
		note.Added.Regions = append(note.Added.Regions, noter.Region{Name: r, Zones: []string{r + "-a"}, Slots: 999})
		for _, to := range names {
			if to != r {
				note.Added.Links = append(note.Added.Links, noter.Link{From: r, To: to, Rate: 1})
			}
		}
		for j := range 5 {
			note.Added.Upstreams = append(note.Added.Upstreams, noter.Upstream{Name: fmt.Sprint(r, j), Service: "catalog", Region: r, Zone: r + "-a", Address: fmt.Sprintf("127.0.%d.1:%d", i, 9000+j), Slots: slots * size, Connections: 30 * size})
		}
	}
	note.Added.Services = []noter.Service{s}
	p, err := new(planner.Plan).Apply(note)
	assert.NilError(t, err)
	return p
}

type units map[*planner.Upstream]int

func (c units) InFlight(u *planner.Upstream) int { return c[u] }
func (c units) Free(u *planner.Upstream) int     { return u.Slots()/hosts - c[u] }

// single draws one upstream of the region that the Router chose.
type single struct {
	*router.Router
	rng *rand.Rand
}

func (s single) Choose(now time.Time, q *router.Query) (router.Choice, error) {
	c, err := s.Router.Choose(now, q)
	if err != nil {
		return c, err
	}
	ups := q.Service.UpstreamsIn(c.Region().Index())
	return router.NewChoice(ups[s.rng.IntN(len(ups))]), nil
}

type end struct {
	host int
	up   *planner.Upstream
}

// world is a fleet that serves requests, 1 ms apart, from all hosts in turn.
type world struct {
	plan    *planner.Plan
	rng     *rand.Rand
	gauges  []*gauger.Gauger
	shifts  []*shifter.Shifter
	units   []units
	choose  []Chooser
	ends    map[int][]end
	flight  units
	peak    int
	refuse  int
	service int
	count   map[*planner.Upstream]int
	mix     [][]float64 // served requests by region, each second
	probe   func(w *world, u *planner.Upstream, second int) (gauger.State, int)
	fast    string // fails at once
}

func newWorld(t *testing.T, baseline bool, live, size int) *world {
	w := &world{service: service * size, plan: plan(t, size), rng: rand.New(rand.NewPCG(11, 5)), ends: map[int][]end{}, flight: units{}, count: map[*planner.Upstream]int{}}
	w.probe = func(w *world, u *planner.Upstream, _ int) (gauger.State, int) { return gauger.Ready, w.flight[u] }
	for range hosts {
		g, s, c := gauger.New(start), shifter.New(start), units{}
		g.Install(w.plan, start)
		s.Install(w.plan, start)
		w.gauges, w.shifts, w.units = append(w.gauges, g), append(w.shifts, s), append(w.units, c)
		if baseline {
			w.choose = append(w.choose, New(c, g, func() int { return live }))
		} else {
			w.choose = append(w.choose, router.New(c, s, g, router.Location{}))
		}
	}
	return w
}

func (w *world) run() {
	for i := range requests {
		now := start.Add(time.Duration(i) * time.Millisecond)
		if i%250 == 0 {
			w.tick(i, now)
		}
		for _, e := range w.ends[i] {
			w.units[e.host][e.up]--
			w.flight[e.up]--
			w.gauges[e.host].OnAnswer(e.up, e.up.Name() == w.fast, now)
		}
		delete(w.ends, i)
		h := i % hosts
		q := router.Query{Plan: w.plan, Service: w.plan.Services()[0], Hash: w.rng.Uint64()}
		c, err := w.choose[h].Choose(now, &q)
		if err != nil || c.Upstream() == nil {
			w.refuse++
			continue
		}
		u, took := c.Upstream(), w.service
		if u.Name() == w.fast {
			took = 1
		}
		w.units[h][u]++
		w.flight[u]++
		w.peak = max(w.peak, w.flight[u])
		w.count[u]++
		w.mix[len(w.mix)-1][u.Region().Index()]++
		w.ends[i+took] = append(w.ends[i+took], end{h, u})
	}
}

func (w *world) tick(i int, now time.Time) {
	for h, g := range w.gauges {
		if i/250%4 == h%4 {
			for _, u := range w.plan.Upstreams() {
				if state, load := w.probe(w, u, i/1000); state != gauger.Unknown {
					g.OnHealth(u.Name(), state, now, now)
					g.OnLoad(u.Name(), load, now)
				}
			}
		}
		g.Evaluate(now)
		for j, r := range w.plan.Regions() {
			w.shifts[h].SetHealth("catalog", r.Name(), g.Factor(w.plan.Services()[0], j))
		}
		w.shifts[h].Step(now)
	}
	if i%1000 == 0 {
		w.mix = append(w.mix, make([]float64, len(w.plan.Regions())))
	}
}

// Guards against a Router that distributes calm traffic in another way than the
// operator's shares and equal upstreams, which the baseline gives.
func TestCalmTrafficIsDistributedAlike(t *testing.T) {
	a, b := newWorld(t, false, hosts, 1), newWorld(t, true, hosts, 1)
	a.run()
	b.run()
	assert.Equal(t, a.refuse+b.refuse, 0)
	for _, u := range a.plan.Upstreams() {
		x, y := float64(a.count[u]), float64(b.count[b.plan.Upstream(u.Name())])
		share := a.plan.Services()[0].Shares()[u.Region().Index()] / 5
		sigma := math.Sqrt(requests * share * (1 - share))
		t.Logf("%s: Router %v, Naive %v, expected %.0f ± %.0f", u.Name(), x, y, requests*share, sigma)
		assert.Check(t, math.Abs(x-requests*share) < 4*sigma && math.Abs(y-requests*share) < 4*sigma, u.Name())
	}
}

// shift returns the largest part of the served traffic that changed its region
// within 20 s, between seconds of the run. The mean of three seconds is used.
func (w *world) shift() float64 {
	most := 0.0
	for i := 0; i+2 < len(w.mix); i++ {
		for j := i + 1; j+2 < len(w.mix) && j <= i+20; j++ {
			sum := 0.0
			for r := range w.plan.Regions() {
				a := w.mix[i][r] + w.mix[i+1][r] + w.mix[i+2][r]
				b := w.mix[j][r] + w.mix[j+1][r] + w.mix[j+2][r]
				sum += max(b-a, 0)
			}
			most = max(most, sum/3000)
		}
	}
	return most
}

// Guards against the faults that break the baseline's promises. Each case
// counts what must not happen, for the Router and for the baseline.
func TestFaults(t *testing.T) {
	for name, c := range map[string]struct {
		live  int // hosts that the baseline believes in
		fault func(*world)
		count func(*world) float64
		bound float64
	}{
		"fast errors": {hosts, func(w *world) { w.fast = "bkk0" }, func(w *world) float64 { return float64(w.count[w.plan.Upstream("bkk0")]) }, requests / 2 / 5 / 2}, // half of an equal share,
		"stale host list, more traffic": {3, func(w *world) {
			probe := w.probe
			w.probe = func(w *world, u *planner.Upstream, s int) (gauger.State, int) {
				// Two of five upstreams fail, the others get their traffic.
				if u.Name()[3] < '4' && u.Region().Name() == "bkk" {
					return gauger.Failed, 0
				}
				return probe(w, u, s)
			}
		}, func(w *world) float64 { return float64(w.peak) }, slots},
		"region fails": {hosts, func(w *world) {
			w.probe = func(w *world, u *planner.Upstream, s int) (gauger.State, int) {
				if s >= 20 && u.Region().Name() == "bkk" {
					return gauger.Failed, 0
				}
				return gauger.Ready, w.flight[u]
			}
		}, (*world).shift, 0.1},
		"leaving by a peer's sign": {hosts, func(w *world) {
			probe := w.probe
			w.probe = func(w *world, u *planner.Upstream, s int) (gauger.State, int) {
				if s == 30 && u.Name() == "bkk0" {
					for _, g := range w.gauges {
						g.OnLeaving("bkk0", gauger.PeerSign, start.Add(30*time.Second))
					}
					w.count[u] = 0
				}
				if s >= 30 && u.Name() == "bkk0" {
					return gauger.Unknown, 0
				}
				return probe(w, u, s)
			}
		}, func(w *world) float64 { return float64(w.count[w.plan.Upstream("bkk0")]) }, 0},
	} {
		var got [2]float64
		for i, baseline := range []bool{false, true} {
			w := newWorld(t, baseline, c.live, 1)
			c.fault(w)
			w.run()
			got[i] = c.count(w)
			t.Logf("%s, baseline %v: counted %.3f, bound %.3f, refused %d of %d", name, baseline, got[i], c.bound, w.refuse, requests)
		}
		assert.Check(t, got[0] <= c.bound, "Router: %s", name)
		assert.Check(t, got[1] > c.bound, "the baseline keeps the promise, so the case shows nothing: %s", name)
	}
}

// Guards against a Router that follows a load of zero that is always reported,
// or old loads, instead of its own count, and against a cold upstream at full
// share.
func TestMisleadingLoads(t *testing.T) {
	for name, c := range map[string]struct {
		probe func(w *world, u *planner.Upstream, second int) (gauger.State, int)
		most  float64 // times an equal share
	}{
		"liar": {func(w *world, u *planner.Upstream, _ int) (gauger.State, int) {
			if u.Name() == "bkk0" {
				return gauger.Ready, 0
			}
			return gauger.Ready, w.flight[u]
		}, 1.25},
		"stale": {func(_ *world, u *planner.Upstream, s int) (gauger.State, int) {
			if u.Name() == "bkk0" && s == 0 {
				return gauger.Ready, 0
			}
			if s == 0 {
				return gauger.Ready, slots
			}
			return gauger.Unknown, 0
		}, 1.25},
		"cold": {func(w *world, u *planner.Upstream, s int) (gauger.State, int) {
			if u.Name() == "bkk0" && s < 30 {
				return gauger.Starting, 0
			}
			return gauger.Ready, w.flight[u]
		}, 0.4},
	} {
		w := newWorld(t, false, hosts, 1)
		w.probe = c.probe
		w.run()
		got := float64(w.count[w.plan.Upstream("bkk0")]) / (requests / 2 / 5)
		t.Logf("%s: %.3f of an equal share, peak %d of %d slots", name, got, w.peak, slots)
		assert.Check(t, got <= c.most && w.peak <= slots, name)
	}
}

// Guards against reports that are older than a request lasts and make all hosts
// crowd at the upstream that was idle then: two choices must not be worse than
// one random draw.
func TestOldReportsDoNotCrowd(t *testing.T) {
	var peak [2]int
	for i := range peak {
		w := newWorld(t, false, hosts, large)
		for h, c := range w.choose {
			if i == 1 {
				w.choose[h] = single{c.(*router.Router), w.rng}
			}
		}
		w.run()
		peak[i] = w.peak
	}
	t.Logf("largest number in flight at an upstream: two choices %d, one random draw %d", peak[0], peak[1])
	assert.Assert(t, peak[0] <= peak[1])
}
