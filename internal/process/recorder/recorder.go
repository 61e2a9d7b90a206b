// Package recorder keeps what a host decided about its recent requests, so that
// an operator can ask why one of them was steered as it was.
//
// Traces are reused: the ring of finished requests holds the last ones, and a
// second ring holds the last ones that failed, which stay longer because they
// are what operators ask for.
package recorder

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"dandeliontrack.example/dandeliontrack/internal/version/planner"
	"dandeliontrack.example/dandeliontrack/pkg/classifier"
)

const (
	shards     = 16
	perShard   = 128 // finished requests kept in each shard
	failures   = 128 // failed requests kept in each shard
	maxSteps   = 24
	idleTraces = 64
)

// StepKind says what kind of step was taken.
type StepKind uint8

// The steps.
const (
	Considered StepKind = iota
	Skipped
	Admitted
	Queued
	Claimed
	Attempt
	Response
	Retry
	Refused
	Resumed
)

var whatNames = [...]string{"considered", "passed", "admitted", "queued", "claimed", "attempt", "answer", "retry", "refused", "resumed"}

// String returns the word that explain shows.
func (w StepKind) String() string { return whatNames[w] }

// Step is one decision or event of a request.
type Step struct {
	at       time.Duration
	what     StepKind
	region   *planner.Region
	upstream *planner.Upstream
	reason   string
}

// SinceArrival returns the time since the request arrived.
func (s Step) SinceArrival() time.Duration { return s.at }

// Kind returns the kind of step.
func (s Step) Kind() StepKind { return s.what }

// Region returns the region it is about, or "".
func (s Step) Region() string {
	if s.region == nil {
		return ""
	}
	return s.region.Name()
}

// Upstream returns the upstream it is about, or "".
func (s Step) Upstream() string {
	if s.upstream == nil {
		return ""
	}
	return s.upstream.Name()
}

// Reason returns why the step was taken.
func (s Step) Reason() string { return s.reason }

// Trace collects the steps of one request. Its methods may be called on a nil
// Trace, which records nothing. A Trace belongs to the recorder again after
// Done.
type Trace struct {
	mu       sync.Mutex
	id       string
	service  string
	account  string
	class    planner.Class
	version  uint64
	start    time.Time
	elapsed  time.Duration
	tightest string
	status   int
	outcome  classifier.Outcome
	kind     classifier.Kind
	failed   bool
	done     bool
	dropped  int
	count    int
	steps    [maxSteps]Step
}

// SetRequest sets what the request asks for.
func (t *Trace) SetRequest(s *planner.Service, class planner.Class, account string, version uint64) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.service, t.class, t.account, t.version = s.Name(), class, account, version
}

// SetTightestLimit sets the limit that had the least left at admission.
func (t *Trace) SetTightestLimit(limit string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	t.tightest = limit
}

// AddStep records a step. Region, upstream and reason may be empty. When a request
// takes more steps than a trace holds, the last one is overwritten.
func (t *Trace) AddStep(now time.Time, what StepKind, region *planner.Region, up *planner.Upstream, reason string) {
	if t == nil {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.count == maxSteps {
		t.count--
		t.dropped++
	}
	t.steps[t.count] = Step{at: now.Sub(t.start), what: what, region: region, upstream: up, reason: reason}
	t.count++
}

// Record is a copy of what a Trace holds.
type Record struct {
	ID, Service, ClientAccount, TightestLimit string
	Class                                     planner.Class
	Version                                   uint64
	Start                                     time.Time
	Elapsed                                   time.Duration
	Status                                    int
	Outcome                                   classifier.Outcome
	ErrorKind                                 classifier.Kind
	Failed, Done                              bool
	DroppedSteps                              int
	Steps                                     []Step
}

func (t *Trace) view() Record {
	t.mu.Lock()
	defer t.mu.Unlock()
	return Record{
		ID: t.id, Service: t.service, ClientAccount: t.account, TightestLimit: t.tightest, Class: t.class,
		Version: t.version, Start: t.start, Elapsed: t.elapsed, Status: t.status, Outcome: t.outcome,
		ErrorKind: t.kind, Failed: t.failed, Done: t.done, DroppedSteps: t.dropped,
		Steps: append([]Step(nil), t.steps[:t.count]...),
	}
}

// Recorder keeps traces. It is safe for concurrent use.
type Recorder struct {
	shards [shards]shard
}

type shard struct {
	mu     sync.Mutex
	active map[string]*Trace
	recent ring
	failed ring
	free   []*Trace
}

// ring holds the last traces in order of their end.
type ring struct {
	traces []*Trace
	next   int
}

// push adds a trace and returns the one that it displaces, or nil.
func (r *ring) push(t *Trace, size int) *Trace {
	if len(r.traces) < size {
		r.traces = append(r.traces, t)
		return nil
	}
	old := r.traces[r.next]
	r.traces[r.next] = t
	r.next = (r.next + 1) % size
	return old
}

func (r *ring) find(id string) *Trace {
	for _, t := range r.traces {
		if t.id == id {
			return t
		}
	}
	return nil
}

// New returns an empty Recorder.
func New() *Recorder {
	r := new(Recorder)
	for i := range r.shards {
		r.shards[i].active = make(map[string]*Trace)
	}
	return r
}

func (r *Recorder) shard(id string) *shard { return &r.shards[xxhash.Sum64String(id)%shards] }

// Start begins the trace of a request. A second request with an id that is in
// use has no trace.
func (r *Recorder) Start(id string, now time.Time) *Trace {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.active[id]; ok {
		return nil
	}
	var t *Trace
	if n := len(s.free); n > 0 {
		t = s.free[n-1]
		s.free = s.free[:n-1]
	} else {
		t = new(Trace)
	}
	t.id, t.start = id, now
	s.active[id] = t
	return t
}

// Finish ends a trace. A failure is kept longer than a success.
func (r *Recorder) Finish(t *Trace, now time.Time, status int, outcome classifier.Outcome, err error) {
	if t == nil {
		return
	}
	t.mu.Lock()
	t.elapsed, t.status, t.outcome, t.done = now.Sub(t.start), status, outcome, true
	if err != nil {
		t.kind, t.failed = classifier.Of(err), true
	}
	failed, id := t.failed, t.id
	t.mu.Unlock()
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.active, id)
	var old *Trace
	if failed {
		old = s.failed.push(t, failures)
	} else {
		old = s.recent.push(t, perShard)
	}
	if old != nil && len(s.free) < idleTraces {
		old.reset()
		s.free = append(s.free, old)
	}
}

func (t *Trace) reset() {
	t.mu.Lock()
	defer t.mu.Unlock()
	clear(t.steps[:t.count])
	t.id, t.service, t.account, t.tightest = "", "", "", ""
	t.class, t.version, t.elapsed, t.status, t.outcome, t.kind = 0, 0, 0, 0, 0, 0
	t.failed, t.done, t.dropped, t.count = false, false, 0, 0
}

// Find returns what is known of a request, and whether anything is.
func (r *Recorder) Find(id string) (Record, bool) {
	s := r.shard(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	t := s.active[id]
	if t == nil {
		t = s.failed.find(id)
	}
	if t == nil {
		t = s.recent.find(id)
	}
	if t == nil {
		return Record{}, false
	}
	return t.view(), true
}

// Active returns the requests in flight.
func (r *Recorder) Active() []Record {
	var all []Record
	for i := range r.shards {
		s := &r.shards[i]
		s.mu.Lock()
		for _, t := range s.active {
			all = append(all, t.view())
		}
		s.mu.Unlock()
	}
	return all
}
