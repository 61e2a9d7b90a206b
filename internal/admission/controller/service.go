package controller

import (
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

const (
	// highPressure and lowPressure are the pressures of more urgent requests above which a
	// level closes and below which it opens. An object whose few upstreams are full causes
	// single refusals while the service has capacity; lowPressure is above these.
	highPressure = 0.15
	lowPressure  = 0.10
	// thresholdSpread is the largest random difference of the thresholds of a controller from
	// their mean, as a fraction.
	thresholdSpread = 0.15
	// closeGain is the closure per second for each unit of pressure above highPressure.
	closeGain = 8.0
	// speedSpread is the largest random factor of the speeds at which a controller closes and
	// opens levels.
	speedSpread = 2.5
	// minOpenRate and openAcceleration give the closure per second by which a level opens:
	// slowly while the pressure has just ended, because the capacity may be just sufficient,
	// and faster with the square of the time since then.
	minOpenRate      = 0.2
	openAcceleration = 24.0
	maxStep          = 100 * time.Millisecond
	minStep          = 10 * time.Millisecond
	// longIdle is the time without requests after which all levels are open.
	longIdle = 1500 * time.Millisecond
	// minQueueShare is the queue share of a level from shortestClosure on. Such requests still use
	// slots that are free, so capacity that more urgent requests don't use is not withheld. A
	// level that has closed further takes longer to open.
	minQueueShare   = 0.1
	shortestClosure = 0.5
	// maxReturnedShare is the queue share of returned requests, so that they start before new
	// ones of the same level where the queues are at the limit of the latter.
	maxReturnedShare = 1.2
	// newCredit is the credit of a level or account from which a new request gets a part of
	// the minimum share. Returned ones get it from 1, so that they come first.
	newCredit = 1.5
	// shortWait and longWait are the fractions of the useful queue wait from which a wait
	// counts as pressure, and from which it counts as much as a refusal.
	shortWait = 0.75
	longWait  = 1.25
	// minShare is the guaranteed ratio of the served fraction of a level or account to that
	// of the whole service. It is above the stated quarter, because the counts of a window
	// are not exact.
	minShare = 0.3
	// maxCredit bounds the requests that a level or account may get at once because of its
	// minimum share, and the time until the share applies after all requests were served.
	maxCredit = 2.0
	// activeTime is the time after its last request during which a level counts as in use.
	activeTime = 2 * time.Second
)

// service is the state of one service.
type service struct {
	urgencies  []int
	random     *rand.Rand
	spread     float64 // factor of the thresholds
	closeSpeed float64 // factor of the speed at which levels close
	openSpeed  float64 // factor of the speed at which levels open
	multilevel bool

	mu           sync.Mutex
	levels       []level
	counts       window // served and offered requests
	stepped      time.Time
	lastPressure time.Time
	accounts     accounts
}

// level is the state of the requests of one urgency.
type level struct {
	closure     float64 // 0 is open, 1 is closed
	pressure    window  // weight of refusals and long waits, and the number of observations
	credit      float64 // requests that the minimum share still owes
	lastRequest time.Time
	nextReturn  time.Time
	requests    int64
}

func newService(urgencies []int, random *rand.Rand) *service {
	s := &service{urgencies: slices.Clone(urgencies), random: random, levels: make([]level, max(1, len(urgencies))), multilevel: len(urgencies) > 1}
	s.spread = 1 + thresholdSpread*(2*random.Float64()-1)
	s.closeSpeed = math.Pow(speedSpread, 2*random.Float64()-1)
	s.openSpeed = math.Pow(speedSpread, 2*random.Float64()-1)
	for i := range s.levels {
		s.levels[i].credit = random.Float64()
	}
	return s
}

// rank returns the index of the level of an urgency. An urgency that the configuration does not
// list belongs to the next more urgent level.
func (s *service) rank(urgency int) int {
	for i := len(s.urgencies) - 1; i > 0; i-- {
		if urgency >= s.urgencies[i] {
			return i
		}
	}
	return 0
}

func (s *service) admit(r *Request, now time.Time) Decision {
	s.step(now)
	l := &s.levels[s.rank(r.Urgency)]
	l.lastRequest = now
	s.counts.add(0, 1, now)
	var a *account
	if s.multilevel {
		share := minShare * s.servedShare()
		l.credit = min(l.credit+share, maxCredit)
		if a = s.accounts.get(r.Account, s.random, now); a != nil {
			a.countRequest(now)
			a.credit = min(a.credit+share, maxCredit)
		}
	}
	d := s.decide(r, l, a)
	l.requests++
	return d
}

// decide applies the closure of a level to a request.
func (s *service) decide(r *Request, l *level, a *account) Decision {
	x := l.closure
	d := Decision{QueueShare: 1}
	if r.Returned && s.multilevel {
		d.QueueShare = maxReturnedShare
	}
	switch {
	case x == 0:
		return d
	case s.guarantees(r, l, a):
		d.Reason = Guaranteed
		return d
	case r.Returned:
		x *= x
	}
	d.Reason = Short
	x = min(1, x/shortestClosure)
	d.QueueShare *= 1 - (1-minQueueShare)*x
	if a != nil {
		d.QueueShare *= 1 - x*a.excess()
	}
	return d
}

// guarantees reports whether the request belongs to the minimum share of its level or account.
func (s *service) guarantees(r *Request, l *level, a *account) bool {
	needed := newCredit
	if r.Returned {
		needed = 1
	}
	if a == nil {
		return l.credit >= needed
	}
	return a.credit >= needed || (l.credit >= needed && a.excess() == 0)
}

// servedShare returns the fraction of the requests of the service that are served.
func (s *service) servedShare() float64 {
	served, offered := s.counts.sums()
	return min(1, (served+1)/(offered+1))
}

func (s *service) observe(r *Request, o *Outcome, now time.Time) {
	s.step(now)
	l := &s.levels[s.rank(r.Urgency)]
	switch o.Event {
	case Started:
		s.countServed(r, l, 1, now)
	case Shed:
		s.countServed(r, l, -1, now)
	}
	l.pressure.add(o.pressure(), 1, now)
}

// countServed adds n requests to those that were served.
func (s *service) countServed(r *Request, l *level, n float64, now time.Time) {
	s.counts.add(n, 0, now)
	l.credit = max(l.credit-n, -maxCredit)
	if s.multilevel {
		if a := s.accounts.get(r.Account, s.random, now); a != nil {
			a.credit = max(a.credit-n, -maxCredit)
		}
	}
}

// pressure returns the weight of the outcome as a sign of missing capacity, from 0 to 1.
func (o *Outcome) pressure() float64 {
	switch {
	case o.Event == Shed || o.Event == NoCapacity && o.QueueWait <= 0:
		return 1
	case o.QueueWait <= 0 || o.MaxQueueWait <= 0:
		return 0
	}
	ratio := float64(o.QueueWait) / float64(o.MaxQueueWait)
	return min(max((ratio-shortWait)/(longWait-shortWait), 0), 1)
}

// step moves the closures to now.
func (s *service) step(now time.Time) {
	dt := now.Sub(s.stepped)
	if !s.multilevel || dt < minStep {
		return
	}
	s.stepped = now
	for i := range s.levels {
		s.levels[i].pressure.roll(now)
	}
	if dt > longIdle {
		for i := range s.levels {
			s.levels[i].closure = 0
		}
		return
	}
	if s.closeLevel(now, min(dt, maxStep)) {
		return
	}
	s.openLevel(now, dt)
}

// maxPressure returns the highest pressure of the levels that are more urgent than level n. A host
// that sees few of their requests does not judge by those of less urgent ones: these would then make
// way for others that hardly need it.
func (s *service) maxPressure(n int) (p float64) {
	for i := range s.levels[:n] {
		weight, count := s.levels[i].pressure.sums()
		p = max(p, weight/(count+priorCount))
	}
	return p
}

// closeLevel closes the least urgent level in use that is not closed yet, if more urgent requests
// lack capacity. It reports whether they do.
func (s *service) closeLevel(now time.Time, dt time.Duration) bool {
	for k := len(s.levels) - 1; k > 0; k-- {
		l := &s.levels[k]
		if l.closure >= 1 || now.Sub(l.lastRequest) > activeTime {
			continue
		}
		p := s.maxPressure(k)
		if p > lowPressure*s.spread {
			s.lastPressure = now
		}
		if excess := p - highPressure*s.spread; excess > 0 {
			l.closure = min(1, l.closure+closeGain*s.closeSpeed*excess*dt.Seconds())
			return true
		}
		return false
	}
	return false
}

// openLevel opens the most urgent level that is not open, if more urgent requests have capacity.
func (s *service) openLevel(now time.Time, dt time.Duration) {
	for k := range s.levels {
		l := &s.levels[k]
		if l.closure == 0 {
			continue
		}
		if s.maxPressure(k) > lowPressure*s.spread {
			s.lastPressure = now
			return
		}
		calm := now.Sub(s.lastPressure).Seconds()
		rate := (minOpenRate + openAcceleration*calm*calm) * s.openSpeed * float64(len(s.levels)-1)
		l.closure = max(0, l.closure-rate*dt.Seconds())
		return
	}
}

func (s *service) report(now time.Time) []LevelReport {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.step(now)
	out := make([]LevelReport, len(s.urgencies))
	for i, urgency := range s.urgencies {
		l := &s.levels[i]
		l.pressure.roll(now)
		out[i] = LevelReport{Urgency: urgency, Closure: l.closure, Pressure: l.pressure.ratio(), Requests: l.requests}
	}
	return out
}

const (
	// minRetryAfter and maxRetryAfter bound the time after which a refused request returns.
	minRetryAfter = 50 * time.Millisecond
	maxRetryAfter = 2 * time.Second
	// honouredFraction is the fraction of its remaining time up to which a caller waits
	// before it sends a refused request again: a third, less the time that the response takes.
	honouredFraction = 0.3
	// maxBaseFraction is the largest part of that time before the first return, so that the
	// rest spreads the returns.
	maxBaseFraction = 0.5
	// returnRateShare is the rate of returns of a level as a fraction of the rate of served
	// requests.
	returnRateShare = 0.25
	maxReturnGap    = 200 * time.Millisecond
	// openJitter is the largest random fraction that is added to the time while all levels are
	// open, so that refused callers do not return at the same moment.
	openJitter = 0.5
	// openTime is how long a closed level takes to open after the shortage has ended.
	openTime = time.Second
)

// retryAfter gives each level a part of the time that callers wait, the most urgent the first,
// and lets the requests of a level return at a steady rate in the order of their refusals.
func (s *service) retryAfter(r *Request, untilCapacity time.Duration, now time.Time) time.Duration {
	limit := maxRetryAfter
	if r.Timeout > 0 {
		limit = min(limit, max(minRetryAfter, time.Duration(honouredFraction*float64(r.Timeout))))
	}
	if !s.isShort() {
		// The capacity that one request lacks is soon free, and an early return can be in time.
		return min(s.openRetryAfter(untilCapacity), limit)
	}
	n := s.rank(r.Urgency)
	l := &s.levels[n]
	untilCapacity = max(untilCapacity, minRetryAfter, time.Duration(l.closure*float64(openTime)))
	base := min(untilCapacity, max(minRetryAfter, time.Duration(maxBaseFraction*float64(limit))))
	part := (limit - base) / time.Duration(len(s.levels))
	begin := base + part*time.Duration(n)
	gap := s.returnGap(now)
	at := l.nextReturn.Sub(now)
	switch {
	case at < begin:
		at = begin
		l.nextReturn = now.Add(at + gap)
	case at < begin+part:
		l.nextReturn = now.Add(at + gap)
	default:
		// More requests return than can be put into order within the time that callers wait.
		return begin + time.Duration((1+s.random.Float64())/2*float64(part))
	}
	return min(at+time.Duration(s.random.Float64()*float64(gap)), begin+part)
}

// isShort reports whether a level of the service is not open.
func (s *service) isShort() bool {
	return slices.ContainsFunc(s.levels, func(l level) bool { return l.closure > 0 })
}

// openRetryAfter returns the time until capacity is expected, with jitter.
func (s *service) openRetryAfter(untilCapacity time.Duration) time.Duration {
	wait := min(max(untilCapacity, minRetryAfter), maxRetryAfter)
	return wait + time.Duration(s.random.Float64()*openJitter*float64(wait))
}

// returnGap returns the time between two returns of a level.
func (s *service) returnGap(now time.Time) time.Duration {
	served, _ := s.counts.sumsAt(now)
	perSecond := returnRateShare * served / windowSpan.Seconds()
	return time.Duration(math.Min(float64(time.Second)/max(perSecond, 1e-3), float64(maxReturnGap)))
}
