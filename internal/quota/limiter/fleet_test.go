package limiter_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"google.golang.org/protobuf/proto"

	"dandeliontrack.example/dandeliontrack/internal/connection/framer"
	"dandeliontrack.example/dandeliontrack/internal/quota/limiter"
	"dandeliontrack.example/dandeliontrack/internal/version/authenticator"
)

const (
	step    = 5 * time.Millisecond
	regions = 3
)

var settings = limiter.Settings{Window: 5 * time.Second, Excess: 0.1, Slack: 20}

// method is a way to limit the requests of accounts on one host.
type method interface {
	SetQuotas(accounts []*authenticator.Account, now time.Time)
	SetFleet(live, known int, now time.Time)
	Resume(now time.Time)
	Allow(account string, now time.Time) bool
	Usage(now time.Time) []*framer.Usage
	Merge(usage []*framer.Usage, now time.Time)
}

// node is a host of a simulated fleet.
type node struct {
	method
	down     bool // the process is paused or ended
	group    int  // hosts of different groups can't reach each other
	nextSync time.Time
	syncs    int
	live     int
	liveAt   time.Time
	bytes    int
}

// fleet simulates hosts in virtual time. Half of the syncs go to the first host of the region.
type fleet struct {
	rand   *rand.Rand
	now    time.Time
	nodes  []*node
	build  func(name string, now time.Time) method
	quotas []*authenticator.Account
	mail   []mail
}

type mail struct {
	at       time.Time
	from, to int
	usage    []*framer.Usage
	reply    bool
}

func newFleet(seed uint64, hosts int, quotas []*authenticator.Account, build func(string, time.Time) method) *fleet {
	f := &fleet{rand: rand.New(rand.NewPCG(seed, 1)), now: time.Unix(1e9, 0), build: build, quotas: quotas}
	for range hosts {
		f.nodes = append(f.nodes, &node{live: hosts})
	}
	for i := range hosts {
		f.start(i)
	}
	return f
}

// start starts a new process of a host.
func (f *fleet) start(i int) {
	n := f.nodes[i]
	n.method, n.down, n.nextSync = f.build(fmt.Sprintf("host-%d", i), f.now), false, f.now
	n.SetQuotas(f.quotas, f.now)
	n.SetFleet(len(f.nodes), len(f.nodes), f.now)
}

func (f *fleet) reaches(a, b int) bool {
	return f.nodes[a].group == f.nodes[b].group && !f.nodes[a].down && !f.nodes[b].down
}

func (f *fleet) latency(a, b int) time.Duration {
	if a%regions == b%regions {
		return time.Millisecond + time.Duration(f.rand.IntN(15))*time.Millisecond
	}
	return 55*time.Millisecond + time.Duration(f.rand.IntN(20))*time.Millisecond
}

func (f *fleet) send(from, to int, reply bool) {
	n := f.nodes[from]
	usage := n.Usage(f.now)
	for _, u := range usage {
		n.bytes += proto.Size(u) + 2
	}
	f.mail = append(f.mail, mail{f.now.Add(f.latency(from, to)), from, to, usage, reply})
}

// tick advances the time by one step and delivers messages.
func (f *fleet) tick() {
	f.now = f.now.Add(step)
	for i, n := range f.nodes {
		if n.down {
			continue
		}
		f.detect(i)
		if f.now.Before(n.nextSync) {
			continue
		}
		n.nextSync = f.now.Add(100*time.Millisecond + time.Duration(f.rand.IntN(200))*time.Millisecond)
		to := f.rand.IntN(len(f.nodes))
		if n.syncs++; n.syncs%2 == 0 {
			to = i % regions
		}
		if to == i {
			continue
		}
		if !f.reaches(i, to) {
			n.nextSync = n.nextSync.Add(600 * time.Millisecond)
			continue
		}
		f.send(i, to, false)
	}
	due := f.mail
	f.mail = nil
	for _, m := range due {
		switch {
		case m.at.After(f.now):
			f.mail = append(f.mail, m)
		case f.reaches(m.from, m.to):
			f.nodes[m.to].Merge(m.usage, f.now)
			if !m.reply {
				f.send(m.to, m.from, true)
			}
		}
	}
}

// detect updates the number of live hosts 3 s after it changed.
func (f *fleet) detect(i int) {
	live := 0
	for j := range f.nodes {
		if j == i || f.reaches(i, j) {
			live++
		}
	}
	n := f.nodes[i]
	if live == n.live {
		n.liveAt = f.now
	} else if f.now.Sub(n.liveAt) > 3*time.Second {
		n.live = live
		n.SetFleet(live, len(f.nodes), f.now)
	}
}

// poisson returns a random number of arrivals.
func (f *fleet) poisson(mean float64) int {
	n, p, bound := 0, f.rand.Float64(), math.Exp(-mean)
	for ; p > bound; p *= f.rand.Float64() {
		n++
	}
	return n
}

// load is the demand for one account: requests per second by host at a time since the start.
type load struct {
	account string
	perHost func(at time.Duration) []float64
}

// tally holds the arrivals and admissions of an account by step.
type tally struct{ arrived, admitted, refused []int }

// run simulates the load, which begins after the hosts have found each other.
func (f *fleet) run(duration time.Duration, l load, events map[time.Duration]func()) *tally {
	for range int(2 * time.Second / step) {
		f.tick()
	}
	t := new(tally)
	for at := time.Duration(0); at < duration; at += step {
		if at == 10*time.Second {
			for _, n := range f.nodes {
				n.bytes = 0
			}
		}
		if e := events[at]; e != nil {
			e()
		}
		f.tick()
		f.arrive(t, l, at)
	}
	return t
}

// arrive simulates the requests of one step.
func (f *fleet) arrive(t *tally, l load, at time.Duration) {
	rates := l.perHost(at)
	var arrived, admitted int
	for _, i := range f.rand.Perm(len(rates)) {
		if rates[i] == 0 || f.nodes[i].down {
			continue
		}
		for range f.poisson(rates[i] * step.Seconds()) {
			arrived++
			if f.nodes[i].Allow(l.account, f.now) {
				admitted++
			}
		}
	}
	t.arrived = append(t.arrived, arrived)
	t.admitted = append(t.admitted, admitted)
	t.refused = append(t.refused, arrived-admitted)
}

// maxWindow returns the largest number of admissions within the window.
func (t *tally) maxWindow(window time.Duration) int {
	sum, largest := 0, 0
	for i, n := range t.admitted {
		sum += n
		if i >= int(window/step) {
			sum -= t.admitted[i-int(window/step)]
		}
		largest = max(largest, sum)
	}
	return largest
}

// wrongRefusals returns the refusals while a central token bucket with all arrivals would have
// at least a twentieth of its tokens.
func (t *tally) wrongRefusals(q authenticator.Quota) (n int) {
	tokens := q.Burst
	for i, arrived := range t.arrived {
		tokens = min(tokens+q.PerSecond*step.Seconds(), q.Burst)
		tokens -= min(tokens, float64(arrived))
		if tokens >= 1+q.Burst/20 {
			n += t.refused[i]
		}
	}
	return n
}

func sum(v []int) (out int) {
	for _, x := range v {
		out += x
	}
	return out
}

// spread returns the demand of each host: carriers get most of it.
func spread(hosts, carriers int, total float64) []float64 {
	out := make([]float64, hosts)
	tail := 0.0
	if hosts > carriers {
		tail = 0.1
	}
	for i := range out {
		if i < carriers {
			out[i] = total * (1 - tail) / float64(carriers)
		} else {
			out[i] = total * tail / float64(hosts-carriers)
		}
	}
	return out
}

func scaled(v []float64, by float64) []float64 {
	out := slices.Clone(v)
	for i := range out {
		out[i] *= by
	}
	return out
}
