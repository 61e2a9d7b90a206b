package spreader

import (
	"container/heap"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/process/publisher"
	"dandeliontrack.example/dandeliontrack/internal/standin/platformer"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/internal/version/planner"
)

// ring returns the neighbours of a host: offsets 1, 2, 4 … to both sides.
func ring(self int, hosts []string) []string {
	var out []string
	for step := 1; step < len(hosts); step *= 2 {
		for _, i := range []int{(self + step) % len(hosts), (self - step + len(hosts)) % len(hosts)} {
			if i != self && !slices.Contains(out, hosts[i]) {
				out = append(out, hosts[i])
			}
		}
	}
	return out
}

func accountNote(id string, base uint64) *noter.Note {
	return &noter.Note{ID: id, Base: base, Added: noter.Items{ClientAccounts: []noter.ClientAccount{{Name: id, Hold: "stay"}}}}
}

type event struct {
	at  time.Time
	seq int
	run func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	x := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return x
}

// world runs Spreaders in virtual time on one goroutine, so a seed gives one
// schedule.
type world struct {
	t       testing.TB
	rng     *rand.Rand
	now     time.Time
	seq     int
	queue   events
	store   *platformer.Platformer
	names   []string
	nodes   map[string]*node
	side    map[string]int           // hosts on different sides can't talk
	slow    map[string]time.Duration // added to what is sent to a host
	fixed   time.Duration            // one-way delay, random if 0
	corrupt float64                  // fraction of answers that are damaged on the way
	polls   int
	calls   int
	pushed  int
}

type node struct {
	w    *world
	name string
	h    *holder.Holder
	pub  *publisher.Publisher
	s    *Spreader
	life int
}

func newWorld(t testing.TB, seed uint64, hosts int) *world {
	w := &world{
		t: t, rng: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0), store: new(platformer.Platformer),
		nodes: make(map[string]*node), side: make(map[string]int), slow: make(map[string]time.Duration),
	}
	for i := range hosts {
		w.names = append(w.names, fmt.Sprintf("h%02d", i))
	}
	for _, name := range w.names {
		w.nodes[name] = &node{w: w, name: name}
		w.nodes[name].start()
	}
	return w
}

func (w *world) after(d time.Duration, run func()) {
	w.seq++
	heap.Push(&w.queue, event{w.now.Add(d), w.seq, run})
}

func (w *world) run(span time.Duration) {
	end := w.now.Add(span)
	for len(w.queue) > 0 && !w.queue[0].at.After(end) {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.run()
	}
	w.now = end
}

// start begins a new life of the host, without any state.
func (n *node) start() {
	n.life++
	n.h = new(holder.Holder)
	last := uint64(0)
	n.h.OnInstall(func(p *planner.Plan) {
		assert.Assert(n.w.t, p.Version() > last, "%s goes from version %d to %d", n.name, last, p.Version())
		last = p.Version()
	})
	store := adapter.New("http://p", "http://p", "http://p", time.Second, n.w.store)
	n.pub = publisher.New(store, n.h)
	n.s = New(n.h, n.w.rng, n.w.now)
	n.s.SetPeers(ring(slices.Index(n.w.names, n.name), n.w.names), len(n.w.names))
	n.tick(n.life)
}

func (n *node) tick(life int) {
	if life != n.life {
		return
	}
	n.do(n.s.Tick(n.w.now))
	n.w.after(max(time.Millisecond, min(n.s.NextTick().Sub(n.w.now), time.Second)), func() { n.tick(life) })
}

func (n *node) do(actions []Action) {
	life := n.life
	for _, a := range actions {
		if a.Poll {
			n.w.polls++
			n.w.after(n.w.delay(), func() {
				if life == n.life {
					n.s.HandlePollResult(n.w.now, n.pub.Refresh(n.w.t.Context()))
					n.do(n.s.Tick(n.w.now))
				}
			})
			continue
		}
		n.w.calls++
		n.w.after(n.w.delay()+n.w.slow[a.To], func() { n.deliver(life, a) })
	}
}

func (w *world) delay() time.Duration {
	if w.fixed > 0 {
		return w.fixed
	}
	return time.Millisecond + time.Duration(w.rng.Int64N(int64(80*time.Millisecond)))
}

func (n *node) deliver(life int, a Action) {
	w := n.w
	a.Request.Address = n.name
	var reply *framer.Envelope
	err := errors.New("unreachable")
	if w.side[n.name] == w.side[a.To] {
		to := w.nodes[a.To]
		reply, err = to.s.HandleRequest(w.now, proto.Clone(a.Request).(*framer.Envelope))
		to.do(to.s.Tick(w.now))
	}
	if reply != nil {
		reply = proto.Clone(reply).(*framer.Envelope)
		if m := reply.GetNotes(); m != nil && w.rng.Float64() < w.corrupt {
			m.Notes[0][len(m.Notes[0])/2] ^= 1
		}
	}
	w.after(w.delay(), func() {
		if life == n.life && w.side[n.name] == w.side[a.To] {
			n.do(n.s.HandleResponse(w.now, a, reply, err))
			n.do(n.s.Tick(w.now))
		} else if life == n.life {
			n.do(n.s.HandleResponse(w.now, a, nil, errors.New("timeout")))
		}
	})
}

// publish publishes the next note through the host and reports the version.
func (w *world) publish(name string) uint64 {
	n := w.nodes[name]
	w.pushed++
	pub, err := n.pub.Publish(w.t.Context(), accountNote(fmt.Sprint("c", w.pushed), n.h.Plan().Version()))
	n.do(n.s.Tick(w.now))
	if err != nil {
		return 0
	}
	return pub.Version()
}

func (w *world) agree() (uint64, bool) {
	first := w.nodes[w.names[0]].h.Plan()
	for _, n := range w.nodes {
		if n.h.Plan().Chain() != first.Chain() {
			return first.Version(), false
		}
	}
	return first.Version(), true
}
