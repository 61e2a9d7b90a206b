package controller_test

import (
	"math"
	"math/rand/v2"
	"time"

	"dandeliontrack.example/dandeliontrack/internal/admission/controller"
)

const (
	modelStep     = 5 * time.Millisecond
	modelBin      = 100 * time.Millisecond
	modelSlots    = 3
	modelQueue    = 3 // queued requests per slot
	modelAttempts = 2
	modelTarget   = 300 * time.Millisecond
	modelWork     = 0.06 // seconds, of a usual request
)

// class is a kind of request in a model.
type class struct {
	urgency  int
	work     float64                   // mean service time as a multiple of modelWork
	rate     func(t float64) float64   // offered work at t seconds as a fraction of the capacity
	account  func(r *rand.Rand) string // nil for none
	region   int
	timeout  time.Duration
	offered  [3]float64 // new requests before, during and after the load
	served   [3]float64
	accounts map[string]*[2]float64 // offered and served requests of accounts during the load
}

// model is a service whose upstreams queue requests, hosts that each have a controller and see
// the queues as they were some time ago, and callers that honour Retry-After and return once.
type model struct {
	classes      []*class
	hosts        int
	upstreams    int // in each region
	regions      int
	delay        time.Duration
	capacity     func(t float64) float64 // fraction of the upstreams that run; nil for all
	begin        float64                 // of the load, in seconds
	end          float64
	length       float64
	uncontrolled bool // all requests have the same urgency for the controllers

	controllers           []*controller.Controller
	backlog               [][]float64 // seconds until a queue is empty, by upstream
	history               [][][]float64
	returns               map[int][]arrival
	random                *rand.Rand
	step                  int
	running               int
	usedWork              float64     // during the load, after its first two seconds
	idleWork              float64     // work that a slot without a queue could have done in that time
	own                   [][]ownWork // by host
	refusing              []bool      // by controller
	maxChanges            int         // most controllers that begin or end to refuse from one modelBin to the next
	lastClosed            float64     // time of the last refusal by a controller
	returned, maxReturned int         // returns in the current modelBin, and most in one
}

type arrival struct {
	class    *class
	account  string
	host     int
	returned bool
}

var epoch = time.Unix(1000, 0)

func (m *model) now() time.Time { return epoch.Add(time.Duration(m.step) * modelStep) }

func (m *model) run(seed uint64) {
	m.random = rand.New(rand.NewPCG(seed, 1))
	m.returns = make(map[int][]arrival)
	m.regions = max(1, m.regions)
	var urgencies []int
	for _, c := range m.classes {
		c.accounts = make(map[string]*[2]float64)
		if c.work == 0 {
			c.work = 1
		}
		if c.timeout == 0 {
			c.timeout = 3 * time.Second
		}
		if len(urgencies) == 0 || urgencies[len(urgencies)-1] < c.urgency {
			urgencies = append(urgencies, c.urgency)
		}
	}
	for h := range m.hosts {
		c := controller.New(seed<<16+uint64(h), epoch)
		c.SetUrgencies(map[string][]int{"s": urgencies})
		m.controllers = append(m.controllers, c)
		m.own = append(m.own, make([]ownWork, m.regions*m.upstreams))
	}
	if m.uncontrolled {
		for _, c := range m.controllers {
			c.SetUrgencies(map[string][]int{"s": {0}})
		}
	}
	m.refusing = make([]bool, m.hosts)
	m.backlog = m.newQueues()
	for range m.delay/modelStep + 1 {
		m.history = append(m.history, m.newQueues())
	}
	for m.step = 0; float64(m.step)*modelStep.Seconds() < m.length; m.step++ {
		m.advance()
	}
}

func (m *model) newQueues() [][]float64 {
	out := make([][]float64, m.regions)
	for r := range out {
		out[r] = make([]float64, m.upstreams)
	}
	return out
}

// advance simulates one step.
func (m *model) advance() {
	t := float64(m.step) * modelStep.Seconds()
	m.running = m.upstreams
	if m.capacity != nil {
		m.running = int(math.Round(m.capacity(t) * float64(m.upstreams)))
	}
	m.record(t)
	for _, a := range m.returns[m.step] {
		m.returned++
		m.serve(a, t)
	}
	delete(m.returns, m.step)
	for _, c := range m.classes {
		perSecond := c.rate(t) * float64(m.upstreams*modelSlots) / (modelWork * c.work)
		for range m.poisson(perSecond * modelStep.Seconds()) {
			a := arrival{class: c, host: m.random.IntN(m.hosts/m.regions)*m.regions + c.region}
			if c.account != nil {
				a.account = c.account(m.random)
				c.countAccount(a.account, 0, m.phase(t))
			}
			c.offered[m.phase(t)]++
			m.serve(a, t)
		}
	}
}

// record updates the queues, their history and the states of the controllers.
func (m *model) record(t float64) {
	past := m.history[m.step%len(m.history)]
	for r, queues := range m.backlog {
		for u := range queues {
			if u >= m.running {
				queues[u] = 0
				continue
			}
			if t >= m.begin+2 && t < m.end {
				m.usedWork += min(queues[u], modelStep.Seconds())
				m.idleWork += max(0, modelStep.Seconds()-queues[u])
			}
			queues[u] = max(0, queues[u]-modelStep.Seconds())
		}
		copy(past[r], queues)
	}
	if m.step%int(modelBin/modelStep) != 0 {
		return
	}
	changes := 0
	for i, c := range m.controllers {
		levels := c.Report(m.now())[0].Levels
		if refusing := levels[len(levels)-1].Closure > 0.5; refusing != m.refusing[i] {
			m.refusing[i] = refusing
			changes++
		}
	}
	m.maxChanges = max(m.maxChanges, changes)
	m.maxReturned, m.returned = max(m.maxReturned, m.returned), 0
}

func (m *model) phase(t float64) int {
	switch {
	case t < m.begin:
		return 0
	case t < m.end:
		return 1
	default:
		return 2
	}
}

func (m *model) poisson(mean float64) (n int) {
	for p := m.random.ExpFloat64(); p < mean; p += m.random.ExpFloat64() {
		n++
	}
	return n
}

// serve decides about a request and sends it to the upstream that looks better of two.
func (m *model) serve(a arrival, t float64) {
	c, ctrl, now := a.class, m.controllers[a.host], m.now()
	timeout := c.timeout
	if a.returned {
		timeout = timeout * 2 / 3
	}
	r := &controller.Request{Service: "s", Urgency: c.urgency, Account: a.account, Returned: a.returned, Timeout: timeout}
	d := ctrl.Admit(r, now)
	useful := min(modelTarget, time.Duration(modelQueue*modelWork*float64(time.Second)))
	limit := modelTarget.Seconds()
	if d.QueueShare < 1 {
		limit = d.QueueShare * useful.Seconds()
	}
	for range modelAttempts {
		u, wait := m.choose(a)
		if wait > limit {
			o := controller.Outcome{Event: controller.NoCapacity, MaxQueueWait: useful}
			if d.QueueShare < 1 {
				m.lastClosed = t
				o.QueueWait = duration(min(wait, 10))
			}
			ctrl.Observe(r, o, now)
			m.refuse(a, r, wait-limit)
			return
		}
		ctrl.Observe(r, controller.Outcome{Event: controller.Started, QueueWait: duration(wait), MaxQueueWait: useful}, now)
		queue := &m.backlog[c.region][u]
		if *queue > (modelQueue+1)*modelWork {
			ctrl.Observe(r, controller.Outcome{Event: controller.Shed, MaxQueueWait: useful}, now)
			continue
		}
		if *queue > modelWork {
			ctrl.Observe(r, controller.Outcome{Event: controller.Waited, QueueWait: duration(*queue - modelWork), MaxQueueWait: useful}, now)
		}
		work := modelWork * c.work * m.random.ExpFloat64() / modelSlots
		*queue += work
		m.ownWork(a.host, c.region, u).work += work
		c.served[m.phase(t)]++
		c.countAccount(a.account, 1, m.phase(t))
		return
	}
	m.refuse(a, r, 0)
}

// ownWork is the work that a host sent to an upstream and that its view lacks.
type ownWork struct {
	work float64
	step int
}

func (m *model) ownWork(host, region, u int) *ownWork {
	w := &m.own[host][region*m.upstreams+u]
	w.work *= math.Exp(-float64(m.step-w.step) * modelStep.Seconds() / m.delay.Seconds())
	w.step = m.step
	return w
}

// choose returns the upstream that looks better of two, and the queue wait expected there.
func (m *model) choose(a arrival) (best int, wait float64) {
	seen := m.history[(m.step+1)%len(m.history)][a.class.region]
	wait = math.Inf(1)
	for range min(2, m.running) {
		u := m.random.IntN(m.running)
		if w := seen[u] + m.ownWork(a.host, a.class.region, u).work; w < wait {
			best, wait = u, w
		}
	}
	return best, max(0, wait-modelWork)
}

func (m *model) refuse(a arrival, r *controller.Request, untilCapacity float64) {
	wait := m.controllers[a.host].RetryAfter(r, duration(min(untilCapacity, 2)), m.now())
	if a.returned || wait > r.Timeout/3+modelStep {
		return
	}
	a.returned = true
	at := m.step + int(wait/modelStep) + 1
	m.returns[at] = append(m.returns[at], a)
}

func duration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

// countAccount counts an offered (0) or served (1) request of an account during the load.
func (c *class) countAccount(name string, kind, phase int) {
	if name == "" || phase != 1 {
		return
	}
	if c.accounts[name] == nil {
		c.accounts[name] = new([2]float64)
	}
	c.accounts[name][kind]++
}

// offeredRate returns the new requests during the load for each modelBin.
func (m *model) offeredRate() (n float64) {
	for _, c := range m.classes {
		n += c.offered[1]
	}
	return n / (m.end - m.begin) * modelBin.Seconds()
}

// servedFraction returns the fraction of the requests during the load that were served.
func (c *class) servedFraction() float64 { return c.served[1] / max(1, c.offered[1]) }

// utilization returns the used fraction of the capacity during the load.
func (m *model) utilization() float64 { return m.usedWork / (m.usedWork + m.idleWork) }
