package ranker_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/process/registrar"
	"dandeliontrack.example/dandeliontrack/internal/process/sequencer"
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
)

// workload describes simulated requests to upstreams that serve an object faster if it
// is in their cache. Time is virtual.
type workload struct {
	upstreams, slots int
	hosts            int
	objects          int
	cacheSize        int           // objects per upstream
	perSecond        float64       // requests
	cold, warm       time.Duration // service times
	target, deadline time.Duration
	length           time.Duration
	// cacheLossAt is the time at which all caches are emptied, 0 for never.
	cacheLossAt time.Duration
	// maxWarmUps is the largest accepted mean number of cold requests for an object.
	maxWarmUps int
	// slowness, of the upstreams and in steps of slownessStep, makes work take longer. The
	// upstreams report it and their load in responses. Hosts use reports from reportAge on.
	slowness     [][]float64
	reportAge    time.Duration
	threeFigures bool // the slowness is not reported
}

// outcome counts requests. The cold ones are among the others.
type outcome struct{ inTime, late, refused, cold int }

func (o outcome) total() int { return o.inTime + o.late + o.refused }

// event is the arrival of a request (upstream -1), the completion of one, or another step.
type event struct {
	at       time.Time
	upstream int
	req      *request
	do       func()
}

type request struct {
	object  uint64
	arrived time.Time
	host    int
	choice  ranker.Choice
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	x := old[len(old)-1]
	*e = old[:len(old)-1]
	return x
}

// chooser chooses the upstream of a request; a Choice without one refuses it.
type chooser func(h *host, now time.Time, object uint64) ranker.Choice

// host sees only its own requests and the load that upstreams report in responses.
type host struct {
	registrar *registrar.Registrar
	ranker    *ranker.Ranker
	rng       *rand.Rand
	workload  workload
	fleet     *simulation // for choices that know more than a host can
}

// server is an upstream with slots, a queue and a cache.
type server struct {
	running int
	queue   []*request
	cached  []uint64 // least recently used first
}

// touch reports whether the object is in the cache, and marks it as used.
func (s *server) touch(object uint64) bool {
	i := slices.Index(s.cached, object)
	if i >= 0 {
		s.cached = append(slices.Delete(s.cached, i, i+1), object)
	}
	return i >= 0
}

func (s *server) insert(object uint64, capacity int) {
	if s.touch(object) {
		return
	}
	s.cached = append(s.cached, object)
	if len(s.cached) > capacity {
		s.cached = s.cached[1:]
	}
}

func chooseWithRanker(h *host, now time.Time, object uint64) ranker.Choice {
	return h.ranker.Choose(now, "prices", &ranker.Query{
		Group: h.registrar.Group("prices"), Route: "prices", Regions: []string{"r"}, Weights: []float64{1},
		Object: object, RandomKey: h.rng.Uint64(), Remaining: h.workload.deadline, LatencyTarget: h.workload.target,
		ColdRate: func(*registrar.Upstream) float64 { return 0 },
	})
}

// chooseByTwoChoices chooses the less loaded of two random upstreams, without affinity.
func chooseByTwoChoices(h *host, now time.Time, _ uint64) ranker.Choice {
	all := h.registrar.Group("prices").Upstreams()
	a, b := all[h.rng.IntN(len(all))], all[h.rng.IntN(len(all))]
	if b.EstimatedLoad(now) < a.EstimatedLoad(now) {
		a = b
	}
	return ranker.Choice{Upstream: a, Slowness: 1}
}

// simulation is one run of a workload.
type simulation struct {
	workload workload
	choose   chooser
	rng      *rand.Rand
	hosts    []*host
	index    map[string]int
	servers  []*server
	queue    events
	out      outcome
	start    time.Time
	times    []time.Duration // of responses
}

func newSimulation(l workload, choose chooser, now time.Time) *simulation {
	s := &simulation{
		workload: l, choose: choose, start: now, rng: rand.New(rand.NewPCG(1, 2)), hosts: make([]*host, l.hosts),
		index: make(map[string]int), servers: make([]*server, l.upstreams),
	}
	for i := range s.hosts {
		r := registrar.New(map[string]string{"z": "r"})
		for u := range l.upstreams {
			id := fmt.Sprintf("u%d", u)
			s.index[id] = u
			r.Put(registrar.Registration{ID: id, Service: "prices", Address: id, Zone: "z", Slots: l.slots, RowVersion: sequencer.New(0, 1)}, now, true)
		}
		s.hosts[i] = &host{r, ranker.New("r"), rand.New(rand.NewPCG(uint64(i), 3)), l, s}
	}
	for i := range s.servers {
		s.servers[i] = new(server)
	}
	return s
}

func simulate(l workload, choose chooser) outcome { return runSimulation(l, choose).out }

func runSimulation(l workload, choose chooser) *simulation {
	start := time.Unix(1000, 0)
	w := newSimulation(l, choose, start)
	heap.Push(&w.queue, event{at: start, upstream: -1})
	cacheLost := l.cacheLossAt == 0
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if !cacheLost && e.at.Sub(start) >= l.cacheLossAt {
			cacheLost = true
			for _, s := range w.servers {
				s.cached = nil
			}
		}
		switch {
		case e.do != nil:
			e.do()
			continue
		case e.upstream >= 0:
			w.end(e)
			continue
		}
		w.arrive(e.at)
		if gap := time.Duration(w.rng.ExpFloat64() / l.perSecond * float64(time.Second)); e.at.Add(gap).Sub(start) < l.length {
			heap.Push(&w.queue, event{at: e.at.Add(gap), upstream: -1})
		}
	}
	return w
}

func (w *simulation) arrive(now time.Time) {
	req := &request{object: w.rng.Uint64N(uint64(w.workload.objects)) + 1, arrived: now, host: w.rng.IntN(w.workload.hosts)}
	req.choice = w.choose(w.hosts[req.host], now, req.object*0x9e3779b97f4a7c15)
	if req.choice.Upstream == nil {
		w.out.refused++
		return
	}
	req.choice.Upstream.BeginRequest()
	u := w.index[req.choice.Upstream.ID()]
	if s := w.servers[u]; s.running >= w.workload.slots {
		s.queue = append(s.queue, req)
		return
	}
	w.startRequest(u, req, now)
}

func (w *simulation) startRequest(u int, req *request, now time.Time) {
	s := w.servers[u]
	s.running++
	serviceTime := w.workload.warm
	if !s.touch(req.object) {
		serviceTime = w.workload.cold
		w.out.cold++
	}
	heap.Push(&w.queue, event{at: w.endOfWork(u, now, serviceTime), upstream: u, req: req})
}

func (w *simulation) end(e event) {
	s := w.servers[e.upstream]
	s.running--
	s.insert(e.req.object, w.workload.cacheSize)
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		w.startRequest(e.upstream, next, e.at)
	}
	w.finish(w.hosts[e.req.host], e.req, s, e)
}

func (w *simulation) finish(h *host, req *request, s *server, e event) {
	u, took, l := req.choice.Upstream, e.at.Sub(req.arrived), &w.workload
	w.times = append(w.times, took)
	u.EndRequest()
	load := registrar.Load{Running: s.running, Waiting: len(s.queue), Slots: l.slots}
	slowness := w.report(&req.choice, load, e)
	u.MarkWarm(req.object*0x9e3779b97f4a7c15, e.at)
	u.RecordSuccess(e.at, float64(took)/float64(max(h.ranker.ExpectedTime(&req.choice, slowness), time.Millisecond)))
	if len(s.queue) == 0 && req.choice.QueueWait == 0 {
		h.ranker.ObserveResponse(e.at, "prices", "prices", req.choice.Warm, "r", h.ranker.UsualTime("r", took, slowness))
	}
	if took <= l.target {
		w.out.inTime++
	} else {
		w.out.late++
	}
}

// slownessStep is the time for which the slowness of an upstream stays the same.
const slownessStep = 50 * time.Millisecond

func (w *simulation) slownessAt(u int, at time.Time) float64 {
	if w.workload.slowness == nil {
		return 1
	}
	steps := w.workload.slowness[u]
	return steps[max(0, int(at.Sub(w.start)/slownessStep))%len(steps)]
}

// endOfWork returns when work that usually takes the time usual ends.
func (w *simulation) endOfWork(u int, begin time.Time, usual time.Duration) time.Time {
	if w.workload.slowness == nil {
		return begin.Add(usual)
	}
	for {
		slowness := w.slownessAt(u, begin)
		step := slownessStep - begin.Sub(w.start)%slownessStep
		if end := time.Duration(float64(usual) * slowness); end <= step {
			return begin.Add(end)
		}
		usual -= time.Duration(float64(step) / slowness)
		begin = begin.Add(step)
	}
}

// report delivers the load in a response, and returns the slowness of the work as far as the
// host knows it.
func (w *simulation) report(c *ranker.Choice, load registrar.Load, e event) float64 {
	slowness := c.Slowness
	if !w.workload.threeFigures && w.workload.slowness != nil {
		load.SlownessPercent = int(100 * w.slownessAt(e.upstream, e.at))
		slowness = (slowness + 0.01*float64(load.SlownessPercent)) / 2
	}
	if w.workload.reportAge == 0 {
		c.Upstream.ReportLoad(load, e.at)
		return slowness
	}
	heap.Push(&w.queue, event{at: e.at.Add(w.workload.reportAge), do: func() { c.Upstream.ReportLoad(load, e.at) }})
	return slowness
}

// coldOverload offers 1.6 times the capacity of the slots if all caches are empty, and
// half of the capacity if all objects are cached.
var coldOverload = workload{
	upstreams: 14, slots: 9, hosts: 8, objects: 111, cacheSize: 60, perSecond: 640,
	cold: 360 * time.Millisecond, warm: 108 * time.Millisecond,
	target: 400 * time.Millisecond, deadline: 2 * time.Second, length: 20 * time.Second, maxWarmUps: 4,
}

// Guards against an overload that outlives its cause: while upstreams are overloaded,
// objects must not be sent to further upstreams that do not have them in their cache.
func TestWarmUpDoesNotSustainOverload(t *testing.T) {
	cacheLoss := coldOverload
	cacheLoss.cacheLossAt, cacheLoss.maxWarmUps = 10*time.Second, 8
	manyUpstreams := workload{
		upstreams: 90, slots: 9, hosts: 28, objects: 320, cacheSize: 20, perSecond: 600,
		cold: 2350 * time.Millisecond, warm: 590 * time.Millisecond,
		target: 1500 * time.Millisecond, deadline: 10 * time.Second, length: 40 * time.Second, maxWarmUps: 6,
	}
	// The cold service time exceeds the deadline of the route. When all requests for
	// objects that were in no cache were refused, they never got into one: a deployment
	// of this size refused 4% of the requests with 60% of the slots free.
	shortDeadline := manyUpstreams
	shortDeadline.deadline = 2300 * time.Millisecond
	for name, l := range map[string]workload{
		"cold start": coldOverload, "caches lost": cacheLoss, "many upstreams": manyUpstreams, "deadline below cold service time": shortDeadline,
	} {
		t.Run(name, func(t *testing.T) {
			ranked, random := simulate(l, chooseWithRanker), simulate(l, chooseByTwoChoices)
			t.Logf("ranker %+v, two choices %+v", ranked, random)
			assert.Assert(t, float64(ranked.inTime) >= 0.8*float64(ranked.total()), "%+v", ranked)
			assert.Assert(t, float64(ranked.refused) <= 0.008*float64(ranked.total()), "%+v", ranked)
			assert.Assert(t, ranked.cold <= l.maxWarmUps*l.objects, "%+v", ranked)
			assert.Assert(t, float64(ranked.inTime) > 1.5*float64(random.inTime), "ranker %+v, two choices %+v", ranked, random)
		})
	}
}

// Guards against hosts that send an object to different upstreams, and against changes
// of the set of upstreams that move objects of the remaining ones.
func TestObjectsStayOnTheirUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	build := func(without int) *registrar.Registrar {
		r := registrar.New(map[string]string{"z": "r"})
		for u := range 10 {
			if u != without {
				r.Put(registrar.Registration{ID: fmt.Sprintf("u%d", u), Service: "s", Address: "a", Zone: "z", Slots: 4, RowVersion: sequencer.New(0, 1)}, now, true)
			}
		}
		return r
	}
	choose := func(r *registrar.Registrar, object uint64) string {
		rk := ranker.New("r")
		q := ranker.Query{Group: r.Group("s"), Regions: []string{"r"}, Weights: []float64{1}, Object: object, Remaining: time.Second, LatencyTarget: time.Second}
		return rk.Choose(now, "s", &q).Upstream.ID()
	}
	all, less := build(-1), build(3)
	moved := 0
	for object := range uint64(500) {
		key := (object + 1) * 0x9e3779b97f4a7c15
		before := choose(all, key)
		assert.Equal(t, before, choose(build(-1), key))
		if after := choose(less, key); after != before {
			assert.Equal(t, before, "u3")
			moved++
		}
	}
	assert.Assert(t, moved > 20 && moved < 90, "%d of 500 objects were at one of 10 upstreams", moved)
}

// Guards against refusing a request that an upstream can serve in time, and against
// queues so long that every response is late.
func TestQueueWaitIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := registrar.New(map[string]string{"z": "r"})
	r.Put(registrar.Registration{ID: "u", Service: "s", Address: "a", Zone: "z", Slots: 2, RowVersion: sequencer.New(0, 1)}, now, true)
	u := r.Group("s").Upstreams()[0]
	rk := ranker.New("r")
	q := ranker.Query{Group: r.Group("s"), Regions: []string{"r"}, Weights: []float64{1}, Object: 7, Remaining: 2 * time.Second, LatencyTarget: 400 * time.Millisecond}
	u.MarkWarm(7, now)
	assert.Equal(t, rk.Choose(now, "s", &q).Upstream, u)
	for range 6 {
		u.BeginRequest()
	}
	c := rk.Choose(now, "s", &q)
	assert.Assert(t, c.Upstream == nil)
	assert.Assert(t, c.UntilCapacity > 0)
}

// Guards against objects that get into no cache because their cold service time exceeds
// the deadline of the route, and against sending requests that even an upstream with the
// object in its cache cannot serve in time.
func TestFirstRankedUpstreamWarmsObject(t *testing.T) {
	now := time.Unix(1000, 0)
	rk := ranker.New("r")
	for range 200 {
		rk.ObserveResponse(now, "s", "quotes", false, "r", 3*time.Second)
		rk.ObserveResponse(now, "s", "quotes", true, "r", 700*time.Millisecond)
	}
	for name, c := range map[string]struct {
		left time.Duration
		want bool
	}{
		"time for a cached object": {2500 * time.Millisecond, true},
		"time for no object":       {300 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(map[string]string{"z": "r"})
			for _, id := range []string{"a", "b", "c"} {
				r.Put(registrar.Registration{ID: id, Service: "s", Address: id, Zone: "z", Slots: 4, RowVersion: sequencer.New(0, 1)}, now, true)
			}
			q := ranker.Query{Group: r.Group("s"), Regions: []string{"r"}, Weights: []float64{1}, Object: 7, Route: "quotes", Remaining: c.left, LatencyTarget: time.Second}
			choice := rk.Choose(now, "s", &q)
			assert.Equal(t, choice.Upstream != nil, c.want)
			assert.Equal(t, choice.Rank, 0)
			if !c.want {
				assert.Assert(t, choice.Excluded.PastDeadline == 3 && choice.EarliestResponse > c.left, "%+v", choice)
			}
		})
	}
}

// Guards against refusing a request because other routes of its service are slow: with
// service times of 0.9 s on other routes, requests of new routes that take 2 ms were
// refused one second before the deadline.
func TestSlowRouteDoesNotExcludeOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	r := registrar.New(map[string]string{"z": "r"})
	r.Put(registrar.Registration{ID: "a", Service: "s", Address: "a", Zone: "z", Slots: 4, RowVersion: sequencer.New(0, 1)}, now, true)
	rk := ranker.New("r")
	for range 200 {
		rk.ObserveResponse(now, "s", "slow", false, "r", 3*time.Second)
		rk.ObserveResponse(now, "s", "quick", false, "r", 2*time.Millisecond)
	}
	rk.ObserveTimeout(now, "s", "endless", "r", 4*time.Second)
	rk.ObserveTimeout(now, "s", "quick", "r", 4*time.Second)
	for name, c := range map[string]struct {
		route string
		after time.Duration
		want  bool
	}{
		"too slow":           {"slow", 0, false},
		"quick":              {"quick", 0, true},
		"new":                {"new", 0, true},
		"timed out recently": {"endless", time.Second, false},
		"timed out long ago": {"endless", 10 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			q := ranker.Query{Group: r.Group("s"), Route: c.route, Regions: []string{"r"}, Weights: []float64{1}, RandomKey: 7, Remaining: time.Second, LatencyTarget: time.Second}
			choice := rk.Choose(now.Add(c.after), "s", &q)
			assert.Equal(t, choice.Upstream != nil, c.want, "%+v", choice)
		})
	}
}

// Guards against sending a cold upstream more than this host's rate limit allows.
func TestColdUpstreamRateIsLimited(t *testing.T) {
	now := time.Unix(1000, 0)
	r := registrar.New(map[string]string{"z": "r"})
	r.Put(registrar.Registration{ID: "u", Service: "s", Address: "a", Zone: "z", Slots: 8, ColdRemaining: 3 * time.Second, RowVersion: sequencer.New(0, 1)}, now, false)
	rk := ranker.New("r")
	sent := 0
	for i := range 100 {
		q := ranker.Query{
			Group: r.Group("s"), Regions: []string{"r"}, Weights: []float64{1}, RandomKey: uint64(i), Remaining: 2 * time.Second, LatencyTarget: time.Second,
			ColdRate: func(*registrar.Upstream) float64 { return 4 },
		}
		if rk.Choose(now.Add(time.Duration(i)*10*time.Millisecond), "s", &q).Upstream != nil {
			sent++
		}
	}
	assert.Equal(t, sent, 4)
}

// BenchmarkChoose measures one choice with 14 and 270 upstreams, as in current
// deployments, and with 2400, the size aimed at.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{14, 270, 2400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			r := registrar.New(map[string]string{"z0": "r0", "z1": "r1", "z2": "r2"})
			for u := range n {
				r.Put(registrar.Registration{ID: fmt.Sprintf("u%d", u), Service: "s", Address: "a", Zone: fmt.Sprintf("z%d", u%3), Slots: 9, RowVersion: sequencer.New(0, 1)}, now, true)
			}
			rk := ranker.New("r0")
			q := ranker.Query{
				Group: r.Group("s"), Regions: []string{"r0", "r1", "r2"}, Weights: []float64{0.4, 0.2, 0.4}, Remaining: time.Second, LatencyTarget: time.Second,
			}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				q.Object = uint64(i%300+1) * 0x9e3779b97f4a7c15
				if rk.Choose(now, "s", &q).Upstream == nil {
					b.Fatal("no upstream")
				}
			}
		})
	}
}
