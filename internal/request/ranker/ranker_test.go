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
	"dandeliontrack.example/dandeliontrack/internal/request/ranker"
)

// load is a pattern of requests against upstreams that answer an object faster
// if they answered it before. Time is virtual.
type load struct {
	upstreams, slots int
	hosts            int
	objects          int
	keeps            int // objects that an upstream remembers
	perSecond        float64
	cold, warm       time.Duration
	target, deadline time.Duration
	length           time.Duration
	// lost forgets all objects everywhere at this time, 0 for never.
	lost time.Duration
	// teach bounds how often an object is learned on average.
	teach int
}

type outcome struct{ inTime, late, refused, cold int }

func (o outcome) total() int { return o.inTime + o.late + o.refused }

// event is an arrival (upstream -1) or the end of a request's work.
type event struct {
	at       time.Time
	upstream int
	req      *request
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

// chooser decides where a request goes; nil refuses it.
type chooser func(h *host, now time.Time, object uint64) ranker.Choice

// host is one of several that see only their own requests and the load that
// comes with answers.
type host struct {
	registrar *registrar.Registrar
	ranker    *ranker.Ranker
	rng       *rand.Rand
	load      load
}

type server struct {
	running int
	queue   []*request
	known   []uint64 // least recently used first
}

// use reports whether the server knows the object.
func (s *server) use(object uint64) bool {
	i := slices.Index(s.known, object)
	if i >= 0 {
		s.known = append(slices.Delete(s.known, i, i+1), object)
	}
	return i >= 0
}

func (s *server) learn(object uint64, keeps int) {
	if s.use(object) {
		return
	}
	s.known = append(s.known, object)
	if len(s.known) > keeps {
		s.known = s.known[1:]
	}
}

func product(h *host, now time.Time, object uint64) ranker.Choice {
	return h.ranker.Choose(now, "prices", &ranker.Query{
		Group: h.registrar.Group("prices"), Route: "prices", Regions: []string{"r"}, Weights: []float64{1},
		Object: object, RandomKey: h.rng.Uint64(), Remaining: h.load.deadline, LatencyTarget: h.load.target,
		ColdRate: func(*registrar.Upstream) float64 { return 0 },
	})
}

// twoChoices is the plain power of two choices by load, without affinity.
func twoChoices(h *host, now time.Time, _ uint64) ranker.Choice {
	all := h.registrar.Group("prices").Upstreams()
	a, b := all[h.rng.IntN(len(all))], all[h.rng.IntN(len(all))]
	if b.EstimatedLoad(now) < a.EstimatedLoad(now) {
		a = b
	}
	return ranker.Choice{Upstream: a}
}

// world is one run of a load.
type world struct {
	load    load
	choose  chooser
	rng     *rand.Rand
	hosts   []*host
	index   map[string]int
	servers []*server
	queue   events
	out     outcome
}

func newWorld(l load, choose chooser, now time.Time) *world {
	w := &world{
		load: l, choose: choose, rng: rand.New(rand.NewPCG(1, 2)), hosts: make([]*host, l.hosts),
		index: make(map[string]int), servers: make([]*server, l.upstreams),
	}
	for i := range w.hosts {
		r := registrar.New(map[string]string{"z": "r"})
		for u := range l.upstreams {
			id := fmt.Sprintf("u%d", u)
			w.index[id] = u
			r.Put(registrar.Registration{ID: id, Service: "prices", Address: id, Zone: "z", Slots: l.slots, RowVersion: 1}, now, true)
		}
		w.hosts[i] = &host{r, ranker.New("r"), rand.New(rand.NewPCG(uint64(i), 3)), l}
	}
	for i := range w.servers {
		w.servers[i] = new(server)
	}
	return w
}

func play(l load, choose chooser) outcome {
	start := time.Unix(1000, 0)
	w := newWorld(l, choose, start)
	heap.Push(&w.queue, event{at: start, upstream: -1})
	lost := l.lost == 0
	for len(w.queue) > 0 {
		e := heap.Pop(&w.queue).(event)
		if !lost && e.at.Sub(start) >= l.lost {
			lost = true
			for _, s := range w.servers {
				s.known = nil
			}
		}
		if e.upstream >= 0 {
			w.end(e)
			continue
		}
		w.arrive(e.at)
		if gap := time.Duration(w.rng.ExpFloat64() / l.perSecond * float64(time.Second)); e.at.Add(gap).Sub(start) < l.length {
			heap.Push(&w.queue, event{at: e.at.Add(gap), upstream: -1})
		}
	}
	return w.out
}

func (w *world) arrive(now time.Time) {
	req := &request{object: w.rng.Uint64N(uint64(w.load.objects)) + 1, arrived: now, host: w.rng.IntN(w.load.hosts)}
	req.choice = w.choose(w.hosts[req.host], now, req.object*0x9e3779b97f4a7c15)
	if req.choice.Upstream == nil {
		w.out.refused++
		return
	}
	req.choice.Upstream.BeginRequest()
	u := w.index[req.choice.Upstream.ID()]
	if s := w.servers[u]; s.running >= w.load.slots {
		s.queue = append(s.queue, req)
		return
	}
	w.run(u, req, now)
}

func (w *world) run(u int, req *request, now time.Time) {
	s := w.servers[u]
	s.running++
	work := w.load.warm
	if !s.use(req.object) {
		work = w.load.cold
		w.out.cold++
	}
	heap.Push(&w.queue, event{at: now.Add(work), upstream: u, req: req})
}

func (w *world) end(e event) {
	s := w.servers[e.upstream]
	s.running--
	s.learn(e.req.object, w.load.keeps)
	if len(s.queue) > 0 {
		next := s.queue[0]
		s.queue = s.queue[1:]
		w.run(e.upstream, next, e.at)
	}
	finish(w.hosts[e.req.host], e.req, s, e.at, &w.out, w.load)
}

func finish(h *host, req *request, s *server, now time.Time, out *outcome, l load) {
	u, took := req.choice.Upstream, now.Sub(req.arrived)
	u.EndRequest()
	u.ReportLoad(registrar.Load{Running: s.running, Waiting: len(s.queue), Slots: l.slots}, now)
	u.MarkWarm(req.object*0x9e3779b97f4a7c15, now)
	u.RecordSuccess(now, float64(took)/float64(max(req.choice.QueueWait+req.choice.UnloadedLatency, time.Millisecond)))
	if len(s.queue) == 0 && req.choice.QueueWait == 0 {
		h.ranker.ObserveResponse(now, "prices", "prices", req.choice.Warm, "r", took)
	}
	if took <= l.target {
		out.inTime++
	} else {
		out.late++
	}
}

// heavy offers 1.6 times what the slots can run if no upstream knows its
// objects, and half of it if all do.
var heavy = load{
	upstreams: 14, slots: 9, hosts: 8, objects: 111, keeps: 60, perSecond: 640,
	cold: 360 * time.Millisecond, warm: 108 * time.Millisecond,
	target: 400 * time.Millisecond, deadline: 2 * time.Second, length: 20 * time.Second, teach: 4,
}

// Guards against an overload that outlives its cause: while upstreams are behind,
// objects must not be spread over upstreams that have to learn them.
func TestWarmUpDoesNotSustainOverload(t *testing.T) {
	lost := heavy
	lost.lost, lost.teach = 10*time.Second, 8
	grown := load{
		upstreams: 90, slots: 9, hosts: 28, objects: 320, keeps: 20, perSecond: 600,
		cold: 2350 * time.Millisecond, warm: 590 * time.Millisecond,
		target: 1500 * time.Millisecond, deadline: 10 * time.Second, length: 40 * time.Second, teach: 6,
	}
	// Requests for objects that nobody knows take longer than their route allows.
	// Refusing them all kept the objects unknown: on the grown deployment, 4 of 100
	// requests of a quiet day were refused with 60% of the slots free.
	short := grown
	short.deadline = 2300 * time.Millisecond
	for name, l := range map[string]load{
		"cold start": heavy, "objects lost": lost, "many upstreams": grown, "deadline below cold work": short,
	} {
		t.Run(name, func(t *testing.T) {
			own, naive := play(l, product), play(l, twoChoices)
			t.Logf("product %+v, two choices %+v", own, naive)
			assert.Assert(t, float64(own.inTime) >= 0.8*float64(own.total()), "%+v", own)
			assert.Assert(t, float64(own.refused) <= 0.008*float64(own.total()), "%+v", own)
			assert.Assert(t, own.cold <= l.teach*l.objects, "%+v", own)
			assert.Assert(t, float64(own.inTime) > 1.5*float64(naive.inTime), "product %+v, two choices %+v", own, naive)
		})
	}
}

// Guards against an affinity that differs between hosts, and against changes of
// the upstreams that move objects without need.
func TestObjectsStayOnTheirUpstream(t *testing.T) {
	now := time.Unix(1000, 0)
	build := func(without int) *registrar.Registrar {
		r := registrar.New(map[string]string{"z": "r"})
		for u := range 10 {
			if u != without {
				r.Put(registrar.Registration{ID: fmt.Sprintf("u%d", u), Service: "s", Address: "a", Zone: "z", Slots: 4, RowVersion: 1}, now, true)
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

// Guards against refusing while an upstream could answer in time, and against
// queues that make every answer late.
func TestQueueWaitIsBounded(t *testing.T) {
	now := time.Unix(1000, 0)
	r := registrar.New(map[string]string{"z": "r"})
	r.Put(registrar.Registration{ID: "u", Service: "s", Address: "a", Zone: "z", Slots: 2, RowVersion: 1}, now, true)
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

// Guards against objects that nobody learns because the work of learning one takes
// longer than its route allows, and against requests that cannot be served in time
// even by an upstream that knows the object.
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
		"time for a known object": {2500 * time.Millisecond, true},
		"no time for any":         {300 * time.Millisecond, false},
	} {
		t.Run(name, func(t *testing.T) {
			r := registrar.New(map[string]string{"z": "r"})
			for _, id := range []string{"a", "b", "c"} {
				r.Put(registrar.Registration{ID: id, Service: "s", Address: id, Zone: "z", Slots: 4, RowVersion: 1}, now, true)
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

// Guards against requests that are refused because requests of other routes of the
// service take long. On a deployment whose work took 0.9 s, requests of new routes
// that take 2 ms were refused with a second left, as no answer was expected in time.
func TestSlowRouteDoesNotExcludeOthers(t *testing.T) {
	now := time.Unix(1000, 0)
	r := registrar.New(map[string]string{"z": "r"})
	r.Put(registrar.Registration{ID: "a", Service: "s", Address: "a", Zone: "z", Slots: 4, RowVersion: 1}, now, true)
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
		"too slow":               {"slow", 0, false},
		"quick":                  {"quick", 0, true},
		"new":                    {"new", 0, true},
		"exceeded its time":      {"endless", time.Second, false},
		"exceeded it long since": {"endless", 10 * time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			q := ranker.Query{Group: r.Group("s"), Route: c.route, Regions: []string{"r"}, Weights: []float64{1}, RandomKey: 7, Remaining: time.Second, LatencyTarget: time.Second}
			choice := rk.Choose(now.Add(c.after), "s", &q)
			assert.Equal(t, choice.Upstream != nil, c.want, "%+v", choice)
		})
	}
}

// Guards against a cold upstream that gets more than this host's part.
func TestColdUpstreamRateIsLimited(t *testing.T) {
	now := time.Unix(1000, 0)
	r := registrar.New(map[string]string{"z": "r"})
	r.Put(registrar.Registration{ID: "u", Service: "s", Address: "a", Zone: "z", Slots: 8, ColdRemaining: 3 * time.Second, RowVersion: 1}, now, false)
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

// BenchmarkChoose measures one decision with the upstreams of today and of the
// target's size.
func BenchmarkChoose(b *testing.B) {
	for _, n := range []int{14, 270, 2400} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			now := time.Unix(1000, 0)
			r := registrar.New(map[string]string{"z0": "r0", "z1": "r1", "z2": "r2"})
			for u := range n {
				r.Put(registrar.Registration{ID: fmt.Sprintf("u%d", u), Service: "s", Address: "a", Zone: fmt.Sprintf("z%d", u%3), Slots: 9, RowVersion: 1}, now, true)
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
