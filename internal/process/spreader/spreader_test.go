package spreader

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/adapter"
	"dandeliontrack.example/dandeliontrack/internal/process/holder"
	"dandeliontrack.example/dandeliontrack/internal/process/publisher"
	"dandeliontrack.example/dandeliontrack/internal/version/noter"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

// Guards against a version that goes down on any host, and against hosts that
// stay apart after partitions, store outages, restarts and damaged answers.
func TestRandomSchedulesConverge(t *testing.T) {
	for seed := range uint64(40) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			w := newWorld(t, seed, 9)
			w.corrupt = 0.2
			for range 30 {
				w.run(time.Duration(w.rng.Int64N(int64(3 * time.Second))))
				name := w.names[w.rng.IntN(len(w.names))]
				switch w.rng.IntN(6) {
				case 0, 1, 2:
					w.publish(name)
				case 3:
					w.side[name] = w.rng.IntN(3)
				case 4:
					w.store.SetDown(w.rng.IntN(2) == 0)
				case 5:
					w.nodes[name].start()
				}
			}
			clear(w.side)
			down := w.rng.IntN(2) == 0
			w.store.SetDown(down)
			w.run(30 * time.Second)
			highest := uint64(0)
			for _, n := range w.nodes {
				highest = max(highest, n.h.Highest())
			}
			version, ok := w.agree()
			// Without the store a version is out of reach if all its holders
			// restarted; hosts then wait for it, at the same or older versions.
			assert.Assert(t, ok && version == highest || down && highest > version, "version %d of %d, agreed: %v", version, highest, ok)
			w.store.SetDown(false)
			w.run(70 * time.Second) // the longest wait for the store is 60 s
			reader := &node{w: w, name: "reader"}
			reader.start()
			assert.NilError(t, reader.pub.Refresh(t.Context()))
			version, ok = w.agree()
			assert.Assert(t, ok)
			assert.Equal(t, version, reader.h.Plan().Version())
		})
	}
}

// Guards against a version that reaches all hosts only by reads of the store,
// and against traffic that grows while nothing changes.
func TestSpreadWithoutStore(t *testing.T) {
	w := newWorld(t, 7, 12)
	w.run(5 * time.Second)
	assert.Equal(t, w.publish("h03"), uint64(1))
	w.store.SetDown(true)
	w.run(time.Second)
	version, ok := w.agree()
	assert.Assert(t, ok && version == 1)
	w.calls = 0
	w.run(10 * time.Second)
	first := w.calls
	w.run(30 * time.Second)
	assert.Equal(t, w.calls-first, 3*first)
	assert.Equal(t, first, 10*12*fanout)
}

// Guards against a new host that starts with an old version, or without any,
// while the store is down.
func TestNewHostWithoutStore(t *testing.T) {
	w := newWorld(t, 11, 8)
	w.run(5 * time.Second)
	w.publish("h01")
	w.run(time.Second)
	// h02 stays behind: it answers, but takes and asks for nothing.
	stale := w.nodes["h02"].s
	stale.SetPeers(nil, len(w.names))
	stale.collecting, stale.polling = true, true
	w.publish("h01")
	w.run(time.Second)
	w.store.SetDown(true)
	for _, name := range w.names {
		if name != "h02" {
			w.slow[name] = 500 * time.Millisecond
		}
		if name != "h03" {
			// The others don't know the new host yet.
			w.nodes[name].s.SetPeers(nil, len(w.names))
		}
	}
	n := w.nodes["h03"]
	// lowest starts the host 20 times and returns the lowest version in force
	// when it was ready.
	lowest := func(collect bool) uint64 {
		low := uint64(99)
		for range 20 {
			n.start()
			n.s.collecting = collect
			for range 3000 {
				if w.run(time.Millisecond); n.s.Ready() {
					break
				}
			}
			assert.Assert(t, n.s.Ready())
			low = min(low, n.h.Plan().Version())
		}
		return low
	}
	assert.Equal(t, lowest(false), uint64(1), "without the wait the first answer counts")
	assert.Equal(t, lowest(true), uint64(2))

	w.side["h03"] = 2
	n.start()
	w.run(time.Minute)
	assert.Assert(t, !n.s.Ready(), "neither peers nor the store answer")
	w.store.SetDown(false)
	w.run(2 * time.Minute)
	assert.Assert(t, n.s.Ready())
	assert.Equal(t, n.h.Plan().Version(), uint64(2))
}

// large returns a note of 1 MiB.
func large(base uint64) *noter.Note {
	service := noter.Service{
		Name: "s", Class: "lookup", Shares: map[string]int{"r": 1}, Cap: noter.Cap{Fraction: 1, Every: 1}, Timeout: 1,
		Routes: []noter.Route{{Method: "GET", Prefix: "/" + strings.Repeat("p", 1<<20), Class: "lookup"}},
	}
	n := &noter.Note{ID: fmt.Sprint("large", base), Base: base, Changed: noter.Items{Services: []noter.Service{service}}}
	if base == 0 {
		n.Added, n.Changed = n.Changed, noter.Items{}
		n.Added.Regions = []noter.Region{{Name: "r", Zones: []string{"z"}, Slots: 1}}
		n.Added.Upstreams = []noter.Upstream{{Name: "u", Service: "s", Region: "r", Zone: "z", Address: "10.0.0.1:80", Slots: 1, Connections: 1}}
	}
	return n
}

// Guards against a host far behind that can't catch up because its neighbours
// no longer keep the notes it needs, and against a fork that stays.
func TestGapAndForkAreRepairedByPeers(t *testing.T) {
	for name, fork := range map[string]bool{"gap": false, "fork": true} {
		t.Run(name, func(t *testing.T) {
			w := newWorld(t, 5, 4)
			w.run(3 * time.Second)
			w.side["h02"] = 1
			if fork {
				other := newWorld(t, 6, 1)
				other.publish("h00")
				wrong := other.nodes["h00"].h
				e, _ := wrong.Entry(1)
				assert.NilError(t, w.nodes["h02"].h.Install(wrong.Plan(), e))
			}
			// Twelve notes of 1 MiB are more than a host keeps.
			for i := range uint64(12) {
				_, err := w.nodes["h01"].pub.Publish(t.Context(), large(i))
				assert.NilError(t, err)
			}
			assert.Assert(t, w.nodes["h01"].h.Count() < 12)
			w.store.SetDown(true)
			delete(w.side, "h02")
			w.run(time.Minute)
			version, ok := w.agree()
			assert.Assert(t, ok)
			assert.Equal(t, version, uint64(12))
		})
	}
}

// Guards against more reads than 20 per second for a fleet of any size, with
// the store up, down and after it has recovered.
func TestStoreReads(t *testing.T) {
	for _, hosts := range []int{1, 12, 400, 5500} {
		for name, err := range map[string]error{"up": nil, "down": classifier.StoreDown.New("down")} {
			t.Run(fmt.Sprint(hosts, " hosts, store ", name), func(t *testing.T) {
				w := newWorld(t, 3, 0)
				s := New(new(holder.Holder), w.rng, w.now)
				s.SetPeers(nil, hosts)
				reads, span := 0, 2000*s.PollPeriod()
				for end := w.now.Add(span); w.now.Before(end); w.now = s.nextPoll {
					for _, a := range s.Tick(w.now) {
						if a.Poll {
							reads++
						}
					}
					s.HandlePollResult(w.now, err)
				}
				rate := float64(reads*hosts) / span.Seconds()
				assert.Assert(t, rate <= 20, "%v reads/s", rate)
				s.HandlePollResult(w.now, nil)
				assert.Assert(t, s.nextPoll.Sub(w.now) <= s.PollPeriod()*6/5)
			})
		}
	}
}

// Guards against a damaged note that is installed from a peer, and against the
// same peer being asked for it again at once.
func TestDamagedNoteIsRefused(t *testing.T) {
	w := newWorld(t, 2, 2)
	w.run(3 * time.Second)
	w.store.SetDown(true)
	x, y := w.nodes["h00"], w.nodes["h01"]
	source := publisher.New(adapter.New("http://p", "http://p", "http://p", time.Second, newWorld(t, 1, 0).store), y.h)
	_, err := source.Publish(t.Context(), accountNote("c", 0))
	assert.NilError(t, err)
	e, _ := y.h.Entry(1)
	e.Note = append(e.Note[:len(e.Note):len(e.Note)], ' ')
	_, err = x.s.HandleRequest(w.now, notes([]holder.Entry{e}))
	assert.Equal(t, classifier.Of(err), classifier.Invalid)
	pull := Action{To: "h01", Request: x.s.pull()}
	x.s.views["h01"].busy, x.s.views["h01"].version, x.s.pulling = 1, 1, true
	assert.Equal(t, len(x.s.HandleResponse(w.now, pull, notes([]holder.Entry{e}), nil)), 0)
	assert.Equal(t, x.h.Plan().Version(), uint64(0))
	w.run(5 * time.Second)
	assert.Equal(t, x.h.Plan().Version(), uint64(1))
}

// Guards against a driver that runs without a pause: a host that waits for its
// neighbours has heard of a version that it may not pull yet.
func TestNextIsInTheFuture(t *testing.T) {
	now := time.Unix(1000, 0)
	s := New(new(holder.Holder), rand.New(rand.NewPCG(1, 1)), now)
	s.SetPeers([]string{"a", "b"}, 3)
	for range 50 {
		e := &framer.Envelope{Address: "a", Body: &framer.Envelope_Digest{Digest: &framer.Digest{Version: 5, Chain: make([]byte, 32)}}}
		_, err := s.HandleRequest(now, e)
		assert.NilError(t, err)
		for _, a := range s.Tick(now) {
			if !a.Poll {
				s.HandleResponse(now, a, nil, classifier.TimedOut.New("silent"))
			}
		}
		assert.Assert(t, s.NextTick().After(now), "%v at %v", s.NextTick(), now)
		now = s.NextTick()
	}
}
