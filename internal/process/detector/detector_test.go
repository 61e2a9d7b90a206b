package detector_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/process/detector"
)

const (
	tickPeriod           = 100 * time.Millisecond
	maxUpdatesPerMessage = 8
)

// fleet runs detectors in lockstep on a simulated clock. A message arrives in the
// tick in which it is sent, unless the sender and the receiver are partitioned or
// the message is lost.
type fleet struct {
	now         time.Time
	rng         *rand.Rand
	hosts       []*host
	byAddr      map[string]*host
	partitioned func(a, b int) bool
	lossRate    float64
	messages    int
	updates     int
}

type host struct {
	index   int
	d       *detector.Detector
	paused  bool
	stopped bool
}

func newFleet(n int) *fleet {
	f := &fleet{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(1, uint64(n))), byAddr: make(map[string]*host), partitioned: func(int, int) bool { return false }}
	for i := range n {
		f.start(i, 1)
	}
	for _, h := range f.hosts {
		f.join(h)
	}
	return f
}

func address(i int) string { return fmt.Sprintf("127.0.%d.%d:1", i/250, i%250) }

func (f *fleet) start(i int, incarnation uint64) *host {
	h := &host{index: i, d: detector.New(&framer.Member{Name: fmt.Sprint("h", i), Address: address(i), Incarnation: incarnation}, f.now)}
	f.byAddr[address(i)] = h
	if i < len(f.hosts) {
		f.hosts[i] = h
	} else {
		f.hosts = append(f.hosts, h)
	}
	return h
}

// join performs the first full state sync of a host, with a seed from its settings.
func (f *fleet) join(h *host) { f.exchange(h, f.hosts[(h.index+1)%len(f.hosts)], true) }

func (f *fleet) reaches(a, b *host) bool {
	return b != nil && !b.stopped && !b.paused && !f.partitioned(a.index, b.index) && f.rng.Float64() >= f.lossRate
}

// exchange sends a message and its response, each with membership updates.
func (f *fleet) exchange(a, b *host, full bool) bool {
	return f.send(a, b, full) && f.send(b, a, full)
}

func (f *fleet) send(a, b *host, full bool) bool {
	out := a.d.Updates(maxUpdatesPerMessage)
	if full {
		out = a.d.FullState()
	}
	f.messages++
	f.updates += len(out)
	if !f.reaches(a, b) {
		return false
	}
	if full {
		b.d.MergeFullState(a.d.Self().Name, out, f.now)
	} else {
		b.d.MergeUpdates(out, f.now)
	}
	return true
}

func (f *fleet) run(d time.Duration) {
	for end := f.now.Add(d); f.now.Before(end); {
		f.now = f.now.Add(tickPeriod)
		for _, h := range f.hosts {
			if h.stopped || h.paused {
				continue
			}
			for _, p := range h.d.Step(f.now) {
				f.probe(h, p)
			}
		}
	}
}

func (f *fleet) probe(h *host, p detector.Probe) {
	target := f.byAddr[p.Address()]
	if via := f.byAddr[p.Via()]; via != nil {
		if !f.exchange(h, via, false) || !f.exchange(via, target, false) {
			return
		}
	} else if !f.exchange(h, target, p.FullSync()) {
		return
	}
	h.d.RecordAck(p.Target(), f.now)
}

func (h *host) stateOf(name string) detector.State {
	for _, m := range h.d.Members() {
		if m.Name == name {
			return detector.State(m.State)
		}
	}
	return detector.Dead
}

// count returns how many running hosts see the member in this state.
func (f *fleet) count(name string, want detector.State) int {
	n := 0
	for _, h := range f.hosts {
		if !h.stopped && h.d.Self().Name != name && h.stateOf(name) == want {
			n++
		}
	}
	return n
}

// Guards against members that are not discovered, failed hosts that stay alive in
// the membership, and hosts that are declared dead because of message loss.
func TestMembersFollowJoinFailureAndLeave(t *testing.T) {
	f := newFleet(12)
	f.lossRate = 0.05
	f.run(20 * time.Second)
	for i := range f.hosts {
		assert.Equal(t, f.count(fmt.Sprint("h", i), detector.Alive), 11, "h%d", i)
	}
	f.run(2 * time.Minute)
	for i := range f.hosts {
		assert.Equal(t, f.count(fmt.Sprint("h", i), detector.Dead), 0, "h%d", i)
	}
	f.hosts[3].stopped = true
	f.run(25 * time.Second)
	assert.Equal(t, f.count("h3", detector.Dead), 11)
	f.join(f.start(3, 1))
	f.run(20 * time.Second)
	assert.Equal(t, f.count("h3", detector.Alive), 11, "a new process with the same name and incarnation")
	f.hosts[5].d.Leave()
	f.run(10 * time.Second)
	assert.Equal(t, f.count("h5", detector.Left), 11)
}

// Guards against a host that declares the others dead when it resumes after a pause
// of its process, and against others that keep it as dead.
func TestPausedHostKeepsOthersAlive(t *testing.T) {
	f := newFleet(8)
	f.run(20 * time.Second)
	f.hosts[2].paused = true
	f.run(30 * time.Second)
	assert.Equal(t, f.count("h2", detector.Dead), 7)
	f.hosts[2].paused = false
	f.run(tickPeriod)
	assert.Assert(t, f.hosts[2].d.LocalHealthMultiplier() > 0)
	for range 100 {
		f.run(tickPeriod)
		for i := range f.hosts {
			if i != 2 {
				assert.Assert(t, f.hosts[2].stateOf(fmt.Sprint("h", i)) < detector.Left)
			}
		}
	}
	f.run(20 * time.Second)
	assert.Equal(t, f.count("h2", detector.Alive), 7)
}

// Guards against a membership that stays split after a partition: during it each
// side declares the other dead, and afterwards both must merge.
func TestMembersMergeAfterPartition(t *testing.T) {
	f := newFleet(12)
	f.run(20 * time.Second)
	f.partitioned = func(a, b int) bool { return (a < 4) != (b < 4) }
	f.run(3 * time.Minute)
	assert.Equal(t, f.hosts[0].stateOf("h8"), detector.Dead)
	assert.Equal(t, f.hosts[0].stateOf("h1"), detector.Alive)
	f.partitioned = func(int, int) bool { return false }
	f.run(30 * time.Second)
	for i := range f.hosts {
		assert.Equal(t, f.count(fmt.Sprint("h", i), detector.Alive), 11, "h%d", i)
	}
}

// Guards against messages and sessions per host that grow faster than the logarithm
// of the fleet size.
func TestTrafficGrowsLogarithmically(t *testing.T) {
	for _, n := range []int{8, 64} {
		f := newFleet(n)
		f.run(time.Minute)
		f.messages, f.updates = 0, 0
		f.run(time.Minute)
		perHost := float64(f.messages) / 60 / float64(n)
		sessions := len(f.hosts[n/2].d.Neighbours())
		t.Logf("%d hosts: %.2f messages and %.2f updates sent per host and second, %d neighbours", n, perHost, float64(f.updates)/60/float64(n), sessions)
		assert.Assert(t, perHost <= 2.5)
		limit := 1
		for 1<<limit <= n {
			limit++
		}
		assert.Assert(t, sessions <= limit)
	}
}

// Guards against invalid updates from the network that change the membership.
func TestInvalidUpdatesAreIgnored(t *testing.T) {
	d := detector.New(&framer.Member{Name: "a", Address: "127.0.0.1:1", Incarnation: 5}, time.Unix(1, 0))
	tests := map[string]*framer.Member{
		"no name":       {Address: "127.0.0.2:1"},
		"no address":    {Name: "b"},
		"unknown state": {Name: "b", Address: "127.0.0.2:1", State: 99},
		"unknown dead":  {Name: "b", Address: "127.0.0.2:1", State: uint32(detector.Dead)},
	}
	for name, u := range tests {
		t.Run(name, func(t *testing.T) {
			d.MergeUpdates([]*framer.Member{u}, time.Unix(2, 0))
			assert.Equal(t, len(d.Members()), 0)
		})
	}
}

// Guards against hosts that start together with one seed and don't discover each
// other until the next full state sync, because members discovered by a full state
// sync are not transmitted further.
func TestHostsJoinThroughOneSeed(t *testing.T) {
	for seed := range uint64(20) {
		f := &fleet{now: time.Unix(1000, 0), rng: rand.New(rand.NewPCG(seed, 24)), byAddr: make(map[string]*host), partitioned: func(int, int) bool { return false }}
		for i := range 24 {
			f.start(i, 1)
		}
		for _, i := range f.rng.Perm(23) {
			f.exchange(f.hosts[i+1], f.hosts[0], true)
		}
		f.run(time.Minute)
		missing := 0
		for _, h := range f.hosts {
			missing += 23 - len(h.d.Members())
		}
		assert.Check(t, missing == 0, "seed %d: after one minute, %d members are missing in the views of other hosts", seed, missing)
	}
}
