package measurer

import (
	"cmp"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"dandeliontrack.example/dandeliontrack/internal/standin/delayer"
	"dandeliontrack.example/dandeliontrack/internal/standin/deployer"
)

// Result is what one system did, or the medians of several runs of it. Latencies
// count from the intended arrival and only for complete answers.
type Result struct {
	Services map[string]*Service `json:"services"`
	// Slots is the largest use of the slots of an upstream by service, Link
	// that of a link in one second, both as fractions of the limit.
	Slots map[string]float64 `json:"slots"`
	Link  float64            `json:"link"`
	// Drain is the time from the sign to the last work of the upstream that
	// drained, zero if none did, in milliseconds.
	Drain float64 `json:"drain"`
	// Breaches counts broken promises, Evidence is the first of each.
	Breaches map[string]int    `json:"breaches"`
	Evidence map[string]string `json:"evidence,omitempty"`
	Problems []string          `json:"problems,omitempty"`
}

// Service is the load of one service. Times are in milliseconds.
type Service struct {
	Offered  int            `json:"offered"`
	Answered int            `json:"answered"`
	P50      float64        `json:"p50"`
	P99      float64        `json:"p99"`
	Max      float64        `json:"max"`
	Refused  map[string]int `json:"refused,omitempty"`
}

// Latencies are kept from 1 µs to 2 minutes with three digits.
const (
	lowest  = 1
	highest = 120_000_000
	digits  = 3
)

// recorder collects one run. All methods are safe for concurrent use.
type recorder struct {
	mu       sync.Mutex
	times    map[string]*hdrhistogram.Histogram
	services map[string]*Service
	links    float64
	drained  time.Duration
	problems []string
}

func newRecorder() *recorder {
	return &recorder{times: make(map[string]*hdrhistogram.Histogram), services: make(map[string]*Service)}
}

// record notes the end of a request.
func (r *recorder) record(a arrival, answer deployer.Answer, took time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	name := a.load.Service
	s := r.services[name]
	if s == nil {
		s = &Service{Refused: make(map[string]int)}
		r.services[name], r.times[name] = s, hdrhistogram.New(lowest, highest, digits)
	}
	s.Offered++
	if answer.Whole() {
		s.Answered++
		// A longer time can't occur: every caller gives up earlier.
		_ = r.times[name].RecordValue(min(max(took.Microseconds(), lowest), highest))
		return
	}
	s.Refused[reason(answer)]++
}

// reason names why a request has no complete answer.
func reason(a deployer.Answer) string {
	switch {
	case a.Kind != "":
		return a.Kind
	case a.Status >= 400:
		return "status " + strconv.Itoa(a.Status)
	default:
		return "no answer"
	}
}

func (r *recorder) link(use float64) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.links = max(r.links, use)
}

func (r *recorder) drain(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.drained = max(r.drained, d)
}

func (r *recorder) problem(text string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.problems = append(r.problems, text)
}

func pair(from, to string) delayer.Pair { return delayer.Pair{From: from, To: to} }

func (r *run) result() *Result {
	c := r.recorder
	c.mu.Lock()
	defer c.mu.Unlock()
	out := &Result{
		Services: c.services, Slots: make(map[string]float64), Link: c.links, Drain: milliseconds(c.drained),
		Breaches: make(map[string]int), Evidence: make(map[string]string), Problems: c.problems,
	}
	for name, s := range c.services {
		h := c.times[name]
		s.P50, s.P99, s.Max = quantile(h, 50), quantile(h, 99), quantile(h, 100)
	}
	for _, s := range r.plan.Services() {
		for _, u := range s.Upstreams() {
			use := float64(r.deployer.Worker(u.Name()).Peak()) / float64(u.Slots())
			out.Slots[s.Name()] = max(out.Slots[s.Name()], use)
		}
	}
	for _, b := range r.deployer.Breaches() {
		p := b.Promise.String()
		if out.Breaches[p]++; out.Breaches[p] == 1 {
			out.Evidence[p] = b.Evidence
		}
	}
	return out
}

func quantile(h *hdrhistogram.Histogram, q float64) float64 {
	return milliseconds(time.Duration(h.ValueAtQuantile(q)) * time.Microsecond)
}

func milliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// median returns the median of every figure of latency and headroom. Counts of
// requests and breaches are sums over all runs.
func median(runs []*Result) *Result {
	out := &Result{
		Services: make(map[string]*Service), Slots: make(map[string]float64),
		Breaches: make(map[string]int), Evidence: make(map[string]string),
		Link:  middle(runs, func(r *Result) float64 { return r.Link }),
		Drain: middle(runs, func(r *Result) float64 { return r.Drain }),
	}
	for _, r := range runs {
		out.Problems = append(out.Problems, r.Problems...)
		for p, n := range r.Breaches {
			out.Breaches[p] += n
			out.Evidence[p] = cmp.Or(out.Evidence[p], r.Evidence[p])
		}
		for name, s := range r.Services {
			o := out.Services[name]
			if o == nil {
				o = &Service{Refused: make(map[string]int)}
				out.Services[name] = o
			}
			o.Offered, o.Answered = o.Offered+s.Offered, o.Answered+s.Answered
			for kind, n := range s.Refused {
				o.Refused[kind] += n
			}
		}
	}
	for name, o := range out.Services {
		o.P50 = middle(runs, func(r *Result) float64 { return r.service(name).P50 })
		o.P99 = middle(runs, func(r *Result) float64 { return r.service(name).P99 })
		o.Max = middle(runs, func(r *Result) float64 { return r.service(name).Max })
	}
	for name := range runs[0].Slots {
		out.Slots[name] = middle(runs, func(r *Result) float64 { return r.Slots[name] })
	}
	return out
}

func (r *Result) service(name string) *Service {
	if s := r.Services[name]; s != nil {
		return s
	}
	return new(Service)
}

// middle returns the median, the lower one of an even number.
func middle(runs []*Result, f func(*Result) float64) float64 {
	values := make([]float64, len(runs))
	for i, r := range runs {
		values[i] = f(r)
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}
